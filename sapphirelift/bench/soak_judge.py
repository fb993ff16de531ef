"""Judges a soak run of packet daemons by what callers and servers have seen.

Bounds are those of the platform: they hold for processes that were calm
for the contact time, while the store was. What may never happen is judged in
any case.
"""

import bisect
import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

# Time after the acknowledgement of a configuration until it is in force.
CONFIGURATION_S = 3.0
# Time after an effect of a version has been seen until its balancer may not
# act on an older one.
ROLLBACK_S = 0.25
EVACUATION_S = 5.0
CONTACT_S = 4.0


class Version(NamedTuple):
    """A version of the configuration.

    Attributes:
        number: Number of the version.
        routes: Ports of its routes.
        sent_s: When it was first sent to the store.
        acknowledged_s: When the store acknowledged it; infinity if it has not.
    """

    number: int
    routes: frozenset[int]
    sent_s: float
    acknowledged_s: float


class Evacuation(NamedTuple):
    """An evacuation of a data centre.

    Attributes:
        data_centre: The data centre.
        acknowledged_s: When the store acknowledged its beginning.
        ended_s: When its end was sent; infinity if it has not ended.
    """

    data_centre: str
    acknowledged_s: float
    ended_s: float


class Attempt(NamedTuple):
    """A caller's attempt to open a flow.

    Attributes:
        sent_s: When the first opening packet was sent.
        ended_s: When the attempt ended.
        balancer: Instance that got the packets.
        start: Number of the start of its process.
        route: Port of the route.
        outcome: ``open``, ``reset`` or ``failed``.
        agent: Instance on which the flow has opened; empty if it has not.
        data_centre: Data centre of the agent.
    """

    sent_s: float
    ended_s: float
    balancer: str
    start: int
    route: int
    outcome: str
    agent: str = ""
    data_centre: str = ""


class BrokenFlow(NamedTuple):
    """An open flow that was reset or misrouted while its server lives.

    Attributes:
        at_s: When the reset arrived, or the request got no answer.
        balancer: Instance that got the flow's last packet.
        agent: Instance of the backend server.
        flow: The flow, as daemons log it.
        state: ``reset``, or ``open`` if its packets went to other servers.
    """

    at_s: float
    balancer: str
    agent: str
    flow: str = ""
    state: str = "reset"


class Disruptions:
    """Times at which processes and the store were disrupted."""

    STORE = "store"

    def __init__(self) -> None:
        self._spans: collections.defaultdict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )

    def add(self, name: str, from_s: float, until_s: float) -> None:
        """Records a disruption of an instance or the store."""
        bisect.insort(self._spans[name], (from_s, until_s))

    def end(self, name: str, from_s: float, until_s: float) -> None:
        """Ends a disruption that was added without a known end."""
        self._spans[name].remove((from_s, math.inf))
        self.add(name, from_s, until_s)

    @staticmethod
    def planned(name: str) -> str:
        """Returns the name under which planned stops are recorded."""
        return f"stop of {name}"

    def is_calm(self, names: Iterable[str], from_s: float, to_s: float) -> bool:
        """Returns whether all names were calm, and the contact time before.

        >>> found = Disruptions()
        >>> found.add("a", 10.0, 11.0)
        >>> found.is_calm(["a"], 14.9, 15.0), found.is_calm(["a"], 15.1, 15.2)
        (False, True)
        """
        return not any(
            begin_s <= to_s and from_s - CONTACT_S <= end_s
            for name in names
            for begin_s, end_s in self._spans[name]
        )


class Record(NamedTuple):
    """All that a run has seen; times count from its beginning.

    Attributes:
        agents: Names of the instances with agents.
    """

    agents: list[str]
    versions: list[Version]
    evacuations: list[Evacuation]
    attempts: list[Attempt]
    broken: list[BrokenFlow]
    disruptions: Disruptions


def find_violations(record: Record) -> list[str]:
    """Returns a line for each broken promise."""
    return [
        *_late_configurations(record),
        *_older_configurations(record),
        *_evacuated(record),
        *_broken_flows(record),
    ]


def _explains(version: Version, attempt: Attempt) -> bool:
    """Returns whether a balancer with a version handles an attempt so."""
    is_routed = attempt.route in version.routes
    return version.sent_s <= attempt.ended_s and is_routed == (
        attempt.outcome == "open"
    )


def _disrupting(attempt: Attempt) -> list[str]:
    """Returns the names whose disruption suspends the bounds."""
    name = attempt.balancer
    return [name, Disruptions.planned(name), Disruptions.STORE]


def _conclusive(record: Record) -> Iterable[Attempt]:
    """Yields the attempts whose outcome follows from the routes alone.

    While agents are disrupted, balancers also reset flows that no backend
    server can take.
    """
    names = [*record.agents, *map(Disruptions.planned, record.agents)]
    for attempt in record.attempts:
        if attempt.outcome == "open" or (
            attempt.outcome == "reset"
            and record.disruptions.is_calm(
                names, attempt.sent_s, attempt.ended_s
            )
        ):
            yield attempt


def _late_configurations(record: Record) -> Iterable[str]:
    """Finds attempts that only versions of before the bound explain."""
    calm = record.disruptions.is_calm
    for attempt in _conclusive(record):
        names = _disrupting(attempt)
        if not calm(names, attempt.sent_s, attempt.ended_s):
            continue
        due = max(
            (
                version.number
                for version in record.versions
                if version.acknowledged_s + CONFIGURATION_S <= attempt.sent_s
            ),
            default=0,
        )
        if not any(
            _explains(version, attempt)
            for version in record.versions
            if version.number >= due
        ):
            yield f"late: {attempt} is older than version {due}"


def _older_configurations(record: Record) -> Iterable[str]:
    """Finds balancers that have gone back to an older version."""
    by_start: collections.defaultdict[tuple[str, int], list[Attempt]] = (
        collections.defaultdict(list)
    )
    for attempt in _conclusive(record):
        by_start[attempt.balancer, attempt.start].append(attempt)
    for attempts in by_start.values():
        yield from _regressions(record.versions, attempts)


def _regressions(
    versions: list[Version], attempts: list[Attempt]
) -> Iterable[str]:
    # Lowest version that explains all that was seen up to a time.
    lowest = 0
    seen: collections.deque[tuple[float, int]] = collections.deque()
    by_end = sorted(attempts, key=lambda attempt: attempt.ended_s)
    for attempt in sorted(attempts, key=lambda attempt: attempt.sent_s):
        while by_end and by_end[0].ended_s + ROLLBACK_S <= attempt.sent_s:
            former = by_end.pop(0)
            explained = [v.number for v in versions if _explains(v, former)]
            later = [number for number in explained if number >= lowest]
            if later:
                lowest = min(later)
                seen.append((former.ended_s, lowest))
        newest = max(
            (v.number for v in versions if _explains(v, attempt)), default=0
        )
        if newest < lowest:
            yield f"older: {attempt} after version {lowest} at {seen[-1][0]}"


def _evacuated(record: Record) -> Iterable[str]:
    """Finds flows that opened in an evacuated data centre."""
    calm = record.disruptions.is_calm
    for attempt in record.attempts:
        names = _disrupting(attempt)
        if attempt.outcome != "open" or not calm(
            names, attempt.sent_s, attempt.ended_s
        ):
            continue
        for evacuation in record.evacuations:
            if (
                evacuation.data_centre == attempt.data_centre
                and evacuation.acknowledged_s + EVACUATION_S <= attempt.sent_s
                and attempt.ended_s < evacuation.ended_s
            ):
                yield f"evacuated: {attempt} during {evacuation}"


def _broken_flows(record: Record) -> Iterable[str]:
    for broken in record.broken:
        names = [broken.balancer, broken.agent]
        if record.disruptions.is_calm(names, broken.at_s, broken.at_s):
            yield f"broken: {broken}"


def summary(record: Record) -> dict[str, int]:
    """Returns what was seen, by kind."""
    outcomes = collections.Counter(a.outcome for a in record.attempts)
    return {
        "versions": len(record.versions),
        "versions_acknowledged": sum(
            math.isfinite(v.acknowledged_s) for v in record.versions
        ),
        "evacuations": len(record.evacuations),
        "attempts_open": outcomes["open"],
        "attempts_reset": outcomes["reset"],
        "attempts_failed": outcomes["failed"],
        "flows_reset": len(record.broken),
    }
