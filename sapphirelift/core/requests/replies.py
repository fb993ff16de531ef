"""Cache of the outcomes of finished requests."""

import collections

from sapphirelift.core.flows import flows
from sapphirelift.core.requests import outcomes

# Estimated memory of one entry, excluding its body.
ENTRY_OVERHEAD_BYTES = 1024


class ReplyCache:
    """Finished requests of all flows, bounded by size and age.

    Eviction raises the flow's low-water mark, ``highest_evicted_id``: a request
    at or below the mark that is not in the flow's table is treated as evicted
    and never runs.
    """

    def __init__(self, *, max_bytes: int, ttl_ms: int, per_flow: int) -> None:
        self._max_bytes = max_bytes
        self._ttl_ms = ttl_ms
        self._per_flow = per_flow
        self._entries: collections.OrderedDict[
            tuple[bytes, int], tuple[flows.Flow, flows.RequestState, int]
        ] = collections.OrderedDict()
        self.bytes = 0

    def set_ttl_ms(self, ttl_ms: int) -> None:
        """Sets the time to live of all entries."""
        self._ttl_ms = ttl_ms

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self, flow: flows.Flow, state: flows.RequestState
    ) -> list[flows.RequestState]:
        """Adds a finished request; returns the requests evicted for it."""
        outcome = state.outcome
        body = outcome.body if isinstance(outcome, outcomes.Answered) else b""
        # The outcome and the fragments of its sender both hold the body.
        size = ENTRY_OVERHEAD_BYTES + 2 * len(body)
        self._entries[state.flow_key, state.request_id] = (flow, state, size)
        self.bytes += size
        evicted = []
        while self.bytes > self._max_bytes and len(self._entries) > 1:
            evicted.append(self._evict_oldest())
        # Prevents one flow from evicting the replies of all the others.
        if len(flow.requests) - flow.unfinished > self._per_flow:
            oldest = next(s for s in flow.requests.values() if s.outcome)
            evicted.append(self._evict((flow.flow_key, oldest.request_id)))
        return evicted

    def expire(self, now_ms: int) -> list[flows.RequestState]:
        """Evicts and returns the requests older than the time to live."""
        evicted = []
        while self._entries:
            _, state, _ = next(iter(self._entries.values()))
            if now_ms - (state.finished_ms or 0) <= self._ttl_ms:
                break
            evicted.append(self._evict_oldest())
        return evicted

    def remove(self, state: flows.RequestState) -> None:
        """Removes a request whose flow has been closed."""
        entry = self._entries.pop((state.flow_key, state.request_id), None)
        if entry is not None:
            self.bytes -= entry[2]

    def _evict_oldest(self) -> flows.RequestState:
        return self._evict(next(iter(self._entries)))

    def _evict(self, key: tuple[bytes, int]) -> flows.RequestState:
        flow, state, size = self._entries.pop(key)
        self.bytes -= size
        flow.requests.pop(state.request_id, None)
        flow.highest_evicted_id = max(flow.highest_evicted_id, state.request_id)
        return state


class EvictOnAckCache(ReplyCache):
    """Baseline for experiments that evicts each reply once acknowledged.

    It does not raise the low-water mark, so a duplicate that arrives later is
    handled as a new request.
    """

    def expire(self, now_ms: int) -> list[flows.RequestState]:
        """Evicts the requests that are acknowledged or too old."""
        acknowledged = [
            key
            for key, (_, state, _) in self._entries.items()
            if state.sender is not None and state.sender.is_done
        ]
        evicted = [self._evict(key) for key in acknowledged]
        return evicted + super().expire(now_ms)

    def _evict(self, key: tuple[bytes, int]) -> flows.RequestState:
        flow, state, size = self._entries.pop(key)
        self.bytes -= size
        flow.requests.pop(state.request_id, None)
        return state
