"""Admission limit of one backend server."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sapphirelift.core import admission

SLOTS = 4
RAMP_MS = 4000
SHARE = 0.1


def warm(limit: admission.Admission, *, from_ms: int = 0) -> int:
    """Runs all the requests allowed until the ramp ends; returns the time."""
    for now_ms in range(from_ms, from_ms + 10 * RAMP_MS, 20):
        if limit.limit(now_ms) == SLOTS:
            return now_ms
        started = 0
        while limit.may_start(now_ms):
            limit.started(now_ms)
            started += 1
        for _ in range(started):
            limit.finished(
                now_ms + 19, duration_ms=19, shed=False, failed=False
            )
    raise AssertionError("the limit does not rise to all slots")


class TestAdmission:
    """Adaptive limit, ramp and detection of a cold backend server."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        steps=st.lists(
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
        limit = admission.Admission(
            slots=SLOTS, initial_share=SHARE, ramp_ms=RAMP_MS
        )
        now_ms, running = 0, []
        answered_ms: int | None = None  # First answer after a restart.
        sheds = 0
        for step, passed_ms in steps:
            now_ms += passed_ms
            assert SHARE <= limit.limit(now_ms) <= SLOTS
            if step == "start":
                may_start = limit.may_start(now_ms)
                share = SHARE
                if answered_ms is not None:
                    passed = (now_ms - answered_ms) / RAMP_MS
                    share = min(1.0, SHARE + (1 - SHARE) * passed)
                if may_start:
                    assert len(running) + 1 <= max(1.0, SLOTS * share + 1e-9)
                    limit.started(now_ms)
                    running.append(now_ms)
            elif running:
                duration_ms = now_ms - running.pop(0)
                limit.finished(
                    now_ms,
                    duration_ms=duration_ms,
                    shed=step == "shed",
                    failed=step == "failed",
                    expected_ms=max(duration_ms, 1),
                )
                sheds = sheds + 1 if step == "shed" else 0
                if step == "failed" or sheds == admission.COLD_RUN:
                    answered_ms, sheds = None, 0
                elif step == "ok" and answered_ms is None:
                    answered_ms = now_ms
            assert limit.busy == len(running)
        for started_ms in running:
            limit.finished(
                now_ms,
                duration_ms=now_ms - started_ms,
                shed=False,
                failed=False,
            )
        assert limit.may_start(warm(limit, from_ms=now_ms))

    def test_first_request_is_run_at_once(self) -> None:
        """Guards against a ramp that keeps an idle service from answering."""
        limit = admission.Admission(slots=1, initial_share=SHARE, ramp_ms=8000)
        assert limit.may_start(0)

    def test_pause_keeps_share_below_one_slot(self) -> None:
        """Guards against full use of one slot while less is allowed."""
        limit = admission.Admission(
            slots=1, initial_share=SHARE, ramp_ms=1_000_000
        )
        now_ms, worked_ms = 0, 0
        while now_ms < 20_000:
            if limit.may_start(now_ms):
                limit.started(now_ms)
                now_ms += 50
                worked_ms += 50
                limit.finished(now_ms, duration_ms=50, shed=False, failed=False)
            now_ms += 1
        assert 0.08 <= worked_ms / now_ms <= 0.13

    def test_slow_answers_restart_ramp(self) -> None:
        """Guards against full load on a server that turned cold."""
        limit = admission.Admission(
            slots=SLOTS, initial_share=SHARE, ramp_ms=RAMP_MS
        )
        now_ms = warm(limit)
        for _ in range(SLOTS):
            limit.started(now_ms)
        for _ in range(3):
            limit.finished(
                now_ms + 200, duration_ms=200, shed=False, failed=False
            )
        assert limit.limit(now_ms + 200) < 1.0

    def test_long_requests_of_a_caller_are_not_cold(self) -> None:
        """Guards against a slow caller that looks like a cold server."""
        limit = admission.Admission(
            slots=SLOTS, initial_share=SHARE, ramp_ms=RAMP_MS
        )
        now_ms = warm(limit)
        for _ in range(10):
            limit.started(now_ms)
            limit.finished(
                now_ms + 1000,
                duration_ms=1000,
                shed=False,
                failed=False,
                expected_ms=1000,
            )
        assert limit.limit(now_ms + 1000) == SLOTS

    def test_shed_answers_lower_the_limit_and_it_recovers(self) -> None:
        """Guards against a limit that ignores sheds or never recovers."""
        limit = admission.Admission(slots=SLOTS)
        limit.started(0)
        limit.finished(10, duration_ms=5, shed=True, failed=False)
        assert 1.0 <= limit.limit(10) < SLOTS
        for _ in range(100):
            for _ in range(SLOTS):
                limit.started(20)
            for _ in range(SLOTS):
                limit.finished(30, duration_ms=10, shed=False, failed=False)
        assert limit.limit(30) == SLOTS
