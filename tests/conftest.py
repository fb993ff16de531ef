"""Fixtures, and deselection of the tests listed in KNOWN-RED.txt."""

import pathlib
from collections.abc import Iterator

import pytest

from tests import processes

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def _known_red() -> list[str]:
    """Returns the node ids of the tests that are known to fail."""
    if not _KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(_TEST_PREFIX).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_TEST_PREFIX)
    ]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the tests listed in KNOWN-RED.txt."""
    known = set(_known_red())
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests listed in KNOWN-RED.txt."""
    for node_id in _known_red():
        terminalreporter.write_line(f"KNOWN RED, not run: {node_id}")


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[processes.Fleet]:
    """Starts processes for a test and stops them after it."""
    started = processes.Fleet(tmp_path)
    try:
        yield started
    finally:
        started.close()
