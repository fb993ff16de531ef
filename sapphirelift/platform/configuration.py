"""Decoder of the operators' configuration; names of their store objects."""

from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from sapphirelift import errors
from sapphirelift.core.l4 import configuration_entries as entries_module
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms
from sapphirelift.platform import decoding
from sapphirelift.platform import packets

# Kinds and name of the objects that operators write to the store.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATION_KIND = "evacuations"


# Kinds of requests that may run more than once.
_REPEATABLE_KINDS = frozenset({"safe", "download"})

# In milliseconds; a year at the most.
_Duration = Annotated[float, msgspec.Meta(ge=0, le=365 * 86_400_000)]


class _Share(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight", default=0.0)


class _Route(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    # The IPv4 address that callers open flows to, not a host name.
    host: str = msgspec.field(name="Host")
    # The port between slashes, not a path.
    path_prefix: str = msgspec.field(name="PathPrefix")
    service: str = msgspec.field(name="Service", default="")
    split: list[_Share] = msgspec.field(
        name="TrafficSplit", default_factory=list
    )
    allowed_regions: list[str] = msgspec.field(
        name="AllowedRegions", default_factory=list
    )
    aim_ms: _Duration = msgspec.field(name="AimMs", default=0)
    timeout_ms: _Duration = msgspec.field(name="TimeoutMs", default=0)
    priority: int = msgspec.field(
        name="Priority", default=terms.UNKNOWN_PRIORITY
    )
    # The kind of the requests, which says whether they may be repeated.
    kind: str = msgspec.field(name="Type", default="")


class _Service(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    max_connections: int = msgspec.field(name="MaxConnections", default=0)
    # New flows per second, not requests, that a cold backend server can take.
    warmup_per_s: float = msgspec.field(name="WarmupPerS", default=0.0)


class _Limits(msgspec.Struct):
    # The other limits apply to requests, which packet daemons do not see.
    idle_timeout_ms: _Duration = msgspec.field(
        name="IdleTimeoutMs", default=15_000
    )


class _Body(msgspec.Struct):
    version: int = msgspec.field(name="Version")
    routes: list[_Route] = msgspec.field(name="Routes", default_factory=list)
    services: list[_Service] = msgspec.field(
        name="Services", default_factory=list
    )
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)


_FIELDS = frozenset(_Body.__struct_encode_fields__) - {"Limits"}
_T = TypeVar("_T")


def decode(value: Any, revision: int) -> routes.Configuration:
    """Decodes a configuration.

    Args:
        value: Value of the configuration object.
        revision: Store revision of the object.

    Raises:
        ConfigurationError: A field is missing, has the wrong type or cannot
            be parsed, or a route has no service.
    """
    try:
        body: _Body = decoding.convert(value, _Body)
        decoded_routes = [_route(route) for route in body.routes]
    except (errors.UnreadableError, ValueError, OSError) as error:
        raise errors.ConfigurationError(str(error)) from error
    return routes.Configuration(
        revision=revision,
        version=body.version,
        routes=dict(decoded_routes),
        services={service.name: _service(service) for service in body.services},
        idle_timeout_ms=int(body.limits.idle_timeout_ms),
    )


def version_of(value: Any) -> int:
    """Returns the version of a configuration, valid otherwise or not.

    >>> version_of({"Version": 7}), version_of({"Version": "7"}), version_of(3)
    (7, 0, 0)
    """
    version = value.get("Version") if isinstance(value, dict) else None
    return version if isinstance(version, int) else 0


def is_configuration(value: Any) -> bool:
    """Returns whether JSON is meant to be a configuration.

    >>> is_configuration({"Version": 1}), is_configuration({"kind": "service"})
    (True, False)
    """
    return isinstance(value, dict) and bool(_FIELDS & value.keys())


def read_entries(value: Any) -> entries_module.Entries:
    """Reads a configuration entry by entry, with all that is wrong in it.

    Args:
        value: A configuration, as it is sent to the store.
    """
    problems: list[entries_module.Problem] = []

    def read(place: str, part: Any, kind: Callable[[Any], _T]) -> _T | None:
        try:
            return kind(part)
        except (errors.UnreadableError, ValueError, OSError) as error:
            problems.append(_problem(place, error))
            return None

    def read_list(name: str, kind: Callable[[Any], _T]) -> list[tuple[str, _T]]:
        parts = value.get(name, [])
        if not isinstance(parts, list):
            problems.append(_problem(name, ValueError("Expected an array")))
            return []
        found = [
            (f"{name}[{number}]", read(f"{name}[{number}]", part, kind))
            for number, part in enumerate(parts)
        ]
        return [(place, entry) for place, entry in found if entry is not None]

    version = read("Version", value, _read_version)
    found_routes = read_list(
        "Routes", lambda part: _route(decoding.convert(part, _Route))
    )
    found_services = read_list(
        "Services", lambda part: _service(decoding.convert(part, _Service))
    )
    limits = read(
        "Limits",
        value.get("Limits", {}),
        lambda part: decoding.convert(part, _Limits),
    )
    return entries_module.Entries(
        version or 0,
        tuple(
            entries_module.RouteEntry(place, *found)
            for place, found in found_routes
        ),
        tuple(
            entries_module.ServiceEntry(place, found)
            for place, found in found_services
        ),
        int(limits.idle_timeout_ms) if limits is not None else 0,
        tuple(problems),
    )


def _read_version(value: dict[str, Any]) -> int:
    if "Version" not in value:
        raise ValueError("it is missing")
    version: int = decoding.convert(value["Version"], int)
    return version


def _problem(place: str, error: Exception) -> entries_module.Problem:
    """Returns what is wrong with an entry that cannot be read."""
    message = str(error).removeprefix("unreadable: ").partition("; ")[0]
    message, _, path = message.partition(" - at `$")
    return entries_module.Problem(
        place + path.rstrip("`"),
        message,
        "write it as the platform's page says",
        is_error=True,
    )


def _service(service: _Service) -> routes.Service:
    return routes.Service(
        service.name, service.max_connections, service.warmup_per_s
    )


def _route(route: _Route) -> tuple[routes.RouteKey, routes.Route]:
    key = routes.RouteKey(
        packets.ip_number(route.host), int(route.path_prefix.strip("/"))
    )
    shares = tuple(
        routes.Share(share.service, share.weight) for share in route.split
    )
    if not shares and route.service:
        shares = (routes.Share(route.service, 1.0),)
    if not shares:
        raise ValueError(f"route {route.name} names no service")
    return key, routes.Route(
        name=route.name,
        shares=shares,
        regions=frozenset(route.allowed_regions),
        terms=terms.Terms(
            priority=route.priority,
            aim_ms=int(route.aim_ms),
            timeout_ms=int(route.timeout_ms),
            is_repeatable=route.kind in _REPEATABLE_KINDS,
        ),
    )
