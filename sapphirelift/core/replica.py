"""Replica of the platform's objects. Revisions only go up."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple


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


class Replica:
    """Objects by key, at a revision up to which all changes are known.

    The table is replaced at each change and never altered in place, so
    that another thread can read a consistent state.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self.revision = 0

    def apply(
        self, changes: Iterable[StoredObject], *, revision: int
    ) -> list[StoredObject]:
        """Applies all changes up to ``revision``; returns those that were new.

        An object older than the one held is ignored, wherever it comes from.
        """
        objects = dict(self._objects)
        applied = []
        for change in changes:
            held = objects.get(change.key)
            if held is not None and held.revision >= change.revision:
                continue
            objects[change.key] = change
            applied.append(change)
        if applied:
            self._objects = objects
        self.revision = max(self.revision, revision)
        return applied

    def replace(
        self, objects: Iterable[StoredObject], *, revision: int
    ) -> list[StoredObject]:
        """Applies a full list; keys missing from it become tombstones.

        A list older than the replica is ignored.
        """
        if revision < self.revision:
            return []
        listed = {item.key: item for item in objects}
        removed = [
            StoredObject(held.key, revision, None)
            for held in self._objects.values()
            if held.value is not None and held.key not in listed
        ]
        return self.apply([*listed.values(), *removed], revision=revision)

    def get(self, key: str) -> StoredObject | None:
        """Returns a live object, or None."""
        held = self._objects.get(key)
        return held if held is not None and held.value is not None else None

    def items(self, prefix: str) -> Iterator[StoredObject]:
        """Yields the live objects under a prefix."""
        for key, held in self._objects.items():
            if held.value is not None and key.startswith(prefix):
                yield held

    def changes_since(self, revision: int) -> list[StoredObject]:
        """Returns all objects and tombstones changed after ``revision``."""
        return [
            held for held in self._objects.values() if held.revision > revision
        ]
