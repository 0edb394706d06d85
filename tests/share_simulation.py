"""Simulation in virtual time of nodes, log and network for the tests of shares."""

import random

from carawaywheel.borrowers import Acquired, Borrower
from carawaywheel.lenders import Lender
from carawaywheel.loans import LenderRef
from carawaywheel.settings import ShareSettings
from carawaywheel.shares import TokenRequest, decode_message, encode_message
from carawaywheel.slots import ForgetNode, SlotMember, SlotTable

# Large loans ahead of demand: a token that should have expired is then soon spent.
SETTINGS = ShareSettings(
    slots=1,
    lease_time=6.0,
    pause_max=0.1,
    demand_window=20.0,
    ahead_floor=0.1,
    ahead_share=1.0,
    ahead_time=1.0,
)
DOMAINS = ("east", "west")
ACCOUNT = "hall"
STEP_SECONDS = 0.02
FREEZE_TIMEOUT_SECONDS = 2.0
FORGET_AFTER_FROZEN_SECONDS = 2.2
TOLERANCE_TOKENS = 1e-6


class SimulatedNode:
    """One node with a clock of its own rate and offset."""

    def __init__(self, member, clock_rate, clock_offset, time, limits, seed):
        self.member = member
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.alive = True
        self.frozen_since = None
        self.must_catch_up = False
        self.log_unreachable = False
        self.position = 0
        self.limits = limits
        self.table = SlotTable(SETTINGS, member)
        rng = random.Random(seed)
        self.lender = Lender(SETTINGS, member.domain, DOMAINS, rng)
        self.borrower = Borrower(
            SETTINGS, member.node, member.incarnation, member.domain
        )
        self.lender.set_account(ACCOUNT, *limits, self.now(time))

    def now(self, time):
        """Return the time of the node's clock at a simulated time."""
        return self.clock_offset + time * self.clock_rate

    def running(self):
        return self.alive and self.frozen_since is None


class SimulatedFleet:
    """Nodes, their log and the network between them.

    `admitted` has the times of all admissions; `allowance` has entries of time, tokens
    accrued so far and burst, by which the admissions are bounded.
    """

    def __init__(self, rate, burst):
        self.time = 0.0
        self.limits = (rate, burst)
        self.nodes = []
        self.log = []
        self.log_up = True
        self.appends = []
        self.network = []
        self.admitted = []
        self.allowance = [(0.0, 0.0, burst)]
        self.incarnations = 0
        self.loss = self.delay = self.duplicates = 0.0
        self.partitioned = self.instant = False

    def start(self, node_id, domain, address, clock_rate=1.0):
        self.incarnations += 1
        member = SlotMember(node_id, self.incarnations, address, domain)
        clock_offset = 100.0 * self.incarnations
        node = SimulatedNode(
            member, clock_rate, clock_offset, self.time, self.limits, self.incarnations
        )
        self.nodes.append(node)
        return node

    def running(self):
        return [node for node in self.nodes if node.running()]

    def kill(self, node):
        node.alive = False

    def resume(self, node):
        frozen_seconds = (self.time - node.frozen_since) * node.clock_rate
        node.frozen_since = None
        if frozen_seconds > FREEZE_TIMEOUT_SECONDS:
            node.lender.pause()
            node.must_catch_up = True

    def may_forget_node(self, node):
        if not node.alive:
            return True
        since = node.frozen_since
        return since is not None and self.time - since > FORGET_AFTER_FROZEN_SECONDS

    def forget_node(self, node):
        member = node.member
        self.append(ForgetNode(member.node, member.incarnation), 0.0)

    def append(self, record, delay):
        self.appends.append((self.time + delay, record))

    def commit_appends(self):
        if not self.log_up:
            return
        due = [entry for entry in self.appends if entry[0] <= self.time]
        self.appends = [entry for entry in self.appends if entry[0] > self.time]
        self.log.extend(record for _, record in due)

    def read(self, node, limit=10**6):
        """Read up to ``limit`` records from the log and renew leases at its end."""
        if not self.log_up:
            return
        now = node.now(self.time)
        self.apply_records(node, min(len(self.log), node.position + limit))
        if node.position == len(self.log):
            node.table.renew_leases(now)
            if node.must_catch_up:
                node.must_catch_up = False
                node.lender.resume()
        self.update_lenders(node)

    def read_through_peer(self, node, peer):
        """Read the records of a peer, which are as old as its last read of the log."""
        caught_up_at = peer.table.caught_up_at
        if caught_up_at is None or self.is_partitioned(node, peer):
            return
        self.apply_records(node, max(node.position, peer.position))
        age = (peer.now(self.time) - caught_up_at) * 1.1
        if node.position == peer.position:
            node.table.renew_leases(node.now(self.time) - age)
        self.update_lenders(node)

    def apply_records(self, node, end):
        now = node.now(self.time)
        for record in self.log[node.position : end]:
            node.table.apply(record, now)
        node.position = end

    def update_lenders(self, node):
        now = node.now(self.time)
        node.table.update_lender(node.lender, now)
        claims = node.table.lender_claims(0)
        refs = [LenderRef(c.holder, c.domain, c.term) for c in claims]
        if node.borrower.lenders.get(0) != refs:
            node.borrower.set_lenders(0, refs)

    def claim(self, node, members, delay):
        now = node.now(self.time)
        for record in node.table.due_records(members, now):
            self.append(record, delay)

    def release_slots(self, node):
        for record in node.table.release_all(node.lender.release_slot):
            self.append(record, 0.0)
        self.kill(node)

    def configure(self, node, limits):
        node.limits = limits
        node.lender.set_account(ACCOUNT, *limits, node.now(self.time))

    def is_partitioned(self, one, other):
        return self.partitioned and one.member.domain != other.member.domain

    def send(self, sender, recipient, message, rng):
        for _ in range(2 if rng.random() < self.duplicates else 1):
            if rng.random() < self.loss:
                continue
            is_delayed = rng.random() < self.delay
            delay = rng.uniform(0.0, 1.5) if is_delayed else rng.uniform(0.001, 0.015)
            if self.instant:
                delay = 0.0
            data = encode_message(message)
            self.network.append((self.time + delay, sender.member, recipient, data))

    def deliver(self, rng):
        due = [entry for entry in self.network if entry[0] <= self.time]
        self.network = [entry for entry in self.network if entry[0] > self.time]
        if not self.instant:
            rng.shuffle(due)
        for entry in due:
            _, sender, recipient, data = entry
            for node in self.nodes:
                if node.member.node != recipient or not node.alive:
                    continue
                if node.frozen_since is not None:
                    self.network.append(entry)
                elif not self.partitioned or sender.domain == node.member.domain:
                    self.handle_message(node, sender, decode_message(data), rng)

    def handle_message(self, node, sender, message, rng):
        now = node.now(self.time)
        if not isinstance(message, TokenRequest):
            node.borrower.handle_grant(sender.node, message, now)
            return
        grant = node.lender.handle_request(message, now)
        if grant is not None:
            self.send(node, message.borrower, grant, rng)

    def serve_calls(self, node, calls, rng, refunds):
        """Acquire a token for each call until one has to wait; refund some of them."""
        borrower = node.borrower
        now = node.now(self.time)
        for _ in range(calls):
            waited = bool(borrower.activate_demand(ACCOUNT, now).waiting)
            if not isinstance(borrower.acquire(ACCOUNT, now, waited), Acquired):
                break
            self.admitted.append(self.time)
            if rng.random() < refunds and borrower.refund(ACCOUNT, now):
                self.admitted.pop()
        for ref, request in borrower.due_requests(now):
            self.send(node, ref.node, request, rng)

    def step(self, rng, calls, refunds=0.0):
        """Advance by about one step; ``calls`` maps a node to its number of calls."""
        self.time += STEP_SECONDS * rng.uniform(0.5, 1.5)
        self.record_allowance()
        self.commit_appends()
        self.deliver(rng)
        for node in self.running():
            self.serve_calls(node, calls(node), rng, refunds)
            if node.log_unreachable:
                continue
            if rng.random() < 0.15:
                self.read(node, rng.choice([1, 10**6]))
            if rng.random() < 0.1:
                self.read_through_peer(node, rng.choice(self.running()))

    def run(self, seconds, rng, calls, refunds=0.0):
        end = self.time + seconds
        while self.time < end:
            self.step(rng, lambda _: calls, refunds)

    def borrow_without_use(self, seconds, rng, without=None):
        """Let most nodes borrow tokens for a high demand without any calls."""
        for node in self.running():
            now = node.now(self.time)
            demand = node.borrower.activate_demand(ACCOUNT, now)
            borrows = node is not without and rng.random() < 0.7
            demand.weight = 400.0 if borrows else 0.0
            demand.updated_at = now
        self.run(seconds, rng, calls=0)

    def spend_all_tokens(self, rng, loss=None):
        """Spend every token available now, with messages that take no time."""
        self.record_allowance()
        network, self.network = self.network, []
        faults = self.loss, self.delay, self.duplicates
        self.delay = 0.0
        if loss is not None:
            self.loss = loss
        elif rng.random() < 0.5:
            self.loss = 0.0
        self.instant = True
        count = -1
        while count < len(self.admitted):
            count = len(self.admitted)
            for _ in range(2 * len(DOMAINS)):
                for node in rng.sample(self.running(), len(self.running())):
                    self.serve_calls(node, 40, rng, 0.0)
                    self.deliver(rng)
        self.instant = False
        self.loss, self.delay, self.duplicates = faults
        self.network.extend(network)

    def run_with_freezes(self, seconds, rng, freezes=0.3):
        """Alternate idle, sparse and heavy load while some nodes freeze and resume."""
        end = self.time + seconds
        while self.time < end:
            # Idle phases fill the buckets; only then does a token too many exceed
            # the bound.
            idle = rng.random() < 0.6
            busy = [n for n in self.running() if not idle and rng.random() < 0.5]
            sparse = not idle and rng.random() < 0.3
            if rng.random() < 0.5:
                self.borrow_without_use(rng.choice([0.4, 1.0, 2.5]), rng)
                if rng.random() < 0.2:
                    self.spend_all_tokens(rng)
            frozen = [n for n in self.running()[1:] if rng.random() < freezes]
            for node in frozen:
                node.frozen_since = self.time
            stop = self.time + rng.choice([0.2, 0.7, 1.0, 1.2, 2.0])
            while self.time < stop:
                self.step(
                    rng,
                    lambda n, b=busy, s=sparse: 20 if n in b else s,
                    refunds=0.05,
                )
            for node in frozen:
                self.resume(node)
            if idle or rng.random() < 0.5:
                self.spend_all_tokens(rng)

    def record_allowance(self):
        """Integrate the highest rate that any living node has read from the log."""
        time, total, _ = self.allowance[-1]
        alive = [node.limits for node in self.nodes if node.alive]
        rate = max([limits[0] for limits in alive], default=0.0)
        burst = max([limits[1] for limits in alive], default=0.0)
        self.allowance.append((self.time, total + rate * (self.time - time), burst))

    def check_rate_bound(self):
        """Check rate and burst in every window between two admissions."""
        lookback = 1.2
        lowest = float("inf")
        index = 0
        oldest = 0
        for count, time in enumerate(self.admitted):
            while self.allowance[index][0] < time:
                index += 1
            while self.allowance[oldest][0] < time - lookback:
                oldest += 1
            # Loans made before the burst was lowered expire within one loan time.
            burst = max(entry[2] for entry in self.allowance[oldest : index + 1])
            total = self.allowance[index][1]
            lowest = min(lowest, burst + count - total)
            excess = count + 1 - total - lowest
            assert excess <= TOLERANCE_TOKENS, (
                f"admissions exceed rate and burst by {excess:.3f} tokens at {time:.3f}"
            )
