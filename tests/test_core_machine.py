"""Property tests of all cores together over a simulated faulty network.

One caller, two balancers and three agents exchange datagrams through a queue
that loses, duplicates and reorders them. The clock is virtual.
"""

import collections
import heapq
import itertools
import random
from typing import Any
from unittest import mock

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import keys
from sapphirelift.core import limits
from sapphirelift.core.flows import balancer
from sapphirelift.core.membership import freshness
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import caller
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import requests

CALLER = messages.Address("10.1.0.1", 7)
BALANCERS = [messages.Address(f"10.0.1.{n}", 1) for n in range(2)]
AGENTS = [messages.Address(f"10.0.0.{n}", 1) for n in range(3)]
SERVICES = ["pakkaamo", "pakkaamo", "jasen-kauppa"]
DATA_CENTRES = ["etela-a", "etela-b", "etela-a"]
TICK_MS = 50
DEADLINE_MS = 4000
WITHDRAWN_BOUND_MS = 3000
MAX_UPDATE_DELAY_MS = 2000


class World:
    """Simulation of all cores on one virtual clock, with a record of runs.

    Attributes:
        runs: Number of runs of each request at a backend server, by its path.
        results: Outcome of each request, by its path.
        violations: Descriptions of the violated guarantees.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now_ms = 0
        self.loss = 0.1
        self.queue: list[tuple[int, int, Any]] = []
        self.count = itertools.count()
        self.runs: collections.Counter[str] = collections.Counter()
        self.results: dict[str, outcomes.Outcome] = {}
        self.paths: dict[int, str] = {}
        self.sent: dict[str, tuple[bytes, bool]] = {}
        self.violations: list[str] = []
        self.withdrawn_since: dict[str, int] = {}
        self.frozen_until = dict.fromkeys(BALANCERS, 0)
        self.incarnations = dict.fromkeys(AGENTS, 0)
        self.ring = keys.KeyRing(0, {0: bytes(32)})
        self.agents: dict[messages.Address, agent.AgentCore] = {}
        for number in range(len(AGENTS)):
            self.restart(number)
        self.balancers = {
            address: balancer.BalancerCore(
                address=address, members=self.members(), ring=self.ring
            )
            for address in BALANCERS
        }
        self.caller = caller.CallerCore(rng=rng)
        self.sessions = {}
        for service in sorted(set(SERVICES)):
            number, out = self.caller.open_session(service, now_ms=0)
            self.sessions[service] = number
            self.on_caller_output(out)
        self.schedule(0, self.tick)

    def members(self) -> membership.Membership:
        """Returns a member table with all agents."""
        members = membership.Membership()
        for number, address in enumerate(AGENTS):
            self.announce(members, number, "up", address)
        return members

    def announce(
        self,
        members: membership.Membership,
        number: int,
        state: str,
        address: messages.Address,
    ) -> None:
        """Applies the announcement of an agent to a member table."""
        value = {
            "name": f"agent-{number}",
            "role": "agent",
            "ip": address.ip,
            "port": address.port,
            "incarnation": self.incarnations[address],
            "data_centre": DATA_CENTRES[number],
            "service": SERVICES[number],
            "weight": 1.0,
            "state": state,
        }
        members.apply_announcement(value, revision=next(self.count) + 1)

    # Events.

    def schedule(self, when_ms: int, *call: Any) -> None:
        """Schedules a call."""
        heapq.heappush(self.queue, (when_ms, next(self.count), call))

    def run(self, duration_ms: int) -> None:
        """Advances the clock and makes the calls that become due."""
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, (call, *arguments) = heapq.heappop(self.queue)
            call(*arguments)
        self.now_ms = end_ms

    def tick(self) -> None:
        """Ticks every core."""
        self.on_caller_output(self.caller.tick(self.now_ms))
        for address in AGENTS:
            self.to_agent(address, agent.Tick())
        for address, core in self.balancers.items():
            if self.frozen_until[address] <= self.now_ms:
                core.freshness.observe(self.now_ms)
        self.schedule(self.now_ms + TICK_MS, self.tick)

    def send(self, *call: Any) -> None:
        """Drops, duplicates or delays a datagram."""
        if self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.loss)):
            late = self.rng.random() < self.loss
            delay_ms = self.rng.randrange(1, 1500 if late else 5)
            self.schedule(self.now_ms + delay_ms, *call)

    def on_caller_output(self, outputs: list[caller.Output]) -> None:
        """Carries out the outputs of the caller core."""
        for output in outputs:
            match output:
                case caller.SendDatagram(data):
                    to = self.rng.choice(BALANCERS)
                    self.send(self.to_balancer, to, data)
                case caller.RequestDone(request_id, outcome):
                    path = self.paths[request_id]
                    self.results[path] = outcome
                    self.check_result(path, outcome)

    def check_result(self, path: str, outcome: outcomes.Outcome) -> None:
        """Checks that an answer belongs to its request."""
        if isinstance(outcome, outcomes.Answered):
            body, _ = self.sent[path]
            if outcome.body != path.encode() + body:
                self.violations.append(f"wrong answer to {path}")
            if not self.runs[path]:
                self.violations.append(f"answer without a run of {path}")

    def to_caller(self, data: bytes) -> None:
        """Delivers a datagram to the caller."""
        self.on_caller_output(self.caller.receive(data, now_ms=self.now_ms))

    def to_balancer(self, address: messages.Address, data: bytes) -> None:
        """Delivers a caller's datagram to a balancer, as the daemon does."""
        if self.frozen_until[address] > self.now_ms:
            # The datagram stays in the socket's receive buffer.
            wake_ms = self.frozen_until[address]
            self.schedule(wake_ms, self.to_balancer, address, data)
            return
        core = self.balancers[address]
        packet = core.forward(data, CALLER, now_ms=self.now_ms)
        if packet is not None:
            self.from_balancer(address, messages.Address(*packet[1]), packet[0])
            return
        match core.on_caller_datagram(data, CALLER, now_ms=self.now_ms):
            case actions.SendPeer(to, sent):
                self.from_balancer(address, to, sent)
            case actions.SendCaller(_, sent):
                self.send(self.to_caller, sent)

    def from_balancer(
        self, address: messages.Address, to: messages.Address, data: bytes
    ) -> None:
        """Sends to an agent; checks that its data centre is not withdrawn."""
        data_centre = DATA_CENTRES[AGENTS.index(to)]
        since_ms = self.withdrawn_since.get(data_centre, self.now_ms)
        if self.now_ms - since_ms > WITHDRAWN_BOUND_MS:
            self.violations.append(f"packet to withdrawn {data_centre}")
        kind, body = wire.decode_peer(data, self.ring)
        self.send(self.to_agent, to, agent.PeerDatagram(address, kind, body))

    def to_agent(self, address: messages.Address, event: agent.Event) -> None:
        """Gives an event to an agent and carries out its actions."""
        core = self.agents[address]
        for action in core.handle(event, now_ms=self.now_ms):
            match action:
                case actions.SendPeer(to, data) if to in BALANCERS:
                    self.send(self.relay, to, data)
                case actions.SendPeer(to, data):
                    kind, body = wire.decode_peer(data, self.ring)
                    sent = agent.PeerDatagram(address, kind, body)
                    self.send(self.to_agent, to, sent)
                case actions.StartRun():
                    self.start_run(address, core, action)
                case actions.CancelRun(run_id):
                    end = outcomes.Unknown("cancelled")
                    self.schedule(
                        self.now_ms, self.finish, address, core, run_id, end
                    )

    def relay(self, address: messages.Address, data: bytes) -> None:
        """Relays an agent's datagram through a balancer."""
        if self.frozen_until[address] > self.now_ms:
            self.schedule(self.frozen_until[address], self.relay, address, data)
            return
        _, body = wire.decode_peer(data, self.ring)
        action = self.balancers[address].on_relay(body)
        if action is not None:
            self.send(self.to_caller, action.data)

    # Backend servers.

    def start_run(
        self,
        address: messages.Address,
        core: agent.AgentCore,
        run: actions.StartRun,
    ) -> None:
        """Runs a request, sheds it, or cuts the connection after the start."""
        draw = self.rng.random()
        outcome: outcomes.Outcome = outcomes.NotRun("shed")
        if draw >= self.loss / 2:
            self.runs[run.path] += 1
            _, idempotent = self.sent[run.path]
            if self.runs[run.path] > 1 and not idempotent:
                self.violations.append(f"second run of {run.path}")
            if run.path.split("/")[1] != core.identity.service:
                self.violations.append(f"{run.path} at another service")
            answer = run.path.encode() + run.body
            outcome = outcomes.Answered(200, answer)
            if draw < self.loss:
                outcome = outcomes.Unknown("connection_cut")
        work_ms = self.rng.randrange(1, 800)
        self.schedule(
            self.now_ms + work_ms,
            self.finish,
            address,
            core,
            run.run_id,
            outcome,
        )

    def finish(
        self,
        address: messages.Address,
        core: agent.AgentCore,
        run_id: int,
        outcome: outcomes.Outcome,
    ) -> None:
        """Ends a run unless its agent has been replaced."""
        if self.agents[address] is core:
            self.to_agent(address, agent.RunFinished(run_id, outcome))

    # Faults and planned changes.

    def restart(self, number: int) -> None:
        """Replaces an agent by a new incarnation without its state."""
        address = AGENTS[number]
        self.incarnations[address] += 1
        self.agents[address] = agent.AgentCore(
            agent.AgentIdentity(
                f"agent-{number}",
                address,
                self.incarnations[address],
                SERVICES[number],
                DATA_CENTRES[number],
            ),
            limits=limits.AgentLimits(slots=2, queue_requests=4),
            ring=self.ring,
            members=self.members(),
        )
        if DATA_CENTRES[number] in self.withdrawn_since:
            self.to_agent(address, agent.Withdraw(True))
        for core in getattr(self, "balancers", {}).values():
            self.announce(core.members, number, "up", address)

    def drain(self, number: int) -> None:
        """Drains an agent; only one of the balancers learns of it."""
        address = AGENTS[number]
        self.to_agent(address, agent.Drain())
        core = self.rng.choice(list(self.balancers.values()))
        self.announce(core.members, number, "draining", address)

    def withdraw(self, out: bool) -> None:
        """Withdraws or returns etela-b; processes learn of it with a delay."""
        if out:
            self.withdrawn_since.setdefault("etela-b", self.now_ms)
        else:
            self.withdrawn_since.pop("etela-b", None)
        for number, address in enumerate(AGENTS):
            if DATA_CENTRES[number] == "etela-b":
                late_ms = self.rng.randrange(MAX_UPDATE_DELAY_MS)
                self.schedule(self.now_ms + late_ms, self.update_agent, address)
        for address in BALANCERS:
            late_ms = self.rng.randrange(MAX_UPDATE_DELAY_MS)
            self.schedule(self.now_ms + late_ms, self.update_balancer, address)

    def update_agent(self, address: messages.Address) -> None:
        """Applies the current records at an agent."""
        self.to_agent(
            address, agent.Withdraw("etela-b" in self.withdrawn_since)
        )

    def update_balancer(self, address: messages.Address) -> None:
        """Applies the current records at a balancer that is not frozen."""
        if self.frozen_until[address] <= self.now_ms:
            self.balancers[address].set_withdrawn(set(self.withdrawn_since))

    def freeze(self, address: messages.Address, duration_ms: int) -> None:
        """Freezes a balancer; afterwards it compares its records."""
        if self.frozen_until[address] > self.now_ms:
            return
        wake_ms = self.frozen_until[address] = self.now_ms + duration_ms
        self.schedule(wake_ms + TICK_MS, self.compare, address)

    def compare(self, address: messages.Address) -> None:
        """Completes the comparison of revisions after a freeze."""
        self.update_balancer(address)
        self.balancers[address].freshness.confirm()

    def request(self, service: str, *, size: int, idempotent: bool) -> None:
        """Starts a request."""
        path = f"/{service}/{len(self.sent)}"
        body = (path.encode() * 400)[:size]
        self.sent[path] = (body, idempotent)
        request_id, out = self.caller.start_request(
            self.sessions[service],
            method="POST",
            path=path,
            body=body,
            idempotent=idempotent,
            deadline_ms=DEADLINE_MS,
            now_ms=self.now_ms,
        )
        self.paths[request_id] = path
        self.on_caller_output(out)

    def check(self) -> None:
        """Checks the guarantees that hold at any time."""
        for path, outcome in self.results.items():
            if isinstance(outcome, outcomes.NotRun) and self.runs[path]:
                self.violations.append(f"NotRun for {path}, which ran")
        assert self.violations == []

    def settle(self) -> None:
        """Stops the faults and checks that every request gets an outcome."""
        self.loss = 0.0
        self.run(DEADLINE_MS + 3000)
        self.check()
        assert set(self.sent) == set(self.results), "requests without an end"


class CoreMachine(stateful.RuleBasedStateMachine):
    """Requests, drains, withdrawals, freezes and restarts in any order."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Starts all cores."""
        self.world = World(random.Random(seed))
        self.world.run(500)

    @stateful.rule(
        service=st.sampled_from(sorted(set(SERVICES))),
        size=st.sampled_from([0, 10, 3000]),
        idempotent=st.booleans(),
        count=st.integers(1, 6),
    )
    def request(
        self, service: str, size: int, idempotent: bool, count: int
    ) -> None:
        """Starts requests."""
        for _ in range(count):
            self.world.request(service, size=size, idempotent=idempotent)

    @stateful.rule(duration_ms=st.sampled_from([20, 300, 1000]))
    def wait(self, duration_ms: int) -> None:
        """Lets time pass."""
        self.world.run(duration_ms)

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def network(self, loss: float) -> None:
        """Changes how faulty the network and the backend servers are."""
        self.world.loss = loss

    @stateful.rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Kills an agent and starts it again."""
        self.world.restart(number)

    @stateful.rule(number=st.integers(0, 2))
    def drain(self, number: int) -> None:
        """Drains an agent."""
        self.world.drain(number)

    @stateful.rule(out=st.booleans())
    def withdraw(self, out: bool) -> None:
        """Withdraws a data centre or returns it."""
        self.world.withdraw(out)

    @stateful.rule(
        address=st.sampled_from(BALANCERS),
        duration_ms=st.sampled_from([1000, 4000]),
    )
    def freeze(self, address: messages.Address, duration_ms: int) -> None:
        """Freezes a balancer."""
        self.world.freeze(address, duration_ms)

    @stateful.invariant()
    def promises_hold(self) -> None:
        """Guards against a promise that some order of events breaks."""
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        """Guards against requests without an end."""
        if hasattr(self, "world"):
            self.world.settle()


CoreMachine.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCore = CoreMachine.TestCase


def run_script(seed: int) -> None:
    """Runs a fixed sequence of requests and faults of all kinds."""
    world = World(random.Random(seed))
    world.run(500)
    for turn in range(12):
        for service in sorted(set(SERVICES)):
            for number in range(4):
                world.request(
                    service, size=number * 1000, idempotent=number % 2 == 0
                )
        world.run(300)
        match turn % 6:
            case 1:
                world.restart(turn % 3)
            case 2:
                world.freeze(BALANCERS[0], 4000)
                world.withdraw(True)
            case 4:
                world.withdraw(False)
            case 5:
                world.drain(1)
        world.run(1800)
        world.check()
    world.settle()


_on_open = agent.AgentCore._on_open
_targets = balancer.BalancerCore._targets


def _retry_any(
    self: caller.CallerCore, request: Any, reason: str, now_ms: int
) -> None:
    self._retry(request, now_ms)


def _any_request(self: caller.CallerCore, wire_id: int) -> Any:
    return next(iter(self._requests.values()), None)


def _open_for_any(
    self: agent.AgentCore, forward: messages.OpenForward, now_ms: int
) -> None:
    datagram = wire.decode_caller(forward.datagram)
    body = datagram.body._replace(service=self.identity.service)
    data = wire.encode_caller(messages.Kind.OPEN, datagram.flow_key, body)
    _on_open(self, forward._replace(datagram=data), now_ms)


def _targets_of_any(self: balancer.BalancerCore, service: str) -> Any:
    return _targets(self, "pakkaamo") + _targets(self, "jasen-kauppa")


def _unknown_as_not_run(
    fragment: messages.Response, body: bytes
) -> outcomes.Outcome:
    if fragment.outcome == messages.OutcomeCode.ANSWERED:
        return outcomes.Answered(fragment.status, body)
    return outcomes.NotRun(fragment.reason)


INJECTED_FAULTS: dict[str, tuple[list[tuple[Any, str, Any]], str]] = {
    "retries_any_lost_request": (
        [(caller.CallerCore, "_on_lost_request", _retry_any)],
        "second run",
    ),
    "answers_are_not_matched": (
        [(caller.CallerCore, "_request_by_wire_id", _any_request)],
        "wrong answer",
    ),
    "unknown_is_reported_as_not_run": (
        [
            (caller, "_decode_outcome", _unknown_as_not_run),
            # A retry would be reported as a second run first.
            (caller.CallerCore, "_may_retry", lambda *_, **__: False),
        ],
        "which ran",
    ),
    "service_is_not_checked": (
        [
            (agent.AgentCore, "_on_open", _open_for_any),
            (balancer.BalancerCore, "_targets", _targets_of_any),
        ],
        "another service",
    ),
    "freeze_is_not_noticed": (
        [(freshness.Freshness, "check", lambda self, now_ms: True)],
        "withdrawn etela-b",
    ),
    "lost_answers_and_deadlines_are_ignored": (
        [
            (caller.CallerCore, "_give_up", lambda *_: None),
            (requests.Requests, "send_responses", lambda *_: None),
        ],
        "without an end",
    ),
}


class TestInjectedFaults:
    """Tests that the checks above detect faults of the cores."""

    @pytest.mark.parametrize("seed", range(3))
    def test_passes_without_fault(self, seed: int) -> None:
        """Guards against a sequence that fails without an injected fault."""
        run_script(seed)

    @pytest.mark.parametrize("name", INJECTED_FAULTS)
    def test_injected_fault_is_detected(self, name: str) -> None:
        """Guards against checks that detect no fault."""
        patches, message = INJECTED_FAULTS[name]
        for target, attribute, value in patches:
            patcher = mock.patch.object(target, attribute, value)
            patcher.start()
        try:
            with pytest.raises(AssertionError, match=message):
                for seed in range(3):
                    run_script(seed)
        finally:
            mock.patch.stopall()


class TestRefusedRetry:
    """Tests a request that may have run and whose retry is refused."""

    def test_is_unknown(self) -> None:
        """Guards against NotRun for a request whose first attempt ran."""
        world = World(random.Random(1))
        world.loss = 0.0
        world.run(500)
        world.request("jasen-kauppa", size=0, idempotent=True)
        world.run(20)
        assert world.runs["/jasen-kauppa/0"] == 1
        world.restart(2)
        world.drain(2)
        world.settle()
        assert isinstance(world.results["/jasen-kauppa/0"], outcomes.Unknown)
