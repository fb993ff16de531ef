"""Shortage of a whole service, as one balancer sees it.

Each balancer derives it from the heartbeats of the agents that it watches and
from the refusals that it gets; no further messages are needed. In a shortage
it offers openings to fewer agents, and refuses at once some of those that the
agents would refuse anyway, least urgent first.
"""

import collections
import dataclasses
from collections.abc import Callable

from sapphirelift.core.l4 import agents as agents_module
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import watch as watch_module

# Waiting openings and requests per slot, over all watched agents. At the first
# value, a new flow waits for a whole request everywhere; at the second one, for
# less than it takes to pass it on to an agent with a free slot.
BEGIN_WAITING = 1.0
END_WAITING = 0.25
# Time constant of the average of what waits: more than two heartbeats (400 ms),
# so that one agent's burst does not count.
AVERAGE_MS = 1000
# Interval between two looks at the agents: half of that of their heartbeats.
UPDATE_MS = 200
# A heartbeat older than this says nothing on the present: three were missed.
STALE_MS = agents_module.SUSPECT_AFTER_MS
# Share of the watched agents whose heartbeats are needed to see a shortage.
MIN_FRESH = 0.5
# Agents to which an opening is offered in a shortage: the one with the least
# waiting, and one that takes over if that fails.
SHORT_CANDIDATES = 2
# Openings of a priority within ``AVERAGE_MS`` from which the share that agents
# refuse can be told.
MIN_OFFERED = 5.0
# Share of what a balancer lets pass that agents refuse while it refuses itself.
# They know their room exactly. As long as twice as much passes as they take,
# no server is idle if demand falls by half before a balancer notices.
AGENTS_SHARE = 0.5
# Change of the refused share in one update, for each point by which the agents
# refuse more or less. It takes about a second to follow a burst, as long as
# heartbeats need to show one, and half of that to let callers in again.
RISE = 0.25
FALL = 0.5
# At most this share is refused here. The rest is offered to agents, so that a
# balancer with an outdated view learns when there is room.
MAX_SHARE = 0.9
# A deployment has about 1,400 routes at the most; urgencies are far fewer.
MAX_SERVICES = 1024
MAX_PRIORITIES = 32

Log = Callable[..., None]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Openings of one priority.

    Attributes:
        offered: Number lately offered to agents.
        refused: Number of these that agents have refused for lack of room.
        share: Share that is refused here.
        owed: Part of a refusal that the next opening adds to.
    """

    offered: float = 0.0
    refused: float = 0.0
    share: float = 0.0
    owed: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there are enough openings to tell the refused share."""
        return self.offered >= MIN_OFFERED

    def adjust(self, *, may_rise: bool) -> None:
        """Adapts the share to what agents refuse of the rest."""
        excess = -AGENTS_SHARE
        if self.is_known:
            excess += self.refused / self.offered
        if excess > 0 and not may_rise:
            return
        step = (RISE if excess > 0 else FALL) * excess
        self.share = min(max(self.share + step, 0.0), MAX_SHARE)

    def takes_refusal(self) -> bool:
        """Returns whether the next opening is refused, evenly spread."""
        self.owed += self.share
        if self.owed < 1.0:
            return False
        self.owed -= 1.0
        return True


class Shortage:
    """Shortage of one service.

    Attributes:
        is_on: Whether the service is short of room.
        waiting: Average number of waiting openings and requests per slot.
        since_ms: When the shortage began.
        refused: Number of openings refused here since then.
        known: Number of agents on whose heartbeats the view rests.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.waiting = 0.0
        self.since_ms = 0
        self.refused = 0
        self.known = 0
        self._updated_ms: int | None = None
        self._demands: dict[int, _Demand] = {}

    def is_due(self, now_ms: int) -> bool:
        """Returns whether to look at the agents again."""
        updated_ms = self._updated_ms
        return updated_ms is None or now_ms - updated_ms >= UPDATE_MS

    def update(
        self, watched: list[agents_module.KnownAgent], now_ms: int
    ) -> None:
        """Looks at the agents and at what they have refused.

        Args:
            watched: Agents of the service from which the balancer hears often.
            now_ms: Current time.
        """
        since_ms = self._updated_ms if self._updated_ms is not None else now_ms
        weight = min((now_ms - since_ms) / AVERAGE_MS, 1.0)
        self._updated_ms = now_ms
        fresh = [agent for agent in watched if _is_fresh(agent, now_ms)]
        self.known = len(fresh)
        slots = sum(max(agent.heartbeat.slots, 1) for agent in fresh)
        if not fresh or len(fresh) < MIN_FRESH * len(watched):
            # When in doubt, openings are let in.
            self.waiting = 0.0
        else:
            waiting = sum(agent.heartbeat.waiting for agent in fresh) / slots
            self.waiting += weight * (waiting - self.waiting)
            # The average rises slowly and falls with what waits now.
            self.waiting = min(self.waiting, 2 * waiting)
        limit = END_WAITING if self.is_on else BEGIN_WAITING
        self._set_on(self.waiting >= limit, now_ms)
        self._adjust_shares(weight)

    def _set_on(self, is_on: bool, now_ms: int) -> None:
        if is_on and not self.is_on:
            self.since_ms = now_ms
            self.refused = 0
        self.is_on = is_on

    def _adjust_shares(self, weight: float) -> None:
        may_rise = True
        for priority in sorted(self._demands, reverse=True):
            demand = self._demands[priority]
            if self.is_on:
                demand.adjust(may_rise=may_rise)
            else:
                demand.share = demand.owed = 0.0
            demand.offered *= 1.0 - weight
            demand.refused *= 1.0 - weight
            # The more urgent ones follow once the less urgent ones are
            # refused as far as they may be.
            may_rise = may_rise and (
                demand.share >= MAX_SHARE or not demand.is_known
            )

    def refuses(self, priority: int) -> bool:
        """Returns whether to refuse an opening; counts it otherwise."""
        demand = self._demand_of(priority)
        if self.is_on and demand.takes_refusal():
            self.refused += 1
            return True
        demand.offered += 1.0
        return False

    def on_refused(self, priority: int) -> None:
        """Counts an opening that the agents have refused."""
        self._demand_of(priority).refused += 1.0

    def share(self, priority: int) -> float:
        """Returns the share of a priority that is refused here."""
        return self._demand_of(priority).share

    def _demand_of(self, priority: int) -> _Demand:
        found = self._demands.get(priority)
        if found is None:
            found = _Demand()
            if len(self._demands) < MAX_PRIORITIES:
                self._demands[priority] = found
        return found


class Shortages:
    """Shortages of all services."""

    def __init__(
        self,
        agents: agents_module.Agents,
        watch: watch_module.Watch,
        counters: collections.Counter[str],
        log: Log,
        load: load_settings.LoadSettings,
    ) -> None:
        """Creates the view of a balancer that knows of no shortage.

        Args:
            agents: Agents known to the balancer.
            watch: Which of them it hears often.
            counters: Where refusals are counted.
            log: Writes a log line.
            load: Decisions under load that the deployment asks for.
        """
        self._agents = agents
        self._watch = watch
        self._counters = counters
        self._log = log
        self._is_used = load.admits_by_priority
        self._is_placed_by_time = load.places_by_expected_time
        self._by_service: dict[str, Shortage] = {}

    def refuses(
        self, received: packet.Packet, route: routes.Route, now_ms: int
    ) -> bool:
        """Returns whether to refuse an opening at once.

        A copy of an opening packet may belong to a flow that has opened
        through another balancer, and is never refused here.
        """
        if not self._is_used or not received.is_first_opening:
            return False
        service = route.service_for(received.flow)
        shortage = self._of(service)
        if shortage.is_due(now_ms):
            was_on = shortage.is_on
            shortage.update(self._watched(service), now_ms)
            if shortage.is_on != was_on:
                self._log_change(service, shortage, now_ms)
        if not shortage.refuses(route.terms.priority):
            return False
        self._counters["opens_refused_shortage"] += 1
        return True

    def _watched(self, service: str) -> list[agents_module.KnownAgent]:
        return [
            agent
            for agent in self._agents.of_services([service])
            if self._watch.includes(agent.address)
        ]

    def _log_change(
        self, service: str, shortage: Shortage, now_ms: int
    ) -> None:
        event = "shortage_begun" if shortage.is_on else "shortage_ended"
        self._counters[event] += 1
        self._log(
            event,
            service=service,
            waiting_per_slot=round(shortage.waiting, 2),
            agents=shortage.known,
            lasted_ms=now_ms - shortage.since_ms,
            refused=shortage.refused,
        )

    def on_refused(self, service: str, priority: int, reason: str) -> None:
        """Takes note of an opening that the agents have refused."""
        if self._is_used and reason == "overloaded":
            self._of(service).on_refused(priority)

    def shorten(
        self, service: str, ranked: list[agents_module.KnownAgent]
    ) -> list[agents_module.KnownAgent]:
        """Returns the agents to offer an opening to: fewer in a shortage.

        By loads alone the least loaded would be one that fails quickly, or the
        one of another data centre that is listed in case all local ones fail.
        With placement by expected time the order is that already.
        """
        if not self._is_used or not ranked or not self._of(service).is_on:
            return ranked
        if self._is_placed_by_time:
            return ranked[:SHORT_CANDIDATES]
        centre = ranked[0].heartbeat.data_centre
        near = [a for a in ranked if a.heartbeat.data_centre == centre]
        away = [a for a in ranked if a.heartbeat.data_centre != centre]
        return [*sorted(near, key=_waiting_per_slot), *away][:SHORT_CANDIDATES]

    def _of(self, service: str) -> Shortage:
        found = self._by_service.get(service)
        if found is None:
            if len(self._by_service) >= MAX_SERVICES:
                self._by_service.clear()
            found = self._by_service[service] = Shortage()
        return found


def _is_fresh(agent: agents_module.KnownAgent, now_ms: int) -> bool:
    """Returns whether an agent's heartbeat tells its present load."""
    return agent.may_open(now_ms) and now_ms - agent.heartbeat_ms <= STALE_MS


def _waiting_per_slot(agent: agents_module.KnownAgent) -> float:
    heartbeat = agent.heartbeat
    waiting = heartbeat.waiting + heartbeat.busy + agent.opens_since
    return waiting / max(heartbeat.slots, 1)
