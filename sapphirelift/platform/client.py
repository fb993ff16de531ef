"""Client of the platform's store for objects that are named by paths.

An example of a path is ``records/service/catalogue``. All objects that daemons
watch are of one kind in the store, so that a single watch covers them. The
others are of a second kind, so that their writes do not wake the watches. Each
value carries the id of the write that stored it; if the answer to a write is
lost, the client reads the object back and looks for this id. Records carry the
ids of earlier writes too, so that a state which the store has returned to can
be told from a new one.
"""

import collections
import random
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import eventlet

from sapphirelift import credentials as credentials_module
from sapphirelift import errors
from sapphirelift.core import revisions
from sapphirelift.core.records import replica
from sapphirelift.core.requests import backoff
from sapphirelift.platform import store as store_module

CALLS_PER_S = store_module.CALLS_PER_S
BURST_CALLS = store_module.BURST_CALLS
MAX_READ_BACK_ATTEMPTS = 3

WATCHED_KIND = "sapphirelift-records"
UNWATCHED_KIND = "sapphirelift-state"
_WATCHED_PREFIXES = ("records/", "members/")
# Replaces the slashes of a path, which the store may not allow in names;
# paths contain no colon.
_SEPARATOR = ":"
# Set before a conditional deletion; watches do not report it as a change.
_DELETION_MARK = "is_being_deleted"


class Listing(NamedTuple):
    """Objects at a revision of the store.

    Attributes:
        revision: Revision of the store that the list reflects.
        complete: Whether the list holds all live objects, not just changes.
    """

    revision: int
    objects: list[replica.StoredObject]
    complete: bool


class ObjectClient:
    """Reads, conditional updates and watches of objects named by paths.

    Attributes:
        store: Client of the store, by kind and name.
    """

    def __init__(
        self,
        base_url: str,
        *,
        name: str = "client",
        rng: random.Random | None = None,
        calls_per_s: float = CALLS_PER_S,
        credentials: credentials_module.PlatformCredentials | None = None,
        on_skipped: store_module.OnSkipped = lambda kind, reason: None,
    ) -> None:
        self._rng = rng or random.Random()
        self.store = store_module.Store(
            base_url,
            name=name,
            calls_per_s=calls_per_s,
            credentials=credentials,
            on_skipped=on_skipped,
        )

    @property
    def calls(self) -> collections.Counter[str]:
        """Number of calls by kind of call; a watch counts as one call."""
        return self.store.calls

    @property
    def failures(self) -> collections.Counter[str]:
        """Number of calls without a usable answer, by kind of call."""
        return self.store.failures

    @property
    def may_have_been_restored(self) -> bool:
        """Whether the store may have returned from an older copy.

        A store whose first era is 1 cannot be told from one that has.
        """
        return self.store.era > revisions.FIRST_ERA

    def get(self, key: str) -> replica.StoredObject | None:
        """Returns an object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        found = self.store.get(*_kind_and_name(key))
        return _new_stored_object(found) if found is not None else None

    def list_objects(self, *prefixes: str) -> Listing:
        """Lists all objects under any of the prefixes.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        revisions: list[int] = []
        objects: list[replica.StoredObject] = []
        for kind in _kinds_under(prefixes):
            listing = self.store.list_kind(kind)
            revisions.append(listing.revision)
            objects.extend(_new_stored_object(item) for item in listing.objects)
        found = [item for item in objects if item.key.startswith(prefixes)]
        return Listing(min(revisions), found, complete=True)

    def watch(self, *prefixes: str, since: int, wait_ms: int) -> Listing:
        """Waits for changes after ``since``.

        Args:
            prefixes: Prefixes of the paths to watch, such as ``records/``.
            since: Revision after which changes are wanted.
            wait_ms: How long to wait for a change.

        Returns:
            The changes, empty if there were none within ``wait_ms``; or the
            full list if the store's history does not reach back to ``since``.

        Raises:
            PlatformUnavailableError: There was no usable answer; the
                connection is closed and the next watch uses a new one.
        """
        found = self.store.watch(WATCHED_KIND, since=since, wait_ms=wait_ms)
        if found is None:
            return self.list_objects(*prefixes)
        newest: dict[str, replica.StoredObject] = {}
        for change in found.changes:
            item = _new_stored_object(change.object)
            if change.is_deleted:
                # The object has the revision of its last write, which is older
                # than the deletion.
                item = item._replace(revision=found.revision, value=None)
            elif _has_deletion_mark(change.object):
                continue
            if item.key.startswith(prefixes):
                newest[item.key] = item
        return Listing(found.revision, list(newest.values()), complete=False)

    def put(
        self,
        key: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None = None,
        replaces: replica.StoredObject | None = None,
    ) -> int:
        """Writes an object and returns its revision.

        Args:
            key: Path of the object.
            value: The value to store.
            expected_revision: Revision that the object must have; 0 if it
                must not exist, None for any.
            replaces: State of the object that was read before.

        Raises:
            ConflictError: The object has another revision.
            WriteUnknownError: The answer was lost and the object does not
                show whether the write took effect.
        """
        body = {"value": value} | _history(replaces)
        return self._write(key, body, expected_revision)

    def restore(self, item: replica.StoredObject) -> None:
        """Writes a state again that the store has lost in its return.

        Does nothing if the store holds another state than earlier ones.

        Raises:
            ConflictError: Another writer has changed the object meanwhile.
            PlatformUnavailableError: There was no usable answer.
        """
        kind, name = _kind_and_name(item.key)
        current = self.store.get(kind, name)
        if current is not None and not item.is_later_than(
            _new_stored_object(current)
        ):
            return
        body = {
            "value": item.value,
            "write_id": item.write_id,
            "replaced": item.replaced,
        }
        if current is None:
            if item.value is not None:
                self.store.create(kind, name, body)
        elif item.value is None:
            self.store.delete(kind, name, revision=current.revision)
        else:
            self.store.replace(kind, name, body, revision=current.revision)

    def _write(
        self, key: str, body: dict[str, Any], expected_revision: int | None
    ) -> int:
        write_id = uuid.uuid4().hex
        try:
            return self._put_conditionally(
                key, body | {"write_id": write_id}, expected_revision
            )
        except errors.StoreRestoredError:
            raise
        except errors.ConflictError as error:
            raise errors.ConflictError(key, error.current_revision) from error
        except errors.PlatformUnavailableError:
            return self._read_back_write(key, write_id)

    def _put_conditionally(
        self, key: str, body: dict[str, Any], expected_revision: int | None
    ) -> int:
        kind, name = _kind_and_name(key)
        match expected_revision:
            case 0:
                return self.store.create(kind, name, body).revision
            case None:
                return self._put_unconditionally(kind, name, body)
            case _:
                return self.store.replace(
                    kind, name, body, revision=expected_revision
                ).revision

    def _put_unconditionally(
        self, kind: str, name: str, body: dict[str, Any]
    ) -> int:
        try:
            return self.store.replace(kind, name, body).revision
        except errors.ConflictError:
            return self.store.create(kind, name, body).revision

    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Deletes an object.

        A conditional deletion marks the object first, so that this deletion
        can be told from that of another writer if its answer is lost.

        Raises:
            ConflictError: The object has another revision.
            WriteUnknownError: The answer was lost and it cannot be
                established that this call deleted the object.
        """
        if expected_revision is None:
            self._delete_unconditionally(key)
            return
        current = self.get(key)
        if current is None or current.revision != expected_revision:
            raise errors.ConflictError(key, current.revision if current else 0)
        marked_revision = self._write(
            key,
            {"value": current.value, _DELETION_MARK: True} | _history(current),
            expected_revision,
        )
        try:
            self.store.delete(*_kind_and_name(key), revision=marked_revision)
        except errors.StoreRestoredError:
            raise
        except errors.ConflictError as error:
            raise errors.ConflictError(key, error.current_revision) from error
        except errors.PlatformUnavailableError:
            self._read_back_deletion(key, marked_revision)

    def _delete_unconditionally(self, key: str) -> None:
        kind, name = _kind_and_name(key)
        try:
            self.store.delete(kind, name)
        except errors.PlatformUnavailableError:
            for found in self._first_answer(
                lambda: self.store.get(kind, name, call="read_back")
            ):
                if found is None:
                    return
                break
            raise errors.WriteUnknownError(key) from None

    def _read_back_write(self, key: str, write_id: str) -> int:
        """Finds out whether a write whose answer was lost took effect.

        Another write id in the object proves nothing: this write may have
        taken effect before the other one, or may still do so.
        """
        kind, name = _kind_and_name(key)
        for found in self._first_answer(
            lambda: self.store.get(kind, name, call="read_back")
        ):
            if found is not None and _write_id(found) == write_id:
                return found.revision
            break
        raise errors.WriteUnknownError(key)

    def _read_back_deletion(self, key: str, marked_revision: int) -> None:
        """Finds out whether the marked object has been deleted."""
        kind, name = _kind_and_name(key)
        for changes in self._first_answer(
            lambda: self.store.watch(kind, since=marked_revision, wait_ms=0)
        ):
            for change in changes.changes if changes is not None else ():
                if change.object.name == name and change.is_deleted:
                    return
            break
        raise errors.WriteUnknownError(key)

    def _first_answer(self, read: Callable[[], Any]) -> Iterator[Any]:
        """Yields the first answer, or nothing if all attempts fail."""
        delays = backoff.Backoff(self._rng, min_s=0.1, max_s=1.0)
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            try:
                answer = read()
            except errors.PlatformUnavailableError:
                eventlet.sleep(delays.next_s())
            else:
                yield answer


def _kind_and_name(key: str) -> tuple[str, str]:
    """Returns the kind and name in the store of the object at a path.

    >>> _kind_and_name("records/service/catalogue")
    ('sapphirelift-records', 'records:service:catalogue')
    """
    is_watched = key.startswith(_WATCHED_PREFIXES)
    kind = WATCHED_KIND if is_watched else UNWATCHED_KIND
    return kind, key.replace("/", _SEPARATOR)


def _kinds_under(prefixes: tuple[str, ...]) -> list[str]:
    """Returns the kinds in the store that hold objects under the prefixes.

    >>> _kinds_under(("",)), _kinds_under(("records/service/",))
    (['sapphirelift-records', 'sapphirelift-state'], ['sapphirelift-records'])
    """
    kinds = {_kind_and_name(prefix)[0] for prefix in prefixes}
    if any(w.startswith(p) for w in _WATCHED_PREFIXES for p in prefixes):
        kinds.add(WATCHED_KIND)
    return sorted(kinds)


def _new_stored_object(item: store_module.Object) -> replica.StoredObject:
    value = item.value.get("value") if isinstance(item.value, dict) else None
    if not isinstance(value, dict):
        # No value would mean a deletion. An empty one is refused, and leaves
        # the last valid one in force.
        value = {}
    key = item.name.replace(_SEPARATOR, "/")
    return replica.StoredObject(
        key, item.revision, value, _write_id(item), _replaced(item)
    )


def _has_deletion_mark(item: store_module.Object) -> bool:
    return isinstance(item.value, dict) and _DELETION_MARK in item.value


def _write_id(item: store_module.Object) -> str:
    value = item.value if isinstance(item.value, dict) else {}
    return str(value.get("write_id", ""))


def _replaced(item: store_module.Object) -> tuple[str, ...]:
    value = item.value if isinstance(item.value, dict) else {}
    found = value.get("replaced")
    return tuple(map(str, found)) if isinstance(found, list) else ()


def _history(replaces: replica.StoredObject | None) -> dict[str, Any]:
    """Returns the ids of earlier writes, as part of the stored value.

    >>> _history(replica.StoredObject("key", 9, {}, "b", ("a",)))
    {'replaced': ['b', 'a']}
    """
    ids = replaces.history() if replaces is not None else ()
    return {"replaced": list(ids)} if ids else {}
