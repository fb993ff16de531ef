"""Requests in progress at an agent, counted and held."""

import pytest

from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend
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

    def open(self, terms: terms_module.Terms) -> None:
        """Opens the flow."""
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
