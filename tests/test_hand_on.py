"""Ownership of plain flows, without a token, while the members change."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core import outbox
from sapphirelift.core.flows import balancer
from sapphirelift.core.flows import hand_on
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import admission
from sapphirelift.core.requests import delivered
from sapphirelift.core.requests import outcomes

RING = keys.KeyRing(0, {0: b"k" * 32})
SERVICE = "jasen-kauppa"
PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)


def agent_address(number: int) -> messages.Address:
    """Returns the address of an agent."""
    return messages.Address("10.0.0.2", 2000 + number)


class Agent:
    """One agent with its backend server."""

    def __init__(self, number: int) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.address = agent_address(number)
        self.out = outbox.Outbox(RING)
        self.core = hand_on.PlainFlowTable(
            address=self.address,
            service=SERVICE,
            out=self.out,
            admission=admission.Admission(slots=1000),
            counters=self.counters,
        )


class Network:
    """Balancers and agents on a network that reorders but loses nothing."""

    def __init__(self, *, balancers: int = 2, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.agents: dict[messages.Address, Agent] = {}
        self.balancers = [
            balancer.BalancerCore(
                address=messages.Address("10.0.0.1", 1 + number),
                members=membership.Membership(),
                ring=RING,
            )
            for number in range(balancers)
        ]
        self.queue: list[tuple[messages.Address, actions.SendPeer]] = []
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.max_hops = 0
        self.revision = 0

    def announce(self, number: int, state: str, *, at: list[int]) -> None:
        """Announces the state of an agent to some balancers."""
        self.revision += 1
        agent = self.agents.setdefault(agent_address(number), Agent(number))
        agent.core.state = state
        for index in at:
            self.balancers[index].members.apply_announcement(
                {
                    "name": f"a{number}",
                    "role": "agent",
                    "ip": agent.address.ip,
                    "port": agent.address.port,
                    "incarnation": 1,
                    "data_centre": "etela-a",
                    "service": SERVICE,
                    "weight": 1.0,
                    "state": state,
                },
                revision=self.revision,
            )
            self.tick_balancer(index)

    def tick_balancer(self, index: int) -> None:
        """Lets a balancer apply the changes of its members."""
        core = self.balancers[index]
        core.freshness.observe(self.now_ms)
        core.plain.tick({SERVICE}, self.now_ms)

    def send(self, caller: int, payload: bytes, *, via: int) -> None:
        """Sends a datagram of a caller and delivers all datagrams."""
        self.put(caller, payload, via=via)
        self.settle()

    def put(self, caller: int, payload: bytes, *, via: int) -> None:
        """Queues a datagram of a caller for delivery."""
        core = self.balancers[via]
        action = core.on_plain(
            SERVICE, payload, ("10.1.0.1", 5000 + caller), now_ms=self.now_ms
        )
        if action is not None:
            self.queue.append((core.address, action))

    def settle(self) -> None:
        """Delivers datagrams in random order until none is left."""
        while self.queue:
            index = self.rng.randrange(len(self.queue))
            sender, action = self.queue.pop(index)
            kind, body = wire.decode_peer(action.data, RING)
            agent = self.agents.get(action.address)
            if agent is None:
                continue
            if kind == messages.Kind.PLAIN:
                hops = wire.decode_body(kind, body).hops
                self.max_hops = max(self.max_hops, hops)
            try:
                agent.core.handle(kind, body, sender, self.now_ms)
            except errors.DatagramError as error:
                agent.counters[error.reason] += 1
            self.collect(agent)

    def collect(self, agent: Agent) -> None:
        """Carries out the actions of an agent."""
        agent.core.runs.start(self.now_ms)
        for action in agent.out.take():
            match action:
                case actions.StartRun(run_id=run_id, body=body):
                    self.runs[body] += 1
                    agent.core.runs.on_run_finished(
                        run_id,
                        outcomes.Answered(204, b""),
                        shed=False,
                        failed=False,
                        now_ms=self.now_ms,
                    )
                case actions.SendPeer():
                    self.queue.append((agent.address, action))

    def pass_time(self, time_ms: int) -> None:
        """Advances the clock, ticking every agent and balancer."""
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            for index in range(len(self.balancers)):
                self.tick_balancer(index)
            for agent in list(self.agents.values()):
                agent.core.tick(self.now_ms)
                self.collect(agent)
            self.settle()

    def owners(self, caller: int) -> list[messages.Address]:
        """Returns the agents that own the flow of a caller."""
        key = balancer.generations.flow_key(
            SERVICE, ("10.1.0.1", 5000 + caller)
        )
        return [a for a, held in self.agents.items() if held.core.owns(key)]


class TestOwnership:
    """Tests that each flow has one owner that is alive."""

    @PROPERTY
    @hypothesis.given(
        seed=st.integers(0, 1 << 16),
        steps=st.lists(
            st.tuples(
                st.sampled_from(["send", "burst", "up", "drain"]),
                st.integers(0, 5),
                st.integers(0, 1),
            ),
            max_size=25,
        ),
    )
    def test_flow_stays_with_living_owner(
        self, seed: int, steps: list[tuple[str, int, int]]
    ) -> None:
        """Guards against flows moved, and datagrams lost or run twice."""
        network = Network(seed=seed)
        for number in (6, 7):
            network.announce(number, "up", at=[0, 1])
        expected = 0
        owner: dict[int, messages.Address] = {}
        late: list[tuple[int, str, int]] = []
        since_send: collections.Counter[int] = collections.Counter()
        for step, number, via in steps:
            if step in ("send", "burst"):
                # A burst comes through both balancers at once.
                for _ in range(0 if step == "send" else 3):
                    network.put(number, f"{expected}".encode(), via=via)
                    expected += 1
                    via = 1 - via
                network.send(number, f"{expected}".encode(), via=via)
                expected += 1
                (now,) = network.owners(number)
                if since_send[number] <= 4:
                    assert owner.setdefault(number, now) == now
                owner[number] = now
                since_send[number] = 0
            else:
                # The other balancer learns of it one change later.
                for change, state, other in late:
                    network.announce(change, state, at=[other])
                state = "up" if step == "up" else "draining"
                network.announce(number, state, at=[via])
                late = [(number, state, 1 - via)]
                for key in range(6):
                    since_send[key] += 1
            network.pass_time(100)
        assert set(network.runs.values()) <= {1}
        assert len(network.runs) == expected
        assert network.max_hops <= hand_on.MAX_HOPS

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("order", ["new_at_one", "opposite"])
    def test_balancers_with_different_tables(
        self, seed: int, order: str
    ) -> None:
        """Guards against a new flow that two agents take at once."""
        network = Network(seed=seed)
        if order == "new_at_one":
            network.announce(0, "up", at=[0, 1])
            network.announce(1, "up", at=[0])
        else:
            # Each agent is the former first candidate of the other.
            network.announce(0, "up", at=[0])
            network.announce(1, "up", at=[1])
            network.announce(2, "up", at=[0, 1])
            network.announce(0, "draining", at=[0])
            network.announce(1, "draining", at=[1])
            network.announce(0, "up", at=[1])
            network.announce(1, "up", at=[0])
        for caller in range(60):
            for turn in range(4):
                payload = f"{caller}-{turn}".encode()
                network.put(caller, payload, via=turn % 2)
            network.settle()
            network.pass_time(100)
            assert len(network.owners(caller)) == 1
            for turn in range(4, 6):
                payload = f"{caller}-{turn}".encode()
                network.send(caller, payload, via=turn % 2)
            assert len(network.owners(caller)) == 1
        assert len(network.runs) == 360
        assert set(network.runs.values()) == {1}

    def test_more_changes_than_generations(self) -> None:
        """Guards against a flow that loses its owner after many changes."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        for number in range(2 * balancer.generations.MAX_FORMER_GENERATIONS):
            network.announce(number, "up", at=[0])
            for caller in range(20):
                network.send(caller, b"%d-%d" % (caller, number), via=0)
            network.pass_time(1000)
        for caller in range(20):
            assert network.owners(caller) == [agent_address(0)]

    def test_returned_datagram_is_taken(self) -> None:
        """Guards against a datagram that two agents forward in a loop."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        agent = network.agents[agent_address(0)]
        ask = messages.PlainAsk(SERVICE, b"k" * 16, 1)
        agent.core._on_ask(ask, agent_address(1), 0)
        plain = messages.Plain(
            SERVICE,
            messages.Address("10.1.0.1", 5),
            messages.Address("10.0.0.1", 1),
            b"k" * 16,
            0,
            0,
            [],
            [],
            b"x",
            1,
            1,
        )
        agent.core._on_plain(plain, plain.balancer, 0)
        assert not agent.core.owns(b"k" * 16)
        agent.core._on_plain(plain._replace(hops=2), agent_address(2), 0)
        assert agent.core.owns(b"k" * 16)

    def test_several_changes_without_a_datagram(self) -> None:
        """Guards against a router that keeps only one former generation."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        for caller in range(40):
            network.send(caller, b"first", via=0)
        for number in range(1, 4):
            network.pass_time(1000)
            network.announce(number, "up", at=[0])
        for caller in range(40):
            network.send(caller, b"second", via=0)
        owned = {tuple(network.owners(caller)) for caller in range(40)}
        assert owned == {(agent_address(0),)}
        assert network.runs == {b"first": 40, b"second": 40}

    def test_dead_owner_is_replaced(self) -> None:
        """Guards against a redirect that outlives its owner."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        for caller in range(20):
            network.send(caller, b"first", via=0)
        network.announce(1, "up", at=[0])
        for caller in range(20):
            network.send(caller, b"second", via=0)
        del network.agents[agent_address(0)]
        network.balancers[0].members.members["a0"].suspected = True
        network.balancers[0].members.version += 1
        for _ in range(4):
            for caller in range(20):
                network.send(caller, b"third", via=0)
            network.pass_time(1000)
        for caller in range(20):
            assert network.owners(caller) == [agent_address(1)]

    def test_idle_flow_expires(self) -> None:
        """Guards against tables that never drop the flows of idle callers."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        network.send(1, b"first", via=0)
        network.pass_time(hand_on.FLOW_IDLE_MS + 2 * hand_on.SWEEP_MS)
        assert network.owners(1) == []

    def test_full_agent_forwards_new_flow(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against refused flows while other agents have capacity."""
        monkeypatch.setattr(hand_on, "MAX_OWNED", 15)
        monkeypatch.setattr(hand_on, "MAX_REDIRECTS", 3)
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        network.announce(1, "up", at=[0])
        for caller in range(30):
            network.send(caller, b"%d" % caller, via=0)
        assert len(network.runs) == 30
        for agent in network.agents.values():
            assert agent.core.flows == 15
            assert len(agent.core._redirects) <= 3

    def test_other_service_is_dropped(self) -> None:
        """Guards against a plain datagram run by another service."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        agent = network.agents[agent_address(0)]
        plain = messages.Plain(
            "pakkaamo",
            messages.Address("10.1.0.1", 5),
            messages.Address("10.0.0.1", 1),
            b"k" * 16,
            0,
            0,
            [],
            [],
            b"x",
            1,
            1,
        )
        with pytest.raises(errors.DatagramError, match="wrong_service"):
            agent.core.handle(
                messages.Kind.PLAIN,
                wire.encode_body(plain),
                plain.balancer,
                0,
            )

    def test_replay_is_not_run_again(self) -> None:
        """Guards against a replayed PLAIN that runs a second time."""
        network = Network(balancers=2)
        for number in range(2):
            network.announce(number, "up", at=[0, 1])
        core = network.balancers[0]

        def record() -> actions.SendPeer:
            action = core.on_plain(
                SERVICE, b"x", ("10.1.0.1", 5000), now_ms=network.now_ms
            )
            assert action is not None
            return action

        recorded = [record() for _ in range(2)]
        for action in recorded * 3:
            network.queue.append((core.address, action))
            network.settle()
        # Two separate datagrams with the same payload both run.
        assert network.runs[b"x"] == 2
        network.send(0, b"other balancer", via=1)
        for _ in range(delivered.MAX_RECENT + 10):
            network.put(0, b"later", via=0)
            network.settle()
        for action in recorded:
            network.queue.append((core.address, action))
        network.settle()
        assert network.runs[b"x"] == 2
        assert network.runs[b"other balancer"] == 1
        restarted = balancer.BalancerCore(
            address=core.address,
            members=core.members,
            ring=RING,
            incarnation=1,
        )
        restarted.plain.tick({SERVICE}, network.now_ms)
        network.balancers[0] = restarted
        network.send(0, b"restarted", via=0)
        assert network.runs[b"restarted"] == 1

    def test_replayed_owner_is_refused(self) -> None:
        """Guards against a replay that keeps a redirect alive or changes it."""
        network = Network(balancers=1)
        network.announce(0, "up", at=[0])
        agent = network.agents[agent_address(0)]
        key, asker = b"k" * 16, agent_address(1)
        agent.core._on_ask(messages.PlainAsk(SERVICE, key, 1), asker, 0)
        plain = messages.Plain(
            SERVICE, agent.address, agent.address, key, 0, 0, [], [], b"x", 1, 1
        )
        agent.core._on_plain(plain, plain.balancer, 0)
        _, body = wire.decode_peer(agent.out.take()[-1].data, RING)
        sent = wire.decode_body(messages.Kind.PLAIN, body)
        owned = messages.PlainOwned(key, sent.ask_id, agent_address(2))
        agent.core._on_owned(owned, agent_address(2), 0)
        with pytest.raises(errors.DatagramError, match="replayed"):
            agent.core._on_owned(owned, agent_address(2), 0)
