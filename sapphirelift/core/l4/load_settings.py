"""Settings of the decisions under load."""

from typing import Annotated

import msgspec

Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decisions under load that a deployment asks for.

    Attributes:
        queues_requests: Whether an agent holds the requests that its backend
            server has no room for, and chooses which one goes next.
        admits_by_priority: Whether openings are admitted by the priority and
            the deadline of their route while a service is short of room.
        places_by_expected_time: Whether new flows go where an answer is
            expected soonest, rather than to the least loaded agent.
        extra_openings_percent: Share of the openings of repeatable requests
            that may be offered to a second agent; 0 for none.
    """

    queues_requests: bool = False
    admits_by_priority: bool = False
    places_by_expected_time: bool = False
    extra_openings_percent: Percent = 0.0


# Asks for none of them.
NONE = LoadSettings()
