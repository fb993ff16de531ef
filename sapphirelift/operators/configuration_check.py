"""Check of a configuration before it is sent, and what it would change."""

import collections
import math
from collections.abc import Collection
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from sapphirelift.core.l4 import configuration_entries as entries_module
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes

# A cold server gets a flow if its rate allows one a second.
ONE_FLOW_PER_S = 1.0
MAX_PORT = 65_535

_Problems = Iterator[entries_module.Problem]


class Surroundings(NamedTuple):
    """What the author knows besides the configuration.

    Attributes:
        regions: Regions that have data centres; empty if not known.
        flow_lifetime_s: Age at which flows may be discarded; 0 if not known.
    """

    regions: frozenset[str] = frozenset()
    flow_lifetime_s: float = 0.0


class Difference(NamedTuple):
    """A field that differs from another configuration.

    Attributes:
        entry: The route or service.
        now: Value in the other one, None if it has no such entry.
        then: Value in the one that is checked, None if it has no such entry.
    """

    entry: str
    field: str
    now: Any
    then: Any


class Report(dict[str, Any]):
    """Outcome of a check; ``overview`` shows it as tables for people.

    Attributes:
        exit_status: 2 with errors, 1 with warnings that count as such.
    """

    def __init__(
        self,
        version: int,
        problems: Collection[entries_module.Problem],
        differences: Collection[Difference] | None,
        *,
        is_strict: bool,
    ) -> None:
        """Creates the report.

        Args:
            version: Version of the configuration.
            problems: What is wrong.
            differences: What differs, None if nothing was compared.
            is_strict: Whether warnings count.
        """
        wrong = [p._asdict() for p in problems if p.is_error]
        doubtful = [p._asdict() for p in problems if not p.is_error]
        for row in (*wrong, *doubtful):
            del row["is_error"]
        super().__init__(version=version, errors=wrong, warnings=doubtful)
        if differences is not None:
            self["differences"] = [d._asdict() for d in differences]
        self.exit_status = 2 if wrong else int(bool(doubtful) and is_strict)

    def overview(self) -> dict[str, Any]:
        """Returns the report itself: its lists are short."""
        return dict(self)


def problems(
    checked: entries_module.Entries, known: Surroundings
) -> list[entries_module.Problem]:
    """Returns what is wrong with a configuration, errors first."""
    return [
        *checked.problems,
        *_unreachable_routes(checked),
        *_shares(checked),
        *_unknown_names(checked, known),
        *_route_limits(checked),
        *_service_limits(checked),
        *_idle_timeout(checked, known),
    ]


def _unreachable_routes(checked: entries_module.Entries) -> _Problems:
    """Finds routes that no flow reaches."""
    if not checked.routes and not checked.problems:
        yield entries_module.Problem(
            "configuration", "it has no routes", "add the routes to serve"
        )
    last = {entry.key: entry for entry in checked.routes}
    for entry in checked.routes:
        winner = last[entry.key]
        if winner is not entry:
            yield entries_module.Problem(
                entry.place,
                f"route {entry.route.name} can never match: "
                f"{winner.route.name} ({winner.place}) has the same address "
                f"and port, {_address(entry.key)}",
                "remove one of them or change its address",
            )
        if not 0 < entry.key.port <= MAX_PORT:
            yield entries_module.Problem(
                entry.place,
                f"route {entry.route.name} can never match: there is no port "
                f"{entry.key.port}",
                f"use a port from 1 to {MAX_PORT}",
            )
    yield from _repeated_names(
        "route", [(e.place, e.route.name) for e in checked.routes]
    )
    yield from _repeated_names(
        "service", [(e.place, e.service.name) for e in checked.services]
    )


def _repeated_names(kind: str, named: list[tuple[str, str]]) -> _Problems:
    counts = collections.Counter(name for _, name in named)
    for place, name in named:
        if counts[name] > 1:
            counts[name] = 0
            yield entries_module.Problem(
                place,
                f"{kind} {name} is there more than once",
                "give each entry its own name, or remove the others",
            )


def _shares(checked: entries_module.Entries) -> _Problems:
    """Finds shares that get no flows."""
    for place, _, route in checked.routes:
        if len(route.shares) == 1:
            # All flows are its own, whatever its weight is.
            continue
        weights = [share.weight for share in route.shares]
        if not all(math.isfinite(w) and w >= 0 for w in weights):
            yield entries_module.Problem(
                place,
                f"route {route.name} has a weight below 0",
                "use weights of 0 or more",
            )
        elif not any(weights):
            yield entries_module.Problem(
                place,
                f"all shares of route {route.name} have weight 0: "
                f"{route.shares[0].service} gets all flows",
                "give at least one share a weight above 0",
            )
        else:
            for share in route.shares:
                if not share.weight:
                    yield entries_module.Problem(
                        place,
                        f"share {share.service} of route {route.name} gets no "
                        "flows: its weight is 0",
                        "remove the share or give it a weight above 0",
                    )


def _unknown_names(
    checked: entries_module.Entries, known: Surroundings
) -> _Problems:
    """Finds names that lead nowhere."""
    defined = {entry.service.name for entry in checked.services}
    used: set[str] = set()
    for place, _, route in checked.routes:
        used.update(route.services)
        for name in sorted(set(route.services) - defined):
            yield entries_module.Problem(
                place,
                f"route {route.name} uses service {name}, which is not defined",
                "define the service or correct its name",
            )
        empty = sorted(route.regions - known.regions)
        if known.regions and empty:
            yield entries_module.Problem(
                place,
                f"route {route.name} allows {', '.join(empty)}, where there "
                "are no data centres",
                "correct the name of the region or remove it",
            )
    for place, service in checked.services:
        if service.name not in used:
            yield entries_module.Problem(
                place,
                f"no route uses service {service.name}",
                "remove the service or add its route",
            )


def _route_limits(checked: entries_module.Entries) -> _Problems:
    """Finds times of routes that contradict each other."""
    for place, _, route in checked.routes:
        terms = route.terms
        if terms.timeout_ms and terms.aim_ms > terms.timeout_ms:
            yield entries_module.Problem(
                place,
                f"the latency objective of route {route.name} "
                f"({terms.aim_ms} ms) lies above its timeout "
                f"({terms.timeout_ms} ms)",
                "lower the objective or raise the timeout",
            )
        if 0 < checked.idle_timeout_ms < terms.timeout_ms:
            yield entries_module.Problem(
                place,
                f"the timeout of route {route.name} ({terms.timeout_ms} ms) "
                f"lies above the idle timeout ({checked.idle_timeout_ms} ms): "
                "its flow may be discarded while a caller waits",
                "raise the idle timeout or lower the timeout",
            )


def _service_limits(checked: entries_module.Entries) -> _Problems:
    """Finds limits of services that mean something else than they say."""
    for place, service in checked.services:
        rate = service.cold_opens_per_s
        if not math.isfinite(rate) or rate < 0:
            yield entries_module.Problem(
                place,
                f"service {service.name} has a cold rate below 0: it is not "
                "limited",
                "use a rate of 0 or more",
            )
        elif 0 < rate < ONE_FLOW_PER_S:
            yield entries_module.Problem(
                place,
                f"one flow a second exceeds the cold rate of service "
                f"{service.name} ({rate:g}/s)",
                "raise the rate to 1 or more, or set 0 for no limit",
            )
        if service.max_flows <= 0:
            yield entries_module.Problem(
                place,
                f"service {service.name} allows {service.max_flows} flows at "
                "a server, which means any number",
                "set the number of flows that a server holds",
            )


def _idle_timeout(
    checked: entries_module.Entries, known: Surroundings
) -> _Problems:
    if any(problem.place.startswith("Limits") for problem in checked.problems):
        return
    lifetime_ms = known.flow_lifetime_s * 1000
    if checked.idle_timeout_ms <= 0:
        yield entries_module.Problem(
            "Limits",
            "the idle timeout is 0: each flow may be discarded at once",
            "set the time for which callers keep flows without requests",
        )
    elif 0 < lifetime_ms < checked.idle_timeout_ms:
        yield entries_module.Problem(
            "Limits",
            f"the idle timeout ({checked.idle_timeout_ms} ms) lies above the "
            f"lifetime of a flow ({lifetime_ms:g} ms): it never applies",
            "lower the idle timeout",
        )


def version_problems(
    checked: entries_module.Entries, other: entries_module.Entries
) -> list[entries_module.Problem]:
    """Returns what is wrong with the version, compared with another one."""
    if checked.version > other.version:
        return []
    return [
        entries_module.Problem(
            "Version",
            f"version {checked.version} does not come after {other.version}: "
            "daemons keep the one in force",
            f"use a version above {other.version}",
        )
    ]


def differences(
    checked: entries_module.Entries, other: entries_module.Entries
) -> list[Difference]:
    """Returns what differs from another configuration, by route and service.

    Routes are the same if their address and port are; their names may change.
    """
    found = [
        *_compare(_route_fields(other), _route_fields(checked)),
        *_compare(_service_fields(other), _service_fields(checked)),
    ]
    if checked.idle_timeout_ms != other.idle_timeout_ms:
        found.append(
            Difference(
                "limits",
                "idle_timeout_ms",
                other.idle_timeout_ms,
                checked.idle_timeout_ms,
            )
        )
    return found


def _compare(
    now: dict[str, dict[str, Any]], then: dict[str, dict[str, Any]]
) -> Iterator[Difference]:
    for entry in sorted(now.keys() | then.keys()):
        if entry not in now:
            yield Difference(entry, "added", None, then[entry])
        elif entry not in then:
            yield Difference(entry, "removed", now[entry], None)
        else:
            for field, value in then[entry].items():
                if value != now[entry][field]:
                    yield Difference(entry, field, now[entry][field], value)


def _route_fields(
    checked: entries_module.Entries,
) -> dict[str, dict[str, Any]]:
    return {
        f"route {_address(entry.key)}": {
            "name": entry.route.name,
            "shares": {s.service: s.weight for s in entry.route.shares},
            "regions": sorted(entry.route.regions),
            **entry.route.terms._asdict(),
        }
        for entry in checked.routes
    }


def _service_fields(
    checked: entries_module.Entries,
) -> dict[str, dict[str, Any]]:
    return {
        f"service {entry.service.name}": {
            "max_flows": entry.service.max_flows,
            "cold_opens_per_s": entry.service.cold_opens_per_s,
        }
        for entry in checked.services
    }


def _address(key: routes.RouteKey) -> str:
    return f"{packet.ip_text(key.ip)}:{key.port}"
