"""Writes docs/FAULTS.md, a table of the tests that prove a step under a fault.

The table is built from the `proves` marks of the tests and from the reasons below. A
cell with neither is marked as not proved.
"""

import argparse
import contextlib
import io
import sys
from collections import Counter, defaultdict
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PAGE_PATH = ROOT / "docs" / "FAULTS.md"
INVARIANTS = tuple(f"I{number}" for number in range(1, 13))
NOT_PROVED = "not proved"

STEPS = (
    "request: authenticate",
    "request: charge",
    "request: claim",
    "request: admit",
    "request: forward",
    "request: sub-call",
    "request: retry",
    "request: answer",
    "change: publish",
    "change: spread",
    "change: restate",
    "withdrawal: accept",
    "withdrawal: spread",
    "node: start",
    "node: stop",
    "target: announce",
    "target: leave",
)
FAULTS = (
    "process killed",
    "frozen and resumed",
    "connection cut",
    "connection silent",
    "message lost",
    "message delayed",
    "duplicated or reordered",
    "answer lost",
    "log down",
    "log slow or forgetting",
    "operators racing",
    "clock rate",
    "two together",
    "same twice",
)


class ReportedFault(NamedTuple):
    """A fault that operators of similar systems have met.

    Attributes:
        fault: What went wrong there.
        answer: Whether it can happen here, and what prevents it.
        tests: Tests that show it.
    """

    fault: str
    answer: str
    tests: tuple[str, ...]


REPORTED_FAULTS = (
    ReportedFault(
        "A second copy of an answer came late, on a connection that was in use again",
        "It could, if the copy carried no attempt id: it was taken on a connection "
        "that earlier requests had used. Now such an answer fails its request; one "
        "with another id is skipped, and idle connections that have received bytes are "
        "closed.",
        (
            "tests/test_mesh.py::"
            "test_response_without_an_id_on_a_used_connection_is_not_forwarded",
            "tests/test_mesh.py::test_bad_response_is_never_forwarded_as_complete",
        ),
    ),
    ReportedFault(
        "A planned stop under load cut off requests that had just been accepted",
        "It could: a stopping node took new requests until its end, and the end of the "
        "grace time cut off the last ones. Now it refuses them once the stop has been "
        "announced, and the process ends when nothing is in flight, with large "
        "responses fetched. The refusal of an upload reaches a client that is still "
        "sending. Requests that cross the close of a connection do not reset it below "
        "a response: it is read on until the client has everything.",
        (
            "tests/test_shutdown.py::"
            "test_stop_under_load_cuts_off_no_request_that_was_passed_on",
            "tests/test_shutdown.py::"
            "test_large_response_is_fetched_from_a_stopping_node",
            "tests/test_listener.py::"
            "test_refusal_reaches_a_client_that_still_sends_its_body",
            "tests/test_shutdown.py::"
            "test_response_is_complete_though_a_request_behind_it_is_unread",
            "tests/test_shutdown.py::"
            "test_requests_that_cross_the_close_cut_off_no_response",
            "tests/test_stop.py::"
            "test_stop_under_load_refuses_new_requests_and_cuts_off_none",
            "tests/test_mesh.py::test_graceful_stop_completes_requests_in_flight",
        ),
    ),
    ReportedFault(
        "After a restart, a server that had left or a withdrawn key was in use again",
        "A server could: a heartbeat from before it began to leave, delivered late to "
        "the restarted node, made it ready. Now the node's own record in the store "
        "tells, and a second heartbeat must confirm it. A leaving is confirmed once "
        "the store or another node knows of it, also at a node that has just started, "
        "and a node that starts believes no ready heartbeat before it knows its "
        "record, from the store or, while that does not respond, from other nodes. A "
        "node whose clock had stepped back between two starts kept its former phase "
        "at the others; its record is superseded now. A withdrawn key stays out: "
        "configurations never step back.",
        (
            "tests/test_replication.py::"
            "test_leaving_target_is_not_used_after_a_restart_of_its_node",
            "tests/test_deregistration.py::"
            "test_deregistration_at_a_node_that_has_just_started",
            "tests/test_deregistration.py::"
            "test_restart_after_a_deregistration_that_the_store_does_not_take",
            "tests/test_replication.py::"
            "test_record_of_a_former_start_with_a_later_clock_is_superseded",
            "tests/test_replication.py::"
            "test_withdrawn_key_stays_withdrawn_after_a_restart_without_the_store",
        ),
    ),
    ReportedFault(
        "One malformed message or unexpected error took a whole process down",
        "It could: any error in a background component ended the node. Now the "
        "component is restarted, with a log line and a counter, and requests go on. "
        "Records with a phase or an address that cannot be used are skipped.",
        (
            "tests/test_mesh.py::"
            "test_errors_in_background_components_stop_neither_node_nor_requests",
            "tests/test_parts.py::test_errors_in_parts_stop_neither_node_nor_requests",
            "tests/test_quotas.py::test_malformed_message_is_ignored",
        ),
    ),
    ReportedFault(
        "A paused process acted on a permission that had run out meanwhile",
        "It could: time that a request spent unread in a paused process still counted "
        "as left, at the entry and beside the target, and granted tokens were dated by "
        "their arrival. Now both are dated from before the pause.",
        (
            "tests/test_mesh.py::"
            "test_paused_node_runs_no_request_whose_deadline_has_passed",
            "tests/test_node.py::"
            "test_paused_node_runs_no_request_whose_deadline_has_passed",
            "tests/test_quotas.py::test_grant_that_arrives_after_a_pause_is_not_used",
            "tests/test_stalls.py::"
            "test_input_read_after_a_stall_may_be_as_old_as_the_stall",
        ),
    ),
    ReportedFault(
        "An answer that broke off halfway reached the caller as a complete success",
        "Not found, but for an answer without a length whose server is killed, which "
        "nobody can tell from its end.",
        (
            "tests/test_mesh.py::"
            "test_truncated_large_response_is_not_forwarded_as_complete",
            "tests/test_mesh.py::test_bad_response_is_never_forwarded_as_complete",
        ),
    ),
    ReportedFault(
        "A server in trouble sent bytes without end",
        "Trailers, chunk extensions and informational answers were read without a "
        "bound, and a body went on to the caller for as long as it came. Now bytes "
        "that are neither head nor body are bounded, and a body ends with the caller's "
        "deadline, visibly incomplete.",
        (
            "tests/test_mesh.py::"
            "test_bytes_without_end_instead_of_a_response_are_cut_off",
            "tests/test_mesh.py::test_body_without_end_is_never_complete",
            "tests/test_framing.py::"
            "test_bytes_without_end_are_an_error_in_bounded_memory",
        ),
    ),
)


class ExclusionReason(NamedTuple):
    """Reason why some faults cannot happen in some steps.

    Attributes:
        code: Code of the reason in the table.
        steps: Steps that it applies to.
        faults: Faults that it applies to.
        text: The reason in words.
    """

    code: str
    steps: tuple[str, ...]
    faults: tuple[str, ...]
    text: str


LOCAL_STEPS = ("request: authenticate", "request: admit")
STEPS_WITHOUT_LOG = LOCAL_STEPS + (
    "request: charge",
    "request: forward",
    "request: sub-call",
    "request: retry",
    "request: answer",
    "target: announce",
    "target: leave",
)
MESSAGE_FAULTS = (
    "connection cut",
    "connection silent",
    "message lost",
    "message delayed",
    "duplicated or reordered",
    "answer lost",
)
EXCLUSION_REASONS = (
    ExclusionReason(
        "a",
        LOCAL_STEPS,
        MESSAGE_FAULTS,
        "The step runs inside one node on what it holds in memory and sends no "
        "message.",
    ),
    ExclusionReason(
        "b",
        tuple(s for s in STEPS if not s.startswith(("change", "withdrawal"))),
        ("operators racing",),
        "No operator takes part in the step.",
    ),
    ExclusionReason(
        "c",
        ("request: forward", "request: sub-call", "request: answer"),
        ("duplicated or reordered",),
        "The step uses one TCP connection for one request at a time, which neither "
        "duplicates nor reorders bytes; crossed answers are told by the attempt id.",
    ),
    ExclusionReason(
        "d",
        ("change: publish", "change: spread", "withdrawal: accept"),
        ("clock rate",),
        "The order of the log alone decides; no clock takes part in the decision.",
    ),
)


class Proof(NamedTuple):
    """A `proves` mark of a test.

    Attributes:
        test: Node id of the test, without parameters.
        invariant: Invariant that the test proves.
        step: Step in which the fault happens.
        fault: The fault.
    """

    test: str
    invariant: str
    step: str
    fault: str


class ProofCollector:
    """Pytest plugin that collects the `proves` marks of all tests."""

    def __init__(self) -> None:
        self.proofs: set[Proof] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Read the marks of the collected tests."""
        for item in items:
            name = item.nodeid.partition("[")[0].removesuffix("::runTest")
            for mark in item.iter_markers("proves"):
                self.proofs.add(Proof(name, *mark.args, **mark.kwargs))


def collect_proofs() -> list[Proof]:
    """Return the `proves` marks of all tests, sorted.

    Raises:
        ValueError: If the tests cannot be collected or a mark is invalid.
    """
    collector = ProofCollector()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        arguments = ["--collect-only", "-q", "-p", "no:cacheprovider", "tests"]
        status = pytest.main(arguments, plugins=[collector])
    if status != 0:
        raise ValueError(f"pytest could not collect the tests:\n{output.getvalue()}")
    for proof in collector.proofs:
        check_proof(proof)
    return sorted(collector.proofs)


def check_proof(proof: Proof) -> None:
    """Check that a mark is valid.

    Raises:
        ValueError: If the invariant, the step or the fault is unknown, or if the fault
            is listed as one that cannot happen in the step.
    """
    for value, allowed in (
        (proof.invariant, INVARIANTS),
        (proof.step, STEPS),
        (proof.fault, FAULTS),
    ):
        if value not in allowed:
            raise ValueError(f"{proof.test}: {value!r} is not one of {allowed}")
    if exclusion_reason(proof.step, proof.fault) is not None:
        raise ValueError(
            f"{proof.test}: {proof.fault!r} cannot happen in {proof.step!r}, "
            "according to the reasons in bench/faults.py"
        )


def exclusion_reason(step: str, fault: str) -> ExclusionReason | None:
    """Return the reason why a fault cannot happen in a step, or None if it can."""
    for reason in EXCLUSION_REASONS:
        if step in reason.steps and fault in reason.faults:
            return reason
    return None


def render_page(proofs: list[Proof]) -> tuple[str, Counter[str]]:
    """Return the page and the number of cells in each state."""
    tests = sorted({proof.test for proof in proofs})
    numbers = {test: number for number, test in enumerate(tests, 1)}
    cells: dict[tuple[str, str], set[int]] = defaultdict(set)
    invariants_by_test: dict[str, set[str]] = defaultdict(set)
    for proof in proofs:
        cells[proof.step, proof.fault].add(numbers[proof.test])
        invariants_by_test[proof.test].add(proof.invariant)
    counts: Counter[str] = Counter()
    rows = []
    for step in STEPS:
        row = [step]
        for fault in FAULTS:
            state, text = format_cell(cells, step, fault)
            counts[state] += 1
            row.append(text)
        rows.append(row)
    return format_page(rows, invariants_by_test, numbers, counts), counts


def format_cell(
    cells: dict[tuple[str, str], set[int]], step: str, fault: str
) -> tuple[str, str]:
    """Return the state and the text of a cell."""
    reason = exclusion_reason(step, fault)
    if reason is not None:
        return "cannot happen", f"({reason.code})"
    test_numbers = sorted(cells.get((step, fault), ()))
    if test_numbers:
        return "proved", ", ".join(map(str, test_numbers))
    return NOT_PROVED, NOT_PROVED


def format_page(
    rows: list[list[str]],
    invariants_by_test: dict[str, set[str]],
    numbers: dict[str, int],
    counts: Counter[str],
) -> str:
    """Format the page as Markdown."""
    lines = [
        "# Invariants under failure",
        "",
        "`make faults` writes this page from the `proves` marks of the tests and the",
        "reasons in `bench/faults.py`. A number names a test below, a letter says why",
        "the fault cannot happen in the step. A test proves the invariants that it is",
        "listed with, for the schedules that it runs.",
        "",
        "Cells: " + ", ".join(f"{counts[k]} {k}" for k in sorted(counts)) + ".",
        "",
        "| " + " | ".join(("step", *FAULTS)) + " |",
        "|" + " --- |" * (len(FAULTS) + 1),
    ]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    lines += ["", "## Tests", ""]
    for test, number in numbers.items():
        invariants = ", ".join(sorted(invariants_by_test[test], key=INVARIANTS.index))
        lines.append(f"{number}. `{test}` ({invariants})")
    lines += ["", "## Why a fault cannot happen", ""]
    lines += [f"- ({reason.code}) {reason.text}" for reason in EXCLUSION_REASONS]
    lines += ["", "## Faults that operators of similar systems have met", ""]
    lines += ["| fault | can it happen here | tests |", "| --- | --- | --- |"]
    for reported in REPORTED_FAULTS:
        test_names = ", ".join(f"`{test}`" for test in reported.tests)
        lines.append(f"| {reported.fault} | {reported.answer} | {test_names} |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(prog="bench.faults", description=__doc__)
    parser.add_argument(
        "--check",
        action="store_true",
        help="check that the page is up to date, write nothing",
    )
    options = parser.parse_args()
    text, counts = render_page(collect_proofs())
    for state in sorted(counts):
        print(f"{state}: {counts[state]}")
    if not options.check:
        PAGE_PATH.write_text(text)
    elif not PAGE_PATH.exists() or PAGE_PATH.read_text() != text:
        sys.exit("docs/FAULTS.md is out of date: run make faults")


if __name__ == "__main__":
    main()
