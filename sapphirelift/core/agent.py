"""Decisions of an agent: flows, requests and the state of its backend server.

Datagrams, finished runs and ticks go in; actions come out.
"""

import collections
import dataclasses
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import admission
from sapphirelift.core import fairness
from sapphirelift.core import flows
from sapphirelift.core import keys
from sapphirelift.core import membership
from sapphirelift.core import outcomes
from sapphirelift.core import token
from sapphirelift.core import transfer

_Kind = messages.Kind


class AgentIdentity(NamedTuple):
    """Who the agent is and what it serves."""

    name: str
    address: messages.Address
    incarnation: int
    service: str
    data_centre: str


class AgentLimits(NamedTuple):
    """Bounds of the agent's tables and times."""

    slots: int = 4
    max_flows: int = 2000
    max_requests_per_flow: int = 64
    queue_requests: int = 256
    reply_cache_bytes: int = 16 << 20
    reply_cache_ttl_ms: int = 30_000
    flow_idle_timeout_ms: int = 60_000
    move_within_ms: int = 10_000
    move_repeat_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDatagram:
    """A verified datagram from another process of the system."""

    sender: messages.Address
    kind: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RunFinished:
    """A run on the backend server has ended."""

    run_id: int
    outcome: outcomes.Outcome
    shed: bool = False
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """The agent is to stop: finish what runs, move every flow away."""

    reason: str = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The agent's data centre is out (or in again, if ``out`` is False)."""

    out: bool


Event = PeerDatagram | RunFinished | Tick | Drain | Withdraw


class AgentCore:
    """State machine of one agent."""

    def __init__(
        self,
        identity: AgentIdentity,
        *,
        limits: AgentLimits,
        ring: keys.KeyRing,
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.ring = ring
        self.state = membership.UP
        self.withdrawn = False
        self.flows: dict[bytes, flows.Flow] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.admission = admission.Admission(slots=limits.slots)
        self._queue: fairness.FairQueue[flows.RequestState] = (
            fairness.FairQueue(capacity=limits.queue_requests)
        )
        self._runs: dict[int, flows.RequestState] = {}
        self._responding: dict[tuple[bytes, int], flows.RequestState] = {}
        self._next_run_id = 1
        self._next_serial = 1
        self._service_id = keys.service_id(identity.service)
        self._sweep_ms = 0
        self._out: list[actions.Action] = []

    @property
    def running(self) -> int:
        """Number of requests that run on the backend server."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def handle(self, event: Event, *, now_ms: int) -> list[actions.Action]:
        """Takes one event and returns what is to be done."""
        self._out = []
        try:
            match event:
                case PeerDatagram():
                    self._on_peer_datagram(event, now_ms)
                case RunFinished():
                    self._on_run_finished(event, now_ms)
                case Tick():
                    self._on_tick(now_ms)
                case Drain():
                    self._on_drain(now_ms)
                case Withdraw(out=out):
                    self._on_withdraw(out)
        except errors.DatagramError as error:
            self.counters[f"dropped_{error.reason}"] += 1
        self._start_runs(now_ms)
        return self._out

    # Datagrams.

    def _on_peer_datagram(self, event: PeerDatagram, now_ms: int) -> None:
        match event.kind:
            case _Kind.FORWARD:
                caller, datagram = wire.decode_forward(event.body)
                self._on_caller_datagram(
                    wire.decode_caller(datagram), caller, event.sender, now_ms
                )
            case _Kind.OPEN_FORWARD:
                self._on_open(wire.decode_body(event.kind, event.body), now_ms)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _on_open(self, forward: messages.OpenForward, now_ms: int) -> None:
        datagram = wire.decode_caller(forward.datagram)
        if datagram.kind != _Kind.OPEN:
            raise errors.DatagramError("unexpected_kind")
        if datagram.body.service != self.identity.service:
            raise errors.DatagramError("wrong_service")
        flow = self.flows.get(datagram.flow_key)
        if flow is None and not self._may_accept():
            self._pass_on(forward, datagram)
            return
        if flow is None:
            flow = self._accept(datagram, forward, now_ms)
        accept = messages.Accept(
            owner=self.identity.name,
            max_requests=self.limits.max_requests_per_flow,
        )
        self._reply(flow, _Kind.ACCEPT, accept)

    def _may_accept(self) -> bool:
        return (
            self.state == membership.UP
            and not self.withdrawn
            and len(self.flows) < self.limits.max_flows
        )

    def _accept(
        self,
        datagram: wire.CallerDatagram,
        forward: messages.OpenForward,
        now_ms: int,
    ) -> flows.Flow:
        sealed = token.seal(
            token.Token(
                owner_ip=self.identity.address.ip,
                owner_port=self.identity.address.port,
                incarnation=self.identity.incarnation,
                service_id=self._service_id,
                data_centre_id=keys.data_centre_id(self.identity.data_centre),
                serial=self._next_serial,
                key_id=self.ring.current_id,
            ),
            datagram.flow_key,
            self.ring,
        )
        self._next_serial += 1
        flow = flows.Flow(
            flow_key=datagram.flow_key,
            token=sealed,
            caller=forward.caller,
            balancer=forward.balancer,
            heard_ms=now_ms,
        )
        self.flows[flow.flow_key] = flow
        self.counters["flows_accepted"] += 1
        return flow

    def _pass_on(
        self, forward: messages.OpenForward, datagram: wire.CallerDatagram
    ) -> None:
        """Hands an OPEN to its next candidate, or refuses it."""
        remaining = [
            address
            for address in forward.candidates
            if address != self.identity.address
        ]
        if not remaining:
            refuse = messages.Refuse(
                reason=self._refusal_reason(), retry_after_ms=200
            )
            data = wire.encode_caller(_Kind.REFUSE, datagram.flow_key, refuse)
            self._relay(forward.balancer, forward.caller, data)
            self.counters["flows_refused"] += 1
            return
        onward = forward._replace(
            hops=forward.hops + 1, candidates=remaining[1:]
        )
        body = wire.encode_body(onward)
        self._send_peer(remaining[0], _Kind.OPEN_FORWARD, body)
        self.counters["flows_handed_on"] += 1

    def _refusal_reason(self) -> str:
        if self.withdrawn:
            return "data_centre_withdrawn"
        if self.state != membership.UP:
            return self.state
        return "overloaded"

    def _on_caller_datagram(
        self,
        datagram: wire.CallerDatagram,
        caller: messages.Address,
        balancer: messages.Address,
        now_ms: int,
    ) -> None:
        flow = self.flows.get(datagram.flow_key)
        if flow is None or flow.token != datagram.token:
            self._refuse_token(datagram, caller, balancer)
            return
        flow.caller = caller
        flow.balancer = balancer
        flow.heard_ms = now_ms
        match datagram.kind:
            case _Kind.REQUEST:
                self._on_request(flow, datagram.body, now_ms)
            case _Kind.RESPONSE_ACK:
                self._on_response_ack(flow, datagram.body)
            case _Kind.CANCEL:
                self._on_cancel(flow, datagram.body, now_ms)
            case _Kind.PING:
                self._reply(
                    flow, _Kind.PONG, messages.Pong(datagram.body.sequence)
                )
            case _Kind.CLOSE:
                self._close(flow)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _refuse_token(
        self,
        datagram: wire.CallerDatagram,
        caller: messages.Address,
        balancer: messages.Address,
    ) -> None:
        """Answers a packet of a flow that this incarnation does not own."""
        opened = token.unseal(datagram.token, datagram.flow_key, self.ring)
        if opened.service_id != self._service_id:
            raise errors.DatagramError("wrong_service")
        if datagram.kind == _Kind.CLOSE:
            return
        reason = "unknown_flow"
        if opened.incarnation != self.identity.incarnation:
            reason = "stale_incarnation"
        data = wire.encode_caller(
            _Kind.RESET,
            datagram.flow_key,
            messages.Reset(reason),
            flow_token=datagram.token,
        )
        self._relay(balancer, caller, data)
        self.counters[f"resets_{reason}"] += 1

    # Requests.

    def _on_request(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> None:
        state = flow.requests.get(fragment.request_id)
        if state is None:
            state = self._new_request(flow, fragment, now_ms)
        if state.outcome is not None:
            self._repeat_response(flow, state)
            return
        if state.receiver is None:
            self._acknowledge(
                flow, fragment.request_id, fragment.fragment_count
            )
            return
        state.receiver.add(
            index=fragment.fragment_index,
            count=fragment.fragment_count,
            expected_hash=fragment.body_hash,
            payload=fragment.payload,
        )
        ack = messages.FragmentAck(fragment.request_id, state.receiver.bitmap)
        self._reply(flow, _Kind.REQUEST_ACK, ack)
        if state.receiver.is_complete:
            self._enqueue(flow, state, now_ms)

    def _new_request(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> flows.RequestState:
        state = flows.RequestState(
            request_id=fragment.request_id,
            flow_key=flow.flow_key,
            method=fragment.method,
            path=fragment.path,
            idempotent=fragment.idempotent,
            deadline_at_ms=now_ms + fragment.deadline_ms,
            receiver=transfer.FragmentReceiver(
                count=fragment.fragment_count, expected_hash=fragment.body_hash
            ),
        )
        if len(flow.requests) >= self.limits.max_requests_per_flow:
            raise errors.DatagramError("too_many_requests")
        flow.requests[fragment.request_id] = state
        if fragment.request_id <= flow.forgotten_id:
            self._finish(state, outcomes.Unknown("forgotten"), now_ms)
        elif self.state != membership.UP:
            self._finish(state, outcomes.NotRun(self.state), now_ms)
        return state

    def _acknowledge(
        self, flow: flows.Flow, request_id: int, count: int
    ) -> None:
        """Acknowledges every fragment of a complete request."""
        bitmap = b"\xff" * ((count + 7) // 8)
        ack = messages.FragmentAck(request_id, bitmap)
        self._reply(flow, _Kind.REQUEST_ACK, ack)

    def _enqueue(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> None:
        assert state.receiver is not None
        state.body = state.receiver.body()
        state.receiver = None
        if not self._queue.push(flow.caller_name, state):
            self._finish(state, outcomes.NotRun("overloaded"), now_ms)

    def _start_runs(self, now_ms: int) -> None:
        while self.admission.may_start(now_ms):
            state = self._queue.pop()
            if state is None:
                return
            if state.outcome is not None:
                continue
            if state.deadline_at_ms <= now_ms:
                self._finish(state, outcomes.NotRun("deadline"), now_ms)
                continue
            self._start_run(state, now_ms)

    def _start_run(self, state: flows.RequestState, now_ms: int) -> None:
        flow = self.flows.get(state.flow_key)
        if flow is None:
            return
        state.run_id = self._next_run_id
        state.started_ms = now_ms
        self._next_run_id += 1
        self._runs[state.run_id] = state
        self.admission.started(now_ms)
        self._out.append(
            actions.StartRun(
                run_id=state.run_id,
                request_id=state.request_id,
                caller=flow.caller_name,
                method=state.method,
                path=state.path,
                body=state.body,
                deadline_ms=state.deadline_at_ms - now_ms,
            )
        )
        state.body = b""

    def _on_run_finished(self, event: RunFinished, now_ms: int) -> None:
        state = self._runs.pop(event.run_id, None)
        if state is None:
            return
        self.admission.finished(
            now_ms,
            duration_ms=now_ms - (state.started_ms or now_ms),
            shed=event.shed,
            failed=event.failed,
        )
        if state.outcome is None:
            self._finish(state, event.outcome, now_ms)

    def _finish(
        self,
        state: flows.RequestState,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        """Stores the outcome and begins to send it to the caller."""
        state.outcome = outcome
        state.receiver = None
        state.body = b""
        state.finished_ms = now_ms
        body = outcome.body if isinstance(outcome, outcomes.Answered) else b""
        state.sender = transfer.FragmentSender(body)
        self._responding[(state.flow_key, state.request_id)] = state
        self.counters[f"requests_{type(outcome).__name__.lower()}"] += 1
        flow = self.flows.get(state.flow_key)
        if flow is not None:
            self._send_response(flow, state, now_ms)

    def _send_response(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> None:
        assert state.sender is not None
        for index in state.sender.due(now_ms):
            self._send_fragment(flow, state, index)

    def _send_fragment(
        self, flow: flows.Flow, state: flows.RequestState, index: int
    ) -> None:
        assert state.sender is not None
        code, status, reason = _encode_outcome(state.outcome)
        response = messages.Response(
            request_id=state.request_id,
            fragment_index=index,
            fragment_count=state.sender.count,
            body_hash=state.sender.body_hash,
            outcome=code,
            status=status,
            reason=reason,
            payload=state.sender.fragments[index],
        )
        self._reply(flow, _Kind.RESPONSE, response)

    def _repeat_response(
        self, flow: flows.Flow, state: flows.RequestState
    ) -> None:
        """Repeats the first fragment; the caller asks for what it lacks."""
        self._send_fragment(flow, state, 0)

    def _on_response_ack(
        self, flow: flows.Flow, ack: messages.FragmentAck
    ) -> None:
        state = flow.requests.get(ack.request_id)
        if state is None or state.sender is None:
            return
        state.sender.acknowledge(ack.bitmap)
        if state.sender.is_done:
            self._responding.pop((flow.flow_key, ack.request_id), None)

    def _on_cancel(
        self, flow: flows.Flow, cancel: messages.Cancel, now_ms: int
    ) -> None:
        state = flow.requests.get(cancel.request_id)
        if state is None or state.outcome is not None:
            return
        if state.run_id is None:
            self._finish(state, outcomes.NotRun("cancelled"), now_ms)
            return
        self._out.append(actions.CancelRun(state.run_id))
        self._finish(state, outcomes.Unknown("cancelled"), now_ms)

    # Time and changes of state.

    def _on_tick(self, now_ms: int) -> None:
        for key, state in list(self._responding.items()):
            flow = self.flows.get(state.flow_key)
            if flow is None:
                del self._responding[key]
                continue
            self._send_response(flow, state, now_ms)
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + 250
            self._sweep(now_ms)

    def _sweep(self, now_ms: int) -> None:
        for flow in list(self.flows.values()):
            if now_ms - flow.heard_ms > self.limits.flow_idle_timeout_ms:
                self._close(flow)
                self.counters["flows_expired"] += 1
                continue
            self._evict_replies(flow, now_ms)
            if self.state != membership.UP:
                self._send_move(flow, now_ms)

    def _evict_replies(self, flow: flows.Flow, now_ms: int) -> None:
        for state in list(flow.requests.values()):
            finished_ms = state.finished_ms
            if finished_ms is None:
                continue
            if now_ms - finished_ms > self.limits.reply_cache_ttl_ms:
                del flow.requests[state.request_id]
                flow.forgotten_id = max(flow.forgotten_id, state.request_id)
                self._responding.pop((flow.flow_key, state.request_id), None)

    def _send_move(self, flow: flows.Flow, now_ms: int) -> None:
        sent_ms = flow.move_sent_ms
        if sent_ms is not None and now_ms - sent_ms < (
            self.limits.move_repeat_ms
        ):
            return
        flow.move_sent_ms = now_ms
        move = messages.Move(
            reason=self.state, within_ms=self.limits.move_within_ms
        )
        self._reply(flow, _Kind.MOVE, move)

    def _on_drain(self, now_ms: int) -> None:
        if self.state != membership.UP:
            return
        self.state = membership.DRAINING
        self._out.append(actions.LogState("agent_draining", {}))
        for flow in self.flows.values():
            for state in flow.requests.values():
                if state.outcome is None and state.run_id is None:
                    self._finish(state, outcomes.NotRun(self.state), now_ms)
            self._send_move(flow, now_ms)

    def _on_withdraw(self, out: bool) -> None:
        if out == self.withdrawn:
            return
        self.withdrawn = out
        self._out.append(
            actions.LogState("data_centre_withdrawn", {"out": out})
        )
        if not out:
            return
        for flow in list(self.flows.values()):
            reset = messages.Reset("data_centre_withdrawn")
            self._reply(flow, _Kind.RESET, reset)
            self._close(flow)

    def _close(self, flow: flows.Flow) -> None:
        """Forgets a flow and cancels what still runs for it."""
        del self.flows[flow.flow_key]
        for state in flow.requests.values():
            if state.run_id is not None and state.outcome is None:
                self._out.append(actions.CancelRun(state.run_id))

    # Sending.

    def _reply(
        self, flow: flows.Flow, kind: int, body: tuple[object, ...]
    ) -> None:
        data = wire.encode_caller(
            kind, flow.flow_key, body, flow_token=flow.token
        )
        self._relay(flow.balancer, flow.caller, data)

    def _relay(
        self,
        balancer: messages.Address,
        caller: messages.Address,
        data: bytes,
    ) -> None:
        self._send_peer(
            balancer, _Kind.RELAY, wire.encode_forward(caller, data)
        )

    def _send_peer(
        self, address: messages.Address, kind: int, body: bytes
    ) -> None:
        data = wire.encode_peer(kind, body, self.ring)
        self._out.append(actions.SendPeer(address, data))


def _encode_outcome(
    outcome: outcomes.Outcome | None,
) -> tuple[int, int, str]:
    """Returns code, HTTP status and reason of an outcome."""
    match outcome:
        case outcomes.Answered(status=status):
            return messages.OutcomeCode.ANSWERED, status, ""
        case outcomes.NotRun(reason=reason):
            return messages.OutcomeCode.NOT_RUN, 0, reason
        case outcomes.Unknown(reason=reason):
            return messages.OutcomeCode.UNKNOWN, 0, reason
    raise ValueError("a request without an outcome has no response")
