"""Admission control for one backend server."""

from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sapphirelift.core.requests import admission

SLOTS = 4
RAMP_MS = 4000
SHARE = 0.1


def new(*, slots: int = SLOTS, ramp_ms: int = RAMP_MS) -> admission.Admission:
    """Returns the limiter of a cold backend server."""
    return admission.Admission(
        slots=slots, initial_share=SHARE, ramp_ms=ramp_ms
    )


def finish(
    limit: admission.Admission, now_ms: int, duration_ms: int, **extra: Any
) -> None:
    """Finishes a request, by default with an answer."""
    how = {"shed": False, "failed": False} | extra
    limit.finished(now_ms, duration_ms=duration_ms, **how)


def warm(limit: admission.Admission, *, from_ms: int = 0) -> int:
    """Runs all allowed requests until the ramp ends; returns the time."""
    for now_ms in range(from_ms, from_ms + 10 * RAMP_MS, 20):
        if limit.limit(now_ms) == SLOTS:
            return now_ms
        while limit.may_start(now_ms):
            limit.started(now_ms)
        for _ in range(limit.busy):
            finish(limit, now_ms + 19, 19)
    raise AssertionError("the limit does not rise to all slots")


class TestAdmission:
    """Adaptive limit, ramp and detection of a cold backend server."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["start", "start", "ok", "shed", "failed"]),
                st.integers(0, 700),
            ),
            max_size=80,
        )
    )
    def test_limits_hold_and_service_goes_on(
        self, steps: list[tuple[str, int]]
    ) -> None:
        """Guards against starts beyond the ramp and against a stuck limit."""
        limit, now_ms, sheds = new(), 0, 0
        running: list[int] = []
        answered_ms: int | None = None  # First answer after a restart.
        for step, passed_ms in steps:
            now_ms += passed_ms
            assert SHARE <= limit.limit(now_ms) <= SLOTS
            if step == "start" and limit.may_start(now_ms):
                passed = 0.0
                if answered_ms is not None:
                    passed = min(1.0, (now_ms - answered_ms) / RAMP_MS)
                allowed = SLOTS * (SHARE + (1 - SHARE) * passed)
                assert len(running) + 1 <= max(1.0, allowed + 1e-9)
                limit.started(now_ms)
                running.append(now_ms)
            elif step != "start" and running:
                duration_ms = now_ms - running.pop(0)
                how = {"shed": step == "shed", "failed": step == "failed"}
                expected_ms = max(duration_ms, 1)
                finish(
                    limit, now_ms, duration_ms, expected_ms=expected_ms, **how
                )
                sheds = sheds + 1 if step == "shed" else 0
                if step == "failed" or sheds == admission.COLD_RUN:
                    answered_ms, sheds = None, 0
                elif step == "ok" and answered_ms is None:
                    answered_ms = now_ms
            assert limit.busy == len(running)
        for started_ms in running:
            finish(limit, now_ms, now_ms - started_ms)
        assert limit.may_start(warm(limit, from_ms=now_ms))

    def test_first_runs_at_once_then_pauses_keep_the_share(self) -> None:
        """Guards against a delayed first request and full use of one slot."""
        limit = new(slots=1, ramp_ms=1_000_000)
        assert limit.may_start(0)
        now_ms, worked_ms = 0, 0
        while now_ms < 20_000:
            if limit.may_start(now_ms):
                limit.started(now_ms)
                now_ms += 50
                worked_ms += 50
                finish(limit, now_ms, 50)
            now_ms += 1
        assert 0.08 <= worked_ms / now_ms <= 0.13

    def test_only_unexpectedly_slow_answers_restart_ramp(self) -> None:
        """Guards against missing a cold server.

        A caller whose requests are always slow must not restart the ramp.
        """
        limit = new()
        now_ms = warm(limit)
        for expected_ms in (200, None):
            assert limit.limit(now_ms) == SLOTS
            for _ in range(3):
                limit.started(now_ms)
                finish(limit, now_ms, 200, expected_ms=expected_ms)
        assert limit.limit(now_ms) < 1.0

    def test_shed_answers_lower_the_limit_and_it_recovers(self) -> None:
        """Guards against a limit that ignores sheds or never recovers."""
        limit = new(ramp_ms=0)
        limit.started(0)
        finish(limit, 10, 5, shed=True)
        assert 1.0 <= limit.limit(10) < SLOTS
        assert warm(limit, from_ms=20)
