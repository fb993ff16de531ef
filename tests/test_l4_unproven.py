"""Flows that nobody owns while an agent that may own them is silent.

The load: after a loss of power the callers of all lost flows send packets and
retransmissions at once, while one listed instance has been removed for good.
"""

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import unproven
from sapphirelift.standins import packet_network

NOW_MS = 1_000_000
FLOW = packet.FlowKey(0x64400001, 4000, 0xC6120001, 443)
SILENT = messages.Address("10.2.0.1", 7720)
OTHER = messages.Address("10.2.0.2", 7720)


def _packet(sequence: int = 1) -> packet.Packet:
    return packet.Packet(
        FLOW, False, True, False, False, False, sequence, 1, 7, b"request"
    )


class TestTable:
    """The table of unproven flows."""

    def test_retransmissions_begin_no_search(self) -> None:
        """Guards against a search for each of a caller's retransmissions."""
        flows = unproven.UnprovenFlows()
        flows.add(_packet(), frozenset({SILENT}), NOW_MS)
        assert flows.holds(_packet(2), NOW_MS + 200)
        assert flows.holds(_packet(3), NOW_MS + 600)
        assert not flows.holds(_packet(4), NOW_MS + unproven.SEARCH_AGAIN_MS)

    def test_due_once_the_silent_agent_is_lost(self) -> None:
        """The newest packet is the one searched for."""
        flows = unproven.UnprovenFlows()
        flows.add(_packet(), frozenset({SILENT}), NOW_MS)
        flows.holds(_packet(2), NOW_MS + 200)
        silent = frozenset({SILENT})
        nobody: frozenset[messages.Address] = frozenset()
        assert flows.take_due(silent, nobody, NOW_MS + 400) == []
        assert flows.take_due(nobody, nobody, NOW_MS + 600) == [_packet(2)]
        assert len(flows) == 0

    def test_due_once_a_silent_agent_answers(self) -> None:
        """It may own the flow, whatever the others do."""
        flows = unproven.UnprovenFlows()
        both = frozenset({SILENT, OTHER})
        flows.add(_packet(), both, NOW_MS)
        answering = frozenset({OTHER})
        due = flows.take_due(frozenset({SILENT}), answering, NOW_MS + 400)
        assert due == [_packet()]

    def test_is_bounded(self) -> None:
        """Guards against memory that grows with the lost flows."""
        flows = unproven.UnprovenFlows()
        for port in range(unproven.MAX_FLOWS + 10):
            flow = FLOW._replace(caller_port=port)
            received = _packet()._replace(flow=flow)
            flows.add(received, frozenset({SILENT}), NOW_MS)
        assert len(flows) == unproven.MAX_FLOWS


class TestReturnOfPower:
    """All daemons start anew, and one agent never comes back."""

    def _restarted(self) -> packet_network.Network:
        """Returns a site after the return of power, with 20 lost flows."""
        net = packet_network.Network(seed=1)
        net.add_balancer()
        hosts = [net.add_agent() for _ in range(6)]
        net.run(1000)
        flows = [net.open_flow() for _ in range(20)]
        net.run(500)
        assert all(flow.state == "open" for flow in flows)
        for host in hosts:
            host.stop_agent()
            host.start_backend()
        for host in hosts[1:]:
            host.start_agent()
        hosts[0].backend.is_alive = False
        net.add_balancer(net.rotation[0])
        net.run(300)
        for flow in flows:
            flow.request()
        return net

    # Guards against callers that wait out their deadline, and for a contact
    # bound of 5 s and more, because the directory lists a removed instance.
    def test_callers_are_reset_once_the_agent_counts_as_lost(self) -> None:
        """Also those that send nothing more meanwhile."""
        net = self._restarted()
        net.run(agents.LOST_AFTER_MS + 800)
        assert {flow.state for flow in net.callers.values()} == {"reset"}

    # Guards against a balancer that is busy with searches for lost flows while
    # callers open new ones.
    def test_searches_do_not_grow_with_retransmissions(self) -> None:
        """A flow is searched for once a second at the most."""
        net = self._restarted()
        net.run(2000)
        counters = net.balancers[net.rotation[0]].core.counters
        assert counters["searches_spared"] > 0
        assert counters["lookups"] <= 3 * len(net.callers)

    # Guards against resets of flows whose agent is only late.
    def test_agent_that_is_late_keeps_its_flows(self) -> None:
        """Its server has lived through it all."""
        net = packet_network.Network(seed=2)
        net.add_balancer()
        hosts = [net.add_agent() for _ in range(6)]
        net.run(1000)
        flows = [net.open_flow() for _ in range(20)]
        net.run(500)
        for host in hosts:
            host.stop_agent()
        for host in hosts[1:]:
            host.start_agent()
        net.add_balancer(net.rotation[0])
        net.run(300)
        for flow in flows:
            flow.request()
        net.run(1200)
        hosts[0].start_agent()
        net.run(4000)
        assert net.resets == []
        assert {flow.state for flow in flows} == {"open"}


class TestQuestions:
    """Questions about flows that an agent leaves unanswered."""

    # Guards against an agent that has died right after its start, and that is
    # asked about each lost flow for the 16 s in which its rare heartbeats are
    # not missed.
    def test_unanswered_question_makes_an_agent_late(self) -> None:
        """It is then asked for a heartbeat, and counts as lost without one."""
        net = packet_network.Network(seed=4)
        balancer = net.add_balancer().core
        host = net.add_agent()
        net.run(1000)
        agent = balancer.agents.get(host.address)
        assert agent is not None
        agent.interval_ms = 5000
        agent.on_questioned(net.now_ms)
        assert not agent.is_late(net.now_ms + agents.LATE_MS)
        assert agent.is_late(net.now_ms + agents.LATE_MS + 1)
        agent.on_heard(net.now_ms)
        assert not agent.is_late(net.now_ms + agents.LATE_MS + 1)
