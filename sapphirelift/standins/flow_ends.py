"""Simulated endpoints of a flow: the caller and the backend server.

They implement the platform's packet protocol: repeated opening packets,
acknowledgements, retransmission, bounced packets and resets. They use neither
sockets nor a clock, so that tests can run them in memory or over UDP.
"""

import collections
import dataclasses
import random
import struct
from collections.abc import Callable

from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets

_HEADER = struct.Struct("<BIHHIIIIIH")
FIN, SYN, BOUNCED, RST, ACK = 1, 2, 8, 16, 128
# Times after the first opening packet at which it is retransmitted.
OPEN_RETRANSMIT_AFTER_MS = (200, 600)
OPEN_TIMEOUT_MS = 1400
RETRANSMIT_MS = 200
MAX_RETRANSMIT_MS = 1600
MAX_RETRANSMISSIONS = 8

# Response to a request that is shed.
SHED = b"shed"

Send = Callable[[bytes], None]


def from_caller(
    flow: packet.FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Encodes a packet from the caller of a flow."""
    addresses = (
        flow.route_ip,
        flow.caller_port,
        flow.route_port,
        flow.caller_ip,
    )
    return _encode(flags, addresses, sequence, acknowledged, data)


def from_backend(
    flow: packet.FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Encodes a packet from the backend server of a flow."""
    addresses = (
        flow.caller_ip,
        flow.route_port,
        flow.caller_port,
        flow.route_ip,
    )
    return _encode(flags, addresses, sequence, acknowledged, data)


def _encode(
    flags: int,
    addresses: tuple[int, int, int, int],
    sequence: int,
    acknowledged: int,
    data: bytes,
) -> bytes:
    checksum = hash((flags, addresses, sequence, acknowledged)) & 0xFFFFFFFF
    return (
        _HEADER.pack(
            flags, *addresses, 0, checksum, sequence, acknowledged, len(data)
        )
        + data
    )


def _advance(sequence: int, by_bytes: int) -> int:
    """Returns a sequence number that many bytes later, modulo 2**32."""
    return (sequence + by_bytes) & 0xFFFFFFFF


def _is_at_or_after(sequence: int, other: int) -> bool:
    """Compares sequence numbers that are less than 2**31 bytes apart."""
    return (sequence - other) & 0xFFFFFFFF < 1 << 31


@dataclasses.dataclass
class _FlowEntry:
    """Flow table entry of a backend server.

    Attributes:
        sequence: First sequence number that the caller has not acknowledged.
        expected: Next sequence number expected from the caller.
        initial_sequence: Its own first sequence number.
        caller_sequence: That of the caller's opening packet.
        is_open: Whether the handshake is complete.
    """

    sequence: int
    expected: int
    initial_sequence: int
    caller_sequence: int
    is_open: bool = False
    has_ended: bool = False


class BackendServer:
    """Process of a backend server; each start creates a new object.

    Attributes:
        is_alive: Whether it handles packets.
        opened: Flows that have completed the handshake.
        stray_packets: Number of packets received for flows that it does not
            have, by flow.
        requests: Number of requests received, by flow.
        accepts: Whether it accepts new flows; if not, it bounces their
            opening packets.
        sheds: Number of requests shed because all slots were busy and the
            queue was full.
    """

    def __init__(
        self,
        rng: random.Random,
        send: Send,
        *,
        work_ms: int = 20,
        slots: int = 1000,
        queue: int = 8,
        call_later: Callable[[int, Callable[[], None]], None],
    ) -> None:
        self.is_alive = True
        self.opened: set[packet.FlowKey] = set()
        self.stray_packets: dict[packet.FlowKey, int] = {}
        self.requests: dict[packet.FlowKey, int] = {}
        self.accepts = True
        self._rng = rng
        self._send = send
        self.sheds = 0
        self._work_ms = work_ms
        self._slots = slots
        self._queue = queue
        self._running = 0
        self._queued: collections.deque[packet.FlowKey] = collections.deque()
        self._call_later = call_later
        self._flows: dict[packet.FlowKey, _FlowEntry] = {}
        self._ended: set[packet.FlowKey] = set()

    def holds(self, flow: packet.FlowKey) -> bool:
        """Returns whether this server is alive and has a flow open."""
        entry = self._flows.get(flow)
        return self.is_alive and entry is not None and entry.is_open

    def receive(self, data: bytes) -> None:
        """Handles a packet from the agent."""
        if not self.is_alive:
            return
        received = packets.decode_from_caller(data)
        entry = self._flows.get(received.flow)
        if received.is_syn:
            self._on_syn(received, entry)
        elif received.flow in self._ended:
            self._on_late_packet(received)
        elif entry is None:
            count = self.stray_packets.get(received.flow, 0)
            self.stray_packets[received.flow] = count + 1
            self._send(bytes([data[0] | BOUNCED]) + data[1:])
        elif received.is_reset:
            del self._flows[received.flow]
        else:
            self._on_packet(received, entry)

    def _on_late_packet(self, received: packet.Packet) -> None:
        """Answers a packet of a flow that has ended here."""
        if received.is_fin:
            flags = ACK
        elif received.payload_bytes:
            flags = RST
        else:
            return
        self._send(
            from_backend(received.flow, flags, sequence=received.acknowledged)
        )

    def _on_syn(
        self, received: packet.Packet, entry: _FlowEntry | None
    ) -> None:
        if not self.accepts:
            self._send(bytes([received.raw[0] | BOUNCED]) + received.raw[1:])
            return
        if entry is None or entry.caller_sequence != received.sequence:
            sequence = self._rng.getrandbits(32)
            entry = _FlowEntry(
                sequence,
                _advance(received.sequence, 1),
                sequence,
                received.sequence,
            )
            self._flows[received.flow] = entry
            self._ended.discard(received.flow)
        self._send(
            from_backend(
                received.flow,
                SYN | ACK,
                sequence=entry.initial_sequence,
                acknowledged=entry.expected,
            )
        )

    def _on_packet(self, received: packet.Packet, entry: _FlowEntry) -> None:
        if not entry.is_open:
            if received.acknowledged != _advance(entry.sequence, 1):
                return
            entry.is_open = True
            entry.sequence = _advance(entry.sequence, 1)
            self.opened.add(received.flow)
        if received.is_fin:
            self._send_packet(received.flow, entry, FIN | ACK)
            del self._flows[received.flow]
            self._ended.add(received.flow)
        elif received.payload_bytes and received.sequence == entry.expected:
            entry.expected = _advance(entry.expected, received.payload_bytes)
            count = self.requests.get(received.flow, 0)
            self.requests[received.flow] = count + 1
            self._start_request(received.flow)
        elif received.payload_bytes:
            self._send_packet(received.flow, entry, ACK)
        if _is_at_or_after(received.acknowledged, entry.sequence):
            entry.sequence = received.acknowledged

    def _start_request(self, flow: packet.FlowKey) -> None:
        if self._running < self._slots:
            self._running += 1
            self._call_later(self._work_ms, lambda: self._finish_request(flow))
        elif len(self._queued) < self._queue:
            self._queued.append(flow)
        else:
            self.sheds += 1
            self._send_response(flow, 0, SHED)

    def _finish_request(self, flow: packet.FlowKey) -> None:
        self._running -= 1
        if self._queued:
            self._start_request(self._queued.popleft())
        self._send_response(flow, 0)

    def _send_response(
        self, flow: packet.FlowKey, attempt: int, data: bytes = b"answer"
    ) -> None:
        entry = self._flows.get(flow)
        if entry is None or not self.is_alive:
            return
        sequence = entry.sequence
        self._send_packet(flow, entry, ACK, data=data)

        def retransmit() -> None:
            current = self._flows.get(flow)
            if current is entry and entry.sequence == sequence:
                self._send_response(flow, attempt + 1, data)

        if attempt < MAX_RETRANSMISSIONS:
            self._call_later(RETRANSMIT_MS << min(attempt, 3), retransmit)

    def _send_packet(
        self,
        flow: packet.FlowKey,
        entry: _FlowEntry,
        flags: int,
        *,
        data: bytes = b"",
    ) -> None:
        self._send(
            from_backend(
                flow,
                flags,
                sequence=entry.sequence,
                acknowledged=entry.expected,
                data=data,
            )
        )


class CallerFlow:
    """The caller's end of a flow.

    Attributes:
        flow: The flow.
        state: ``opening``, ``open``, ``reset``, ``failed`` or ``closed``.
        answers: Number of responses received, without those that shed the
            request.
        waiting: Whether a request is outstanding.
        opens_with_request: Whether to send a request as soon as the flow is
            open.
    """

    def __init__(
        self,
        flow: packet.FlowKey,
        rng: random.Random,
        send: Send,
        *,
        call_later: Callable[[int, Callable[[], None]], None],
    ) -> None:
        self.flow = flow
        self.state = "opening"
        self.answers = 0
        self.waiting = False
        self.opens_with_request = False
        self._send = send
        self._call_later = call_later
        self._sequence = rng.getrandbits(32)
        self._expected = 0
        self._opens_sent = 0
        self._request_number = 0

    def open(self) -> None:
        """Sends the opening packet and retransmits it until it is answered."""
        self._send_syn()
        for after_ms in OPEN_RETRANSMIT_AFTER_MS:
            self._call_later(after_ms, self._send_syn)
        self._call_later(OPEN_TIMEOUT_MS, self._on_open_timeout)

    def request(self) -> None:
        """Sends a request of one packet and retransmits it until answered."""
        self.waiting = True
        self._request_number += 1
        self._send_request(self._request_number, 0)

    def receive(self, data: bytes) -> None:
        """Handles a packet for this flow."""
        received = packets.decode_from_backend(data)
        if received.is_reset:
            if self.state in ("opening", "open"):
                self.state = "reset"
        elif received.is_syn and self.state == "opening":
            self.state = "open"
            self._sequence = _advance(self._sequence, 1)
            self._expected = _advance(received.sequence, 1)
            self._send_flags(ACK)
            if self.opens_with_request:
                self.request()
        elif received.payload_bytes and self.state == "open":
            if received.sequence == self._expected:
                self._expected = _advance(
                    self._expected, received.payload_bytes
                )
                if self.waiting:
                    self.waiting = False
                    self.answers += not received.raw.endswith(SHED)
                    self._sequence = _advance(self._sequence, len(b"request"))
            self._send_flags(ACK)

    def close(self) -> None:
        """Closes an open flow."""
        if self.state == "open":
            self._send_flags(FIN | ACK)
            self.state = "closed"

    def _send_syn(self) -> None:
        if self.state == "opening":
            self._send(
                from_caller(
                    self.flow,
                    SYN,
                    sequence=self._sequence,
                    acknowledged=self._opens_sent,
                )
            )
            self._opens_sent += 1

    def _on_open_timeout(self) -> None:
        if self.state == "opening":
            self.state = "failed"

    def _send_request(self, number: int, attempt: int) -> None:
        if (
            self.state != "open"
            or not self.waiting
            or number != self._request_number
        ):
            return
        self._send_flags(ACK, data=b"request")
        delay_ms = min(RETRANSMIT_MS << attempt, MAX_RETRANSMIT_MS)
        self._call_later(
            delay_ms, lambda: self._send_request(number, attempt + 1)
        )

    def _send_flags(self, flags: int, *, data: bytes = b"") -> None:
        self._send(
            from_caller(
                self.flow,
                flags,
                sequence=self._sequence,
                acknowledged=self._expected,
                data=data,
            )
        )
