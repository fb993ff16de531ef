"""What operators ask for the requests of a route."""

from typing import NamedTuple

from sapphirelift.core.l4 import packet

# Routes whose terms are remembered; a configuration has up to 1,400.
MAX_ROUTES = 4096
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


class Known:
    """Terms of the routes that an agent has heard of, by address and port."""

    def __init__(self) -> None:
        self._terms: dict[tuple[int, int], Terms] = {}

    def note(self, flow: packet.FlowKey, noted: Terms) -> None:
        """Remembers the terms of a flow's route, for requests on its flows."""
        if noted == Terms():
            # Passed on by an agent, or sent by an earlier release.
            return
        route = (flow.route_ip, flow.route_port)
        if route in self._terms or len(self._terms) < MAX_ROUTES:
            self._terms[route] = noted

    def of(self, flow: packet.FlowKey) -> Terms:
        """Returns the terms of a flow's route, as far as they are known."""
        return self._terms.get((flow.route_ip, flow.route_port), Terms())
