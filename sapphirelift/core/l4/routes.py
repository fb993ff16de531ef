"""Routes and services of one version of the configuration."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from sapphirelift.core import revisions
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import terms as terms_module


class RouteKey(NamedTuple):
    """Address to which callers open flows."""

    ip: int
    port: int


class Share(NamedTuple):
    """Share of a service in the new flows of a route.

    Attributes:
        service: Service that gets the share.
        weight: Size of the share relative to the others.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Services and regions that serve new flows to an address.

    Attributes:
        name: Name of the route.
        shares: Shares of the services, at least one.
        regions: Regions that may serve the flows; empty for all.
        terms: Urgency of the requests.
    """

    name: str
    shares: tuple[Share, ...]
    regions: frozenset[str] = frozenset()
    terms: terms_module.Terms = terms_module.Terms()

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that may own flows of the route."""
        return tuple(share.service for share in self.shares)

    def service_for(self, flow: packet.FlowKey) -> str:
        """Returns the service of a new flow.

        The choice is a hash of the flow, so that all balancers agree.
        """
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
        max_flows: Maximum number of flows of a backend server.
        cold_opens_per_s: New flows per second that a cold backend server can
            handle.
    """

    name: str
    max_flows: int
    cold_opens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        revision: Revision of the store from which it was read; 0 for none.
        version: Version number assigned by the operators.
        routes: Routes by address.
        services: Limits of the services, by name.
        idle_timeout_ms: Idle time after which flows may be discarded.
    """

    revision: int = 0
    version: int = 0
    routes: Mapping[RouteKey, Route] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    idle_timeout_ms: int = 15_000

    def is_replaced_by(self, *, version: int, revision: int) -> bool:
        """Returns whether another configuration takes its place.

        Operators increase the version with each change. After its return from
        an older copy, the store holds an older version for a moment, at a newer
        revision.

        Args:
            version: Version of the other one; 0 if unknown, as from daemons of
                earlier releases, which leaves the revisions to decide.
            revision: Revision of the other one.
        """
        if not version:
            return revision > self.revision
        return (version, revision) > (self.version, self.revision)

    def find(self, flow: packet.FlowKey) -> Route | None:
        """Returns the route of a flow, or None."""
        return self.routes.get(RouteKey(flow.route_ip, flow.route_port))


class Evacuations(NamedTuple):
    """Data centres that operators have evacuated.

    Attributes:
        revision: Revision of the store at which they were read; 0 for
            unknown. It also increases without changes of the evacuations.
        data_centres: Names of the evacuated data centres.
        is_settled: Whether the operators had time to write again what the
            store lost at the beginning of its era. Until then, a missing
            evacuation may be lost instead of ended.
    """

    revision: int = 0
    data_centres: frozenset[str] = frozenset()
    is_settled: bool = True

    def updated(self, received: "Evacuations") -> "Evacuations":
        """Returns what is in force after others have been received.

        What was in force before the store's return stays until the new era is
        settled, so that an evacuation is neither lost nor comes back.

        >>> before = Evacuations(20, frozenset({"a"}))
        >>> restored = Evacuations(
        ...     revisions.of_store(18, era=2), frozenset("b"), is_settled=False
        ... )
        >>> sorted(before.updated(restored).data_centres)
        ['a']
        >>> settled = restored._replace(is_settled=True)
        >>> sorted(before.updated(settled).data_centres)
        ['b']
        """
        if not self.revision or not received.revision:
            return self if self.revision else received
        older, newer = sorted((received, self), key=lambda e: e.revision)
        if revisions.era_of(older.revision) < revisions.era_of(newer.revision):
            return newer if newer.is_settled else older
        # What is read after settled contents of the same era is settled too.
        return newer._replace(is_settled=older.is_settled or newer.is_settled)
