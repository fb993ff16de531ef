"""Expected time from a request to its answer at the agents of a service."""

import dataclasses
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

# Interval at which the servers of a service are compared: that of heartbeats.
COMPARE_MS = 400
# Work of a request while no server has answered any.
UNKNOWN_WORK_MS = 20.0
# A cold backend server takes this multiple of the work, by the platform.
COLD_WORK = 1.6
# Part of a request in progress for which an open flow counts: it sends requests
# later. As in ``placement.BUSY_WEIGHT``.
FLOW_SHARE = 1 / 3
# Measured averages of equal servers differ by this much.
EQUAL_WORK = 1.25
MAX_SLOWNESS = 10.0
# Latency objectives are five times the work: a server that takes more than half
# of that has no time left for a request ahead, and is avoided.
AVOIDED_SLOWNESS = 2.5
# So is one that fails this share of requests more than the others do. A caller
# has three tries; each failure takes one. Where others fail too, it has to be
# half as much again, as shares are of some twenty requests.
AVOIDED_FAILURES = 0.10
AVOIDED_EXCESS = 0.5
# Share of a service, by weight, that may be avoided. The others have to bear
# its load: half as much again.
MAX_AVOIDED_SHARE = 1 / 3
# Share of the flows due to an avoided server that it gets nevertheless, which
# show whether it has recovered.
TRIAL_SHARE = 0.1
# With this many requests for each slot an agent holds openings.
FULL_LOAD = 2.0

Log = Callable[..., None]


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """A server compared with the others of its service.

    Attributes:
        slowness: Multiple of the usual work; at least 1.0, as failures are
            quick as well.
        failures: Share of requests that fail, beyond the usual share; 0.0
            if there are too few to tell.
        is_avoided: Whether it gets new flows only if the others are full.
    """

    slowness: float = 1.0
    failures: float = 0.0
    is_avoided: bool = False

    @property
    def is_avoidable(self) -> bool:
        """Whether it is slow or fails so often that it is better avoided."""
        return self.slowness >= AVOIDED_SLOWNESS or self.failures > 0

    @property
    def badness(self) -> float:
        """Order in which servers are avoided."""
        return self.slowness + self.failures / AVOIDED_FAILURES


_USUAL = Speed()


class _Comparison:
    """The servers of one service, compared at one time.

    Attributes:
        work_ms: Usual work of a request.
        speeds: Speed by address, of servers that differ from the others.
    """

    def __init__(self, known: list[agents.KnownAgent], now_ms: int) -> None:
        self.compared_ms = now_ms
        works_ms = [
            agent.heartbeat.work_ms
            for agent in known
            if agent.heartbeat.work_ms > 0
        ]
        self.work_ms = (
            statistics.median_low(works_ms) if works_ms else UNKNOWN_WORK_MS
        )
        usual = _usual_by_route(known)
        usual_failures = _usual_failures(known)
        found = {
            agent.address: Speed(
                _slowness(agent, usual), _failures(agent, usual_failures)
            )
            for agent in known
        }
        self.speeds = _with_avoided(known, found)


def _pairs(heartbeat: messages.Heartbeat) -> Iterable[tuple[int, int]]:
    """Returns the routes of a heartbeat with the work on them."""
    values = heartbeat.work_by_route
    return zip(values[::2], values[1::2], strict=False)


def _usual_by_route(known: list[agents.KnownAgent]) -> dict[int, float]:
    works: dict[int, list[int]] = {}
    for agent in known:
        for route, work in _pairs(agent.heartbeat):
            if work > 0:
                works.setdefault(route, []).append(work)
    return {
        route: statistics.median_low(found) for route, found in works.items()
    }


def _usual_failures(known: list[agents.KnownAgent]) -> float:
    if not known:
        return 0.0
    percents = [agent.heartbeat.failed_percent for agent in known]
    return statistics.median_low(percents) / 100


def _failures(agent: agents.KnownAgent, usual: float) -> float:
    """Returns the share of requests that fail here and not elsewhere."""
    excess = agent.heartbeat.failed_percent / 100 - usual
    limit = max(AVOIDED_FAILURES, AVOIDED_EXCESS * usual)
    return excess if excess >= limit else 0.0


def _slowness(agent: agents.KnownAgent, usual: Mapping[int, float]) -> float:
    """Returns the multiple of the usual work, route by route.

    So another mix of requests does not make a server slow. Of several routes
    the median counts: one may do other work here than elsewhere.
    """
    ratios = [
        work / usual[route]
        for route, work in _pairs(agent.heartbeat)
        if route in usual
    ]
    slowness = statistics.median_low(ratios) if ratios else 1.0
    return min(slowness, MAX_SLOWNESS) if slowness > EQUAL_WORK else 1.0


def _with_avoided(
    known: list[agents.KnownAgent],
    found: dict[messages.Address, Speed],
) -> dict[messages.Address, Speed]:
    """Chooses whom to avoid, the worst first, up to a share by weight."""
    room = MAX_AVOIDED_SHARE * sum(agent.weight for agent in known)
    chosen: dict[messages.Address, Speed] = {}
    for agent in sorted(known, key=lambda a: -found[a.address].badness):
        speed = found[agent.address]
        if speed == _USUAL:
            break
        if speed.is_avoidable and agent.weight <= room:
            room -= agent.weight
            speed = dataclasses.replace(speed, is_avoided=True)
        else:
            speed = Speed(
                min(speed.slowness, AVOIDED_SLOWNESS),
                min(speed.failures, AVOIDED_FAILURES),
            )
        chosen[agent.address] = speed
    return chosen


class ExpectedTime:
    """Compares the servers of each service, and estimates times at them."""

    def __init__(self, log: Log) -> None:
        """Creates an estimate without any figures.

        Args:
            log: Writes a log line, with its fields as keyword arguments.
        """
        self._log = log
        self._by_service: dict[str, _Comparison] = {}

    def update(
        self, service: str, known: list[agents.KnownAgent], now_ms: int
    ) -> None:
        """Compares the servers of a service again if it is time to.

        Args:
            service: The service.
            known: Those of its agents that could take a flow.
            now_ms: Current time.
        """
        former = self._by_service.get(service)
        if former is not None and now_ms - former.compared_ms < COMPARE_MS:
            return
        found = self._by_service[service] = _Comparison(known, now_ms)
        for agent in known:
            speed = found.speeds.get(agent.address, _USUAL)
            before = former.speeds.get(agent.address) if former else None
            if speed.is_avoided != (before is not None and before.is_avoided):
                self._log(
                    "agent_avoided" if speed.is_avoided else "agent_used_again",
                    agent=agent.name,
                    service=service,
                    slowness=round(speed.slowness, 2),
                    failures_percent=round(100 * speed.failures),
                    work_ms=agent.heartbeat.work_ms,
                    usual_work_ms=found.work_ms,
                    load_age_ms=now_ms - agent.heartbeat_ms,
                )

    def keep(self, services: Iterable[str]) -> None:
        """Forgets all other services."""
        for service in self._by_service.keys() - set(services):
            del self._by_service[service]

    def work_ms(self, service: str) -> float:
        """Returns the usual work of a request."""
        comparison = self._by_service.get(service)
        return comparison.work_ms if comparison else UNKNOWN_WORK_MS

    def speed(self, service: str, agent: agents.KnownAgent) -> Speed:
        """Returns how a server compares with the others of its service."""
        comparison = self._by_service.get(service)
        if comparison is None:
            return _USUAL
        return comparison.speeds.get(agent.address, _USUAL)

    def work_at_ms(
        self, service: str, agent: agents.KnownAgent, speed: Speed
    ) -> float:
        """Returns the expected work of a request at an agent."""
        work_ms = self.work_ms(service) * speed.slowness
        return work_ms * COLD_WORK if agent.is_cold else work_ms


def expected_ms(
    agent: agents.KnownAgent,
    *,
    work_ms: float,
    load: float,
    speed: Speed,
    failure_cost_ms: float,
) -> float:
    """Returns the expected time to an answer on a new flow.

    Args:
        agent: The agent.
        work_ms: Work of a request there.
        load: Requests for each slot that a new one would find there.
        speed: How its server compares with the others.
        failure_cost_ms: Time that a failed request costs its caller.
    """
    flows = (agent.flows + agent.opens_since) / agent.weight
    expected = work_ms * (1.0 + load + FLOW_SHARE * flows)
    return expected + speed.failures * failure_cost_ms


def load(agent: agents.KnownAgent) -> float:
    """Returns the requests for each slot that a new one may find.

    All flows opened since the heartbeat count, also those whose first request
    has been answered meanwhile: that spreads flows between two heartbeats.
    """
    heartbeat = agent.heartbeat
    ahead = heartbeat.busy + heartbeat.waiting + agent.opens_since
    return ahead / agent.weight


def recent_load(
    agent: agents.KnownAgent, now_ms: int, *, work_ms: float
) -> float:
    """Returns the requests for each slot that are likely in progress.

    Args:
        agent: The agent.
        now_ms: Current time.
        work_ms: Work of a request there.
    """
    heartbeat = agent.heartbeat
    known = (heartbeat.busy + heartbeat.waiting) / agent.weight
    # Of the flows opened since the heartbeat, those that came within the time
    # of a request have one in progress.
    elapsed_ms = max(now_ms - agent.heartbeat_ms, 1)
    recent = min(work_ms * (1.0 + known) / elapsed_ms, 1.0)
    return known + agent.opens_since * recent / agent.weight


def is_trial(flow: packet.FlowKey, agent: agents.KnownAgent, of: int) -> bool:
    """Returns whether a flow is to try an agent that is avoided.

    Args:
        flow: The flow.
        agent: The agent.
        of: Number of agents among which the flow would choose.
    """
    key = f"trial {tuple(flow)} {agent.name}".encode()
    return xxhash.xxh32_intdigest(key) < TRIAL_SHARE / max(of, 1) * (1 << 32)
