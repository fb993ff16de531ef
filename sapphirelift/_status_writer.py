"""Writes the status object while this balancer holds the lease.

Load on the platform: rendezvous hashing selects ``CANDIDATES`` balancers that
compete for the lease, each with one lease read per 2 s (3 / 2 = 1.5 reads/s).
The holder instead renews the lease every 2 s (0.5 writes/s) and writes the
status at most every 2 s and only if it has changed (0.5 writes/s). This makes
1 write/s at any number of members, of the several hundred that the platform
takes. If members temporarily disagree on the candidates, the lease still lets
only one of them write.
"""

import collections
import random
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eliot
import eventlet

from sapphirelift import clock
from sapphirelift import errors
from sapphirelift.core.membership import lease
from sapphirelift.core.membership import status
from sapphirelift.platform import client

LEASE_KEY = "leases/status"
STATUS_KEY = "status/cluster"
CANDIDATES = 3
INTERVAL_S = lease.INTERVAL_MS / 1000


class StatusWriter:
    """Competes for the lease and writes the status while holding it.

    Attributes:
        status_builder: Collects the observations that the status is rendered
            from.
        counters: Events by name, for metrics.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        *,
        name: str,
        incarnation: int,
        is_candidate: Callable[[], bool],
        members: Callable[[], Iterable[str]],
        conditions: Callable[[], Iterable[status.Condition]],
        rng: random.Random,
    ) -> None:
        self.status_builder = status.StatusBuilder()
        self.lease = lease.Lease(holder=name, incarnation=incarnation)
        self.counters: collections.Counter[str] = collections.Counter()
        self._platform = platform
        self._name = name
        self._is_candidate = is_candidate
        self._members = members
        self._conditions = conditions
        self._rng = rng
        self._status_revision: int | None = None
        self._written: dict[str, Any] = {}

    def run(self) -> None:
        """Competes for the lease; never returns."""
        while True:
            eventlet.sleep(INTERVAL_S * self._rng.uniform(0.9, 1.1))
            if self.lease.holds(clock.boot_ms()) or self._is_candidate():
                self.step()

    def step(self) -> None:
        """Acquires or renews the lease; writes the status if it is held."""
        try:
            self._acquire_or_renew()
            if self.lease.holds(clock.boot_ms()):
                self.write_status()
        except errors.ConflictError:
            self._on_lease_lost("conflict")
        except errors.PlatformUnavailableError:
            self.counters["steps_failed"] += 1

    def _acquire_or_renew(self) -> None:
        if self.lease.needs_read(clock.boot_ms()):
            self._status_revision = None
            held = self._platform.get(LEASE_KEY)
            self.lease.on_read(
                held,
                now_ms=clock.boot_ms(),
                may_be_lost=self._platform.may_have_been_restored,
            )
        started_ms = clock.boot_ms()
        write = self.lease.attempt(started_ms)
        if write is None:
            return
        try:
            revision = self._platform.put(
                LEASE_KEY,
                write.value,
                expected_revision=write.expected_revision,
            )
        except errors.PlatformUnavailableError:
            self._on_lease_lost("unknown")
            raise
        self.lease.on_written(revision, started_ms=started_ms)

    def write_status(self) -> None:
        """Writes the status if it has changed.

        The first write of a term is conditional on the current revision of
        the status object and changes it, so that a delayed write by an earlier
        holder is refused.

        Raises:
            ConflictError: Another process has written the status.
            PlatformUnavailableError: There was no usable answer.
        """
        if self._status_revision is None:
            held = self._platform.get(STATUS_KEY)
            written = (held.value or {}) if held is not None else {}
            revision = held.revision if held is not None else 0
            if written.get("term", 0) > self.lease.term:
                raise errors.ConflictError(STATUS_KEY, revision)
            self._status_revision = revision
            self.status_builder.load_conditions(written.get("conditions", []))
            self._written = {}
        members = set(self._members())
        self.status_builder.retain(members)
        value = self.status_builder.render(
            self._conditions(),
            term=self.lease.term,
            writer=self._name,
            members=len(members),
            wall_ms=time.time_ns() // 1_000_000,
        )
        if value == self._written:
            return
        try:
            self._status_revision = self._platform.put(
                STATUS_KEY, value, expected_revision=self._status_revision
            )
        except errors.PlatformUnavailableError:
            self._status_revision = None
            raise
        self._written = value
        self.counters["status_writes"] += 1

    def _on_lease_lost(self, reason: str) -> None:
        self.lease.on_refused()
        self._status_revision = None
        self.counters["leases_lost"] += 1
        eliot.log_message("lease_lost", reason=reason)
