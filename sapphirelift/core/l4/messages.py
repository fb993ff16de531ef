"""Messages between the daemons that forward packets.

A message consists of a kind byte and a msgpack array. Receivers drop and count
messages of an unknown kind and those that cannot be decoded.
"""

import functools
import socket
import typing
from typing import Any
from typing import NamedTuple

import msgspec

from sapphirelift import errors
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import terms as terms_module


class Address(NamedTuple):
    """IPv4 address and UDP port of a daemon."""

    ip: str
    port: int


class Open(NamedTuple):
    """Offers an opening packet to an agent.

    Attributes:
        service: Service that the flow is for.
        balancer: Daemon to notify when the flow has opened.
        others: Agents that may open the flow instead, best first.
        has_warm_alternative: Whether any of ``others`` has a warm backend
            server, so that an agent with a cold one may pass the flow on.
        data: The caller's datagram.
        unoffered: Number of agents at the start of ``others`` that have not
            been offered the flow. An agent without a free slot passes the
            flow on to them.
        least_busy: Least loaded of the agents that have passed the flow on
            for lack of a free slot; None if none has, or if the receiver has
            to take the flow.
        least_load: Requests per slot at ``least_busy``.
        terms: Urgency of the requests of the flow's route.
        is_extra: Whether the flow is offered to another agent at the same
            time. It is refused rather than held or passed on.
    """

    service: str
    balancer: Address
    others: tuple[Address, ...]
    has_warm_alternative: bool
    data: bytes
    unoffered: int = 0
    least_busy: Address | None = None
    least_load: float = 0.0
    terms: terms_module.Terms = terms_module.Terms()
    is_extra: bool = False


class Deliver(NamedTuple):
    """Forwards a non-opening packet to the presumed owner of its flow.

    An agent with an incomplete flow table forwards packets of unknown flows
    to its backend server, which returns them if it does not have the flow.

    Attributes:
        balancer: Daemon to which the packet is returned if the agent does
            not own the flow.
        data: The caller's datagram.
    """

    balancer: Address
    data: bytes


class Opened(NamedTuple):
    """Reports that the backend server has accepted a flow.

    Attributes:
        flow: The flow.
        agent: The sender.
        initial_sequence: Initial sequence number of the backend server.
        flows: Number of open flows of the agent.
    """

    flow: packet.FlowKey
    agent: Address
    initial_sequence: int
    flows: int


class Held(NamedTuple):
    """Reports that the agent holds an opening until there is capacity.

    Attributes:
        flow: The flow.
        agent: The sender.
        wait_ms: Maximum time for which the opening packet is held.
    """

    flow: packet.FlowKey
    agent: Address
    wait_ms: int


class Refused(NamedTuple):
    """Reports that none of the agents offered a flow accepts it.

    Attributes:
        flow: The flow.
        agent: The sender, which was offered the flow last.
        reason: Short label, for example ``cold``.
        retry_after_ms: Time after which to try again; 0 if unknown.
    """

    flow: packet.FlowKey
    agent: Address
    reason: str
    retry_after_ms: int


# Reason of a refusal by an agent to which an opening was offered besides
# another one: it has no free slot right now, or may not take the flow.
EXTRA = "extra"


class Ask(NamedTuple):
    """Asks an agent whether it owns a flow."""

    flow: packet.FlowKey


class Answer(NamedTuple):
    """Answers ``Ask``.

    Attributes:
        verdict: One of the ``OWNS`` constants of this module.
    """

    flow: packet.FlowKey
    agent: Address
    verdict: str


OWNS = "owns"
OWNS_NOT = "owns_not"
# The flow is not in the agent's table, but the table may be incomplete: it does
# not reach back to the start of the backend server.
MAY_OWN = "may_own"
# The flow has ended at the agent, which answers late packets of it. The caller
# may have opened another one from the same port, at another agent.
ENDED = "ended"


# Some agents did not answer, or not all agents are known.
UNKNOWN = "unknown"


class AskMany(NamedTuple):
    """Asks an agent which of several flows it owns.

    Attributes:
        number: Number of the question, which the answer repeats.
    """

    balancer: Address
    flows: tuple[packet.FlowKey, ...]
    number: int = 0


class AnswerMany(NamedTuple):
    """Answers ``AskMany``.

    Attributes:
        agent: The sender.
        owned: Those of the flows that it owns.
        has_full_table: Whether it owns none of the others for certain.
        ended: Those of the flows that have ended there.
        number: Number of the question.
    """

    agent: Address
    owned: tuple[packet.FlowKey, ...]
    has_full_table: bool
    ended: tuple[packet.FlowKey, ...] = ()
    number: int = 0


class Remembered(NamedTuple):
    """Tells an agent that has started again which flows it owned before.

    Attributes:
        flows: Flows whose packets the sender has delivered to it.
        is_elsewhere: Whether they are open at other agents instead, although
            its backend server has accepted copies of their openings.
    """

    balancer: Address
    flows: tuple[packet.FlowKey, ...]
    is_elsewhere: bool = False


class Resolve(NamedTuple):
    """Asks another balancer to find the owner of a flow."""

    balancer: Address
    flow: packet.FlowKey


class Resolved(NamedTuple):
    """Answers ``Resolve``.

    Attributes:
        flow: The flow.
        agent: Its owner, if ``verdict`` is ``OWNS``; otherwise without
            meaning.
        verdict: ``OWNS``; ``OWNS_NOT`` if no agent owns the flow; ``MAY_OWN``
            if an agent with an incomplete table may; otherwise ``UNKNOWN``.
    """

    flow: packet.FlowKey
    agent: Address
    verdict: str


class Missed(NamedTuple):
    """Returns a packet of a flow that the agent does not own."""

    agent: Address
    data: bytes


class Heartbeat(NamedTuple):
    """State of an agent and its backend server, sent to balancers.

    Attributes:
        incarnation: Number of this start of the agent.
        number: Sequence number of the heartbeat within the incarnation.
        state: One of the state constants of ``core.l4.agents``.
        slots: Number of requests that the backend server runs concurrently.
        flows: Number of open flows.
        busy: Average number of requests in progress.
        response_ms: Average time from a request to its answer; 0.0 before
            the first one.
        cold_ms: Time until the backend server is warm.
        has_full_table: Whether the agent knows all flows of its backend
            server.
        unheard_ms: Time since the agent last heard this balancer. It grows
            if packets pass only from the agent to the balancer.
        waiting: Number of requests and openings that wait at the agent.
        work_ms: Average time that the backend server works on a request,
            without waits; 0.0 before the first one.
        work_by_route: Work by route, see ``work.Report``.
        failed_percent: Share of requests that seem to have failed.
    """

    name: str
    address: Address
    incarnation: int
    number: int
    service: str
    data_centre: str
    region: str
    state: str
    slots: int
    flows: int
    busy: float
    response_ms: float
    cold_ms: int
    has_full_table: bool
    unheard_ms: int = 0
    waiting: int = 0
    work_ms: float = 0.0
    work_by_route: tuple[int, ...] = ()
    failed_percent: int = 0

    def pulse(self) -> "Pulse":
        """Returns the changing part."""
        return Pulse(
            incarnation=self.incarnation,
            number=self.number,
            state=self.state,
            slots=self.slots,
            flows=self.flows,
            busy_percent=round(self.busy * 100),
            response_ms=round(self.response_ms),
            cold_ms=self.cold_ms,
            has_full_table=self.has_full_table,
            unheard_ms=self.unheard_ms,
            waiting=self.waiting,
            work_ms=self.work_ms,
            work_by_route=self.work_by_route,
            failed_percent=self.failed_percent,
        )

    def updated(self, pulse: "Pulse") -> "Heartbeat":
        """Returns the heartbeat with a newer changing part."""
        return self._replace(
            number=pulse.number,
            state=pulse.state,
            slots=pulse.slots,
            flows=pulse.flows,
            busy=pulse.busy_percent / 100,
            response_ms=float(pulse.response_ms),
            cold_ms=pulse.cold_ms,
            has_full_table=pulse.has_full_table,
            unheard_ms=pulse.unheard_ms,
            waiting=pulse.waiting,
            work_ms=pulse.work_ms,
            work_by_route=pulse.work_by_route,
            failed_percent=pulse.failed_percent,
        )


class Pulse(NamedTuple):
    """Changing part of a heartbeat, for balancers that know the rest.

    Attributes:
        incarnation: As in ``Heartbeat``, as are all other attributes.
        response_ms: Rounded to whole milliseconds.
        busy_percent: Average number of requests in progress, times 100.
    """

    incarnation: int
    number: int
    state: str
    slots: int
    flows: int
    busy_percent: int
    response_ms: int
    cold_ms: int
    has_full_table: bool
    unheard_ms: int
    waiting: int = 0
    work_ms: float = 0.0
    work_by_route: tuple[int, ...] = ()
    failed_percent: int = 0


class HeartbeatAck(NamedTuple):
    """Acknowledges a heartbeat, with the values in force for the agent.

    Attributes:
        balancer: The sender.
        balancers: Other balancers known to the sender.
        configuration_revision: Revision of the service's values; 0 for none.
        is_evacuated: Whether the agent's data centre is evacuated.
        evacuations_revision: Revision of ``is_evacuated``; 0 for unknown.
        is_leaving: Whether the balancer is about to stop.
        interval_ms: Interval at which it asks for heartbeats; 0 to leave it
            as it is.
        number: Number of the heartbeat that it acknowledges; 0 if it is not
            an answer.
        configuration_version: Version of the service's values; 0 if unknown.
        is_settled: Whether ``is_evacuated`` is, see ``routes.Evacuations``.
        store_era: Newest era of the store that the sender has heard of.
    """

    balancer: Address
    balancers: tuple[Address, ...]
    configuration_revision: int
    cold_opens_per_s: float
    max_flows: int
    idle_timeout_ms: int
    is_evacuated: bool
    evacuations_revision: int
    is_leaving: bool
    interval_ms: int = 0
    number: int = 0
    configuration_version: int = 0
    is_settled: bool = True
    store_era: int = 0


class Hello(NamedTuple):
    """Asks an agent for a heartbeat at once.

    Attributes:
        balancer: The sender.
        interval_ms: Interval at which it asks for further heartbeats; 0 to
            leave it as it is.
    """

    balancer: Address
    interval_ms: int = 0


class Revisions(NamedTuple):
    """Announces the revisions in force at a balancer to other balancers.

    Attributes:
        balancer: The sender.
        replica: Address at which it serves its configuration over HTTP.
        configuration_revision: Revision of its configuration; 0 for none.
        evacuations_revision: Revision of its evacuations; 0 for unknown.
        evacuated: Names of the evacuated data centres.
        agents: Addresses of some agents from which it has received
            heartbeats.
        has_directory: Whether its replica lists all agents.
        is_reply: Whether this is a reply, which needs no answer.
        number: Number chosen by the balancer that asks; a reply repeats it.
        configuration_version: Version of its configuration; 0 if unknown.
        is_settled: Whether ``evacuated`` is, see ``routes.Evacuations``.
        store_era: Newest era of the store that the sender has heard of.
        has_store: Whether the store answers the sender.
    """

    balancer: Address
    replica: Address
    configuration_revision: int
    evacuations_revision: int
    evacuated: tuple[str, ...]
    agents: tuple[Address, ...]
    has_directory: bool
    is_reply: bool
    number: int = 0
    configuration_version: int = 0
    is_settled: bool = True
    store_era: int = 0
    has_store: bool = True


Message = (
    Open
    | Deliver
    | Opened
    | Held
    | Refused
    | Ask
    | Answer
    | Missed
    | Heartbeat
    | HeartbeatAck
    | Hello
    | Revisions
    | AskMany
    | AnswerMany
    | Resolve
    | Resolved
    | Pulse
    | Remembered
)
_KINDS: tuple[type[Any], ...] = (
    Open,
    Deliver,
    Opened,
    Held,
    Refused,
    Ask,
    Answer,
    Missed,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Revisions,
    AskMany,
    AnswerMany,
    Resolve,
    Resolved,
    Pulse,
    Remembered,
)
_ADDRESS_FIELDS = [
    [
        index
        for index, hint in enumerate(typing.get_type_hints(kind).values())
        if Address in (hint, *typing.get_args(hint))
    ]
    for kind in _KINDS
]
_KIND_BYTES = {kind: bytes([index]) for index, kind in enumerate(_KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_ENCODE = msgspec.msgpack.Encoder().encode


def encode(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    return _KIND_BYTES[type(message)] + _ENCODE(message)


def decode(data: bytes) -> Message:
    """Decodes the message in a datagram.

    Raises:
        DatagramError: The datagram is empty, of an unknown kind or malformed.
    """
    if not data:
        raise errors.DatagramError("empty")
    if data[0] >= len(_DECODERS):
        raise errors.DatagramError("unknown_kind")
    try:
        message = _DECODERS[data[0]].decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.DatagramError("malformed") from error
    for field in _ADDRESS_FIELDS[data[0]]:
        value = message[field]
        addresses = (value,) if isinstance(value, Address) else value or ()
        if not all(map(_is_usable, addresses)):
            raise errors.DatagramError("malformed")
    return message


@functools.lru_cache(maxsize=16_384)
def _is_usable(address: Address) -> bool:
    """Returns whether a socket can send to an address without a lookup.

    A ``Resolved`` message without an owner has an empty address.
    """
    if address == ("", 0):
        return True
    try:
        socket.inet_pton(socket.AF_INET, address.ip)
    except (OSError, ValueError):
        return False
    return 0 < address.port < 1 << 16
