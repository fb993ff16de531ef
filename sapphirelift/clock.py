"""Clocks for the I/O layer; the core receives the time as an argument."""

import random
import time


def now_ms() -> int:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def boot_ms() -> int:
    """Returns the time since the instance started, in milliseconds.

    Unlike ``now_ms``, it includes the time for which the instance was
    suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def new_incarnation() -> int:
    """Returns an incarnation number, higher than those of earlier starts.

    It is the wall clock in milliseconds, followed by 16 random bits that
    distinguish two starts within a millisecond.
    """
    return (time.time_ns() // 1_000_000) << 16 | random.getrandbits(16)
