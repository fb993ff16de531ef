"""Opening packet that a balancer has offered to agents."""

import dataclasses

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms as terms_module

# Time an agent has to answer an opening packet, which it does once its backend
# server has accepted the flow. Longer than the time after which an agent passes
# on an opening that its backend server has not answered (``agent.ACCEPT_MS``
# and one tick), and shorter than the 200 ms after which callers retransmit it.
OPEN_ANSWER_MS = 140
# For this long, packets of a caller wait for the word of the agent that has
# accepted its flow, which is on its way since before the caller's answer.
PACKETS_KEPT_MS = 20
# Packets of a caller kept until it is known which of two agents it uses. A
# caller has at most as many in flight.
MAX_PACKETS = 16


@dataclasses.dataclass(slots=True)
class ExtraOffer:
    """Offer of an opening to a second agent, which has not answered yet.

    Attributes:
        agent: The agent.
        sent_ms: When the opening was offered to it.
        refusal: Refusal by the agents to which the opening was offered first,
            kept until the second one has answered.
    """

    agent: messages.Address
    sent_ms: int
    refusal: messages.Refused | None = None

    def is_overdue(self, now_ms: int) -> bool:
        """Returns whether the agent is late with its answer."""
        return now_ms - self.sent_ms >= OPEN_ANSWER_MS


@dataclasses.dataclass(slots=True)
class Opening:
    """An opening packet and the agents to which it is offered.

    Attributes:
        service: Service to which the configuration in force assigned it.
        candidates: Agents that may open the flow, best first.
        terms: Urgency of the requests of the flow's route.
        sent_ms: When the packet was sent to the current candidate.
        index: Position of the current candidate.
        held_until_ms: Until when an agent holds the packet; 0 if none does.
        has_considered_extra: Whether it has been decided if the opening is
            offered to a second agent.
        extra: The offer to a second agent; None without one, or if that
            agent has refused.
        packets: Packets of the caller, which has taken the acceptance of one
            of two agents before this balancer has heard of it.
        packets_ms: When the first of them was received.
        unused: An agent that has accepted the flow, while the caller uses the
            acceptance of another one.
        is_used: Whether the caller has acknowledged an acceptance. The word of
            it may have been lost, and a refusal must not reset the flow then.
    """

    data: bytes
    service: str
    caller_sequence: int
    candidates: list[messages.Address]
    terms: terms_module.Terms
    started_ms: int
    sent_ms: int
    index: int = 0
    held_until_ms: int = 0
    has_considered_extra: bool = False
    extra: ExtraOffer | None = None
    packets: list[packet.Packet] = dataclasses.field(default_factory=list)
    packets_ms: int = 0
    unused: messages.Address | None = None
    is_used: bool = False

    @property
    def candidate(self) -> messages.Address:
        """Agent to which it is offered at present, or was passed on from."""
        return self.candidates[self.index]

    @property
    def offered(self) -> list[messages.Address]:
        """Agents that may have been offered the opening, second one first."""
        second = [self.extra.agent] if self.extra is not None else []
        return [*second, *(a for a in self.candidates if a not in second)]

    def is_opened_by(self, received: packet.Packet, now_ms: int) -> bool:
        """Returns whether an opening packet is a copy of this one."""
        return received.repeats_opening(
            self.caller_sequence, now_ms - self.started_ms
        )

    def may_be_repeated_on(self, route: routes.Route) -> bool:
        """Returns whether its route, as it is now, allows another offer."""
        return route.terms.is_repeatable and self.service in route.services

    def is_overdue(self, now_ms: int) -> bool:
        """Returns whether the current candidate is late with its answer."""
        since_ms = max(self.sent_ms, self.held_until_ms)
        return now_ms - since_ms >= OPEN_ANSWER_MS

    def keep(self, received: packet.Packet, now_ms: int) -> bool:
        """Keeps a packet of the caller until its agent is known.

        Returns:
            Whether it has been kept: two agents may have accepted the flow,
            and the packet tells which one the caller uses.
        """
        self.is_used = self.is_used or received.is_ack
        if self.extra is None or not received.is_ack:
            return False
        self.packets_ms = self.packets_ms if self.packets else now_ms
        if len(self.packets) < MAX_PACKETS:
            self.packets.append(received)
        return True

    def has_waiting_packets(self, now_ms: int) -> bool:
        """Returns whether packets have been kept for too long."""
        waited_ms = now_ms - self.packets_ms
        return bool(self.packets) and waited_ms >= PACKETS_KEPT_MS

    def take_packets(self) -> list[packet.Packet]:
        """Returns the kept packets, and keeps them no longer."""
        taken, self.packets = self.packets, []
        return taken

    def is_denied_by_caller(self, opened: messages.Opened) -> bool:
        """Returns whether the caller uses another acceptance than this one."""
        first_byte = (opened.initial_sequence + 1) & 0xFFFFFFFF
        return (
            self.extra is not None
            and bool(self.packets)
            and not any(
                received.acknowledged == first_byte for received in self.packets
            )
        )
