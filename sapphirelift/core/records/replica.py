"""Replica of the platform's objects; revisions never decrease."""

import itertools
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

# Several times the number of instances replaced in a day (1,200).
MAX_TOMBSTONES = 10_000
# Changes of one object between a copy of the store, which is some seconds old,
# and the store's return from it.
MAX_REPLACED = 16


class StoredObject(NamedTuple):
    """An object of the platform.

    Attributes:
        key: Path of the object, for example ``records/service/catalogue``.
        revision: Revision of the store at the object's last change.
        value: Contents of the object, or None for a tombstone.
        write_id: Id of the write that stored this state; empty if unknown.
        replaced: Ids of the writes of earlier states, newest first. A state
            whose id is among them is older, whatever its revision.
    """

    key: str
    revision: int
    value: dict[str, Any] | None
    write_id: str = ""
    replaced: tuple[str, ...] = ()

    def is_later_than(self, other: "StoredObject") -> bool:
        """Returns whether the other state is known to be an earlier one.

        The deletion of an earlier state is a new change.

        >>> state = StoredObject("key", 9, {}, "b", ("a",))
        >>> state.is_later_than(StoredObject("key", 20, {}, "a"))
        True
        >>> state.is_later_than(StoredObject("key", 20, None, "a"))
        False
        """
        is_live = other.value is not None
        return (
            is_live
            and bool(other.write_id)
            and (other.write_id in self.replaced)
        )

    def history(self) -> tuple[str, ...]:
        """Returns the ids of the writes up to this state, newest first.

        >>> StoredObject("key", 9, {}, "c", ("b", "a")).history()
        ('c', 'b', 'a')
        """
        own = (self.write_id,) if self.write_id else ()
        return (*own, *self.replaced)[:MAX_REPLACED]


class Difference(NamedTuple):
    """Objects that another replica is missing.

    Attributes:
        revision: Revision up to which all changes are included.
        complete: Whether ``objects`` is a full list of the live objects
            instead of the changes only.
        is_settled: Whether the replica was, see ``Replica``.
    """

    revision: int
    objects: list[StoredObject]
    complete: bool
    is_settled: bool = True


class _State(NamedTuple):
    """Snapshot that other threads can read while the replica changes.

    Attributes:
        groups: Objects by key, grouped by the part of the key up to the last
            slash, so that a change copies only its own group.
        compacted_revision: Tombstones of deletions up to this revision may be
            missing.
        tombstones: Number of objects without a value.
    """

    groups: dict[str, dict[str, StoredObject]]
    revision: int
    compacted_revision: int
    tombstones: int

    def objects(self) -> Iterator[StoredObject]:
        """Yields all objects, tombstones included."""
        return itertools.chain.from_iterable(
            group.values() for group in self.groups.values()
        )

    def get(self, key: str) -> StoredObject | None:
        """Returns an object, which may be a tombstone."""
        return self.groups.get(_parent_path(key), _EMPTY_GROUP).get(key)


_EMPTY_GROUP: dict[str, StoredObject] = {}


def _parent_path(key: str) -> str:
    """Returns the part of a key up to its last slash.

    >>> _parent_path("records/service/catalogue")
    'records/service/'
    """
    return key[: key.rfind("/") + 1]


def _without_oldest_tombstones(state: _State) -> _State:
    """Returns a copy of a state without the older half of its tombstones."""
    tombstones = [item for item in state.objects() if item.value is None]
    tombstones.sort(key=lambda item: item.revision)
    dropped = tombstones[: len(tombstones) // 2]
    groups = {name: dict(group) for name, group in state.groups.items()}
    for item in dropped:
        name = _parent_path(item.key)
        del groups[name][item.key]
        if not groups[name]:
            del groups[name]
    compacted_revision = max(
        [state.compacted_revision, *(item.revision for item in dropped)]
    )
    return _State(
        groups,
        state.revision,
        compacted_revision,
        state.tombstones - len(dropped),
    )


def _with_history(
    change: StoredObject, current: StoredObject | None
) -> StoredObject:
    """Returns a change; a deletion gets the ids of all states before it."""
    if change.value is not None:
        return change
    before = current.history() if current is not None else ()
    ids = dict.fromkeys((*change.history(), *before))
    return change._replace(write_id="", replaced=tuple(ids)[:MAX_REPLACED])


class _UnconfirmedList(NamedTuple):
    """Contents of a full list that a second list must confirm.

    Attributes:
        revision: Revision of the list.
        missing: Revision by key of live objects missing from the list.
    """

    revision: int
    missing: dict[str, int]


class Replica:
    """Objects by key, at a revision up to which all changes are known.

    Each change replaces the state instead of modifying it in place, so that
    other threads always read a consistent state.

    Attributes:
        is_settled: Whether other writers had time to write again what the
            store may have lost at the beginning of its era.
        lost: Keys of which the store has lost the newest state, which stays
            in force here.
    """

    def __init__(self, *, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self._state = _State({}, 0, 0, 0)
        self._unconfirmed: _UnconfirmedList | None = None
        self._max_tombstones = max_tombstones
        self.is_settled = True
        self.lost: set[str] = set()

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._state.revision

    def apply(
        self, changes: Iterable[StoredObject], *, revision: int
    ) -> list[StoredObject]:
        """Applies all changes up to ``revision``; returns those that were new.

        Only an object newer than the stored one is applied, whatever its
        source.
        """
        return self._apply(
            changes,
            revision=revision,
            compacted_revision=self._state.compacted_revision,
        )

    def apply_watched(self, changes: list[StoredObject]) -> list[StoredObject]:
        """Applies the changes returned by a watch.

        The replica advances to the revision of the newest change, not to that
        of the response: a lagging part of the platform may return a revision
        without the change that belongs to it, and a replica at that revision
        would never request the change again.
        """
        newest = max((item.revision for item in changes), default=0)
        self._unconfirmed = None
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

        Keys missing from the list become tombstones and its revision is
        adopted only after a second list has confirmed it, because a list read
        from a lagging part of the platform may lack the last change.

        Args:
            objects: All live objects.
            revision: Revision of the list.
            trusted: Whether the list needs no confirmation, such as a list
                from another replica.
            keep_missing: Whether objects missing from the list stay in force.
        """
        if revision < self.revision:
            return []
        listed = {item.key: item for item in objects}
        newest = max((item.revision for item in listed.values()), default=0)
        missing = {
            item.key: item.revision
            for item in self._state.objects()
            if item.value is not None and item.key not in listed
            if not keep_missing
        }
        previous = self._unconfirmed
        confirmed = trusted or (
            previous is not None
            and revision >= previous.revision
            and missing.items() <= previous.missing.items()
        )
        self._unconfirmed = (
            None if confirmed else _UnconfirmedList(revision, missing)
        )
        if not confirmed:
            known_revision = 0 if missing else newest
            # The list does not show deletions between its objects' revisions.
            compacted_revision = max(
                self._state.compacted_revision, known_revision
            )
            return self._apply(
                listed.values(),
                revision=known_revision,
                compacted_revision=compacted_revision,
            )
        removed = [StoredObject(key, revision, None) for key in missing]
        return self._apply(
            [*listed.values(), *removed],
            revision=revision,
            compacted_revision=revision,
        )

    def missing_from(
        self, objects: Iterable[StoredObject], prefix: str
    ) -> list[StoredObject]:
        """Returns the live objects under a prefix missing from a full list."""
        listed = {item.key for item in objects}
        return [i for i in self.items(prefix) if i.key not in listed]

    def _apply(
        self,
        changes: Iterable[StoredObject],
        *,
        revision: int,
        compacted_revision: int,
    ) -> list[StoredObject]:
        groups = dict(self._state.groups)
        tombstones = self._state.tombstones
        copied: set[str] = set()
        applied = []
        for change in changes:
            name = _parent_path(change.key)
            current = groups.get(name, _EMPTY_GROUP).get(change.key)
            if current is not None and current.revision >= change.revision:
                continue
            if current is not None and current.is_later_than(change):
                self.lost.add(change.key)
                continue
            self.lost.discard(change.key)
            if name not in copied:
                copied.add(name)
                groups[name] = dict(groups.get(name, _EMPTY_GROUP))
            groups[name][change.key] = _with_history(change, current)
            was_tombstone = current is not None and current.value is None
            tombstones += (change.value is None) - was_tombstone
            applied.append(change)
        revision = max(self._state.revision, revision)
        state = _State(groups, revision, compacted_revision, tombstones)
        if tombstones > self._max_tombstones:
            state = _without_oldest_tombstones(state)
        self._state = state
        return applied

    def find(self, key: str) -> StoredObject | None:
        """Returns an object, which may be a tombstone, or None."""
        return self._state.get(key)

    def get(self, key: str) -> StoredObject | None:
        """Returns a live object, or None."""
        item = self.find(key)
        return item if item is not None and item.value is not None else None

    def items(self, prefix: str) -> Iterator[StoredObject]:
        """Yields the live objects under a prefix."""
        parent = _parent_path(prefix)
        for name, group in self._state.groups.items():
            if not name.startswith(parent):
                continue
            for key, item in group.items():
                if item.value is not None and key.startswith(prefix):
                    yield item

    def difference(self, since: int) -> Difference:
        """Returns the objects that a replica at revision ``since`` is missing.

        Returns a full list if tombstones of deletions after ``since`` may be
        missing here, because the changes alone would then leave deleted
        objects in force.
        """
        state = self._state
        complete = since < state.compacted_revision
        objects = [
            item
            for item in state.objects()
            if (item.value is not None if complete else item.revision > since)
        ]
        return Difference(state.revision, objects, complete, self.is_settled)
