"""Flows that nobody owns as far as the agents have answered.

While an agent that may own such a flow is silent, the caller cannot be reset.
Each retransmission would begin another search with the same outcome; after an
outage these are most of the work of a balancer. The flow waits here instead
until the agents that were silent have answered or count as lost.
"""

import collections
import dataclasses

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

MAX_FLOWS = 4096
# Retransmissions within this time after a search do not begin another one. An
# agent may own the flow that could not be probed in the former search.
SEARCH_AGAIN_MS = 1000
# Without a silent agent, a question or an answer was lost or late. Callers
# retransmit after 200 ms, and give up after 0.8 s on the most urgent routes.
SEARCH_AGAIN_AFTER_LOSS_MS = 150
# Callers give up later than this on few routes only. The flow may then have
# ended, and its next packet begins another search.
FORGET_MS = 5000


@dataclasses.dataclass(slots=True)
class _Unproven:
    """One flow.

    Attributes:
        received: Newest packet of the caller.
        searched_ms: When the last search ended.
        silent: Agents that may own the flow and had not answered then.
    """

    received: packet.Packet
    searched_ms: int
    silent: frozenset[messages.Address]


class UnprovenFlows:
    """Bounded table of the flows that wait for silent agents."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[packet.FlowKey, _Unproven] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._flows)

    def add(
        self,
        received: packet.Packet,
        silent: frozenset[messages.Address],
        now_ms: int,
    ) -> None:
        """Adds a flow after a search without an outcome.

        Args:
            received: Newest packet of the caller.
            silent: Agents that may own the flow and have not answered.
            now_ms: Current time.
        """
        self._flows.pop(received.flow, None)
        if len(self._flows) >= MAX_FLOWS:
            self._flows.popitem(last=False)
        self._flows[received.flow] = _Unproven(received, now_ms, silent)

    def take(self, flow: packet.FlowKey) -> packet.Packet | None:
        """Removes a flow; returns its newest packet, None if there is none."""
        unproven = self._flows.pop(flow, None)
        return unproven.received if unproven is not None else None

    def discard(self, flow: packet.FlowKey) -> None:
        """Forgets a flow, because its owner is known or it opens anew."""
        self._flows.pop(flow, None)

    def holds(self, received: packet.Packet, now_ms: int) -> bool:
        """Returns whether a search for a packet's flow would change nothing.

        The packet then takes the place of the former one.
        """
        unproven = self._flows.get(received.flow)
        if unproven is None:
            return False
        again_ms = (
            SEARCH_AGAIN_MS if unproven.silent else SEARCH_AGAIN_AFTER_LOSS_MS
        )
        if now_ms - unproven.searched_ms >= again_ms:
            del self._flows[received.flow]
            return False
        unproven.received = received
        return True

    def take_due(
        self,
        silent: frozenset[messages.Address],
        answering: frozenset[messages.Address],
        now_ms: int,
    ) -> list[packet.Packet]:
        """Removes and returns packets whose flows are worth another search.

        Args:
            silent: Agents that may own flows and do not answer now.
            answering: Agents that answer now.
            now_ms: Current time.
        """
        due: list[packet.Packet] = []
        for flow, unproven in list(self._flows.items()):
            if now_ms - unproven.searched_ms > FORGET_MS:
                del self._flows[flow]
            elif unproven.silent and (
                unproven.silent.isdisjoint(silent)
                or not unproven.silent.isdisjoint(answering)
            ):
                del self._flows[flow]
                due.append(unproven.received)
        return due
