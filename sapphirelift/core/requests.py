"""Requests of an agent's flows, from their first fragment to eviction."""

import collections
from typing import Protocol

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core import actions
from sapphirelift.core import admission
from sapphirelift.core import fairness
from sapphirelift.core import flows
from sapphirelift.core import limits as limits_module
from sapphirelift.core import membership
from sapphirelift.core import outbox
from sapphirelift.core import outcomes
from sapphirelift.core import transfer

_Kind = messages.Kind


class Transfers(Protocol):
    """Requests that run at a peer, and those that run here for a peer."""

    def offer(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> bool:
        """Transfers a waiting request; returns False if it stays here."""

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Cancels a transferred request at its peer."""

    def on_finished(
        self,
        state: flows.RequestState,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        """Takes the outcome of an incoming run."""


class Requests:
    """Receives, queues, runs and answers requests.

    A request id is started at most once. Its outcome is kept and repeated
    until it is evicted; an evicted id is refused as unknown.
    """

    def __init__(
        self,
        *,
        limits: limits_module.AgentLimits,
        flow_table: dict[bytes, flows.Flow],
        out: outbox.Outbox,
        counters: collections.Counter[str],
    ) -> None:
        self.admission = admission.Admission(slots=limits.slots)
        self.state = membership.UP
        self._limits = limits
        self._flows = flow_table
        self._out = out
        self._counters = counters
        self._queue: fairness.FairQueue[flows.RequestState] = (
            fairness.FairQueue(capacity=limits.queue_requests)
        )
        self._runs: dict[int, flows.RequestState] = {}
        self._responding: dict[tuple[bytes, int], flows.RequestState] = {}
        self._next_run_id = 1
        self.transfers: Transfers | None = None

    @property
    def running(self) -> int:
        """Number of requests that run on the backend server."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    # Receiving.

    def on_fragment(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> None:
        """Takes one fragment of a request.

        Raises:
            DatagramError: The fragment does not fit the request or a bound.
        """
        state = flow.requests.get(fragment.request_id)
        if state is None:
            state = self._add(flow, fragment, now_ms)
        if state.outcome is not None:
            # The first fragment is enough: its acknowledgement tells which
            # others the caller lacks.
            self._send_fragment(flow, state, 0)
            return
        if state.receiver is None:
            self._acknowledge(flow, fragment)
            return
        state.receiver.add(
            index=fragment.fragment_index,
            count=fragment.fragment_count,
            expected_hash=fragment.body_hash,
            payload=fragment.payload,
        )
        ack = messages.FragmentAck(fragment.request_id, state.receiver.bitmap)
        self._out.reply(flow, _Kind.REQUEST_ACK, ack)
        if state.receiver.is_complete:
            self._enqueue(flow, state, now_ms)

    def _add(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> flows.RequestState:
        if len(flow.requests) >= self._limits.max_requests_per_flow:
            raise errors.DatagramError("too_many_requests")
        state = flows.RequestState(
            request_id=fragment.request_id,
            flow_key=flow.flow_key,
            method=fragment.method,
            path=fragment.path,
            idempotent=fragment.idempotent,
            deadline_at_ms=now_ms + fragment.deadline_ms,
            receiver=transfer.FragmentReceiver(
                count=fragment.fragment_count,
                expected_hash=fragment.body_hash,
            ),
        )
        flow.requests[fragment.request_id] = state
        if fragment.request_id <= flow.forgotten_id:
            self.finish(state, outcomes.Unknown("forgotten"), now_ms)
        elif self.state != membership.UP:
            self.finish(state, outcomes.NotRun(self.state), now_ms)
        return state

    def _acknowledge(
        self, flow: flows.Flow, fragment: messages.Request
    ) -> None:
        """Acknowledges every fragment of a complete request."""
        bitmap = b"\xff" * ((fragment.fragment_count + 7) // 8)
        ack = messages.FragmentAck(fragment.request_id, bitmap)
        self._out.reply(flow, _Kind.REQUEST_ACK, ack)

    def _enqueue(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> None:
        assert state.receiver is not None
        state.body = state.receiver.body()
        state.receiver = None
        if self.transfers is None or not self.transfers.offer(
            flow, state, now_ms
        ):
            self.enqueue_here(flow.caller_name, state, now_ms)

    def enqueue_here(
        self, caller: str, state: flows.RequestState, now_ms: int
    ) -> None:
        """Queues a complete request for this backend server."""
        if self.state != membership.UP:
            self.finish(state, outcomes.NotRun(self.state), now_ms)
        elif not self._queue.push(caller, state):
            self.finish(state, outcomes.NotRun("overloaded"), now_ms)

    # Running.

    def start_runs(self, now_ms: int) -> None:
        """Starts waiting requests while admission allows it."""
        while self.admission.may_start(now_ms):
            state = self._queue.pop()
            if state is None:
                return
            if state.outcome is not None:
                continue
            if state.deadline_at_ms <= now_ms:
                self.finish(state, outcomes.NotRun("deadline"), now_ms)
                continue
            self._start_run(state, now_ms)

    def _start_run(self, state: flows.RequestState, now_ms: int) -> None:
        flow = self._flows.get(state.flow_key)
        if flow is None and state.incoming is None:
            return
        caller = state.caller if flow is None else flow.caller_name
        state.run_id = self._next_run_id
        state.started_ms = now_ms
        self._next_run_id += 1
        self._runs[state.run_id] = state
        self.admission.started(now_ms)
        self._out.add(
            actions.StartRun(
                run_id=state.run_id,
                request_id=state.request_id,
                caller=caller,
                method=state.method,
                path=state.path,
                body=state.body,
                deadline_ms=state.deadline_at_ms - now_ms,
            )
        )
        state.body = b""

    def on_run_finished(
        self,
        run_id: int,
        outcome: outcomes.Outcome,
        *,
        shed: bool,
        failed: bool,
        now_ms: int,
    ) -> None:
        """Takes the outcome of a run; see ``Admission.finished``."""
        state = self._runs.pop(run_id, None)
        if state is None:
            return
        self.admission.finished(
            now_ms,
            duration_ms=now_ms - (state.started_ms or now_ms),
            shed=shed,
            failed=failed,
        )
        if state.outcome is None:
            self.finish(state, outcome, now_ms)

    def on_cancel(
        self, flow: flows.Flow, cancel: messages.Cancel, now_ms: int
    ) -> None:
        """Ends a request that its caller no longer wants."""
        state = flow.requests.get(cancel.request_id)
        if state is not None:
            self.cancel(state, now_ms)

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Ends a request and cancels its run, wherever it runs."""
        if state.outcome is not None:
            return
        if state.transfer_id is not None:
            if self.transfers is not None:
                self.transfers.cancel(state, now_ms)
        elif state.run_id is None:
            self.finish(state, outcomes.NotRun("cancelled"), now_ms)
            return
        else:
            self._out.add(actions.CancelRun(state.run_id))
        self.finish(state, outcomes.Unknown("cancelled"), now_ms)

    def refuse_unstarted(self, flow: flows.Flow, now_ms: int) -> None:
        """Refuses the requests of a flow that have not been started."""
        for state in flow.requests.values():
            if (
                state.outcome is None
                and state.run_id is None
                and state.transfer_id is None
            ):
                self.finish(state, outcomes.NotRun(self.state), now_ms)

    def cancel_all(self, flow: flows.Flow, now_ms: int) -> None:
        """Cancels what still runs for a flow that is being closed."""
        for state in flow.requests.values():
            if state.outcome is not None:
                continue
            if state.transfer_id is not None and self.transfers is not None:
                self.transfers.cancel(state, now_ms)
            elif state.run_id is not None:
                self._out.add(actions.CancelRun(state.run_id))

    # Answering.

    def finish(
        self,
        state: flows.RequestState,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        """Stores the outcome and begins to send it to the caller."""
        if state.may_have_run and isinstance(outcome, outcomes.NotRun):
            outcome = outcomes.Unknown(outcome.reason)
        state.outcome = outcome
        state.receiver = None
        state.body = b""
        state.finished_ms = now_ms
        if state.incoming is not None:
            if self.transfers is not None:
                self.transfers.on_finished(state, outcome, now_ms)
            return
        body = outcome.body if isinstance(outcome, outcomes.Answered) else b""
        state.sender = transfer.FragmentSender(body)
        self._responding[(state.flow_key, state.request_id)] = state
        self._counters[f"requests_{type(outcome).__name__.lower()}"] += 1
        flow = self._flows.get(state.flow_key)
        if flow is not None:
            self._send_due(flow, state, now_ms)

    def on_response_ack(
        self, flow: flows.Flow, ack: messages.FragmentAck
    ) -> None:
        """Takes over which fragments of a response the caller has."""
        state = flow.requests.get(ack.request_id)
        if state is None or state.sender is None:
            return
        state.sender.acknowledge(ack.bitmap)
        if state.sender.is_done:
            self._responding.pop((flow.flow_key, ack.request_id), None)

    def send_responses(self, now_ms: int) -> None:
        """Sends the response fragments that are due."""
        for key, state in list(self._responding.items()):
            flow = self._flows.get(state.flow_key)
            if flow is None:
                del self._responding[key]
                continue
            self._send_due(flow, state, now_ms)

    def evict_replies(self, flow: flows.Flow, now_ms: int) -> None:
        """Forgets finished requests whose time to live has passed."""
        for state in list(flow.requests.values()):
            finished_ms = state.finished_ms
            if finished_ms is None:
                continue
            if now_ms - finished_ms > self._limits.reply_cache_ttl_ms:
                del flow.requests[state.request_id]
                flow.forgotten_id = max(flow.forgotten_id, state.request_id)
                self._responding.pop((flow.flow_key, state.request_id), None)

    def _send_due(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> None:
        assert state.sender is not None
        for index in state.sender.due(now_ms):
            self._send_fragment(flow, state, index)

    def _send_fragment(
        self, flow: flows.Flow, state: flows.RequestState, index: int
    ) -> None:
        assert state.sender is not None
        code, status, reason = encode_outcome(state.outcome)
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
        self._out.reply(flow, _Kind.RESPONSE, response)


def encode_outcome(
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
