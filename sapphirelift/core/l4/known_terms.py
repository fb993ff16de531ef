"""Terms of the routes for which an agent has been offered flows."""

from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms as terms_module

# Routes whose terms are remembered; a configuration has up to 1,400.
MAX_ROUTES = 4096


class KnownTerms:
    """Terms by route, for openings passed on and requests on open flows."""

    def __init__(self) -> None:
        self._by_route: dict[routes.RouteKey, terms_module.Terms] = {}

    def note(self, flow: packet.FlowKey, noted: terms_module.Terms) -> None:
        """Remembers the terms of a flow's route, if they are named."""
        if noted == terms_module.Terms():
            # Passed on by an agent, or sent by an earlier release.
            return
        route = routes.RouteKey(flow.route_ip, flow.route_port)
        if route in self._by_route or len(self._by_route) < MAX_ROUTES:
            self._by_route[route] = noted

    def of(self, flow: packet.FlowKey) -> terms_module.Terms:
        """Returns the terms of a flow's route, as far as they are known."""
        route = routes.RouteKey(flow.route_ip, flow.route_port)
        return self._by_route.get(route, terms_module.Terms())
