"""Requests in progress at the backend server, as packets show them.

A request begins with the first bytes of a caller that have not been seen yet,
and ends with the first new bytes of the server: it has produced its answer
then, and the slot is free.
"""

import collections
import heapq
import itertools
import math
from collections.abc import Callable

from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import held_requests
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import samples as samples_module
from sapphirelift.core.l4 import terms as terms_module

# Time after which a request without an answer no longer counts as in progress
# if the timeout of its route is not known.
MAX_REQUEST_MS = 2000
# Smoothing factor of the exponential moving average of response times.
RESPONSE_SMOOTHING = 0.1
# Time constant of the moving average of requests in progress.
ACTIVE_REQUESTS_AVERAGE_MS = 1000
# Requests at a full server beyond its slots. One waits in the server's own
# queue, so that it does not idle between an answer and the next request, which
# takes the agent a millisecond, or 100 ms if its instance has used up its CPU
# quota. More would only take the choice of what goes next away from the agent.
EXTRA_REQUESTS = 1
# Room of a server to which all requests are sent at once.
UNLIMITED = math.inf
# Routes whose usual time is remembered; a configuration has up to 1,400.
MAX_ROUTES = 4096


class Requests:
    """Requests that the backend server has not answered, and those held.

    Attributes:
        active: Number of requests at the backend server.
        response_ms: Moving average of the time from a request to its answer.
        server_ms: The same without the time for which requests were held.
    """

    def __init__(
        self,
        counters: collections.Counter[str],
        samples: samples_module.Samples,
        *,
        send: Callable[[bytes], None],
        log: Callable[..., None],
        on_unanswered: Callable[[int, int], None] = lambda sent_ms, now_ms: (
            None
        ),
        now_ms: int,
    ) -> None:
        """Creates the count.

        Args:
            counters: Event counts by name.
            samples: Gets the time for which requests were held.
            send: Sends a packet to the backend server.
            log: Writes a log line of an event and its fields.
            on_unanswered: Called for a request that gets no answer, with the
                time when it was sent and the current time.
            now_ms: Current time.
        """
        self.active = 0
        self.response_ms = 0.0
        self.server_ms = 0.0
        self._counters = counters
        self._send = send
        self._on_unanswered = on_unanswered
        self._held = held_requests.HeldRequests(
            counters, samples, log, self._work_ms
        )
        self._average = 0.0
        self._average_updated_ms = now_ms
        # Usual time of a request at the server, by route.
        self._usual_ms: dict[routes.RouteKey, float] = {}
        # Times at which requests no longer count, with the flow and the time
        # of its request; entries of requests that have ended are left in.
        self._expiries: list[tuple[int, int, flow_table.Flow, int]] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests held."""
        return len(self._held)

    @property
    def unanswered(self) -> int:
        """Number of requests at the backend server or held."""
        return self.active + len(self._held)

    def on_caller_packet(
        self,
        flow: flow_table.Flow,
        received: packet.Packet,
        terms: terms_module.Terms,
        *,
        room: float,
        now_ms: int,
    ) -> None:
        """Sends a packet of a caller to the server, or holds or drops it.

        Args:
            flow: Its flow.
            received: The packet.
            terms: Terms of its route.
            room: Number of requests that the server may have at once.
            now_ms: Current time.
        """
        if self._is_passed(flow, received, terms, room=room, now_ms=now_ms):
            self._send(received.raw)
        self.release(room, now_ms)

    def _is_passed(
        self,
        flow: flow_table.Flow,
        received: packet.Packet,
        terms: terms_module.Terms,
        *,
        room: float,
        now_ms: int,
    ) -> bool:
        """Counts or holds a packet; returns whether it goes to the server."""
        key = received.flow
        if received.is_reset or (
            received.is_fin and not received.payload_bytes
        ):
            self._on_caller_left(flow, now_ms)
        if not received.payload_bytes or not flow.can_bring_request:
            return True
        if key in self._held:
            place = self._held.add(received)
            if place is held_requests.Place.COPY:
                self._send(flow.caller_ack)
            return place is held_requests.Place.BEFORE
        if flow.is_given_up:
            self._counters["packets_given_up"] += 1
            return False
        if not self._begins_with(flow, received):
            return True
        self._update_average(now_ms)
        flow.request_ms = now_ms
        flow.request_key = key
        flow.has_caller_left = False
        self.expire(now_ms)
        # Instead of a packet that is held, the server gets a copy of one that
        # it has had: it returns that if it has lost the flow, and a flow whose
        # packets also go astray is heard of by its own server.
        may_wait = flow.phase is flow_table.Phase.OPEN and flow.caller_ack
        if may_wait and (self._held or self.active >= room):
            self._held.hold(flow, received, terms, now_ms)
            self._send(flow.caller_ack)
            return False
        self._count_sent(flow, terms, now_ms)
        return True

    def release(self, room: float, now_ms: int) -> None:
        """Sends the held requests for which there is room.

        Args:
            room: Number of requests that the server may have at once.
            now_ms: Current time.
        """
        self.expire(now_ms)
        if not self._held:
            return
        for held in self._held.take_overdue(now_ms):
            self._send_held(held, now_ms)
        while self._held and self.active < room:
            self._send_held(self._held.take_next(now_ms), now_ms)
        while self._held.is_over_limit:
            self._send_held(self._held.take_least_urgent(now_ms), now_ms)

    def _send_held(self, held: held_requests.Held, now_ms: int) -> None:
        self._count_sent(held.flow, held.terms, now_ms)
        for data in held.packets.values():
            self._send(data)

    def _begins_with(
        self, flow: flow_table.Flow, received: packet.Packet
    ) -> bool:
        """Notes a caller's payload; returns whether it begins a request.

        Bytes that have been seen are a retransmission. A caller that has not
        acknowledged all bytes of the server still sends an earlier request,
        whose answer has begun.
        """
        seen = flow.caller_end
        if seen is None and flow.caller_sequence is not None:
            seen = (flow.caller_sequence + 1) & packet.MAX_SEQUENCE
        if seen is not None and not packet.is_after(received.end, seen):
            return False
        flow.caller_end = received.end
        if flow.request_ms is not None:
            return False
        answered = flow.server_end
        return not (
            answered is not None
            and received.is_ack
            and packet.is_after(answered, received.acknowledged)
        )

    def _count_sent(
        self,
        flow: flow_table.Flow,
        terms: terms_module.Terms,
        now_ms: int,
    ) -> None:
        """Counts a request that is sent to the backend server.

        It counts for the timeout of its route at most, after which its
        caller has given up: a lost answer takes no room from others.
        """
        self._update_average(now_ms)
        flow.request_sent_ms = now_ms
        self.active += 1
        self._expire_at(flow, now_ms + (terms.timeout_ms or MAX_REQUEST_MS))

    def is_answered_by(
        self, flow: flow_table.Flow, received: packet.Packet
    ) -> bool:
        """Notes a server's payload; returns whether it answers a request.

        The server may send packets of an earlier answer again.
        """
        seen = flow.server_end
        if seen is None and flow.initial_sequence is not None:
            seen = (flow.initial_sequence + 1) & packet.MAX_SEQUENCE
        if seen is not None and not packet.is_after(received.end, seen):
            return False
        flow.server_end = received.end
        return flow.request_sent_ms is not None

    def answered(self, flow: flow_table.Flow, now_ms: int) -> int:
        """Ends a request that has been answered; returns how long it took."""
        assert flow.request_ms is not None
        assert flow.request_sent_ms is not None
        assert flow.request_key is not None
        took_ms = now_ms - flow.request_ms
        at_server_ms = now_ms - flow.request_sent_ms
        route = _route_of(flow.request_key)
        usual_ms = self._usual_ms.get(route)
        if usual_ms is not None:
            usual_ms += RESPONSE_SMOOTHING * (at_server_ms - usual_ms)
            self._usual_ms[route] = usual_ms
        elif len(self._usual_ms) < MAX_ROUTES:
            self._usual_ms[route] = float(at_server_ms)
        self.response_ms += RESPONSE_SMOOTHING * (took_ms - self.response_ms)
        self.server_ms += RESPONSE_SMOOTHING * (at_server_ms - self.server_ms)
        self.finish(flow, now_ms)
        return took_ms

    def finish(self, flow: flow_table.Flow, now_ms: int) -> None:
        """Ends a flow's request in progress, if there is one."""
        if flow.request_ms is None:
            return
        self._update_average(now_ms)
        if flow.request_sent_ms is None:
            assert flow.request_key is not None
            self._held.drop(flow.request_key)
            return
        flow.request_ms = None
        flow.request_sent_ms = None
        self.active -= 1

    def _on_caller_left(self, flow: flow_table.Flow, now_ms: int) -> None:
        """Notes that the caller no longer waits for an answer.

        A held request is not run, neither if its packets come again. A server
        at work is not told to stop, and may never answer on this flow. It is
        taken to be busy for the usual time of such a request.
        """
        if flow.request_ms is None or flow.has_caller_left:
            return
        assert flow.request_key is not None
        flow.has_caller_left = True
        if flow.request_sent_ms is None:
            flow.is_given_up = True
            self._counters["held_requests_caller_left"] += 1
            self.finish(flow, now_ms)
            return
        self._on_unanswered(flow.request_sent_ms, now_ms)
        usual_ms = round(self._work_ms(flow.request_key))
        self._expire_at(flow, flow.request_sent_ms + usual_ms)
        self.expire(now_ms)

    def on_server_ended(self, flow: flow_table.Flow, now_ms: int) -> None:
        """Notes that the server has ended a flow.

        It also ends the flow of a caller that has left while it is at work.
        It refuses what is held of the flow, so that the caller hears at once.
        """
        if flow.request_ms is not None and flow.request_sent_ms is None:
            assert flow.request_key is not None
            key = flow.request_key
            self._send_held(self._held.take(key, now_ms), now_ms)
        if not flow.has_caller_left:
            self.finish(flow, now_ms)

    def expire(self, now_ms: int) -> None:
        """Ends the requests that no longer count."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, _, flow, request_ms = heapq.heappop(self._expiries)
            if flow.request_ms != request_ms:
                continue
            if not flow.has_caller_left:
                self._counters["requests_without_answer"] += 1
                if flow.request_sent_ms is not None:
                    self._on_unanswered(flow.request_sent_ms, now_ms)
            self.finish(flow, now_ms)

    def clear(self, now_ms: int) -> None:
        """Forgets all requests: their server has ended."""
        self._update_average(now_ms)
        self._held.clear()
        for _, _, flow, _ in self._expiries:
            flow.request_ms = None
            flow.request_sent_ms = None
        self._expiries.clear()
        self.active = 0

    @property
    def last_average(self) -> float:
        """Moving average of requests in progress, as of its last change."""
        return self._average

    def average(self, now_ms: int) -> float:
        """Returns the moving average of requests in progress."""
        self.expire(now_ms)
        self._update_average(now_ms)
        return self._average

    def _work_ms(self, key: packet.FlowKey) -> float:
        """Returns the usual time at the server; that of all if unknown."""
        return self._usual_ms.get(_route_of(key), self.server_ms)

    def _update_average(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._average_updated_ms
        if elapsed_ms > 0:
            weight = min(elapsed_ms / ACTIVE_REQUESTS_AVERAGE_MS, 1.0)
            self._average += weight * (self.active - self._average)
            self._average_updated_ms = now_ms

    def _expire_at(self, flow: flow_table.Flow, at_ms: int) -> None:
        assert flow.request_ms is not None
        heapq.heappush(
            self._expiries, (at_ms, next(self._numbers), flow, flow.request_ms)
        )


def _route_of(key: packet.FlowKey) -> routes.RouteKey:
    return routes.RouteKey(key.route_ip, key.route_port)
