"""Baseline placement policies that the load table is compared with.

Each one replaces the load table of an agent and gets the same load reports.
"""

from sapphirelift import messages
from sapphirelift.core.flows import load


class PlainHash(load.LoadTable):
    """Leaves flows where hashing places them, and requests at the owner."""

    def place_flow(
        self,
        own: load.LocalLoad,
        candidates: list[messages.Address],
        now_ms: int,
    ) -> load.Peer | None:
        """Returns None: the flow is not forwarded."""
        return None

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns None: the request is not transferred."""
        return None


class Random(PlainHash):
    """Places each request at an agent drawn at random."""

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns a usable peer or None, all with the same probability."""
        return self._rng.choice([None, *self.usable_peers(now_ms)])


class RoundRobin(PlainHash):
    """Places the requests of each agent at all agents in turn."""

    _next_index = 0

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns the next peer, or None for this agent."""
        peers = sorted(self.usable_peers(now_ms), key=lambda p: p.report.name)
        self._next_index += 1
        return [None, *peers][self._next_index % (len(peers) + 1)]


class LeastLoadedStale(PlainHash):
    """Places each request at the agent with the least reported load.

    Requests sent since the last report are not counted.
    """

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns the least loaded peer, or None for this agent."""
        own_load = (own.busy + own.queued) / own.slots
        peers = self.usable_peers(now_ms)
        best = min(peers, key=_reported_load, default=None)
        if best is None or _reported_load(best) >= own_load:
            return None
        return best


def _reported_load(peer: load.Peer) -> float:
    return (peer.report.busy + peer.report.queued) / peer.report.slots


BASELINES: dict[str, type[load.LoadTable]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "plain_hash": PlainHash,
    "least_loaded_stale": LeastLoadedStale,
}
