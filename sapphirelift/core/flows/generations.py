"""Routing of plain datagrams at a balancer while the members change.

A generation is the set of candidates of a service between two changes.
"""

import hashlib
import socket
import struct
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.flows import hand_on
from sapphirelift.core.flows import routing
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import plain_runs

CANDIDATES = 3
# Former generations kept per service. A flow that sends nothing while more
# changes than this happen may change its owner.
MAX_FORMER_GENERATIONS = 8
MAX_PREVIOUS = 4
# Routes cached by service and caller until the next change of the members;
# this saves the rendezvous hashing for each datagram.
MAX_CACHED_ROUTES = 8192


class Candidate(NamedTuple):
    """An agent that rendezvous hashing can choose."""

    name: str
    weight: float
    address: messages.Address


class _Route(NamedTuple):
    flow_key: bytes
    first: messages.Address
    others: list[messages.Address]
    previous: list[messages.Address]


class _Generation(NamedTuple):
    """Former candidates of a service, and the time of their replacement."""

    targets: tuple[Candidate, ...]
    replaced_ms: int


def flow_key(service: str, caller: tuple[str, int]) -> bytes:
    """Returns the key of the flow between a caller and a service.

    >>> len(flow_key("catalogue", ("127.0.0.1", 9)))
    16
    """
    data = struct.pack("!4sH", socket.inet_aton(caller[0]), caller[1])
    return hashlib.blake2b(data + service.encode(), digest_size=16).digest()


class PlainRouter:
    """Routes each plain datagram to the first candidate of its flow.

    The datagram names the first candidates of former generations, one of which
    may own the flow.

    Attributes:
        withdrawn: Names of the withdrawn data centres.
    """

    def __init__(
        self,
        *,
        address: messages.Address,
        incarnation: int,
        members: membership.Membership,
        ring: keys.KeyRing,
        targets: Callable[[str], Sequence[Candidate]],
    ) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._address = address
        self._members = members
        self._ring = ring
        self._targets = targets
        self._current: dict[str, tuple[Candidate, ...]] = {}
        self._former: dict[str, list[_Generation]] = {}
        self._routes: dict[tuple[str, tuple[str, int]], _Route] = {}
        self._version = -1
        self._applied_versions: dict[str, int] = {}
        self.withdrawn: set[str] = set()

    def tick(self, services: set[str], now_ms: int) -> None:
        """Applies changes of the members and removes old generations."""
        for service in self._current.keys() - services:
            del self._current[service]
            del self._applied_versions[service]
            self._former.pop(service, None)
        for service in services:
            self._update(service, now_ms)
            self._former[service] = [
                g
                for g in self._former.get(service, [])
                if now_ms - g.replaced_ms <= hand_on.FLOW_IDLE_MS
            ]
        self._routes.clear()

    def _update(self, service: str, now_ms: int) -> None:
        if self._applied_versions.get(service) == self._members.version:
            return
        self._applied_versions[service] = self._members.version
        targets = tuple(sorted(self._targets(service)))
        current = self._current.get(service)
        if targets == current:
            return
        self._current[service] = targets
        if current:
            former = self._former.setdefault(service, [])
            former.insert(0, _Generation(current, now_ms))
            del former[MAX_FORMER_GENERATIONS:]

    def route(
        self, service: str, payload: bytes, caller: tuple[str, int], now_ms: int
    ) -> actions.SendPeer:
        """Encodes a datagram for the first candidate of its flow.

        Raises:
            DatagramError: The datagram is too large, or no agent is eligible.
        """
        if len(payload) > plain_runs.MAX_PAYLOAD_BYTES:
            raise errors.DatagramError("oversized")
        if self._version != self._members.version:
            self._version = self._members.version
            self._routes.clear()
        route = self._routes.get((service, caller))
        if route is None:
            self._update(service, now_ms)
            route = self._find_route(service, caller)
            if len(self._routes) >= MAX_CACHED_ROUTES:
                self._routes.clear()
            self._routes[(service, caller)] = route
        self._sequence += 1
        plain = messages.Plain(
            service=service,
            caller=messages.Address(*caller),
            balancer=self._address,
            flow_key=route.flow_key,
            hops=0,
            ask_id=0,
            candidates=route.others,
            previous=route.previous,
            payload=payload,
            incarnation=self._incarnation,
            sequence=self._sequence,
        )
        body = wire.encode_body(plain)
        data = wire.encode_peer(messages.Kind.PLAIN, body, self._ring)
        return actions.SendPeer(route.first, data)

    def _find_route(self, service: str, caller: tuple[str, int]) -> _Route:
        key = flow_key(service, caller)
        chosen = routing.candidates(
            key, self._current.get(service, ()), count=CANDIDATES
        )
        if not chosen:
            raise errors.DatagramError("no_backend_server")
        previous: list[messages.Address] = []
        for generation in self._former.get(service, []):
            for former in routing.candidates(key, generation.targets, count=1):
                if (
                    former.address not in previous
                    and former.address != chosen[0].address
                    and self._is_alive(former, service)
                ):
                    previous.append(former.address)
        return _Route(
            key,
            chosen[0].address,
            [c.address for c in chosen[1:]],
            previous[:MAX_PREVIOUS],
        )

    def _is_alive(self, candidate: Candidate, service: str) -> bool:
        """Returns whether a former candidate may still own flows."""
        member = self._members.members.get(candidate.name)
        return (
            member is not None
            and member.is_alive
            and member.data_centre not in self.withdrawn
            and member.service == service
            and member.address == candidate.address
        )
