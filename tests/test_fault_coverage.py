import subprocess
import sys
from pathlib import Path

from bench import faults

ROOT = Path(__file__).parent.parent


def test_fault_page_matches_the_marks_of_the_tests():
    """Guards against a page that lists proofs which no test has any more."""
    result = subprocess.run(
        [sys.executable, "-m", "bench.faults", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0, result.stdout + result.stderr


def test_tests_of_reported_faults_exist():
    for reported in faults.REPORTED_FAULTS:
        for test in reported.tests:
            path, _, name = test.partition("::")
            assert f"def {name}(" in (faults.ROOT / path).read_text()
