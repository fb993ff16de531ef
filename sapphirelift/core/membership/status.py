"""Contents of the status object."""

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

# 7,840 processes at about 40 bytes each stay below the platform's limit of a
# megabyte per object.
MAX_PROCESSES = 10_000
MAX_CONDITIONS = 1000


class Condition(NamedTuple):
    """Something that is wrong or out of the ordinary.

    Attributes:
        kind: For example ``member_suspected``.
        subject: The process or data centre concerned.
        reason: Why, in a few words.
    """

    kind: str
    subject: str
    reason: str


class StatusBoard:
    """Collects observations and renders them as a status object."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._since: dict[Condition, int] = {}

    def observe(self, name: str, revision: int) -> None:
        """Notes the revision that a process has in force."""
        if name in self._revisions or len(self._revisions) < MAX_PROCESSES:
            self._revisions[name] = revision

    def retain(self, names: Iterable[str]) -> None:
        """Forgets processes that are no longer members."""
        kept = set(names)
        self._revisions = {
            n: r for n, r in self._revisions.items() if n in kept
        }

    def load_conditions(self, written: Iterable[dict[str, Any]]) -> None:
        """Takes over since when an earlier writer has seen its conditions."""
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
            conditions: Those that hold now. Their time is that of the first
                call that had them.
            term: Term of the writer's lease.
            writer: Name of the writer.
            members: Number of known processes, heard of directly or not.
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
