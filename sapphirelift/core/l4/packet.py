"""Flow keys and decoded packets."""

from typing import NamedTuple

# Callers stop retransmitting an opening packet after 1.4 s.
OPEN_LIFETIME_MS = 1500
# Sequence numbers wrap around after this one.
MAX_SEQUENCE = (1 << 32) - 1


class FlowKey(NamedTuple):
    """Identity of a flow: the addresses of its two endpoints.

    Attributes:
        caller_ip: IPv4 address of the caller, as an integer.
        caller_port: Port of the caller.
        route_ip: IPv4 address to which the caller opened the flow, as an
            integer.
        route_port: Port to which the caller opened the flow.
    """

    caller_ip: int
    caller_port: int
    route_ip: int
    route_port: int

    def __str__(self) -> str:
        """Returns the flow as it is written in logs.

        >>> str(FlowKey(0x64400007, 40001, 0xC6120001, 443))
        '100.64.0.7:40001>198.18.0.1:443'
        """
        caller, route = ip_text(self.caller_ip), ip_text(self.route_ip)
        return f"{caller}:{self.caller_port}>{route}:{self.route_port}"


class Packet(NamedTuple):
    """One packet of a flow.

    Attributes:
        flow: The flow, the same for both directions.
        is_syn: Whether it opens the flow or, with ``is_ack``, accepts it.
        is_ack: Whether ``acknowledged`` is valid.
        is_fin: Whether the sender has no more data.
        is_reset: Whether it ends the flow immediately.
        is_bounced: Whether a backend server has returned it unprocessed.
        sequence: Sequence number of its first byte.
        acknowledged: Next sequence number expected from the peer; of an
            opening packet, the number of copies sent before.
        payload_bytes: Length of the payload.
        raw: The datagram.
    """

    flow: FlowKey
    is_syn: bool
    is_ack: bool
    is_fin: bool
    is_reset: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    payload_bytes: int
    raw: bytes

    @property
    def end(self) -> int:
        """Sequence number after its last byte."""
        return (self.sequence + self.payload_bytes) & MAX_SEQUENCE

    @property
    def only_acknowledges(self) -> bool:
        """Whether a copy of it has no effect on the flow it belongs to."""
        return (
            self.is_ack
            and not self.payload_bytes
            and not (self.is_syn or self.is_fin or self.is_reset)
        )

    @property
    def is_first_opening(self) -> bool:
        """Whether it opens a flow, and no copy has been sent before it."""
        return self.is_syn and not (self.is_ack or self.acknowledged)

    def repeats_opening(self, sequence: int | None, age_ms: int) -> bool:
        """Returns whether this opening packet is a copy of an earlier one.

        Callers use their ports again, so that a later one opens another flow.

        Args:
            sequence: Sequence number of the earlier one, None if unknown.
            age_ms: Time since the earlier one was received.
        """
        return self.sequence == sequence and age_ms <= OPEN_LIFETIME_MS


def is_after(sequence: int, other: int) -> bool:
    """Returns whether a sequence number follows one near it, modulo 2**32.

    >>> is_after(3, MAX_SEQUENCE)
    True
    """
    return 0 < (sequence - other) & MAX_SEQUENCE < 1 << 31


def ip_text(ip: int) -> str:
    """Returns an IPv4 address in dotted decimal notation.

    >>> ip_text(0x0A010002)
    '10.1.0.2'
    """
    return f"{ip >> 24}.{ip >> 16 & 255}.{ip >> 8 & 255}.{ip & 255}"
