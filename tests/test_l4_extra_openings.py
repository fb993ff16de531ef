"""Second offers of openings, in memory: limit, and what two agents do."""

import dataclasses

import pytest

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

PERCENT = 5.0
REPEATABLE = terms.Terms(is_repeatable=True)


def configuration(
    revision: int = 1,
    *,
    flow_terms: terms.Terms = REPEATABLE,
    regions: frozenset[str] = frozenset(),
    cold_opens_per_s: float = 0.0,
) -> routes.Configuration:
    """Returns a configuration with one route of the given terms."""
    plain = packet_network.configuration(
        revision, cold_opens_per_s=cold_opens_per_s
    )
    changed = {
        key: dataclasses.replace(route, terms=flow_terms, regions=regions)
        for key, route in plain.routes.items()
    }
    return dataclasses.replace(plain, routes=changed)


class World:
    """Agents with one service, and balancers that may offer it twice."""

    def __init__(
        self,
        *,
        hosts: int = 4,
        slots: int = 8,
        balancers: int = 1,
        percent: float = PERCENT,
        openings: int = 100,
        flow_terms: terms.Terms = REPEATABLE,
        data_centres: str = "a",
    ) -> None:
        load = load_settings.LoadSettings(extra_openings_percent=percent)
        self.net = packet_network.Network(1, load=load)
        self.net.configuration = configuration(flow_terms=flow_terms)
        for number in range(hosts):
            data_centre = data_centres[number % len(data_centres)]
            self.net.add_agent(slots=slots, data_centre=data_centre)
        for _ in range(balancers):
            self.net.add_balancer()
        self.net.run(1500)
        self.open_many(openings)

    @property
    def core(self) -> balancer_module.Balancer:
        """Decision logic of the first balancer."""
        return next(iter(self.net.balancers.values())).core

    def open_many(self, count: int) -> None:
        """Opens flows one after the other, so that extra offers are earned."""
        for _ in range(count):
            flow = self.net.open_flow()
            self.net.run(20)
            flow.close()

    def count(self, name: str) -> int:
        """Returns a count over all balancers that are in the network."""
        return sum(
            host.core.counters[f"extra_openings_{name}"]
            for host in self.net.balancers.values()
        )

    def first_of(self, flow: flow_ends.CallerFlow) -> packet_network.AgentHost:
        """Returns the agent to which a flow was offered first."""
        line = next(
            line
            for line in self.net.logged("open_sent")
            if line.fields["flow"] == str(flow.flow)
        )
        return self._named(line)

    def second_of(
        self, flow: flow_ends.CallerFlow
    ) -> packet_network.AgentHost | None:
        """Returns the agent to which a flow was offered besides the first."""
        for line in self.net.logged("extra_open_sent"):
            if line.fields["flow"] == str(flow.flow):
                return self._named(line)
        return None

    def _named(self, line: actions.Log) -> packet_network.AgentHost:
        name = line.fields["agent"]
        return next(h for h in self.net.agents.values() if h.name == name)

    def stall_first(
        self, *, for_ms: int = 90
    ) -> tuple[flow_ends.CallerFlow, packet_network.AgentHost]:
        """Opens a flow whose first agent's server answers late.

        Returns:
            The flow and the agent.
        """
        flow = self.net.open_flow()
        flow.opens_with_request = True
        while not self.net.logged("open_sent") or self.net.logged("open_sent")[
            -1
        ].fields["flow"] != str(flow.flow):
            self.net.run(1)
        first = self.first_of(flow)
        receive = first.backend.receive

        def late(data: bytes) -> None:
            self.net.call_later(for_ms, lambda: receive(data))

        first.backend.receive = late  # type: ignore[method-assign]
        return flow, first

    def delay_word_of(self, host: packet_network.AgentHost, by_ms: int) -> None:
        """Holds up what an agent says about flows that it has accepted."""
        send_opened = host.agent._send_opened

        def send(key: packet.FlowKey, flow: flow_table.Flow) -> None:
            send_opened(key, flow)
            self.net.perform(host)

        def late(key: packet.FlowKey, flow: flow_table.Flow) -> None:
            self.net.call_later(by_ms, lambda: send(key, flow))

        host.agent._send_opened = late  # type: ignore[method-assign]

    def assert_served(self, flow: flow_ends.CallerFlow) -> None:
        """Asserts that a flow is open, and nothing went astray."""
        assert flow.state == "open"
        assert flow.answers == 1
        assert self.net.resets == []
        assert self.net.stray_packets(flow.flow) == 0


class TestOffers:
    """A few slow openings spoil the figures of callers."""

    def test_slow_first_one_answers_last(self) -> None:
        """Guards against waiting for a stalled instance alone."""
        world = World()
        flow, first = world.stall_first(for_ms=90)
        world.net.run(80)
        second = world.second_of(flow)
        assert second is not None and second is not first
        assert flow.state == "open"
        world.net.run(300)
        world.assert_served(flow)
        assert second.backend.holds(flow.flow)
        assert not first.backend.holds(flow.flow)
        assert world.count("won") == 1
        # The flow goes on after the first agent's late acceptance.
        flow.request()
        world.net.run(100)
        assert flow.answers == 2

    @pytest.mark.parametrize("first_wins", [False, True])
    def test_both_accept(self, first_wins: bool) -> None:
        """Guards against a lost flow whichever acceptance the caller takes."""
        world = World()
        flow, first = world.stall_first(for_ms=1 if first_wins else 60)
        if first_wins:
            # Its acceptance reaches the caller, its word is late.
            world.delay_word_of(first, 60)
        world.net.run(600)
        assert world.count("offered") == 1
        world.assert_served(flow)
        assert first.backend.holds(flow.flow) is first_wins

    def test_caller_takes_second_before_its_word_arrives(self) -> None:
        """Guards against packets lost that precede the word of the agent."""
        world = World()
        flow, first = world.stall_first(for_ms=400)
        for host in world.net.agents.values():
            world.delay_word_of(host, 400)
        world.net.run(130)
        world.assert_served(flow)
        assert not first.backend.holds(flow.flow)
        assert world.count("searched") == 1

    def test_packet_waits_for_the_agent_that_the_caller_uses(self) -> None:
        """Guards against a late first acceptance taken for the caller's."""
        world = World()
        flow, first = world.stall_first(for_ms=5000)
        while world.second_of(flow) is None:
            world.net.run(1)
        second = world.second_of(flow)
        assert second is not None
        core = world.core
        core.drain_actions()
        key = flow.flow
        ack = packets.decode_from_caller(
            flow_ends.from_caller(
                key, flow_ends.ACK, sequence=1, acknowledged=701
            )
        )
        core.on_packet(ack, world.net.now_ms)
        now_ms = world.net.now_ms
        core.on_message(messages.Opened(key, first.address, 500, 1), now_ms)
        assert core.drain_actions() == []
        core.on_message(messages.Opened(key, second.address, 700, 1), now_ms)
        delivered = [
            action.address
            for action in core.drain_actions()
            if isinstance(action, actions.SendDaemon)
            and isinstance(action.message, messages.Deliver)
        ]
        assert delivered == [second.address]

    def test_loss_of_the_winner(self) -> None:
        """Guards against a flow held on to after its second agent died."""
        world = World()
        flow, first = world.stall_first(for_ms=90)
        world.net.run(80)
        second = world.second_of(flow)
        assert second is not None and second.backend.holds(flow.flow)
        second.stop_agent()
        second.backend.is_alive = False
        world.net.run(4000)
        flow.request()
        world.net.run(6000)
        # Reset once its agent counts as lost; never given to the first one.
        assert flow.state == "reset"
        assert not first.backend.holds(flow.flow)
        assert flow.flow not in first.backend.requests

    def test_unused_agent_starts_again(self) -> None:
        """Guards against a flow taken for that of the server left over.

        Its server has the flow half open and keeps silent about packets of
        it, as one that has the flow does, while the owner's agent is away.
        """
        world = World(balancers=2)
        flow, first = world.stall_first(for_ms=60)
        world.net.run(300)
        second = world.second_of(flow)
        assert second is not None and second.backend.holds(flow.flow)
        flow.request()
        world.net.run(100)
        first.stop_agent()
        world.net.run(100)
        first.start_agent()
        world.net.run(100)
        second.stop_agent()
        world.net.rotation.reverse()
        received: list[bytes] = []
        first.backend.receive = received.append  # type: ignore[method-assign]
        flow.request()
        world.net.run(1500)
        assert not any(
            packets.decode_from_caller(data).flow == flow.flow
            for data in received
        )
        second.start_agent()
        world.net.run(3000)
        assert flow.answers == 3

    def test_second_dies_before_it_answers(self) -> None:
        """Guards against waiting for the second one when the first accepts."""
        world = World()
        flow, first = world.stall_first(for_ms=80)
        while world.second_of(flow) is None:
            world.net.run(1)
        second = world.second_of(flow)
        assert second is not None
        second.stop_agent()
        world.net.run(300)
        world.assert_served(flow)
        assert first.backend.holds(flow.flow)
        assert world.count("lost") == 1

    def test_second_refuses(self) -> None:
        """Guards against a reset by an agent asked besides the first one."""
        world = World()
        flow, first = world.stall_first(for_ms=90)
        for host in world.net.agents.values():
            if host is not first:
                host.agent.backend.assume_cold(world.net.now_ms, 10_000)
        world.net.run(300)
        assert world.count("offered") == world.count("refused") == 1
        world.assert_served(flow)
        assert first.backend.holds(flow.flow)

    @pytest.mark.parametrize("second_accepts", [False, True])
    def test_first_refuses(self, second_accepts: bool) -> None:
        """Guards against a reset while the second one may still accept."""
        world = World()
        flow, first = world.stall_first(for_ms=5000)
        while world.second_of(flow) is None:
            world.net.run(1)
        second = world.second_of(flow)
        assert second is not None
        second.is_cut = not second_accepts
        core, now_ms = world.core, world.net.now_ms
        refused = messages.Refused(flow.flow, first.address, "overloaded", 0)
        core.on_message(refused, now_ms)
        world.net.perform(next(iter(world.net.balancers.values())))
        world.net.run(20)
        assert world.net.resets == []
        if second_accepts:
            world.net.run(200)
            world.assert_served(flow)
        else:
            world.net.run(160)
            assert world.net.resets == [flow.flow]

    def test_held_opening_is_offered_at_once(self) -> None:
        """Guards against waiting for a cold server beside warm ones."""
        world = World()
        flow, first = world.stall_first(for_ms=5000)
        held = messages.Held(flow.flow, first.address, 600)
        world.core.on_message(held, world.net.now_ms)
        world.net.perform(next(iter(world.net.balancers.values())))
        assert world.second_of(flow) is not None

    def test_likely_slow_first_one(self) -> None:
        """Guards against waiting for an agent that has responded slowly."""
        world = World(hosts=3)
        core = world.core
        for known in core.agents:
            known.heartbeat = known.heartbeat._replace(response_ms=20.0, busy=2)
        slow = next(iter(core.agents))
        slow.heartbeat = slow.heartbeat._replace(
            response_ms=50.0, slots=100, busy=0
        )
        flow = world.net.open_flow()
        world.net.run(4)
        assert world.first_of(flow).address == slow.address
        line = world.net.logged("extra_open_sent")[-1]
        assert line.fields["flow"] == str(flow.flow)
        assert line.fields["reason"] == "slow"


class TestNever:
    """Extra work may break the rules of a route."""

    def count_of_stalled(self, world: World) -> int:
        """Returns the extra offers of a flow whose first agent is late."""
        flow, _ = world.stall_first(for_ms=100)
        world.net.run(300)
        assert flow.state == "open"
        return world.count("offered")

    def test_request_that_may_run_once(self) -> None:
        """Guards against extra offers of unsafe requests."""
        world = World(flow_terms=terms.Terms(priority=0))
        assert self.count_of_stalled(world) == 0
        assert not any(
            name.startswith("extra_openings") for name in world.core.counters
        )

    def test_route_changed_meanwhile(self) -> None:
        """Guards against offers by a configuration no longer in force."""
        world = World()
        flow, _ = world.stall_first(for_ms=100)
        world.net.set_configuration(
            configuration(2, flow_terms=terms.Terms(priority=0))
        )
        world.net.run(130)
        assert flow.state == "open"
        assert world.count("offered") == 0

    def test_switched_off(self) -> None:
        """Guards against extra offers that nobody has asked for."""
        world = World(percent=0.0)
        assert self.count_of_stalled(world) == 0

    @pytest.mark.parametrize("kind", ["cold", "evacuated", "region", "alone"])
    def test_second_that_may_not(self, kind: str) -> None:
        """Guards against offers to servers that must not get the flow."""
        world = World(data_centres="ab")
        flow, first = world.stall_first(for_ms=100)
        others = [
            known
            for known in world.core.agents
            if known.address != first.address
        ]
        match kind:
            case "cold":
                for known in others:
                    known.heartbeat = known.heartbeat._replace(cold_ms=5000)
            case "evacuated":
                for known in others:
                    known.heartbeat = known.heartbeat._replace(data_centre="b")
                world.net.evacuate("b")
            case "region":
                for known in others:
                    known.heartbeat = known.heartbeat._replace(region="far")
                world.net.set_configuration(
                    configuration(2, regions=frozenset({"region"}))
                )
            case "alone":
                for known in others:
                    known.heartbeat = known.heartbeat._replace(
                        state=agents.DRAINING
                    )
        world.net.run(130)
        assert world.count("offered") == 0
        assert world.second_of(flow) is None
        assert world.count("withheld_no_second") == 1

    def test_agent_without_a_free_slot(self) -> None:
        """Guards against an extra offer that waits before a server."""
        world = World(hosts=2, slots=1)
        host = next(iter(world.net.agents.values()))
        host.agent.flows.expected_requests = (  # type: ignore[method-assign]
            lambda now_ms: 1
        )
        syn = packets.decode_from_caller(
            flow_ends.from_caller(
                world.net.open_flow().flow, flow_ends.SYN, sequence=9
            )
        )
        offer = messages.Open(
            "shop", world.core._address, (), False, syn.raw, is_extra=True
        )
        host.agent.drain_actions()
        host.agent.on_open(offer, syn, world.net.now_ms)
        sent = [
            action.message
            for action in host.agent.drain_actions()
            if isinstance(action, actions.SendDaemon)
        ]
        assert [type(message) for message in sent] == [messages.Refused]
        assert sent[0].reason == messages.EXTRA  # type: ignore[union-attr]
        assert host.agent.flows.get(syn.flow) is None

    def test_server_that_returns_an_extra_opening(self) -> None:
        """Guards against a reset because the second server is full."""
        world = World()
        flow, first = world.stall_first(for_ms=100)
        for host in world.net.agents.values():
            host.backend.accepts = host is first
        world.net.run(300)
        assert world.count("refused") == 1
        world.assert_served(flow)


class TestLimit:
    """Extra offers must not add to a shortage, nor exceed their share."""

    def burst(self, world: World, count: int) -> int:
        """Returns the extra offers of flows opened while servers stall."""
        before = world.count("offered")
        for host in world.net.agents.values():
            receive = host.backend.receive
            host.backend.receive = (  # type: ignore[method-assign]
                lambda data, receive=receive: world.net.call_later(
                    60, lambda: receive(data)
                )
            )
        for _ in range(count):
            world.net.open_flow()
            world.net.run(5)
        world.net.run(300)
        return world.count("offered") - before

    def test_burst_after_calm(self) -> None:
        """Guards against offers saved up over calm hours."""
        world = World(slots=200, openings=400)
        assert 1 <= self.burst(world, 40) <= 4 + PERCENT / 100 * 40
        assert world.count("withheld_budget") >= 1

    def test_what_was_saved_is_lost(self) -> None:
        """Guards against offers that are no share of recent openings."""
        world = World(slots=200, openings=400)
        world.net.run(11_000)
        assert self.burst(world, 10) == 0

    def test_share_of_all_openings(self) -> None:
        """Guards against more work than the operators allow."""
        world = World(slots=200, openings=0)
        openings = 0
        for _ in range(20):
            world.open_many(10)
            world.stall_first(for_ms=40)
            world.net.run(200)
            openings += 11
        assert 1 <= world.count("offered") <= PERCENT / 100 * openings

    def test_overload(self) -> None:
        """Guards against extra offers while servers are busy or refuse."""
        world = World()
        for known in world.core.agents:
            known.heartbeat = known.heartbeat._replace(busy=7.5)
        flow, _ = world.stall_first(for_ms=100)
        world.net.run(120)
        assert world.count("offered") == 0
        assert world.count("withheld_no_room") == 1

    def test_refusals_of_late(self) -> None:
        """Guards against extra offers to a service that refuses flows."""
        world = World(openings=100)
        flow, first = world.stall_first(for_ms=100)
        opening = world.core._openings[flow.flow]
        for _ in range(40):
            world.core.extra_openings.on_strained(opening, world.net.now_ms)
        world.net.run(120)
        assert world.count("offered") == 0
        assert world.count("withheld_no_room") == 1

    def test_death_and_start_of_balancers(self) -> None:
        """Guards against a share that grows as balancers die and start."""
        world = World(slots=200, balancers=2, openings=200)
        dead = world.net.balancers.pop(world.net.rotation.pop())
        lost = dead.core.counters["extra_openings_offered"]
        # The other one has its own share only, and a new one has none.
        assert self.burst(world, 4) <= 4
        world.net.rotation.clear()
        world.net.balancers.clear()
        world.net.add_balancer("10.1.0.9")
        world.net.run(1500)
        assert self.burst(world, 10) == 0
        assert lost <= PERCENT / 100 * 200

    def test_spell_is_logged_once(self) -> None:
        """Guards against a log line for each offer withheld."""
        world = World(slots=200, openings=20)
        assert self.burst(world, 20) <= 2
        assert world.count("withheld_budget") > 1
        assert len(world.net.logged("extra_openings_withheld")) == 1
        world.net.run(7000)
        line = world.net.logged("extra_openings_resumed")[0]
        assert line.fields["withheld"] == {
            "budget": world.count("withheld_budget")
        }
