"""Flow table of one agent."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

# Backend servers hold up to 2,000 connections, and as many may have ended
# recently.
MAX_FLOWS = 8192
# How long ended flows, and those that the backend server does not have, are
# kept: an endpoint still answers late packets of its
# peer, which gives up after 8 retransmissions of up to 1.6 s.
ENDED_MS = 10_000
# Added to the idle timeout to allow for packets in transit.
IDLE_MARGIN_MS = 5000
# Greatest distance between two acknowledgement numbers of a caller that follow
# each other: four times the 16 packets of 1,200 bytes that may be in flight.
MAX_ACKNOWLEDGED_STEP = 76_800
# How long an accepted flow is expected to bring a request. The caller's first
# packet arrives one round trip (6 ms) after the acceptance; after several round
# trips it may never arrive.
FIRST_PACKET_MS = 50
# After this long, an unanswered opening packet counts as lost. A backend server
# answers within a millisecond, or 100 ms if its instance has used up its CPU
# quota.
UNANSWERED_MS = 150


class Phase(enum.Enum):
    """Phase in the lifecycle of a flow."""

    # The agent holds the opening packet until the backend server has capacity.
    HELD = "held"
    OPENING = "opening"
    # Accepted by the backend server, not yet confirmed by the caller.
    ACCEPTED = "accepted"
    OPEN = "open"
    # The agent started after the flow was opened, if it was opened here. The
    # backend server has been sent a packet, and has not shown yet whether it
    # has the flow.
    PROBED = "probed"
    # The backend server has returned a packet of the flow.
    RETURNED = "returned"
    ENDED = "ended"

    @property
    def is_owned(self) -> bool:
        """Whether the backend server has accepted the flow, open or ended."""
        return self.is_live or self is Phase.ENDED

    @property
    def is_opening(self) -> bool:
        """Whether the backend server has yet to accept the flow."""
        return self in (Phase.HELD, Phase.OPENING)

    @property
    def is_counted(self) -> bool:
        """Whether the flow counts as one of the backend server's."""
        return self.is_live or self.is_opening

    @property
    def is_live(self) -> bool:
        """Whether the backend server has accepted the flow and not ended it."""
        return self in (Phase.ACCEPTED, Phase.OPEN)


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow of the backend server.

    Attributes:
        phase: Lifecycle phase.
        balancer: Balancer that sent the last packet of the flow.
        used_ms: When the last packet passed in either direction.
        caller_sequence: Sequence number of the opening packet; None for a
            flow that was opened before the agent started.
        initial_sequence: Initial sequence number of the backend server; None
            before it has accepted the flow.
        others: Agents that may open the flow instead, until it is accepted.
        opening_data: The opening packet, until the flow is accepted.
        sent_ms: When the opening packet is sent to the backend server; may
            be in the future for a held flow.
        held_ms: When the opening packet was first received.
        accepted_ms: When the backend server accepted the flow, or when the
            agent first forwarded a packet of a flow unknown to it.
        caller_acknowledged: Last acknowledgement number of the caller, used
            as the sequence number of a reset; 0 before the first one.
        caller_ack: Last packet of the caller that only acknowledges; empty
            before the first one.
        is_remembered: Whether a balancer has told what it is, after a start
            of this agent: its own, or in the phase ``RETURNED`` another's.
        caller_end: Sequence number after the last byte seen of the caller's
            payload; None before the first one.
        server_end: The same of the backend server's payload.
        request_ms: When the request in progress began, None if there is none.
        request_sent_ms: When it was sent to the backend server; None if it
            is held.
        request_key: The key of the flow, if it has had a request.
        has_caller_left: Whether its caller no longer waits for the answer.
        is_given_up: Whether the caller has left before its request was sent.
        is_extra: Whether its opening was offered to this agent only besides
            another one.
    """

    phase: Phase
    balancer: messages.Address
    used_ms: int
    caller_sequence: int | None = None
    initial_sequence: int | None = None
    others: tuple[messages.Address, ...] = ()
    opening_data: bytes = b""
    sent_ms: int = 0
    held_ms: int = 0
    accepted_ms: int = 0
    caller_acknowledged: int = 0
    caller_ack: bytes = b""
    is_remembered: bool = False
    caller_end: int | None = None
    server_end: int | None = None
    request_ms: int | None = None
    request_sent_ms: int | None = None
    request_key: packet.FlowKey | None = None
    has_caller_left: bool = False
    is_given_up: bool = False
    is_extra: bool = False

    @property
    def is_claimed(self) -> bool:
        """Whether the agent says that it owns the flow."""
        return self.phase.is_live or (
            self.phase is Phase.PROBED and self.is_remembered
        )

    @property
    def can_bring_request(self) -> bool:
        """Whether the backend server may run what the caller sends.

        It may not have a flow that is only probed, and then runs nothing.
        """
        return self.is_claimed or self.phase is Phase.OPENING

    def add_offer(self, offer: messages.Open) -> None:
        """Notes another offer of the same opening."""
        if self.is_extra and not offer.is_extra:
            self.is_extra = False
            if self.phase.is_opening:
                self.others = tuple(offer.others)

    def can_include(self, received: packet.Packet) -> bool:
        """Returns whether a packet of the caller can belong to this flow.

        Another flow from the same port has other sequence numbers.
        """
        if not (self.caller_acknowledged and received.is_ack):
            return True
        return is_near(received.acknowledged, self.caller_acknowledged)

    def is_opened_by(self, received: packet.Packet, now_ms: int) -> bool:
        """Returns whether an opening packet is a copy of this flow's one.

        A copy may be held up for any time while its flow is in use.
        """
        if self.phase.is_live and received.sequence == self.caller_sequence:
            return True
        return received.repeats_opening(
            self.caller_sequence, now_ms - self.held_ms
        )


def is_near(sequence: int, other: int) -> bool:
    """Returns whether two acknowledgement numbers can be of one flow."""
    ahead = (sequence - other) % (1 << 32)
    return min(ahead, (1 << 32) - ahead) <= MAX_ACKNOWLEDGED_STEP


class FlowTable:
    """Bounded table of flows in least recently used order.

    Attributes:
        open_flows: Number of flows that have not ended, without those that
            may belong to another agent.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[packet.FlowKey, Flow] = (
            collections.OrderedDict()
        )
        self._opening: dict[packet.FlowKey, Flow] = {}
        self._accepted: dict[packet.FlowKey, Flow] = {}
        self.open_flows = 0

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[tuple[packet.FlowKey, Flow]]:
        return iter(self._flows.items())

    def get(self, key: packet.FlowKey) -> Flow | None:
        """Returns a flow, or None."""
        return self._flows.get(key)

    def opening(self) -> Iterator[tuple[packet.FlowKey, Flow]]:
        """Returns the flows that the backend server has not accepted."""
        return iter(list(self._opening.items()))

    @property
    def has_opening(self) -> bool:
        """Whether any flow has not been accepted by the backend server."""
        return bool(self._opening)

    def expected_requests(self, now_ms: int) -> int:
        """Returns the number of flows expected to send a first request soon.

        Their opening packet has been sent to the backend server, and no
        packet has come from the caller since. Openings that remain unanswered
        may have been lost and are not counted.
        """
        opening = sum(
            flow.phase is Phase.OPENING
            and now_ms - flow.sent_ms < UNANSWERED_MS
            for flow in self._opening.values()
        )
        while self._accepted:
            flow = next(iter(self._accepted.values()))
            if now_ms - flow.accepted_ms < FIRST_PACKET_MS:
                break
            del self._accepted[next(iter(self._accepted))]
        return opening + len(self._accepted)

    def held(self) -> list[tuple[packet.FlowKey, Flow]]:
        """Returns the flows whose opening packet is held, oldest first."""
        return [
            (key, flow)
            for key, flow in self._opening.items()
            if flow.phase is Phase.HELD
        ]

    def add(self, key: packet.FlowKey, flow: Flow) -> list[Flow]:
        """Adds a flow, evicting the least recently used one if full.

        Returns:
            The flows removed: a former one with the same key, and the evicted
            one.
        """
        removed = [self.remove(key)]
        if len(self._flows) >= MAX_FLOWS:
            removed.append(self.remove(next(iter(self._flows))))
        self._flows[key] = flow
        if flow.phase.is_opening:
            self._opening[key] = flow
        self.open_flows += flow.phase.is_counted
        return [former for former in removed if former is not None]

    def remove(self, key: packet.FlowKey) -> Flow | None:
        """Removes and returns a flow, or None if it is not in the table."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._opening.pop(key, None)
            self._accepted.pop(key, None)
            self.open_flows -= flow.phase.is_counted
        return flow

    def move(self, key: packet.FlowKey, flow: Flow, phase: Phase) -> None:
        """Moves a flow to another phase."""
        self.open_flows += phase.is_counted - flow.phase.is_counted
        flow.phase = phase
        if phase is Phase.ACCEPTED:
            self._accepted[key] = flow
        else:
            self._accepted.pop(key, None)
        if not phase.is_opening:
            self._opening.pop(key, None)
            flow.opening_data = b""
            flow.others = ()

    def clear(self) -> None:
        """Removes all flows."""
        self._flows.clear()
        self._opening.clear()
        self._accepted.clear()
        self.open_flows = 0

    def touch(self, key: packet.FlowKey, flow: Flow, now_ms: int) -> None:
        """Marks a flow as the most recently used one."""
        flow.used_ms = now_ms
        self._flows.move_to_end(key)

    def sweep(
        self, now_ms: int, *, idle_timeout_ms: int
    ) -> list[tuple[packet.FlowKey, Flow]]:
        """Removes and returns flows that have been idle for too long."""
        discarded = []
        idle_ms = idle_timeout_ms + IDLE_MARGIN_MS
        for key, flow in list(self._flows.items()):
            is_over = flow.phase is Phase.ENDED or (
                flow.phase is Phase.RETURNED and not flow.is_remembered
            )
            limit_ms = ENDED_MS if is_over else idle_ms
            if now_ms - flow.used_ms > limit_ms:
                self.remove(key)
                discarded.append((key, flow))
        return discarded
