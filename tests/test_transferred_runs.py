"""Requests transferred to a peer over a lossy, duplicating network."""

import collections
import heapq
import itertools
import random
from typing import Any
from unittest import mock

import hypothesis
import xxhash
from hypothesis import strategies as st

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import keys
from sapphirelift.core import limits
from sapphirelift.core.flows import load
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import incoming_runs
from sapphirelift.core.requests import outcomes

SERVICE = "pakkaamo"
BALANCER = messages.Address("10.0.0.100", 1)
CALLER = messages.Address("10.1.0.1", 7)
OWNER = messages.Address("10.0.0.0", 1)
PEER = messages.Address("10.0.0.1", 1)
FLOW_KEY = bytes(range(16))
DEADLINE_MS = 6000
END_MS = 30_000
RING = keys.KeyRing(0, {0: bytes(32)})
Kind = messages.Kind


class AlwaysTransfer(load.LoadTable):
    """Load table that places every request at the peer."""

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns the peer."""
        return next(iter(self.peers.values()), None)


class Pair:
    """Simulates an owner and a peer on one virtual clock.

    Attributes:
        runs: Number of runs of each request on the backend servers.
        callers: Caller addresses reported to the backend servers.
        results: First outcome that the caller received for each request.
    """

    def __init__(
        self, *, rng: random.Random, loss: float = 0.0, peer_slots: int = 2
    ) -> None:
        self.rng = rng
        self.loss = loss
        self.now_ms = 0
        self.queue: list[tuple[int, int, Any]] = []
        self.count = itertools.count()
        self.runs: collections.Counter[int] = collections.Counter()
        self.callers: set[str] = set()
        self.results: dict[int, outcomes.Outcome] = {}
        self.cut_peer = False
        self.min_work_ms = 1
        self.token = b""
        self.slots = {OWNER: 2, PEER: peer_slots}
        self.incarnations = {OWNER: 1, PEER: 0}
        self.cores = {OWNER: self.start(OWNER)}
        self.restart_peer()
        for address in self.cores:
            self.at(0, self.tick, address)
        data = wire.encode_caller(
            Kind.OPEN, FLOW_KEY, messages.Open(SERVICE, 0)
        )
        forward = messages.OpenForward(CALLER, BALANCER, 0, [], data)
        body = wire.encode_body(forward)
        self.handle(OWNER, agent.PeerDatagram(BALANCER, 33, body))

    def start(self, address: messages.Address) -> agent.AgentCore:
        """Returns the core of a new agent incarnation."""
        identity = agent.AgentIdentity(
            address.ip, address, self.incarnations[address], SERVICE, "a"
        )
        return agent.AgentCore(
            identity,
            limits=limits.AgentLimits(
                slots=self.slots[address], queue_requests=3
            ),
            ring=RING,
        )

    def restart_peer(self) -> None:
        """Replaces the peer by a new incarnation without its old state."""
        self.incarnations[PEER] += 1
        self.cores[PEER] = self.start(PEER)
        table = AlwaysTransfer(
            name=OWNER.ip,
            service=SERVICE,
            members=membership.Membership(),
            rng=random.Random(1),
        )
        self.cores[OWNER].balance.table = table
        idle = load.LocalLoad("up", 0, 2.0, 0, 0.0, 0, 2)
        incarnation = self.incarnations[PEER]
        table.apply(
            messages.Load(PEER.ip, SERVICE, *PEER, incarnation, 1, *idle), 0
        )

    def at(self, when_ms: int, *call: Any) -> None:
        """Schedules a call."""
        heapq.heappush(self.queue, (when_ms, next(self.count), call))

    def run(self, until_ms: int = END_MS) -> None:
        """Runs the calls that are scheduled before a time."""
        while self.queue and self.queue[0][0] < until_ms:
            self.now_ms, _, (call, *arguments) = heapq.heappop(self.queue)
            call(*arguments)

    def tick(self, address: messages.Address) -> None:
        """Passes a tick to an agent and schedules the next one."""
        self.handle(address, agent.Tick())
        self.at(self.now_ms + 20, self.tick, address)

    def handle(self, address: messages.Address, event: agent.Event) -> None:
        """Passes an event to an agent and performs its actions."""
        core = self.cores[address]
        for action in core.handle(event, now_ms=self.now_ms):
            match action:
                case actions.SendPeer(to, data):
                    kind, body = wire.decode_peer(data, RING)
                    if to == BALANCER:
                        self.on_relay(wire.decode_forward(body)[1])
                    else:
                        sent = agent.PeerDatagram(address, kind, body)
                        self.send(to, sent)
                case actions.StartRun():
                    self.start_run(address, core, action)
                case actions.CancelRun(run_id):
                    end = outcomes.Unknown("cancelled")
                    self.at(self.now_ms, self.finish, address, core, run_id,
                            end)  # fmt: skip

    def send(self, to: messages.Address, sent: agent.PeerDatagram) -> None:
        """Drops, duplicates or delays a datagram between the agents."""
        if self.cut_peer or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            late = self.rng.random() < self.loss
            delay_ms = self.rng.randrange(1, 8000 if late else 3)
            self.at(self.now_ms + delay_ms, self.handle, to, sent)

    def start_run(
        self,
        address: messages.Address,
        core: agent.AgentCore,
        run: actions.StartRun,
    ) -> None:
        """Runs a request, or sheds it without running it."""
        outcome: outcomes.Outcome = outcomes.NotRun("shed")
        if self.rng.random() >= self.loss / 2:
            self.runs[run.request_id] += 1
            self.callers.add(run.caller)
            outcome = outcomes.Answered(200, run.body * 3)
        work_ms = self.rng.randrange(self.min_work_ms, 400)
        self.at(self.now_ms + work_ms, self.finish, address, core, run.run_id,
                outcome)  # fmt: skip

    def finish(
        self,
        address: messages.Address,
        core: agent.AgentCore,
        run_id: int,
        outcome: outcomes.Outcome,
    ) -> None:
        """Finishes a run unless its agent has been replaced."""
        if self.cores[address] is core:
            self.handle(address, agent.RunFinished(run_id, outcome))

    def on_relay(self, data: bytes) -> None:
        """Handles a datagram from the owner to the caller."""
        reply = wire.decode_caller(data)
        if reply.kind == Kind.ACCEPT:
            self.token = reply.token
        elif reply.kind == Kind.RESPONSE:
            body = reply.body
            bitmap = b"\xff" * ((body.fragment_count + 7) // 8)
            ack = messages.FragmentAck(body.request_id, bitmap)
            self.at(self.now_ms, self.forward, Kind.RESPONSE_ACK, ack)
            outcome = {
                messages.OutcomeCode.ANSWERED: outcomes.Answered(
                    body.status, body.payload
                ),
                messages.OutcomeCode.NOT_RUN: outcomes.NotRun(body.reason),
                messages.OutcomeCode.UNKNOWN: outcomes.Unknown(body.reason),
            }[messages.OutcomeCode(body.outcome)]
            self.results.setdefault(body.request_id, outcome)

    def forward(self, kind: int, body: tuple[Any, ...]) -> None:
        """Sends a datagram from the caller to the owner."""
        data = wire.encode_caller(kind, FLOW_KEY, body, flow_token=self.token)
        event = agent.PeerDatagram(
            BALANCER, Kind.FORWARD, wire.encode_forward(CALLER, data)
        )
        self.handle(OWNER, event)

    def request(
        self, request_id: int, *, idempotent: bool = False, body: bytes = b"x"
    ) -> None:
        """Sends a request from the caller in fragments."""
        parts = [body[i : i + 1200] for i in range(0, len(body), 1200)]
        for index, part in enumerate(parts):
            head = messages.Request(
                request_id, index, len(parts), xxhash.xxh64_intdigest(body),
                DEADLINE_MS, idempotent, "POST", "/echo", part,
            )  # fmt: skip
            self.forward(Kind.REQUEST, head)

    def cancel(self, request_id: int) -> None:
        """Sends a cancellation from the caller."""
        self.forward(Kind.CANCEL, messages.Cancel(request_id))

    def counter(self, address: messages.Address, name: str) -> int:
        """Returns the value of an agent's counter."""
        return self.cores[address].counters[name]


class TestTruthfulOutcomes:
    """No double run and no false refusal under network faults and stops."""

    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(
        seed=st.integers(0, 1 << 32),
        loss=st.sampled_from([0.0, 0.1, 0.3, 0.6]),
        keep_ms=st.sampled_from([0, 60_000]),
        event=st.sampled_from(["", "restart", "cut", "drain", "withdraw"]),
        event_ms=st.integers(0, 1200),
    )
    def test_no_double_run_and_no_false_refusal(
        self, seed: int, loss: float, keep_ms: int, event: str, event_ms: int
    ) -> None:
        """Guards against runs and refusals that the outcome hides."""
        rng = random.Random(seed)
        pair = Pair(rng=rng, loss=loss)
        requests = range(1, 13)
        for number in requests:
            sent_ms = rng.randrange(1000)
            size = rng.choice([1, 1, 5000])
            pair.at(sent_ms, lambda n, size: pair.request(
                n, idempotent=n % 4 == 0, body=bytes(size)), number, size,
            )  # fmt: skip
            if rng.random() < 0.2:
                cancel_ms = sent_ms + rng.randrange(500)
                pair.at(cancel_ms, pair.cancel, number)
        match event:
            case "restart":
                pair.at(event_ms, pair.restart_peer)
            case "cut":
                pair.at(event_ms, setattr, pair, "cut_peer", True)
            case "drain":
                side = rng.choice([OWNER, PEER])
                pair.at(event_ms, pair.handle, side, agent.Drain())
            case "withdraw":
                out = agent.Withdraw(out=True)
                pair.at(event_ms, pair.handle, PEER, out)
        with mock.patch.object(incoming_runs, "KEEP_MS", keep_ms):
            pair.run()
        for number in requests:
            outcome = pair.results.get(number)
            assert outcome is not None
            if number % 4:
                assert pair.runs[number] <= 1
            if isinstance(outcome, outcomes.NotRun):
                assert pair.runs[number] == 0
            if isinstance(outcome, outcomes.Answered):
                assert pair.runs[number] >= 1
        assert pair.cores[OWNER].balance.pending == 0
        assert pair.cores[PEER].balance.pending == 0


class TestOpenPlacement:
    """Placement of an OPEN by an agent."""

    def forwards(self, *, hops: int) -> list[messages.OpenForward]:
        """Returns the forwards of a loaded agent for two candidates."""
        pair = Pair(rng=random.Random(1))
        other = messages.Address("10.0.0.2", 1)
        owner = pair.cores[OWNER]
        owner.flows.update({bytes([n]): mock.Mock() for n in range(9)})
        data = wire.encode_caller(
            Kind.OPEN, bytes(16), messages.Open(SERVICE, 0)
        )
        forward = messages.OpenForward(
            CALLER, BALANCER, hops, [other, PEER], data
        )
        event = agent.PeerDatagram(
            BALANCER, Kind.OPEN_FORWARD, wire.encode_body(forward)
        )
        sent = [
            (action.address, *wire.decode_peer(action.data, RING))
            for action in owner.handle(event, now_ms=1)
            if isinstance(action, actions.SendPeer)
        ]
        assert all(to == PEER for to, kind, _ in sent if kind != Kind.RELAY)
        return [
            wire.decode_body(kind, body)
            for _, kind, body in sent
            if kind == Kind.OPEN_FORWARD
        ]

    def test_less_loaded_candidate_gets_the_flow(self) -> None:
        """Guards against candidates that only a full agent considers."""
        (forward,) = self.forwards(hops=0)
        assert forward.hops == 1
        assert forward.candidates == [messages.Address("10.0.0.2", 1)]

    def test_flow_moves_once_for_balance(self) -> None:
        """Guards against an OPEN that is forwarded more than once."""
        assert self.forwards(hops=1) == []


class TestTransfer:
    """Handling of each way in which a transfer can end."""

    def pair(self, **options: Any) -> Pair:
        """Returns a pair on a network without faults."""
        return Pair(rng=random.Random(1), **options)

    def test_answer_is_whole_and_caller_is_kept(self) -> None:
        """Guards against a peer that accounts the work to the owner.

        The peer must queue it under the caller's own address.
        """
        pair = self.pair()
        body = random.Random(2).randbytes(3000)
        pair.request(1, body=body)
        pair.run(2000)
        state = pair.cores[OWNER].flows[FLOW_KEY].requests[1]
        assert state.outcome == outcomes.Answered(200, body * 3)
        assert pair.counter(OWNER, "requests_transferred") == 1
        assert pair.counter(PEER, "runs_answered") == 1
        assert pair.callers == {f"{CALLER.ip}:{CALLER.port}"}

    def test_refused_request_runs_at_the_owner(self) -> None:
        """Guards against a refusal while the owner could run the request."""
        pair = self.pair()
        pair.handle(PEER, agent.Drain())
        pair.request(1)
        pair.run()
        assert isinstance(pair.results[1], outcomes.Answered)
        assert pair.counter(OWNER, "transfers_returned") == 1
        assert pair.runs[1] == 1

    def test_request_is_transferred_once(self) -> None:
        """Guards against requests that are transferred from peer to peer."""
        pair = self.pair()
        peer = pair.cores[PEER]
        peer.balance.table = pair.cores[OWNER].balance.table
        pair.request(1)
        pair.run()
        assert pair.counter(PEER, "requests_transferred") == 0
        assert pair.counter(PEER, "runs_answered") == 1

    def test_silent_peer_reruns_only_idempotent_requests(self) -> None:
        """Guards against a second run, or a lost request, on silence."""
        pair = self.pair()
        pair.cut_peer = True
        pair.request(1)
        pair.request(2, idempotent=True)
        pair.run()
        assert pair.results[1] == outcomes.Unknown("peer_silent")
        assert isinstance(pair.results[2], outcomes.Answered)

    def test_cancellation_reaches_the_peer(self) -> None:
        """Guards against a peer that runs cancelled requests."""
        pair = self.pair(peer_slots=1)
        pair.min_work_ms = 200
        pair.request(1)
        pair.at(5, pair.request, 2)
        pair.at(10, pair.cancel, 2)
        pair.at(20, pair.cancel, 1)
        pair.run(100)
        assert pair.cores[PEER].requests.running == 0
        assert pair.runs[2] == 0
        assert pair.counter(PEER, "runs_notrun") == 1

    def test_cancelled_transfer_ends_with_the_peers_outcome(self) -> None:
        """Guards against Unknown for a request queued at its peer."""
        pair = self.pair(peer_slots=1)
        pair.min_work_ms = 200
        pair.request(1)
        pair.at(5, pair.request, 2)
        pair.at(10, pair.cancel, 2)
        pair.at(20, pair.cancel, 1)
        pair.run(100)
        assert pair.results[2] == outcomes.NotRun("cancelled")
        assert pair.results[1] == outcomes.Unknown("cancelled")

    def test_late_transfer_ends_with_the_peers_outcome(self) -> None:
        """Guards against Unknown for a request that its peer did not run."""
        pair = self.pair(peer_slots=1)
        pair.cores[PEER].requests.admission.started(0)
        pair.cores[OWNER].requests.admission.busy = 2
        pair.request(1)
        pair.run()
        assert pair.runs[1] == 0
        assert isinstance(pair.results[1], outcomes.NotRun)

    def test_cancellation_that_overtakes_its_request_counts(self) -> None:
        """Guards against a run that starts after its cancellation."""
        pair = self.pair()
        pair.request(1)
        pair.cancel(1)
        late = [entry for entry in pair.queue if entry[2][1] == PEER]
        pair.queue = [entry for entry in pair.queue if entry not in late]
        heapq.heapify(pair.queue)
        _, cancel = (entry[2] for entry in late if len(entry[2]) > 2)
        run = next(entry[2] for entry in late if len(entry[2]) > 2)
        pair.at(1, *cancel)
        pair.at(5, *run)
        pair.run(1000)
        assert pair.runs[1] == 0

    def test_deadline_is_passed_on(self) -> None:
        """Guards against a run after the caller's deadline."""
        pair = self.pair(peer_slots=1)
        core = pair.cores[PEER]
        core.requests.admission.started(0)
        pair.request(1)
        pair.run()
        assert pair.runs[1] == 0
        assert pair.counter(PEER, "runs_notrun") == 1


class TestColdOwner:
    """Requests of an agent whose backend server has just started."""

    def test_idle_agent_runs_a_request_until_one_is_answered(self) -> None:
        """Guards against an agent that stays cold as it transfers all."""
        pair = Pair(rng=random.Random(1))
        ramp = pair.cores[OWNER].limits._replace(ramp_ms=500, initial_share=0.1)
        pair.handle(OWNER, agent.NewLimits(ramp))
        # A second request, sent while the first one runs, is transferred.
        for number, sent_ms in ((1, 100), (2, 100), (3, 2000)):
            pair.at(sent_ms, pair.request, number)
        pair.run()
        assert set(pair.results) == {1, 2, 3}
        assert pair.counter(OWNER, "requests_transferred") == 2
        assert not pair.cores[OWNER].requests.admission.is_cold(pair.now_ms)
