"""Fixtures."""

import pathlib
from collections.abc import Iterator

import pytest

from tests import processes


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[processes.Fleet]:
    """Processes that end with the test."""
    started = processes.Fleet(tmp_path)
    try:
        yield started
    finally:
        started.close()
