"""Admission control for one backend server.

Three limits apply together: an adaptive concurrency limit, a slow-start ramp,
and a pause between requests while the ramp allows less than one slot. All of
them are derived from the agent's own measurements.
"""

import collections
import statistics

MIN_SAMPLES = 8
MEDIAN_SAMPLES = 128
DECREASE_FACTOR = 0.7
SLOW_RATIO = 2.0
RATIO_SMOOTHING = 0.1
# Shorter durations are dominated by scheduling delay, not by the work.
SCHEDULING_NOISE_MS = 10
# At 4, a server running at a fifth of its speed was not detected on a busy
# machine, where scheduling delay raises the median itself.
COLD_RATIO = 3.0
# Consecutive slow or shed requests that restart the ramp.
COLD_RUN = 3


class Admission:
    """Limits the number of requests that run concurrently.

    The ramp starts with the first answer, not when the agent starts: a
    backend server that starts later than its agent is still cold then.
    """

    def __init__(
        self, *, slots: int, initial_share: float = 1.0, ramp_ms: int = 0
    ) -> None:
        """Creates the limiter of a backend server that has just started.

        Args:
            slots: Concurrency limit of the warm backend server.
            initial_share: Share of the slots allowed when the ramp starts.
            ramp_ms: Time over which the share rises to 1; 0 for no ramp.
        """
        self._slots = slots
        self._initial_share = initial_share
        self._ramp_ms = ramp_ms
        self._adaptive_limit = float(slots)
        # True even if no ramp is configured, because a record may configure
        # one before the first answer.
        self._ramping = True
        self._ramp_started_ms: int | None = None
        self._durations: collections.deque[int] = collections.deque(
            maxlen=MEDIAN_SAMPLES
        )
        self._smoothed_ratio = 1.0
        self._last_decrease_ms = 0
        self._slow_streak = 0
        self._shed_streak = 0
        self._last_finish_ms = 0
        self._last_duration_ms = 0
        self.busy = 0
        self.cold_restarts = 0

    def set_ramp(self, *, initial_share: float, ramp_ms: int) -> None:
        """Changes the ramp; a running ramp keeps its start time."""
        self._initial_share = initial_share
        self._ramp_ms = ramp_ms

    def is_cold(self, now_ms: int) -> bool:
        """Tells whether the ramp still reduces the limit."""
        return self._ramp_share(now_ms) < 1.0

    @property
    def awaits_answer(self) -> bool:
        """Whether the ramp begins with the next answer."""
        has_started = self._ramp_started_ms is not None
        return self._ramping and self._ramp_ms > 0 and not has_started

    def limit(self, now_ms: int) -> float:
        """Returns the current concurrency limit.

        A value below 1 is the share of time in which one request may run.
        """
        return min(self._adaptive_limit, self._slots * self._ramp_share(now_ms))

    def may_start(self, now_ms: int) -> bool:
        """Tells whether another request may start now."""
        allowed = self.limit(now_ms)
        if allowed >= 1.0:
            return self.busy + 1 <= allowed
        # The pause is recomputed on every call, so it shrinks as the ramp
        # rises and a long request cannot block the service after the ramp.
        pause_ms = self._last_duration_ms * (1.0 / allowed - 1.0)
        return self.busy == 0 and now_ms >= self._last_finish_ms + pause_ms

    def started(self, now_ms: int) -> None:
        """Records the start of a request."""
        del now_ms
        self.busy += 1

    def finished(
        self,
        now_ms: int,
        *,
        duration_ms: int,
        shed: bool,
        failed: bool,
        cancelled: bool = False,
        expected_ms: float | None = None,
    ) -> None:
        """Records the end of a request and updates the limit.

        Args:
            now_ms: Current time.
            duration_ms: Time that the backend server took.
            shed: Whether the backend server refused the request without
                running it.
            failed: Whether the connection was refused or broke.
            cancelled: Whether the agent ended it, so that its duration says
                nothing about the backend server.
            expected_ms: Median duration of this caller's requests; if None,
                the median of all requests is used. Without a value per
                caller, a caller with long requests looks like a slow backend
                server.
        """
        self.busy -= 1
        self._last_finish_ms = now_ms
        self._last_duration_ms = duration_ms
        if failed:
            self.restart(now_ms)
        elif shed:
            self._on_shed(now_ms, now_ms - duration_ms)
        elif not cancelled:
            self._on_answer(now_ms, duration_ms, expected_ms)

    def restart(self, now_ms: int) -> None:
        """Restarts the ramp because the backend server may be cold."""
        del now_ms
        self._slow_streak = self._shed_streak = 0
        self._smoothed_ratio = 1.0
        self._ramping = True
        self._ramp_started_ms = None
        self.cold_restarts += self._ramp_ms > 0

    def _ramp_share(self, now_ms: int) -> float:
        """Returns the share of the slots that the ramp allows."""
        if not self._ramping:
            return 1.0
        if self._ramp_started_ms is None:
            return self._initial_share if self._ramp_ms > 0 else 1.0
        elapsed_ms = now_ms - self._ramp_started_ms
        if elapsed_ms >= self._ramp_ms:
            self._ramping = False
            return 1.0
        progress = elapsed_ms / self._ramp_ms
        return self._initial_share + (1.0 - self._initial_share) * progress

    def _on_shed(self, now_ms: int, started_ms: int) -> None:
        self._decrease(now_ms, started_ms)
        self._shed_streak += 1
        if self._shed_streak >= COLD_RUN:
            self.restart(now_ms)

    def _on_answer(
        self, now_ms: int, duration_ms: int, expected_ms: float | None
    ) -> None:
        self._shed_streak = 0
        if self._ramping and self._ramp_started_ms is None:
            self._ramp_started_ms = now_ms
        if expected_ms is None and len(self._durations) >= MIN_SAMPLES:
            expected_ms = statistics.median(self._durations)
        self._durations.append(duration_ms)
        if expected_ms is None:
            return
        ratio = max(duration_ms - SCHEDULING_NOISE_MS, 0) / max(
            expected_ms, 1.0
        )
        self._slow_streak = self._slow_streak + 1 if ratio > COLD_RATIO else 0
        if self._slow_streak >= COLD_RUN:
            self.restart(now_ms)
            return
        self._smoothed_ratio += RATIO_SMOOTHING * (
            min(ratio, 10.0) - self._smoothed_ratio
        )
        if self._smoothed_ratio > SLOW_RATIO:
            self._decrease(now_ms, now_ms - duration_ms)
        elif self.busy + 2 > self._adaptive_limit:
            # Increased only while requests actually use the limit.
            step = 1.0 / self._adaptive_limit
            self._adaptive_limit = min(
                float(self._slots), self._adaptive_limit + step
            )

    def _decrease(self, now_ms: int, started_ms: int) -> None:
        """Lowers the limit, at most once for requests that ran concurrently."""
        if started_ms < self._last_decrease_ms:
            return
        self._last_decrease_ms = now_ms
        self._adaptive_limit = max(1.0, self._adaptive_limit * DECREASE_FACTOR)
