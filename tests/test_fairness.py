"""Fair queue of requests between callers."""

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sapphirelift.core.requests import fairness

SHORT_MS = 10
LONG_MS = 50 * SHORT_MS


def simulate_p99_ms(*, slots: int, slow: int, others: int = 8) -> int:
    """Returns the p99 latency of callers that compete with a slow one.

    Each of the others sends one request at a time, with 200 ms between them on
    average; the slow caller has ``slow`` requests queued or running.
    """
    rng = random.Random(5)
    queue = fairness.FairQueue[tuple[str, int]](capacity=256, slots=slots)
    events = [
        (rng.randrange(200), number, "arrive", f"caller-{number}", 0)
        for number in range(others)
    ]
    events += [(0, 100 + n, "arrive", "slow", 0) for n in range(slow)]
    # The agent polls the queue every 20 ms.
    events.append((0, 0, "tick", "", 0))
    heapq.heapify(events)
    latencies, busy, order = [], 0, 1000
    while events and events[0][0] < 300_000:
        now_ms, _, kind, caller, started_at_ms = heapq.heappop(events)
        order += 1
        if kind == "arrive":
            assert queue.push(caller, (caller, now_ms), now_ms) is None
        elif kind == "finish":
            busy -= 1
            queue.finished(caller, started_at_ms, now_ms)
            wait_ms = 0
            if caller != "slow":
                wait_ms = int(rng.expovariate(1 / 200))
            next_arrival = (now_ms + wait_ms, order, "arrive", caller, 0)
            heapq.heappush(events, next_arrival)
        while busy < slots and (item := queue.pop(now_ms)) is not None:
            busy += 1
            order += 1
            name, arrived_ms = item
            queue.started(name, now_ms)
            work_ms = LONG_MS if name == "slow" else SHORT_MS
            end_ms = now_ms + work_ms
            heapq.heappush(events, (end_ms, order, "finish", name, now_ms))
            if name != "slow" and now_ms > 10_000:
                latencies.append(end_ms - arrived_ms)
        if kind == "tick":
            heapq.heappush(events, (now_ms + 20, order, "tick", "", 0))
    latencies.sort()
    return latencies[int(len(latencies) * 0.99)]


class TestFairQueue:
    """Slot shares and bounds of the queue."""

    @pytest.mark.parametrize("slots", [2, 4])
    @pytest.mark.parametrize("others", [2, 4, 8, 16])
    def test_slow_caller_does_not_raise_p99_of_others(
        self, slots: int, others: int
    ) -> None:
        """Guards against long requests that occupy the slots of the others."""
        baseline_ms = simulate_p99_ms(slots=slots, slow=0, others=others)
        contended_ms = simulate_p99_ms(slots=slots, slow=8, others=others)
        assert contended_ms <= 1.5 * baseline_ms

    def test_cap_holds_while_others_wait(self) -> None:
        """Guards against a caller with short requests that takes most slots."""
        queue = fairness.FairQueue[str](capacity=500, slots=4)
        for name, cost_ms in (("short", 10), ("long", 60)):
            queue.started(name, 0)
            queue.finished(name, 0, cost_ms)
        for name in ["short", "long"] * 20:
            queue.push(name, name + "", 60)
        taken = []
        while len(taken) < 4 and (name := queue.pop(60)) is not None:
            queue.started(name, 60)
            taken.append(name)
        assert sorted(taken) == ["long", "long", "short", "short"]

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        slots=st.integers(1, 4),
        steps=st.lists(
            st.tuples(
                st.sampled_from(["push", "push", "pop", "finish", "drop"]),
                st.integers(0, 3),
                st.integers(0, 300),
            ),
            max_size=80,
        ),
    )
    def test_items_come_out_once_and_caps_hold(
        self, slots: int, steps: list[tuple[str, int, int]]
    ) -> None:
        """Guards against lost or repeated items and unbounded growth."""
        queue = fairness.FairQueue[list[str]](capacity=6, slots=slots)
        waiting: list[list[str]] = []
        running: list[tuple[str, int]] = []
        now_ms = 0

        def take() -> bool:
            item = queue.pop(now_ms)
            if item is None:
                return False
            waiting.remove(item)
            held = [name for name, _ in running].count(item[0])
            others_wait = any(other[0] != item[0] for other in waiting)
            share = max(1, slots // 2) if others_wait else slots
            assert held + 1 <= share
            queue.started(item[0], now_ms)
            running.append((item[0], now_ms))
            return True

        for number, (step, which, passed_ms) in enumerate(steps):
            now_ms += passed_ms
            name = f"caller-{which}"
            if step == "push":
                item = [name, str(number)]
                waiting.append(item)
                shed = queue.push(name, item, now_ms)
                if shed is not None:
                    waiting.remove(shed)
            elif step == "pop" and len(running) < slots:
                take()
            elif step == "finish" and running:
                caller, started_ms = running.pop(which % len(running))
                queue.finished(caller, started_ms, now_ms)
            elif step == "drop" and waiting:
                item = waiting.pop(which % len(waiting))
                assert queue.remove(item[0], item)
            assert len(queue) == len(waiting) <= 6
        for caller, started_ms in running:
            queue.finished(caller, started_ms, now_ms)
        running.clear()
        while waiting:
            now_ms += 3_600_000
            assert take()
            queue.finished(running.pop()[0], now_ms, now_ms + 1)
