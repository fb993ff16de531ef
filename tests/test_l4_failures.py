"""Failures that operators of similar systems have reported.

Each class provokes one of them at the packet daemon.
"""

import random

import pytest

from sapphirelift import errors
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.membership import freshness
from sapphirelift.platform import dispatch
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

PEER = messages.Address("10.1.0.9", 7720)
PAUSE_MS = 6000


def flow_of_port(port: int) -> packet.FlowKey:
    """Returns the flow of a caller's port to the route of the network."""
    return packet.FlowKey(
        packets.ip_number("100.64.0.9"),
        port,
        packet_network.ROUTE_IP,
        packet_network.ROUTE_PORT,
    )


def syn(port: int) -> packet.Packet:
    """Returns an opening packet of a caller's port."""
    data = flow_ends.from_caller(
        flow_of_port(port), flow_ends.SYN, sequence=port
    )
    return packets.decode_from_caller(data)


def network(*, agents: int = 2, balancers: int = 1) -> packet_network.Network:
    """Returns a network whose daemons know each other."""
    net = packet_network.Network(1)
    for _ in range(agents):
        net.add_agent()
    for _ in range(balancers):
        net.add_balancer()
    net.run(1000)
    return net


def sent(
    core: agent_module.Agent | balancer_module.Balancer,
) -> list[messages.Message]:
    """Returns the messages that a core has decided to send."""
    return [
        action.message
        for action in core.drain_actions()
        if isinstance(action, actions.SendDaemon)
    ]


class TestPausedAgent:
    """An agent acts on a permission that ran out while it was paused."""

    def pause(
        self, net: packet_network.Network
    ) -> tuple[agent_module.Agent, messages.Open]:
        """Pauses an agent; returns it with an opening from its queue."""
        host = next(iter(net.agents.values()))
        core = host.agent
        boot_ms = net.now_ms
        core.observe(boot_ms, net.now_ms)
        offer = messages.Open(
            "shop", PEER, (messages.Address("10.2.0.2", 7720),), False, b""
        )
        core.drain_actions()
        core.observe(boot_ms + PAUSE_MS, net.now_ms)
        return core, offer._replace(data=syn(1).raw)

    def test_queued_opening_is_passed_on(self) -> None:
        """Guards against flows in a data centre evacuated during the pause."""
        net = network()
        core, offer = self.pause(net)
        core.on_open(offer, syn(1), net.now_ms)
        kinds = [type(message) for message in sent(core)]
        assert messages.Open in kinds
        assert core.flows.get(flow_of_port(1)) is None

    def test_queued_acknowledgement_does_not_confirm(self) -> None:
        """Guards against news from before the pause taken for fresh ones."""
        net = network()
        balancer = next(iter(net.balancers.values()))
        core, offer = self.pause(net)
        newest = max(
            message.number
            for message in sent(core)
            if isinstance(message, messages.Pulse)
        )
        balancer.core.acknowledge_watched()
        ack = next(
            message
            for message in sent(balancer.core)
            if isinstance(message, messages.HeartbeatAck)
        )
        core.on_ack(ack._replace(number=newest - 1), net.now_ms)
        core.on_open(offer, syn(1), net.now_ms)
        assert core.flows.get(flow_of_port(1)) is None
        core.on_ack(ack._replace(number=newest), net.now_ms)
        core.on_open(offer, syn(1), net.now_ms)
        assert core.flows.get(flow_of_port(1)) is not None

    def test_held_openings_are_passed_on(self) -> None:
        """Guards against openings kept longer than the agent noticed."""
        net = network()
        host = next(iter(net.agents.values()))
        core = host.agent
        core.observe(net.now_ms, net.now_ms)
        core._active_requests = 100
        core.on_open(
            messages.Open("shop", PEER, (), False, syn(1).raw),
            syn(1),
            net.now_ms,
        )
        assert len(core.flows.held()) == 1
        core.observe(net.now_ms + PAUSE_MS, net.now_ms)
        assert core.flows.held() == []

    def test_short_gaps_change_nothing(self) -> None:
        """Guards against an agent that refuses flows on a slow instance."""
        net = network()
        core = next(iter(net.agents.values())).agent
        core.observe(net.now_ms, net.now_ms)
        core.observe(net.now_ms + freshness.FROZEN_AFTER_MS - 1, net.now_ms)
        offer = messages.Open("shop", PEER, (), False, syn(1).raw)
        core.on_open(offer, syn(1), net.now_ms)
        assert core.flows.get(flow_of_port(1)) is not None


class TestPausedBalancer:
    """A balancer opens flows by a configuration from before a pause."""

    def paused(
        self, net: packet_network.Network
    ) -> tuple[balancer_module.Balancer, messages.Revisions]:
        """Pauses a balancer; returns it and its question to a peer."""
        core = next(iter(net.balancers.values())).core
        core.observe(net.now_ms)
        core.drain_actions()
        core.observe(net.now_ms + PAUSE_MS)
        asked = [m for m in sent(core) if isinstance(m, messages.Revisions)]
        return core, asked[0]

    def test_new_flows_wait_for_the_answer_of_a_peer(self) -> None:
        """Guards against flows opened by what is no longer in force."""
        net = network(balancers=2)
        core, question = self.paused(net)
        core.on_packet(syn(1), net.now_ms)
        assert sent(core) == []
        late = question._replace(
            balancer=PEER, is_reply=True, number=question.number - 1
        )
        core.on_message(late, net.now_ms)
        core.on_packet(syn(1), net.now_ms)
        assert messages.Open not in [type(m) for m in sent(core)]
        core.on_message(
            question._replace(balancer=PEER, is_reply=True), net.now_ms
        )
        core.on_packet(syn(1), net.now_ms)
        assert messages.Open in [type(m) for m in sent(core)]

    def test_new_flows_are_not_reset_before_agents_are_heard(self) -> None:
        """Guards against resets by heartbeats that waited during a pause."""
        net = network(balancers=2)
        core, question = self.paused(net)
        net.now_ms += balancer_module.SETTLE_MS
        core.on_message(
            question._replace(balancer=PEER, is_reply=True), net.now_ms
        )
        hosts = net.agents.values()
        for unheard_ms in (PAUSE_MS, 0):
            for host in hosts:
                heartbeat = host.agent.heartbeat(net.now_ms)
                core.on_message(
                    heartbeat._replace(unheard_ms=unheard_ms), net.now_ms
                )
            core.drain_actions()
            core.on_packet(syn(1), net.now_ms)
            kinds = [type(a) for a in core.drain_actions()]
            assert actions.ResetCaller not in kinds
            assert (actions.SendDaemon in kinds) == (unheard_ms == 0)

    @pytest.mark.parametrize(
        ("pause_ms", "is_reset"), [(1300, False), (600, True)]
    )
    def test_new_flows_after_a_short_pause(
        self, pause_ms: int, is_reset: bool
    ) -> None:
        """Guards against resets by pauses too short to make state stale.

        Without a pause, all agents are silent, and callers hear it at once.
        """
        net = network(balancers=2)
        core = next(iter(net.balancers.values())).core
        until_ms = net.now_ms + balancer_module.SETTLE_MS
        for now_ms in range(net.now_ms, until_ms, 500):
            core.observe(now_ms)
        net.now_ms = now_ms + pause_ms
        core.observe(net.now_ms)
        core.drain_actions()
        core.on_packet(syn(1), net.now_ms)
        kinds = [type(a) for a in core.drain_actions()]
        assert actions.SendDaemon not in kinds
        assert (actions.ResetCaller in kinds) == is_reset

    def test_open_flows_go_on(self) -> None:
        """Guards against flows that stand still after a pause."""
        net = network(balancers=2)
        net.rotation = [next(iter(net.balancers))]
        caller = net.open_flow()
        net.run(100)
        core, _ = self.paused(net)
        data = flow_ends.from_caller(caller.flow, flow_ends.ACK, data=b"x")
        core.on_packet(packets.decode_from_caller(data), net.now_ms)
        assert messages.Deliver in [type(m) for m in sent(core)]

    def test_wait_is_bounded(self) -> None:
        """Guards against a balancer that never opens flows without peers."""
        net = network(balancers=2)
        core, _ = self.paused(net)
        core.observe(net.now_ms + PAUSE_MS + freshness.COMPARE_TIMEOUT_MS // 3)
        core.observe(
            net.now_ms + PAUSE_MS + freshness.COMPARE_TIMEOUT_MS * 2 // 3
        )
        core.observe(net.now_ms + PAUSE_MS + freshness.COMPARE_TIMEOUT_MS)
        core.on_packet(syn(1), net.now_ms)
        assert messages.Open in [type(m) for m in sent(core)]


class TestPlannedStop:
    """Openings in the hands of an agent that stops."""

    def test_held_opening_is_passed_on(self) -> None:
        """Guards against callers that wait for an agent that has left."""
        net = packet_network.Network(1, has_slots=True)
        stopping = net.add_agent(work_ms=1000, slots=1)
        net.add_balancer()
        net.run(1000)
        for _ in range(2):
            net.open_flow().opens_with_request = True
            net.run(50)
        caller = net.open_flow()
        net.run(50)
        assert caller.state == "opening"
        other = net.add_agent(slots=1)
        net.run(100)
        stopping.agent.flows.held()[0][1].others = (other.address,)
        stopping.agent.leave(net.now_ms)
        net.perform(stopping)
        net.run(50)
        assert caller.state == "open"
        assert other.backend.holds(caller.flow)


class TestRestart:
    """What had left or was withdrawn before a balancer restarted."""

    def test_departed_agent_of_a_stale_peer_is_not_used(self) -> None:
        """Guards against a server in use again that had left."""
        net = network()
        gone = next(iter(net.agents.values()))
        gone.stop_agent()
        core = net.add_balancer("10.1.0.50").core
        core.add_agent(gone.address, net.now_ms)
        net.run(1000)
        net.rotation = ["10.1.0.50"]
        flows = [net.open_flow() for _ in range(10)]
        net.run(1000)
        assert {flow.state for flow in flows} == {"open"}
        assert not gone.backend.opened
        assert gone.address not in [a.address for a in core.agents]

    def test_stale_peer_does_not_end_an_evacuation(self) -> None:
        """Guards against a data centre in use again that was withdrawn."""
        net = network(balancers=2)
        net.evacuate("a")
        core = next(iter(net.balancers.values())).core
        revision = core.evacuations.revision
        core._send_revisions(PEER, is_reply=True)
        (own,) = [m for m in sent(core) if isinstance(m, messages.Revisions)]
        stale = own._replace(
            balancer=PEER, evacuations_revision=revision - 1, evacuated=()
        )
        core.on_message(stale, net.now_ms)
        assert core.evacuations.data_centres == {"a"}


class TestHandOver:
    """Two balancers that both act on the same opening packet."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_request_runs_once(self, seed: int) -> None:
        """Guards against a request that two servers run."""
        net = packet_network.Network(seed)
        for _ in range(4):
            net.add_agent()
        ips = [net.add_balancer().address.ip for _ in range(2)]
        net.run(1000)
        flows = []
        for _ in range(20):
            net.rotation = [ips[0]]
            caller = net.open_flow()
            net.rotation = [ips[1]]
            caller._send_syn()
            net.rotation = ips[:]
            flows.append(caller)
            net.run(50)
        for caller in flows:
            caller.request()
        net.run(2000)
        assert [caller.answers for caller in flows] == [1] * 20
        for caller in flows:
            runs = [
                host.backend.requests.get(caller.flow, 0)
                for host in net.agents.values()
            ]
            assert sum(runs) == 1


class TestMalformedMessages:
    """Messages of other daemons with wrong contents."""

    def valid(self, net: packet_network.Network) -> list[bytes]:
        """Returns one message of each kind that the daemons exchange."""
        flow = flow_of_port(1)
        address = messages.Address("10.2.0.1", 7720)
        host = next(iter(net.agents.values()))
        core = next(iter(net.balancers.values())).core
        core._send_revisions(PEER, is_reply=False)
        core.acknowledge_watched()
        found = sent(core)
        found += [
            host.agent.heartbeat(net.now_ms),
            host.agent.heartbeat(net.now_ms).pulse(),
            messages.Open("shop", PEER, (address,), True, syn(1).raw),
            messages.Deliver(PEER, syn(1).raw),
            messages.Opened(flow, address, 1, 1),
            messages.Held(flow, address, 5),
            messages.Refused(flow, address, "cold", 5),
            messages.Ask(flow),
            messages.Answer(flow, address, messages.OWNS),
            messages.Missed(address, syn(1).raw),
            messages.Hello(PEER),
            messages.AskMany(PEER, (flow,)),
            messages.AnswerMany(address, (flow,), True),
            messages.Resolve(PEER, flow),
            messages.Resolved(flow, address, messages.OWNS),
        ]
        return [messages.encode(message) for message in found]

    @pytest.mark.parametrize("seed", range(20))
    def test_daemons_survive(self, seed: int) -> None:
        """Guards against one message that takes a process down."""
        net = network(balancers=2)
        rng = random.Random(seed)
        host = next(iter(net.agents.values()))
        core = next(iter(net.balancers.values())).core
        for _ in range(400):
            data = bytearray(rng.choice(self.valid(net)))
            for _ in range(rng.randint(0, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            if rng.random() < 0.1:
                del data[rng.randrange(len(data)) :]
            for receive in (
                lambda m: dispatch.to_agent(host.agent, m, PEER, net.now_ms),
                lambda m: dispatch.to_balancer(core, m, PEER, net.now_ms),
            ):
                try:
                    receive(messages.decode(bytes(data)))
                except errors.DatagramError:
                    continue
            for target in (host.agent, core):
                target.tick(net.now_ms)
                target.sweep(net.now_ms)
                for message in sent(target):
                    messages.encode(message)
            core.gossip(net.now_ms)
            host.agent.send_heartbeats(net.now_ms)

    @pytest.mark.parametrize(
        "address",
        [
            messages.Address("host", 1),
            messages.Address("10.0.0.1", 0),
            messages.Address("10.0.0.1", 65_536),
            messages.Address("10.0.0.1\0", 1),
        ],
    )
    def test_unusable_address_is_refused(
        self, address: messages.Address
    ) -> None:
        """Guards against a name that is looked up for each datagram."""
        for message in (
            messages.Hello(address),
            messages.Open("shop", PEER, (PEER, address), False, b""),
            messages.Open("shop", PEER, (), False, b"", least_busy=address),
            messages.Deliver(address, b""),
        ):
            with pytest.raises(errors.DatagramError):
                messages.decode(messages.encode(message))

    def test_states_are_known(self) -> None:
        """Guards against an unknown state that makes an agent usable."""
        net = network()
        core = next(iter(net.balancers.values())).core
        host = next(iter(net.agents.values()))
        odd = host.agent.heartbeat(net.now_ms)._replace(state="asleep")
        core.on_message(odd, net.now_ms)
        known = core.agents.get(host.address)
        assert known is not None
        assert known.heartbeat.state not in (agents.READY,)
        assert not known.may_open(net.now_ms)
