"""Whether a backend server that has announced its end is gone.

A notice of leaving may be late, of a former start, or of another writer, and a
process lives on for some time after it. So the notice ends nothing but new
flows; the server's own port shows when its process has exited.
"""

# Checks follow each other at growing intervals.
FIRST_CHECK_MS = 20
MAX_CHECK_MS = 1000
# A server that shuts down may close its port before it stops to answer. It
# counts as gone if it has sent no packet between two refused connections this
# far apart, longer than its peers wait before they send a packet again.
CONFIRM_MS = 210


class Departure:
    """Checks of the port of one backend server."""

    def __init__(self) -> None:
        self._is_checking = False
        self._interval_ms = FIRST_CHECK_MS
        self._refused_since_ms: int | None = None

    def begin(self) -> int | None:
        """Begins to check, unless checks are going on.

        Returns:
            Time until the first check, None if there is nothing to do.
        """
        if self._is_checking:
            return None
        self._is_checking = True
        self._interval_ms = FIRST_CHECK_MS
        self._refused_since_ms = None
        return FIRST_CHECK_MS

    def end(self) -> None:
        """Ends the checks: the server is gone, or the notice was wrong."""
        self._is_checking = False

    def on_sign_of_life(self) -> None:
        """Records a packet of the server."""
        self._refused_since_ms = None

    def is_gone(self, *, is_refused: bool, now_ms: int) -> bool:
        """Returns whether the server is gone, by the outcome of a check."""
        if not is_refused:
            self._refused_since_ms = None
            return False
        if self._refused_since_ms is None:
            self._refused_since_ms = now_ms
            return False
        return now_ms - self._refused_since_ms >= CONFIRM_MS

    def next_check_ms(self) -> int:
        """Returns the time until the next check."""
        if self._refused_since_ms is not None:
            return CONFIRM_MS
        self._interval_ms = min(2 * self._interval_ms, MAX_CHECK_MS)
        return self._interval_ms
