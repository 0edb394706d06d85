import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.fleets import DOMAINS, Fleet

# The burst takes 2 s to fill. A higher rate would soon make up for wrong tokens.
RATE = 6.0
BURST = 12.0
SKEWS = (0.99, 1.0, 1.01)
seeds = st.integers(0, 2**32)
picks = st.integers(0, 7)


def make_fleet(rate=RATE, burst=BURST):
    fleet = Fleet(rate, burst)
    for number in range(4):
        domain = DOMAINS[number % 2]
        fleet.start(f"n{number}", domain, f"10.0.0.{number}", SKEWS[number % 3])
    claim_all(fleet)
    return fleet


def claim_all(fleet):
    """Let every running node append what it wants and read the log."""
    members = [process.member for process in fleet.running()]
    for process in fleet.running():
        fleet.claim(process, members, 0.0)
    fleet.land()
    for process in fleet.running():
        fleet.read(process)


def holder_of(fleet, domain):
    """Return the running process that holds the slot in a domain, or None."""
    for process in fleet.running():
        if process.member.domain == domain and process.table.held():
            return process
    return None


class ShareMachine(RuleBasedStateMachine):
    """Callers come in bursts on every node while everything that may fail does."""

    def __init__(self):
        super().__init__()
        self.fleet = make_fleet()
        self.fleet.run(3.0, random.Random(1), calls=1)
        self.names = 4

    def pick(self, number, processes):
        return processes[number % len(processes)]

    def start(self, member, skew, node=None, address=None):
        self.names += 1
        node = node or f"n{self.names}"
        address = address or f"10.0.0.{self.names}"
        return self.fleet.start(node, member.domain, address, skew)

    @rule(
        seed=seeds,
        seconds=st.sampled_from([1.0, 3.0, 8.0]),
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        delay=st.sampled_from([0.0, 0.2, 0.6]),
        duplicates=st.sampled_from([0.0, 0.3]),
        parted=st.booleans(),
        log_up=st.booleans(),
    )
    def run(self, seed, seconds, loss, delay, duplicates, parted, log_up):
        fleet = self.fleet
        fleet.loss, fleet.delay, fleet.duplicates = loss, delay, duplicates
        fleet.parted, fleet.log_up = parted, log_up
        fleet.run_unsteadily(seconds, random.Random(seed))
        fleet.loss = fleet.delay = fleet.duplicates = 0.0
        fleet.parted, fleet.log_up = False, True

    @rule(number=picks, hidden=st.sets(picks, max_size=3), late=st.booleans())
    def claim(self, number, hidden, late):
        """Claim under any view of the members, perhaps with a late append."""
        running = self.fleet.running()
        seen = [p.member for i, p in enumerate(running) if i not in hidden]
        delay = 9.0 if late else 0.0
        self.fleet.claim(self.pick(number, running), seen, delay)

    @rule(
        seed=seeds,
        kind=st.sampled_from(["restart", "replace", "same id", "release", "forget"]),
        domain=st.sampled_from(DOMAINS),
        skew=st.sampled_from(SKEWS),
        idle=st.sampled_from([0.0, 0.3, 0.8, 1.3]),
    )
    def take_over(self, seed, kind, domain, skew, idle):
        """Let a holder go while its loans are out, and the callers come at once."""
        fleet = self.fleet
        rng = random.Random(seed)
        holder = holder_of(fleet, domain)
        if holder is None:
            claim_all(fleet)
            fleet.run(1.5, rng, calls=1)
            return
        fleet.run(0.3, rng, calls=20)
        fleet.hoard(2.5, rng)
        member = holder.member
        if kind == "release":
            fleet.release(holder)
        fleet.kill(holder)
        if kind == "restart":
            self.start(member, skew, member.node, member.address)
        elif kind == "same id":
            self.start(member, skew, member.node)
        else:
            self.start(member, skew)
        if kind == "forget":
            fleet.forget(holder)
        claim_all(fleet)
        claim_all(fleet)
        fleet.run(idle, rng, calls=0)
        fleet.drain(rng)
        fleet.run(0.3, rng, calls=20)

    @rule(
        seed=seeds,
        domain=st.sampled_from(DOMAINS),
        evidence=st.sampled_from(["forget", "lapse", "none"]),
        seconds=st.sampled_from([0.5, 1.5, 3.0, 8.0]),
    )
    def freeze_holder(self, seed, domain, evidence, seconds):
        """Resume a holder after others may have taken its slot."""
        fleet = self.fleet
        rng = random.Random(seed)
        holder = holder_of(fleet, domain)
        if holder is None:
            return
        fleet.run(0.3, rng, calls=20)
        fleet.hoard(2.5, rng)
        holder.frozen_since = fleet.time
        if evidence == "lapse":
            claim_all(fleet)
        fleet.run(seconds, rng, calls=1)
        if evidence == "forget" and fleet.can_be_forgotten(holder):
            fleet.forget(holder)
            fleet.land()
        claim_all(fleet)
        fleet.hoard(3.0, rng)
        fleet.resume(holder)
        fleet.drain(rng)
        fleet.hoard(0.5, rng)
        fleet.drain(rng)

    @rule(number=picks)
    def lower_rate(self, number):
        self.fleet.limits = (RATE / 2, BURST / 2)
        process = self.pick(number, self.fleet.running())
        self.fleet.configure(process, self.fleet.limits)

    def teardown(self):
        self.fleet.check_windows()


class TestShares(ShareMachine.TestCase):
    """Guards against tokens made, or spent, beyond burst + rate * t."""

    settings = settings(
        max_examples=60,
        stateful_step_count=8,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
