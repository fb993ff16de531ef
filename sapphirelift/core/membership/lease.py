"""Lease with a term that limits the status writers to one at a time.

The clocks of different processes are never compared. An observer takes over a
lease that has not changed for its whole duration, measured on the observer's
own clock. The holder's lease expires earlier, because the holder counts from
the start of its last accepted write.

When the store has returned from an older copy, the lease may be missing there
or be that of an earlier holder, while the last holder has not noticed yet. An
observer therefore waits for the whole duration then, also if there is no lease.
"""

from typing import Any
from typing import NamedTuple

from sapphirelift.core.records import replica

DURATION_MS = 6000
# Renewal interval; two renewals may be lost before the lease expires.
INTERVAL_MS = 2000


class LeaseWrite(NamedTuple):
    """A conditional write that acquires or renews the lease."""

    value: dict[str, Any]
    expected_revision: int


class Lease:
    """State of the lease as seen by one process.

    Attributes:
        term: Term that this process holds or has last seen.
    """

    def __init__(
        self, *, holder: str, incarnation: int, duration_ms: int = DURATION_MS
    ) -> None:
        self.term = 0
        self._holder = holder
        self._incarnation = incarnation
        self._duration_ms = duration_ms
        self._revision = 0
        self._must_wait = True
        self._unchanged_since_ms: int | None = None
        self._held_until_ms: int | None = None

    def holds(self, now_ms: int) -> bool:
        """Returns whether this process holds the lease."""
        return self._held_until_ms is not None and now_ms < self._held_until_ms

    def needs_read(self, now_ms: int) -> bool:
        """Returns whether to read the object before the next ``attempt``."""
        return not self.holds(now_ms)

    def on_read(
        self,
        stored: replica.StoredObject | None,
        *,
        now_ms: int,
        may_be_lost: bool = False,
    ) -> None:
        """Processes the lease object as read.

        Args:
            stored: The lease object, None if it does not exist.
            now_ms: Current time.
            may_be_lost: Whether the store may have lost a lease.
        """
        self._must_wait = stored is not None or may_be_lost
        revision = stored.revision if stored is not None else 0
        value = (stored.value or {}) if stored is not None else {}
        if revision != self._revision or self._unchanged_since_ms is None:
            self._revision = revision
            self._unchanged_since_ms = now_ms
        self.term = max(self.term, value.get("term", 0))

    def attempt(self, now_ms: int) -> LeaseWrite | None:
        """Returns the write that acquires or renews the lease.

        Returns None while the lease may belong to another process.
        """
        if self.holds(now_ms):
            return LeaseWrite(self._value(), self._revision)
        self._held_until_ms = None
        if self._unchanged_since_ms is None:
            return None
        unchanged_ms = now_ms - self._unchanged_since_ms
        if self._must_wait and unchanged_ms < self._duration_ms:
            return None
        self.term += 1
        return LeaseWrite(self._value(), self._revision)

    def on_written(self, revision: int, *, started_ms: int) -> None:
        """Handles the acceptance of a write started at ``started_ms``."""
        self._revision = revision
        self._unchanged_since_ms = started_ms
        self._held_until_ms = started_ms + self._duration_ms

    def on_refused(self) -> None:
        """Gives up the lease after a refused write or one of unknown outcome.

        Before the next attempt the object must be read again and, if it
        exists, stay unchanged for its duration.
        """
        self._held_until_ms = None
        self._unchanged_since_ms = None

    def _value(self) -> dict[str, Any]:
        return {
            "schema_version": 1,
            "kind": "lease",
            "name": "status",
            "holder": self._holder,
            "incarnation": self._incarnation,
            "term": self.term,
            "duration_ms": self._duration_ms,
        }
