"""Addresses, ports and routes that change hands between two flows."""

import pytest

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import packet
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

FLOWS = 20
SEEDS = (1, 2, 3)


def network(seed: int) -> packet_network.Network:
    """Returns a network with three servers of one service and one of another.

    Only the first one is named by the route.
    """
    net = packet_network.Network(seed)
    for service in ("shop", "shop", "shop", "label"):
        net.add_agent(service=service)
    for _ in range(2):
        net.add_balancer()
    net.run(500)
    return net


def open_from(
    net: packet_network.Network, ports: range
) -> list[flow_ends.CallerFlow]:
    """Opens a flow from each port and sends a request on it."""
    flows = []
    for caller_port in ports:
        flows.append(net.open_flow(caller_port=caller_port))
        flows[-1].opens_with_request = True
        net.run(5)
    net.run(1500)
    return flows


def restart_balancers(net: packet_network.Network) -> None:
    """Restarts all balancers, which forget the owners of all flows."""
    for ip in list(net.balancers):
        net.add_balancer(ip)
    net.run(1000)


def request_and_close(
    net: packet_network.Network, flows: list[flow_ends.CallerFlow]
) -> None:
    """Sends a request on each open flow and closes it."""
    for flow in flows:
        flow.request()
        net.run(5)
    net.run(1000)
    for flow in flows:
        flow.close()
    net.run(100)


class TestReusedPort:
    """Callers that open another flow from a port."""

    PORTS = range(5000, 5000 + FLOWS)

    # Guards against a new flow that runs at the service of another instance,
    # which has taken over the address of a former flow's owner (review/1).
    @pytest.mark.parametrize("seed", SEEDS)
    def test_opening_does_not_follow_an_owner_found_by_a_search(
        self, seed: int
    ) -> None:
        """The route decides where a new flow goes."""
        net = network(seed)
        flows = open_from(net, self.PORTS)
        restart_balancers(net)
        request_and_close(net, flows)
        replaced = net.replace_agent(net.agents["10.2.0.1"], service="label")
        net.run(60_000)
        flows = open_from(net, self.PORTS)
        assert [flow.answers for flow in flows] == [1] * FLOWS
        assert not replaced.backend.requests

    # Guards against a route that goes on at its former service for the ports
    # that callers use again.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_opening_follows_the_route_in_force(self, seed: int) -> None:
        """A route that was given to another service is followed at once."""
        net = network(seed)
        flows = open_from(net, self.PORTS)
        restart_balancers(net)
        request_and_close(net, flows)
        net.set_configuration(
            packet_network.configuration(2, services=("label",))
        )
        flows = open_from(net, self.PORTS)
        assert [flow.answers for flow in flows] == [1] * FLOWS
        label = net.agents["10.2.0.4"].backend
        assert set(label.requests) == {flow.flow for flow in flows}

    # Guards against a new flow that the former flow's owner resets: it has
    # ended there, and packets reach a balancer that remembers it, or one that
    # searches.
    @pytest.mark.parametrize("balancer", ["10.1.0.1", "10.1.0.9"])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_port_used_again_at_once(self, seed: int, balancer: str) -> None:
        """Packets go to the owner of the flow that is open."""
        net = network(seed)
        net.rotation[:] = ["10.1.0.1"]
        flows = open_from(net, self.PORTS)
        request_and_close(net, flows)
        net.rotation[:] = ["10.1.0.2"]
        flows = open_from(net, self.PORTS)
        assert [flow.answers for flow in flows] == [1] * FLOWS
        net.add_balancer("10.1.0.9")
        net.run(500)
        net.rotation[:] = [balancer]
        for flow in flows:
            flow.request()
        net.run(2000)
        assert [flow.state for flow in flows] == ["open"] * FLOWS
        assert [flow.answers for flow in flows] == [2] * FLOWS
        assert not any(net.stray_packets(flow.flow) for flow in flows)

    # Guards against packets of a flow that go to a server which still holds a
    # former one, because its caller has vanished without closing it.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_former_flow_that_was_never_closed(self, seed: int) -> None:
        """Sequence numbers tell two flows of the same port apart."""
        net = network(seed)
        net.rotation[:] = ["10.1.0.1"]
        open_from(net, self.PORTS)
        net.rotation[:] = ["10.1.0.2"]
        flows = open_from(net, self.PORTS)
        for ip in ("10.1.0.1", "10.1.0.2"):
            net.rotation[:] = [ip]
            for flow in flows:
                flow.request()
            net.run(2000)
        assert [flow.state for flow in flows] == ["open"] * FLOWS
        assert [flow.answers for flow in flows] == [3] * FLOWS

    # Guards against a new flow that is taken for a copy of a former opening.
    def test_sequence_number_may_be_used_again(self) -> None:
        """Copies of an opening packet come soon after it, or not at all."""
        net = network(1)
        flow = open_from(net, range(5000, 5001))[0]
        opening = flow_ends.from_caller(
            flow.flow, flow_ends.SYN, sequence=77, acknowledged=0
        )
        for version, service in ((2, "shop"), (3, "label")):
            net.set_configuration(
                packet_network.configuration(version, services=(service,))
            )
            net.inject(opening)
            net.run(packet.OPEN_LIFETIME_MS + 100)
            owners = [
                host.service
                for host in net.agents.values()
                if (found := host.agent.flows.get(flow.flow))
                and found.caller_sequence == 77
            ]
            assert service in owners


class TestClockSetBack:
    """Starts whose wall clock is behind that of the start before."""

    # Guards against an agent that balancers ignore for a minute.
    @pytest.mark.parametrize("is_replaced", [False, True])
    def test_agent_is_known_again(self, is_replaced: bool) -> None:
        """The order of two starts counts while messages are under way."""
        net = packet_network.Network(1)
        host = net.add_agent()
        net.add_balancer()
        net.run(1000)
        if is_replaced:
            host.agent.on_end(f"{host.name}-1", net.now_ms)
            host.agent.leave(net.now_ms)
            net.perform(host)
        else:
            host.stop_agent()
        net.run(500)
        net._incarnation -= 1000
        if is_replaced:
            net.replace_agent(host, service="shop")
        else:
            host.start_agent()
        net.run(agents.OVERTAKEN_MS + 1000)
        flow = net.open_flow()
        net.run(500)
        assert flow.state == "open"

    # Guards against late messages of a former start that count as news.
    def test_late_heartbeat_is_ignored(self) -> None:
        """A newer start that is heard stays in force."""
        net = packet_network.Network(1)
        host = net.add_agent()
        core = net.add_balancer().core
        net.run(1000)
        late = host.agent.heartbeat(net.now_ms)
        host.stop_agent()
        host.start_agent()
        net.run(agents.OVERTAKEN_MS // 2)
        core.on_message(late, net.now_ms)
        (known,) = core.agents
        assert known.heartbeat.incarnation > late.incarnation

    # Guards against a living server that one report or notice of leaving with
    # its name shuts out for good.
    @pytest.mark.parametrize("change", ["number", "born_ms", "end"])
    def test_living_server_outlives_a_wrong_report(self, change: str) -> None:
        """Its own reports go on, and the wrong one stays alone."""
        net = packet_network.Network(1)
        host = net.add_agent()
        net.add_balancer()
        net.run(1000)
        newest = host.agent.backend.report
        assert newest is not None
        if change == "end":
            host.agent.on_end(newest.backend_id, net.now_ms)
        else:
            wrong = newest._replace(**{change: 1 << 50})
            host.agent.on_report(wrong, net.now_ms)
        net.run(6 * packet_network.REPORT_INTERVAL_MS)
        flow = net.open_flow()
        net.run(500)
        assert flow.state == "open"

    # Guards against a backend server that gets no flows after its start.
    def test_backend_server_is_known_again(self) -> None:
        """Its own reports end the silence of the former start."""
        net = packet_network.Network(1)
        host = net.add_agent()
        net.add_balancer()
        net.run(1000)
        former = host.agent.backend.report
        host.start_backend()
        host.born_ms -= 60_000
        net.run(6 * packet_network.REPORT_INTERVAL_MS)
        flow = net.open_flow()
        net.run(500)
        assert flow.state == "open"
        # A report of the former start that arrives late describes nobody.
        assert former is not None
        assert not host.agent.backend.update_from_report(
            former._replace(born_ms=host.born_ms - 1, number=99), net.now_ms
        )
