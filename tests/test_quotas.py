"""Rates over all nodes: a client account is refused only beyond its rate."""

from types import SimpleNamespace

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawaywheel.clock import ManualClock
from carawaywheel.mesh.configuration import Account
from carawaywheel.mesh.directory import Directory
from carawaywheel.mesh.quotas import (
    LEASE_SECONDS,
    NODE_EXPIRY_SECONDS,
    SLOT_COUNT,
    Quotas,
    TokenGrant,
    TokenRequest,
    decode_message,
    encode_message,
    hash_slot,
    slot_owner,
)
from carawaywheel.mesh.ratelimiter import RateLimiter

NODES = [f"10.0.0.{index}:1" for index in range(1, 6)]
ACCOUNT = Account("county", None, 50.0, 50.0)


class Fleet:
    """Nodes that exchange messages at once, unless they are cut off."""

    def __init__(self, nodes=NODES):
        self.now = 100.0
        self.cut = set()
        self.asked = 0
        self.nodes = {name: Quotas(name) for name in nodes}
        for quotas in self.nodes.values():
            quotas.configure({ACCOUNT.name: ACCOUNT})
            quotas.set_nodes(list(nodes), list(nodes))
        self.report()

    def report(self):
        for name, quotas in self.nodes.items():
            for slot in range(SLOT_COUNT):
                self.ask(name, quotas, TokenRequest(name, 1, slot, {}))

    def ask(self, name, quotas, ask):
        home = slot_owner(ask.slot, quotas.live)
        if home != name and {home, name} & self.cut:
            return
        question = decode_message(encode_message(ask))
        grant = decode_message(
            encode_message(self.nodes[home].grant(question, self.now))
        )
        quotas.receive(grant, self.now)

    def charge(self, name):
        quotas = self.nodes[name]
        stock = quotas.token_cache(ACCOUNT, self.now)
        stock.record_demand(self.now)
        taken = quotas.try_acquire(stock, self.now)
        if taken is None:
            self.asked += 1
            wants = {"county": quotas.prefetch_size(stock)}
            self.ask(
                name, quotas, TokenRequest(name, 2, hash_slot(ACCOUNT.name), wants)
            )
            taken = quotas.try_acquire(stock, self.now)
        return quotas.try_acquire_fallback(stock, self.now) if taken is None else taken

    def pass_time(self, seconds):
        self.now += seconds
        self.report()


def served(fleet, names, rate, seconds):
    """Send evenly through the named nodes in turn; count what is allowed."""
    count = 0
    for index in range(int(rate * seconds)):
        fleet.pass_time(1.0 / rate)
        count += fleet.charge(names[index % len(names)])
    return count


def test_account_at_one_node_gets_its_whole_rate():
    fleet = Fleet()
    assert served(fleet, NODES[:1], 48.0, 10.0) == 480


def test_account_within_its_rate_asks_seldom():
    """Each question costs three nodes a turn of the processor."""
    fleet = Fleet()
    fleet.pass_time(1.0)
    assert served(fleet, NODES, 40.0, 10.0) == 400
    assert fleet.asked < 250


def test_tokens_ahead_do_not_starve_the_others_of_a_full_account():
    """Tokens that one node holds unused would be refused to another one."""
    fleet = Fleet()
    assert served(fleet, NODES, 49.0, 20.0) >= 0.99 * 980


def test_account_that_presses_gets_its_rate_and_burst_only():
    fleet = Fleet()
    count = served(fleet, NODES, 400.0, 10.0)
    assert 495 <= count <= ACCOUNT.rate * 10 + ACCOUNT.burst


def test_clump_at_one_node_is_taken_from_the_whole_burst():
    fleet = Fleet()
    fleet.pass_time(0.9)
    fleet.pass_time(0.9)
    assert all(fleet.charge(NODES[3]) for _ in range(45))


def test_nodes_that_are_cut_off_do_not_exceed_the_rate_together():
    fleet = Fleet()
    served(fleet, NODES, 400.0, 5.0)
    home = slot_owner(hash_slot(ACCOUNT.name), NODES)
    others = [name for name in NODES if name != home]
    fleet.cut = set(others[:2])
    fleet.now += LEASE_SECONDS + 0.1
    fleet.report()
    count = served(fleet, NODES, 400.0, 5.0)
    assert count <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20
    assert count >= ACCOUNT.rate * 5 * 0.8


def test_lowered_rate_binds_at_once():
    fleet = Fleet()
    served(fleet, NODES, 45.0, 3.0)
    lowered = ACCOUNT._replace(rate=10.0, burst=10.0)
    for quotas in fleet.nodes.values():
        quotas.configure({"county": lowered})
    assert served(fleet, NODES, 45.0, 5.0) <= 10 * 5 + 10


def test_new_home_gives_the_whole_rate_within_a_second():
    fleet = Fleet()
    served(fleet, NODES, 45.0, 3.0)
    home = slot_owner(hash_slot(ACCOUNT.name), NODES)
    left = [name for name in NODES if name != home]
    for quotas in fleet.nodes.values():
        quotas.set_nodes(left, left)
    del fleet.nodes[home]
    served(fleet, left, 40.0, 1.0)
    assert served(fleet, left, 48.0, 5.0) >= 235


def large_fleet():
    """Return fifteen nodes whose homes have heard all of them for some seconds."""
    fleet = Fleet([f"10.0.1.{index}:1" for index in range(15)])
    for _ in range(6):
        fleet.pass_time(0.5)
    return fleet


def without_home(fleet, count):
    """Cut some nodes off that are not the home of the account."""
    names = list(fleet.nodes)
    home = slot_owner(hash_slot(ACCOUNT.name), names)
    left = [name for name in names if name != home]
    fleet.cut = set(left[:count])
    return [home, *left[count:]]


def test_two_lost_nodes_leave_the_whole_rate():
    """A rate that waits for lost nodes refuses what is within it."""
    fleet = large_fleet()
    rest = without_home(fleet, 2)
    for _ in range(4):
        fleet.pass_time(0.5)
    assert served(fleet, rest, 48.0, 30.0) == 1440


def test_half_of_the_nodes_lost_for_good_leave_the_whole_rate_in_the_end():
    fleet = large_fleet()
    rest = without_home(fleet, 9)
    for _ in range(int(2 * (NODE_EXPIRY_SECONDS + 2))):
        fleet.pass_time(0.5)
    served(fleet, rest, 48.0, 2.0)
    assert served(fleet, rest, 48.0, 5.0) == 240


def test_parts_of_a_divided_fleet_do_not_exceed_the_rate_together():
    """Each part elects homes of its own and hears only itself."""
    fleet = large_fleet()
    names = list(fleet.nodes)
    parts = names[:5], names[5:]
    for part in parts:
        for name in part:
            fleet.nodes[name].set_nodes(names, list(part))
    fleet.now += LEASE_SECONDS + 0.1
    for _ in range(8):
        fleet.pass_time(0.5)
    count = served(fleet, names, 400.0, 5.0)
    assert count <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20
    assert count >= ACCOUNT.rate * 5 * 0.6


def test_node_that_knows_no_others_charges_nothing():
    """Each node of a fleet that starts at once would take itself for the only one."""
    directory = Directory()
    directory.hosts = {NODES[0]: None}
    news = SimpleNamespace(directory=directory, live=lambda: NODES[:1])
    sock = SimpleNamespace(address="127.0.0.1:1", handlers={})
    quotas = Quotas(NODES[0])
    quotas.configure({ACCOUNT.name: ACCOUNT})
    service = RateLimiter(quotas, sock, news, None, ManualClock(100.0))
    service.refresh_nodes()
    assert curio.run(service.acquire, ACCOUNT) is None
    directory.hosts_known = True
    service.refresh_nodes()
    assert curio.run(service.acquire, ACCOUNT) is True


def test_malformed_message_is_ignored():
    assert decode_message(b"\xff") is None
    assert decode_message(encode_message(TokenGrant(1, 2, {}))) == TokenGrant(1, 2, {})


class RateMachine(RuleBasedStateMachine):
    """No order of cuts, clumps and pauses exceeds the bound of a window."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.allowed = []

    @rule(node=st.sampled_from(NODES), count=st.integers(1, 60))
    def clump(self, node, count):
        for _ in range(count):
            if self.fleet.charge(node):
                self.allowed.append(self.fleet.now)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.6]))
    def wait(self, seconds):
        self.fleet.pass_time(seconds)

    @rule(node=st.sampled_from(NODES))
    def cut(self, node):
        self.fleet.cut = {node}

    @rule()
    def heal(self):
        self.fleet.cut = set()

    @invariant()
    def window_holds(self):
        start = self.fleet.now - 5.0
        recent = sum(at >= start for at in self.allowed)
        assert recent <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20


TestRates = RateMachine.TestCase
TestRates.settings = settings(max_examples=60, stateful_step_count=40)
