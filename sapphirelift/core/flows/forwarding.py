"""Fast path of the balancer: forwarding datagrams of established flows.

The result is the same as calling ``token.unseal`` and then
``wire.encode_peer``. Both are inlined here because the function calls and
tuples of the separate steps cost more than the two hashes.
"""

import hashlib
import hmac
import socket
import struct

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import keys

# Caller header, including the fields of the token; see section 10 of the design
# page.
_HEADER = struct.Struct("!BBBB16s4sHQQIIH16s")
_TOKEN_START = 4 + wire.FLOW_KEY_BYTES
_TOKEN_END = _HEADER.size - 16
_FORWARD = struct.Struct("!4sH")
_TOKEN_MAC_BYTES = 16
_PEER_MAC_BYTES = 8

Packet = tuple[bytes, tuple[str, int]]


class Forwarder:
    """Encapsulates datagrams of established flows for their owners.

    Attributes:
        ring_version: Version of the key ring that the hashers were made from.
    """

    def __init__(self, ring: keys.KeyRing) -> None:
        self.ring_version = ring.version
        # Copying a prepared hasher saves hashing the key block each time.
        self._token_hashers = {
            key_id: hashlib.blake2b(key=key, digest_size=_TOKEN_MAC_BYTES)
            for key_id, key in ring.keys.items()
        }
        self._peer_hasher = hashlib.blake2b(
            key=ring.keys[ring.current_id], digest_size=_PEER_MAC_BYTES
        )
        self._header = bytes(
            (
                wire.MAGIC,
                wire.VERSION,
                messages.Kind.FORWARD,
                ring.current_id & 0xFF,
            )
        )

    def forward(
        self, data: bytes, caller: tuple[str, int], withdrawn_ids: set[int]
    ) -> Packet | None:
        """Verifies a caller's datagram and encapsulates it for its owner.

        Returns:
            The datagram for the owner and the owner's address, or None unless
            it is a valid datagram of an established flow whose data centre is
            not withdrawn.
        """
        if not _HEADER.size <= len(data) <= wire.MAX_DATAGRAM_BYTES:
            return None
        (
            magic,
            version,
            kind,
            _,
            flow_key,
            owner_ip,
            owner_port,
            _,
            _,
            data_centre_id,
            _,
            key_id,
            mac,
        ) = _HEADER.unpack_from(data)
        hasher = self._token_hashers.get(key_id)
        if (
            magic != wire.MAGIC
            or version != wire.VERSION
            or kind == messages.Kind.OPEN
            or hasher is None
            or data_centre_id in withdrawn_ids
        ):
            return None
        hasher = hasher.copy()
        hasher.update(data[_TOKEN_START:_TOKEN_END] + flow_key)
        if not hmac.compare_digest(hasher.digest(), mac):
            return None
        body = _FORWARD.pack(socket.inet_aton(caller[0]), caller[1]) + data
        hasher = self._peer_hasher.copy()
        hasher.update(self._header)
        hasher.update(body)
        return (
            self._header + hasher.digest() + body,
            (socket.inet_ntoa(owner_ip), owner_port),
        )
