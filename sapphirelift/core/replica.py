"""Replica of the platform's objects. Revisions only go up."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

# A day's replaced instances (1,200) several times over.
MAX_TOMBSTONES = 10_000


class StoredObject(NamedTuple):
    """An object of the platform.

    Attributes:
        key: Path of the object, for example ``records/service/catalogue``.
        revision: Revision of the store at the object's last change.
        value: The object, or None for a tombstone.
    """

    key: str
    revision: int
    value: dict[str, Any] | None


class Difference(NamedTuple):
    """Objects that another replica lacks.

    Attributes:
        revision: Revision up to which all changes are included.
        complete: Whether these are all live objects, not just the changes.
    """

    revision: int
    objects: list[StoredObject]
    complete: bool


class _State(NamedTuple):
    """What another thread may read while the replica changes.

    Attributes:
        floor: Deletions up to this revision may have left no tombstone.
    """

    objects: dict[str, StoredObject]
    revision: int
    floor: int


class _Claim(NamedTuple):
    """What a full list said that its objects do not prove.

    Attributes:
        missing: Revisions of live objects that the list did not contain.
    """

    revision: int
    missing: dict[str, int]


class Replica:
    """Objects by key, at a revision up to which all changes are known.

    The state is replaced at each change and never altered in place, so
    that another thread can read a consistent state.
    """

    def __init__(self, *, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self._state = _State({}, 0, 0)
        self._claim: _Claim | None = None
        self._max_tombstones = max_tombstones

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._state.revision

    def apply(
        self, changes: Iterable[StoredObject], *, revision: int
    ) -> list[StoredObject]:
        """Applies all changes up to ``revision``; returns those that were new.

        An object older than the one held is ignored, wherever it comes from.
        """
        return self._apply(changes, revision=revision, floor=self._state.floor)

    def apply_watched(self, changes: list[StoredObject]) -> list[StoredObject]:
        """Applies what a watch returned.

        The replica advances to the newest change only and not to the revision
        of the answer: an answer from a lagging part of the platform may
        name a revision whose change it does not contain, and a replica that
        believed it would never ask for that change again.
        """
        newest = max((item.revision for item in changes), default=0)
        self._claim = None
        return self.apply(changes, revision=newest)

    def replace(
        self,
        objects: Iterable[StoredObject],
        *,
        revision: int,
        trusted: bool = False,
        keep_missing: bool = False,
    ) -> list[StoredObject]:
        """Applies a full list; a list older than the replica is ignored.

        Keys missing from the list become tombstones, and its revision is
        taken over, once a second list agrees: the last change may be missing
        from a list read from a lagging part of the platform.

        Args:
            objects: All live objects.
            revision: Revision of the list.
            trusted: Whether the list needs no second one, as that of
                another replica.
            keep_missing: Leave objects that the list lacks in force.
        """
        if revision < self.revision:
            return []
        listed = {item.key: item for item in objects}
        newest = max((item.revision for item in listed.values()), default=0)
        missing = {
            key: held.revision
            for key, held in self._state.objects.items()
            if held.value is not None and key not in listed
            if not keep_missing
        }
        claim = self._claim
        agreed = trusted or (
            claim is not None
            and revision >= claim.revision
            and missing.items() <= claim.missing.items()
        )
        self._claim = None if agreed else _Claim(revision, missing)
        if not agreed:
            known = 0 if missing else newest
            # Deletions between the objects' revisions are not known.
            floor = max(self._state.floor, known)
            return self._apply(listed.values(), revision=known, floor=floor)
        removed = [StoredObject(key, revision, None) for key in missing]
        return self._apply(
            [*listed.values(), *removed], revision=revision, floor=revision
        )

    def unlisted(
        self, objects: Iterable[StoredObject], prefix: str
    ) -> list[StoredObject]:
        """Returns the live objects that a full list lacks."""
        listed = {item.key for item in objects}
        return [i for i in self.items(prefix) if i.key not in listed]

    def _apply(
        self, changes: Iterable[StoredObject], *, revision: int, floor: int
    ) -> list[StoredObject]:
        objects = dict(self._state.objects)
        applied = []
        for change in changes:
            held = objects.get(change.key)
            if held is not None and held.revision >= change.revision:
                continue
            objects[change.key] = change
            applied.append(change)
        dead = [item for item in objects.values() if item.value is None]
        if len(dead) > self._max_tombstones:
            dead.sort(key=lambda item: item.revision)
            for item in dead[: len(dead) // 2]:
                del objects[item.key]
                floor = max(floor, item.revision)
        revision = max(self._state.revision, revision)
        self._state = _State(objects, revision, floor)
        return applied

    def get(self, key: str) -> StoredObject | None:
        """Returns a live object, or None."""
        held = self._state.objects.get(key)
        return held if held is not None and held.value is not None else None

    def items(self, prefix: str) -> Iterator[StoredObject]:
        """Yields the live objects under a prefix."""
        for key, held in self._state.objects.items():
            if held.value is not None and key.startswith(prefix):
                yield held

    def difference(self, since: int) -> Difference:
        """Returns what a replica at revision ``since`` lacks.

        It is the full list if tombstones of deletions after ``since`` may be
        missing here; the changes alone would leave deleted objects in force.
        """
        state = self._state
        complete = since < state.floor
        objects = [
            item
            for item in state.objects.values()
            if (item.value is not None if complete else item.revision > since)
        ]
        return Difference(state.revision, objects, complete)
