"""Requests that this agent runs on behalf of its peers' flows."""

import collections
import dataclasses
from collections.abc import Callable

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import outbox
from sapphirelift.core.flows import flows
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import outgoing_runs
from sapphirelift.core.requests import requests
from sapphirelift.core.requests import transfer

_Kind = messages.Kind

MAX_ACTIVE_RUNS = 512
MAX_ENDED_RUNS = 8192
MAX_OWNERS = 4096
# Each drain that is undone adds one; runs addressed to older incarnations are
# answered as unknown.
MAX_INCARNATIONS = 16
MAX_HELD_BYTES = 32 << 20
# Longer than the assumed maximum lifetime of a datagram in the network.
KEEP_MS = 60_000
# An unacknowledged result is discarded this long after the deadline.
RESULT_AFTER_DEADLINE_MS = 2000
MAX_FRAGMENTS = -(-outgoing_runs.MAX_BODY_BYTES // transfer.FRAGMENT_BYTES)

_RunKey = tuple[messages.Address, int, int]
_OwnerKey = tuple[messages.Address, int]


@dataclasses.dataclass(slots=True)
class _Run:
    """A run for a peer, from its first datagram until it is evicted."""

    state: flows.RequestState
    held_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _Owner:
    """State of an owner that remains after its runs have been evicted.

    Attributes:
        highest_evicted_id: Highest evicted run id.
        last_received_ms: When the owner last sent a new run id.
    """

    highest_evicted_id: int
    last_received_ms: int


class IncomingRuns:
    """Receives, tracks and answers the runs of peers.

    A run id is started at most once. It is kept for ``KEEP_MS`` after the run
    has ended; a new id at or below the highest evicted id of its owner is
    answered as unknown and never run.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        out: outbox.Outbox,
        counters: collections.Counter[str],
        local: requests.Requests,
        refusal: Callable[[], str],
    ) -> None:
        # Earlier incarnations of this process are accepted too, because the
        # table below still holds the runs addressed to them.
        self._incarnations: collections.deque[int] = collections.deque(
            [incarnation], maxlen=MAX_INCARNATIONS
        )
        self._out = out
        self._counters = counters
        self._local = local
        self._refusal = refusal
        self._runs: dict[_RunKey, _Run] = {}
        self._active: set[_RunKey] = set()
        self._responding: set[_RunKey] = set()
        # Ended runs, ordered by the time at which they ended.
        self._ended: collections.OrderedDict[_RunKey, None] = (
            collections.OrderedDict()
        )
        self._owners: dict[_OwnerKey, _Owner] = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        """Number of runs that are active or whose result is being sent."""
        return len(self._active) + len(self._responding)

    def add_incarnation(self, incarnation: int) -> None:
        """Accepts runs addressed to a new incarnation of this process."""
        self._incarnations.append(incarnation)

    def on_run(
        self, body: messages.Run, sender: messages.Address, now_ms: int
    ) -> None:
        """Handles one fragment of a transferred request.

        Raises:
            DatagramError: The fragment does not match the request or exceeds a
                limit.
        """
        key = (sender, body.owner_incarnation, body.run_id)
        run = self._runs.get(key) or self._add(key, body, now_ms)
        if run is None:
            return
        state = run.state
        if state.outcome is not None:
            self._send_result(key, run, 0)
            return
        bitmap = b"\xff" * ((body.fragment_count + 7) // 8)
        if state.receiver is not None:
            before = state.receiver.bitmap
            state.receiver.add(
                index=body.fragment_index,
                count=body.fragment_count,
                expected_hash=body.body_hash,
                payload=body.payload,
            )
            bitmap = state.receiver.bitmap
            if bitmap != before:
                self._reserve_memory(run, len(body.payload))
        ack = messages.RunAck(body.owner_incarnation, body.run_id, bitmap)
        self._out.send_peer(sender, _Kind.RUN_ACK, wire.encode_body(ack))
        if state.receiver is not None and state.receiver.is_complete:
            state.body = state.receiver.body()
            state.receiver = None
            self._local.enqueue_locally(state, now_ms)

    def on_cancel(
        self, body: messages.RunCancel, sender: messages.Address, now_ms: int
    ) -> None:
        """Cancels a run; if it has not arrived yet, it will not start."""
        key = (sender, body.owner_incarnation, body.run_id)
        run = self._runs.get(key)
        if run is None:
            placeholder = messages.Run(
                *body, 0, 1, 0, 0, 0, False, "", "", "", b""
            )
            run = self._add(key, placeholder, now_ms)
        if run is None:
            return
        if run.state.outcome is None:
            self._local.cancel(run.state, now_ms)
        else:
            self._send_result(key, run, 0)

    def on_result_ack(
        self, ack: messages.RunAck, sender: messages.Address
    ) -> None:
        """Marks the result fragments that the owner has received."""
        key = (sender, ack.owner_incarnation, ack.run_id)
        run = self._runs.get(key)
        if run is None or run.state.sender is None:
            return
        run.state.sender.acknowledge(ack.bitmap)
        if run.state.sender.is_done:
            self._responding.discard(key)
            self._discard_body(run)

    def on_finished(
        self, state: flows.RequestState, outcome: outcomes.Outcome, now_ms: int
    ) -> None:
        """Stores the outcome of a run and starts sending it."""
        key = state.incoming
        assert key is not None
        body = outcome.body if isinstance(outcome, outcomes.Answered) else b""
        state.sender = transfer.FragmentSender(body)
        run = self._runs[key]
        self._held_bytes -= run.held_bytes
        run.held_bytes = 0
        self._reserve_memory(run, len(body))
        self._active.discard(key)
        self._responding.add(key)
        self._ended[key] = None
        self._counters[f"runs_{type(outcome).__name__.lower()}"] += 1
        self._send_due_fragments(key, run, now_ms)

    def refuse_unstarted(self, reason: str, now_ms: int) -> None:
        """Refuses the runs that have not been started."""
        for key in list(self._active):
            state = self._runs[key].state
            if state.run_id is None:
                self._local.finish(state, outcomes.NotRun(reason), now_ms)

    def tick(self, now_ms: int) -> None:
        """Retransmits results, ends expired runs and evicts old ones."""
        for key in list(self._responding):
            run = self._runs[key]
            overdue_ms = now_ms - run.state.deadline_at_ms
            if overdue_ms > RESULT_AFTER_DEADLINE_MS:
                self._responding.discard(key)
                self._discard_body(run)
            else:
                self._send_due_fragments(key, run, now_ms)
        for key in list(self._active):
            state = self._runs[key].state
            if state.run_id is None and state.deadline_at_ms <= now_ms:
                outcome = outcomes.NotRun("deadline")
                self._local.finish(state, outcome, now_ms)
        self._evict_old(now_ms)

    def _add(
        self, key: _RunKey, body: messages.Run, now_ms: int
    ) -> _Run | None:
        """Adds a new run, which may be refused immediately."""
        if body.fragment_count > MAX_FRAGMENTS:
            raise errors.DatagramError("fragment_count")
        owner = self._owner(key[:2], now_ms)
        if owner is None:
            # The request must not run if its id cannot be recorded.
            raise errors.DatagramError("too_many_owners")
        if len(self._runs) >= MAX_ENDED_RUNS + MAX_ACTIVE_RUNS:
            raise errors.DatagramError("too_many_runs")
        state = flows.RequestState(
            request_id=body.request_id,
            flow_key=b"",
            method=body.method,
            path=body.path,
            idempotent=body.idempotent,
            deadline_at_ms=now_ms + body.deadline_ms,
            receiver=transfer.FragmentReceiver(
                count=body.fragment_count, expected_hash=body.body_hash
            ),
            incoming=key,
            caller=body.caller,
            reply_margin_ms=requests.reply_margin_ms(body.deadline_ms),
        )
        run = self._runs[key] = _Run(state)
        self._active.add(key)
        refused = self._refuse_new(body, owner)
        if refused is not None:
            self._local.finish(state, refused, now_ms)
        return run

    def _refuse_new(
        self, body: messages.Run, owner: _Owner
    ) -> outcomes.Outcome | None:
        if body.peer_incarnation not in self._incarnations:
            # An earlier incarnation of this agent may have run it.
            return outcomes.Unknown("peer_restarted")
        if body.run_id <= owner.highest_evicted_id:
            return outcomes.Unknown("forgotten")
        if reason := self._refusal():
            return outcomes.NotRun(reason)
        if (
            len(self._active) > MAX_ACTIVE_RUNS
            or self._held_bytes > MAX_HELD_BYTES
        ):
            return outcomes.NotRun("overloaded")
        return None

    def _owner(self, key: _OwnerKey, now_ms: int) -> _Owner | None:
        owner = self._owners.get(key)
        if owner is None:
            if len(self._owners) >= MAX_OWNERS:
                return None
            owner = self._owners[key] = _Owner(0, now_ms)
        owner.last_received_ms = now_ms
        return owner

    def _evict_old(self, now_ms: int) -> None:
        while self._ended:
            key = next(iter(self._ended))
            finished_ms = self._runs[key].state.finished_ms or 0
            is_due = now_ms - finished_ms > KEEP_MS
            if not is_due and len(self._ended) <= MAX_ENDED_RUNS:
                break
            del self._ended[key]
            self._responding.discard(key)
            self._discard_body(self._runs.pop(key))
            owner = self._owners[key[:2]]
            owner.highest_evicted_id = max(owner.highest_evicted_id, key[2])
        if len(self._owners) >= MAX_OWNERS // 2:
            used = {key[:2] for key in self._runs}
            for owner_key, owner in list(self._owners.items()):
                is_idle = now_ms - owner.last_received_ms > 2 * KEEP_MS
                if is_idle and owner_key not in used:
                    del self._owners[owner_key]

    def _reserve_memory(self, run: _Run, size: int) -> None:
        run.held_bytes += size
        self._held_bytes += size

    def _discard_body(self, run: _Run) -> None:
        """Discards the answer; later duplicates are answered as unknown."""
        self._held_bytes -= run.held_bytes
        run.held_bytes = 0
        if isinstance(run.state.outcome, outcomes.Answered):
            run.state.outcome = outcomes.Unknown("forgotten")
            run.state.sender = transfer.FragmentSender(b"")

    def _send_due_fragments(self, key: _RunKey, run: _Run, now_ms: int) -> None:
        assert run.state.sender is not None
        for index in run.state.sender.due(now_ms):
            self._send_result(key, run, index)

    def _send_result(self, key: _RunKey, run: _Run, index: int) -> None:
        sender = run.state.sender
        assert sender is not None
        code, status, reason = requests.encode_outcome(run.state.outcome)
        body = messages.RunResult(
            owner_incarnation=key[1],
            run_id=key[2],
            fragment_index=index,
            fragment_count=sender.count,
            body_hash=sender.body_hash,
            outcome=code,
            status=status,
            reason=reason,
            payload=sender.fragments[index],
        )
        self._out.send_peer(key[0], _Kind.RUN_RESULT, wire.encode_body(body))
