"""Bodies of all datagrams, as named tuples.

Bodies are encoded as msgpack arrays in field order. Times are remaining or
elapsed milliseconds, never wall clock readings, so that the clocks of two
hosts are never compared.
"""

import enum
from typing import NamedTuple


class Kind(enum.IntEnum):
    """Datagram kinds."""

    OPEN = 1
    ACCEPT = 2
    REFUSE = 3
    REQUEST = 4
    REQUEST_ACK = 5
    CANCEL = 6
    RESPONSE = 7
    RESPONSE_ACK = 8
    PING = 9
    PONG = 10
    CLOSE = 11
    RESET = 12
    MOVE = 13
    FORWARD = 32
    OPEN_FORWARD = 33
    RELAY = 34
    HEARTBEAT = 35
    HEARTBEAT_ACK = 36
    LOAD = 37
    RUN = 38
    RUN_ACK = 39
    RUN_RESULT = 40
    RUN_RESULT_ACK = 41
    PLAIN = 42
    PLAIN_RETURN = 43
    PLAIN_OWNED = 44
    RUN_CANCEL = 45
    PLAIN_ASK = 46
    PLAIN_REPLY = 47


class Address(NamedTuple):
    """An IPv4 address and port."""

    ip: str
    port: int


class Open(NamedTuple):
    """Requests a flow to a service."""

    service: str
    attempt: int


class Accept(NamedTuple):
    """Accepts a flow; the header contains its token."""

    owner: str
    max_requests: int


class Refuse(NamedTuple):
    """Refuses a flow."""

    reason: str
    retry_after_ms: int


class Request(NamedTuple):
    """One fragment of a request.

    Each fragment repeats the request's metadata, so that fragments can arrive
    in any order.
    """

    request_id: int
    fragment_index: int
    fragment_count: int
    body_hash: int
    deadline_ms: int
    idempotent: bool
    method: str
    path: str
    payload: bytes


class FragmentAck(NamedTuple):
    """Acknowledges the fragments of a message received so far.

    Bit ``i % 8`` of byte ``i // 8`` stands for fragment ``i``.
    """

    request_id: int
    bitmap: bytes


class Cancel(NamedTuple):
    """Cancels a request."""

    request_id: int


class OutcomeCode(enum.IntEnum):
    """Outcome of a request on the wire."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Response(NamedTuple):
    """One fragment of a response."""

    request_id: int
    fragment_index: int
    fragment_count: int
    body_hash: int
    outcome: int
    status: int
    reason: str
    payload: bytes


class Ping(NamedTuple):
    """Keeps a flow alive and probes its path."""

    sequence: int


class Pong(NamedTuple):
    """Answers a ping."""

    sequence: int


class Close(NamedTuple):
    """Ends a flow."""

    reason: str


class Reset(NamedTuple):
    """Tells the caller that the flow no longer exists."""

    reason: str


class Move(NamedTuple):
    """Asks the caller to open a new flow elsewhere and close this one."""

    reason: str
    within_ms: int


class OpenForward(NamedTuple):
    """An OPEN that is forwarded along a list of candidate agents."""

    caller: Address
    balancer: Address
    hops: int
    candidates: list[Address]
    datagram: bytes


class Heartbeat(NamedTuple):
    """Liveness, state and load of a member.

    ``revision`` is the record revision that the sender has applied.
    ``load`` is the share of the sender's admission limit in use, 0 to 1.
    ``cold`` tells whether the cold-start ramp limits its backend server.
    """

    name: str
    role: str
    ip: str
    port: int
    incarnation: int
    sequence: int
    state: str
    data_centre: str
    service: str
    load: float
    revision: int
    cold: bool = False


class HeartbeatAck(NamedTuple):
    """Acknowledges a heartbeat; sent by a watcher."""

    name: str
    incarnation: int
    sequence: int
    state: str
    revision: int


class Load(NamedTuple):
    """Load report between agents of one service.

    ``busy`` is the number of running requests, ``limit`` the current
    admission limit, ``queued`` the number of waiting requests,
    ``utilisation`` the smoothed share of busy slots and ``slots`` the number
    of all slots.
    """

    name: str
    service: str
    ip: str
    port: int
    incarnation: int
    sequence: int
    state: str
    busy: int
    limit: float
    queued: int
    utilisation: float
    flows: int
    slots: int


class Run(NamedTuple):
    """One fragment of a request that its owner transfers to another agent.

    The owner's address, ``owner_incarnation`` and ``run_id`` identify the
    run; ``run_id`` increases with each transfer of an incarnation. A receiver
    with another incarnation than ``peer_incarnation`` does not run the
    request.
    """

    owner_incarnation: int
    peer_incarnation: int
    run_id: int
    fragment_index: int
    fragment_count: int
    body_hash: int
    deadline_ms: int
    request_id: int
    idempotent: bool
    caller: str
    method: str
    path: str
    payload: bytes


class RunAck(NamedTuple):
    """Acknowledges fragments of RUN or RUN_RESULT, see ``FragmentAck``."""

    owner_incarnation: int
    run_id: int
    bitmap: bytes


class RunResult(NamedTuple):
    """One fragment of the outcome of a transferred request."""

    owner_incarnation: int
    run_id: int
    fragment_index: int
    fragment_count: int
    body_hash: int
    outcome: int
    status: int
    reason: str
    payload: bytes


class RunCancel(NamedTuple):
    """Cancels a transferred request; resent until RUN_RESULT arrives."""

    owner_incarnation: int
    peer_incarnation: int
    run_id: int


class Plain(NamedTuple):
    """A datagram without a token, forwarded from a caller to the flow's owner.

    ``previous`` lists the first candidate of each earlier generation, if it is
    alive. ``ask_id`` is set by an agent that forwards the datagram to another.
    ``incarnation`` and ``sequence`` are those of the balancer; they
    distinguish a replay from a new datagram of the caller with equal contents.
    """

    service: str
    caller: Address
    balancer: Address
    flow_key: bytes
    hops: int
    ask_id: int
    candidates: list[Address]
    previous: list[Address]
    payload: bytes
    incarnation: int
    sequence: int


class PlainAsk(NamedTuple):
    """Asks whether the receiver owns a flow or knows its owner."""

    service: str
    flow_key: bytes
    ask_id: int


class PlainOwned(NamedTuple):
    """Names the owner of a flow, in answer to PLAIN_ASK or PLAIN."""

    flow_key: bytes
    ask_id: int
    owner: Address


class PlainReturn(NamedTuple):
    """The sender does not own the flow; ``ask_id`` 0: the flow has ended."""

    flow_key: bytes
    ask_id: int


class PlainReply(NamedTuple):
    """A datagram from the backend server to a caller without a token."""

    service: str
    caller: Address
    payload: bytes
