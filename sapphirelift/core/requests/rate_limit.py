"""Token bucket rate limiter."""


class TokenBucket:
    """Allows bursts of ``burst`` calls and ``rate_per_s`` on average.

    >>> bucket = TokenBucket(rate_per_s=10, burst=1)
    >>> bucket.reserve_ms(now_ms=0), bucket.reserve_ms(now_ms=0)
    (0, 100)
    """

    def __init__(self, *, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._available = float(burst)
        self._filled_ms: int | None = None

    def reserve_ms(self, *, now_ms: int) -> int:
        """Takes one token; returns the time to wait before using it."""
        self._fill(now_ms)
        self._available -= 1
        if self._available >= 0:
            return 0
        return round(-self._available * 1000 / self._rate_per_s)

    def fails_to_take(self, *, now_ms: int) -> bool:
        """Takes one token if available; returns whether the limit is exceeded.

        True means that no token was taken, so that the caller has to wait.

        >>> bucket = TokenBucket(rate_per_s=10, burst=1)
        >>> bucket.fails_to_take(now_ms=0), bucket.fails_to_take(now_ms=0)
        (False, True)
        """
        self._fill(now_ms)
        if self._available < 1:
            return True
        self._available -= 1
        return False

    def _fill(self, now_ms: int) -> None:
        if self._filled_ms is not None:
            added = (now_ms - self._filled_ms) * self._rate_per_s / 1000
            self._available = min(self._available + added, self._burst)
        self._filled_ms = now_ms
