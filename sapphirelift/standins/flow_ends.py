"""Stand-ins for the two ends of a flow: callers and backend servers.

They speak the packet format of the platform, with copies of opening packets,
acknowledgements, retransmission, packets sent back and resets. They have no
sockets and no clock, so that tests run them in memory or over datagrams.
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
COPY_AFTER_MS = (200, 600)
OPEN_TIMEOUT_MS = 1400
RETRANSMIT_MS = 200
MAX_RETRANSMIT_MS = 1600
MAX_RETRANSMISSIONS = 8

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
    """Returns a packet as a caller sends it."""
    head = (flow.route_ip, flow.caller_port, flow.route_port, flow.caller_ip)
    return _encode(flags, head, sequence, acknowledged, data)


def from_backend(
    flow: packet.FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Returns a packet as a backend server sends it."""
    head = (flow.caller_ip, flow.route_port, flow.caller_port, flow.route_ip)
    return _encode(flags, head, sequence, acknowledged, data)


def _encode(
    flags: int,
    head: tuple[int, int, int, int],
    sequence: int,
    acknowledged: int,
    data: bytes,
) -> bytes:
    checksum = hash((flags, head, sequence, acknowledged)) & 0xFFFFFFFF
    return (
        _HEADER.pack(
            flags, *head, 0, checksum, sequence, acknowledged, len(data)
        )
        + data
    )


@dataclasses.dataclass
class _HeldFlow:
    """A flow at a backend server."""

    sequence: int
    expected: int
    is_open: bool = False
    has_ended: bool = False


class BackendServer:
    """One start of a backend server.

    Attributes:
        opened: Flows that have opened here.
        stray_packets: Number of packets received for flows that it does not
            have, by flow.
        requests: Requests taken, by flow.
        sheds: Requests refused, because slots and queue were full.
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
        self._held: dict[packet.FlowKey, _HeldFlow] = {}

    def holds(self, flow: packet.FlowKey) -> bool:
        """Tells whether a flow is open here."""
        held = self._held.get(flow)
        return self.is_alive and held is not None and held.is_open

    def receive(self, data: bytes) -> None:
        """Takes a packet from its agent."""
        if not self.is_alive:
            return
        received = packets.decode_from_caller(data)
        held = self._held.get(received.flow)
        if received.is_syn:
            self._on_syn(received, held)
        elif held is None:
            count = self.stray_packets.get(received.flow, 0)
            self.stray_packets[received.flow] = count + 1
            self._send(bytes([data[0] | BOUNCED]) + data[1:])
        elif received.is_reset:
            del self._held[received.flow]
        else:
            self._on_later(received, held)

    def _on_syn(self, received: packet.Packet, held: _HeldFlow | None) -> None:
        if not self.accepts:
            self._send(bytes([received.raw[0] | BOUNCED]) + received.raw[1:])
            return
        expected = (received.sequence + 1) & 0xFFFFFFFF
        if held is None or held.expected != expected:
            held = _HeldFlow(self._rng.getrandbits(32), expected)
            self._held[received.flow] = held
        self._answer(received.flow, held, SYN | ACK)

    def _on_later(self, received: packet.Packet, held: _HeldFlow) -> None:
        if not held.is_open:
            if received.acknowledged != (held.sequence + 1) & 0xFFFFFFFF:
                return
            held.is_open = True
            held.sequence = (held.sequence + 1) & 0xFFFFFFFF
            self.opened.add(received.flow)
        if received.is_fin:
            self._answer(received.flow, held, FIN | ACK)
            del self._held[received.flow]
        elif received.payload_bytes and received.sequence == held.expected:
            held.expected += received.payload_bytes
            count = self.requests.get(received.flow, 0)
            self.requests[received.flow] = count + 1
            self._begin(received.flow)
        elif received.payload_bytes:
            self._answer(received.flow, held, ACK)
        held.sequence = max(held.sequence, received.acknowledged)

    def _begin(self, flow: packet.FlowKey) -> None:
        if self._running < self._slots:
            self._running += 1
            self._call_later(self._work_ms, lambda: self._finish(flow))
        elif len(self._queued) < self._queue:
            self._queued.append(flow)
        else:
            self.sheds += 1
            self._respond(flow, 0, SHED)

    def _finish(self, flow: packet.FlowKey) -> None:
        self._running -= 1
        if self._queued:
            self._begin(self._queued.popleft())
        self._respond(flow, 0)

    def _respond(
        self, flow: packet.FlowKey, attempt: int, data: bytes = b"answer"
    ) -> None:
        held = self._held.get(flow)
        if held is None or not self.is_alive:
            return
        sequence = held.sequence
        self._answer(flow, held, ACK, data=data)

        def repeat() -> None:
            current = self._held.get(flow)
            if current is held and held.sequence == sequence:
                self._respond(flow, attempt + 1, data)

        if attempt < MAX_RETRANSMISSIONS:
            self._call_later(RETRANSMIT_MS << min(attempt, 3), repeat)

    def _answer(
        self,
        flow: packet.FlowKey,
        held: _HeldFlow,
        flags: int,
        *,
        data: bytes = b"",
    ) -> None:
        self._send(
            from_backend(
                flow,
                flags,
                sequence=held.sequence,
                acknowledged=held.expected,
                data=data,
            )
        )


class CallerFlow:
    """One flow of a caller, from its opening packet on.

    Attributes:
        state: ``opening``, ``open``, ``reset``, ``failed`` or ``closed``.
        answers: Answers received.
        waiting: Whether a request has not been answered.
        opens_with_request: Whether a request follows the opening at once.
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
        self._sequence = rng.getrandbits(31)
        self._expected = 0
        self._copies = 0
        self._request = 0

    def open(self) -> None:
        """Sends the opening packet, and copies until it is answered."""
        self._send_syn()
        for after_ms in COPY_AFTER_MS:
            self._call_later(after_ms, self._send_syn)
        self._call_later(OPEN_TIMEOUT_MS, self._give_up)

    def request(self) -> None:
        """Sends a request of one packet, until it is answered."""
        self.waiting = True
        self._request += 1
        self._send_request(self._request, 0)

    def receive(self, data: bytes) -> None:
        """Takes a packet for this flow."""
        received = packets.decode_from_backend(data)
        if received.is_reset:
            if self.state in ("opening", "open"):
                self.state = "reset"
        elif received.is_syn and self.state == "opening":
            self.state = "open"
            self._sequence += 1
            self._expected = (received.sequence + 1) & 0xFFFFFFFF
            self._send_flags(ACK)
            if self.opens_with_request:
                self.request()
        elif received.payload_bytes and self.state == "open":
            if received.sequence == self._expected:
                self._expected += received.payload_bytes
                if self.waiting:
                    self.waiting = False
                    self.answers += not received.raw.endswith(SHED)
                    self._sequence += len(b"request")
            self._send_flags(ACK)

    def close(self) -> None:
        """Ends the flow."""
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
                    acknowledged=self._copies,
                )
            )
            self._copies += 1

    def _give_up(self) -> None:
        if self.state == "opening":
            self.state = "failed"

    def _send_request(self, number: int, attempt: int) -> None:
        if self.state != "open" or not self.waiting or number != self._request:
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
