"""Codec of the packets of callers and backend servers."""

import socket
import struct

from sapphirelift import errors
from sapphirelift.core.l4 import packet

# flags, dst, sport, dport, src, echo, sum, seq, ack, len; little-endian. On
# the wire the addresses are those of the sender's and the receiver's end,
# so that source and destination change places with the direction.
_HEADER = struct.Struct("<BIHHIIIIIH")
HEADER_BYTES = _HEADER.size
MAX_DATA_BYTES = 1200
_FIN = 1
_SYN = 2
_BOUNCED = 8
_RST = 16
_ACK = 128


def decode_from_caller(data: bytes) -> packet.Packet:
    """Decodes a packet that a caller has sent.

    Raises:
        DatagramError: It is too short, too long, or its length is wrong.
    """
    flags, dst, sport, dport, src, seq, ack, size = _fields(data)
    flow = packet.FlowKey(src, sport, dst, dport)
    return _packet(flow, flags, seq, ack, size, data)


def decode_from_backend(data: bytes) -> packet.Packet:
    """Decodes a packet that came out of a backend server.

    A packet that it has sent back is one of the caller still, and is
    returned as the caller sent it.

    Raises:
        DatagramError: It is too short, too long, or its length is wrong.
    """
    flags, dst, sport, dport, src, seq, ack, size = _fields(data)
    if flags & _BOUNCED:
        flow = packet.FlowKey(src, sport, dst, dport)
        data = bytes([flags & ~_BOUNCED]) + data[1:]
    else:
        flow = packet.FlowKey(dst, dport, src, sport)
    return _packet(flow, flags, seq, ack, size, data)


def encode_reset(flow: packet.FlowKey, sequence: int) -> bytes:
    """Returns a packet that ends a flow at its caller."""
    return _HEADER.pack(
        _RST,
        flow.caller_ip,
        flow.route_port,
        flow.caller_port,
        flow.route_ip,
        0,
        0,
        sequence,
        0,
        0,
    )


def ip_number(text: str) -> int:
    """Returns an IPv4 address as the integer that packets hold.

    Raises:
        OSError: It is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(text), "big")


def _fields(data: bytes) -> tuple[int, int, int, int, int, int, int, int]:
    if len(data) < HEADER_BYTES:
        raise errors.DatagramError("truncated")
    flags, dst, sport, dport, src, _, _, seq, ack, size = _HEADER.unpack_from(
        data
    )
    if size > MAX_DATA_BYTES or len(data) != HEADER_BYTES + size:
        raise errors.DatagramError("wrong_length")
    return flags, dst, sport, dport, src, seq, ack, size


def _packet(
    flow: packet.FlowKey,
    flags: int,
    seq: int,
    ack: int,
    size: int,
    data: bytes,
) -> packet.Packet:
    return packet.Packet(
        flow=flow,
        is_syn=bool(flags & _SYN),
        is_ack=bool(flags & _ACK),
        is_fin=bool(flags & _FIN),
        is_reset=bool(flags & _RST),
        is_bounced=bool(flags & _BOUNCED),
        sequence=seq,
        acknowledged=ack,
        payload_bytes=size,
        raw=data,
    )
