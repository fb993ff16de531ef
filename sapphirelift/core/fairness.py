"""Queue of requests that wait for a slot, fair between callers."""

import collections
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")


class FairQueue(Generic[_T]):
    """Waiting requests, taken in turn from each caller."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._queues: collections.OrderedDict[str, collections.deque[_T]] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, caller: str, item: _T) -> bool:
        """Adds an item; returns False if the queue is full."""
        if self._size >= self._capacity:
            return False
        self._queues.setdefault(caller, collections.deque()).append(item)
        self._size += 1
        return True

    def pop(self) -> _T | None:
        """Takes the next item, or None if nothing waits."""
        if not self._queues:
            return None
        caller, queue = next(iter(self._queues.items()))
        item = queue.popleft()
        self._queues.move_to_end(caller)
        if not queue:
            del self._queues[caller]
        self._size -= 1
        return item
