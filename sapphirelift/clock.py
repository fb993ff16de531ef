"""Clocks for the edges; the core gets its time as an argument."""

import random
import time


def now_ms() -> int:
    """Returns monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def new_incarnation() -> int:
    """Returns an incarnation number, above those of earlier starts.

    It is the wall clock in milliseconds with 16 random bits below, so that
    two starts within a millisecond differ.
    """
    return (time.time_ns() // 1_000_000) << 16 | random.getrandbits(16)
