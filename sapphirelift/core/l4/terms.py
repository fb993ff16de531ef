"""What operators ask for the requests of a route."""

from typing import NamedTuple

# Priority of a request whose route is not known: behind all others.
UNKNOWN_PRIORITY = 1_000_000


class Terms(NamedTuple):
    """Urgency of a route's requests.

    Attributes:
        priority: Rank among the routes of a service; 0 is the most urgent.
        aim_ms: Latency objective; 0 for none.
        timeout_ms: Time after which callers give up; 0 for none.
        is_repeatable: Whether a request may run more than once.
    """

    priority: int = UNKNOWN_PRIORITY
    aim_ms: int = 0
    timeout_ms: int = 0
    is_repeatable: bool = False
