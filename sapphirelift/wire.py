"""Encoding and authentication of datagrams."""

import socket
import struct
from typing import Any
from typing import NamedTuple

import msgspec

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core import keys
from sapphirelift.core.flows import token

MAGIC = 0x5A
VERSION = 1
MAX_DATAGRAM_BYTES = 4096
# A peer datagram may contain a caller datagram of the maximum size, along with
# a service name and several addresses.
MAX_PEER_BYTES = MAX_DATAGRAM_BYTES + 512
FLOW_KEY_BYTES = 16

_CALLER_HEADER = struct.Struct(f"!BBBB{FLOW_KEY_BYTES}s{token.TOKEN_BYTES}s")
_MAC_BYTES = 8
_PEER_HEADER = struct.Struct(f"!BBBB{_MAC_BYTES}s")
PEER_HEADER_BYTES = _PEER_HEADER.size
_FORWARD = struct.Struct("!4sH")

_Kind = messages.Kind
_BODIES: dict[int, type] = {
    _Kind.OPEN: messages.Open,
    _Kind.ACCEPT: messages.Accept,
    _Kind.REFUSE: messages.Refuse,
    _Kind.REQUEST: messages.Request,
    _Kind.REQUEST_ACK: messages.FragmentAck,
    _Kind.CANCEL: messages.Cancel,
    _Kind.RESPONSE: messages.Response,
    _Kind.RESPONSE_ACK: messages.FragmentAck,
    _Kind.PING: messages.Ping,
    _Kind.PONG: messages.Pong,
    _Kind.CLOSE: messages.Close,
    _Kind.RESET: messages.Reset,
    _Kind.MOVE: messages.Move,
    _Kind.OPEN_FORWARD: messages.OpenForward,
    _Kind.HEARTBEAT: messages.Heartbeat,
    _Kind.HEARTBEAT_ACK: messages.HeartbeatAck,
    _Kind.LOAD: messages.Load,
    _Kind.RUN: messages.Run,
    _Kind.RUN_ACK: messages.RunAck,
    _Kind.RUN_RESULT: messages.RunResult,
    _Kind.RUN_RESULT_ACK: messages.RunAck,
    _Kind.RUN_CANCEL: messages.RunCancel,
    _Kind.PLAIN: messages.Plain,
    _Kind.PLAIN_ASK: messages.PlainAsk,
    _Kind.PLAIN_OWNED: messages.PlainOwned,
    _Kind.PLAIN_RETURN: messages.PlainReturn,
    _Kind.PLAIN_REPLY: messages.PlainReply,
}
_DECODERS: dict[int, msgspec.msgpack.Decoder[Any]] = {
    int(kind): msgspec.msgpack.Decoder(body) for kind, body in _BODIES.items()
}
_ENCODER = msgspec.msgpack.Encoder()


class CallerDatagram(NamedTuple):
    """A decoded datagram from or to a caller."""

    kind: int
    flow_key: bytes
    token: bytes
    body: Any


class CallerHeader(NamedTuple):
    """Header of a caller datagram, read without decoding the body."""

    kind: int
    flow_key: bytes
    token: bytes


def encode_caller(
    kind: int,
    flow_key: bytes,
    body: tuple[Any, ...],
    *,
    flow_token: bytes = token.NO_TOKEN,
) -> bytes:
    """Encodes a caller datagram."""
    header = _CALLER_HEADER.pack(MAGIC, VERSION, kind, 0, flow_key, flow_token)
    return header + _ENCODER.encode(body)


def read_caller_header(data: bytes) -> CallerHeader:
    """Reads the header of a caller datagram.

    Raises:
        DatagramError: The datagram is truncated or oversized, or has another
            magic number or version.
    """
    if len(data) < _CALLER_HEADER.size:
        raise errors.DatagramError("truncated")
    if len(data) > MAX_DATAGRAM_BYTES:
        raise errors.DatagramError("oversized")
    magic, version, kind, _, flow_key, flow_token = _CALLER_HEADER.unpack_from(
        data
    )
    if magic != MAGIC or version != VERSION:
        raise errors.DatagramError("foreign")
    return CallerHeader(kind, flow_key, flow_token)


def decode_caller(data: bytes) -> CallerDatagram:
    """Decodes a caller datagram.

    Raises:
        DatagramError: The datagram is malformed.
    """
    header = read_caller_header(data)
    if header.kind >= _Kind.FORWARD:
        raise errors.DatagramError("malformed")
    body = decode_body(header.kind, data[_CALLER_HEADER.size :])
    return CallerDatagram(header.kind, header.flow_key, header.token, body)


def decode_body(kind: int, data: bytes) -> Any:
    """Decodes a body by its kind.

    Raises:
        DatagramError: The kind is unknown or the body does not match it.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise errors.DatagramError("unknown_kind")
    try:
        body = decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.DatagramError("malformed") from error
    match body:
        case messages.OpenForward(caller, balancer, _, candidates):
            _check_addresses(caller, balancer, *candidates)
        case (
            messages.Heartbeat(ip=ip, port=port)
            | messages.Load(ip=ip, port=port)
        ):
            _check_addresses(messages.Address(ip, port))
        case messages.Plain():
            _check_addresses(
                body.caller, body.balancer, *body.candidates, *body.previous
            )
        case messages.PlainOwned(owner=owner):
            _check_addresses(owner)
        case messages.PlainReply(caller=caller):
            _check_addresses(caller)
    return body


def _check_addresses(*addresses: messages.Address) -> None:
    """Rejects an address that a socket would resolve by name or refuse."""
    for ip, port in addresses:
        try:
            socket.inet_pton(socket.AF_INET, ip)
        except (OSError, ValueError) as error:
            raise errors.DatagramError("malformed") from error
        if not 0 < port < 1 << 16:
            raise errors.DatagramError("malformed")


def encode_body(body: tuple[Any, ...]) -> bytes:
    """Encodes a body."""
    return _ENCODER.encode(body)


def encode_peer(kind: int, body: bytes, ring: keys.KeyRing) -> bytes:
    """Encodes and signs a datagram between daemons."""
    head = bytes((MAGIC, VERSION, kind, ring.current_id & 0xFF))
    return head + ring.sign(head + body, size_bytes=_MAC_BYTES) + body


def decode_peer(data: bytes, ring: keys.KeyRing) -> tuple[int, bytes]:
    """Verifies a peer datagram and returns its kind and body.

    Raises:
        DatagramError: The datagram has an invalid size, magic number or
            version, an unknown key or a wrong signature.
    """
    if len(data) < _PEER_HEADER.size:
        raise errors.DatagramError("truncated")
    if len(data) > MAX_PEER_BYTES:
        raise errors.DatagramError("oversized")
    magic, version, kind, key_id, mac = _PEER_HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        raise errors.DatagramError("foreign")
    body = data[_PEER_HEADER.size :]
    if key_id not in ring.keys:
        raise errors.DatagramError("unknown_key")
    if not ring.verify(key_id, data[:4] + body, mac):
        raise errors.DatagramError("forged")
    return kind, body


def encode_forward(caller: tuple[str, int], datagram: bytes) -> bytes:
    """Encodes the body of FORWARD and RELAY: a caller and its datagram."""
    return _FORWARD.pack(socket.inet_aton(caller[0]), caller[1]) + datagram


def decode_forward(body: bytes) -> tuple[messages.Address, bytes]:
    """Decodes the body of FORWARD and RELAY.

    Raises:
        DatagramError: The body is truncated.
    """
    if len(body) < _FORWARD.size:
        raise errors.DatagramError("truncated")
    ip, port = _FORWARD.unpack_from(body)
    address = messages.Address(socket.inet_ntoa(ip), port)
    return address, body[_FORWARD.size :]
