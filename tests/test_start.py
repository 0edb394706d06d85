"""The start of a mesh node as a real process."""

import os
import signal
import subprocess
import sys

from .platform_harness import Platform, configuration


def test_reload_signal_during_the_start_is_kept_and_does_not_end_the_node():
    """A pipe in place of the settings file holds the start where it reads them."""
    with Platform() as platform:
        platform.publish(configuration(3))
        path = platform.write_boot_file("h1", "desk")
        settings = path.read_text()
        kept_path = path.rename(path.with_suffix(".kept"))
        os.mkfifo(path)
        with (platform.work_dir / "h1.log").open("w") as log_file:
            process = subprocess.Popen(
                [sys.executable, "-m", "carawaywheel", "node"],
                stdout=log_file,
                stderr=log_file,
                env=os.environ | {"CARAWAYWHEEL_BOOT": str(path)},
                text=True,
            )
        platform.register_process("h1", process)
        with path.open("w") as pipe:
            kept_path.replace(path)
            process.send_signal(signal.SIGHUP)
            pipe.write(settings)
        platform.wait_for(
            lambda: process.poll() is not None or platform.log_lines("h1", "reload"),
            "the node reloads or ends",
        )
        assert process.poll() is None
