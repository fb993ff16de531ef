"""Reads and writes the records in the platform, with validation."""

from typing import Any
from typing import NamedTuple

import result

from sapphirelift import errors
from sapphirelift.core.records import policy
from sapphirelift.core.records import record_set
from sapphirelift.core.records import records
from sapphirelift.core.records import replica
from sapphirelift.platform import client


class Written(NamedTuple):
    """Result of a write.

    Attributes:
        key: Path of the record.
        revision: Revision of the record after the write.
        overruled: Settings of other records that a locked field overrides.
    """

    key: str
    revision: int
    overruled: list[str]


class RecordStore:
    """Typed and validated operations on the records in the platform."""

    def __init__(self, platform: client.ObjectClient) -> None:
        self._platform = platform

    def load(self) -> tuple[record_set.RecordSet, int]:
        """Returns all records and the revision of the store.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        listing = self._platform.list_objects(record_set.PREFIX)
        loaded = record_set.RecordSet()
        for item in listing.objects:
            loaded.apply(item)
        return loaded, listing.revision

    def list_kind(self, kind: str) -> list[replica.StoredObject]:
        """Returns the stored records of a kind.

        Raises:
            InputError: The kind does not exist.
            PlatformUnavailableError: No usable answer.
        """
        check_kind(kind)
        return self._platform.list_objects(records.key_of(kind, "")).objects

    def get(self, kind: str, name: str) -> replica.StoredObject:
        """Returns a stored record.

        Raises:
            MissingRecordError: The record does not exist.
            PlatformUnavailableError: No usable answer.
        """
        stored = self.find(kind, name)
        if stored is None:
            raise errors.MissingRecordError(
                f"there is no {kind} {name}",
                remedy=f"see `sapphirelift list {kind}`",
            )
        return stored

    def find(self, kind: str, name: str) -> replica.StoredObject | None:
        """Returns a stored record, or None if it does not exist.

        Raises:
            InputError: The kind does not exist.
            PlatformUnavailableError: No usable answer.
        """
        check_kind(kind)
        return self._platform.get(records.key_of(kind, name))

    def write(
        self, value: dict[str, Any], *, expected_revision: int | None = None
    ) -> Written:
        """Validates a record and writes it in its own schema version.

        Args:
            value: The record as JSON data.
            expected_revision: Revision that the stored record must have, 0 if
                it must not exist; by default the revision that is read before
                the write.

        Raises:
            RecordError: The record is not valid.
            LockedFieldError: The record sets a field that a central rule
                locks.
            ConflictError: The record has another revision.
            PlatformUnavailableError: No usable answer.
        """
        record = unwrap(records.parse(value))
        loaded, _ = self.load()
        locked_error = policy.check_locked(record, loaded.policies())
        if locked_error is not None:
            raise locked_error
        key = records.key_of(record.kind, record.name)
        stored = self._platform.get(key)
        if expected_revision is None:
            expected_revision = stored.revision if stored is not None else 0
        revision = self._platform.put(
            key, value, expected_revision=expected_revision, replaces=stored
        )
        loaded.apply(replica.StoredObject(key, revision, value))
        return Written(key, revision, _overruled(loaded))

    def delete(
        self, kind: str, name: str, *, expected_revision: int | None = None
    ) -> str:
        """Deletes a record and returns its path.

        Raises:
            MissingRecordError: The record does not exist.
            ConflictError: The record has another revision.
            PlatformUnavailableError: No usable answer.
        """
        stored = self.get(kind, name)
        self._platform.delete(
            stored.key, expected_revision=expected_revision or stored.revision
        )
        return stored.key

    def update(self, kind: str, name: str, changes: dict[str, Any]) -> Written:
        """Changes fields of a record, creating the record if it does not exist.

        The record keeps its schema version.

        Raises:
            RecordError: The record is not valid.
            ConflictError: Another writer changed the record meanwhile.
            PlatformUnavailableError: No usable answer.
        """
        stored = self.find(kind, name)
        if stored is None or stored.value is None:
            value = {"schema_version": 2, "kind": kind, "name": name}
            return self.write(value | changes, expected_revision=0)
        record = unwrap(records.parse(stored.value))
        newest = records.render(record, schema_version=2) | changes
        changed = unwrap(records.parse(newest))
        version = stored.value["schema_version"]
        value = records.render(changed, schema_version=version)
        return self.write(value, expected_revision=stored.revision)


def unwrap(
    parsed: result.Result[records.Record, errors.RecordError],
) -> records.Record:
    """Returns the record of a result or raises its error.

    Raises:
        RecordError: The record is not valid.
    """
    match parsed:
        case result.Ok(record):
            return record
        case result.Err(error):
            raise error
    raise AssertionError("a result is Ok or Err")


def check_kind(kind: str) -> None:
    """Raises an error if a kind does not exist.

    Raises:
        InputError: The kind does not exist.
    """
    if kind not in records.KINDS:
        raise errors.InputError(
            f"kind {kind!r} does not exist",
            remedy=f"use one of {', '.join(records.KINDS)}",
        )


def _overruled(loaded: record_set.RecordSet) -> list[str]:
    """Returns the settings that locked fields override."""
    overruled: set[str] = set()
    for service in loaded.services():
        overruled.update(loaded.effective(service.name, "").ignored)
    return sorted(overruled)
