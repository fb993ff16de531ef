"""Flows of one agent."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

# Backend servers hold 2,000 connections; as many have ended a short time ago.
MAX_FLOWS = 8192
# An end that has ended a flow still answers late packets of the other end,
# which gives up after 8 retransmissions of up to 1.6 s.
ENDED_MS = 10_000
# Beyond the idle timeout, for packets that are on their way.
IDLE_MARGIN_MS = 5000
# The first packet of a caller comes a round trip (6 ms) after the acceptance;
# one that has not come after several may never come.
FIRST_PACKET_MS = 50
# A backend server answers an opening packet within a millisecond, and within
# 100 ms while its instance's processor quota is used up.
UNANSWERED_MS = 150


class Phase(enum.Enum):
    """Where a flow is in its life."""

    # Held until the backend server bears it.
    HELD = "held"
    OPENING = "opening"
    # The backend server has accepted; the caller's answer is awaited.
    ACCEPTED = "accepted"
    OPEN = "open"
    ENDED = "ended"

    @property
    def is_owned(self) -> bool:
        """Whether the backend server has, or has had, the flow."""
        return self not in (Phase.HELD, Phase.OPENING)


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow of the backend server.

    Attributes:
        caller_sequence: Sequence number of the opening packet; None for a
            flow that was open before the agent started.
        initial_sequence: First sequence number of the backend server; None
            before it has accepted.
        others: Agents that may open the flow instead, while it is opening.
        opening_data: The opening packet, while it is opening.
        sent_ms: When it is given to the backend server; in the future for a
            flow that is held.
        held_ms: When its opening packet came.
        accepted_ms: When the backend server accepted it, or was first seen
            to hold it.
        caller_expects: What the caller acknowledged last, which a reset has
            to name.
        request_ms: When the request in progress began, None if none is.
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
    caller_expects: int = 0
    request_ms: int | None = None


class FlowTable:
    """Bounded table of flows, in the order of their last use."""

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
        """Whether a flow waits for the backend server to accept it."""
        return bool(self._opening)

    def waiting(self, now_ms: int) -> int:
        """Returns the number of flows that are about to bring a request.

        The backend server has been given their opening packet, and the
        caller's first packet has not come yet. Openings that it has not
        answered soon may have been lost and use up no room.
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
        """Returns the flows that wait for their turn, the oldest first."""
        return [
            (key, flow)
            for key, flow in self._opening.items()
            if flow.phase is Phase.HELD
        ]

    def add(self, key: packet.FlowKey, flow: Flow) -> None:
        """Adds a flow; the one unused for longest makes room."""
        self.remove(key)
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        self._flows[key] = flow
        if not flow.phase.is_owned:
            self._opening[key] = flow
        self.open_flows += flow.phase is not Phase.ENDED

    def remove(self, key: packet.FlowKey) -> None:
        """Removes a flow if it is there."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._opening.pop(key, None)
            self._accepted.pop(key, None)
            self.open_flows -= flow.phase is not Phase.ENDED

    def move(self, key: packet.FlowKey, flow: Flow, phase: Phase) -> None:
        """Brings a flow into another phase."""
        self.open_flows += (phase is not Phase.ENDED) - (
            flow.phase is not Phase.ENDED
        )
        flow.phase = phase
        if phase is Phase.ACCEPTED:
            self._accepted[key] = flow
        else:
            self._accepted.pop(key, None)
        if phase.is_owned:
            self._opening.pop(key, None)
            flow.opening_data = b""
            flow.others = ()

    def clear(self) -> None:
        """Removes all flows."""
        self._flows.clear()
        self._opening.clear()
        self._accepted.clear()
        self.open_flows = 0

    def use(self, key: packet.FlowKey, flow: Flow, now_ms: int) -> None:
        """Notes that a packet of a flow has passed."""
        flow.used_ms = now_ms
        self._flows.move_to_end(key)

    def sweep(
        self, now_ms: int, *, idle_timeout_ms: int
    ) -> list[tuple[packet.FlowKey, Flow]]:
        """Discards flows that have been idle for too long; returns them."""
        discarded = []
        idle_ms = idle_timeout_ms + IDLE_MARGIN_MS
        for key, flow in list(self._flows.items()):
            limit_ms = ENDED_MS if flow.phase is Phase.ENDED else idle_ms
            if now_ms - flow.used_ms > limit_ms:
                self.remove(key)
                discarded.append((key, flow))
        return discarded
