"""Work of one backend server for each route, as its agent sees it.

Only headers of packets are read. What an answer says is between the two ends
of its flow.
"""

import collections
import dataclasses
import math
from typing import NamedTuple

import xxhash

from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes

# Routes of which the work is remembered; a service has a few with traffic.
MAX_ROUTES = 64
# Routes in a report: the busiest ones. Three show whether a server is slow in
# all that it does, and take 18 bytes.
REPORTED_ROUTES = 3
# Answers of the busiest route at which the counts of all routes are halved, so
# that the busiest routes of the last seconds are reported.
MAX_COUNTED = 256
# Answers remembered to tell when a slot became free. A server queues a few
# requests beyond its slots.
MAX_ANSWERS = 32
# Share of the newest value in an average: some ten requests count.
SMOOTHING = 0.1
# After a pause of about this time, a value counts more, up to a limit: a server
# that has recovered is shown to have by a few requests.
RENEWAL_MS = 5000
MAX_RENEWAL = 0.3
# Share of the newest request in that of failures. One failure alone is no
# reason to avoid a server, so it does not count more after a pause.
FAILURE_SMOOTHING = 0.05
# Answers on a route before one can be told to be unusual.
MIN_ANSWERS = 8
# An answer counts as failed if both its first packet and its work are less than
# this share of what is usual on the route. An answer that was run takes the
# work, and one that is only shorter or only sooner is a proper one.
UNUSUAL_SHARE = 0.5
# A request that ended without an answer counts as failed after this multiple of
# the work: latency objectives are five times the work, and a caller that left
# earlier had other reasons.
UNANSWERED_WORK = 5.0


class Report(NamedTuple):
    """Figures for heartbeats.

    Attributes:
        work_ms: Average work of a request.
        work_by_route: Number of a route and the work on it in tenths of a
            millisecond, alternately, the busiest route first.
        failed_percent: Share of requests that seem to have failed.
    """

    work_ms: float = 0.0
    work_by_route: tuple[int, ...] = ()
    failed_percent: int = 0


class _Answer(NamedTuple):
    """Times of one answered request."""

    request_ms: int
    answer_ms: int


@dataclasses.dataclass(slots=True)
class _Average:
    """Moving average in which the first values count equally."""

    value: float = 0.0
    count: int = 0
    updated_ms: int = 0

    def add(
        self,
        value: float,
        now_ms: int,
        *,
        smoothing: float = SMOOTHING,
        max_renewal: float = MAX_RENEWAL,
    ) -> None:
        """Adds a value.

        Args:
            value: The value.
            now_ms: Current time.
            smoothing: Least share of the value in the average.
            max_renewal: Greatest share after a pause.
        """
        self.count += 1
        gap_ms = max(now_ms - self.updated_ms, 0)
        renewal = min(1.0 - math.exp(-gap_ms / RENEWAL_MS), max_renewal)
        weight = max(smoothing, 1.0 / self.count, renewal)
        self.value += weight * (value - self.value)
        self.updated_ms = now_ms


@dataclasses.dataclass(slots=True)
class _RouteWork:
    """Usual answers of one route.

    Attributes:
        work_ms: Work of a request.
        first_bytes: Payload of the first packet of an answer.
        answers: Number of recent answers.
    """

    work_ms: _Average = dataclasses.field(default_factory=_Average)
    first_bytes: _Average = dataclasses.field(default_factory=_Average)
    answers: int = 0


class Work:
    """Measures the work of a backend server.

    The work of a request begins when it arrives, or when a slot becomes free
    for it, and ends with the first packet of its answer.
    """

    def __init__(
        self,
        counters: collections.Counter[str],
        load: load_settings.LoadSettings,
    ) -> None:
        """Creates figures of a server that has answered nothing.

        Args:
            counters: Event counts by name.
            load: Decisions under load that the deployment asks for. Without
                placement by expected time, nothing is measured.
        """
        self._counters = counters
        self._is_measured = load.places_by_expected_time
        self.reset()

    def reset(self) -> None:
        """Forgets all, as when another backend server has started."""
        self._routes: collections.OrderedDict[routes.RouteKey, _RouteWork] = (
            collections.OrderedDict()
        )
        self._answers: collections.deque[_Answer] = collections.deque(
            maxlen=MAX_ANSWERS
        )
        self._work_ms = _Average()
        # Without requests that had no answer, which would hide the next ones.
        self._answered_ms = _Average()
        self._failed = _Average()

    def on_answer(
        self,
        received: packet.Packet,
        request_ms: int,
        *,
        slots: int,
        now_ms: int,
    ) -> None:
        """Handles the first packet of an answer.

        Args:
            received: The packet.
            request_ms: When the request arrived at the server.
            slots: Number of requests that the server runs concurrently.
            now_ms: Current time.
        """
        if self._is_measured:
            answer = _Answer(request_ms, now_ms)
            self._add_answer(received, answer, max(slots, 1))

    def on_end(
        self, received: packet.Packet, request_ms: int | None, now_ms: int
    ) -> None:
        """Handles a packet that may end a flow with its request in progress.

        Args:
            received: Packet of the backend server.
            request_ms: When the flow's request in progress arrived at the
                server, None if there is none.
            now_ms: Current time.
        """
        is_broken_off = received.is_reset and request_ms is not None
        if self._is_measured and is_broken_off:
            self._on_failed("requests_reset", now_ms)

    def on_returned(self, now_ms: int) -> None:
        """Handles a packet that the backend server has returned."""
        if self._is_measured:
            self._on_failed("requests_returned", now_ms)

    def on_unanswered(self, request_ms: int, now_ms: int) -> None:
        """Handles the end of a request without an answer.

        Args:
            request_ms: When it arrived at the server.
            now_ms: Current time.
        """
        took_ms = now_ms - request_ms
        limit_ms = UNANSWERED_WORK * self._answered_ms.value
        if not self._is_measured or took_ms < limit_ms:
            return
        self._work_ms.add(took_ms, now_ms)
        self._on_failed("requests_unanswered", now_ms)

    def _on_failed(self, name: str, now_ms: int) -> None:
        self._counters[name] += 1
        self._failed.add(
            1.0, now_ms, smoothing=FAILURE_SMOOTHING, max_renewal=0.0
        )

    def _add_answer(
        self, received: packet.Packet, answer: _Answer, slots: int
    ) -> None:
        now_ms = answer.answer_ms
        took_ms = now_ms - self._began_ms(answer.request_ms, slots)
        self._answers.append(answer)
        found = self._route(received.flow)
        found.answers += 1
        if found.answers >= MAX_COUNTED:
            for other in self._routes.values():
                other.answers //= 2
        if (
            found.work_ms.count >= MIN_ANSWERS
            and took_ms < UNUSUAL_SHARE * found.work_ms.value
            and received.payload_bytes < UNUSUAL_SHARE * found.first_bytes.value
        ):
            self._on_failed("answers_unusual", now_ms)
            return
        found.work_ms.add(took_ms, now_ms)
        found.first_bytes.add(received.payload_bytes, now_ms)
        self._work_ms.add(took_ms, now_ms)
        self._answered_ms.add(took_ms, now_ms)
        self._failed.add(0.0, now_ms, smoothing=FAILURE_SMOOTHING)

    def _began_ms(self, request_ms: int, slots: int) -> int:
        """Returns when the server could begin with a request just answered.

        It takes requests first come, first served. With more slots than one,
        requests ahead that are still in progress are not known here, so that
        some waits count as work; they are shorter than one request.
        """
        ends_ms = [
            earlier.answer_ms
            for earlier in self._answers
            if earlier.request_ms <= request_ms < earlier.answer_ms
        ]
        if len(ends_ms) < slots:
            return request_ms
        return ends_ms[len(ends_ms) - slots]

    def _route(self, flow: packet.FlowKey) -> _RouteWork:
        key = routes.RouteKey(flow.route_ip, flow.route_port)
        found = self._routes.get(key)
        if found is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.popitem(last=False)
            found = self._routes[key] = _RouteWork()
        self._routes.move_to_end(key)
        return found

    def report(self) -> Report:
        """Returns the figures for a heartbeat."""
        if not self._is_measured:
            return Report()
        known = [
            (key, found)
            for key, found in self._routes.items()
            if found.work_ms.count >= MIN_ANSWERS
        ]
        known.sort(key=lambda item: -item[1].answers)
        pairs = [
            (route_number(key), max(round(found.work_ms.value * 10), 1))
            for key, found in known[:REPORTED_ROUTES]
        ]
        return Report(
            round(self._work_ms.value, 1),
            tuple(value for pair in pairs for value in pair),
            round(100 * self._failed.value)
            if self._failed.count >= MIN_ANSWERS
            else 0,
        )


def route_number(key: routes.RouteKey) -> int:
    """Returns a number of 16 bits by which daemons name a route."""
    return xxhash.xxh32_intdigest(f"{key.ip}:{key.port}".encode()) & 0xFFFF
