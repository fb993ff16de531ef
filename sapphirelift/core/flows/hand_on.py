"""Ownership of plain flows, whose datagrams carry no token, at an agent.

A balancer sends a plain datagram to the first candidate of its flow. If that
agent does not know the flow, it asks the first candidates of earlier
generations of the member table for the owner before it takes ownership. These
queries carry no payload, so that a datagram is run at most once.
"""

import collections
import dataclasses

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import outbox
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import admission as admission_module
from sapphirelift.core.requests import delivered
from sapphirelift.core.requests import plain_runs

_Kind = messages.Kind

FLOW_IDLE_MS = 60_000
MAX_OWNED = 20_000
MAX_REDIRECTS = 20_000
MAX_PENDING = 4096
MAX_PENDING_DATAGRAMS = 8
MAX_HOPS = 2
ASK_REPEAT_MS = 100
# A former first candidate that has not answered within this time is assumed
# to be dead. An owner that is alive but slower than this loses the flow.
ASK_TIMEOUT_MS = 1000
CONFIRM_INTERVAL_MS = 500
# The owner confirms a redirect every half second while it receives datagrams.
# One that has not confirmed a forwarded datagram for this long is assumed to
# be dead.
CONFIRM_TIMEOUT_MS = membership.SUSPECT_AFTER_MS
SWEEP_MS = 1000


def _sender_id(plain: messages.Plain) -> tuple[messages.Address, int]:
    return plain.balancer, plain.incarnation


@dataclasses.dataclass(slots=True)
class _Redirect:
    """Destination of the datagrams of a flow that another agent owns.

    Attributes:
        unconfirmed_ms: Time of the first datagram forwarded since the owner
            last confirmed its ownership; None if there is none.
        confirmed_id: Query id of the last confirmation, against replays.
    """

    owner: messages.Address
    used_ms: int
    unconfirmed_ms: int | None = None
    confirmed_id: int = 0


@dataclasses.dataclass(slots=True)
class _Pending:
    """A flow whose owner is not known yet, and its queued datagrams.

    Attributes:
        waiting: Agents that have not answered the query yet.
        denied_askers: Agents that were told that this agent takes ownership.
            An answer that names one of them as the owner is out of date.
    """

    ask_id: int
    started_ms: int
    asked_ms: int
    waiting: set[messages.Address]
    datagrams: list[messages.Plain]
    denied_askers: set[messages.Address] = dataclasses.field(
        default_factory=set
    )


class PlainFlowTable:
    """Plain flows that one agent owns, and redirects to other owners.

    Attributes:
        runs: Runs of the datagrams of flows that this agent owns.
        state: State of the agent; it takes new flows only while it is up.
        withdrawn: Whether the agent's data centre is withdrawn.
    """

    def __init__(
        self,
        *,
        address: messages.Address,
        service: str,
        out: outbox.Outbox,
        admission: admission_module.Admission,
        counters: collections.Counter[str],
    ) -> None:
        self.state = membership.UP
        self.withdrawn = False
        self._address = address
        self._service = service
        self._out = out
        self._counters = counters
        self._owned: dict[bytes, plain_runs.OwnedFlow] = {}
        self._redirects: dict[bytes, _Redirect] = {}
        self._pending: dict[bytes, _Pending] = {}
        self.runs = plain_runs.PlainRuns(
            service=service,
            find_flow=self._owned.get,
            out=out,
            admission=admission,
            counters=counters,
        )
        self._delivered = delivered.DeliveredDatagrams()
        self._last_ask_id = 0
        self._sweep_ms = 0

    @property
    def flows(self) -> int:
        """Number of flows that this agent owns."""
        return len(self._owned)

    def owns(self, flow_key: bytes) -> bool:
        """Returns whether this agent owns a flow."""
        return flow_key in self._owned

    # Datagrams.

    def handle(
        self, kind: int, body: bytes, sender: messages.Address, now_ms: int
    ) -> None:
        """Handles a datagram of one of the plain kinds.

        Raises:
            DatagramError: The datagram is malformed or not for this agent.
        """
        message = wire.decode_body(kind, body)
        match message:
            case messages.Plain():
                self._on_plain(message, sender, now_ms)
            case messages.PlainAsk():
                self._on_ask(message, sender, now_ms)
            case messages.PlainOwned():
                self._on_owned(message, sender, now_ms)
            case messages.PlainReturn():
                self._on_return(message, sender, now_ms)
            case _:
                raise errors.DatagramError("unexpected_kind")

    def _on_plain(
        self, plain: messages.Plain, sender: messages.Address, now_ms: int
    ) -> None:
        if plain.service != self._service:
            raise errors.DatagramError("wrong_service")
        if self.withdrawn:
            raise errors.DatagramError("data_centre_withdrawn")
        if not 0 <= plain.hops <= MAX_HOPS:
            raise errors.DatagramError("hops")
        if self._delivered.has(_sender_id(plain), plain.sequence):
            raise errors.DatagramError("replayed")
        key = plain.flow_key
        if key in self._owned:
            self._deliver(plain, sender, now_ms)
            return
        if plain.hops == MAX_HOPS:
            # The next agent returned it, or it has reached the hop limit.
            self._redirects.pop(key, None)
            self._take_ownership(plain, sender, now_ms)
        elif key in self._pending:
            self._queue_pending(plain)
        elif self._is_from_redirect_owner(plain, sender):
            del self._redirects[key]
            self._take_ownership(plain, sender, now_ms)
        elif (redirect := self._live_redirect(key, now_ms)) is not None:
            self._forward_to_owner(redirect, plain, now_ms)
        elif plain.hops == 0:
            self._find_owner(plain, now_ms)
        else:
            self._take_ownership(plain, sender, now_ms)

    def _is_from_redirect_owner(
        self, plain: messages.Plain, sender: messages.Address
    ) -> bool:
        """Returns whether the redirect's owner forwarded the datagram here.

        It does so if it cannot take ownership, for example at its limit.
        """
        redirect = self._redirects.get(plain.flow_key)
        return (
            plain.hops > 0
            and redirect is not None
            and (redirect.owner == sender)
        )

    def _may_take_ownership(self) -> bool:
        return (
            self.state == membership.UP
            and len(self._owned) < MAX_OWNED
            and not self.runs.is_full
        )

    def _take_ownership(
        self, plain: messages.Plain, sender: messages.Address, now_ms: int
    ) -> None:
        """Takes ownership of a flow, or forwards the datagram elsewhere.

        Raises:
            DatagramError: No other agent is left to forward it to.
        """
        if self._may_take_ownership():
            self._redirects.pop(plain.flow_key, None)
            self._owned[plain.flow_key] = plain_runs.OwnedFlow(
                plain.caller, plain.balancer, now_ms
            )
            self._counters["plain_flows_taken"] += 1
            self._deliver(plain, sender, now_ms)
        elif plain.hops == 1:
            self._forward_plain(sender, plain)
        elif plain.hops == 0 and plain.candidates:
            redirect = _Redirect(plain.candidates[0], now_ms)
            self._add_redirect(plain.flow_key, redirect)
            self._forward_to_owner(redirect, plain, now_ms)
        else:
            raise errors.DatagramError("overloaded")

    def _deliver(
        self, plain: messages.Plain, sender: messages.Address, now_ms: int
    ) -> None:
        owned = self._owned[plain.flow_key]
        owned.caller, owned.balancer = plain.caller, plain.balancer
        owned.last_heard_ms = now_ms
        if plain.hops > 0:
            self._confirm(owned, plain, sender, now_ms)
        self.runs.add(plain.flow_key, plain.payload)
        self._delivered.add(_sender_id(plain), plain.sequence)

    def _confirm(
        self,
        owned: plain_runs.OwnedFlow,
        plain: messages.Plain,
        sender: messages.Address,
        now_ms: int,
    ) -> None:
        """Confirms the ownership to the agent that forwarded the datagram."""
        if (
            owned.forwarder == sender
            and owned.confirmed_ms is not None
            and now_ms - owned.confirmed_ms < CONFIRM_INTERVAL_MS
        ):
            return
        owned.forwarder, owned.confirmed_ms = sender, now_ms
        reply = messages.PlainOwned(plain.flow_key, plain.ask_id, self._address)
        self._send(sender, _Kind.PLAIN_OWNED, reply)

    # Redirects.

    def _live_redirect(self, key: bytes, now_ms: int) -> _Redirect | None:
        redirect = self._redirects.get(key)
        if redirect is None:
            return None
        since_ms = redirect.unconfirmed_ms
        if now_ms - redirect.used_ms > FLOW_IDLE_MS or (
            since_ms is not None and now_ms - since_ms > CONFIRM_TIMEOUT_MS
        ):
            del self._redirects[key]
            return None
        return redirect

    def _add_redirect(self, key: bytes, redirect: _Redirect) -> None:
        self._redirects.pop(key, None)
        if len(self._redirects) >= MAX_REDIRECTS:
            del self._redirects[next(iter(self._redirects))]
            self._counters["plain_redirects_evicted"] += 1
        self._redirects[key] = redirect

    def _forward_to_owner(
        self, redirect: _Redirect, plain: messages.Plain, now_ms: int
    ) -> None:
        redirect.used_ms = now_ms
        if redirect.unconfirmed_ms is None:
            redirect.unconfirmed_ms = now_ms
        self._last_ask_id += 1
        forwarded = plain._replace(ask_id=self._last_ask_id)
        self._forward_plain(redirect.owner, forwarded)

    def _forward_plain(
        self, address: messages.Address, plain: messages.Plain
    ) -> None:
        if plain.hops >= MAX_HOPS:
            raise errors.DatagramError("hops")
        self._counters["plain_sent_on"] += 1
        forwarded = plain._replace(
            hops=plain.hops + 1, candidates=[], previous=[]
        )
        self._send(address, _Kind.PLAIN, forwarded)

    # Search for the owner.

    def _find_owner(self, plain: messages.Plain, now_ms: int) -> None:
        asked = {a for a in plain.previous if a != self._address}
        if not asked:
            self._take_ownership(plain, self._address, now_ms)
            return
        if len(self._pending) >= MAX_PENDING:
            raise errors.DatagramError("pending_full")
        self._last_ask_id += 1
        pending = _Pending(self._last_ask_id, now_ms, now_ms, asked, [plain])
        self._pending[plain.flow_key] = pending
        self._ask(plain.flow_key, pending)

    def _queue_pending(self, plain: messages.Plain) -> None:
        datagrams = self._pending[plain.flow_key].datagrams
        if len(datagrams) >= MAX_PENDING_DATAGRAMS:
            raise errors.DatagramError("pending_full")
        datagrams.append(plain)

    def _ask(self, key: bytes, pending: _Pending) -> None:
        ask = messages.PlainAsk(self._service, key, pending.ask_id)
        for address in sorted(pending.waiting):
            self._send(address, _Kind.PLAIN_ASK, ask)

    def _on_ask(
        self, ask: messages.PlainAsk, sender: messages.Address, now_ms: int
    ) -> None:
        if ask.service != self._service:
            raise errors.DatagramError("wrong_service")
        key = ask.flow_key
        owner = self._known_owner(key, sender, now_ms)
        if owner is not None:
            reply = messages.PlainOwned(key, ask.ask_id, owner)
            self._send(sender, _Kind.PLAIN_OWNED, reply)
            return
        if key not in self._pending:
            # The asker is about to take ownership. A balancer with an older
            # member table may still send datagrams of the flow here.
            self._add_redirect(key, _Redirect(sender, now_ms))
        returned = messages.PlainReturn(key, ask.ask_id)
        self._send(sender, _Kind.PLAIN_RETURN, returned)

    def _known_owner(
        self, key: bytes, asker: messages.Address, now_ms: int
    ) -> messages.Address | None:
        if key in self._owned:
            return self._address
        pending = self._pending.get(key)
        if pending is not None:
            # Both agents search for the owner; the one with the lower address
            # takes ownership.
            if asker < self._address:
                return None
            pending.denied_askers.add(asker)
            return self._address
        redirect = self._live_redirect(key, now_ms)
        if redirect is None or redirect.owner == asker:
            return None
        return redirect.owner

    def _on_owned(
        self, owned: messages.PlainOwned, sender: messages.Address, now_ms: int
    ) -> None:
        pending = self._pending.get(owned.flow_key)
        if pending is not None and pending.ask_id == owned.ask_id:
            if (
                owned.owner in pending.denied_askers
                or owned.owner == self._address
            ):
                returned = messages.PlainReturn(owned.flow_key, owned.ask_id)
                self._on_return(returned, sender, now_ms)
                return
            del self._pending[owned.flow_key]
            redirect = _Redirect(owned.owner, now_ms)
            self._add_redirect(owned.flow_key, redirect)
            for plain in pending.datagrams:
                self._forward_to_owner(redirect, plain, now_ms)
            return
        known = self._redirects.get(owned.flow_key)
        if known is None or not (
            known.confirmed_id < owned.ask_id <= self._last_ask_id
        ):
            raise errors.DatagramError("replayed")
        known.owner = owned.owner
        known.confirmed_id = owned.ask_id
        known.unconfirmed_ms = None

    def _on_return(
        self,
        returned: messages.PlainReturn,
        sender: messages.Address,
        now_ms: int,
    ) -> None:
        key = returned.flow_key
        pending = self._pending.get(key)
        if pending is not None and pending.ask_id == returned.ask_id:
            pending.waiting.discard(sender)
            if not pending.waiting:
                del self._pending[key]
                self._take_pending(pending, now_ms)
            return
        redirect = self._redirects.get(key)
        if returned.ask_id != 0 or redirect is None or redirect.owner != sender:
            raise errors.DatagramError("replayed")
        del self._redirects[key]

    def _take_pending(self, pending: _Pending, now_ms: int) -> None:
        """Takes ownership of a flow that no queried agent owns."""
        for plain in pending.datagrams:
            try:
                self._on_plain(
                    plain._replace(previous=[]), self._address, now_ms
                )
            except errors.DatagramError as error:
                self._counters[f"dropped_{error.reason}"] += 1

    # Timers and state changes.

    @property
    def is_idle(self) -> bool:
        """Whether no plain flow is owned, redirected or being searched for."""
        return not (
            self._pending or self._owned or self._redirects or self.runs.queued
        )

    def tick(self, now_ms: int) -> None:
        """Repeats unanswered queries and expires idle flows and redirects."""
        for key, pending in list(self._pending.items()):
            if now_ms - pending.started_ms > ASK_TIMEOUT_MS:
                del self._pending[key]
                self._counters["plain_asks_timed_out"] += 1
                self._take_pending(pending, now_ms)
            elif now_ms - pending.asked_ms >= ASK_REPEAT_MS:
                pending.asked_ms = now_ms
                self._ask(key, pending)
        if now_ms < self._sweep_ms:
            return
        self._sweep_ms = now_ms + SWEEP_MS
        for key, owned in list(self._owned.items()):
            if now_ms - owned.last_heard_ms > FLOW_IDLE_MS:
                del self._owned[key]
        for key in list(self._redirects):
            self._live_redirect(key, now_ms)

    def withdraw(self, out: bool) -> None:
        """Sets whether the data centre is withdrawn.

        A withdrawal ends all flows, redirects and owner searches.
        """
        self.withdrawn = out
        if out:
            self.release()
            self._redirects.clear()
            self._pending.clear()
            self.runs.clear()

    def release(self) -> None:
        """Ends all flows and notifies the agents that redirect to them."""
        for key, owned in self._owned.items():
            if owned.forwarder is not None:
                released = messages.PlainReturn(key, 0)
                self._send(owned.forwarder, _Kind.PLAIN_RETURN, released)
        self._owned.clear()

    def _send(
        self, address: messages.Address, kind: int, body: tuple[object, ...]
    ) -> None:
        self._out.send_peer(address, kind, wire.encode_body(body))
