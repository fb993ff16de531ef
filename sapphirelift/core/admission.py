"""Admission limit of one backend server."""


class Admission:
    """Number of requests that may run at once."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self.busy = 0

    def limit(self, now_ms: int) -> float:
        """Returns the number of requests that may run now."""
        del now_ms
        return float(self._slots)

    def may_start(self, now_ms: int) -> bool:
        """Tells whether one more request may start now."""
        return self.busy + 1 <= self.limit(now_ms)

    def started(self, now_ms: int) -> None:
        """Counts a request that has started."""
        del now_ms
        self.busy += 1

    def finished(
        self, now_ms: int, *, duration_ms: int, shed: bool, failed: bool
    ) -> None:
        """Counts a request that has finished.

        Args:
            now_ms: Current time.
            duration_ms: How long the backend server took.
            shed: Whether the backend server refused it as not run.
            failed: Whether the connection was refused or cut.
        """
        del now_ms, duration_ms, shed, failed
        self.busy -= 1
