"""Nodes, lenders, log and network in virtual time, for the tests of shares."""

import random

from carawaywheel.borrowers import Acquired, Borrower
from carawaywheel.lenders import Lender
from carawaywheel.loans import LenderRef
from carawaywheel.settings import ShareSettings
from carawaywheel.shares import TokenRequest, decode_message, encode_message
from carawaywheel.slots import ForgetNode, SlotMember, SlotTable

# Large loans ahead of demand, so that a token that should be gone is soon noticed.
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
STEP = 0.02
FREEZE_LIMIT = 2.0
OPERATOR_DELAY = 2.2
TOLERANCE = 1e-6


class SimulatedNode:
    """One node process with its own clock."""

    def __init__(self, member, skew, offset, time, limits, seed):
        self.member = member
        self.clock_rate = skew
        self.offset = offset
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
        return self.offset + time * self.clock_rate

    def running(self):
        return self.alive and self.frozen_since is None


class SimulatedFleet:
    """Processes, the log and the network between them."""

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

    def start(self, node, domain, address, skew=1.0):
        self.incarnations += 1
        member = SlotMember(node, self.incarnations, address, domain)
        offset = 100.0 * self.incarnations
        process = SimulatedNode(
            member, skew, offset, self.time, self.limits, self.incarnations
        )
        self.nodes.append(process)
        return process

    def running(self):
        return [process for process in self.nodes if process.running()]

    def kill(self, process):
        process.alive = False

    def resume(self, process):
        frozen = (self.time - process.frozen_since) * process.clock_rate
        process.frozen_since = None
        if frozen > FREEZE_LIMIT:
            process.lender.pause()
            process.must_catch_up = True

    def may_forget_node(self, process):
        if not process.alive:
            return True
        since = process.frozen_since
        return since is not None and self.time - since > OPERATOR_DELAY

    def forget_node(self, process):
        member = process.member
        self.append(ForgetNode(member.node, member.incarnation), 0.0)

    def append(self, record, delay):
        self.appends.append((self.time + delay, record))

    def commit_appends(self):
        if not self.log_up:
            return
        due = [entry for entry in self.appends if entry[0] <= self.time]
        self.appends = [entry for entry in self.appends if entry[0] > self.time]
        self.log.extend(record for _, record in due)

    def read(self, process, limit=10**6):
        """Read the log directly, in whole or up to ``limit`` records."""
        if not self.log_up:
            return
        now = process.now(self.time)
        self.fold(process, min(len(self.log), process.position + limit))
        if process.position == len(self.log):
            process.table.renew_leases(now)
            if process.must_catch_up:
                process.must_catch_up = False
                process.lender.resume()
        self.refresh(process)

    def relay(self, process, peer):
        """Read the log through a peer, whose news have an age."""
        caught_up_at = peer.table.caught_up_at
        if caught_up_at is None or self.is_partitioned(process, peer):
            return
        self.fold(process, max(process.position, peer.position))
        age = (peer.now(self.time) - caught_up_at) * 1.1
        if process.position == peer.position:
            process.table.renew_leases(process.now(self.time) - age)
        self.refresh(process)

    def fold(self, process, end):
        now = process.now(self.time)
        for record in self.log[process.position : end]:
            process.table.apply(record, now)
        process.position = end

    def refresh(self, process):
        now = process.now(self.time)
        process.table.update_lender(process.lender, now)
        holders = process.table.lender_claims(0)
        refs = [LenderRef(c.holder, c.domain, c.term) for c in holders]
        if process.borrower.lenders.get(0) != refs:
            process.borrower.set_lenders(0, refs)

    def claim(self, process, members, delay):
        now = process.now(self.time)
        for record in process.table.due_records(members, now):
            self.append(record, delay)

    def release_slots(self, process):
        for record in process.table.release_all(process.lender.release_slot):
            self.append(record, 0.0)
        self.kill(process)

    def configure(self, process, limits):
        process.limits = limits
        process.lender.set_account(ACCOUNT, *limits, process.now(self.time))

    def is_partitioned(self, one, other):
        return self.partitioned and one.member.domain != other.member.domain

    def send(self, source, node, message, rng):
        for _ in range(2 if rng.random() < self.duplicates else 1):
            if rng.random() < self.loss:
                continue
            late = rng.random() < self.delay
            delay = rng.uniform(0.0, 1.5) if late else rng.uniform(0.001, 0.015)
            if self.instant:
                delay = 0.0
            data = encode_message(message)
            self.network.append((self.time + delay, source.member, node, data))

    def deliver(self, rng):
        due = [entry for entry in self.network if entry[0] <= self.time]
        self.network = [entry for entry in self.network if entry[0] > self.time]
        if not self.instant:
            rng.shuffle(due)
        for entry in due:
            _, sender, node, data = entry
            for process in self.nodes:
                if process.member.node != node or not process.alive:
                    continue
                if process.frozen_since is not None:
                    self.network.append(entry)
                elif not self.partitioned or sender.domain == process.member.domain:
                    self.handle(process, sender, decode_message(data), rng)

    def handle(self, process, sender, message, rng):
        now = process.now(self.time)
        if not isinstance(message, TokenRequest):
            process.borrower.handle_grant(sender.node, message, now)
            return
        grant = process.lender.handle_request(message, now)
        if grant is not None:
            self.send(process, message.borrower, grant, rng)

    def serve(self, process, calls, rng, refunds):
        """Let callers ask for tokens; those that have to wait try again later."""
        borrower = process.borrower
        now = process.now(self.time)
        for _ in range(calls):
            waited = bool(borrower.activate_demand(ACCOUNT, now).waiting)
            if not isinstance(borrower.acquire(ACCOUNT, now, waited), Acquired):
                break
            self.admitted.append(self.time)
            if rng.random() < refunds and borrower.refund(ACCOUNT, now):
                self.admitted.pop()
        for ref, request in borrower.due_requests(now):
            self.send(process, ref.node, request, rng)

    def step(self, rng, calls, refunds=0.0):
        """Advance by about one step; ``calls`` gives the calls at each process."""
        self.time += STEP * rng.uniform(0.5, 1.5)
        self.note_allowance()
        self.commit_appends()
        self.deliver(rng)
        for process in self.running():
            self.serve(process, calls(process), rng, refunds)
            if process.log_unreachable:
                continue
            if rng.random() < 0.15:
                self.read(process, rng.choice([1, 10**6]))
            if rng.random() < 0.1:
                self.relay(process, rng.choice(self.running()))

    def run(self, seconds, rng, calls, refunds=0.0):
        end = self.time + seconds
        while self.time < end:
            self.step(rng, lambda _: calls, refunds)

    def borrow_without_use(self, seconds, rng, without=None):
        """Let processes borrow all that they can for callers that do not come."""
        for process in self.running():
            now = process.now(self.time)
            demand = process.borrower.activate_demand(ACCOUNT, now)
            hoards = process is not without and rng.random() < 0.7
            demand.weight = 400.0 if hoards else 0.0
            demand.updated_at = now
        self.run(seconds, rng, calls=0)

    def spend_all_tokens(self, rng, loss=None):
        """Spend every token that can be had at this moment, by instant messages."""
        self.note_allowance()
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
                for process in rng.sample(self.running(), len(self.running())):
                    self.serve(process, 40, rng, 0.0)
                    self.deliver(rng)
        self.instant = False
        self.loss, self.delay, self.duplicates = faults
        self.network.extend(network)

    def run_with_freezes(self, seconds, rng, freezes=0.3):
        """Alternate idle, sparse and greedy callers while processes freeze."""
        end = self.time + seconds
        while self.time < end:
            # Buckets have to be full for a wrong token to show.
            quiet = rng.random() < 0.6
            greedy = [p for p in self.running() if not quiet and rng.random() < 0.5]
            sparse = not quiet and rng.random() < 0.3
            if rng.random() < 0.5:
                self.borrow_without_use(rng.choice([0.4, 1.0, 2.5]), rng)
                if rng.random() < 0.2:
                    self.spend_all_tokens(rng)
            frozen = [p for p in self.running()[1:] if rng.random() < freezes]
            for process in frozen:
                process.frozen_since = self.time
            stop = self.time + rng.choice([0.2, 0.7, 1.0, 1.2, 2.0])
            while self.time < stop:
                self.step(
                    rng,
                    lambda p, g=greedy, s=sparse: 20 if p in g else s,
                    refunds=0.05,
                )
            for process in frozen:
                self.resume(process)
            if quiet or rng.random() < 0.5:
                self.spend_all_tokens(rng)

    def note_allowance(self):
        """Integrate the highest rate that any living process has read."""
        time, total, _ = self.allowance[-1]
        alive = [process.limits for process in self.nodes if process.alive]
        rate = max([limits[0] for limits in alive], default=0.0)
        burst = max([limits[1] for limits in alive], default=0.0)
        self.allowance.append((self.time, total + rate * (self.time - time), burst))

    def check_rate_bound(self):
        """Check the bound over every window that two admissions span."""
        lookback = 1.2
        lowest = float("inf")
        index = 0
        oldest = 0
        for count, time in enumerate(self.admitted):
            while self.allowance[index][0] < time:
                index += 1
            while self.allowance[oldest][0] < time - lookback:
                oldest += 1
            # Loans of a lowered burst run out within one loan time.
            burst = max(entry[2] for entry in self.allowance[oldest : index + 1])
            total = self.allowance[index][1]
            lowest = min(lowest, burst + count - total)
            excess = count + 1 - total - lowest
            assert excess <= TOLERANCE, f"{excess:.3f} tokens too many at {time:.3f}"
