"""Requests of this agent's flows that are transferred to peers."""

import collections
import dataclasses
from collections.abc import Callable

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import outbox
from sapphirelift.core.flows import flows
from sapphirelift.core.flows import load
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import transfer

_Kind = messages.Kind

MAX_RUNS = 256
# Each body is kept while its request is at a peer, for at most MAX_RUNS
# requests.
MAX_BODY_BYTES = 64 << 10
PROBE_INTERVAL_MS = 500
# Several probe intervals, so that isolated packet losses do not end a run.
PEER_SILENCE_TIMEOUT_MS = 2500
CANCEL_REPEAT_MS = 100
# How long to wait for the peer's outcome of an expired or cancelled request,
# which tells whether the request ran.
OUTCOME_GRACE_MS = 150
# An unanswered cancellation is no longer repeated after this time; the peer
# then ends the request at its deadline.
CANCEL_TIMEOUT_MS = 2000


@dataclasses.dataclass(slots=True)
class _Run:
    run_id: int
    state: flows.RequestState
    peer: messages.Address
    peer_incarnation: int
    on_end: Callable[[], None]
    body: bytes
    sender: transfer.FragmentSender
    last_received_ms: int
    probe_due_ms: int
    receiver: transfer.FragmentReceiver | None = None
    cancelled_ms: int | None = None
    cancel_due_ms: int = 0


class OutgoingRuns:
    """Transfers requests to peers and receives their outcomes.

    A request is transferred to one peer only. If the peer refuses it as not
    run, or is silent and the request is idempotent, it is queued for this
    agent's own backend server and not transferred again. If the peer is silent
    and the request is not idempotent, its outcome is unknown.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        out: outbox.Outbox,
        counters: collections.Counter[str],
        finish: Callable[[flows.RequestState, outcomes.Outcome, int], None],
        enqueue_locally: Callable[[flows.RequestState, int], None],
    ) -> None:
        self._incarnation = incarnation
        self._out = out
        self._counters = counters
        self._finish = finish
        self._enqueue_locally = enqueue_locally
        self._runs: dict[int, _Run] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._runs)

    def may_send(self, state: flows.RequestState) -> bool:
        """Tells whether the limits allow the transfer of a request."""
        return len(self._runs) < MAX_RUNS and len(state.body) <= MAX_BODY_BYTES

    def send(
        self,
        flow: flows.Flow,
        state: flows.RequestState,
        peer: load.Peer,
        now_ms: int,
    ) -> None:
        """Transfers a request that has not been started."""
        run = _Run(
            run_id=self._next_id,
            state=state,
            peer=peer.address,
            peer_incarnation=peer.report.incarnation,
            on_end=peer.request_ended,
            body=state.body,
            sender=transfer.FragmentSender(state.body),
            last_received_ms=now_ms,
            probe_due_ms=now_ms + PROBE_INTERVAL_MS,
        )
        self._next_id += 1
        self._runs[run.run_id] = run
        state.transfer_id = run.run_id
        state.body = b""
        self._counters["requests_transferred"] += 1
        self._send_due_fragments(run, now_ms)

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Cancels a transferred request at its peer.

        The request ends with the peer's outcome, or as unknown if none
        arrives within ``OUTCOME_GRACE_MS``.
        """
        run = self._runs.get(state.transfer_id or 0)
        if run is not None and run.cancelled_ms is None:
            run.cancelled_ms = now_ms
            self._send_cancel(run, now_ms)

    def on_ack(
        self, ack: messages.RunAck, sender: messages.Address, now_ms: int
    ) -> None:
        """Marks the request fragments that the peer has received."""
        run = self._find_run(ack, sender)
        if run is not None:
            run.last_received_ms = now_ms
            run.sender.acknowledge(ack.bitmap)

    def on_result(
        self,
        result: messages.RunResult,
        sender: messages.Address,
        now_ms: int,
    ) -> None:
        """Handles one fragment of an outcome.

        Raises:
            DatagramError: The fragment does not match the outcome.
        """
        run = self._find_run(result, sender)
        if run is None:
            if result.owner_incarnation == self._incarnation:
                full_bitmap = b"\xff" * ((result.fragment_count + 7) // 8)
                self._acknowledge(result, sender, full_bitmap)
            return
        run.last_received_ms = now_ms
        if run.receiver is None:
            run.receiver = transfer.FragmentReceiver(
                count=result.fragment_count, expected_hash=result.body_hash
            )
        run.receiver.add(
            index=result.fragment_index,
            count=result.fragment_count,
            expected_hash=result.body_hash,
            payload=result.payload,
        )
        self._acknowledge(result, sender, run.receiver.bitmap)
        if run.receiver.is_complete:
            outcome = decode_outcome(result, run.receiver.body())
            self._end_run(run, outcome, now_ms)

    def tick(self, now_ms: int) -> None:
        """Retransmits due fragments and ends runs whose peer is silent."""
        for run in list(self._runs.values()):
            if run.cancelled_ms is not None:
                self._tick_cancelled(run, run.cancelled_ms, now_ms)
            elif now_ms >= run.state.deadline_at_ms + OUTCOME_GRACE_MS:
                self._end_run(run, outcomes.Unknown("deadline"), now_ms)
            elif now_ms - run.last_received_ms > PEER_SILENCE_TIMEOUT_MS:
                self._on_silence(run, now_ms)
            else:
                self._send_due_fragments(run, now_ms)

    def _tick_cancelled(
        self, run: _Run, cancelled_ms: int, now_ms: int
    ) -> None:
        elapsed_ms = now_ms - cancelled_ms
        if elapsed_ms > OUTCOME_GRACE_MS and run.state.outcome is None:
            self._finish(run.state, outcomes.Unknown("cancelled"), now_ms)
        if elapsed_ms > CANCEL_TIMEOUT_MS:
            self._remove_run(run)
        elif now_ms >= run.cancel_due_ms:
            self._send_cancel(run, now_ms)

    def _find_run(
        self,
        body: messages.RunAck | messages.RunResult,
        sender: messages.Address,
    ) -> _Run | None:
        if body.owner_incarnation != self._incarnation:
            return None
        run = self._runs.get(body.run_id)
        return run if run is not None and run.peer == sender else None

    def _end_run(
        self, run: _Run, outcome: outcomes.Outcome, now_ms: int
    ) -> None:
        self._remove_run(run)
        state = run.state
        if state.outcome is not None:
            return
        is_in_time = now_ms < state.deadline_at_ms and run.cancelled_ms is None
        if isinstance(outcome, outcomes.NotRun) and is_in_time:
            self._run_locally(run, now_ms)
        else:
            self._finish(state, outcome, now_ms)

    def _remove_run(self, run: _Run) -> None:
        del self._runs[run.run_id]
        run.on_end()

    def _on_silence(self, run: _Run, now_ms: int) -> None:
        self._counters["transfers_silent"] += 1
        if not run.state.idempotent:
            self._end_run(run, outcomes.Unknown("peer_silent"), now_ms)
            return
        self._remove_run(run)
        run.state.may_have_run = True
        self._run_locally(run, now_ms)

    def _run_locally(self, run: _Run, now_ms: int) -> None:
        self._counters["transfers_returned"] += 1
        run.state.transfer_id = None
        run.state.body = run.body
        self._enqueue_locally(run.state, now_ms)

    def _send_due_fragments(self, run: _Run, now_ms: int) -> None:
        indexes = run.sender.due(now_ms)
        if run.sender.is_done and now_ms >= run.probe_due_ms:
            # The peer answers a duplicate fragment with an acknowledgement or
            # the result, so this probes whether it is alive.
            indexes = [0]
        if not indexes:
            return
        run.probe_due_ms = now_ms + PROBE_INTERVAL_MS
        for index in indexes:
            body = messages.Run(
                owner_incarnation=self._incarnation,
                peer_incarnation=run.peer_incarnation,
                run_id=run.run_id,
                fragment_index=index,
                fragment_count=run.sender.count,
                body_hash=run.sender.body_hash,
                deadline_ms=max(0, run.state.deadline_at_ms - now_ms),
                request_id=run.state.request_id,
                idempotent=run.state.idempotent,
                caller=run.state.caller,
                method=run.state.method,
                path=run.state.path,
                payload=run.sender.fragments[index],
            )
            self._out.send_peer(run.peer, _Kind.RUN, wire.encode_body(body))

    def _send_cancel(self, run: _Run, now_ms: int) -> None:
        run.cancel_due_ms = now_ms + CANCEL_REPEAT_MS
        body = messages.RunCancel(
            self._incarnation, run.peer_incarnation, run.run_id
        )
        self._out.send_peer(run.peer, _Kind.RUN_CANCEL, wire.encode_body(body))

    def _acknowledge(
        self,
        result: messages.RunResult,
        sender: messages.Address,
        bitmap: bytes,
    ) -> None:
        ack = messages.RunAck(self._incarnation, result.run_id, bitmap)
        self._out.send_peer(sender, _Kind.RUN_RESULT_ACK, wire.encode_body(ack))


def decode_outcome(result: messages.RunResult, body: bytes) -> outcomes.Outcome:
    """Returns the outcome that a complete RUN_RESULT carries.

    Raises:
        DatagramError: The outcome code is unknown.
    """
    match result.outcome:
        case messages.OutcomeCode.ANSWERED:
            return outcomes.Answered(result.status, body)
        case messages.OutcomeCode.NOT_RUN:
            return outcomes.NotRun(result.reason)
        case messages.OutcomeCode.UNKNOWN:
            return outcomes.Unknown(result.reason)
    raise errors.DatagramError("outcome_code")
