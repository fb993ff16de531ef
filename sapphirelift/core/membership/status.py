"""Contents of the cluster's status object."""

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

# The design size of 7,840 processes, at about 40 bytes each, stays below the
# platform's limit of one megabyte per object.
MAX_PROCESSES = 10_000
MAX_CONDITIONS = 1000


class Condition(NamedTuple):
    """A fault or other exceptional state of the cluster.

    Attributes:
        kind: Type of the condition, for example ``member_suspected``.
        subject: Name of the affected process or data centre.
        reason: Short explanation.
    """

    kind: str
    subject: str
    reason: str


class StatusBuilder:
    """Collects observed revisions and conditions for the status object."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._since: dict[Condition, int] = {}

    def observe(self, name: str, revision: int) -> None:
        """Records the revision that a process has in force."""
        if name in self._revisions or len(self._revisions) < MAX_PROCESSES:
            self._revisions[name] = revision

    def retain(self, names: Iterable[str]) -> None:
        """Removes processes that are no longer members."""
        kept = set(names)
        self._revisions = {
            n: r for n, r in self._revisions.items() if n in kept
        }

    def load_conditions(self, written: Iterable[dict[str, Any]]) -> None:
        """Loads the start times of the conditions in an earlier status."""
        self._since = {
            Condition(c["kind"], c["subject"], c["reason"]): c["since_ms"]
            for c in written
        }

    def render(
        self,
        conditions: Iterable[Condition],
        *,
        term: int,
        writer: str,
        members: int,
        wall_ms: int,
    ) -> dict[str, Any]:
        """Returns the status object.

        Args:
            conditions: The current conditions. ``since_ms`` of a condition
                is the time of the first call that contained it.
            term: Term of the writer's lease.
            writer: Name of the writer.
            members: Number of known processes, whether observed or not.
            wall_ms: Wall clock in milliseconds.
        """
        current = sorted(set(conditions))[:MAX_CONDITIONS]
        self._since = {c: self._since.get(c, wall_ms) for c in current}
        counts = collections.Counter(self._revisions.values())
        return {
            "schema_version": 1,
            "kind": "status",
            "name": "cluster",
            "term": term,
            "writer": writer,
            "observed_revisions": dict(sorted(self._revisions.items())),
            "daemons_by_revision": {
                str(revision): count
                for revision, count in sorted(counts.items())
            },
            "members_not_observed": max(0, members - len(self._revisions)),
            "conditions": [
                {**condition._asdict(), "since_ms": self._since[condition]}
                for condition in current
            ],
        }
