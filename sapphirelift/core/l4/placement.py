"""Selection of the agents that may open a new flow."""

import heapq
from collections.abc import Callable

import xxhash

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes

# Maximum number of candidates for an opening packet: enough to leave a third
# one after the failure of two instances, which the deployments tolerate.
MAX_CANDIDATES = 4
# Maximum number of agents compared for one flow. Loads known to balancers are
# up to 400 ms old; if every balancer compared all agents, all would choose the
# same few.
MAX_COMPARED = 8
# Number of agents of other data centres among these. They take over if the
# balancer's own data centre is overloaded or fails.
REMOTE_COMPARED = 2
# Expected work per slot by which an agent in another data centre has to be
# better: one request in progress. Traffic between data centres is expensive.
REMOTE_WORK = 3.0
# Weight of a request in progress relative to an open flow. A request in
# progress delays the next one, whereas an idle flow does not.
BUSY_WEIGHT = 3.0
# An agent counts as slow if its response time exceeds this multiple of the
# median. The mix of requests alone does not cause a ratio of two.
SLOW_RATIO = 2.0


def expected_work(agent: agents.KnownAgent, median_response_ms: float) -> float:
    """Returns the expected load per slot that a new flow finds at an agent.

    Open flows will send requests later, whereas requests in progress already
    occupy slots.

    Args:
        agent: The agent.
        median_response_ms: Median response time of the candidates. The load
            of an agent slower than ``SLOW_RATIO`` times the median is scaled
            up accordingly.
    """
    heartbeat = agent.heartbeat
    flows = agent.flows + agent.opens_since
    work = (flows + BUSY_WEIGHT * heartbeat.busy) / max(heartbeat.slots, 1)
    if heartbeat.response_ms > SLOW_RATIO * median_response_ms:
        work *= heartbeat.response_ms / max(median_response_ms, 1.0)
    return work


def _flow_hash(
    flow: packet.FlowKey,
) -> Callable[[agents.KnownAgent], int]:
    """Returns the rendezvous hash of agents for a flow."""
    key = repr(tuple(flow))

    def rendezvous_hash(agent: agents.KnownAgent) -> int:
        return xxhash.xxh32_intdigest((key + agent.name).encode())

    return rendezvous_hash


def in_hash_order(
    flow: packet.FlowKey, known: list[agents.KnownAgent]
) -> list[agents.KnownAgent]:
    """Returns agents in the order of rendezvous hashing for a flow."""
    return sorted(known, key=_flow_hash(flow))


def rank(
    flow: packet.FlowKey,
    candidates: list[agents.KnownAgent],
    *,
    count: int = MAX_CANDIDATES,
    data_centre: str = "",
) -> list[agents.KnownAgent]:
    """Returns the agents with the least expected work, best first.

    Rendezvous hashing of the flow selects the agents that are compared and
    breaks ties, so that balancers with the same load data do not all choose
    the same agent.

    Args:
        flow: The flow.
        candidates: Agents that may be given the flow.
        count: Maximum number of agents returned.
        data_centre: Data centre whose agents are preferred; empty for no
            preference. The last agent returned is of another one, if there is
            any and more than one agent is returned.
    """
    rendezvous_hash = _flow_hash(flow)

    def is_remote(agent: agents.KnownAgent) -> bool:
        return data_centre not in ("", agent.heartbeat.data_centre)

    if len(candidates) > MAX_COMPARED:
        local = [agent for agent in candidates if not is_remote(agent)]
        remote = [agent for agent in candidates if is_remote(agent)]
        remote_count = max(
            min(REMOTE_COMPARED, len(remote)), MAX_COMPARED - len(local)
        )
        candidates = [
            *heapq.nsmallest(
                MAX_COMPARED - remote_count, local, key=rendezvous_hash
            ),
            *heapq.nsmallest(remote_count, remote, key=rendezvous_hash),
        ]
    times_ms = sorted(agent.heartbeat.response_ms for agent in candidates)
    median_ms = times_ms[len(times_ms) // 2] if times_ms else 0.0
    ranked = sorted(
        candidates,
        key=lambda agent: (
            round(
                expected_work(agent, median_ms)
                + REMOTE_WORK * is_remote(agent),
                2,
            ),
            rendezvous_hash(agent),
        ),
    )
    chosen = ranked[:count]
    if len(chosen) > 1 and not any(is_remote(agent) for agent in chosen):
        chosen[-1] = next(filter(is_remote, ranked), chosen[-1])
    return chosen


def eligible(
    known: agents.Agents,
    service: str,
    *,
    route: routes.Route,
    evacuated: frozenset[str],
    now_ms: int,
) -> list[agents.KnownAgent]:
    """Returns the agents that may be given a new flow of a route."""
    return [
        agent
        for agent in known.of_services([service])
        if agent.may_open(now_ms)
        and agent.heartbeat.data_centre not in evacuated
        and (not route.regions or agent.heartbeat.region in route.regions)
    ]
