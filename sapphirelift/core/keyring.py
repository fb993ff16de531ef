"""The keyring record: the keys that authenticate tokens and datagrams."""

from typing import Any
from typing import NamedTuple

from sapphirelift import errors

KEY = "records/keyring/cluster"
# The key id has one byte in the header of peer datagrams.
MAX_KEY_ID = 255
MAX_KEYS = 2
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # limit of BLAKE2b
# A process that has a new ring verifies with it at once but signs with its
# new key only after this time, when all processes have the ring (P10).
SWITCH_AFTER_MS = 7000
_FIELDS = {"schema_version", "kind", "name", "current_id", "keys"}


class Keys(NamedTuple):
    """Contents of a keyring record."""

    current_id: int
    keys: dict[int, bytes]


def parse(value: dict[str, Any]) -> Keys:
    """Checks a keyring record.

    >>> record = {"current_id": 1, "keys": {"0": "5a" * 16, "1": "a5" * 16}}
    >>> sorted(parse(record).keys)
    [0, 1]

    Raises:
        RecordError: The record is not valid.
    """
    unknown = sorted(value.keys() - _FIELDS)
    if unknown:
        raise _invalid(f"unknown field {unknown[0]}")
    try:
        keys = {int(i): bytes.fromhex(k) for i, k in value["keys"].items()}
        current_id = int(value["current_id"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _invalid("a field is missing or malformed") from error
    if not 1 <= len(keys) <= MAX_KEYS or current_id not in keys:
        raise _invalid("one or two keys, one of them current, are needed")
    if any(not 0 <= i <= MAX_KEY_ID for i in keys):
        raise _invalid(f"a key id is not within 0 to {MAX_KEY_ID}")
    if any(not MIN_KEY_BYTES <= len(k) <= MAX_KEY_BYTES for k in keys.values()):
        raise _invalid("a key is not 16 to 64 bytes long")
    return Keys(current_id, keys)


def _invalid(what: str) -> errors.RecordError:
    return errors.RecordError(
        f"keyring record: {what}",
        remedy='give "current_id" and "keys" by id as hexadecimal digits',
    )
