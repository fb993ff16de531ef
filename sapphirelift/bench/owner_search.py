"""Compares two ways to find the owner of a flow that the balancer lacks.

``python -m sapphirelift.bench.owner_search`` prints, on the in-memory
network, what it costs a balancer to deliver such packets: by asking agents
for the owner, and by a chain, in which each agent that does not own the flow
forwards the packet to the next one.
"""

import json
import statistics
from typing import Any
from typing import NamedTuple
from unittest import mock

from sapphirelift.bench import packet_capacity
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import lookup
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import ownership
from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

AGENTS = (7, 50, 200)
FLOWS = 100
# Callers retransmit after 0.2 to 1.6 s; every search ends before this limit.
MAX_WAIT_MS = 6000


class Cost(NamedTuple):
    """Cost of a packet whose flow the balancer does not know.

    Attributes:
        extra_hops: Messages that carry the packet, besides the one to the
            owner.
        control_bytes: Bytes of Ask and Answer messages, or of the
            encapsulation and repeated headers of extra hops.
        answer_ms: Median time from the request to its answer.
        slowest_ms: Longest such time.
        unanswered: Flows whose request was not answered within
            ``MAX_WAIT_MS``.
        astray: Packets that reached a backend server that does not have
            their flow.
    """

    extra_hops: float
    control_bytes: float
    answer_ms: float
    slowest_ms: int
    unanswered: int
    astray: int


class _ChainBalancer(balancer_module.Balancer):
    """Sends the packets of an unknown flow to one agent after another.

    On the in-memory network an agent returns the packet to this balancer,
    which sends it to the next agent. A deployed agent would forward it
    itself, so the return hop is not counted.

    Attributes:
        chains: Time of the last hop and the remaining agents, by flow.
        finished: Flows whose owner has been found. Their later packets, which
            would go directly to the owner, are dropped here.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.chains: dict[packet.FlowKey, tuple[int, list[messages.Address]]]
        self.chains = {}
        self.finished: set[packet.FlowKey] = set()

    def _look_up(
        self,
        received: packet.Packet,
        now_ms: int,
        *,
        without: messages.Address | None = None,
        belief: ownership.Belief | None = None,
    ) -> None:
        if received.flow in self.finished:
            return
        seen_ms, remaining_agents = self.chains.get(received.flow, (None, []))
        if without is None:
            if seen_ms is not None and now_ms - seen_ms < lookup.ANSWER_MS:
                # A retransmission while the first copy is still in transit.
                return
            # The packet has been lost: restart at the first agent.
            route = self.configuration.find(received.flow)
            assert route is not None
            remaining_agents = self._candidates.of(received.flow, route, now_ms)
        if remaining_agents:
            self.counters["visits"] += 1
            self._deliver(remaining_agents.pop(0), received)
            self.chains[received.flow] = (now_ms, remaining_agents)


def measure(
    agents: int, *, is_chain: bool, dead: int = 0, seed: int = 1
) -> Cost:
    """Moves flows to a newly started balancer and sends a request on each.

    Args:
        agents: Number of agents.
        is_chain: Whether to use the chain instead of asking agents.
        dead: Number of agents that stop at that moment; their flows are
            excluded.
        seed: Seed of the network.
    """
    network = packet_network.Network(seed)
    hosts = [network.add_agent() for _ in range(agents)]
    network.add_balancer()
    network.run(1000)
    flows = []
    for _ in range(FLOWS):
        flows.append(network.open_flow())
        network.run(20)
    network.run(500)
    balancer_class = _ChainBalancer if is_chain else balancer_module.Balancer
    with mock.patch.object(balancer_module, "Balancer", balancer_class):
        core = network.add_balancer("10.1.0.250").core
    network.run(1000)
    network.rotation = ["10.1.0.250"]
    for host in network.rng.sample(hosts, dead):
        host.stop_agent()
    served = [
        flow
        for flow in flows
        if any(h.is_up and h.backend.holds(flow.flow) for h in hosts)
    ]
    times_ms = []
    visits = 0
    for flow in served:
        before = core.counters["visits"]
        times_ms.append(_exchange(network, flow))
        visits += core.counters["visits"] - before
        if isinstance(core, _ChainBalancer):
            core.finished.add(flow.flow)
    answered_ms = [ms for ms in times_ms if ms <= MAX_WAIT_MS]
    sizes = packet_capacity.message_bytes()
    if is_chain:
        extra = visits / len(served) - 1
        # Each extra hop carries the header of the packet again.
        hop_bytes = packets.HEADER_BYTES + sizes["Deliver beside its packet"]
        control = extra * hop_bytes
    else:
        extra = core.counters["missed"] / len(served)
        exchange_bytes = sizes["Ask"] + sizes["Answer"]
        control = core.counters["asks"] * exchange_bytes / len(served)
    return Cost(
        extra_hops=round(extra, 1),
        control_bytes=round(control),
        answer_ms=statistics.median(answered_ms),
        slowest_ms=max(answered_ms),
        unanswered=len(served) - len(answered_ms),
        astray=sum(network.stray_packets(flow.flow) for flow in served),
    )


def _exchange(
    network: packet_network.Network, flow: flow_ends.CallerFlow
) -> int:
    """Returns the time until a request is answered, in ms."""
    begin_ms = network.now_ms
    flow.request()
    while flow.waiting and network.now_ms - begin_ms <= MAX_WAIT_MS:
        network.run(1)
    return network.now_ms - begin_ms


def compare() -> dict[str, dict[str, dict[str, Any]]]:
    """Returns the costs of both methods by number of agents and dead agents."""
    costs = {}
    for agents in AGENTS:
        for dead in (0, 1):
            costs[f"{agents} agents, {dead} dead"] = {
                "asking": measure(agents, is_chain=False, dead=dead)._asdict(),
                "chain": measure(agents, is_chain=True, dead=dead)._asdict(),
            }
    return costs


if __name__ == "__main__":
    print(json.dumps(compare(), indent=1))
