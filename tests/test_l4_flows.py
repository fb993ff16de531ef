"""Flows through simulated balancers and agents, with seeded faults."""

import random

import pytest

from sapphirelift.core.l4 import agents
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

SEEDS = (1, 2, 3, 4, 5)


def network(
    seed: int = 1,
    *,
    balancers: int = 3,
    agents: int = 4,
    loss: float = 0.0,
) -> packet_network.Network:
    """Returns a simulated network whose daemons know each other."""
    net = packet_network.Network(seed, loss=loss)
    for _ in range(agents):
        net.add_agent()
    for _ in range(balancers):
        net.add_balancer()
    net.run(500)
    return net


def open_flows(
    net: packet_network.Network, count: int
) -> list[flow_ends.CallerFlow]:
    """Opens flows a few milliseconds apart and waits until they are open."""
    flows = []
    for _ in range(count):
        flows.append(net.open_flow())
        net.run(5)
    net.run(1500)
    assert [f.state for f in flows] == ["open"] * count
    return flows


def exchange(
    net: packet_network.Network,
    flows: list[flow_ends.CallerFlow],
    *,
    wait_ms: int = 1500,
) -> None:
    """Sends a request on each flow and waits for the answers."""
    for flow in flows:
        flow.request()
        net.run(2)
    net.run(wait_ms)


class TestPath:
    """Requests on a network without faults."""

    def test_requests_are_answered(self) -> None:
        """Guards against packet loss without a fault."""
        net = network()
        flows = open_flows(net, 20)
        exchange(net, flows)
        assert [f.answers for f in flows] == [1] * 20
        assert net.resets == []
        assert all(net.stray_packets(f.flow) == 0 for f in flows)

    def test_flows_are_spread_evenly(self) -> None:
        """Guards against an uneven spread of flows over backend servers."""
        net = network()
        open_flows(net, 40)
        counts = [len(h.backend.opened) for h in net.agents.values()]
        assert max(counts) - min(counts) <= 4

    def test_unknown_route_is_refused_at_once(self) -> None:
        """Guards against callers waiting for a route that does not exist."""
        net = network()
        caller = net.open_flow(port=9)
        net.run(20)
        assert caller.state == "reset"


class TestOwner:
    """Flows whose packets arrive at another balancer."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_moved_packets_reach_the_owner(self, seed: int) -> None:
        """Guards against flows broken by starts and stops of balancers."""
        net = network(seed, loss=0.02)
        flows = open_flows(net, 30)
        rng = random.Random(seed)
        for step in range(8):
            removed = rng.choice(list(net.rotation))
            net.rotation.remove(removed)
            net.balancers.pop(removed)
            net.add_balancer(f"10.1.1.{step}")
            net.rotation.sort(key=lambda _: rng.random())
            net.run(200)
            exchange(net, flows, wait_ms=3000)
        assert [f.answers for f in flows] == [8] * 30
        assert net.resets == []
        assert all(net.stray_packets(f.flow) == 0 for f in flows)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_agent_restart_loses_no_flow(self, seed: int) -> None:
        """Guards against flows lost together with an agent's flow table.

        The balancers restart as well, so that neither side knows the owner. A
        packet may be probed at another backend server, which returns it.
        """
        net = network(seed)
        flows = open_flows(net, 20)
        for host in net.agents.values():
            host.stop_agent()
        net.run(300)
        for host in net.agents.values():
            host.start_agent()
        for ip in list(net.balancers):
            net.add_balancer(ip)
        net.run(1200)
        exchange(net, flows, wait_ms=3000)
        assert [f.answers for f in flows] == [1] * 20
        assert net.resets == []

    # Guards against resets of the flows of a server that started shortly before
    # its agent was killed and started again.
    def test_agent_restart_soon_after_its_server_loses_no_flow(self) -> None:
        """The agent cannot have all flows of a server that is older."""
        net = network()
        for host in net.agents.values():
            host.start_backend()
        flows = [net.open_flow() for _ in range(8)]
        net.run(1000)
        assert [flow.state for flow in flows] == ["open"] * len(flows)
        for host in net.agents.values():
            host.stop_agent()
        for host in net.agents.values():
            host.start_agent()
        for balancer in list(net.balancers):
            net.add_balancer(balancer)
        exchange(net, flows)
        assert net.resets == []
        assert [flow.answers for flow in flows] == [1] * len(flows)

    def test_flow_of_a_service_removed_from_the_route(self) -> None:
        """Guards against resets of flows opened under an earlier traffic split.

        A balancer that starts after the configuration has changed must also
        ask the agents of services that are no longer part of the route.
        """
        net = packet_network.Network(1)
        net.set_configuration(
            packet_network.configuration(services=("shop", "packing"))
        )
        for service in ("shop", "shop", "packing", "packing"):
            net.add_agent(service=service)
        net.add_balancer()
        net.run(500)
        flows = open_flows(net, 20)
        net.set_configuration(packet_network.configuration(2))
        net.rotation.clear()
        net.add_balancer("10.1.0.9")
        net.run(500)
        exchange(net, flows)
        assert net.resets == []
        assert [f.answers for f in flows] == [1] * 20

    def test_flow_without_owner_is_reset(self) -> None:
        """Guards against callers waiting on flows of a restarted server."""
        net = network(agents=2)
        flows = open_flows(net, 10)
        for host in net.agents.values():
            host.start_backend()
            host.report()
        net.run(100)
        exchange(net, flows, wait_ms=100)
        assert [f.state for f in flows] == ["reset"] * 10

    def test_flows_of_an_unreachable_agent_are_not_reset(self) -> None:
        """Guards against resets by a balancer that cannot reach all agents."""
        net = network(agents=3)
        flows = open_flows(net, 15)
        cut = next(iter(net.agents.values()))
        cut.is_cut = True
        for ip in list(net.balancers):
            net.add_balancer(ip)
        net.run(500)
        exchange(net, flows)
        assert net.resets == []
        cut.is_cut = False
        net.run(3000)
        assert [f.answers for f in flows] == [1] * 15


class TestLostInstances:
    """Flows of instances that have been lost or stopped."""

    def restart_all_except(
        self, net: packet_network.Network, host: packet_network.AgentHost
    ) -> None:
        """Restarts all daemons and backend servers except one instance."""
        host.stop_agent()
        host.backend.is_alive = False
        for other in net.agents.values():
            if other is not host:
                other.start_backend()
                other.start_agent()
        for ip in list(net.balancers):
            net.add_balancer(ip)

    def test_flows_of_a_lost_instance_end(self) -> None:
        """Guards against callers waiting for a lost instance.

        The balancers have the owner in their caches.
        """
        net = network(agents=3)
        flows = open_flows(net, 9)
        lost = next(iter(net.agents.values()))
        lost.stop_agent()
        lost.backend.is_alive = False
        net.run(agents.LOST_AFTER_MS + 500)
        affected = [f for f in flows if f.flow in lost.backend.opened]
        exchange(net, affected, wait_ms=50)
        assert {f.state for f in affected} == {"reset"}
        assert {f.flow for f in affected} == set(net.resets)

    def test_flows_of_a_stopping_agent_are_kept(self) -> None:
        """Guards against resets during the planned restart of an agent."""
        net = network(agents=3)
        flows = open_flows(net, 9)
        host = next(iter(net.agents.values()))
        host.agent.leave(net.now_ms)
        net.perform(host)
        net.run(10)
        host.stop_agent()
        net.run(agents.LOST_AFTER_MS + 500)
        exchange(net, flows, wait_ms=100)
        assert net.resets == []
        host.start_agent()
        net.run(1500)
        assert [f.answers for f in flows] == [1] * 9

    def test_flows_of_a_lost_instance_without_heartbeats_end(self) -> None:
        """Guards against callers waiting for a lost instance.

        The balancers know its address, but have had no heartbeat from it.
        """
        net = network(agents=3)
        flows = open_flows(net, 6)
        lost = next(iter(net.agents.values()))
        self.restart_all_except(net, lost)
        net.run(500)
        exchange(net, flows, wait_ms=150)
        assert {f.state for f in flows} == {"open"}
        net.run(4500)
        assert {f.state for f in flows} == {"reset"}

    def test_agent_that_ends_without_a_backend_server_owns_nothing(
        self,
    ) -> None:
        """Guards against a minute during which no flow is reset.

        After a power loss, an instance that is about to be removed starts
        once more without its backend server and then disappears.
        """
        net = network(agents=3)
        flows = open_flows(net, 6)
        lost = next(iter(net.agents.values()))
        self.restart_all_except(net, lost)
        lost.start_agent()
        net.run(1000)
        lost.stop_agent()
        net.run(agents.SUSPECT_AFTER_MS + 400)
        exchange(net, flows, wait_ms=50)
        assert {f.state for f in flows} == {"reset"}

    def test_departed_agent_is_not_added_again(self) -> None:
        """Guards against adding a departed agent again when peers list it."""
        net = network(agents=3)
        flows = open_flows(net, 6)
        lost = next(iter(net.agents.values()))
        for host in net.agents.values():
            host.start_backend()
            host.report()
        lost.agent.on_end(f"{lost.name}-2", net.now_ms)
        lost.agent.leave(net.now_ms)
        net.perform(lost)
        net.run(10)
        lost.stop_agent()
        for host in net.balancers.values():
            host.core.add_agent(lost.address, net.now_ms)
        net.run(50)
        exchange(net, flows, wait_ms=50)
        assert {f.state for f in flows} == {"reset"}


class TestRestartedServer:
    """Flows of a restarted backend server."""

    def test_idle_flows_are_reset(self) -> None:
        """Guards against requests sent on flows that are known to be lost.

        A request that is not idempotent could not be repeated.
        """
        net = network(agents=2)
        flows = open_flows(net, 10)
        host = next(iter(net.agents.values()))
        affected = [f for f in flows if f.flow in host.backend.opened]
        net.run(1000)
        host.start_backend()
        host.report()
        net.run(50)
        assert {f.state for f in affected} == {"reset"}
        assert set(net.resets) == {f.flow for f in affected}

    def test_flows_of_the_new_start_are_kept(self) -> None:
        """Guards against resets of flows accepted before the first report."""
        net = network(agents=1)
        host = next(iter(net.agents.values()))
        net.run(700)
        host.is_reporting = False
        host.start_backend()
        flows = open_flows(net, 5)
        host.is_reporting = True
        host.report()
        exchange(net, flows)
        assert [f.answers for f in flows] == [1] * 5
        assert net.resets == []


class TestOpening:
    """Openings that the first candidate does not accept."""

    def test_dead_agent_is_skipped_before_retransmission(self) -> None:
        """Guards against openings that wait for a retransmission."""
        net = network(agents=2)
        dead = next(iter(net.agents.values()))
        dead.stop_agent()
        flows = [net.open_flow() for _ in range(4)]
        net.run(180)
        assert [f.state for f in flows] == ["open"] * 4

    def test_bounced_opening_goes_to_the_next_agent(self) -> None:
        """Guards against openings lost when a backend server returns them."""
        net = network(agents=3)
        hosts = list(net.agents.values())
        hosts[0].backend.accepts = hosts[1].backend.accepts = False
        flows = open_flows(net, 6)
        assert all(net.owner(f.flow) is hosts[2] for f in flows)

    def test_opening_is_refused_if_no_server_is_ready(self) -> None:
        """Guards against callers kept waiting while all servers drain."""
        net = network(agents=2)
        net.run(4000)
        for host in net.agents.values():
            host.is_draining = True
            host.report()
        net.run(50)
        caller = net.open_flow()
        net.run(20)
        assert caller.state == "reset"

    @pytest.mark.parametrize("seed", SEEDS)
    def test_retransmitted_opening_opens_one_flow(self, seed: int) -> None:
        """Guards against a caller and a balancer that disagree on the owner."""
        net = network(seed, loss=0.25)
        flows = [net.open_flow() for _ in range(20)]
        net.run(2000)
        net.loss = 0.0
        opened = [f for f in flows if f.state == "open"]
        assert len(opened) >= 15
        exchange(net, opened, wait_ms=4000)
        assert [f.answers for f in opened] == [1] * len(opened)
        assert net.resets == []


class TestRestrictedServers:
    """Backend servers that should get few or no new flows."""

    def test_draining_server_gets_no_new_flows(self) -> None:
        """Guards against new flows for a server that is about to leave."""
        net = network(agents=3)
        leaving = next(iter(net.agents.values()))
        flows = open_flows(net, 9)
        leaving.is_draining = True
        leaving.report()
        before = len(leaving.backend.opened)
        open_flows(net, 12)
        assert len(leaving.backend.opened) == before
        exchange(net, flows)
        assert [f.answers for f in flows] == [1] * 9

    def test_evacuated_data_centre_gets_no_new_flows(self) -> None:
        """Guards against new flows in an evacuated data centre."""
        net = packet_network.Network(1)
        hosts = [net.add_agent(data_centre=d) for d in ("a", "a", "b", "b")]
        net.add_balancer()
        net.run(500)
        net.evacuate("b")
        open_flows(net, 12)
        assert [len(h.backend.opened) for h in hosts[2:]] == [0, 0]
        net.evacuate()
        net.run(500)
        open_flows(net, 12)
        assert all(h.backend.opened for h in hosts)

    def test_cold_server_is_rate_limited(self) -> None:
        """Guards against more new flows than a cold server can handle.

        All servers are cold, so that openings are held.
        """
        net = packet_network.Network(1)
        net.set_configuration(
            packet_network.configuration(cold_opens_per_s=4.0)
        )
        hosts = [net.add_agent(cold_ms=10_000) for _ in range(2)]
        net.add_balancer()
        net.run(500)
        opened: list[list[int]] = []
        for _ in range(30):
            net.open_flow()
            net.run(50)
            opened.append([len(h.backend.opened) for h in hosts])
        per_s = [
            opened[i + 20][h] - opened[i][h]
            for i in range(len(opened) - 20)
            for h in range(2)
        ]
        assert max(per_s) <= 4.0 * 1.5 + 5
        assert sum(opened[-1]) >= 8

    def test_cold_server_without_a_rate_is_used_last(self) -> None:
        """Guards against a newly started, idle server getting all new flows."""
        net = network(agents=2)
        open_flows(net, 30)
        cold = net.add_agent(cold_ms=10_000)
        net.run(500)
        open_flows(net, 20)
        assert len(cold.backend.opened) <= 10

    def test_callers_that_return_at_once_are_spread(self) -> None:
        """Guards against a reconnect storm that hits a single cold server.

        All servers have just started, and all callers reconnect within a
        second through several balancers.
        """
        net = packet_network.Network(1)
        hosts = [net.add_agent(cold_ms=2000) for _ in range(3)]
        for _ in range(6):
            net.add_balancer()
        net.run(500)
        flows = []
        for _ in range(150):
            flows.append(net.open_flow())
            net.run(4)
        net.run(500)
        assert {f.state for f in flows} == {"open"}
        counts = [len(h.backend.opened) for h in hosts]
        assert max(counts) <= 1.25 * min(counts)

    def test_silent_server_gets_no_new_flows(self) -> None:
        """Guards against new flows for a server that no longer reports."""
        net = network(agents=2)
        silent = next(iter(net.agents.values()))
        silent.is_reporting = False
        net.run(5000)
        assert silent.agent.state(net.now_ms) == agents.CLOSED
        open_flows(net, 6)
        assert silent.backend.opened == set()


class TestReconnectStorm:
    """Guards against overload when all callers reconnect within 100 ms.

    The simulation starts 150 callers of a service at once, and 60 new ones
    arrive per second. Three servers with two slots and 35 ms per request can
    serve 170 requests per second.
    """

    def run_storm(self, seed: int = 1) -> packet_network.Network:
        """Simulates the storm and counts the callers that get an answer."""
        net = packet_network.Network(seed, has_slots=True)
        for _ in range(3):
            net.add_agent(work_ms=35, slots=2)
        for _ in range(4):
            net.add_balancer()
        net.run(500)
        self.answers = 0
        for _ in range(150):
            self.open_with_retries(net, tries=3)
        self.in_time = 0
        for _ in range(60):
            caller = self.open_with_retries(net, tries=3)
            net.call_later(120, lambda c=caller: self.record_answer(c))
            net.run(16)
        net.run(3000)
        return net

    def open_with_retries(
        self, net: packet_network.Network, *, tries: int
    ) -> flow_ends.CallerFlow:
        """Opens a flow and, as callers do, another one right after a reset."""
        caller = net.open_flow()
        caller.opens_with_request = True

        def check() -> None:
            if caller.answers:
                self.answers += 1
            elif caller.state == "reset" and tries > 1:
                self.open_with_retries(net, tries=tries - 1)
            elif caller.state in ("opening", "open"):
                net.call_later(10, check)

        net.call_later(10, check)
        return caller

    def record_answer(self, caller: flow_ends.CallerFlow) -> None:
        """Counts a caller that has got its answer within the objective."""
        self.in_time += caller.answers

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_is_shed_and_all_are_served(self, seed: int) -> None:
        """Guards against requests sent to servers that have to shed them."""
        net = self.run_storm(seed)
        assert sum(h.backend.sheds for h in net.agents.values()) == 0
        assert self.answers == 210

    def test_held_opening_is_refused_while_its_caller_can_try_again(
        self,
    ) -> None:
        """Guards against openings held by one agent after another."""
        net = packet_network.Network(1, has_slots=True)
        for _ in range(2):
            net.add_agent(work_ms=2000, slots=1)
        net.add_balancer()
        net.run(500)
        for _ in range(4):
            net.open_flow().opens_with_request = True
            net.run(20)
        caller = net.open_flow()
        net.run(550)
        assert caller.state == "opening"
        net.run(150)
        assert caller.state == "reset"

    def test_lost_openings_do_not_reduce_capacity(self) -> None:
        """Guards against a server that gets no flows after a stall.

        Its instance drops all packets for a while, as after a power loss, and
        the callers give up.
        """
        net = packet_network.Network(1, has_slots=True)
        host = net.add_agent(slots=2)
        net.add_balancer()
        net.run(500)
        host.backend.is_alive = False
        for _ in range(10):
            net.open_flow().opens_with_request = True
        net.run(2100)
        host.backend.is_alive = True
        host.report()
        net.run(700)
        late = net.open_flow()
        late.opens_with_request = True
        net.run(100)
        assert late.answers == 1
        net.run(2000)
        assert len(host.agent.flows) <= 11
        assert not host.agent.has_pending

    def test_abandoned_requests_do_not_reduce_capacity(self) -> None:
        """Guards against capacity taken up by requests of callers that left."""
        net = packet_network.Network(1, has_slots=True)
        host = net.add_agent(work_ms=60_000, slots=1)
        net.add_balancer()
        net.run(500)
        flows = open_flows(net, 3)
        for flow in flows:
            flow.request()
        net.run(50)
        assert host.agent.dump(net.now_ms)["busy"] == 3
        host.backend.is_alive = False
        for flow in flows:
            flow.close()
        net.run(50)
        assert host.agent.dump(net.now_ms)["busy"] == 0

    def test_fresh_callers_are_served_in_time(self) -> None:
        """Guards against a backlog that delays all callers."""
        self.run_storm()
        assert self.in_time >= 45


class TestSingleSlotServers:
    """Many single-slot servers at half of their capacity.

    12 servers with one slot and 22 ms per request get 240 openings per second,
    each followed by a request, through four balancers with slightly outdated
    loads.
    """

    def test_openings_find_a_free_server(self) -> None:
        """Guards against callers that wait while other servers are idle."""
        net = packet_network.Network(1, has_slots=True)
        for _ in range(12):
            net.add_agent(work_ms=22, slots=1)
        for _ in range(4):
            net.add_balancer()
        net.run(500)
        in_time: list[int] = []

        def record_answer(caller: flow_ends.CallerFlow) -> None:
            in_time.append(caller.answers)
            caller.close()

        for _ in range(480):
            caller = net.open_flow()
            caller.opens_with_request = True
            net.call_later(110, lambda c=caller: record_answer(c))
            net.run(net.rng.choice((1, 2, 4, 9)))
        net.run(1000)
        held = sum(h.agent.counters["opens_held"] for h in net.agents.values())
        assert sum(in_time) >= 0.98 * len(in_time)
        assert held <= 0.05 * len(in_time)

    def test_many_balancers_do_not_choose_the_same_few(self) -> None:
        """Guards against balancers that all act on the same outdated loads.

        38 servers and 17 balancers start, and 500 callers connect within a
        second.
        """
        net = packet_network.Network(1, has_slots=True)
        for _ in range(38):
            net.add_agent(work_ms=22, slots=1)
        for _ in range(17):
            net.add_balancer()
        net.run(500)
        for _ in range(500):
            net.open_flow().opens_with_request = True
            net.run(2)
        net.run(1000)
        passed_on = sum(
            h.agent.counters["opens_passed_on_busy"]
            for h in net.agents.values()
        )
        assert passed_on <= 500


class TestLossyLinks:
    """Links that lose one in six datagrams for a minute."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_live_agents_do_not_count_as_lost(self, seed: int) -> None:
        """Guards against resets of flows whose agent is alive.

        An agent that gets no acknowledgements sends fewer heartbeats. If one
        of those is lost too, a balancer could take the agent for lost.
        """
        net = network(seed, loss=1 / 6)
        for _ in range(600):
            net.run(100)
            for host in net.balancers.values():
                for agent in host.core.agents:
                    assert agent.may_own(net.now_ms, contact_ms=4000)
