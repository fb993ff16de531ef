"""Runs of plain datagrams, which have no token, on the backend server."""

import collections
import dataclasses
from collections.abc import Callable

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import outbox
from sapphirelift.core.requests import admission as admission_module
from sapphirelift.core.requests import outcomes

MAX_QUEUED_RUNS = 256
RUN_DEADLINE_MS = 5000
# Leaves room for the envelope: the service name and up to seven addresses.
MAX_PAYLOAD_BYTES = 3500
PATH = "/datagram"


@dataclasses.dataclass(slots=True)
class OwnedFlow:
    """A flow without a token that this agent owns.

    Attributes:
        forwarder: Agent that forwards the flow's datagrams to this one.
        confirmed_ms: When the forwarder was last told who owns the flow.
    """

    caller: messages.Address
    balancer: messages.Address
    last_heard_ms: int
    forwarder: messages.Address | None = None
    confirmed_ms: int | None = None


class PlainRuns:
    """Runs each datagram as ``POST /datagram``, without retries."""

    def __init__(
        self,
        *,
        service: str,
        find_flow: Callable[[bytes], OwnedFlow | None],
        out: outbox.Outbox,
        admission: admission_module.Admission,
        counters: collections.Counter[str],
    ) -> None:
        self._service = service
        self._find_flow = find_flow
        self._out = out
        self._admission = admission
        self._counters = counters
        self._queue: collections.deque[tuple[bytes, bytes]] = (
            collections.deque()
        )
        self._runs: dict[int, tuple[bytes, int]] = {}
        self._last_run_id = 0

    @property
    def running(self) -> int:
        """Number of datagrams running on the backend server."""
        return len(self._runs)

    @property
    def queued(self) -> int:
        """Number of datagrams waiting for a slot."""
        return len(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return len(self._queue) >= MAX_QUEUED_RUNS

    def add(self, flow_key: bytes, payload: bytes) -> None:
        """Queues a datagram of a flow that this agent owns.

        Raises:
            DatagramError: The queue is full.
        """
        if self.is_full:
            raise errors.DatagramError("overloaded")
        self._queue.append((flow_key, payload))

    def clear(self) -> None:
        """Drops all queued datagrams."""
        self._queue.clear()

    def start(self, now_ms: int) -> None:
        """Starts queued datagrams while admission allows it."""
        while self._queue and self._admission.may_start(now_ms):
            key, payload = self._queue.popleft()
            flow = self._find_flow(key)
            if flow is None:
                continue
            # Negative ids cannot collide with the run ids of requests.
            self._last_run_id -= 1
            self._runs[self._last_run_id] = (key, now_ms)
            self._admission.started(now_ms)
            self._out.add(
                actions.StartRun(
                    run_id=self._last_run_id,
                    request_id=-self._last_run_id,
                    caller=f"{flow.caller.ip}:{flow.caller.port}",
                    method="POST",
                    path=PATH,
                    body=payload,
                    deadline_ms=RUN_DEADLINE_MS,
                )
            )

    def on_run_finished(
        self,
        run_id: int,
        outcome: outcomes.Outcome,
        *,
        shed: bool,
        failed: bool,
        now_ms: int,
    ) -> None:
        """Sends the answer of a run to the caller, if there is one to send."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        key, started_ms = run
        self._admission.finished(
            now_ms, duration_ms=now_ms - started_ms, shed=shed, failed=failed
        )
        self._counters[f"plain_runs_{type(outcome).__name__.lower()}"] += 1
        flow = self._find_flow(key)
        if flow is None or not isinstance(outcome, outcomes.Answered):
            return
        if not 200 <= outcome.status < 300 or outcome.status == 204:
            return
        if len(outcome.body) > MAX_PAYLOAD_BYTES:
            self._counters["dropped_answer_too_large"] += 1
            return
        reply = messages.PlainReply(self._service, flow.caller, outcome.body)
        balancer = self._out.return_path(flow.balancer, key)
        self._out.send_peer(
            balancer, messages.Kind.PLAIN_REPLY, wire.encode_body(reply)
        )
