"""Selection of the agents that may open a new flow."""

import collections
import dataclasses
import heapq
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import expected_time
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import overflow
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms as terms_module
from sapphirelift.core.l4 import watch as watch_module

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

# A failed request that may be repeated costs its caller the latency objective,
# or this multiple of the work where a route has none; another one its timeout,
# or this long.
OBJECTIVE_WORK = 5.0
UNKNOWN_TIMEOUT_MS = 1000.0
# Interval at which services that are gone are forgotten.
FORGET_MS = 60_000


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


class Choice(NamedTuple):
    """Agents for one opening packet.

    Attributes:
        ranked: Those to which it is offered, best first.
        found: All that may take the flow.
        candidates: Those among which the choice was made: the watched ones, or
            all if none is watched.
    """

    ranked: list[agents.KnownAgent]
    found: list[agents.KnownAgent]
    candidates: list[agents.KnownAgent]


class _Estimate(NamedTuple):
    """What a flow would find at one agent.

    Attributes:
        agent: The agent.
        speed: How its server compares with the others.
        work_ms: Work of a request there.
        load: Requests for each slot ahead of it.
    """

    agent: agents.KnownAgent
    speed: expected_time.Speed
    work_ms: float
    load: float


class Placement:
    """Chooses the agents for new flows, with the loads known to a balancer."""

    def __init__(
        self,
        *,
        is_by_expected_time: bool,
        data_centre: str,
        counters: collections.Counter[str],
        log: expected_time.Log,
    ) -> None:
        """Creates a placement that knows no loads.

        Args:
            is_by_expected_time: Whether flows go where an answer is expected
                soonest, and leave a data centre without room for them.
            data_centre: Data centre of the balancer; empty for no preference.
            counters: Event counts by name.
            log: Writes a log line, with its fields as keyword arguments.
        """
        self._is_by_expected_time = is_by_expected_time
        self._data_centre = data_centre
        self._counters = counters
        self._times = expected_time.ExpectedTime(log)
        self._overflow = overflow.Overflow(
            own=data_centre, counters=counters, log=log
        )
        self._forget_ms = 0

    def choose(
        self,
        flow: packet.FlowKey,
        known: agents.Agents,
        watch: watch_module.Watch,
        *,
        route: routes.Route,
        evacuated: frozenset[str],
        now_ms: int,
    ) -> Choice:
        """Returns the agents for a new flow.

        Args:
            flow: The flow.
            known: All agents.
            watch: Tells from which of them the balancer hears often.
            route: Route of the flow.
            evacuated: Evacuated data centres.
            now_ms: Current time.
        """
        service = route.service_for(flow)
        found = eligible(
            known, service, route=route, evacuated=evacuated, now_ms=now_ms
        )
        watched = [agent for agent in found if watch.includes(agent.address)]
        candidates = watched or found
        if not self._is_by_expected_time:
            ranked = rank(flow, candidates, data_centre=self._data_centre)
            return Choice(ranked, found, candidates)
        if now_ms >= self._forget_ms:
            self._forget_ms = now_ms + FORGET_MS
            self._times.keep(known.services())
            self._overflow.keep(known.services())
        # What is kept of a service must not depend on the route that asks.
        serving, heard = found, watched
        if route.regions:
            serving = eligible(
                known,
                service,
                route=dataclasses.replace(route, regions=frozenset()),
                evacuated=evacuated,
                now_ms=now_ms,
            )
            heard = [a for a in serving if watch.includes(a.address)]
        self._times.update(service, heard or serving, now_ms)
        self._overflow.update(service, serving, heard, now_ms)
        ranked = self._rank(flow, service, candidates, route.terms, now_ms)
        return Choice(ranked, found, candidates)

    def _rank(
        self,
        flow: packet.FlowKey,
        service: str,
        candidates: list[agents.KnownAgent],
        terms: terms_module.Terms,
        now_ms: int,
    ) -> list[agents.KnownAgent]:
        """Returns the agents with the least expected time, best first.

        Those of the data centre that is chosen for the flow come before all
        others. The last one is of another data centre, if there is any.
        """
        rendezvous_hash = _flow_hash(flow)
        centre = self._overflow.choose(service, flow)
        if not any(a.heartbeat.data_centre == centre for a in candidates):
            centre = self._data_centre
        second = self._data_centre
        if centre == second:
            second = self._overflow.neighbour(service, flow)

        def is_away(agent: agents.KnownAgent) -> bool:
            return centre not in ("", agent.heartbeat.data_centre)

        def away_order(agent: agents.KnownAgent) -> tuple[bool, int]:
            is_second = agent.heartbeat.data_centre == second
            return not is_second, rendezvous_hash(agent)

        near = [agent for agent in candidates if not is_away(agent)]
        away = [agent for agent in candidates if is_away(agent)]
        away_count = max(
            min(REMOTE_COMPARED, len(away)), MAX_COMPARED - len(near)
        )
        near = heapq.nsmallest(
            MAX_COMPARED - away_count, near, key=rendezvous_hash
        )
        away = heapq.nsmallest(away_count, away, key=away_order)
        order = self._time_order(
            flow, service, near=near, away=away, terms=terms, now_ms=now_ms
        )
        ranked = sorted(
            (*near, *away), key=lambda a: (order[a.address], rendezvous_hash(a))
        )
        chosen = ranked[:MAX_CANDIDATES]
        if len(chosen) > 1 and not any(map(is_away, chosen)):
            chosen[-1] = next(filter(is_away, ranked), chosen[-1])
        return chosen

    def _time_order(
        self,
        flow: packet.FlowKey,
        service: str,
        *,
        near: list[agents.KnownAgent],
        away: list[agents.KnownAgent],
        terms: terms_module.Terms,
        now_ms: int,
    ) -> dict[messages.Address, tuple[int, float]]:
        """Returns for each agent the class in which it comes, and its time.

        Avoided servers get a flow if all near ones are full, or if all others
        are avoided too.
        """
        if terms.is_repeatable:
            cost_ms = float(terms.aim_ms) or (
                OBJECTIVE_WORK * self._times.work_ms(service)
            )
        else:
            cost_ms = float(terms.timeout_ms) or UNKNOWN_TIMEOUT_MS
        estimates = [
            self._estimate(flow, service, agent, len(near))
            for agent in (*near, *away)
        ]
        fresh = [e.load for e in estimates if not e.agent.is_late(now_ms)]
        mean_load = sum(fresh) / max(len(fresh), 1)
        good = [e for e in estimates[: len(near)] if not e.speed.is_avoided]
        # Good servers come first as long as one has room.
        loads = [
            expected_time.recent_load(e.agent, now_ms, work_ms=e.work_ms)
            for e in good
        ]
        is_full = min(loads, default=0.0) >= expected_time.FULL_LOAD
        leaves = is_full and overflow.leaves(
            flow, overflow.excess_share(sum(loads) / len(loads))
        )
        order: dict[messages.Address, tuple[int, float]] = {}
        for index, (agent, speed, work_ms, load) in enumerate(estimates):
            if agent.is_late(now_ms):
                # It may be as busy as the others meanwhile.
                load = max(load, mean_load)
            is_near = index < len(near)
            if speed.is_avoided:
                rank_class = 1 if is_near and good else 3
            elif is_near:
                rank_class = int(is_full)
            else:
                has_room = load < overflow.TAKE_LOAD
                rank_class = 0 if leaves and has_room else 2
            expected_ms = expected_time.expected_ms(
                agent,
                work_ms=work_ms,
                load=load,
                speed=speed,
                failure_cost_ms=cost_ms,
            )
            order[agent.address] = rank_class, round(expected_ms, 1)
        return order

    def _estimate(
        self,
        flow: packet.FlowKey,
        service: str,
        agent: agents.KnownAgent,
        near_count: int,
    ) -> _Estimate:
        speed = self._speed(flow, service, agent, near_count)
        work_ms = self._times.work_at_ms(service, agent, speed)
        return _Estimate(agent, speed, work_ms, expected_time.load(agent))

    def _speed(
        self,
        flow: packet.FlowKey,
        service: str,
        agent: agents.KnownAgent,
        near_count: int,
    ) -> expected_time.Speed:
        """Returns how fast a server counts as for one flow."""
        speed = self._times.speed(service, agent)
        if speed.is_avoided and expected_time.is_trial(flow, agent, near_count):
            self._counters["opens_trying_avoided"] += 1
            return expected_time.Speed()
        return speed
