"""Flow tokens, which name a flow's owner and are signed by a keyed hash."""

import socket
import struct
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift.core import keys

_FIELDS = struct.Struct("!4sHQQIIH")
_MAC_BYTES = 16
TOKEN_BYTES = _FIELDS.size + _MAC_BYTES
NO_TOKEN = bytes(TOKEN_BYTES)


class Token(NamedTuple):
    """Owner of a flow.

    Attributes:
        owner_ip: IPv4 address of the owner's peer socket.
        owner_port: UDP port of the owner's peer socket.
        incarnation: Incarnation of the owner that accepted the flow.
        service_id: Id of the service, see ``keys.service_id``.
        data_centre_id: Id of the owner's data centre.
        serial: Number of the flow within the incarnation. It distinguishes a
            flow from an earlier one with the same flow key.
        key_id: Key that signed the token.
    """

    owner_ip: str
    owner_port: int
    incarnation: int
    service_id: int
    data_centre_id: int
    serial: int
    key_id: int


def seal(token: Token, flow_key: bytes, ring: keys.KeyRing) -> bytes:
    """Encodes a token and signs it, with its flow key, by the current key.

    The token's ``key_id`` is replaced by that of the current key.
    """
    fields = _FIELDS.pack(
        socket.inet_aton(token.owner_ip),
        token.owner_port,
        token.incarnation,
        token.service_id,
        token.data_centre_id,
        token.serial,
        ring.current_id,
    )
    return fields + ring.sign(fields + flow_key, size_bytes=_MAC_BYTES)


def unseal(data: bytes, flow_key: bytes, ring: keys.KeyRing) -> Token:
    """Decodes and verifies a token.

    Raises:
        TokenError: The token is of the wrong size, signed with an unknown
            key or forged.
    """
    if len(data) != TOKEN_BYTES:
        raise errors.TokenError("token_size")
    fields = _FIELDS.unpack_from(data)
    mac = data[_FIELDS.size :]
    if not ring.verify(fields[6], data[: _FIELDS.size] + flow_key, mac):
        raise errors.TokenError("token_forged")
    return Token(socket.inet_ntoa(fields[0]), *fields[1:])
