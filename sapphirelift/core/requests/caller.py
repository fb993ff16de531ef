"""State machine of a caller: flows, requests, retries and moves.

Its inputs are commands, datagrams and ticks; its outputs are datagrams to send
and notices. It performs no I/O.
"""

import collections
import dataclasses
import random

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core.flows import token
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import retries
from sapphirelift.core.requests import transfer

_Kind = messages.Kind

OPEN_RETRY_MS = 150
MAX_OPEN_RETRY_MS = 1000
PING_INTERVAL_MS = 1000
# A flow that has been silent this long is pinged at the shorter interval. With
# one ping a second, a network that still routed half of the packets to a failed
# balancer made a working flow look silent in about 1 of 60 timeout windows.
PROBE_AFTER_SILENCE_MS = 1500
PROBE_INTERVAL_MS = 250
FLOW_SILENCE_TIMEOUT_MS = 6000
CLOSE_LINGER_MS = 2000
RETRY_DELAY_MS = 50
# At the deadline a request is cancelled, and its owner reports whether it ran.
# Longer than the time that an agent waits for the outcome of a transferred
# request (``outgoing_runs.OUTCOME_GRACE_MS``).
OUTCOME_GRACE_MS = 300
CANCEL_REPEAT_MS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagram:
    """Sends a datagram to any balancer."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDone:
    """A request has ended with an outcome."""

    request_id: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class FlowOpened:
    """The session has an open flow; ``moved`` if it replaced another one."""

    session_id: int
    owner: str
    moved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FlowBroken:
    """The session lost its flow without a move; a new flow is opened."""

    session_id: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FlowRefused:
    """A flow could not be opened; the attempt is repeated."""

    session_id: int
    reason: str


Notice = RequestDone | FlowOpened | FlowBroken | FlowRefused
Output = SendDatagram | Notice


@dataclasses.dataclass(slots=True)
class _Flow:
    flow_key: bytes
    session_id: int
    flow_token: bytes = token.NO_TOKEN
    owner: str = ""
    attempt: int = 0
    open_due_ms: int = 0
    last_received_ms: int = 0
    ping_due_ms: int = 0
    closing_ms: int | None = None

    @property
    def is_open(self) -> bool:
        return self.flow_token != token.NO_TOKEN


@dataclasses.dataclass(slots=True)
class _Request:
    request_id: int
    session_id: int
    method: str
    path: str
    body: bytes
    idempotent: bool
    deadline_at_ms: int
    wire_id: int = 0
    flow_key: bytes | None = None
    sender: transfer.FragmentSender | None = None
    receiver: transfer.FragmentReceiver | None = None
    not_before_ms: int = 0
    cancel_due_ms: int | None = None
    may_have_run: bool = False


@dataclasses.dataclass(slots=True)
class _Session:
    session_id: int
    service: str
    current: bytes | None = None
    successor: bytes | None = None
    waiting: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )


class CallerCore:
    """State machine of one caller with any number of sessions.

    A session is the user's handle; it persists while the flows that carry it
    are replaced.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        budget: retries.RetryBudget | None = None,
    ) -> None:
        self._rng = rng
        self._budget = budget or retries.RetryBudget()
        self._sessions: dict[int, _Session] = {}
        self._flows: dict[bytes, _Flow] = {}
        self._requests: dict[int, _Request] = {}
        self._request_ids_by_wire_id: dict[int, int] = {}
        self._next_id = 1
        self._next_wire_id = 1
        self._out: list[Output] = []
        self.counters: collections.Counter[str] = collections.Counter()

    def open_session(
        self, service: str, *, now_ms: int
    ) -> tuple[int, list[Output]]:
        """Opens a session to a service; returns its id and the outputs."""
        self._out = []
        session = _Session(self._allocate_id(), service)
        self._sessions[session.session_id] = session
        session.current = self._open_flow(session, now_ms)
        return session.session_id, self._out

    def close_session(self, session_id: int, *, now_ms: int) -> list[Output]:
        """Closes a session; its pending requests end as not run or unknown."""
        self._out = []
        session = self._sessions.pop(session_id, None)
        if session is None:
            return self._out
        for request in list(self._requests.values()):
            if request.session_id == session_id:
                self._give_up(request, "closed")
        for flow_key in (session.current, session.successor):
            if flow_key is not None:
                self._close_flow(flow_key, now_ms)
        return self._out

    def start_request(
        self,
        session_id: int,
        *,
        method: str,
        path: str,
        body: bytes = b"",
        idempotent: bool,
        deadline_ms: int,
        now_ms: int,
    ) -> tuple[int, list[Output]]:
        """Starts a request; returns its id and the outputs."""
        self._out = []
        if len(body) > transfer.MAX_BODY_BYTES:
            raise ValueError(
                f"body of {len(body)} bytes; the limit is "
                f"{transfer.MAX_BODY_BYTES}"
            )
        request = _Request(
            request_id=self._allocate_id(),
            session_id=session_id,
            method=method,
            path=path,
            body=body,
            idempotent=idempotent,
            deadline_at_ms=now_ms + deadline_ms,
        )
        self._requests[request.request_id] = request
        self._sessions[session_id].waiting.append(request.request_id)
        self._budget.deposit()
        self._dispatch(self._sessions[session_id], now_ms)
        return request.request_id, self._out

    def receive(self, data: bytes, *, now_ms: int) -> list[Output]:
        """Handles a datagram from a balancer."""
        self._out = []
        try:
            datagram = wire.decode_caller(data)
            flow = self._flows.get(datagram.flow_key)
            if flow is None:
                self._close_unwanted_flow(datagram)
            else:
                self._on_datagram(flow, datagram, now_ms)
        except errors.DatagramError as error:
            self.counters[f"dropped_{error.reason}"] += 1
        return self._out

    def tick(self, now_ms: int) -> list[Output]:
        """Runs all timers: retransmissions, pings, retries and timeouts."""
        self._out = []
        for flow in list(self._flows.values()):
            self._tick_flow(flow, now_ms)
        for request in list(self._requests.values()):
            self._tick_request(request, now_ms)
        for session in list(self._sessions.values()):
            if session.waiting:
                self._dispatch(session, now_ms)
        return self._out

    # Flows.

    def _allocate_id(self) -> int:
        self._next_id += 1
        return self._next_id - 1

    def _open_flow(self, session: _Session, now_ms: int) -> bytes:
        flow = _Flow(
            flow_key=self._rng.randbytes(wire.FLOW_KEY_BYTES),
            session_id=session.session_id,
            last_received_ms=now_ms,
        )
        self._flows[flow.flow_key] = flow
        self._send_open(flow, session, now_ms)
        return flow.flow_key

    def _send_open(self, flow: _Flow, session: _Session, now_ms: int) -> None:
        body = messages.Open(session.service, flow.attempt)
        self._send(flow, _Kind.OPEN, body)
        delay_ms = OPEN_RETRY_MS << min(flow.attempt, 4)
        delay_ms = min(delay_ms, MAX_OPEN_RETRY_MS)
        flow.open_due_ms = now_ms + delay_ms + self._rng.randrange(50)
        flow.attempt += 1

    def _tick_flow(self, flow: _Flow, now_ms: int) -> None:
        session = self._sessions.get(flow.session_id)
        if flow.closing_ms is not None:
            if now_ms - flow.closing_ms > CLOSE_LINGER_MS:
                self._flows.pop(flow.flow_key, None)
            return
        if session is None:
            self._flows.pop(flow.flow_key, None)
        elif not flow.is_open:
            if flow.open_due_ms <= now_ms:
                self._send_open(flow, session, now_ms)
        elif now_ms - flow.last_received_ms > FLOW_SILENCE_TIMEOUT_MS:
            self._replace_lost_flow(flow, "silent", now_ms)
        elif flow.ping_due_ms <= now_ms:
            silent = now_ms - flow.last_received_ms > PROBE_AFTER_SILENCE_MS
            interval_ms = PROBE_INTERVAL_MS if silent else PING_INTERVAL_MS
            flow.ping_due_ms = now_ms + interval_ms
            self._send(flow, _Kind.PING, messages.Ping(0))
        if session is not None and session.successor is not None:
            self._close_if_idle(flow, session, now_ms)

    def _close_flow(self, flow_key: bytes, now_ms: int) -> None:
        flow = self._flows.get(flow_key)
        if flow is None or flow.closing_ms is not None:
            return
        if flow.is_open:
            self._send(flow, _Kind.CLOSE, messages.Close("done"))
        flow.closing_ms = now_ms

    def _close_if_idle(
        self, flow: _Flow, session: _Session, now_ms: int
    ) -> None:
        """Completes a move when the old flow has no requests left."""
        successor = self._flows.get(session.successor or b"")
        if flow.flow_key != session.current or successor is None:
            return
        busy = any(
            request.flow_key == flow.flow_key
            for request in self._requests.values()
        )
        if successor.is_open and not busy:
            self._close_flow(flow.flow_key, now_ms)
            session.current, session.successor = session.successor, None

    def _replace_lost_flow(self, flow: _Flow, reason: str, now_ms: int) -> None:
        """Replaces a flow that was reset or has timed out."""
        self._flows.pop(flow.flow_key, None)
        session = self._sessions.get(flow.session_id)
        for request in list(self._requests.values()):
            if request.flow_key == flow.flow_key:
                self._on_lost_request(request, reason, now_ms)
        if session is None:
            return
        if session.successor == flow.flow_key:
            session.successor = self._open_flow(session, now_ms)
            return
        if session.current != flow.flow_key:
            return
        successor = self._flows.get(session.successor or b"")
        if successor is not None:
            session.current, session.successor = successor.flow_key, None
            if successor.is_open:
                return
        else:
            session.current = self._open_flow(session, now_ms)
        self.counters["flows_broken"] += 1
        self._out.append(FlowBroken(session.session_id, reason))

    # Datagrams.

    def _close_unwanted_flow(self, datagram: wire.CallerDatagram) -> None:
        """Asks the owner to close a flow that this caller no longer uses.

        An earlier CLOSE may have been lost, and a draining agent waits for it.
        """
        if datagram.kind in (_Kind.ACCEPT, _Kind.MOVE):
            self._out.append(
                SendDatagram(
                    wire.encode_caller(
                        _Kind.CLOSE,
                        datagram.flow_key,
                        messages.Close("not_wanted"),
                        flow_token=datagram.token,
                    )
                )
            )

    def _on_datagram(
        self, flow: _Flow, datagram: wire.CallerDatagram, now_ms: int
    ) -> None:
        if datagram.kind == _Kind.ACCEPT:
            self._on_accept(flow, datagram, now_ms)
            return
        if datagram.kind == _Kind.REFUSE:
            self._on_refuse(flow, datagram.body, now_ms)
            return
        # A flow that is not yet open has no token to compare.
        if not flow.is_open or datagram.token != flow.flow_token:
            raise errors.DatagramError("token_mismatch")
        flow.last_received_ms = now_ms
        match datagram.kind:
            case _Kind.REQUEST_ACK:
                self._on_request_ack(datagram.body)
            case _Kind.RESPONSE:
                self._on_response(flow, datagram.body, now_ms)
            case _Kind.PONG:
                pass
            case _Kind.MOVE if flow.closing_ms is not None:
                self._close_unwanted_flow(datagram)
            case _Kind.MOVE:
                self._on_move(flow, now_ms)
            case _Kind.RESET:
                if flow.closing_ms is None:
                    self._replace_lost_flow(flow, datagram.body.reason, now_ms)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _on_accept(
        self, flow: _Flow, datagram: wire.CallerDatagram, now_ms: int
    ) -> None:
        if datagram.token == token.NO_TOKEN:
            raise errors.DatagramError("no_token")
        if flow.is_open:
            if datagram.token != flow.flow_token:
                self._close_unwanted_flow(datagram)
            return
        flow.flow_token = datagram.token
        flow.owner = datagram.body.owner
        flow.last_received_ms = now_ms
        flow.ping_due_ms = now_ms + PING_INTERVAL_MS
        session = self._sessions.get(flow.session_id)
        if session is None or flow.closing_ms is not None:
            self._close_unwanted_flow(datagram)
            return
        moved = session.successor == flow.flow_key
        self._out.append(FlowOpened(session.session_id, flow.owner, moved))
        self._dispatch(session, now_ms)

    def _on_refuse(
        self, flow: _Flow, refuse: messages.Refuse, now_ms: int
    ) -> None:
        if flow.is_open:
            return
        delay_ms = refuse.retry_after_ms
        flow.open_due_ms = now_ms + delay_ms + self._rng.randrange(100)
        self._out.append(FlowRefused(flow.session_id, refuse.reason))

    def _on_move(self, flow: _Flow, now_ms: int) -> None:
        session = self._sessions.get(flow.session_id)
        if session is None or flow.closing_ms is not None:
            return
        if session.current == flow.flow_key and session.successor is None:
            session.successor = self._open_flow(session, now_ms)
        elif session.successor == flow.flow_key:
            # The successor is being drained too: replace it.
            self._close_flow(flow.flow_key, now_ms)
            session.successor = self._open_flow(session, now_ms)

    # Requests.

    def _usable_flow(self, session: _Session) -> _Flow | None:
        """Returns the open flow for new requests: the successor in a move."""
        flow = self._flows.get(session.successor or session.current or b"")
        return flow if flow is not None and flow.is_open else None

    def _dispatch(self, session: _Session, now_ms: int) -> None:
        flow = self._usable_flow(session)
        if flow is None:
            return
        for _ in range(len(session.waiting)):
            request = self._requests.get(session.waiting.popleft())
            if request is None:
                continue
            if request.not_before_ms > now_ms:
                session.waiting.append(request.request_id)
                continue
            self._start_attempt(request, flow, now_ms)

    def _start_attempt(
        self, request: _Request, flow: _Flow, now_ms: int
    ) -> None:
        """Sends a request on a flow with a new wire id."""
        request.wire_id = self._next_wire_id
        self._next_wire_id += 1
        self._request_ids_by_wire_id[request.wire_id] = request.request_id
        request.flow_key = flow.flow_key
        request.sender = transfer.FragmentSender(request.body)
        request.receiver = None
        self._send_request(request, flow, now_ms)

    def _send_request(
        self, request: _Request, flow: _Flow, now_ms: int
    ) -> None:
        assert request.sender is not None
        for index in request.sender.due(now_ms):
            fragment = messages.Request(
                request_id=request.wire_id,
                fragment_index=index,
                fragment_count=request.sender.count,
                body_hash=request.sender.body_hash,
                deadline_ms=max(0, request.deadline_at_ms - now_ms),
                idempotent=request.idempotent,
                method=request.method,
                path=request.path,
                payload=request.sender.fragments[index],
            )
            self._send(flow, _Kind.REQUEST, fragment)

    def _tick_request(self, request: _Request, now_ms: int) -> None:
        flow = self._flows.get(request.flow_key or b"")
        if request.deadline_at_ms <= now_ms:
            self._tick_expired_request(request, flow, now_ms)
            return
        if flow is not None and request.sender is not None:
            self._send_request(request, flow, now_ms)

    def _tick_expired_request(
        self, request: _Request, flow: _Flow | None, now_ms: int
    ) -> None:
        """Cancels a request past its deadline and awaits its outcome."""
        grace_end_ms = request.deadline_at_ms + OUTCOME_GRACE_MS
        if flow is None or request.sender is None or grace_end_ms <= now_ms:
            self._give_up(request, "deadline")
        elif request.cancel_due_ms is None or request.cancel_due_ms <= now_ms:
            request.cancel_due_ms = now_ms + CANCEL_REPEAT_MS
            self._send(flow, _Kind.CANCEL, messages.Cancel(request.wire_id))

    def _on_request_ack(self, ack: messages.FragmentAck) -> None:
        request = self._request_by_wire_id(ack.request_id)
        if request is not None and request.sender is not None:
            request.sender.acknowledge(ack.bitmap)

    def _request_by_wire_id(self, wire_id: int) -> _Request | None:
        request_id = self._request_ids_by_wire_id.get(wire_id)
        return None if request_id is None else self._requests.get(request_id)

    def _on_response(
        self, flow: _Flow, fragment: messages.Response, now_ms: int
    ) -> None:
        request = self._request_by_wire_id(fragment.request_id)
        if request is None or request.flow_key != flow.flow_key:
            self._acknowledge_all(flow, fragment)
            return
        if request.receiver is None:
            request.receiver = transfer.FragmentReceiver(
                count=fragment.fragment_count, expected_hash=fragment.body_hash
            )
        request.receiver.add(
            index=fragment.fragment_index,
            count=fragment.fragment_count,
            expected_hash=fragment.body_hash,
            payload=fragment.payload,
        )
        ack = messages.FragmentAck(fragment.request_id, request.receiver.bitmap)
        self._send(flow, _Kind.RESPONSE_ACK, ack)
        if request.receiver.is_complete:
            outcome = _decode_outcome(fragment, request.receiver.body())
            self._on_outcome(request, outcome, now_ms)

    def _acknowledge_all(
        self, flow: _Flow, fragment: messages.Response
    ) -> None:
        """Stops the retransmission of a response that is no longer needed."""
        bitmap = b"\xff" * ((fragment.fragment_count + 7) // 8)
        ack = messages.FragmentAck(fragment.request_id, bitmap)
        self._send(flow, _Kind.RESPONSE_ACK, ack)

    def _on_outcome(
        self, request: _Request, outcome: outcomes.Outcome, now_ms: int
    ) -> None:
        flow = self._flows.get(request.flow_key or b"")
        is_moving = outcome == outcomes.NotRun("draining")
        if flow is not None and is_moving:
            # The MOVE that accompanies this outcome may have been lost.
            self._on_move(flow, now_ms)
        # A retry after a move goes to another agent and adds no load to the
        # one that refused, so it is exempt from the retry budget. With the
        # budget, draining 300 flows of one caller led to refused requests in
        # 1 of 4 runs.
        if isinstance(outcome, outcomes.NotRun) and (
            self._may_retry(request, now_ms, is_budgeted=not is_moving)
        ):
            self._retry(request, now_ms)
            return
        self._finish(request, outcome)

    def _on_lost_request(
        self, request: _Request, reason: str, now_ms: int
    ) -> None:
        """Retries or ends a request that may have run on a lost flow."""
        request.may_have_run = True
        if request.idempotent and self._may_retry(request, now_ms):
            self._retry(request, now_ms)
        else:
            self._finish(request, outcomes.Unknown(reason))

    def _may_retry(
        self, request: _Request, now_ms: int, *, is_budgeted: bool = True
    ) -> bool:
        return (
            request.session_id in self._sessions
            and now_ms + RETRY_DELAY_MS < request.deadline_at_ms
            and (not is_budgeted or self._budget.withdraw())
        )

    def _retry(self, request: _Request, now_ms: int) -> None:
        self.counters["retries"] += 1
        self._request_ids_by_wire_id.pop(request.wire_id, None)
        request.flow_key = None
        request.sender = None
        request.receiver = None
        jitter_ms = self._rng.randrange(RETRY_DELAY_MS)
        request.not_before_ms = now_ms + RETRY_DELAY_MS // 2 + jitter_ms
        session = self._sessions[request.session_id]
        session.waiting.append(request.request_id)

    def _give_up(self, request: _Request, reason: str) -> None:
        """Ends a request without an answer and cancels it if it has a flow."""
        flow = self._flows.get(request.flow_key or b"")
        if flow is not None:
            self._send(flow, _Kind.CANCEL, messages.Cancel(request.wire_id))
        if request.sender is None:
            self._finish(request, outcomes.NotRun(reason))
        else:
            self._finish(request, outcomes.Unknown(reason))

    def _finish(self, request: _Request, outcome: outcomes.Outcome) -> None:
        """Ends a request.

        A refusal applies to the last attempt only; an earlier attempt may
        have run on a flow that was lost.
        """
        if request.may_have_run and isinstance(outcome, outcomes.NotRun):
            outcome = outcomes.Unknown(outcome.reason)
        self._requests.pop(request.request_id, None)
        self._request_ids_by_wire_id.pop(request.wire_id, None)
        self.counters[f"requests_{type(outcome).__name__.lower()}"] += 1
        self._out.append(RequestDone(request.request_id, outcome))

    def _send(self, flow: _Flow, kind: int, body: tuple[object, ...]) -> None:
        data = wire.encode_caller(
            kind, flow.flow_key, body, flow_token=flow.flow_token
        )
        self._out.append(SendDatagram(data))


def _decode_outcome(
    fragment: messages.Response, body: bytes
) -> outcomes.Outcome:
    match fragment.outcome:
        case messages.OutcomeCode.ANSWERED:
            return outcomes.Answered(fragment.status, body)
        case messages.OutcomeCode.NOT_RUN:
            return outcomes.NotRun(fragment.reason)
        case _:
            return outcomes.Unknown(fragment.reason)
