"""Delays between retries."""

import random


class Backoff:
    """Exponential backoff with jitter.

    Each delay is drawn uniformly between half and all of a limit that doubles,
    so that processes that failed together do not retry at the same time.
    """

    def __init__(
        self, rng: random.Random, *, min_s: float = 0.2, max_s: float = 5.0
    ) -> None:
        self._rng = rng
        self._min_s = min_s
        self._max_s = max_s
        self._limit_s = min_s

    def reset(self) -> None:
        """Resets the limit to its minimum after a success."""
        self._limit_s = self._min_s

    def next_s(self) -> float:
        """Returns the delay in seconds before the next attempt."""
        limit_s = self._limit_s
        self._limit_s = min(limit_s * 2, self._max_s)
        return limit_s * self._rng.uniform(0.5, 1.0)
