"""Requests that an agent holds while its backend server has no room."""

import collections
import dataclasses
import enum
from collections.abc import Callable

from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import request_queue
from sapphirelift.core.l4 import samples as samples_module
from sapphirelift.core.l4 import terms as terms_module

# Requests held at once: what a server with 4 slots and 20 ms of work runs
# within the shortest timeout of a request, 1.2 s.
MAX_REQUESTS = 256
# A caller has at most 16 packets of 1,231 bytes under way, so that these are
# the uploads of half of the requests. Most requests take one packet.
MAX_PACKETS = 2048
MAX_BYTES = 2_500_000
# A request is held for the timeout of its route at most; if that is not
# known, for half of the shortest one, so that it can still be answered.
MAX_HOLD_MS = 600
# After this long without a held request, the next one is logged.
SPELL_GAP_MS = 1000


class Place(enum.Enum):
    """Where a packet belongs on a flow of which a request is held."""

    BEFORE = "before"
    COPY = "copy"
    NEW = "new"


@dataclasses.dataclass(slots=True)
class Held:
    """One request that is held.

    Attributes:
        flow: Its flow.
        terms: The terms of its route.
        since_ms: Since when it is held.
        first: Sequence number of its first byte.
        packets: Its packets in the order in which they came, by sequence
            number and payload length.
    """

    flow: flow_table.Flow
    terms: terms_module.Terms
    since_ms: int
    first: int
    packets: dict[tuple[int, int], bytes] = dataclasses.field(
        default_factory=dict
    )


class HeldRequests:
    """Bounded store of held requests, and the order in which they go.

    A request goes when the agent asks for the next one. What is dropped is
    forgotten as if it had not come: if its caller is still there, it sends it
    again.
    """

    def __init__(
        self,
        counters: collections.Counter[str],
        samples: samples_module.Samples,
        log: Callable[..., None],
        work_ms: Callable[[packet.FlowKey], float],
    ) -> None:
        """Creates an empty store.

        Args:
            counters: Event counts by name.
            samples: Gets the time for which each request was held, as
                ``request_wait``.
            log: Writes a log line of an event and its fields.
            work_ms: Returns the expected time of a flow's request at the
                server.
        """
        self._counters = counters
        self._samples = samples
        self._log = log
        self._held: dict[packet.FlowKey, Held] = {}
        self._queue: request_queue.RequestQueue[packet.FlowKey, int] = (
            request_queue.RequestQueue(work_ms)
        )
        self._packets = 0
        self._bytes = 0
        self._last_held_ms: int | None = None

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, key: packet.FlowKey | None) -> bool:
        return key in self._held

    @property
    def is_over_limit(self) -> bool:
        """Whether more is held than the limits allow."""
        return (
            len(self._held) > MAX_REQUESTS
            or self._packets > MAX_PACKETS
            or self._bytes > MAX_BYTES
        )

    def hold(
        self,
        flow: flow_table.Flow,
        received: packet.Packet,
        terms: terms_module.Terms,
        now_ms: int,
    ) -> None:
        """Holds the first packet of a request.

        Args:
            flow: Its flow, which holds no other request.
            received: The packet.
            terms: Terms of its route.
            now_ms: Current time.
        """
        last_ms = self._last_held_ms
        if last_ms is None or now_ms - last_ms > SPELL_GAP_MS:
            self._log(
                "requests_held",
                flow=str(received.flow),
                priority=terms.priority,
            )
        self._last_held_ms = now_ms
        self._counters["requests_held"] += 1
        self._held[received.flow] = Held(flow, terms, now_ms, received.sequence)
        self._queue.push(
            received.flow,
            request_queue.Demand(
                received.flow.caller_ip,
                terms.priority,
                now_ms,
                terms.timeout_ms,
            ),
            now_ms,
        )
        self.add(received)

    def add(self, received: packet.Packet) -> Place:
        """Holds a packet of a flow of which a request is held.

        Returns:
            Whether it belongs to an earlier request and is not held, is a
            copy of a held one, or has been added.
        """
        held = self._held[received.flow]
        if not packet.is_after(received.end, held.first):
            return Place.BEFORE
        place = (received.sequence, received.payload_bytes)
        if place in held.packets:
            self._counters["held_packets_repeated"] += 1
            return Place.COPY
        held.packets[place] = received.raw
        end = held.flow.caller_end
        if end is None or packet.is_after(received.end, end):
            held.flow.caller_end = received.end
        self._packets += 1
        self._bytes += len(received.raw)
        return Place.NEW

    def take_next(self, now_ms: int) -> Held:
        """Removes and returns the request that goes next."""
        key = self._queue.pop(now_ms)
        assert key is not None
        return self._sent(key, now_ms)

    def take_least_urgent(self, now_ms: int) -> Held:
        """Removes and returns the request that would go last."""
        key = self._queue.pop_least_urgent(now_ms)
        assert key is not None
        self._counters["held_requests_overflowed"] += 1
        return self._sent(key, now_ms)

    def take_overdue(self, now_ms: int) -> list[Held]:
        """Removes and returns those without a known timeout, if too old.

        Those whose callers have given up are dropped.
        """
        for key in self._queue.given_up(now_ms):
            self._counters["held_requests_given_up"] += 1
            self.drop(key)
        overdue = self._queue.unlimited(now_ms - MAX_HOLD_MS)
        return [self._sent(key, now_ms) for key in overdue]

    def take(self, key: packet.FlowKey, now_ms: int) -> Held:
        """Removes and returns the held request of a flow."""
        return self._sent(key, now_ms)

    def drop(self, key: packet.FlowKey) -> None:
        """Forgets the held request of a flow."""
        held = self._remove(key)
        held.flow.caller_end = held.first
        held.flow.request_ms = None

    def clear(self) -> None:
        """Forgets all held requests."""
        for key in list(self._held):
            self.drop(key)

    def _sent(self, key: packet.FlowKey, now_ms: int) -> Held:
        held = self._remove(key)
        self._last_held_ms = now_ms
        self._counters["held_requests_sent"] += 1
        self._samples.add("request_wait", now_ms - held.since_ms)
        return held

    def _remove(self, key: packet.FlowKey) -> Held:
        held = self._held.pop(key)
        self._queue.remove(key)
        self._packets -= len(held.packets)
        self._bytes -= sum(map(len, held.packets.values()))
        return held
