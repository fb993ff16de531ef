"""Signal handlers of the daemons."""

import signal
from collections.abc import Callable

import eventlet
import eventlet.event


def install_handlers(
    *, on_dump: Callable[[], None], on_reload: Callable[[], None] | None = None
) -> eventlet.event.Event:
    """Installs the signal handlers of a daemon.

    Args:
        on_dump: Called after SIGUSR1.
        on_reload: Called after SIGHUP, which ends the process if this is
            None.

    Returns:
        An event that is sent on SIGTERM or SIGINT.
    """
    stopping: eventlet.event.Event = eventlet.event.Event()

    def on_stop(signum: int, frame: object) -> None:
        del signum, frame
        if not stopping.ready():
            stopping.send(None)

    signal.signal(signal.SIGUSR1, _deferred(on_dump))
    if on_reload is not None:
        signal.signal(signal.SIGHUP, _deferred(on_reload))
    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    return stopping


def _deferred(call: Callable[[], None]) -> Callable[[int, object], None]:
    """Returns a handler that defers a call to a green thread.

    A signal handler may interrupt code in the middle of a state change.
    """

    def handler(signum: int, frame: object) -> None:
        del signum, frame
        eventlet.spawn_after(0, call)

    return handler
