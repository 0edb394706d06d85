"""Fleet-wide rate limits: accounts are refused only beyond their rate."""

from types import SimpleNamespace

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawaywheel.clock import ManualClock
from carawaywheel.mesh.configuration import Account
from carawaywheel.mesh.quotas import (
    CACHED_TOKEN_SECONDS,
    LEASE_SECONDS,
    NODE_EXPIRY_SECONDS,
    REPORT_INTERVAL_SECONDS,
    SLOT_COUNT,
    AccountGrant,
    Quotas,
    TokenGrant,
    TokenRequest,
    decode_message,
    encode_message,
    hash_slot,
    slot_owner,
)
from carawaywheel.mesh.ratelimiter import RateLimiter
from carawaywheel.mesh.replication.directory import Directory

NODES = [f"10.0.0.{index}:1" for index in range(1, 6)]
ACCOUNT = Account("county", None, 50.0, 50.0)


class Fleet:
    """Simulated nodes that exchange messages without delay unless partitioned."""

    def __init__(self, nodes=NODES):
        self.now = 100.0
        self.isolated = set()
        self.token_requests = 0
        self.nodes = {name: Quotas(name) for name in nodes}
        for quotas in self.nodes.values():
            quotas.configure({ACCOUNT.name: ACCOUNT})
            quotas.set_nodes(list(nodes), list(nodes))
        self.report()

    def report(self):
        for name, quotas in self.nodes.items():
            for slot in range(SLOT_COUNT):
                self.send(name, quotas, TokenRequest(name, 1, slot, {}))

    def send(self, name, quotas, request):
        owner = slot_owner(request.slot, quotas.reachable)
        if owner != name and {owner, name} & self.isolated:
            return
        received = decode_message(encode_message(request))
        grant = decode_message(
            encode_message(self.nodes[owner].grant(received, self.now))
        )
        quotas.apply_grant(grant, self.now, self.now)

    def acquire(self, name):
        quotas = self.nodes[name]
        cache = quotas.token_cache(ACCOUNT, self.now)
        cache.record_demand(self.now)
        acquired = quotas.try_acquire(cache, self.now)
        if acquired is None:
            self.token_requests += 1
            tokens = {"county": quotas.prefetch_size(cache)}
            self.send(
                name, quotas, TokenRequest(name, 2, hash_slot(ACCOUNT.name), tokens)
            )
            acquired = quotas.try_acquire(cache, self.now)
        return (
            quotas.try_acquire_fallback(cache, self.now)
            if acquired is None
            else acquired
        )

    def advance(self, seconds):
        self.now += seconds
        self.report()


def count_admitted(fleet, names, rate, seconds):
    """Send requests evenly, rotating over the named nodes; count the admitted ones."""
    count = 0
    for index in range(int(rate * seconds)):
        fleet.advance(1.0 / rate)
        count += fleet.acquire(names[index % len(names)])
    return count


def test_account_at_one_node_gets_its_full_rate():
    fleet = Fleet()
    assert count_admitted(fleet, NODES[:1], 48.0, 10.0) == 480


def test_account_within_its_rate_sends_few_token_requests():
    """Each token request costs processor time at several nodes."""
    fleet = Fleet()
    fleet.advance(1.0)
    assert count_admitted(fleet, NODES, 40.0, 10.0) == 400
    assert fleet.token_requests < 250


def test_prefetched_tokens_do_not_starve_other_nodes():
    """Guards against refusals while tokens sit unused in the cache of another node."""
    fleet = Fleet()
    assert count_admitted(fleet, NODES, 49.0, 20.0) >= 0.99 * 980


def test_account_over_its_rate_gets_only_rate_and_burst():
    fleet = Fleet()
    count = count_admitted(fleet, NODES, 400.0, 10.0)
    assert 495 <= count <= ACCOUNT.rate * 10 + ACCOUNT.burst


def test_burst_at_one_node_may_use_the_burst_of_the_whole_fleet():
    fleet = Fleet()
    fleet.advance(0.9)
    fleet.advance(0.9)
    assert all(fleet.acquire(NODES[3]) for _ in range(45))


def test_partitioned_nodes_do_not_exceed_the_rate_together():
    fleet = Fleet()
    count_admitted(fleet, NODES, 400.0, 5.0)
    owner = slot_owner(hash_slot(ACCOUNT.name), NODES)
    others = [name for name in NODES if name != owner]
    fleet.isolated = set(others[:2])
    fleet.now += LEASE_SECONDS + 0.1
    fleet.report()
    count = count_admitted(fleet, NODES, 400.0, 5.0)
    assert count <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20
    assert count >= ACCOUNT.rate * 5 * 0.8


def test_lowered_rate_takes_effect_immediately():
    fleet = Fleet()
    count_admitted(fleet, NODES, 45.0, 3.0)
    lowered = ACCOUNT._replace(rate=10.0, burst=10.0)
    for quotas in fleet.nodes.values():
        quotas.configure({"county": lowered})
    assert count_admitted(fleet, NODES, 45.0, 5.0) <= 10 * 5 + 10


def test_new_owner_grants_the_full_rate_within_a_second():
    fleet = Fleet()
    count_admitted(fleet, NODES, 45.0, 3.0)
    owner = slot_owner(hash_slot(ACCOUNT.name), NODES)
    remaining = [name for name in NODES if name != owner]
    for quotas in fleet.nodes.values():
        quotas.set_nodes(remaining, remaining)
    del fleet.nodes[owner]
    count_admitted(fleet, remaining, 40.0, 1.0)
    assert count_admitted(fleet, remaining, 48.0, 5.0) >= 235


def large_fleet():
    """Return fifteen nodes that have all reported to the owners for some seconds."""
    fleet = Fleet([f"10.0.1.{index}:1" for index in range(15)])
    for _ in range(6):
        fleet.advance(0.5)
    return fleet


def isolate(fleet, count):
    """Isolate nodes other than the owner of the account; return the other nodes."""
    names = list(fleet.nodes)
    owner = slot_owner(hash_slot(ACCOUNT.name), names)
    others = [name for name in names if name != owner]
    fleet.isolated = set(others[:count])
    return [owner, *others[count:]]


def test_two_lost_nodes_do_not_reduce_the_rate():
    """Guards against refusals within the rate because the shares of lost nodes idle."""
    fleet = large_fleet()
    connected = isolate(fleet, 2)
    for _ in range(4):
        fleet.advance(0.5)
    assert count_admitted(fleet, connected, 48.0, 30.0) == 1440


def test_full_rate_returns_after_half_of_the_nodes_expire():
    fleet = large_fleet()
    connected = isolate(fleet, 9)
    for _ in range(int(2 * (NODE_EXPIRY_SECONDS + 2))):
        fleet.advance(0.5)
    count_admitted(fleet, connected, 48.0, 2.0)
    assert count_admitted(fleet, connected, 48.0, 5.0) == 240


def test_two_sides_of_a_partition_do_not_exceed_the_rate_together():
    """Each side chooses its own owners, to which only nodes of that side report."""
    fleet = large_fleet()
    names = list(fleet.nodes)
    sides = names[:5], names[5:]
    for side in sides:
        for name in side:
            fleet.nodes[name].set_nodes(names, list(side))
    fleet.now += LEASE_SECONDS + 0.1
    for _ in range(8):
        fleet.advance(0.5)
    count = count_admitted(fleet, names, 400.0, 5.0)
    assert count <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20
    assert count >= ACCOUNT.rate * 5 * 0.6


def test_node_without_known_peers_admits_nothing():
    """Guards against starting nodes that each regard themselves as the only one.

    Each of them would grant the full rate of every account.
    """
    directory = Directory()
    directory.hosts = {NODES[0]: None}
    peer_monitor = SimpleNamespace(
        directory=directory, reachable_hosts=lambda: NODES[:1]
    )
    sock = SimpleNamespace(address="127.0.0.1:1", handlers={})
    quotas = Quotas(NODES[0])
    quotas.configure({ACCOUNT.name: ACCOUNT})
    limiter = RateLimiter(quotas, sock, peer_monitor, None, ManualClock(100.0))
    limiter.refresh_nodes()
    assert curio.run(limiter.acquire, ACCOUNT) is None
    directory.hosts_known = True
    limiter.refresh_nodes()
    assert curio.run(limiter.acquire, ACCOUNT) is True


def test_malformed_message_is_ignored():
    assert decode_message(b"\xff") is None
    assert decode_message(encode_message(TokenGrant(1, 2, {}))) == TokenGrant(1, 2, {})


class RateMachine(RuleBasedStateMachine):
    """No sequence of partitions, bursts and pauses exceeds the bound of a window."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.admitted_at = []

    @rule(node=st.sampled_from(NODES), count=st.integers(1, 60))
    def burst(self, node, count):
        for _ in range(count):
            if self.fleet.acquire(node):
                self.admitted_at.append(self.fleet.now)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.6]))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @rule(node=st.sampled_from(NODES))
    def isolate(self, node):
        self.fleet.isolated = {node}

    @rule()
    def heal_partition(self):
        self.fleet.isolated = set()

    @invariant()
    def window_is_within_its_bound(self):
        start = self.fleet.now - 5.0
        recent = sum(at >= start for at in self.admitted_at)
        assert recent <= (ACCOUNT.rate * 5 + ACCOUNT.burst) * 1.1 + 20


TestRates = RateMachine.TestCase
TestRates.settings = settings(max_examples=60, stateful_step_count=40)


class SilentSocket:
    """Datagram socket whose datagrams the test answers itself."""

    address = "10.0.0.1:1"

    def __init__(self):
        self.handlers = {}
        self.sent = []

    async def send(self, kind, data, address):
        self.sent.append(decode_message(data))


async def receive_grants(delays):
    """Request a token; return the tokens held after grants with these delays."""
    clock = ManualClock(100.0)
    sock = SilentSocket()
    quotas = Quotas(NODES[0])
    quotas.configure({ACCOUNT.name: ACCOUNT})
    owner = next(n for n in NODES if n == slot_owner(hash_slot(ACCOUNT.name), NODES))
    quotas.set_nodes(NODES, [owner])
    journal = SimpleNamespace(count=lambda *arguments: None)
    limiter = RateLimiter(quotas, sock, None, journal, clock)
    cache = quotas.token_cache(ACCOUNT, clock.now())
    await limiter.send_request(cache.slot, {ACCOUNT.name: 3})
    (request,) = sock.sent
    lent = {ACCOUNT.name: AccountGrant(3, 0.0)}
    grant = encode_message(TokenGrant(request.sequence, request.slot, lent))
    for delay in delays:
        clock.advance(delay)
        await limiter.receive(grant, ("10.0.0.2", 1))
    return cache.tokens if clock.now() <= cache.tokens_until else 0


def test_repeated_grant_counts_once():
    assert curio.run(receive_grants, [0.01, 0.01]) == 3


def test_grant_that_arrives_after_a_pause_is_not_used():
    """A paused node must not use tokens that expired while it stood still."""
    assert curio.run(receive_grants, [CACHED_TOKEN_SECONDS + 0.1]) == 0


def test_owner_that_never_replies_is_passed_over():
    """An owner that is lost for good must not reduce the rate for long."""
    clock = ManualClock(100.0)
    quotas = Quotas(NODES[0])
    slot = next(s for s in range(SLOT_COUNT) if slot_owner(s, NODES) != NODES[0])
    lost = slot_owner(slot, NODES)
    quotas.set_nodes(NODES, NODES)
    journal = SimpleNamespace(write=lambda *arguments, **fields: None)
    sock = SilentSocket()
    limiter = RateLimiter(quotas, sock, None, journal, clock)

    def report(seconds):
        for _ in range(int(seconds / REPORT_INTERVAL_SECONDS)):
            curio.run(limiter.send_request, slot, {})
            clock.advance(REPORT_INTERVAL_SECONDS)
            limiter.pass_over_silent_owners()

    report(1.0)
    assert quotas.owner(slot) == lost
    report(1.0)
    assert quotas.owner(slot) == slot_owner(slot, [n for n in NODES if n != lost])
    sock.sent.clear()
    curio.run(limiter.probe_silent_nodes)
    assert len(sock.sent) == 1
    limiter.record_reply((lost.rpartition(":")[0], 1))
    assert quotas.owner(slot) == lost
