"""The keyring record: the keys that authenticate tokens and datagrams."""

from typing import Any
from typing import NamedTuple

import result

from sapphirelift import errors
from sapphirelift.core.records import records

KEY = records.key_of("keyring", "cluster")
# A process accepts the keys of a new keyring at once, but signs with the new
# key only after this time, when all processes have the keyring (promise P10).
SWITCH_AFTER_MS = 7000


class Keys(NamedTuple):
    """Decoded contents of a keyring record."""

    current_id: int
    keys: dict[int, bytes]


def from_record(record: records.Keyring) -> Keys:
    """Decodes the keys of a valid keyring record."""
    return Keys(
        record.current_id,
        {int(i): bytes.fromhex(key) for i, key in record.keys.items()},
    )


def parse(value: Any) -> Keys:
    """Parses a keyring record with the general record parser.

    >>> record = {"schema_version": 2, "kind": "keyring", "name": "cluster"}
    >>> record |= {"current_id": 1, "keys": {"0": "5a" * 16, "1": "a5" * 16}}
    >>> sorted(parse(record).keys)
    [0, 1]

    Raises:
        RecordError: The record is invalid or of another kind.
    """
    match records.parse(value):
        case result.Ok(records.Keyring() as record):
            return from_record(record)
        case result.Err(error):
            raise error
    raise errors.RecordError(
        "record: `kind` is not keyring",
        remedy="correct it and apply it again",
    )
