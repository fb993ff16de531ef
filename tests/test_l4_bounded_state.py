"""State of agents and balancers that must stay bounded and correct."""

import random

import pytest

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import admission
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

NOW_MS = 1_000_000
BALANCER = messages.Address("10.1.0.1", 7720)
OTHER_AGENT = messages.Address("10.2.0.2", 7720)
REPORT = backend.Report("shop-1", 1, 1, "shop", "a", 2, False, 0)


def flow_of_port(port: int) -> packet.FlowKey:
    """Returns the flow of a caller's port to the route of the network."""
    return packet.FlowKey(
        packets.ip_number("100.64.0.1"),
        port,
        packet_network.ROUTE_IP,
        packet_network.ROUTE_PORT,
    )


def new_agent() -> agent_module.Agent:
    """Returns an agent whose backend server is ready."""
    core = agent_module.Agent(
        agent_module.Identity(
            "agent-1", messages.Address("10.2.0.1", 7720), 1, "shop", "a", "r"
        ),
        report_interval_ms=1000,
        started_unix_ms=1,
        is_first_start=True,
        now_ms=NOW_MS,
    )
    core.on_report(REPORT, NOW_MS)
    return core


def offer(
    core: agent_module.Agent,
    port: int,
    now_ms: int,
    *,
    others: tuple[messages.Address, ...] = (),
) -> None:
    """Offers the agent an opening packet."""
    data = flow_ends.from_caller(
        flow_of_port(port), flow_ends.SYN, sequence=port
    )
    core.on_open(
        messages.Open("shop", BALANCER, others, False, data),
        packets.decode_from_caller(data),
        now_ms,
    )


def deliver_request(core: agent_module.Agent, port: int, now_ms: int) -> None:
    """Delivers a caller's packet with a request."""
    data = flow_ends.from_caller(
        flow_of_port(port), flow_ends.ACK, data=b"request"
    )
    core.on_deliver(
        messages.Deliver(BALANCER, data),
        packets.decode_from_caller(data),
        now_ms,
    )


class TestRequestsInProgress:
    """The number of requests in progress after flows have been removed."""

    def test_abandoned_opening(self) -> None:
        """Guards against an agent that believes it is busy for good.

        A packet with a request overtakes the answer to the opening, which is
        then passed on to another agent.
        """
        core = new_agent()
        offer(core, 1, NOW_MS, others=(OTHER_AGENT,))
        deliver_request(core, 1, NOW_MS)
        core.tick(NOW_MS + agent_module.ACCEPT_MS)
        assert core.flows.get(flow_of_port(1)) is None
        assert core.dump(NOW_MS)["busy"] == 0

    def test_opening_without_answer(self) -> None:
        """Guards against openings that time out and stay counted as busy."""
        core = new_agent()
        offer(core, 1, NOW_MS)
        deliver_request(core, 1, NOW_MS)
        core.tick(NOW_MS + packet.OPEN_LIFETIME_MS + 1)
        assert len(core.flows) == 0
        assert core.dump(NOW_MS)["busy"] == 0

    def test_evicted_flow(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against evicted flows that stay counted as busy."""
        monkeypatch.setattr(flow_table, "MAX_FLOWS", 1)
        core = new_agent()
        offer(core, 1, NOW_MS)
        deliver_request(core, 1, NOW_MS)
        offer(core, 2, NOW_MS)
        assert core.flows.get(flow_of_port(1)) is None
        assert core.dump(NOW_MS)["busy"] == 0


class TestLateAcceptance:
    """A backend server that accepts a flow after its opening was passed on."""

    # Guards against an open flow that the agent gives up as a held opening, so
    # that a balancer finds no owner and resets it (review/3).
    @pytest.mark.parametrize("later_ms", [1, admission.MAX_HOLD_MS + 1])
    def test_held_opening_is_accepted(self, later_ms: int) -> None:
        """The opening comes back and is held while the answer is under way."""
        core = new_agent()
        offer(core, 1, NOW_MS, others=(OTHER_AGENT,))
        now_ms = NOW_MS + agent_module.ACCEPT_MS
        core.tick(now_ms)
        assert core.flows.get(flow_of_port(1)) is None
        core._requests.active = 100
        offer(core, 1, now_ms)
        assert len(core.flows.held()) == 1
        accepted = flow_ends.from_backend(
            flow_of_port(1), flow_ends.SYN | flow_ends.ACK, sequence=77
        )
        core.on_backend_packet(packets.decode_from_backend(accepted), now_ms)
        core.drain_actions()
        core._requests.active = 0
        core.tick(now_ms + later_ms)
        assert core.flows.get(flow_of_port(1)) is not None
        assert not core.flows.held()
        kinds = [type(action) for action in core.drain_actions()]
        assert actions.SendBackend not in kinds
        core.on_ask(messages.Ask(flow_of_port(1)), BALANCER, now_ms + later_ms)
        sent = [
            action.message
            for action in core.drain_actions()
            if isinstance(action, actions.SendDaemon)
        ]
        assert [
            message.verdict
            for message in sent
            if isinstance(message, messages.Answer)
        ] == [messages.OWNS]


class TestColdReservations:
    """The openings that a backend server counts for its cold rate."""

    def test_openings_of_a_warm_server_are_forgotten(self) -> None:
        """Guards against memory that grows with each opening."""
        server = backend.Backend(report_interval_ms=1000)
        server.update_from_report(REPORT, NOW_MS)
        for number in range(10_000):
            server.reserve_open(NOW_MS + 10 * number)
        assert len(server._open_times_ms) <= backend.COLD_WINDOW_MS // 10


class TestStalledBackend:
    """A backend server on an instance without CPU quota left."""

    def test_opening_is_kept_during_a_stall(self) -> None:
        """Guards against a second opening elsewhere after a 100 ms stall."""
        core = new_agent()
        offer(core, 1, NOW_MS, others=(OTHER_AGENT,))
        core.drain_actions()
        core.tick(NOW_MS + 100)
        assert core.drain_actions() == []
        assert core.flows.get(flow_of_port(1)) is not None


class TestRelearnedFlow:
    """A flow that an agent learns from a packet of its backend server."""

    def test_later_report_of_a_restart_keeps_it(self) -> None:
        """Guards against a reset of a flow of the server's newest start.

        The server has restarted and sent a packet before its first report.
        """
        core = new_agent()
        flow = flow_of_port(1)
        data = flow_ends.from_backend(flow, flow_ends.ACK, data=b"answer")
        core.on_backend_packet(packets.decode_from_backend(data), NOW_MS + 2000)
        core.drain_actions()
        core.on_report(
            REPORT._replace(backend_id="shop-2", born_ms=1500), NOW_MS + 2500
        )
        resets = [
            action
            for action in core.drain_actions()
            if isinstance(action, actions.ResetCaller)
        ]
        assert resets == []
        assert core.flows.get(flow) is not None


class TestRefusedCopy:
    """A copy of an opening packet that the known owner refuses."""

    def test_caller_is_reset(self) -> None:
        """Guards against a caller that waits 1.4 s for a lost flow.

        The agent has accepted the opening and lost the flow in a restart
        before the caller got the acceptance.
        """
        network = packet_network.Network(1)
        host = network.add_agent()
        core = network.add_balancer().core
        network.run(500)
        flow = flow_of_port(1)
        syn = flow_ends.from_caller(flow, flow_ends.SYN, sequence=1)
        core.on_packet(packets.decode_from_caller(syn), network.now_ms)
        core.on_message(
            messages.Opened(flow, host.address, 7, 1), network.now_ms
        )
        core.on_packet(packets.decode_from_caller(syn), network.now_ms + 200)
        core.drain_actions()
        core.on_message(
            messages.Refused(flow, host.address, "draining", 0),
            network.now_ms + 201,
        )
        assert actions.ResetCaller(flow, 0) in core.drain_actions()

    def test_refusal_of_another_agent_is_ignored(self) -> None:
        """Guards against a reset of a flow that its owner still has."""
        network = packet_network.Network(1)
        host = network.add_agent()
        core = network.add_balancer().core
        network.run(500)
        flow = flow_of_port(1)
        syn = flow_ends.from_caller(flow, flow_ends.SYN, sequence=1)
        core.on_packet(packets.decode_from_caller(syn), network.now_ms)
        core.on_message(
            messages.Opened(flow, host.address, 7, 1), network.now_ms
        )
        core.drain_actions()
        core.on_message(
            messages.Refused(flow, OTHER_AGENT, "draining", 0), network.now_ms
        )
        assert actions.ResetCaller(flow, 0) not in core.drain_actions()


class _HighNumbers(random.Random):
    """Chooses initial sequence numbers just below 2**32."""

    def getrandbits(self, k: int) -> int:
        """Returns the highest number of ``k`` bits, less 3."""
        return (1 << k) - 4


class TestSequenceNumbers:
    """Flows whose sequence numbers pass 2**32."""

    def test_exchange_continues(self) -> None:
        """Guards against stand-ins that stop at the highest number."""
        network = packet_network.Network(1)
        network.rng = _HighNumbers(1)
        network.add_agent()
        network.add_balancer()
        network.run(500)
        caller = network.open_flow()
        network.run(100)
        for _ in range(3):
            caller.request()
            network.run(500)
        assert caller.answers == 3
