"""Long-lived green threads that restart after an uncaught error."""

import collections
from collections.abc import Callable

import eventlet
import eventlet.greenthread

from sapphirelift import clock

RESTART_DELAY_S = 0.2
# Keeps a task that fails on every datagram from flooding the log.
LOG_INTERVAL_MS = 10_000

# Uncaught errors by task name, for the dump and the metrics.
failures: collections.Counter[str] = collections.Counter()
_logged_ms: dict[str, int] = {}


def report(name: str) -> None:
    """Counts the exception being handled and logs it at a limited rate.

    Args:
        name: Name of the task, from a small fixed set of names.
    """
    failures[name] += 1
    now_ms = clock.now_ms()
    logged_ms = _logged_ms.get(name)
    if logged_ms is None or now_ms - logged_ms >= LOG_INTERVAL_MS:
        _logged_ms[name] = now_ms
        import eliot  # noqa: PLC0415  # Costs 30 ms at the start of a process.

        eliot.log_message("task_failed", task=name, failures=failures[name])
        eliot.write_traceback()


def spawn(
    name: str, function: Callable[[], None]
) -> eventlet.greenthread.GreenThread:
    """Starts a long-lived task that restarts after an uncaught error."""
    return eventlet.spawn(_run, name, function)


def _run(name: str, function: Callable[[], None]) -> None:
    while True:
        try:
            function()
            return
        except Exception:
            report(name)
            eventlet.sleep(RESTART_DELAY_S)
