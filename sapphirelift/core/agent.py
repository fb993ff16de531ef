"""State machine of an agent: flows, requests and its backend server.

Its inputs are events such as datagrams, finished runs and ticks; its outputs
are actions.
"""

import collections
import dataclasses
import random
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core import limits as limits_module
from sapphirelift.core import outbox
from sapphirelift.core.flows import balance
from sapphirelift.core.flows import flows
from sapphirelift.core.flows import hand_on
from sapphirelift.core.flows import load
from sapphirelift.core.flows import token
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import requests

_Kind = messages.Kind
PLAIN_KINDS = frozenset(
    (_Kind.PLAIN, _Kind.PLAIN_ASK, _Kind.PLAIN_OWNED, _Kind.PLAIN_RETURN)
)


class AgentIdentity(NamedTuple):
    """Name, address and incarnation of an agent, and the service it serves."""

    name: str
    address: messages.Address
    incarnation: int
    service: str
    data_centre: str


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
    """The agent is going to stop.

    It finishes the requests that run and moves every flow to another agent.
    """

    reason: str = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """The agent accepts work again after a drain, as a new incarnation."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewLimits:
    """The limits change; a ramp in progress continues."""

    limits: limits_module.AgentLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The agent's data centre is withdrawn, or returned if ``out`` is False."""

    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """The backend server accepts no connections; it has to ramp up again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseFlows:
    """The agent is about to exit and gives up its remaining plain flows."""


Event = (
    PeerDatagram
    | RunFinished
    | Tick
    | Drain
    | Resume
    | NewLimits
    | Withdraw
    | BackendUnreachable
    | ReleaseFlows
)


class AgentCore:
    """State machine of one agent."""

    def __init__(
        self,
        identity: AgentIdentity,
        *,
        limits: limits_module.AgentLimits,
        ring: keys.KeyRing,
        members: membership.Membership | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.ring = ring
        self.state = membership.UP
        self.withdrawn = False
        self.flows: dict[bytes, flows.Flow] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._out = outbox.Outbox(
            ring,
            return_path=(members or membership.Membership()).return_path,
        )
        self.requests = requests.Requests(
            limits=limits,
            flow_table=self.flows,
            out=self._out,
            counters=self.counters,
        )
        self.balance = balance.Balance(
            balance.Identity(
                identity.name,
                identity.service,
                identity.address,
                identity.incarnation,
            ),
            members=members or membership.Membership(),
            rng=rng or random.Random(identity.incarnation),
            out=self._out,
            counters=self.counters,
            local=self.requests,
            slots=limits.slots,
            local_load=self._local_load,
            refusal_reason=lambda: (
                "" if self._is_serving() else self._refusal_reason()
            ),
        )
        self.plain_flows = hand_on.PlainFlowTable(
            address=identity.address,
            service=identity.service,
            out=self._out,
            admission=self.requests.admission,
            counters=self.counters,
        )
        self._key_move_ms = 0
        self._migrated_ring_version = ring.version
        self._next_serial = 1
        self._service_id = keys.service_id(identity.service)
        self._sweep_ms = 0

    def handle(self, event: Event, *, now_ms: int) -> list[actions.Action]:
        """Handles one event and returns the resulting actions."""
        try:
            match event:
                case PeerDatagram():
                    self._on_peer_datagram(event, now_ms)
                case RunFinished(run_id, outcome, shed, failed):
                    # Runs of plain datagrams have negative ids.
                    owner = (
                        self.requests if run_id > 0 else self.plain_flows.runs
                    )
                    owner.on_run_finished(
                        run_id,
                        outcome,
                        shed=shed,
                        failed=failed,
                        now_ms=now_ms,
                    )
                case Tick():
                    self._on_tick(now_ms)
                case Drain():
                    self._on_drain(now_ms)
                case Resume(incarnation):
                    self._on_resume(incarnation, now_ms)
                case NewLimits(limits):
                    self.limits = limits
                    self.requests.set_limits(limits)
                case Withdraw(out=out):
                    self._on_withdraw(out, now_ms)
                case BackendUnreachable():
                    self.requests.admission.restart(now_ms)
                case ReleaseFlows():
                    self.plain_flows.release()
        except errors.DatagramError as error:
            self.counters[f"dropped_{error.reason}"] += 1
        self.requests.start_runs(now_ms)
        self.plain_flows.runs.start(now_ms)
        self.balance.observe(now_ms)
        return self._out.take()

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
            case (
                _Kind.LOAD
                | _Kind.RUN
                | _Kind.RUN_ACK
                | _Kind.RUN_RESULT
                | _Kind.RUN_RESULT_ACK
                | _Kind.RUN_CANCEL
            ):
                self.balance.on_datagram(
                    event.kind, event.body, event.sender, now_ms
                )
            case kind if kind in PLAIN_KINDS:
                self.plain_flows.handle(kind, event.body, event.sender, now_ms)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _local_load(self, now_ms: int, utilisation: float) -> load.LocalLoad:
        return load.LocalLoad(
            state=self.state if not self.withdrawn else "withdrawn",
            busy=self.requests.running,
            limit=self.requests.admission.limit(now_ms),
            queued=self.requests.queued,
            utilisation=utilisation,
            flows=len(self.flows),
            slots=self.limits.slots,
        )

    def _on_open(self, forward: messages.OpenForward, now_ms: int) -> None:
        datagram = wire.decode_caller(forward.datagram)
        if datagram.kind != _Kind.OPEN:
            raise errors.DatagramError("unexpected_kind")
        if datagram.body.service != self.identity.service:
            raise errors.DatagramError("wrong_service")
        flow = self.flows.get(datagram.flow_key)
        if flow is None:
            # An OPEN that an agent has forwarded is not forwarded again to
            # balance the load.
            preferred = None
            if self._may_accept() and forward.hops == 0:
                preferred = self.balance.place_flow(forward.candidates, now_ms)
            if preferred is not None or not self._may_accept():
                self._forward_open(forward, datagram, preferred)
                return
        if flow is None:
            flow = self._accept(datagram, forward, now_ms)
        accept = messages.Accept(
            owner=self.identity.name,
            max_requests=self.limits.max_requests_per_flow,
        )
        self._out.reply(flow, _Kind.ACCEPT, accept)

    def _may_accept(self) -> bool:
        return self._is_serving() and len(self.flows) < self.limits.max_flows

    def _is_serving(self) -> bool:
        return self.state == membership.UP and not self.withdrawn

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
            last_heard_ms=now_ms,
            key_id=self.ring.current_id,
        )
        self.flows[flow.flow_key] = flow
        self.counters["flows_accepted"] += 1
        return flow

    def _forward_open(
        self,
        forward: messages.OpenForward,
        datagram: wire.CallerDatagram,
        preferred: messages.Address | None = None,
    ) -> None:
        """Forwards an OPEN to a candidate, or refuses it if none is left."""
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
            self._out.relay(forward.balancer, forward.caller, data)
            self.counters["flows_refused"] += 1
            return
        chosen = preferred or remaining[0]
        remaining.remove(chosen)
        forwarded = forward._replace(
            hops=forward.hops + 1, candidates=remaining
        )
        body = wire.encode_body(forwarded)
        self._out.send_peer(chosen, _Kind.OPEN_FORWARD, body)
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
            self._reset_foreign_flow(datagram, caller, balancer)
            return
        flow.caller = caller
        flow.balancer = balancer
        flow.last_heard_ms = now_ms
        match datagram.kind:
            case _Kind.REQUEST:
                self.requests.on_fragment(flow, datagram.body, now_ms)
                if self.state != membership.UP:
                    self._send_move(flow, now_ms)
            case _Kind.RESPONSE_ACK:
                self.requests.on_response_ack(flow, datagram.body)
            case _Kind.CANCEL:
                self.requests.on_cancel(flow, datagram.body, now_ms)
            case _Kind.PING:
                self._out.reply(
                    flow, _Kind.PONG, messages.Pong(datagram.body.sequence)
                )
            case _Kind.CLOSE:
                self._close(flow, now_ms)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _reset_foreign_flow(
        self,
        datagram: wire.CallerDatagram,
        caller: messages.Address,
        balancer: messages.Address,
    ) -> None:
        """Resets the flow of a packet that this incarnation does not own.

        Raises:
            TokenError: The token is not valid.
            DatagramError: The token belongs to another service.
        """
        owner = token.unseal(datagram.token, datagram.flow_key, self.ring)
        if owner.service_id != self._service_id:
            raise errors.DatagramError("wrong_service")
        if datagram.kind == _Kind.CLOSE:
            return
        reason = "unknown_flow"
        if owner.incarnation != self.identity.incarnation:
            reason = "stale_incarnation"
        data = wire.encode_caller(
            _Kind.RESET,
            datagram.flow_key,
            messages.Reset(reason),
            flow_token=datagram.token,
        )
        self._out.relay(balancer, caller, data)
        self.counters[f"resets_{reason}"] += 1

    @property
    def is_idle(self) -> bool:
        """Whether no work in progress needs ticks; flows may be open."""
        return (
            self.state == membership.UP
            and self.requests.is_idle
            and self.balance.pending == 0
            and self.plain_flows.is_idle
        )

    # Timers and state changes.

    def _on_tick(self, now_ms: int) -> None:
        self.requests.expire(now_ms)
        self.requests.send_responses(now_ms)
        self.balance.tick(now_ms)
        self.plain_flows.tick(now_ms)
        self._move_flow_with_former_key(now_ms)
        if now_ms >= self._sweep_ms:
            self._sweep_ms = now_ms + 250
            self._sweep(now_ms)

    def _sweep(self, now_ms: int) -> None:
        for flow in list(self.flows.values()):
            if now_ms - flow.last_heard_ms > self._flow_timeout_ms(flow):
                self._close(flow, now_ms)
                self.counters["flows_expired"] += 1
                continue
            if self.state != membership.UP:
                self._send_move(flow, now_ms)

    def _flow_timeout_ms(self, flow: flows.Flow) -> int:
        """Returns the time without a packet after which a flow is closed.

        While the agent drains, the timeout is shorter for flows without
        unfinished requests, so that it does not wait for callers that are
        gone and still interrupts no request.
        """
        timeout_ms = self.limits.flow_idle_timeout_ms
        if self.state != membership.UP and not flow.unfinished:
            return min(timeout_ms, self.limits.drain_silence_ms)
        return timeout_ms

    def _move_flow_with_former_key(self, now_ms: int) -> None:
        """Sends a MOVE for one flow whose token is signed with a former key.

        The token becomes invalid when that key is retired. Flows without an
        earlier MOVE come first, then those with the oldest one.
        """
        if (
            self._migrated_ring_version == self.ring.version
            or now_ms < self._key_move_ms
            or not self._is_serving()
        ):
            return
        self._key_move_ms = now_ms + self.limits.key_move_interval_ms
        outdated = [
            flow
            for flow in self.flows.values()
            if flow.key_id != self.ring.current_id
        ]
        if not outdated:
            self._migrated_ring_version = self.ring.version
            return
        flow = min(outdated, key=lambda f: f.move_sent_ms or 0)
        sent_ms = flow.move_sent_ms
        if sent_ms is not None and now_ms - sent_ms < (
            self.limits.key_move_repeat_ms
        ):
            return
        flow.move_sent_ms = now_ms
        move = messages.Move("key_rotated", self.limits.move_within_ms)
        self._out.reply(flow, _Kind.MOVE, move)
        self.counters["moves_key_rotated"] += 1

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
        self._out.reply(flow, _Kind.MOVE, move)

    def _on_drain(self, now_ms: int) -> None:
        if self.state != membership.UP:
            return
        self.state = self.requests.state = membership.DRAINING
        self.plain_flows.state = membership.DRAINING
        self._out.add(actions.LogState("agent_draining", {}))
        self.balance.refuse_unstarted(self.state, now_ms)
        for flow in self.flows.values():
            self.requests.refuse_unstarted(flow, now_ms)
            self._send_move(flow, now_ms)

    def _on_resume(self, incarnation: int, now_ms: int) -> None:
        """Accepts work again; flows of the former incarnation continue."""
        if self.state == membership.UP:
            return
        self.identity = self.identity._replace(incarnation=incarnation)
        self.state = self.requests.state = membership.UP
        self.plain_flows.state = membership.UP
        self.balance.change_incarnation(incarnation)
        self.requests.admission.restart(now_ms)
        self._out.add(actions.LogState("agent_resumed", {}))

    def _on_withdraw(self, out: bool, now_ms: int) -> None:
        if out == self.withdrawn:
            return
        self.withdrawn = out
        self.plain_flows.withdraw(out)
        self._out.add(actions.LogState("data_centre_withdrawn", {"out": out}))
        if not out:
            self.requests.admission.restart(now_ms)
            return
        self.balance.refuse_unstarted(self._refusal_reason(), now_ms)
        for flow in list(self.flows.values()):
            reset = messages.Reset("data_centre_withdrawn")
            self._out.reply(flow, _Kind.RESET, reset)
            self._close(flow, now_ms)

    def _close(self, flow: flows.Flow, now_ms: int) -> None:
        """Removes a flow and cancels its requests that are still running."""
        self.requests.close_flow(flow, now_ms)
        del self.flows[flow.flow_key]
