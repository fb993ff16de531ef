"""Fair queue of the requests that wait for a slot.

A caller is identified by the source address of its datagrams. Callers behind
one NAT address are distinguished by port. A caller that opens several sockets
counts as several callers and gets several shares, and a caller whose address
changes starts again with an unknown cost. The address is reported by an
authenticated balancer, but it does not authenticate the sender.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")

MAX_CALLERS = 1024
QUANTUM_MS = 5.0
MAX_DEBT_MS = 10_000.0
DURATION_SAMPLES = 32
RECENT_SAMPLES = 4
UNKNOWN_COST_MS = 10.0
ACTIVE_WINDOW_MS = 1000
EXPENSIVE_RATIO = 8.0
# An expensive caller is limited to no less than this share of one slot's time.
MIN_DUTY_CYCLE = 0.05
# The latency bound of the other callers is a p99, so fewer than 1% of their
# requests may be delayed.
MAX_DELAYED_SHARE = 0.007
DELAY_RATIO = 0.4
DELAY_WINDOW_REQUESTS = 1000
STATISTICS_INTERVAL_MS = 50


@dataclasses.dataclass(slots=True)
class _Waiting(Generic[_T]):
    item: _T
    enqueued_ms: int


@dataclasses.dataclass(slots=True)
class _Run:
    started_ms: int
    charged_ms: float


@dataclasses.dataclass(slots=True)
class _Caller(Generic[_T]):
    waiting: collections.deque[_Waiting[_T]] = dataclasses.field(
        default_factory=collections.deque
    )
    running: list[_Run] = dataclasses.field(default_factory=list)
    durations: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=DURATION_SAMPLES)
    )
    deficit_ms: float = 0.0
    last_active_ms: int = 0
    paused_until_ms: float = 0.0
    delayed_until_ms: float = 0.0

    def cost_ms(self, now_ms: int) -> float:
        """Returns the estimated duration of the next request.

        The age of the oldest running request is a lower bound: a slow request
        has no recorded duration until it ends.
        """
        recent = list(self.durations)[-RECENT_SAMPLES:]
        cost = statistics.fmean(recent) if recent else UNKNOWN_COST_MS
        oldest = min((run.started_ms for run in self.running), default=now_ms)
        return max(cost, now_ms - oldest, 1.0)


class FairQueue(Generic[_T]):
    """Waiting requests, scheduled by deficit round robin between callers.

    A caller holds at most ``caller_slot_share`` of the slots while others
    wait. Requests are not preempted, so a caller whose requests are much
    longer than those of the others, or whose cost is still unknown, is limited
    to its share as soon as other callers are active, even if none of them
    waits. An expensive caller also pauses after each request, so that it uses
    no more than its fair share of the time. The pause is longer if its
    requests have delayed too many requests of the others: with 2 slots, the
    others would otherwise have one slot less most of the time.
    """

    def __init__(
        self,
        *,
        capacity: int,
        slots: int = 4,
        caller_slot_share: float = 0.5,
    ) -> None:
        self._capacity = capacity
        self._slots = slots
        self.set_caller_slot_share(caller_slot_share)
        # Ordered by last activity; the longest idle callers are evicted first.
        self._callers: collections.OrderedDict[str, _Caller[_T]] = (
            collections.OrderedDict()
        )
        self._waiting_callers: collections.OrderedDict[str, _Caller[_T]] = (
            collections.OrderedDict()
        )
        self._size = 0
        self._statistics_at_ms = -STATISTICS_INTERVAL_MS
        self._active_callers = 0
        self._typical_cost_ms = UNKNOWN_COST_MS
        self._running_callers: dict[str, _Caller[_T]] = {}
        self._last_expensive_ms = -1
        self._served_requests = 0.0
        self._delayed_requests = 0.0

    def set_caller_slot_share(self, share: float) -> None:
        """Sets the share of the slots for a caller while others wait."""
        self._contended_cap = max(1, int(self._slots * share))

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[_T]:
        for state in self._waiting_callers.values():
            for waiting in state.waiting:
                yield waiting.item

    def push(self, caller: str, item: _T, now_ms: int) -> _T | None:
        """Adds an item; returns the item that is shed, if any.

        A full queue sheds the newest item of the caller with the most items,
        so that one caller cannot keep the others out of the queue.
        """
        state = self._mark_active(caller, now_ms)
        shed = None
        if self._size >= self._capacity:
            longest = max(
                self._waiting_callers,
                key=lambda name: len(self._waiting_callers[name].waiting),
            )
            if (
                len(self._waiting_callers[longest].waiting)
                <= len(state.waiting) + 1
            ):
                return item
            shed = self._waiting_callers[longest].waiting[-1].item
            self.remove(longest, shed)
        state.waiting.append(_Waiting(item, now_ms))
        self._waiting_callers.setdefault(caller, state)
        self._size += 1
        return shed

    def pop(self, now_ms: int) -> _T | None:
        """Removes and returns the next item, or None if none may start now."""
        best_name, best_rounds = None, math.inf
        eligible = []
        for name, state in self._waiting_callers.items():
            if not self._may_start(name, state, now_ms):
                continue
            eligible.append(state)
            missing_credit_ms = state.cost_ms(now_ms) - state.deficit_ms
            rounds = max(0, math.ceil(missing_credit_ms / QUANTUM_MS))
            if rounds < best_rounds:
                best_name, best_rounds = name, rounds
        if best_name is None:
            return None
        # Rounds that would serve no caller are skipped: their credit is added
        # in one step.
        for state in eligible:
            state.deficit_ms += best_rounds * QUANTUM_MS
        state = self._waiting_callers[best_name]
        waiting = state.waiting[0]
        self.remove(best_name, waiting.item)
        if best_name in self._waiting_callers:
            self._waiting_callers.move_to_end(best_name)
        self._count_delay(state, waiting.enqueued_ms, now_ms)
        return waiting.item

    def remove(self, caller: str, item: _T) -> bool:
        """Removes an item; returns False if it is not in the queue."""
        state = self._waiting_callers.get(caller)
        if state is None:
            return False
        for index, waiting in enumerate(state.waiting):
            if waiting.item is item:
                del state.waiting[index]
                break
        else:
            return False
        self._size -= 1
        if not state.waiting:
            del self._waiting_callers[caller]
        return True

    def started(self, caller: str, now_ms: int) -> None:
        """Charges a caller the estimated cost of a started request."""
        state = self._mark_active(caller, now_ms)
        cost_ms = state.cost_ms(now_ms)
        state.deficit_ms -= cost_ms
        if not state.waiting:
            state.deficit_ms = min(state.deficit_ms, 0.0)
        state.running.append(_Run(now_ms, cost_ms))
        self._running_callers[caller] = state

    def finished(
        self,
        caller: str,
        started_ms: int,
        now_ms: int,
        *,
        record_duration: bool = True,
    ) -> None:
        """Corrects the charged cost of a finished request by its duration.

        Args:
            caller: The caller given to ``started``.
            started_ms: The time given to ``started``.
            now_ms: Current time.
            record_duration: Whether the duration counts in later estimates.
        """
        state = self._mark_active(caller, now_ms)
        duration_ms = now_ms - started_ms
        for run in state.running:
            if run.started_ms == started_ms:
                state.running.remove(run)
                undercharged_ms = duration_ms - run.charged_ms
                state.deficit_ms = max(
                    state.deficit_ms - undercharged_ms, -MAX_DEBT_MS
                )
                break
        if not state.running:
            self._running_callers.pop(caller, None)
        if record_duration:
            state.durations.append(duration_ms)
        if self._is_expensive(state, now_ms):
            self._last_expensive_ms = now_ms
            share = min(
                1.0, max(MIN_DUTY_CYCLE, self._slots / self._active_callers)
            )
            state.paused_until_ms = now_ms + duration_ms * (1.0 / share - 1.0)
            state.delayed_until_ms = now_ms + duration_ms / MIN_DUTY_CYCLE

    def median_duration_ms(self, caller: str) -> float | None:
        """Returns the median duration of a caller's requests, if known."""
        state = self._callers.get(caller)
        if state is None or len(state.durations) < RECENT_SAMPLES:
            return None
        return statistics.median(state.durations)

    def min_duration_ms(self, caller: str) -> int:
        """Returns the shortest recent duration of a caller's requests."""
        state = self._callers.get(caller)
        return min(state.durations, default=0) if state is not None else 0

    def _mark_active(self, caller: str, now_ms: int) -> _Caller[_T]:
        state = self._callers.get(caller)
        if state is None:
            self._evict_idle()
            state = self._callers[caller] = _Caller()
        if now_ms - state.last_active_ms > ACTIVE_WINDOW_MS:
            state.deficit_ms = 0.0
        state.last_active_ms = now_ms
        self._callers.move_to_end(caller)
        return state

    def _evict_idle(self) -> None:
        if len(self._callers) < MAX_CALLERS:
            return
        for name, state in self._callers.items():
            if not state.waiting and not state.running:
                del self._callers[name]
                return

    def _update_statistics(self, now_ms: int) -> None:
        """Updates the number of active callers and their typical cost."""
        if now_ms - self._statistics_at_ms < STATISTICS_INTERVAL_MS:
            return
        self._statistics_at_ms = now_ms
        costs = [
            state.cost_ms(now_ms)
            for state in self._callers.values()
            if state.waiting
            or state.running
            or now_ms - state.last_active_ms <= ACTIVE_WINDOW_MS
        ]
        self._active_callers = len(costs)
        self._typical_cost_ms = (
            statistics.median_low(costs) if costs else UNKNOWN_COST_MS
        )

    def _is_expensive(self, state: _Caller[_T], now_ms: int) -> bool:
        self._update_statistics(now_ms)
        return self._active_callers > 1 and (
            state.cost_ms(now_ms) > EXPENSIVE_RATIO * self._typical_cost_ms
        )

    def _count_delay(
        self, state: _Caller[_T], enqueued_ms: int, now_ms: int
    ) -> None:
        """Counts a request, and whether expensive requests delayed it."""
        if self._is_expensive(state, now_ms):
            return
        if any(
            self._is_expensive(other, now_ms)
            for other in self._running_callers.values()
        ):
            self._last_expensive_ms = now_ms
        self._served_requests += 1.0
        waited_ms = now_ms - enqueued_ms
        if self._last_expensive_ms >= enqueued_ms and (
            waited_ms > DELAY_RATIO * state.cost_ms(now_ms)
        ):
            self._delayed_requests += 1.0
        if self._served_requests > DELAY_WINDOW_REQUESTS:
            self._served_requests /= 2
            self._delayed_requests /= 2

    def _may_start(self, name: str, state: _Caller[_T], now_ms: int) -> bool:
        self._update_statistics(now_ms)
        running = len(state.running)
        if self._is_expensive(state, now_ms):
            fair_slots = self._slots // self._active_callers
            cap = max(1, min(self._contended_cap, fair_slots))
            if (
                self._delayed_requests
                > MAX_DELAYED_SHARE * self._served_requests
            ):
                return running < 1 and now_ms >= state.delayed_until_ms
            return running < cap and now_ms >= state.paused_until_ms
        if self._active_callers > 1 and not state.durations:
            return running < 1
        others_wait = len(self._waiting_callers) > (
            name in self._waiting_callers
        )
        return running < (self._contended_cap if others_wait else self._slots)
