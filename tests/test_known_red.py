"""Tests that KNOWN-RED.txt lists, under workers of the test runner."""

import pathlib
import shutil
import subprocess
import sys

_TESTS = pathlib.Path(__file__).parent
_PLAIN = """
def test_green():
    pass

def test_red():
    raise AssertionError
"""


class TestKnownRed:
    """A run of a small suite that has the conftest of this one."""

    def test_left_out_and_printed_once(self, tmp_path: pathlib.Path) -> None:
        """Guards against workers that run or hide the known failures."""
        folder = tmp_path / "tests"
        folder.mkdir()
        for name in ("__init__.py", "conftest.py", "processes.py"):
            shutil.copy(_TESTS / name, folder)
        (folder / "test_plain.py").write_text(_PLAIN)
        node_id = "tests/test_plain.py::test_red"
        (tmp_path / "KNOWN-RED.txt").write_text(f"test: {node_id}\n")
        ran = subprocess.run(
            [sys.executable, "-m", "pytest", "-n", "2", "tests"],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            check=False,
        )
        assert ran.returncode == 0, ran.stdout + ran.stderr
        assert ran.stdout.count(f"KNOWN RED, not run: {node_id}") == 1
        assert "1 passed" in ran.stdout
