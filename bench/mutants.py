"""Mutation tests: applies small faults to the source and checks that tests fail.

Mutants are applied one at a time. Each removes one rule from a scratch copy of the
source tree; then the tests run that must fail without the rule.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
COPIED_FOLDERS = ("src", "tests", "standins", "bench", "docs", "examples", "schema")
TEST_TIMEOUT_SECONDS = 60.0
TOTAL_SECONDS = 300.0
FAULT_TEST_PREFIX = "tests/test_faults.py::test_"
FAILED_STATUS = 1
SETUP_FAILED_STATUS = -1
MAX_ATTEMPTS = 2


class Mutant(NamedTuple):
    """A change of the source that tests must detect.

    Attributes:
        file: Module under src/carawaywheel.
        old: Source text to replace, which occurs exactly once.
        new: Text that replaces it.
        tests: Node ids of tests, at least one of which must fail.
    """

    file: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = (
    Mutant(
        "limits.py",
        "slow = latency > self.settings.latency_tolerance * self.baseline",
        "slow = False",
        ("tests/test_limits.py::test_limit_falls_to_the_capacity_of_a_slowed_target",),
    ),
    Mutant(
        "limits.py",
        "self.slots = self._clamp_slots(share * self.declared_slots)",
        "self.slots = float(self.declared_slots)",
        (
            "tests/test_limits.py::"
            "test_cold_target_starts_at_a_share_and_grows_within_5_s",
        ),
    ),
    Mutant(
        "limits.py",
        "if window.shed_share() > self.settings.shed_tolerance:",
        "if False:",
        (
            "tests/test_limits.py::"
            "test_limit_follows_a_target_that_sheds_and_recovers_within_5_s",
        ),
    ),
    Mutant(
        "admission.py",
        "if not self.waiting and self.in_flight < self.limit.limit(now):",
        "if not self.waiting and self.in_flight <= self.limit.limit(now):",
        ("tests/test_admission.py::TestQueueMachine",),
    ),
    Mutant(
        "admission.py",
        "        if self.draining:\n            refusal",
        "        if False:\n            refusal",
        (
            "tests/test_admission.py::"
            "test_drain_serves_the_queue_and_refuses_new_offers",
        ),
    ),
    Mutant(
        "levels.py",
        "if sheds_critical and importance != Importance.CRITICAL:",
        "if False:",
        ("tests/test_levels.py::test_critical_is_refused_only_when_all_others_are",),
    ),
    Mutant(
        "levels.py",
        "weight = max(0.0, 1.0 - age / self.settings.max_age)",
        "weight = 1.0",
        ("tests/test_levels.py::test_levels_decay_and_expire",),
    ),
    Mutant(
        "borrowers.py",
        "            best.held -= 1\n",
        "",
        (FAULT_TEST_PREFIX + "no_account_gets_more_than_its_rate[frozen]",),
    ),
    Mutant(
        "lenders.py",
        "limit = DomainLimit(nominal.rate / (1 + self.settings.drift), nominal.burst)",
        "limit = DomainLimit(nominal.rate * 2, nominal.burst)",
        (FAULT_TEST_PREFIX + "no_account_gets_more_than_its_rate[late]",),
    ),
    Mutant(
        "lenders.py",
        "        self.bucket.take(tokens, now)\n",
        "",
        (FAULT_TEST_PREFIX + "no_account_gets_more_than_its_rate[lost]",),
    ),
    Mutant(
        "retries.py",
        "return idempotent or refusal.ran is Ran.NOT_RUN",
        "return True",
        (
            "tests/test_retries.py::"
            "test_unknown_outcome_is_retried_only_when_idempotent",
        ),
    ),
    Mutant(
        "retries.py",
        "        self.attempts -= reserved\n",
        "",
        ("tests/test_retries.py::TestCallTree",),
    ),
    Mutant(
        "retries.py",
        "unused = min(unused, reserved)",
        "pass",
        (
            "tests/test_retries.py::test_response_cannot_return_more_attempts_than_reserved",
        ),
    ),
    Mutant(
        "retries.py",
        "if sum(self.retries) >= allowed:",
        "if sum(self.retries) > allowed:",
        ("tests/test_retries.py::test_retries_stay_below_the_share_in_any_window",),
    ),
    Mutant(
        "retries.py",
        "        Reason.PEER_FAILED,\n",
        "",
        (FAULT_TEST_PREFIX + "an_idempotent_request_of_a_killed_node_is_retried",),
    ),
    Mutant(
        "claims.py",
        "    if state.owner:\n",
        "    if False:\n",
        ("tests/test_claims.py::TestClaimMachine",),
    ),
    Mutant(
        "claims.py",
        " or record.change_id in state.rejected",
        "",
        ("tests/test_claims.py::TestClaimMachine",),
    ),
    Mutant(
        "claims.py",
        "if offset < self.position:",
        "if False:",
        ("tests/test_claims.py::test_rejected_claim_never_becomes_the_owner",),
    ),
    Mutant(
        "claims.py",
        '        hasher.update(len(data).to_bytes(8, "big"))\n',
        "",
        ("tests/test_claims.py::test_claim_id_separates_its_fields",),
    ),
    Mutant(
        "claimservice.py",
        "if stream.table.owner(claim) == change_id:",
        "if True:",
        (
            FAULT_TEST_PREFIX
            + "a_claimed_dispatch_runs_once_although_its_node_is_killed",
        ),
    ),
    Mutant(
        "claimservice.py",
        "return Refusal(Reason.LOG_UNAVAILABLE, Ran.NOT_RUN, 1.0, STEP, route)",
        "return AcquiredClaim(claim, change_id, stream.name)",
        (
            FAULT_TEST_PREFIX + "a_claim_needs_the_log",
            FAULT_TEST_PREFIX + "a_claim_whose_response_is_lost_runs_at_most_once",
        ),
    ),
    Mutant(
        "configuration.py",
        "if version != change.base_version:",
        "if False:",
        (
            "tests/test_configuration.py::"
            "test_first_of_two_racing_changes_wins_at_every_reader",
        ),
    ),
    Mutant(
        "configuration.py",
        "if known is not None and known.withdrawn:\n            entry =",
        "if False:\n            entry =",
        ("tests/test_configuration.py::TestConfigurationMachine",),
    ),
    Mutant(
        "configuration.py",
        "is_current = latest.as_of >= self.start",
        "is_current = True",
        (
            "tests/test_configuration.py::"
            "test_stale_snapshot_does_not_affect_a_new_reader",
        ),
    ),
    Mutant(
        "configuration.py",
        "if known is None or entry.version > known.version:",
        "if True:",
        ("tests/test_configuration.py::TestConfigurationMachine",),
    ),
    Mutant(
        "changeservice.py",
        "MAX_APPEND_ATTEMPTS = 3",
        "MAX_APPEND_ATTEMPTS = 1",
        (
            "tests/test_changeservice.py::"
            "test_append_is_repeated_if_its_response_is_lost",
        ),
    ),
    Mutant(
        "members.py",
        "        return new.incarnation > old.incarnation\n",
        "        return True\n",
        ("tests/test_membership.py::TestMembershipMachine",),
    ),
    Mutant(
        "members.py",
        "if member.target_state >= TargetState.DRAINING > known.target_state:",
        "if False:",
        (
            "tests/test_membership.py::"
            "test_draining_target_is_known_to_all_within_three_seconds",
        ),
    ),
    Mutant(
        "relay.py",
        "if self.may_have_run or self.attempt_pending:",
        "if False:",
        (
            FAULT_TEST_PREFIX
            + "a_request_of_a_killed_node_is_never_reported_as_not_run[n2]",
        ),
    ),
    Mutant(
        "relay.py",
        "SILENCE_TIMEOUT_SECONDS = 1.0",
        "SILENCE_TIMEOUT_SECONDS = 100.0",
        (
            FAULT_TEST_PREFIX
            + "a_stalled_connection_is_detected_and_not_run_is_true[all connections]",
        ),
    ),
    Mutant(
        "headers.py",
        "    AUTHORIZATION_HEADER,\n    REQUEST_ID",
        "    REQUEST_ID",
        ("tests/test_node.py::test_no_target_receives_a_key",),
    ),
    Mutant(
        "headers.py",
        'return b"cw_" in body and API_KEY_PATTERN.search(body) is not None',
        "return False",
        ("tests/test_node.py::test_no_target_receives_a_key",),
    ),
    Mutant(
        "admission.py",
        "        for queue in self.class_queues:\n",
        "        for queue in reversed(self.class_queues):\n",
        (
            "tests/test_admission.py::"
            "test_freed_slot_goes_to_the_most_important_waiting_request",
        ),
    ),
    Mutant(
        "entry.py",
        "if parent.key_id and (key is None or key.withdrawn):",
        "if False:",
        (
            FAULT_TEST_PREFIX
            + "a_withdrawn_key_stops_on_open_connections_and_for_sub_calls",
        ),
    ),
    Mutant(
        "node.py",
        "await curio.ignore_after(self.settings.stop_grace, self.wait_until_idle)",
        "pass",
        (FAULT_TEST_PREFIX + "a_graceful_stop_truncates_no_response[False]",),
    ),
    Mutant(
        "membership.py",
        "if log_offset > self.newest_log_offset[0]:",
        "if False:",
        ("tests/test_membership.py::test_log_offset_and_cold_time_are_disseminated",),
    ),
    Mutant(
        "replica.py",
        "if self.frozen_at is not None:\n            return False",
        "if False:\n            return False",
        (
            "tests/test_replica.py::test_suspension_ends_only_by_the_response_to_a_later_request",
        ),
    ),
    Mutant(
        "replica.py",
        "if self.frozen_at is not None and asked_at >= self.frozen_at:",
        "if self.frozen_at is not None:",
        (
            "tests/test_replica.py::test_suspension_ends_only_by_the_response_to_a_later_request",
        ),
    ),
    Mutant(
        "entry.py",
        "        if not route.allow_anonymous:\n",
        "        if False:\n",
        ("tests/test_node.py::test_only_valid_keys_are_served",),
    ),
    Mutant(
        "attempts.py",
        "self.states[attempt_id] = AttemptState.FENCED",
        "pass",
        ("tests/test_attempts.py",),
    ),
    Mutant(
        "lenders.py",
        "if loan is not None and request.sequence <= loan.sequence:",
        "if False:",
        ("tests/test_shares.py::test_retransmitted_request_gets_the_same_grant",),
    ),
    Mutant(
        "slotreplay.py",
        "elif self.is_complete:",
        "elif True:",
        ("tests/test_slotreplay.py",),
    ),
)


def copy_tree(folder: Path) -> None:
    """Copy the files that the tests need into a scratch folder."""
    for name in COPIED_FOLDERS:
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    shutil.copy(ROOT / "pyproject.toml", folder)


def run_tests(folder: Path, tests: tuple[str, ...]) -> int | None:
    """Run tests in the scratch folder.

    Returns:
        The exit status of pytest; None after a timeout, and `SETUP_FAILED_STATUS`
        if no test failed but the setup of one did, such as the start of its mesh.
    """
    arguments = ["-m", "pytest", "-x", "-p", "no:cacheprovider", *tests]
    environment = os.environ | {"PYTHONPATH": str(folder / "src")}
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    environment["HYPOTHESIS_PROFILE"] = "unshrunk"
    process = subprocess.Popen(
        [sys.executable, *arguments],
        cwd=folder,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        output, _ = process.communicate(timeout=TEST_TIMEOUT_SECONDS)
        setup_failed = process.returncode == FAILED_STATUS and " failed" not in output
        return SETUP_FAILED_STATUS if setup_failed else process.returncode
    except subprocess.TimeoutExpired:
        # SIGINT lets the fixtures stop the processes that they started.
        process.send_signal(2)
        process.communicate(timeout=TEST_TIMEOUT_SECONDS)
        return None


def try_mutant(folder: Path, mutant: Mutant) -> str:
    """Apply a mutant, run its tests and restore the source; return the outcome."""
    path = folder / "src" / "carawaywheel" / mutant.file
    source = path.read_text()
    if source.count(mutant.old) != 1:
        return (
            f"stale: the source text occurs {source.count(mutant.old)} times, not once"
        )
    path.write_text(source.replace(mutant.old, mutant.new))
    try:
        for _ in range(MAX_ATTEMPTS):
            status = run_tests(folder, mutant.tests)
            if status != SETUP_FAILED_STATUS:
                break
    finally:
        path.write_text(source)
    if status is None or status == FAILED_STATUS:
        return "caught"
    if status == SETUP_FAILED_STATUS:
        return "not run: the setup of the test failed"
    return "survived" if status == 0 else f"not run: pytest ended with {status}"


def run_mutants(selected: list[Mutant]) -> list[Mutant]:
    """Test mutants and return those that no test detected in time."""
    undetected = []
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="carawaywheel-mutants-") as name:
        folder = Path(name)
        copy_tree(folder)
        for mutant in selected:
            mutant_started_at = time.monotonic()
            outcome = "not run: out of time"
            if mutant_started_at - started_at < TOTAL_SECONDS:
                outcome = try_mutant(folder, mutant)
            seconds = time.monotonic() - mutant_started_at
            first_line = mutant.old.strip().splitlines()[0]
            print(
                f"{outcome:9} {seconds:5.1f} s  {mutant.file}: {first_line}", flush=True
            )
            if outcome != "caught":
                undetected.append(mutant)
    return undetected


def main() -> None:
    """Test all mutants, or those of some files."""
    parser = argparse.ArgumentParser(prog="bench.mutants", description=__doc__)
    parser.add_argument(
        "files", nargs="*", help="modules of the mutants to test (default: all)"
    )
    options = parser.parse_args()
    selected = [m for m in MUTANTS if not options.files or m.file in options.files]
    undetected = run_mutants(selected)
    print(f"{len(selected) - len(undetected)} of {len(selected)} caught")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
