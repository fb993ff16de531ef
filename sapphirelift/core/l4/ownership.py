"""Beliefs about which agent owns a flow, as they are written to the log."""

from typing import NamedTuple

from sapphirelift.core.l4 import actions
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
