"""Whether a balancer's records may be out of date because it was frozen."""

# The edge ticks every 250 ms; a gap this long means that the process stood
# still, and withdrawals may have passed it by.
FROZEN_AFTER_MS = 1500
# With neither neighbour nor platform in reach the replica stays in force
# (section 11), so the wait for a comparison is bounded.
COMPARE_TIMEOUT_MS = 3000


class Freshness:
    """Detects gaps in time and waits for a comparison of revisions after one.

    Attributes:
        gaps: Number of gaps seen.
    """

    def __init__(self) -> None:
        self.gaps = 0
        self._seen_ms: int | None = None
        self._stale_since_ms: int | None = None

    def observe(self, now_ms: int) -> bool:
        """Takes the time; returns True if a gap ends here."""
        last_ms, self._seen_ms = self._seen_ms, now_ms
        if last_ms is None or now_ms - last_ms < FROZEN_AFTER_MS:
            return False
        self.gaps += 1
        self._stale_since_ms = now_ms
        return True

    def is_fresh(self, now_ms: int) -> bool:
        """Tells whether packets may be routed by the records in force."""
        since_ms = self._stale_since_ms
        if since_ms is not None and now_ms - since_ms >= COMPARE_TIMEOUT_MS:
            self._stale_since_ms = None
        return self._stale_since_ms is None

    def check(self, now_ms: int) -> bool:
        """Takes the time of a packet; tells whether it may be routed."""
        self.observe(now_ms)
        return self.is_fresh(now_ms)

    def confirm(self) -> None:
        """Notes that another process or the platform has confirmed us."""
        self._stale_since_ms = None
