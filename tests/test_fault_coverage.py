import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_page_of_faults_is_current():
    """Guards against a page that claims proofs which no test gives."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.faults", "--check"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
