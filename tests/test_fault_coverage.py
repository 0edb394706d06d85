import subprocess
import sys
from pathlib import Path

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
