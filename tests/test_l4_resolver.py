"""Joint searches for owners, and the outage of a large installation."""

import collections

import pytest

from sapphirelift.core.l4 import lookup
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import resolver
from sapphirelift.standins import packet_network

FLOWS = [packet.FlowKey(0x64400001, port, 0xC6120001, 443) for port in range(9)]
BALANCER = messages.Address("10.1.0.1", 7720)
OTHER = messages.Address("10.1.0.2", 7720)
AGENTS = [messages.Address(f"10.2.0.{n}", 7720) for n in range(1, 5)]
NOW_MS = 1_000_000


def answer(
    agent: messages.Address,
    *owned: packet.FlowKey,
    has_full_table: bool = True,
    number: int = 1,
) -> messages.AnswerMany:
    """Returns the answer of an agent, to the first round by default."""
    return messages.AnswerMany(agent, owned, has_full_table, (), number)


class TestRound:
    """One round of questions to all agents."""

    def begin(self, *, knows_all_agents: bool = True) -> resolver.Resolver:
        """Begins a round about two flows, one of them for two balancers."""
        found = resolver.Resolver(collections.Counter())
        found.add(FLOWS[0], BALANCER)
        found.add(FLOWS[0], OTHER)
        found.add(FLOWS[1], BALANCER)
        assert found.is_round_due(NOW_MS)
        steps = found.begin_round(
            AGENTS, NOW_MS, knows_all_agents=knows_all_agents
        )
        assert steps == [
            resolver.AskAgent(agent, (FLOWS[0], FLOWS[1]), 1)
            for agent in AGENTS
        ]
        return found

    def verdicts(
        self, steps: list[resolver.Step]
    ) -> set[tuple[str, packet.FlowKey, str]]:
        """Returns balancer, flow and verdict of all replies."""
        return {
            (step.balancer.ip, step.outcome.flow, step.outcome.verdict)
            for step in steps
            if isinstance(step, resolver.Reply)
        }

    # Guards against a flow that is reset because its owner's late answer to
    # the round before counts as a denial.
    def test_late_answer_is_not_one_of_the_next_round(self) -> None:
        """The owner has not been heard on the flows of the second round."""
        found = self.begin()
        now_ms = NOW_MS + resolver.ANSWER_MS + 1
        found.tick(now_ms)
        found.add(FLOWS[2], BALANCER)
        found.begin_round(AGENTS, now_ms, knows_all_agents=True)
        for agent in AGENTS[:-1]:
            assert not found.on_answer(answer(agent, number=2))
        assert not found.on_answer(answer(AGENTS[-1], number=1))
        assert self.verdicts(
            found.on_answer(answer(AGENTS[-1], FLOWS[2], number=2))
        ) == {(BALANCER.ip, FLOWS[2], messages.OWNS)}

    def test_owner_is_told_to_every_balancer_at_once(self) -> None:
        """Guards against callers that wait for the slowest agent."""
        found = self.begin()
        steps = found.on_answer(answer(AGENTS[2], FLOWS[0]))
        assert self.verdicts(steps) == {
            (BALANCER.ip, FLOWS[0], messages.OWNS),
            (OTHER.ip, FLOWS[0], messages.OWNS),
        }

    def test_denial_by_all_is_proof(self) -> None:
        """Guards against callers of lost flows that are never reset."""
        found = self.begin()
        for agent in AGENTS[:-1]:
            assert found.on_answer(answer(agent)) == []
        steps = found.on_answer(answer(AGENTS[-1]))
        assert self.verdicts(steps) == {
            (BALANCER.ip, FLOWS[0], messages.OWNS_NOT),
            (OTHER.ip, FLOWS[0], messages.OWNS_NOT),
            (BALANCER.ip, FLOWS[1], messages.OWNS_NOT),
        }
        assert not found.has_pending

    def test_silent_agent_leaves_it_open(self) -> None:
        """Guards against a reset of a flow whose owner is silent."""
        found = self.begin()
        for agent in AGENTS[:-1]:
            found.on_answer(answer(agent))
        assert found.tick(NOW_MS + resolver.ANSWER_MS) == []
        steps = found.tick(NOW_MS + resolver.ANSWER_MS + 1)
        assert {verdict for _, _, verdict in self.verdicts(steps)} == {
            messages.UNKNOWN
        }

    def test_incomplete_table_leaves_it_open(self) -> None:
        """Guards against a reset of a flow that a restarted agent has."""
        found = self.begin()
        for agent in AGENTS[:-1]:
            found.on_answer(answer(agent))
        steps = found.on_answer(answer(AGENTS[-1], has_full_table=False))
        assert {verdict for _, _, verdict in self.verdicts(steps)} == {
            messages.MAY_OWN
        }

    def test_unknown_agents_leave_it_open(self) -> None:
        """Guards against a reset by a resolver that has just started."""
        found = self.begin(knows_all_agents=False)
        steps: list[resolver.Step] = []
        for agent in AGENTS:
            steps = found.on_answer(answer(agent))
        assert {verdict for _, _, verdict in self.verdicts(steps)} == {
            messages.UNKNOWN
        }

    def test_flow_added_during_a_round_waits_for_the_next(self) -> None:
        """Guards against a denial given before the question was asked.

        An agent may accept the flow after it has answered the round.
        """
        found = self.begin()
        found.add(FLOWS[2], BALANCER)
        for agent in AGENTS:
            steps = found.on_answer(answer(agent))
        assert FLOWS[2] not in {flow for _, flow, _ in self.verdicts(steps)}
        assert not found.is_round_due(NOW_MS + 1)
        assert found.is_round_due(NOW_MS + resolver.ROUND_INTERVAL_MS)

    def test_questions_fit_in_a_datagram(self) -> None:
        """Guards against questions that are dropped for their length."""
        found = resolver.Resolver(collections.Counter())
        for port in range(1000):
            found.add(packet.FlowKey(2**32 - 1, port, 2**32 - 1, 443), BALANCER)
        asked = found.begin_round(AGENTS, NOW_MS, knows_all_agents=True)[0]
        assert isinstance(asked, resolver.AskAgent)
        data = messages.encode(messages.AskMany(BALANCER, asked.flows))
        assert len(data) <= 1400


class TestChoice:
    """The balancers that search for others."""

    def test_all_balancers_agree(self) -> None:
        """Guards against as many rounds as there are balancers."""
        balancers = [messages.Address(f"10.1.0.{n}", 1) for n in range(1, 60)]
        chosen = {resolver.choose(flow, balancers) for flow in FLOWS}
        assert len(chosen) <= len(balancers) / resolver.BALANCERS_PER_RESOLVER
        assert chosen == {
            resolver.choose(flow, balancers[::-1]) for flow in FLOWS
        }


class TestOutage:
    """Pattern: all servers lose power, then all callers send packets."""

    def outage(self) -> tuple[packet_network.Network, int]:
        """Returns the network after the outage and the number of flows."""
        net = packet_network.Network(1)
        for _ in range(60):
            net.add_agent()
        for _ in range(20):
            net.add_balancer()
        net.run(6000)
        flows = []
        for _ in range(120):
            flows.append(net.open_flow())
            net.run(10)
        net.run(1000)
        assert {flow.state for flow in flows} == {"open"}
        for host in net.agents.values():
            host.stop_agent()
        for ip in list(net.balancers):
            net.add_balancer(ip)
        for host in net.agents.values():
            host.start_backend()
            host.start_agent()
        net.run(3000)
        for flow in flows:
            flow.request()
            net.run(5)
        net.run(1000)
        assert {flow.state for flow in flows} == {"reset"}
        return net, len(flows)

    def test_lost_flows_are_reset_with_few_questions(self) -> None:
        """Guards against a flood of questions when a fleet comes back.

        Without a joint search, each lost flow takes a question to each agent.
        """
        net, flows = self.outage()
        counters: collections.Counter[str] = collections.Counter()
        for host in net.balancers.values():
            counters.update(host.core.counters)
        questions = counters["asks"] + counters["resolver_rounds"] * 60
        assert counters["resolver_flows"] == flows
        assert questions <= 2 * lookup.FIRST_WAVE_SIZE * flows

    def test_silent_resolver_is_replaced(self) -> None:
        """Guards against searches that end with the balancer they rely on."""
        net = packet_network.Network(1)
        for _ in range(60):
            net.add_agent()
        for _ in range(20):
            net.add_balancer()
        net.run(6000)
        addresses = [host.address for host in net.balancers.values()]
        lost = packet.FlowKey(
            packet_network.packets.ip_number("100.64.0.1"),
            1024,
            packet_network.ROUTE_IP,
            packet_network.ROUTE_PORT,
        )
        dead = resolver.choose(lost, addresses)
        net.balancers[dead.ip].is_up = False
        net.rotation.remove(dead.ip)
        caller = net.open_flow()
        assert caller.flow == lost
        net.run(200)
        owner = net.owner(lost)
        assert owner is not None
        owner.stop_agent()
        owner.start_backend()
        owner.start_agent()
        core = next(
            host.core
            for host in net.balancers.values()
            if lost in host.core._owners
        )
        core._owners.clear()
        net.run(200)
        caller.request()
        net.run(2500)
        assert caller.state == "reset"
        assert core.counters["resolvers_silent"] <= 1

    def test_only_the_silent_resolver_is_skipped(self) -> None:
        """Guards against resolvers blamed for the silence of another one.

        Several searches of a balancer wait for the same resolver.
        """
        net = packet_network.Network(1)
        for _ in range(60):
            net.add_agent()
        for _ in range(20):
            net.add_balancer()
        net.run(6000)
        addresses = [host.address for host in net.balancers.values()]
        dead = resolver.choose(FLOWS[0], addresses)
        net.balancers[dead.ip].is_up = False
        net.rotation = [ip for ip in net.rotation if ip != dead.ip][-1:]
        flows = [net.open_flow() for _ in range(5)]
        net.run(500)
        for host in net.agents.values():
            host.stop_agent()
            host.start_backend()
            host.start_agent()
        core = net.balancers[net.rotation[0]].core
        core._owners.clear()
        for flow in flows:
            flow.request()
        net.run(1500)
        assert core.counters["resolvers_silent"] > 0
        assert list(core._silent_resolvers) == [dead]

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_living_flows_survive(self, seed: int) -> None:
        """Guards against resets of flows that their owner still has.

        The balancers restart and ask about flows of all servers, while
        datagrams are lost.
        """
        net = packet_network.Network(seed, loss=0.02)
        for _ in range(60):
            net.add_agent(data_centre="a")
        for _ in range(20):
            net.add_balancer(data_centre="b")
        net.run(6000)
        flows = [net.open_flow() for _ in range(100)]
        net.run(2000)
        opened = [flow for flow in flows if flow.state == "open"]
        for ip in list(net.balancers):
            net.add_balancer(ip, data_centre="c")
        net.run(500)
        for flow in opened:
            flow.request()
        net.run(4000)
        assert net.resets == []
        assert [flow.answers for flow in opened] == [1] * len(opened)
