import heapq
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawaywheel.errors import ProtocolError, SettingsError
from carawaywheel.members import Member, MemberChangeKind, MemberState, is_live
from carawaywheel.membership import Membership
from carawaywheel.probing import Prober
from carawaywheel.routing import TargetState
from carawaywheel.settings import MembershipSettings
from carawaywheel.swim import MAX_MESSAGE_BYTES, Judgement, MessageKind, decode, encode

SETTINGS = MembershipSettings()
STEP_S = 0.1


def make_member(name, **changes):
    member = Member(
        name, 0, MemberState.ALIVE, "a", f"peer-{name}", f"udp-{name}", "svc",
        "127.0.0.1:1", TargetState.READY, 100, 0.0, 0,
    )  # fmt: skip
    return member._replace(**changes)


class Fleet:
    """Nodes on a simulated network that drops, delays and duplicates datagrams."""

    def __init__(self, seed=7, loss=0.0, duplicates=0.0, delay=0.05):
        self.rng = random.Random(seed)
        self.loss, self.duplicates, self.delay = loss, duplicates, delay
        self.now = 0.0
        self.nodes = {}
        self.frozen = set()
        self.partition = set()
        self.broken_link = set()
        self.in_transit = []
        self.sent = 0

    def start(self, name, **changes):
        node = Membership(SETTINGS, make_member(name, **changes), self.rng)
        node.add_contacts(
            [make_member(other) for other in self.nodes if other != name], 0.0
        )
        self.nodes[name] = node
        self.frozen.discard(name)
        return node

    def send(self, source, outgoing):
        for address, message in outgoing:
            data = encode(message)
            assert len(data) <= MAX_MESSAGE_BYTES
            copies = 1 + (self.rng.random() < self.duplicates)
            for _ in range(copies if self.rng.random() >= self.loss else 0):
                self.sent += 1
                due = self.now + self.rng.uniform(0.001, self.delay)
                item = (due, self.sent, source, address.removeprefix("udp-"), data)
                heapq.heappush(self.in_transit, item)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self.in_transit and self.in_transit[0][0] <= self.now:
                self.deliver(*heapq.heappop(self.in_transit)[2:])
            for name, node in list(self.nodes.items()):
                if name not in self.frozen:
                    self.send(name, node.tick(self.now))

    def deliver(self, source, target, data):
        cut = (source in self.partition) != (target in self.partition)
        cut = cut or {source, target} == self.broken_link
        if cut or target not in self.nodes or target in self.frozen:
            return
        node = self.nodes[target]
        self.send(target, node.receive(decode(data), f"udp-{source}", self.now))

    def views(self):
        return {
            name: sorted(member[:10] for member in node.members(self.now))
            for name, node in self.nodes.items()
            if is_live(node.own)
        }

    def agree(self):
        views = self.views()
        live = sorted(self.nodes[name].own[:10] for name in views)
        return all(view == live for view in views.values())


def make_fleet(size, **faults):
    fleet = Fleet(**faults)
    for number in range(size):
        fleet.start(f"n{number}")
    fleet.run(60.0)
    assert fleet.agree()
    return fleet


def test_crash_is_detected_by_all():
    """Guards against members that stay alive after their host was replaced."""
    fleet = make_fleet(8)
    del fleet.nodes["n0"]
    fleet.run(10.0)
    assert fleet.agree()
    seen = [(kind, m.node_id) for kind, m in fleet.nodes["n1"].drain_changes()]
    assert (MemberChangeKind.LEFT, "n0") in seen


def test_datagram_loss_causes_no_false_deaths():
    """Guards against members declared dead on a lossy network with all hosts up."""
    fleet = make_fleet(8)
    fleet.loss = 0.2
    for node in fleet.nodes.values():
        node.drain_changes()
    fleet.run(120.0)
    changes = [
        change for node in fleet.nodes.values() for change in node.drain_changes()
    ]
    assert MemberChangeKind.LEFT not in [change.kind for change in changes]


def test_frozen_member_refutes_its_death():
    """Guards against a resumed node that stays dead or declares others dead."""
    fleet = make_fleet(8)
    fleet.frozen.add("n0")
    fleet.run(20.0)
    assert "n0" not in [m.node_id for m in fleet.nodes["n1"].members(fleet.now)]
    for node in fleet.nodes.values():
        node.drain_changes()
    fleet.frozen.clear()
    fleet.run(15.0)
    assert fleet.agree()
    kinds = [c.kind for node in fleet.nodes.values() for c in node.drain_changes()]
    assert MemberChangeKind.LEFT not in kinds
    assert fleet.nodes["n0"].own.incarnation > 0


def test_draining_target_is_known_to_all_within_three_seconds():
    """Guards against new requests for a target that has started to drain."""
    fleet = make_fleet(60)
    fleet.nodes["n0"].update_self(fleet.now, target_state=TargetState.DRAINING)
    fleet.run(3.0)
    assert fleet.agree()


def test_rate_of_pushed_datagrams_is_limited():
    """Guards against a storm of pushes when many targets drain repeatedly."""
    fleet = make_fleet(10)
    before = fleet.sent
    for _ in range(20):
        for node in fleet.nodes.values():
            node.update_self(fleet.now, target_state=TargetState.READY)
            node.update_self(fleet.now, target_state=TargetState.DRAINING)
        fleet.run(STEP_S)
    pushed = SETTINGS.urgent_burst + SETTINGS.urgent_rate * 2
    assert fleet.sent - before <= 10 * (pushed + 8)
    fleet.run(20.0)
    assert fleet.agree()


def test_draining_target_is_pushed_before_queued_refutations():
    """Guards against a delayed drain on a network that drops many probes."""
    fleet = make_fleet(30)
    node = fleet.nodes["n0"]
    for step in range(3000):
        node.queue.add(node.table.live[step % 29], True)
        node.tick(fleet.now)
    node.update_self(fleet.now, target_state=TargetState.DRAINING)
    out = node.tick(fleet.now)
    assert len(out) >= SETTINGS.urgent_fanout
    assert all(o.message.sender.target_state is TargetState.DRAINING for o in out)


def test_long_descriptions_fit_into_datagrams():
    """Guards against oversized datagrams, which networks fragment or drop."""
    fleet = Fleet()
    for number in range(12):
        fleet.start(f"n{number}", domain="d" * 200)
    fleet.run(60.0)
    assert fleet.agree()


def test_view_that_missed_updates_is_repaired():
    """Guards against a node whose view stays outdated after it missed updates."""
    fleet = make_fleet(60)
    nodes = list(fleet.nodes.values())
    for node in nodes[20:40]:
        node.update_self(fleet.now, service="other")
        node.queue.send_counts.clear()
    for node in nodes[1:]:
        node.merge([other.own for other in nodes], fleet.now)
    fleet.run(15.0)
    assert fleet.agree()


def test_own_freeze_extends_the_deadlines_of_others():
    """Guards against a resumed node that declares others dead immediately."""
    fleet = make_fleet(3)
    node = fleet.nodes["n1"]
    node.merge([make_member("n0", state=MemberState.SUSPECT, incarnation=5)], 60.0)
    node.tick(fleet.now + 30.0)
    assert node.table.get("n0").state is MemberState.SUSPECT


def test_cut_link_between_two_members_raises_no_suspicion():
    """Guards against suspecting a member for a single broken link."""
    fleet = make_fleet(5)
    fleet.broken_link = {"n0", "n1"}
    fleet.run(60.0)
    assert not any(node.own.incarnation for node in fleet.nodes.values())


@pytest.mark.parametrize("kind", [MessageKind.PING, MessageKind.ACK])
def test_member_receives_the_description_to_refute(kind):
    """Guards against a restarted node whose old description stays in effect."""
    fleet = make_fleet(2)
    node, author = fleet.nodes["n0"], fleet.nodes["n1"]
    left = make_member("n1", state=MemberState.LEFT)
    node.merge([left], fleet.now)
    message = author.composer.without_updates(kind, fleet.now)
    [answer] = node.receive(message, "udp-n1", fleet.now)
    assert answer.address == "udp-n1"
    assert answer.message.updates[0] == left
    [restated] = author.receive(answer.message, "udp-n0", fleet.now)
    assert restated.message.sender.incarnation == 1


def test_judgement_follows_the_rules_of_descriptions():
    """Guards against judgements that remove a member or are outdated or unrefuted."""
    fleet = make_fleet(3)
    node = fleet.nodes["n0"]
    fleet.nodes["n2"].update_self(fleet.now, slots=5)
    fleet.run(3.0)
    dead = [Judgement(f"n{n}", 0, MemberState.DEAD) for n in range(3)]
    message = fleet.nodes["n2"].composer.without_updates(MessageKind.UPDATE, fleet.now)
    node.receive(message._replace(judgements=dead), "udp-n2", fleet.now)
    assert node.own.incarnation == 1
    assert node.table.get("n1").state is MemberState.SUSPECT
    assert node.table.get("n2").state is MemberState.ALIVE


def test_ack_of_another_node_does_not_end_a_probe():
    """Guards against a dead member whose address now belongs to another node."""
    prober = Prober(SETTINGS, random.Random(1))
    sequence = prober.start_probe("old", 0.0)
    prober.handle_ack(sequence, "new")
    assert prober.fail_pending_probe() == "old"


def test_probe_fails_at_any_phase_of_the_ticks():
    """Guards against a failed probe that is replaced before it counts as failed."""
    for phase in range(50):
        node = Membership(SETTINGS, make_member("n0"), random.Random(phase))
        node.merge([make_member("n1")], 0.0)
        now = phase / 7
        for _ in range(35):
            now += STEP_S
            node.tick(now)
        assert node.table.get("n1").state is MemberState.SUSPECT


@pytest.mark.proves("I10", "node: stop", "message delayed")
def test_member_that_left_stays_out_until_it_rejoins():
    """Guards against outdated state that revives a departed member."""
    fleet = make_fleet(5)
    state = fleet.nodes["n1"].full_state(fleet.now)
    fleet.send("n0", fleet.nodes["n0"].leave(fleet.now))
    fleet.run(2.0)
    left = fleet.nodes.pop("n0")
    fleet.nodes["n2"].merge(state, fleet.now)
    left.merge(state, fleet.now)
    assert left.own.incarnation == 0
    fleet.run(2.0)
    assert fleet.agree()
    fleet.start("n0")
    fleet.run(20.0)
    assert fleet.agree()
    assert fleet.nodes["n0"].own.incarnation > 0


def test_death_in_merged_state_becomes_a_suspicion():
    """Guards against mass deaths when a partition heals."""
    fleet = make_fleet(3)
    node = fleet.nodes["n1"]
    dead = make_member("n0", state=MemberState.DEAD, incarnation=9)
    node.merge([dead], fleet.now)
    assert node.table.get("n0").state is MemberState.SUSPECT
    fleet.run(10.0)
    assert fleet.agree()


def test_log_offset_and_cold_time_are_disseminated():
    """Guards against stale configuration and against an endless slow start."""
    fleet = make_fleet(3)
    fleet.nodes["n0"].set_log_offset(42)
    cold = {"target_state": TargetState.COLD, "cold_remaining": 8.0}
    fleet.nodes["n0"].update_self(fleet.now, **cold)
    fleet.run(6.0)
    assert fleet.nodes["n1"].newest_log_offset[0] == 42
    seen = fleet.nodes["n1"].table.current("n0", fleet.now)
    assert seen.target_state is TargetState.COLD
    assert 1.0 <= seen.cold_remaining <= 2.5


def test_state_exchange_fills_an_empty_table():
    """Guards against a new node that discovers the fleet only by probes."""
    fleet = make_fleet(20)
    new_node = fleet.start("late")
    assert new_node.state_exchange_peer() is None
    fleet.run(2.0)
    peer = fleet.nodes[new_node.state_exchange_peer().node_id]
    new_node.merge(peer.full_state(fleet.now), fleet.now)
    assert new_node.state_exchange_peer() is None
    assert len(new_node.members(fleet.now)) == 21


def test_malformed_messages_and_long_descriptions_are_rejected():
    """Guards against crashes on foreign datagrams, and against long descriptions."""
    for data in (b"", b"\xc1", encode(make_member("x")), b"\x91" * 5000):
        with pytest.raises(ProtocolError):
            decode(data)
    with pytest.raises(SettingsError):
        Membership(SETTINGS, make_member("x" * 999), random.Random(1))


class MembershipMachine(RuleBasedStateMachine):
    """Guards against views that stay different and members that are revived."""

    NAMES = [f"n{number}" for number in range(6)]

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(loss=0.2, duplicates=0.2, delay=1.5)
        self.left = {}
        for name in self.NAMES:
            self.fleet.start(name)
        self.fleet.run(10.0)

    names = st.sampled_from(NAMES)

    @rule(name=names)
    def kill(self, name):
        self.fleet.nodes.pop(name, None)
        self.clear_left(name)

    @rule(name=names)
    def restart(self, name):
        self.fleet.start(name, peer_address=f"peer-{self.fleet.now}")
        for other in self.NAMES:
            if other != name:
                self.fleet.nodes[name].add_contacts(
                    [make_member(other)], self.fleet.now
                )
        self.clear_left(name)

    @rule(name=names)
    def freeze_or_resume(self, name):
        self.fleet.frozen ^= {name}

    @rule(names=st.sets(names))
    def part(self, names):
        self.fleet.partition = names

    @rule(name=names, state=st.sampled_from(TargetState))
    def change(self, name, state):
        if name in self.fleet.nodes and name not in self.fleet.frozen:
            self.fleet.nodes[name].update_self(self.fleet.now, target_state=state)

    @rule(name=names)
    def leave(self, name):
        node = self.fleet.nodes.get(name)
        if node is not None and name not in self.fleet.frozen:
            self.fleet.send(name, node.leave(self.fleet.now))

    @rule(seconds=st.sampled_from([0.5, 3.0, 12.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    def clear_left(self, name):
        self.left = {key: at for key, at in self.left.items() if key[0] != name}

    @invariant()
    def departed_members_stay_out(self):
        for viewer, node in self.fleet.nodes.items():
            for entry in node.table.entries.values():
                member = entry.member
                key = (viewer, member.node_id)
                if member.state is MemberState.LEFT:
                    self.left[key] = member.incarnation
                elif is_live(member):
                    assert member.incarnation > self.left.get(key, -1)

    def teardown(self):
        self.fleet.loss, self.fleet.duplicates, self.fleet.delay = 0.0, 0.0, 0.05
        self.fleet.frozen, self.fleet.partition = set(), set()
        self.fleet.run(90.0)
        assert self.fleet.agree(), self.fleet.views()


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.pytestmark = [
    pytest.mark.proves("I10", "node: stop", "message delayed"),
    pytest.mark.proves("I10", "node: stop", "duplicated or reordered"),
]
TestMembershipMachine.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=25, deadline=None
)
