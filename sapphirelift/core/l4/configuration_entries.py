"""Entries of a configuration as its author wrote them, for checks.

``routes.Configuration`` has lost what cannot come into force: two routes of the
same address, for example.
"""

from typing import NamedTuple

from sapphirelift.core.l4 import routes


class Problem(NamedTuple):
    """Something wrong in a configuration.

    Attributes:
        place: Where it is, for example ``Routes[3]``.
        message: What is wrong.
        remedy: What its author can do.
        is_error: Whether daemons refuse the configuration for it.
    """

    place: str
    message: str
    remedy: str
    is_error: bool = False


class RouteEntry(NamedTuple):
    """A route and where it stands."""

    place: str
    key: routes.RouteKey
    route: routes.Route


class ServiceEntry(NamedTuple):
    """A service and where it stands."""

    place: str
    service: routes.Service


class Entries(NamedTuple):
    """Readable entries of a configuration.

    Attributes:
        version: Version number; 0 if unreadable.
        idle_timeout_ms: Idle time after which flows may be discarded.
        problems: What could not be read.
    """

    version: int = 0
    routes: tuple[RouteEntry, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    idle_timeout_ms: int = 0
    problems: tuple[Problem, ...] = ()
