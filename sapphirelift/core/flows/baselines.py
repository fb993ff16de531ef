"""Placements of requests against which the load table is measured.

Each one takes the place of an agent's load table and gets the same reports.
"""

from sapphirelift import messages
from sapphirelift.core.flows import load


class PlainHash(load.LoadTable):
    """Flows stay where hashing puts them, requests stay with their flow."""

    def place_flow(
        self,
        own: load.LocalLoad,
        candidates: list[messages.Address],
        now_ms: int,
    ) -> load.Peer | None:
        """Returns None: the flow stays."""
        return None

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns None: the request stays."""
        return None


class Random(PlainHash):
    """Each request goes to an agent drawn at random."""

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns a peer or None with equal chances."""
        return self._rng.choice([None, *self.usable(now_ms)])


class RoundRobin(PlainHash):
    """Each agent deals its requests out in turn."""

    _turn = 0

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns the next agent, None for this one."""
        peers = sorted(self.usable(now_ms), key=lambda p: p.report.name)
        self._turn += 1
        return [None, *peers][self._turn % (len(peers) + 1)]


class LeastLoadedStale(PlainHash):
    """Each request goes to the least loaded agent by the last reports."""

    def place_request(
        self, own: load.LocalLoad, now_ms: int
    ) -> load.Peer | None:
        """Returns the peer with the least load, None for this agent."""
        here = (own.busy + own.queued) / own.slots
        peers = self.usable(now_ms)
        best = min(peers, key=_reported_load, default=None)
        if best is None or _reported_load(best) >= here:
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
