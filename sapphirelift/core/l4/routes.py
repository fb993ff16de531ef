"""Routes and services of one version of the configuration."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from sapphirelift.core.l4 import packet


class RouteKey(NamedTuple):
    """Address that callers open flows to."""

    ip: int
    port: int


class Share(NamedTuple):
    """Part of a route's new flows.

    Attributes:
        service: Service that gets them.
        weight: Size of the part relative to the others.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to an address go.

    Attributes:
        shares: Services with the weights of their shares, at least one.
        regions: Regions that may serve the flows; empty for all.
        aim_ms: Latency objective of the requests.
        timeout_ms: Time after which callers give a request up.
    """

    name: str
    shares: tuple[Share, ...]
    regions: frozenset[str] = frozenset()
    aim_ms: int = 0
    timeout_ms: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that may own flows of the route."""
        return tuple(share.service for share in self.shares)

    def service_for(self, flow: packet.FlowKey) -> str:
        """Returns the service of a new flow, the same at every balancer."""
        total = sum(share.weight for share in self.shares)
        if len(self.shares) == 1 or total <= 0:
            return self.shares[0].service
        digest = xxhash.xxh64_intdigest(repr(tuple(flow)).encode())
        point = digest / float(1 << 64) * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Limits of the backend servers of a service.

    Attributes:
        max_flows: Flows that one backend server holds.
        cold_opens_per_s: New flows a second that a cold backend server bears.
    """

    name: str
    max_flows: int
    cold_opens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        revision: Revision of the store that brought it; 0 for none.
        version: The operators' version number.
        idle_timeout_ms: Flows idle for longer may be discarded.
    """

    revision: int = 0
    version: int = 0
    routes: Mapping[RouteKey, Route] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    idle_timeout_ms: int = 15_000

    def find(self, flow: packet.FlowKey) -> Route | None:
        """Returns the route of a flow, or None."""
        return self.routes.get(RouteKey(flow.route_ip, flow.route_port))


class Evacuations(NamedTuple):
    """Data centres that operators have taken out.

    Attributes:
        revision: Revision of the store at which this was so; 0 for unknown.
        changed_revision: Revision at which the last change became known. The
            revision itself moves on without changes.
    """

    revision: int = 0
    data_centres: frozenset[str] = frozenset()
    changed_revision: int = 0
