"""Agents that may own a flow whose owner a balancer does not know."""

from collections.abc import Iterator
from collections.abc import Mapping

from sapphirelift.core.l4 import agents as agents_module
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import placement
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import watch as watch_module

# Maximum number of agents asked about one flow without a resolver. If there are
# more, a failed search does not prove that the flow has ended.
MAX_ASKED_AGENTS = 256


class OwnerCandidates:
    """View of the agents of one balancer.

    Attributes:
        contact_ms: Time without messages after which an instance that has
            announced a stop counts as lost.
    """

    def __init__(
        self,
        known: agents_module.Agents,
        unconfirmed: Mapping[messages.Address, agents_module.UnconfirmedAgent],
        watch: watch_module.Watch,
        *,
        contact_ms: int,
    ) -> None:
        """Creates the view.

        Args:
            known: Agents from which heartbeats have been received.
            unconfirmed: Agents known only by their address.
            watch: Agents from which the balancer hears often.
            contact_ms: See the attribute.
        """
        self.contact_ms = contact_ms
        self._known = known
        self._unconfirmed = unconfirmed
        self._watch = watch

    def of(
        self, flow: packet.FlowKey, route: routes.Route, now_ms: int
    ) -> list[messages.Address]:
        """Returns the agents that may own a flow of a route, likeliest first.

        The order is that in which balancers of this data centre compare the
        agents for a new flow, so that the owner is usually among the first.
        Agents of other services are included, but come last: an earlier
        configuration may have routed the flow to any service.
        """
        services = set(route.services)
        local: list[agents_module.KnownAgent] = []
        remote: list[agents_module.KnownAgent] = []
        others: list[messages.Address] = []
        for agent in self._owning(now_ms):
            if agent.heartbeat.service not in services:
                others.append(agent.address)
            elif self._watch.is_local(agent):
                local.append(agent)
            else:
                remote.append(agent)
        others += self.unconfirmed(now_ms)
        likely = [
            agent.address
            for known in (local, remote)
            for agent in placement.in_hash_order(flow, known)
        ]
        return [*likely, *others][:MAX_ASKED_AGENTS]

    def all(self, now_ms: int) -> list[messages.Address]:
        """Returns all agents that may own flows."""
        known = (agent.address for agent in self._owning(now_ms))
        return [*known, *self.unconfirmed(now_ms)]

    def _owning(self, now_ms: int) -> Iterator[agents_module.KnownAgent]:
        for agent in self._known:
            if agent.may_own(now_ms, contact_ms=self.contact_ms):
                yield agent

    def unconfirmed(self, now_ms: int) -> list[messages.Address]:
        """Returns agents known only by their address that may own a flow."""
        return [
            address
            for address, found in self._unconfirmed.items()
            if found.may_own(now_ms, contact_ms=self.contact_ms)
        ]

    def silent(self, now_ms: int) -> frozenset[messages.Address]:
        """Returns the agents that may own flows and do not answer."""
        late = [
            agent.address
            for agent in self._owning(now_ms)
            if agent.is_late(now_ms)
        ]
        return frozenset([*late, *self.unconfirmed(now_ms)])

    def is_any_stopping(self, now_ms: int) -> bool:
        """Returns whether a silent agent is being restarted by plan."""
        return any(
            agent.heartbeat.state == agents_module.LEAVING
            for agent in self._owning(now_ms)
        ) or any(
            self._unconfirmed[address].is_stopping
            for address in self.unconfirmed(now_ms)
        )
