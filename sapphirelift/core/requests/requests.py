"""Request handling of an agent, from the first fragment to eviction."""

import collections
from typing import Protocol

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core import actions
from sapphirelift.core import limits as limits_module
from sapphirelift.core import outbox
from sapphirelift.core.flows import flows
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import admission
from sapphirelift.core.requests import fairness
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import replies
from sapphirelift.core.requests import transfer

_Kind = messages.Kind

MAX_DEADLINE_MS = 600_000
# Time reserved before the deadline for the reply; a short deadline reserves a
# tenth of its length. A refusal sent at the deadline itself reached the caller
# too late, and the request ended as unknown.
MAX_REPLY_MARGIN_MS = 100
# Estimated memory of an unfinished request, excluding its body.
REQUEST_OVERHEAD_BYTES = 1024


class Transfers(Protocol):
    """Runs requests at peers and returns the outcomes of peers' requests."""

    def offer(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> bool:
        """Transfers a request to a peer; returns False if it runs locally."""

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Cancels a transferred request at its peer."""

    def on_finished(
        self,
        state: flows.RequestState,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        """Handles the outcome of a request that a peer transferred here."""


class Requests:
    """Receives, queues, runs and answers requests.

    A request id is started at most once. Its outcome is cached and sent again
    for duplicates until it is evicted; an evicted id is answered as unknown.
    """

    def __init__(
        self,
        *,
        limits: limits_module.AgentLimits,
        flow_table: dict[bytes, flows.Flow],
        out: outbox.Outbox,
        counters: collections.Counter[str],
    ) -> None:
        self.admission = admission.Admission(
            slots=limits.slots,
            initial_share=limits.initial_share,
            ramp_ms=limits.ramp_ms,
        )
        self.state = membership.UP
        self._limits = limits
        self._flows = flow_table
        self._out = out
        self._counters = counters
        self._queue: fairness.FairQueue[flows.RequestState] = (
            fairness.FairQueue(
                capacity=limits.queue_requests,
                slots=limits.slots,
                caller_slot_share=limits.caller_slot_share,
            )
        )
        self._assembling: dict[tuple[bytes, int], flows.RequestState] = {}
        cache = (
            replies.EvictOnAckCache
            if limits.experiment_forgets_replies
            else replies.ReplyCache
        )
        self._replies = cache(
            max_bytes=limits.reply_cache_bytes,
            ttl_ms=limits.reply_cache_ttl_ms,
            per_flow=limits.replies_per_flow,
        )
        self._held_bytes = 0
        self._runs: dict[int, flows.RequestState] = {}
        self._responding: dict[tuple[bytes, int], flows.RequestState] = {}
        self._next_run_id = 1
        self.transfers: Transfers | None = None

    def set_limits(self, limits: limits_module.AgentLimits) -> None:
        """Applies the limits that can be set by records."""
        self._limits = limits
        self.admission.set_ramp(
            initial_share=limits.initial_share, ramp_ms=limits.ramp_ms
        )
        self._queue.set_caller_slot_share(limits.caller_slot_share)
        self._replies.set_ttl_ms(limits.reply_cache_ttl_ms)

    @property
    def running(self) -> int:
        """Number of requests running on the backend server."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Number of requests waiting for a slot."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, run or answered."""
        return not (
            self._assembling or self._queue or self._runs or self._responding
        )

    # Receiving.

    def on_fragment(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> None:
        """Handles one fragment of a request.

        Raises:
            DatagramError: The fragment does not match the request or exceeds a
                limit.
        """
        state = flow.requests.get(fragment.request_id)
        if state is None:
            state = self._add(flow, fragment, now_ms)
        if state.outcome is not None:
            # One response fragment is enough: the caller acknowledges it with
            # the bitmap of all fragments that it has received.
            self._send_fragment(flow, state, 0)
            return
        if state.receiver is None:
            self._acknowledge(flow, fragment)
            return
        missing_before = state.receiver.missing_count
        state.receiver.add(
            index=fragment.fragment_index,
            count=fragment.fragment_count,
            expected_hash=fragment.body_hash,
            payload=fragment.payload,
        )
        if state.receiver.missing_count < missing_before:
            state.progress_ms = now_ms
            self._reserve_memory(flow, state, len(fragment.payload))
            if self._exceeds_memory_limit(flow):
                self.finish(state, outcomes.NotRun("overloaded"), now_ms)
                return
        ack = messages.FragmentAck(fragment.request_id, state.receiver.bitmap)
        self._out.reply(flow, _Kind.REQUEST_ACK, ack)
        if state.receiver.is_complete:
            self._enqueue(flow, state, now_ms)

    def _reserve_memory(
        self, flow: flows.Flow, state: flows.RequestState, size: int
    ) -> None:
        """Accounts for memory of a request that has not been started."""
        state.held_bytes += size
        flow.held_bytes += size
        self._held_bytes += size

    def _release_memory(self, state: flows.RequestState) -> None:
        flow = self._flows.get(state.flow_key)
        if flow is not None:
            flow.held_bytes -= state.held_bytes
        self._held_bytes -= state.held_bytes
        state.held_bytes = 0
        self._assembling.pop((state.flow_key, state.request_id), None)

    def _exceeds_memory_limit(self, flow: flows.Flow) -> bool:
        bound = self._limits.assembly_bytes
        return self._held_bytes > bound or flow.held_bytes > bound // 4

    def _add(
        self, flow: flows.Flow, fragment: messages.Request, now_ms: int
    ) -> flows.RequestState:
        if flow.unfinished >= self._limits.max_requests_per_flow:
            raise errors.DatagramError("too_many_requests")
        deadline_ms = min(max(fragment.deadline_ms, 0), MAX_DEADLINE_MS)
        state = flows.RequestState(
            request_id=fragment.request_id,
            flow_key=flow.flow_key,
            method=fragment.method,
            path=fragment.path,
            idempotent=fragment.idempotent,
            deadline_at_ms=now_ms + deadline_ms,
            receiver=transfer.FragmentReceiver(
                count=fragment.fragment_count,
                expected_hash=fragment.body_hash,
            ),
            caller=flow.caller_name,
            progress_ms=now_ms,
            reply_margin_ms=reply_margin_ms(deadline_ms),
        )
        self._insert(flow, state)
        self._reserve_memory(flow, state, REQUEST_OVERHEAD_BYTES)
        self._assembling[flow.flow_key, state.request_id] = state
        if fragment.request_id <= flow.highest_evicted_id:
            self.finish(state, outcomes.Unknown("forgotten"), now_ms)
        elif self.state != membership.UP:
            self.finish(state, outcomes.NotRun(self.state), now_ms)
        return state

    def _insert(self, flow: flows.Flow, state: flows.RequestState) -> None:
        flow.requests[state.request_id] = state
        flow.unfinished += 1

    def _acknowledge(
        self, flow: flows.Flow, fragment: messages.Request
    ) -> None:
        """Acknowledges all fragments of a completely received request."""
        bitmap = b"\xff" * ((fragment.fragment_count + 7) // 8)
        ack = messages.FragmentAck(fragment.request_id, bitmap)
        self._out.reply(flow, _Kind.REQUEST_ACK, ack)

    def _enqueue(
        self, flow: flows.Flow, state: flows.RequestState, now_ms: int
    ) -> None:
        assert state.receiver is not None
        try:
            state.body = state.receiver.body()
        except errors.DatagramError:
            # All fragments are acknowledged, so the caller retransmits none.
            self.finish(state, outcomes.NotRun("body_hash"), now_ms)
            raise
        state.receiver = None
        self._assembling.pop((flow.flow_key, state.request_id), None)
        if self.transfers is None or not self.transfers.offer(
            flow, state, now_ms
        ):
            self.enqueue_locally(state, now_ms)

    def enqueue_locally(self, state: flows.RequestState, now_ms: int) -> None:
        """Queues a complete request for the local backend server."""
        if self.state != membership.UP:
            self.finish(state, outcomes.NotRun(self.state), now_ms)
            return
        shed = self._queue.push(state.caller, state, now_ms)
        if shed is not None:
            self.finish(shed, outcomes.NotRun("overloaded"), now_ms)

    def expire(self, now_ms: int) -> None:
        """Ends requests past their deadline or not received completely."""
        timeout_ms = self._limits.assembly_timeout_ms
        for state in list(self._assembling.values()):
            if state.deadline_at_ms <= now_ms:
                self.finish(state, outcomes.NotRun("deadline"), now_ms)
            elif now_ms - state.progress_ms > timeout_ms:
                self.finish(state, outcomes.NotRun("incomplete"), now_ms)
        for state in list(self._queue):
            if not self._can_meet_deadline(state, now_ms):
                self.finish(state, outcomes.NotRun("deadline"), now_ms)
        for state in list(self._runs.values()):
            if state.outcome is None and state.deadline_at_ms <= now_ms:
                self._cancel_run(state, now_ms)
                self.finish(state, outcomes.Unknown("deadline"), now_ms)
        for state in self._replies.expire(now_ms):
            self._responding.pop((state.flow_key, state.request_id), None)

    def _can_meet_deadline(
        self, state: flows.RequestState, now_ms: int
    ) -> bool:
        """Tells whether the request could still finish before its deadline.

        The estimate is the shortest recent duration of the caller's requests.
        """
        remaining_ms = state.deadline_at_ms - state.reply_margin_ms - now_ms
        return remaining_ms > 0 and remaining_ms >= self._queue.min_duration_ms(
            state.caller
        )

    # Running.

    def start_runs(self, now_ms: int) -> None:
        """Starts waiting requests while admission allows it."""
        while self.admission.may_start(now_ms):
            state = self._queue.pop(now_ms)
            if state is None:
                return
            if not self._can_meet_deadline(state, now_ms):
                self.finish(state, outcomes.NotRun("deadline"), now_ms)
                continue
            self._start_run(state, now_ms)

    def _start_run(self, state: flows.RequestState, now_ms: int) -> None:
        state.run_id = self._next_run_id
        state.started_ms = now_ms
        self._next_run_id += 1
        self._runs[state.run_id] = state
        self._release_memory(state)
        self._queue.started(state.caller, now_ms)
        self.admission.started(now_ms)
        self._out.add(
            actions.StartRun(
                run_id=state.run_id,
                request_id=state.request_id,
                caller=state.caller,
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
        """Handles the outcome of a run; see ``Admission.finished``."""
        state = self._runs.pop(run_id, None)
        if state is None:
            return
        assert state.started_ms is not None
        duration_ms = now_ms - state.started_ms
        cancelled = state.outcome is not None
        median_duration_ms = self._queue.median_duration_ms(state.caller)
        self.admission.finished(
            now_ms,
            duration_ms=duration_ms,
            shed=shed,
            failed=failed and not cancelled,
            cancelled=cancelled,
            expected_ms=median_duration_ms,
        )
        # A cancelled run would have taken at least as long as it ran, so its
        # duration counts if it exceeds the median or no median is known.
        answered = isinstance(outcome, outcomes.Answered) and not cancelled
        record_duration = answered or (
            cancelled
            and (median_duration_ms is None or duration_ms > median_duration_ms)
        )
        self._queue.finished(
            state.caller,
            state.started_ms,
            now_ms,
            record_duration=record_duration,
        )
        if state.outcome is None:
            self.finish(state, outcome, now_ms)

    def on_cancel(
        self, flow: flows.Flow, cancel: messages.Cancel, now_ms: int
    ) -> None:
        """Handles a cancellation from the caller."""
        state = flow.requests.get(cancel.request_id)
        if state is None:
            if cancel.request_id <= flow.highest_evicted_id:
                return
            # The cancellation arrived before the request; the entry prevents
            # the request from running.
            state = flows.RequestState(
                request_id=cancel.request_id,
                flow_key=flow.flow_key,
                method="",
                path="",
                idempotent=False,
                deadline_at_ms=now_ms,
                receiver=None,
            )
            self._insert(flow, state)
        self.cancel(state, now_ms)

    def cancel(self, state: flows.RequestState, now_ms: int) -> None:
        """Ends a request and cancels its run, wherever it runs."""
        if state.outcome is not None:
            return
        if not state.has_started:
            self.finish(state, outcomes.NotRun("cancelled"), now_ms)
            return
        self._cancel_run(state, now_ms)
        if state.transfer_id is not None:
            # The peer reports whether it ran; see ``OutgoingRuns.cancel``.
            return
        self.finish(state, outcomes.Unknown("cancelled"), now_ms)

    def _cancel_run(self, state: flows.RequestState, now_ms: int) -> None:
        """Cancels the run of a request, locally or at a peer."""
        if state.run_id is not None:
            self._out.add(actions.CancelRun(state.run_id))
        elif state.transfer_id is not None and self.transfers is not None:
            self.transfers.cancel(state, now_ms)

    def refuse_unstarted(self, flow: flows.Flow, now_ms: int) -> None:
        """Refuses the requests of a flow that have not been started."""
        for state in list(flow.requests.values()):
            if state.outcome is None and not state.has_started:
                self.finish(state, outcomes.NotRun(self.state), now_ms)

    def close_flow(self, flow: flows.Flow, now_ms: int) -> None:
        """Removes the requests of a flow and cancels those that are running.

        The flow must still be in the table. A flow that is reopened with the
        same key starts without these requests.
        """
        for state in list(flow.requests.values()):
            self._release_memory(state)
            self._queue.remove(state.caller, state)
            self._replies.remove(state)
            self._responding.pop((flow.flow_key, state.request_id), None)
            if state.outcome is None:
                state.outcome = outcomes.Unknown("closed")
                self._cancel_run(state, now_ms)
        flow.requests.clear()

    # Answering.

    def finish(
        self,
        state: flows.RequestState,
        outcome: outcomes.Outcome,
        now_ms: int,
    ) -> None:
        """Stores the outcome and starts sending it to the caller."""
        if state.may_have_run and isinstance(outcome, outcomes.NotRun):
            outcome = outcomes.Unknown(outcome.reason)
        if state.run_id is None:
            self._release_memory(state)
            self._queue.remove(state.caller, state)
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
        if flow is None:
            return
        flow.unfinished -= 1
        self._send_due_fragments(flow, state, now_ms)
        for evicted in self._replies.add(flow, state):
            key = (evicted.flow_key, evicted.request_id)
            self._responding.pop(key, None)

    def on_response_ack(
        self, flow: flows.Flow, ack: messages.FragmentAck
    ) -> None:
        """Marks the response fragments that the caller has received."""
        state = flow.requests.get(ack.request_id)
        if state is None or state.sender is None:
            return
        state.sender.acknowledge(ack.bitmap)
        if state.sender.is_done:
            self._responding.pop((flow.flow_key, ack.request_id), None)

    def send_responses(self, now_ms: int) -> None:
        """Sends or retransmits the response fragments that are due."""
        for key, state in list(self._responding.items()):
            flow = self._flows.get(state.flow_key)
            if flow is None:
                del self._responding[key]
                continue
            self._send_due_fragments(flow, state, now_ms)

    def _send_due_fragments(
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


def reply_margin_ms(deadline_ms: int) -> int:
    """Returns the time before a deadline that is reserved for the reply.

    >>> reply_margin_ms(50), reply_margin_ms(5000)
    (5, 100)
    """
    return min(MAX_REPLY_MARGIN_MS, deadline_ms // 10)


def encode_outcome(
    outcome: outcomes.Outcome | None,
) -> tuple[int, int, str]:
    """Returns the wire code, HTTP status and reason of an outcome."""
    match outcome:
        case outcomes.Answered(status=status):
            return messages.OutcomeCode.ANSWERED, status, ""
        case outcomes.NotRun(reason=reason):
            return messages.OutcomeCode.NOT_RUN, 0, reason
        case outcomes.Unknown(reason=reason):
            return messages.OutcomeCode.UNKNOWN, 0, reason
    raise ValueError("a request without an outcome has no response")
