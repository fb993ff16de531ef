"""Tests of the demo."""

import subprocess
import sys

from sapphirelift import demo
from sapphirelift.core.requests import outcomes


class TestDemo:
    """The demo as a program, and its checks."""

    def test_all_checks_pass(self) -> None:
        """Guards against a demo that fails, hangs or skips a check."""
        done = subprocess.run(
            [sys.executable, "-m", "sapphirelift.demo"],
            capture_output=True,
            text=True,
            timeout=55,
        )
        assert done.returncode == 0, done.stdout + done.stderr
        assert done.stdout.count("  ok: ") == 12
        assert done.stderr == ""

    def test_failed_check_is_not_overwritten(self) -> None:
        """Guards against exit status 0 if a check passes after a failed one."""
        demo_run = demo.Demo()
        demo_run._check(False, "planted")
        demo_run._check(True, "held")
        assert not demo_run.all_passed
        assert demo._kind(outcomes.NotRun("planted")) == "not_run"
