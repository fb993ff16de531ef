"""Requests in progress at an agent, counted and held."""

import collections
from collections.abc import Callable

import pytest

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import held_requests
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import requests
from sapphirelift.core.l4 import terms as terms_module
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

NOW_MS = 1_000_000
BALANCER = messages.Address("10.1.0.1", 7720)
# Just before the sequence numbers wrap around.
CALLER_SEQUENCE = packet.MAX_SEQUENCE - 2000
SERVER_SEQUENCE = packet.MAX_SEQUENCE - 10
TERMS = terms_module.Terms(1, 150, 1200, False)
STREAM = terms_module.Terms(2, 120, 1200, True)
# Another route.
STREAM_PORT = 444
QUEUE = 4
ACK = flow_ends.ACK
FIN = flow_ends.FIN | flow_ends.ACK


class Caller:
    """One caller's flow, by single packets.

    Attributes:
        flow: The flow.
        sequence: Next sequence number of the caller.
        acknowledged: Next sequence number expected from the server.
    """

    def __init__(self, world: "World", ip: int, port: int, route: int) -> None:
        self.flow = packet.FlowKey(ip, port, packet_network.ROUTE_IP, route)
        self.sequence = CALLER_SEQUENCE
        self.acknowledged = SERVER_SEQUENCE
        self._world = world

    def packet(self, flags: int, data: bytes = b"", behind: int = 0) -> bytes:
        """Returns a packet; ``behind`` bytes back is a retransmission."""
        return flow_ends.from_caller(
            self.flow,
            flags,
            sequence=(self.sequence - behind) & packet.MAX_SEQUENCE,
            acknowledged=self.acknowledged,
            data=data,
        )

    def open(
        self, terms: terms_module.Terms, *, is_acknowledged: bool = True
    ) -> None:
        """Opens the flow; its first acknowledgement may be lost."""
        core, now_ms = self._world.core, self._world.now_ms
        data = self.packet(flow_ends.SYN)
        offer = messages.Open("shop", BALANCER, (), False, data, terms=terms)
        core.on_open(offer, packets.decode_from_caller(data), now_ms)
        accepted = flow_ends.from_backend(
            self.flow, flow_ends.SYN | ACK, sequence=self.acknowledged
        )
        core.on_backend_packet(packets.decode_from_backend(accepted), now_ms)
        self.sequence = (self.sequence + 1) & packet.MAX_SEQUENCE
        self.acknowledged = (self.acknowledged + 1) & packet.MAX_SEQUENCE
        if is_acknowledged:
            self.send(self.packet(ACK))

    def send(self, data: bytes) -> None:
        """Lets a balancer deliver a packet."""
        self._world.core.on_deliver(
            messages.Deliver(BALANCER, data),
            packets.decode_from_caller(data),
            self._world.now_ms,
        )

    def request(self, data: bytes = b"request") -> bytes:
        """Sends new bytes; returns the packet."""
        sent = self.packet(ACK, data)
        self.sequence = (self.sequence + len(data)) & packet.MAX_SEQUENCE
        self.send(sent)
        return sent

    def answer(
        self, data: bytes = b"answer", *, flags: int = ACK, behind: int = 0
    ) -> None:
        """Lets the server send bytes that the caller acknowledges later."""
        sent = flow_ends.from_backend(
            self.flow,
            flags,
            sequence=(self.acknowledged - behind) & packet.MAX_SEQUENCE,
            data=data,
        )
        self._world.core.on_backend_packet(
            packets.decode_from_backend(sent), self._world.now_ms
        )
        if not behind:
            self.acknowledged += len(data)
            self.acknowledged &= packet.MAX_SEQUENCE


class World:
    """An agent, its server's slots, and callers.

    Attributes:
        core: The agent.
        now_ms: Current time.
    """

    def __init__(self, *, slots: int = 2, queues: bool = False) -> None:
        self.now_ms = NOW_MS
        self._ports = iter(range(1, 1000))
        self.core = agent_module.Agent(
            agent_module.Identity(
                "agent-1", messages.Address("10.2.0.1", 1), 1, "shop", "a", "r"
            ),
            report_interval_ms=1000,
            started_unix_ms=1,
            is_first_start=True,
            now_ms=NOW_MS,
            load=load_settings.LoadSettings(queues_requests=queues),
        )
        self._slots = slots
        self.report(1)

    def report(
        self, number: int, *, name: str = "shop-1", is_draining: bool = False
    ) -> None:
        """Lets the backend server report."""
        self.core.on_report(
            backend.Report(
                name, 1, number, "shop", "a", self._slots, is_draining, 0
            ),
            self.now_ms,
        )

    def caller(
        self,
        *,
        ip: int = 1,
        terms: terms_module.Terms = TERMS,
        route: int = 443,
    ) -> Caller:
        """Returns a caller with an open flow."""
        caller = Caller(self, ip, next(self._ports), route)
        caller.open(terms)
        self.core.drain_actions()
        return caller

    def sent(self) -> list[packet.Packet]:
        """Returns what the server gets, without acknowledgements."""
        return [data for data in self.heard() if not data.only_acknowledges]

    def heard(self) -> list[packet.Packet]:
        """Returns the packets that the server gets."""
        return [
            packets.decode_from_caller(action.data)
            for action in self.core.drain_actions()
            if isinstance(action, actions.SendBackend)
        ]

    @property
    def busy(self) -> int:
        """Requests in progress."""
        self.core.heartbeat(self.now_ms)
        return self.core._active_requests


class TestCounting:
    """Which packets begin and end a request."""

    def test_retransmission_after_the_answer(self) -> None:
        """The answer and the packet sent again cross on a slow link."""
        world = World()
        caller = world.caller()
        sent = caller.request()
        assert world.busy == 1
        caller.answer()
        caller.send(sent)
        assert world.busy == 0

    def test_rest_of_an_upload_after_an_early_answer(self) -> None:
        """The server refuses an upload of which packets are under way."""
        world = World()
        caller = world.caller()
        caller.request(b"x" * 1200)
        rest = caller.packet(ACK, b"y" * 1200)
        assert world.busy == 1
        caller.answer(b"not run")
        caller.send(rest)
        assert world.busy == 0

    def test_upload_is_one_request(self) -> None:
        """An upload of many packets, some out of order, across the wrap."""
        world = World()
        caller = world.caller()
        sent = [caller.request(b"x" * 1200) for _ in range(34)]
        for data in reversed(sent):
            caller.send(data)
        assert world.busy == 1
        caller.answer()
        assert world.busy == 0
        caller.request()
        assert world.busy == 1

    def test_answer_of_many_packets(self) -> None:
        """The rest of an answer, some of it again, ends no later request."""
        world = World()
        caller = world.caller()
        caller.request()
        for _ in range(67):
            caller.answer(b"x" * 1200)
            caller.send(caller.packet(ACK))
        assert world.busy == 0
        caller.request()
        caller.answer(b"x" * 1200, behind=1200)
        assert world.busy == 1
        caller.answer()
        assert world.busy == 0

    def test_probe(self) -> None:
        """A restarted agent lets its server show whether it has a flow."""
        world = World()
        world.core._has_full_table = False
        Caller(world, 1, 999, 443).request()
        assert world.busy == 0

    def test_flow_learned_after_a_restart(self) -> None:
        """The first payload sets the base."""
        world = World()
        caller = Caller(world, 1, 999, 443)
        caller.answer()
        sent = caller.request()
        assert world.busy == 1
        caller.answer()
        caller.send(sent)
        assert world.busy == 0


class TestEnd:
    """Requests that end without an answer."""

    @pytest.mark.parametrize("flags", [FIN, flow_ends.RST])
    def test_caller_leaves(self, flags: int) -> None:
        """A server goes on with the work of a caller that has left."""
        world = World()
        first = world.caller()
        first.request()
        world.now_ms += 50
        first.answer()
        second = world.caller()
        second.request()
        second.send(second.packet(flags))
        second.answer(b"", flags=FIN)
        assert world.busy == 1
        world.now_ms += 50
        assert world.busy == 0
        assert not world.core.counters["requests_without_answer"]

    def test_answer_of_one_that_has_left(self) -> None:
        """The answer frees the slot before the usual time is over."""
        world = World()
        for _ in range(2):
            caller = world.caller()
            caller.request()
            world.now_ms += 50
            caller.answer()
        caller.request()
        caller.send(caller.packet(FIN))
        assert world.busy == 1
        caller.answer()
        assert world.busy == 0

    @pytest.mark.parametrize(
        ("timeout_ms", "ends_ms"),
        [(1200, 1200), (5000, 5000), (0, requests.MAX_REQUEST_MS)],
    )
    def test_lost_answer(self, timeout_ms: int, ends_ms: int) -> None:
        """An answer that never comes holds its slot for the time limit."""
        world = World()
        terms = terms_module.Terms(1, 150, timeout_ms, False)
        world.caller(terms=terms).request()
        world.now_ms += ends_ms - 1
        assert world.busy == 1
        world.now_ms += 1
        assert world.busy == 0
        assert world.core.counters["requests_without_answer"] == 1

    def test_server_starts_again(self) -> None:
        """The requests of a crashed server take no room of the next one."""
        world = World()
        world.caller().request()
        world.report(1, name="shop-2")
        assert world.busy == 0


class Load:
    """Callers that send a request 20 ms after each answer, for some time.

    The server has one slot and a first-come queue, as the platform's have.

    Attributes:
        waits_ms: Times from a request to its answer, by the caller's address.
        shed: Requests that the server refused, by the caller's address.
    """

    def __init__(self, *, queues: bool) -> None:
        self.world = World(slots=1, queues=queues)
        self.waits_ms: dict[int, list[int]] = collections.defaultdict(list)
        self.shed: collections.Counter[int] = collections.Counter()
        self._callers: dict[packet.FlowKey, Caller] = {}
        self._due_ms: dict[packet.FlowKey, int] = {}
        self._sent_ms: dict[packet.FlowKey, int] = {}
        self._queue: collections.deque[packet.FlowKey] = collections.deque()
        self._free_ms = 0

    def add(self, ip: int, terms: terms_module.Terms = TERMS) -> None:
        """Adds a flow of a caller."""
        port = STREAM_PORT if terms == STREAM else 443
        caller = self.world.caller(ip=ip, terms=terms, route=port)
        self._callers[caller.flow] = caller
        self._due_ms[caller.flow] = self.world.now_ms + len(self._callers)

    def run(self, duration_ms: int, *, work_ms: int = 20) -> None:
        """Plays the load."""
        for _ in range(duration_ms):
            self.world.now_ms += 1
            now_ms = self.world.now_ms
            for flow, due_ms in list(self._due_ms.items()):
                if due_ms <= now_ms:
                    del self._due_ms[flow]
                    self._sent_ms[flow] = now_ms
                    self._callers[flow].request()
            if self._queue and now_ms >= self._free_ms:
                self._answer(self._queue.popleft())
                self._free_ms = now_ms + work_ms
            if now_ms % 20 == 0:
                self.world.core.tick(now_ms)
            if now_ms % 1000 == 0:
                self.world.report(now_ms // 1000)
            for data in self.world.sent():
                self._receive(data.flow, work_ms)

    def _receive(self, flow: packet.FlowKey, work_ms: int) -> None:
        if not self._queue:
            self._free_ms = self.world.now_ms + work_ms
        if len(self._queue) > QUEUE:
            self.shed[flow.caller_ip] += 1
            self._answer(flow)
        else:
            self._queue.append(flow)

    def _answer(self, flow: packet.FlowKey) -> None:
        now_ms = self.world.now_ms
        self.waits_ms[flow.caller_ip].append(now_ms - self._sent_ms.pop(flow))
        self._due_ms[flow] = now_ms + 20
        self._callers[flow].answer()


class TestLoad:
    """Who is served by a server that is wanted by too many."""

    @pytest.mark.parametrize("queues", [True, False])
    def test_streams_and_bookings(self, queues: bool) -> None:
        """Twelve streams want a server with one slot, and two bookings.

        Without the queue, the server sheds bookings too.
        """
        load = Load(queues=queues)
        for number in range(12):
            load.add(10 + number, STREAM)
        for ip in (1, 2):
            load.add(ip)
        load.run(5000)
        if not queues:
            assert load.shed[1] and load.shed[2]
            return
        assert not load.shed
        late = [ms for ip in (1, 2) for ms in load.waits_ms[ip] if ms > 150]
        assert not late
        # The streams take turns, all within their time limit.
        streams = [load.waits_ms[10 + number] for number in range(12)]
        assert min(map(len, streams)) >= max(map(len, streams)) - 2 > 0

    def test_busy_and_quiet_callers(self) -> None:
        """One caller has forty flows, nine have one each."""
        load = Load(queues=True)
        for _ in range(40):
            load.add(100)
        for ip in range(9):
            load.add(ip)
        load.run(5000)
        counts = [len(load.waits_ms[ip]) for ip in range(9)]
        assert max(counts) - min(counts) <= 1
        # A turn of ten callers and what is at the server already.
        assert all(max(load.waits_ms[ip]) <= 12 * 20 for ip in range(9))


def full_world() -> tuple[World, list[Caller]]:
    """Returns an agent with a full server, and the callers it serves."""
    world = World(slots=1, queues=True)
    served = [world.caller() for _ in range(2)]
    for caller in served:
        caller.request()
    assert len(world.sent()) == 2
    return world, served


class TestHeld:
    """Packets of requests that are held."""

    def test_switched_off(self) -> None:
        """Nothing is held unless the deployment asks for it."""
        world = World(slots=1)
        for _ in range(9):
            world.caller().request()
            assert len(world.sent()) == 1

    def test_upload_keeps_its_order(self) -> None:
        """Each packet of an upload goes once, in order, with one log line."""
        world, served = full_world()
        caller = world.caller()
        sent = [caller.request(bytes([n]) * 1200) for n in range(16)]
        for data in sent:
            caller.send(data)
        logged = [
            action.event
            for action in world.core._actions
            if isinstance(action, actions.Log)
        ]
        assert logged == ["requests_held"]
        assert world.sent() == []
        caller.send(caller.packet(ACK))
        assert [data.raw for data in world.heard()] == [caller.packet(ACK)]
        assert world.core.heartbeat(world.now_ms).waiting == 1
        served[0].answer()
        assert [data.raw for data in world.sent()] == sent
        assert world.core.counters["held_packets_repeated"] == 16
        # The last packet, sent again with a newer acknowledgement.
        caller.answer()
        caller.send(caller.packet(ACK, b"x" * 1200, behind=1200))
        assert world.busy == 1

    @pytest.mark.parametrize("flags", [FIN, flow_ends.RST])
    def test_caller_leaves(self, flags: int) -> None:
        """The end of a flow passes, its request is not run."""
        world, served = full_world()
        caller = world.caller()
        request = caller.request()
        caller.send(caller.packet(flags))
        assert [data.raw for data in world.sent()] == [caller.packet(flags)]
        assert world.core.counters["held_requests_caller_left"] == 1
        if flags == FIN:
            caller.send(request)
        served[0].answer()
        assert world.sent() == []
        assert world.busy == 1

    def test_caller_has_given_up(self) -> None:
        """A server is stuck for longer than a caller waits."""
        world = World(slots=1, queues=True)
        patient = TERMS._replace(timeout_ms=8000)
        for _ in range(2):
            world.caller(terms=patient, route=STREAM_PORT).request()
        caller = world.caller()
        request = caller.request()
        world.now_ms += TERMS.timeout_ms
        world.core.tick(world.now_ms)
        assert world.busy == 2
        assert world.core.counters["held_requests_given_up"] == 1
        # One whose clock runs slow sends it again, and is not left out.
        caller.send(request)
        assert world.busy == 3
        assert world.sent() == []

    def test_overflow(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The least urgent go to the server, which refuses truthfully."""
        monkeypatch.setattr(held_requests, "MAX_REQUESTS", 2)
        world, _ = full_world()
        stream = world.caller(terms=STREAM, route=STREAM_PORT)
        stream.request()
        for _ in range(2):
            assert world.sent() == []
            world.caller().request()
        assert [data.flow for data in world.sent()] == [stream.flow]
        assert world.core.counters["held_requests_overflowed"] == 1

    def test_limits_of_packets_and_bytes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Uploads of a few callers are more than may be held."""
        for limit, value in (("MAX_PACKETS", 2), ("MAX_BYTES", 3000)):
            with monkeypatch.context() as patch:
                patch.setattr(held_requests, limit, value)
                world, _ = full_world()
                caller = world.caller()
                sent = [caller.request(b"x" * 1200) for _ in range(2)]
                assert world.sent() == []
                sent.append(caller.request(b"x" * 1200))
                assert [data.raw for data in world.sent()] == sent

    def test_lost_answer(self) -> None:
        """Answers that never come do not stop what is held for good."""
        world, _ = full_world()
        terms = TERMS._replace(timeout_ms=5000)
        caller = world.caller(terms=terms, route=STREAM_PORT)
        caller.request()
        world.now_ms += TERMS.timeout_ms - 1
        world.core.tick(world.now_ms)
        assert world.sent() == []
        world.now_ms += 1
        world.core.tick(world.now_ms)
        assert len(world.sent()) == 1

    @pytest.mark.parametrize(
        "happens",
        [
            lambda world: world.core.leave(world.now_ms),
            lambda world: world.core.on_end("shop-1", world.now_ms),
            lambda world: world.report(2, is_draining=True),
            lambda world: world.report(1, name="shop-2"),
            lambda world: world.core.observe(NOW_MS + 5000, world.now_ms),
        ],
        ids=["stop", "end", "draining", "restart", "pause"],
    )
    def test_all_go_at_once(self, happens: Callable[[World], None]) -> None:
        """What the agent or its server can't see to later goes now."""
        world, _ = full_world()
        world.core.observe(NOW_MS, world.now_ms)
        for _ in range(3):
            world.caller().request()
        assert world.sent() == []
        happens(world)
        assert sum(bool(data.payload_bytes) for data in world.sent()) == 3
        assert world.core.heartbeat(world.now_ms).waiting == 0

    def test_server_hears_of_the_flow(self) -> None:
        """Other packets of the flow go astray meanwhile, or it is lost."""
        world, _ = full_world()
        caller = world.caller()
        request = caller.request()
        caller.send(request)
        heard = world.heard()
        assert len(heard) == 2
        assert all(data.only_acknowledges for data in heard)
        world.core.on_bounced(heard[0], world.now_ms)
        resets = [
            action
            for action in world.core.drain_actions()
            if isinstance(action, actions.ResetCaller)
        ]
        assert [reset.flow for reset in resets] == [caller.flow]
        assert world.core.heartbeat(world.now_ms).waiting == 0

    def test_flow_that_the_server_may_not_have(self) -> None:
        """No acknowledgement of the caller has passed here."""
        world, _ = full_world()
        caller = Caller(world, 1, 999, 443)
        caller.open(TERMS, is_acknowledged=False)
        world.core.drain_actions()
        caller.request()
        assert len(world.sent()) == 1

    def test_server_ends_the_flow(self) -> None:
        """A server that has closed a flow says so to its caller."""
        world, _ = full_world()
        caller = world.caller()
        request = caller.request()
        assert world.sent() == []
        caller.answer(b"", flags=FIN)
        assert [data.raw for data in world.sent()] == [request]
        assert world.busy == 2
