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
