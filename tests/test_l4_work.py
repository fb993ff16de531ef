"""Measuring the work of a backend server at its agent."""

import collections

from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import expected_time
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import work
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from tests import placed_flows

WORK_MS = 20
ANSWER_BYTES = 1200
ERROR_BYTES = 120
IS_ON = True


class _Server:
    """A server with one slot, whose answers an agent sees."""

    def __init__(self, slots: int = 1) -> None:
        self.now_ms = 1_000_000
        self.slots = slots
        settings = load_settings.LoadSettings(places_by_expected_time=IS_ON)
        self.work = work.Work(collections.Counter(), settings)

    def answer(
        self,
        requested_ms: int,
        now_ms: int,
        *,
        route_ip: int = 1,
        size: int = ANSWER_BYTES,
    ) -> None:
        """Lets the agent see an answer, or a reset if it has no size."""
        flow = packet.FlowKey(9, 40_000, route_ip, 443)
        flags = flow_ends.ACK if size else flow_ends.RST
        data = flow_ends.from_backend(flow, flags, data=bytes(size))
        received = packets.decode_from_backend(data)
        self.now_ms = now_ms
        if size:
            self.work.on_answer(
                received, requested_ms, slots=self.slots, now_ms=now_ms
            )
            # The answer is complete.
            self.work.on_end(received, None, now_ms)
        else:
            self.work.on_end(received, requested_ms, now_ms)

    def serve(
        self,
        count: int,
        *,
        route_ip: int = 1,
        work_ms: int = WORK_MS,
        size: int = ANSWER_BYTES,
        every_ms: int = 100,
    ) -> None:
        for _ in range(count):
            start_ms = self.now_ms + every_ms
            end_ms = start_ms + work_ms
            self.answer(start_ms, end_ms, route_ip=route_ip, size=size)

    def works_ms(self) -> dict[int, float]:
        values = self.work.report().work_by_route
        return {
            route: tenths / 10
            for route, tenths in zip(values[::2], values[1::2], strict=True)
        }


class TestWork:
    """The server's own work, whatever waits before it."""

    def test_waiting_is_not_work(self) -> None:
        """A burst of eight requests at a server with one slot."""
        server = _Server()
        for start_ms in range(1_000_000, 1_010_000, 1000):
            for place in range(1, 9):
                server.answer(start_ms, start_ms + place * WORK_MS)
        assert server.works_ms() == {placed_flows.STREAM: WORK_MS}

    def test_two_slots_work_side_by_side(self) -> None:
        """A burst at a server with two slots: pairs of answers."""
        server = _Server(slots=2)
        for start_ms in range(1_000_000, 1_010_000, 1000):
            for place in range(2, 10):
                server.answer(start_ms, start_ms + place // 2 * WORK_MS)
        assert server.works_ms() == {placed_flows.STREAM: WORK_MS}

    def test_changed_mix_leaves_each_route_as_it_is(self) -> None:
        """A wave of requests that take six times the work of the others."""
        server = _Server()
        server.serve(40)
        server.serve(8, route_ip=2, work_ms=120)
        server.serve(60, route_ip=2, work_ms=120)
        assert server.works_ms() == {
            placed_flows.STREAM: WORK_MS,
            placed_flows.UPLOAD: 120,
        }

    def test_recovery_shows_after_a_few_requests(self) -> None:
        """A server that was slow gets a request every few seconds."""
        server = _Server()
        server.serve(40, work_ms=5 * WORK_MS)
        server.serve(5, every_ms=3000)
        assert server.works_ms()[placed_flows.STREAM] < 2.5 * WORK_MS

    def test_routes_are_bounded(self) -> None:
        """A server asked on more routes than an agent remembers."""
        server = _Server()
        for route_ip in range(1, 4 * work.MAX_ROUTES):
            server.serve(work.MIN_ANSWERS, route_ip=route_ip)
        assert len(server.works_ms()) == work.REPORTED_ROUTES


class TestFailures:
    """A server that fails must not look fast."""

    def test_quick_failures_are_counted_and_not_timed(self) -> None:
        """A third of the answers are errors after a millisecond."""
        server = _Server()
        server.serve(20)
        for _ in range(40):
            server.serve(2)
            server.serve(1, work_ms=1, size=ERROR_BYTES)
        assert server.works_ms()[placed_flows.STREAM] == WORK_MS
        assert 20 <= server.work.report().failed_percent <= 50

    def test_short_or_quick_answers_are_proper_ones(self) -> None:
        """Answers that are only short, or only out of a cache."""
        server = _Server()
        server.serve(20)
        for _ in range(5):
            server.serve(1, size=ERROR_BYTES)
            server.serve(1, work_ms=1)
        report = server.work.report()
        assert report.failed_percent == 0
        assert report.work_by_route

    def test_resets_and_returned_packets_count_as_failures(self) -> None:
        """A server that breaks requests off, or takes no flows."""
        for is_reset in (True, False):
            server = _Server()
            server.serve(20)
            for _ in range(20):
                if is_reset:
                    server.serve(1, work_ms=1, size=0)
                else:
                    server.work.on_returned(server.now_ms)
            assert server.work.report().failed_percent >= 50
            assert server.works_ms()[placed_flows.STREAM] == WORK_MS

    def test_unanswered_request_counts_as_slow_and_failed(self) -> None:
        """A server that hangs is avoided after three requests in a row."""
        server = _Server()
        server.serve(20)
        for _ in range(10):
            server.work.on_unanswered(server.now_ms - 30, server.now_ms)
        assert server.work.report().failed_percent == 0
        for _ in range(3):
            server.work.on_unanswered(server.now_ms - 1200, server.now_ms)
        report = server.work.report()
        assert report.failed_percent >= 100 * expected_time.AVOIDED_FAILURES
        assert report.work_ms > 5 * WORK_MS


class TestAgent:
    """The figures reach balancers, and only if asked for."""

    def test_heartbeats_carry_the_work_if_asked_for(self) -> None:
        """A new server beside the agent begins without figures."""
        for is_on in (IS_ON, False):
            address = messages.Address("10.2.0.1", 7720)
            agent = agent_module.Agent(
                agent_module.Identity("one", address, 1, "shop", "a", "region"),
                report_interval_ms=1000,
                started_unix_ms=0,
                is_first_start=True,
                now_ms=0,
                load=load_settings.LoadSettings(places_by_expected_time=is_on),
            )
            server = _Server()
            server.work = agent._work
            server.serve(20)
            heartbeat = agent.heartbeat(0)
            pulse = heartbeat.pulse()
            bare = heartbeat._replace(work_ms=0.0, work_by_route=())
            assert bare.updated(pulse) == heartbeat
            assert (heartbeat.work_ms == WORK_MS) == is_on
            assert bool(heartbeat.work_by_route) == is_on
            agent.on_report(
                backend.Report("new", 5, 1, "shop", "a", 1, False, 0), 10
            )
            assert not agent.heartbeat(10).work_by_route
