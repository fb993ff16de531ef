"""Fair queue between callers."""

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sapphirelift.core import fairness

SHORT_MS = 10
LONG_MS = 50 * SHORT_MS


def simulate_p99_ms(*, slots: int, slow: int, others: int = 8) -> int:
    """Returns the p99 latency of callers beside one with long requests.

    Each of the others sends one request after the other with 200 ms between
    them on average; the slow caller keeps ``slow`` requests in the queue.
    """
    rng = random.Random(5)
    queue = fairness.FairQueue[tuple[str, int]](capacity=256, slots=slots)
    events = [
        (rng.randrange(200), number, "arrive", f"caller-{number}", 0)
        for number in range(others)
    ]
    events += [(0, 100 + n, "arrive", "slow", 0) for n in range(slow)]
    heapq.heapify(events)
    latencies, busy, order = [], 0, 1000
    while events and events[0][0] < 300_000:
        now_ms, _, kind, caller, begun_ms = heapq.heappop(events)
        order += 1
        if kind == "arrive":
            assert queue.push(caller, (caller, now_ms), now_ms) is None
        elif kind == "finish":
            busy -= 1
            queue.finished(caller, begun_ms, now_ms)
            wait_ms = 0
            if caller != "slow":
                wait_ms = int(rng.expovariate(1 / 200))
            again = (now_ms + wait_ms, order, "arrive", caller, 0)
            heapq.heappush(events, again)
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
        if kind == "tick" or slow:
            # The agent looks at the queue every 20 ms.
            if kind == "tick" or not any(e[2] == "tick" for e in events):
                tick = (now_ms + 20, order, "tick", "", 0)
                heapq.heappush(events, tick)
    latencies.sort()
    return latencies[int(len(latencies) * 0.99)]


class TestFairQueue:
    """Shares of the slots and bounds."""

    @pytest.mark.parametrize("slots", [2, 4])
    def test_slow_caller_does_not_raise_p99_of_others(self, slots: int) -> None:
        """Guards against long requests that hold the slots of the others."""
        alone_ms = simulate_p99_ms(slots=slots, slow=0)
        beside_ms = simulate_p99_ms(slots=slots, slow=8)
        assert beside_ms <= 1.5 * alone_ms
