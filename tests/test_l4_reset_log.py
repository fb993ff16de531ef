"""The log line of each reset that a daemon sends on an open flow."""

import pytest

from sapphirelift.core.l4 import actions
from sapphirelift.standins import packet_network


def network_with_flow() -> tuple[
    packet_network.Network, packet_network.AgentHost
]:
    """Returns a network with one open flow, and the flow's host."""
    net = packet_network.Network(1)
    for _ in range(2):
        net.add_agent()
        net.add_balancer()
    net.run(1500)
    flow = net.open_flow()
    net.run(1100)
    host = net.owner(flow.flow)
    assert host is not None
    return net, host


def lines(net: packet_network.Network) -> list[actions.Log]:
    """Sends a request on all flows; returns the lines of resets."""
    for flow in net.callers.values():
        flow.request()
    net.run(500)
    return net.logged("flow_reset")


class TestResetLine:
    """Guards against resets that no line of the log explains."""

    def check(
        self, line: actions.Log, host: packet_network.AgentHost, source: str
    ) -> None:
        """Checks the flow, its believed owner, and the belief."""
        assert str(line.fields["flow"]).startswith("100.64.0.1:")
        assert line.fields["owner"] == host.name
        assert int(line.fields["belief_age_ms"]) >= 1000
        assert line.fields["belief_source"] == source

    def test_flow_that_no_agent_owns(self) -> None:
        """The balancer names the agent that owned it until then."""
        net, host = network_with_flow()
        for agent in net.agents.values():
            agent.agent.flows.clear()
        (line,) = lines(net)
        assert line.fields["reason"] == "no_owner"
        self.check(line, host, "opened")

    def test_flow_of_a_removed_route(self) -> None:
        """The balancer names the revision that lacks the route."""
        net, host = network_with_flow()
        net.set_configuration(packet_network.without_routes(2))
        (line,) = lines(net)
        assert line.fields["reason"] == "route_removed"
        assert line.fields["configuration_revision"] == 2
        self.check(line, host, "opened")

    @pytest.mark.parametrize("is_reported", [False, True])
    def test_flow_lost_in_a_restart(self, is_reported: bool) -> None:
        """The agent names the server that denies the flow."""
        net, host = network_with_flow()
        host.start_backend()
        if is_reported:
            net.run(packet_network.REPORT_INTERVAL_MS)
        (line,) = lines(net)
        self.check(line, host, "opened")
        assert line.fields["backend"] == f"{host.name}-{1 + is_reported}"
