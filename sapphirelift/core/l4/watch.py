"""Choice of the agents from which a balancer hears often.

If each agent reported to each balancer at the shortest interval, the traffic
would grow with the square of the installation. A balancer therefore watches a
bounded number of agents of each service, preferably of its own data centre,
and hears from the others at a low, bounded rate in total.
"""

import heapq

import xxhash

from sapphirelift.core.l4 import agents as agents_module
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import messages

# Agents watched per service: up to MAX_LOCAL of the balancer's own data centre,
# and so many others that there are at least MIN_REMOTE of them and MIN_TOTAL in
# all. Eight are compared for each flow, and the loss of a data centre leaves
# MIN_REMOTE until others are chosen.
MAX_LOCAL = 24
MIN_REMOTE = 4
MIN_TOTAL = 12
# Agents that own flows in use are watched too, up to this number.
MAX_OWNERS = 16
OWNER_USE_MS = 5000
# Heartbeats per second that a balancer asks for, of the watched agents and of
# all others. With their acknowledgements they stay within the 6 KB/s that a
# daemon may use for control.
WATCHED_PER_S = 40
OTHERS_PER_S = 10
MIN_OTHERS_INTERVAL_MS = 5000
# Time after which the choice is made again without a reason to.
REFRESH_MS = 5000


class Watch:
    """The agents that one balancer watches."""

    def __init__(self, *, own: messages.Address, data_centre: str) -> None:
        """Creates an empty choice.

        Args:
            own: Address of the balancer. Balancers with different addresses
                choose different agents where there are more than they watch.
            data_centre: Data centre of the balancer; empty if all agents
                count as local.
        """
        self._own = own
        self._data_centre = data_centre
        self._hashes: dict[messages.Address, int] = {}
        self._known: frozenset[messages.Address] = frozenset()
        self._watched: frozenset[messages.Address] = frozenset()
        self._next_ms = 0

    def __len__(self) -> int:
        return len(self._watched)

    def includes(self, address: messages.Address) -> bool:
        """Returns whether an agent is watched, or new since the last choice."""
        return address in self._watched or address not in self._known

    def interval_ms(self, address: messages.Address) -> int:
        """Returns the interval at which an agent is to send heartbeats."""
        if self.includes(address):
            return max(
                heartbeats.MIN_INTERVAL_MS,
                len(self._watched) * 1000 // WATCHED_PER_S,
            )
        others = len(self._known) - len(self._watched)
        return max(MIN_OTHERS_INTERVAL_MS, others * 1000 // OTHERS_PER_S)

    def invalidate(self) -> None:
        """Has the choice made again at the next call of ``update``."""
        self._next_ms = 0

    def update(
        self,
        agents: agents_module.Agents,
        *,
        evacuated: frozenset[str],
        now_ms: int,
    ) -> list[messages.Address]:
        """Chooses again if it is time to.

        Args:
            agents: Agents known to the balancer.
            evacuated: Data centres that get no new flows.
            now_ms: Current time.

        Returns:
            Agents that are watched now and were not before.
        """
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + REFRESH_MS
        chosen: set[messages.Address] = set()
        for service in agents.services():
            known = agents.of_services([service])
            usable = frozenset(
                agent.address
                for agent in known
                if agent.may_open(now_ms)
                and agent.heartbeat.data_centre not in evacuated
            )
            chosen.update(self._choose(known, usable))
        owners = [
            agent
            for agent in agents
            if agent.used_ms and now_ms - agent.used_ms <= OWNER_USE_MS
        ]
        owners.sort(key=lambda agent: -agent.used_ms)
        chosen.update(agent.address for agent in owners[:MAX_OWNERS])
        added = [
            address
            for address in chosen
            if address not in self._watched and address in self._known
        ]
        self._watched = frozenset(chosen)
        self._known = frozenset(agent.address for agent in agents)
        return added

    def _choose(
        self,
        known: list[agents_module.KnownAgent],
        usable: frozenset[messages.Address],
    ) -> list[messages.Address]:
        """Returns the agents of one service to watch.

        Agents that get no new flows at the moment are watched only if there
        is room, so that they are not lost sight of in small installations.
        """

        def order(agent: agents_module.KnownAgent) -> tuple[bool, int]:
            return agent.address not in usable, self._hash(agent)

        local = [agent for agent in known if self.is_local(agent)]
        remote = [agent for agent in known if not self.is_local(agent)]
        local = heapq.nsmallest(MAX_LOCAL, local, key=order)
        ready = sum(
            agent.address in usable and not agent.is_cold for agent in local
        )
        others = max(MIN_REMOTE, MIN_TOTAL - ready)
        remote = heapq.nsmallest(others, remote, key=order)
        return [agent.address for agent in (*local, *remote)]

    def is_local(self, agent: agents_module.KnownAgent) -> bool:
        """Returns whether an agent is in the balancer's data centre."""
        return self._data_centre in ("", agent.heartbeat.data_centre)

    def _hash(self, agent: agents_module.KnownAgent) -> int:
        found = self._hashes.get(agent.address)
        if found is None:
            if len(self._hashes) >= agents_module.MAX_AGENTS:
                self._hashes.clear()
            key = f"{self._own.ip}>{agent.address.ip}".encode()
            found = self._hashes[agent.address] = xxhash.xxh32_intdigest(key)
        return found
