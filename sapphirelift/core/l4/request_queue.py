"""Which of the requests that wait for a backend server goes next."""

import dataclasses
from collections.abc import Callable
from collections.abc import Hashable
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

_K = TypeVar("_K", bound=Hashable)
_C = TypeVar("_C", bound=Hashable)

# A priority from which nothing has gone for this long, although requests of it
# wait, has one turn: half of the shortest timeout of a request (1.2 s), so
# that the one that goes is still in time.
MAX_SILENCE_MS = 600
# Callers of one priority whose share is remembered while others wait.
MAX_CALLERS = 1024


class Demand(NamedTuple, Generic[_C]):
    """What is known of a request when it begins to wait.

    Attributes:
        caller: Who has sent it.
        priority: Its rank; 0 is the most urgent.
        since_ms: When it began.
        timeout_ms: Time after which its caller gives up; 0 if unknown.
    """

    caller: _C
    priority: int
    since_ms: int
    timeout_ms: int

    def is_in_time(self, answered_ms: float) -> bool:
        """Returns whether its caller would still wait for the answer."""
        limit_ms = self.since_ms + self.timeout_ms
        return not self.timeout_ms or answered_ms <= limit_ms

    def is_given_up(self, now_ms: int) -> bool:
        """Returns whether its caller has given up."""
        return 0 < self.timeout_ms <= now_ms - self.since_ms

    @property
    def patience_ms(self) -> int:
        """How long its priority may be passed over."""
        return min(MAX_SILENCE_MS, self.timeout_ms // 2 or MAX_SILENCE_MS)


@dataclasses.dataclass(slots=True)
class _Priority(Generic[_C]):
    """Requests of one priority, while any of them waits.

    Shares are start-time fair: a caller's next request starts where its last
    one has ended, in units of work, and the earliest start goes first.

    Attributes:
        passed_over_since_ms: When the last one went, or the first one came.
        size: Number of requests that wait.
        started: Start of the last one that went.
        ends: End of each caller's last one.
    """

    passed_over_since_ms: int
    size: int = 0
    started: float = 0.0
    ends: dict[_C, float] = dataclasses.field(default_factory=dict)

    def start_of(self, caller: _C) -> float:
        """Returns where the next request of a caller starts."""
        return max(self.ends.get(caller, 0.0), self.started)

    def charge(self, caller: _C, work_ms: float) -> None:
        """Charges a caller the work of a request that goes."""
        self.started = self.start_of(caller)
        if len(self.ends) >= MAX_CALLERS:
            self.ends.clear()
        self.ends[caller] = self.started + max(work_ms, 1.0)


# Sorts requests, the next one first: whether it is too late, whether its
# priority has no turn, priority, start within the caller's share, order.
_Rank = tuple[bool, bool, int, float, int]


class RequestQueue(Generic[_K, _C]):
    """Requests that wait, by a key of each.

    Those that can still be in time go first; of these the most urgent, except
    that a lower priority that has been passed over for too long has a turn;
    within one priority each caller gets the same share of the server's time;
    then the first one to come. Each choice looks at all that wait: they are
    few.
    """

    def __init__(self, work_ms: Callable[[_K], float]) -> None:
        """Creates an empty queue.

        Args:
            work_ms: Returns the time that a request is expected to take. It
                is asked at each choice, since more is known then than when
                the request came.
        """
        self._work_ms = work_ms
        # In the order in which they came, with their number.
        self._waiting: dict[_K, tuple[int, Demand[_C]]] = {}
        self._count = 0
        self._priorities: dict[int, _Priority[_C]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, key: _K, demand: Demand[_C], now_ms: int) -> None:
        """Adds a request under a key that is not in use."""
        self._count += 1
        self._waiting[key] = (self._count, demand)
        priority = self._priorities.setdefault(
            demand.priority, _Priority(now_ms)
        )
        priority.size += 1

    def pop(self, now_ms: int) -> _K | None:
        """Removes the request that goes next; returns its key."""
        key = min(self._waiting, key=self._ranks(now_ms), default=None)
        if key is not None:
            self._send(key, now_ms)
        return key

    def pop_least_urgent(self, now_ms: int) -> _K | None:
        """Removes the request that would go last; returns its key."""
        key = max(self._waiting, key=self._ranks(now_ms), default=None)
        if key is not None:
            self.remove(key)
        return key

    def remove(self, key: _K) -> None:
        """Removes a request, if it waits."""
        _, demand = self._waiting.pop(key, (0, None))
        if demand is None:
            return
        priority = self._priorities[demand.priority]
        priority.size -= 1
        if not priority.size:
            del self._priorities[demand.priority]

    def given_up(self, now_ms: int) -> list[_K]:
        """Returns the requests whose callers have given up."""
        return [
            key
            for key, (_, demand) in self._waiting.items()
            if demand.is_given_up(now_ms)
        ]

    def unlimited(self, since_ms: int) -> list[_K]:
        """Returns those without a known limit that came by a time."""
        return [
            key
            for key, (_, demand) in self._waiting.items()
            if not demand.timeout_ms and demand.since_ms <= since_ms
        ]

    def _send(self, key: _K, now_ms: int) -> None:
        _, demand = self._waiting[key]
        priority = self._priorities[demand.priority]
        priority.charge(demand.caller, self._work_ms(key))
        priority.passed_over_since_ms = now_ms
        self.remove(key)

    def _ranks(self, now_ms: int) -> Callable[[_K], _Rank]:
        """Returns a function that ranks the requests now."""

        def rank(key: _K) -> _Rank:
            number, demand = self._waiting[key]
            priority = self._priorities[demand.priority]
            silent_ms = now_ms - priority.passed_over_since_ms
            return (
                not demand.is_in_time(now_ms + self._work_ms(key)),
                silent_ms < demand.patience_ms,
                demand.priority,
                priority.start_of(demand.caller),
                number,
            )

        return rank
