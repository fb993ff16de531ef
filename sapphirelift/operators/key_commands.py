"""Commands that manage the keys of flow tokens and daemons.

No command prints or logs key bytes or takes them as an argument.
"""

import json
import pathlib
import secrets
import time
from typing import Any
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift.core.records import keyring
from sapphirelift.core.records import records
from sapphirelift.operators import record_store
from sapphirelift.platform import client

KIND, NAME = "keyring", "cluster"
STATUS_KEY = "status/cluster"
# Object with the time of the last rotation. It is not a record, because only
# this tool reads it.
ROTATION_KEY = "rotations/keyring"
KEY_BYTES = 32
# A rotation is in force after at most 7 s and its key signs tokens 7 s later.
# An agent with the maximum of 2,000 flows then moves two flows per second,
# which takes 1,000 s. The remaining time allows for lost MOVE messages and for
# differing clocks of the operators' machines.
MIN_AGE_S = 1200


class _StoredKeyring(NamedTuple):
    """The keyring record as stored, and its parsed keys."""

    revision: int
    value: dict[str, Any]
    keys: keyring.Keys


class KeyCommands:
    """Rotates the keys that authenticate tokens and daemons."""

    def __init__(self, platform: client.ObjectClient) -> None:
        self._platform = platform
        self._store = record_store.RecordStore(platform)

    def show(self) -> Any:
        """Shows the key ids, the current id and the age of the rotation."""
        record = self._find()
        if record is None:
            return {"current_id": 0, "ids": [0], "source": "settings"}
        return self._row(record) | {
            "age_s": self._age_s(record),
            "lagging_daemons": self._count_lagging(record),
        }

    def rotate(self, settings: str = "") -> Any:
        """Adds a new random key to the keyring and makes it the current key.

        The first rotation needs --settings=FILE, the settings file of a
        daemon, because only the settings contain the key in use so far.
        """
        record = self._find()
        if record is None:
            return self._add_key({0: _settings_key(settings)}, 0, None)
        keys = record.keys
        if len(keys.keys) >= records.MAX_KEYS:
            raise errors.KeyChangeError(
                "the keyring already holds two keys",
                remedy="remove the old one with `sapphirelift keys retire`",
            )
        return self._add_key(keys.keys, keys.current_id, record)

    def retire(self, force: bool = False) -> Any:
        """Removes the old key. Flows that still use it are lost.

        The command is refused until the rotation is in force everywhere and
        agents have had time to move all flows to the new key. --force skips
        these checks.
        """
        record = self._find()
        if record is None or len(record.keys.keys) < 2:
            raise errors.KeyChangeError(
                "there is no old key", remedy="see `sapphirelift keys show`"
            )
        if not force:
            self._check_unused(record)
        current_id = record.keys.current_id
        keys_by_id = {current_id: record.keys.keys[current_id]}
        return self._store_keys(keys_by_id, current_id, record)

    def _check_unused(self, record: _StoredKeyring) -> None:
        lagging = self._count_lagging(record)
        if lagging:
            raise errors.KeyChangeError(
                f"the rotation is not known to be in force at {lagging} "
                "daemons",
                remedy="wait until `sapphirelift keys show` counts 0, or lose "
                "their flows with --force",
            )
        age_s = self._age_s(record)
        if age_s is None:
            raise errors.KeyChangeError(
                "it is not known when the key was rotated",
                remedy=f"use --force {MIN_AGE_S} s after the rotation",
            )
        if age_s < MIN_AGE_S:
            raise errors.KeyChangeError(
                f"the rotation is {age_s} s old and flows may use the old key",
                remedy=f"wait {MIN_AGE_S - age_s} s, or lose them with --force",
            )

    def _add_key(
        self,
        keys_by_id: dict[int, bytes],
        current_id: int,
        record: _StoredKeyring | None,
    ) -> dict[str, Any]:
        new_id = (current_id + 1) % (records.MAX_KEY_ID + 1)
        rotated = keys_by_id | {new_id: secrets.token_bytes(KEY_BYTES)}
        row = self._store_keys(rotated, new_id, record)
        rotation = {"revision": row["revision"], "wall_ms": _wall_ms()}
        self._platform.put(ROTATION_KEY, rotation)
        return row

    def _store_keys(
        self,
        keys_by_id: dict[int, bytes],
        current_id: int,
        record: _StoredKeyring | None,
    ) -> dict[str, Any]:
        base: dict[str, Any] = {"schema_version": 2, "kind": KIND, "name": NAME}
        version = 2
        if record is not None:
            version = record.value["schema_version"]
            parsed = record_store.unwrap(records.parse(record.value))
            base = records.render(parsed, schema_version=2)
        base |= {
            "current_id": current_id,
            "keys": {str(i): key.hex() for i, key in keys_by_id.items()},
        }
        changed = record_store.unwrap(records.parse(base))
        written = self._store.write(
            records.render(changed, schema_version=version),
            expected_revision=record.revision if record is not None else 0,
        )
        keys = keyring.Keys(current_id, keys_by_id)
        return self._row(_StoredKeyring(written.revision, base, keys))

    def _row(self, record: _StoredKeyring) -> dict[str, Any]:
        return {
            "current_id": record.keys.current_id,
            "ids": sorted(record.keys.keys),
            "revision": record.revision,
        }

    def _find(self) -> _StoredKeyring | None:
        stored = self._store.find(KIND, NAME)
        if stored is None or stored.value is None:
            return None
        parsed = record_store.unwrap(records.parse(stored.value))
        newest = records.render(parsed, schema_version=2)
        return _StoredKeyring(stored.revision, stored.value, _keys_of(newest))

    def _age_s(self, record: _StoredKeyring) -> int | None:
        """Returns the age of the last rotation, or None if it is unknown."""
        rotation = self._platform.get(ROTATION_KEY)
        if rotation is None or rotation.value is None:
            return None
        if rotation.value.get("revision") != record.revision:
            return None
        return max(0, (_wall_ms() - int(rotation.value["wall_ms"])) // 1000)

    def _count_lagging(self, record: _StoredKeyring) -> int:
        """Counts the daemons not known to have the record in force."""
        stored = self._platform.get(STATUS_KEY)
        if stored is None or stored.value is None:
            return 1
        observed = stored.value["observed_revisions"].values()
        behind = sum(revision < record.revision for revision in observed)
        unseen = stored.value["members_not_observed"]
        return behind + unseen if observed else max(1, unseen)


def _keys_of(value: dict[str, Any]) -> keyring.Keys:
    fields = ("schema_version", "kind", "name", "current_id", "keys")
    return keyring.parse(
        {name: value[name] for name in fields if name in value}
    )


def _settings_key(path: str) -> bytes:
    if not path:
        raise errors.InputError(
            "there is no keyring record yet",
            remedy="name the settings of a daemon with --settings=FILE",
        )
    try:
        value = json.loads(pathlib.Path(path).read_text())
        key = bytes.fromhex(value["cluster_key_hex"])
    except (OSError, ValueError, KeyError, TypeError):
        # The cause is omitted, because its message could contain the key.
        raise errors.InputError(
            f"{path} holds no `cluster_key_hex`",
            remedy="name the settings of a daemon with --settings=FILE",
        ) from None
    return key


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
