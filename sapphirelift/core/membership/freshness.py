"""Detection of records that may be stale because the balancer was frozen."""

# The balancer observes the time every 250 ms. A gap this long means
# that the process was frozen and may have missed the withdrawal of a data
# centre.
FROZEN_AFTER_MS = 1500
# The replica stays in force when neither a neighbour nor the platform can be
# reached (section 11), so the wait for a comparison is bounded.
COMPARE_TIMEOUT_MS = 3000


class Freshness:
    """Detects freezes of the process by gaps between the times it observes.

    After a gap the records count as stale until their revision has been
    compared with that of another process or the platform.

    Attributes:
        gaps: Number of gaps detected.
    """

    def __init__(self) -> None:
        self.gaps = 0
        self._last_observed_ms: int | None = None
        self._stale_since_ms: int | None = None

    def observe(self, now_ms: int) -> bool:
        """Records the current time; returns whether a gap precedes it."""
        last_ms, self._last_observed_ms = self._last_observed_ms, now_ms
        if last_ms is None or now_ms - last_ms < FROZEN_AFTER_MS:
            return False
        self.gaps += 1
        self._stale_since_ms = now_ms
        return True

    @property
    def last_observed_ms(self) -> int:
        """Time of the last observation; 0 if there was none."""
        return self._last_observed_ms or 0

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether packets may be routed by the records in force.

        The records count as fresh again after ``COMPARE_TIMEOUT_MS``.
        """
        since_ms = self._stale_since_ms
        if since_ms is not None and now_ms - since_ms >= COMPARE_TIMEOUT_MS:
            self._stale_since_ms = None
        return self._stale_since_ms is None

    def check(self, now_ms: int) -> bool:
        """Records the arrival of a packet; returns whether to route it."""
        self.observe(now_ms)
        return self.is_fresh(now_ms)

    def confirm(self) -> None:
        """Marks the records as confirmed by a peer or the platform."""
        self._stale_since_ms = None
