"""Codec of the packets exchanged with callers and backend servers."""

import socket
import struct

from sapphirelift import errors
from sapphirelift.core.l4 import packet

# flags, dst, sport, dport, src, echo, sum, seq, ack, len; little-endian.
# Addresses and ports are those of the packet's sender and receiver, so that
# source and destination swap with the direction.
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
        DatagramError: The packet is too short or too long, or its length
            field is wrong.
    """
    flags, dst, sport, dport, src, seq, ack, size = _unpack_header(data)
    flow = packet.FlowKey(src, sport, dst, dport)
    return _new_packet(flow, flags, seq, ack, size, data)


def decode_from_backend(data: bytes) -> packet.Packet:
    """Decodes a packet that a backend server has sent.

    A packet with the bounce flag is a caller's packet that the backend
    server has sent back; it is returned as the caller sent it.

    Raises:
        DatagramError: The packet is too short or too long, or its length
            field is wrong.
    """
    flags, dst, sport, dport, src, seq, ack, size = _unpack_header(data)
    if flags & _BOUNCED:
        flow = packet.FlowKey(src, sport, dst, dport)
        data = bytes([flags & ~_BOUNCED]) + data[1:]
    else:
        flow = packet.FlowKey(dst, dport, src, sport)
    return _new_packet(flow, flags, seq, ack, size, data)


def encode_reset(flow: packet.FlowKey, sequence: int) -> bytes:
    """Encodes a packet that resets a flow at its caller."""
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
    """Converts an IPv4 address to the integer used in packets.

    Raises:
        OSError: The text is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(text), "big")


def _unpack_header(
    data: bytes,
) -> tuple[int, int, int, int, int, int, int, int]:
    if len(data) < HEADER_BYTES:
        raise errors.DatagramError("truncated")
    flags, dst, sport, dport, src, _, _, seq, ack, size = _HEADER.unpack_from(
        data
    )
    if size > MAX_DATA_BYTES or len(data) != HEADER_BYTES + size:
        raise errors.DatagramError("wrong_length")
    return flags, dst, sport, dport, src, seq, ack, size


def _new_packet(
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
