"""Beliefs about which agent owns a flow, as they are written to the log."""

import dataclasses
from typing import NamedTuple

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

# Sources of a belief.
OPENED = "opened"
FOUND = "search"
# Told by a packet of the backend server, after a restart of its agent.
RELEARNED = "relearned"


class Belief(NamedTuple):
    """What a daemon believes, or last believed, about a flow's owner.

    Attributes:
        owner: Name of the agent, or its address if its name is not known.
        since_ms: When the belief began.
        source: What it rests on, one of the constants of this module.
    """

    owner: str
    since_ms: int
    source: str


@dataclasses.dataclass(slots=True)
class Owner:
    """Cached owner of a flow.

    Attributes:
        address: Address of the agent that owns the flow.
        since_ms: When the balancer learned of the owner.
        source: What it learned it from, see ``Belief``.
        caller_sequence: Sequence number of the opening packet, None if the
            owner was found by a search.
        service: Service to which the opening was assigned.
        received_ms: When the opening packet was received.
        initial_sequence: Initial sequence number of the backend server, None
            if unknown.
        alternative: A second agent whose backend server has accepted a copy
            of the opening packet, with its initial sequence number.
        unused: An agent whose backend server has accepted a copy of the
            opening packet that the caller does not use.
    """

    address: messages.Address
    since_ms: int
    source: str
    caller_sequence: int | None = None
    service: str = ""
    received_ms: int = 0
    initial_sequence: int | None = None
    alternative: tuple[messages.Address, int] | None = None
    unused: messages.Address | None = None

    def is_opened_by(self, received: packet.Packet, now_ms: int) -> bool:
        """Returns whether an opening packet is a copy of the flow's one."""
        return received.repeats_opening(
            self.caller_sequence, now_ms - self.received_ms
        )

    def resolve(self, received: packet.Packet) -> None:
        """Determines which of two accepted openings the caller uses.

        The caller acknowledges the initial sequence number of one of them.
        """
        if self.alternative is None or not received.is_ack:
            return
        self.unused, initial_sequence = self.alternative
        if received.acknowledged == (initial_sequence + 1) & 0xFFFFFFFF:
            self.address, self.unused = self.unused, self.address
        self.alternative = None


def reset_line(
    flow: packet.FlowKey,
    *,
    reason: str,
    belief: Belief | None,
    now_ms: int,
    **details: object,
) -> actions.Log:
    """Returns the log line of a reset that a daemon sends to a caller.

    Args:
        flow: The flow.
        reason: Why it is reset.
        belief: What is believed about its owner, None if nothing is known.
        now_ms: Current time.
        **details: Further inputs of the decision.
    """
    return actions.Log(
        "flow_reset",
        {
            "flow": str(flow),
            "reason": reason,
            "owner": belief.owner if belief else None,
            "belief_age_ms": now_ms - belief.since_ms if belief else None,
            "belief_source": belief.source if belief else None,
            **details,
        },
    )
