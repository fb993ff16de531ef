"""Flows that an agent owns."""

import dataclasses

from sapphirelift import messages
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import transfer


@dataclasses.dataclass(slots=True)
class RequestState:
    """One request of a flow, from its first fragment to its eviction.

    Attributes:
        receiver: Collects the request; None once it is complete.
        outcome: The result; None until the request has finished.
        sender: Sends the response; None until there is one.
        caller: Caller name at arrival; the flow's address may change later.
        held_bytes: Bytes counted against ``assembly_bytes``.
        progress_ms: When the last new fragment arrived.
        transfer_id: Run id at the peer while the request is transferred. A
            peer may have run it, so the request counts as started.
        may_have_run: Whether a silent peer may have run an earlier transfer.
            The outcome is then never reported as not run.
        reply_margin_ms: Time reserved before the deadline for sending the
            outcome to the caller.
        incoming: Key of the run if a peer transferred the request here; None
            for a request of a flow that this agent owns.
    """

    request_id: int
    flow_key: bytes
    method: str
    path: str
    idempotent: bool
    deadline_at_ms: int
    receiver: transfer.FragmentReceiver | None
    body: bytes = b""
    run_id: int | None = None
    started_ms: int | None = None
    outcome: outcomes.Outcome | None = None
    sender: transfer.FragmentSender | None = None
    finished_ms: int | None = None
    caller: str = ""
    held_bytes: int = 0
    progress_ms: int = 0
    transfer_id: int | None = None
    may_have_run: bool = False
    reply_margin_ms: int = 0
    incoming: tuple[messages.Address, int, int] | None = None

    @property
    def has_started(self) -> bool:
        """Whether the request may have reached a backend server."""
        return self.run_id is not None or self.transfer_id is not None


@dataclasses.dataclass(slots=True)
class Flow:
    """An accepted flow.

    Attributes:
        token: The signed token; packets must carry exactly this one.
        balancer: Peer address of the balancer that sent the last packet.
        highest_evicted_id: Highest request id whose state has been evicted.
        unfinished: Requests without an outcome.
        key_id: Key that signed the token.
        held_bytes: Bytes of requests that have not been started.
    """

    flow_key: bytes
    token: bytes
    caller: messages.Address
    balancer: messages.Address
    last_heard_ms: int
    key_id: int = 0
    requests: dict[int, RequestState] = dataclasses.field(default_factory=dict)
    highest_evicted_id: int = -1
    unfinished: int = 0
    held_bytes: int = 0
    move_sent_ms: int | None = None

    @property
    def caller_name(self) -> str:
        """Identity of the caller for fair queueing."""
        return f"{self.caller.ip}:{self.caller.port}"
