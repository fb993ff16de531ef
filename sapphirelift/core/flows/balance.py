"""Load balancing between the agents of one service: reports and transfers."""

import collections
import random
from collections.abc import Callable
from typing import NamedTuple

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import outbox
from sapphirelift.core.flows import flows
from sapphirelift.core.flows import load
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import incoming_runs
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import outgoing_runs
from sapphirelift.core.requests import requests

_Kind = messages.Kind


class Identity(NamedTuple):
    """Identity of the agent in load reports and transfers."""

    name: str
    service: str
    address: messages.Address
    incarnation: int


class Balance:
    """Compares the load of this agent with its peers and transfers requests.

    Attributes:
        table: Load reports of the peers.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        members: membership.Membership,
        rng: random.Random,
        out: outbox.Outbox,
        counters: collections.Counter[str],
        local: requests.Requests,
        slots: int,
        local_load: Callable[[int, float], load.LocalLoad],
        refusal_reason: Callable[[], str],
    ) -> None:
        name, service, address, incarnation = identity
        self._out = out
        self._counters = counters
        self._local = local
        self._get_local_load = local_load
        self._meter = load.Meter(slots=slots)
        self.table = load.LoadTable(
            name=name, service=service, members=members, rng=rng
        )
        self._reporter = load.Reporter(
            name=name,
            service=service,
            address=address,
            incarnation=incarnation,
            members=members,
            rng=rng,
        )
        self._outgoing = outgoing_runs.OutgoingRuns(
            incarnation=incarnation,
            out=out,
            counters=counters,
            finish=local.finish,
            enqueue_locally=local.enqueue_locally,
        )
        self._incoming = incoming_runs.IncomingRuns(
            incarnation=incarnation,
            out=out,
            counters=counters,
            local=local,
            refusal=refusal_reason,
        )
        local.transfers = self

    def change_incarnation(self, incarnation: int) -> None:
        """Sends reports and accepts runs as another incarnation.

        Runs in progress continue: outgoing transfers keep the first
        incarnation of the process, by which the peers distinguish owners.
        """
        self._reporter.change_incarnation(incarnation)
        self._incoming.add_incarnation(incarnation)

    @property
    def pending(self) -> int:
        """Number of unfinished transfers in both directions."""
        return len(self._outgoing) + len(self._incoming)

    def utilisation(self, now_ms: int) -> float:
        """Returns the smoothed utilisation of this agent's slots."""
        return self._meter.update(self._local.running, now_ms)

    def on_datagram(
        self, kind: int, body: bytes, sender: messages.Address, now_ms: int
    ) -> None:
        """Handles a datagram of a peer.

        Raises:
            DatagramError: The datagram is malformed or of an unknown kind.
        """
        decoded = wire.decode_body(kind, body)
        match kind:
            case _Kind.LOAD:
                if not self.table.apply(decoded, now_ms):
                    self._counters["load_reports_refused"] += 1
            case _Kind.RUN:
                self._incoming.on_run(decoded, sender, now_ms)
            case _Kind.RUN_CANCEL:
                self._incoming.on_cancel(decoded, sender, now_ms)
            case _Kind.RUN_RESULT_ACK:
                self._incoming.on_result_ack(decoded, sender)
            case _Kind.RUN_ACK:
                self._outgoing.on_ack(decoded, sender, now_ms)
            case _Kind.RUN_RESULT:
                self._outgoing.on_result(decoded, sender, now_ms)

    def tick(self, now_ms: int) -> None:
        """Sends the transfer messages and load reports that are due."""
        self._outgoing.tick(now_ms)
        self._incoming.tick(now_ms)
        body, receivers = self._reporter.due_report(
            self._local_load(now_ms), now_ms
        )
        for address in receivers:
            self._out.send_peer(address, _Kind.LOAD, body)

    def observe(self, now_ms: int) -> None:
        """Updates the meter with the number of requests running here."""
        self._meter.update(self._local.running, now_ms)

    def place_flow(
        self, candidates: list[messages.Address], now_ms: int
    ) -> messages.Address | None:
        """Returns the candidate that should own a flow.

        None means that the flow stays at this agent.
        """
        own = self._local_load(now_ms)
        peer = self.table.place_flow(own, candidates, now_ms)
        return peer.address if peer is not None else None

    def _local_load(self, now_ms: int) -> load.LocalLoad:
        return self._get_local_load(now_ms, self.utilisation(now_ms))

    # Implementation of ``requests.Transfers``.

    def offer(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> bool:
        """Transfers a queued request; returns False if it stays here."""
        own = self._local_load(now_ms)
        if own.state != membership.UP or not self._outgoing.may_send(state):
            return False
        if self._local.admission.awaits_answer and not own.busy + own.queued:
            # Only an answer begins the ramp. Measured against the low limit,
            # the utilisation of before the restart would leave the agent
            # without requests for many seconds.
            return False
        peer = self.table.place_request(own, now_ms)
        if peer is None:
            return False
        self._outgoing.send(flow, state, peer, now_ms)
        return True

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Cancels a transferred request at its peer."""
        self._outgoing.cancel(state, now_ms)

    def on_finished(
        self, state: flows.RequestState, outcome: outcomes.Outcome, now_ms: int
    ) -> None:
        """Handles the outcome of a run that a peer transferred here."""
        self._incoming.on_finished(state, outcome, now_ms)

    def refuse_unstarted(self, reason: str, now_ms: int) -> None:
        """Refuses requests transferred here that have not been started."""
        self._incoming.refuse_unstarted(reason, now_ms)
