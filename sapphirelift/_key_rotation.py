"""Applies keyring records to the key ring of the process."""

import eliot
import eventlet

from sapphirelift import errors
from sapphirelift.core import keys
from sapphirelift.core.records import keyring
from sapphirelift.core.records import replica


class KeyRotation:
    """Updates the key ring when the keyring record changes.

    A new key verifies at once but signs only after a delay, when all processes
    have it.

    Attributes:
        refused: Number of keyring records that were not valid.
    """

    def __init__(self, ring: keys.KeyRing) -> None:
        self.refused = 0
        self._ring = ring
        self._revision = 0

    def apply(self, change: replica.StoredObject) -> None:
        """Applies a record; a deleted or invalid one changes nothing."""
        if change.value is None:
            return
        try:
            new_keys = keyring.parse(change.value)
        except errors.RecordError as error:
            self.refused += 1
            eliot.log_message("keyring_refused", reason=str(error))
            return
        self._revision = change.revision
        self._ring.replace(new_keys.keys)
        eliot.log_message("keyring_in_force", ids=sorted(new_keys.keys))
        eventlet.spawn_after(
            keyring.SWITCH_AFTER_MS / 1000,
            self._switch_signing_key,
            change.revision,
            new_keys.current_id,
        )

    def _switch_signing_key(self, revision: int, key_id: int) -> None:
        if revision == self._revision:
            self._ring.set_current_key(key_id)
            eliot.log_message("signing_key_changed", key_id=key_id)
