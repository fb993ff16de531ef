"""UDP socket owned by one task."""

from collections.abc import Callable

import eventlet
import eventlet.greenthread
from eventlet import hubs
from eventlet.green import socket

from sapphirelift import messages
from sapphirelift import tasks
from sapphirelift import wire

_BUFFER_BYTES = 4 << 20
_KIND_OFFSET = 2

# Datagrams handled before other tasks get their turn.
BATCH_DATAGRAMS = 64

Handler = Callable[[bytes, tuple[str, int]], None]


class Endpoint:
    """A bound UDP socket whose task passes each datagram to a handler.

    Attributes:
        bytes_sent: Bytes sent, all kinds together.
        sent_bytes_by_kind: Bytes sent, indexed by datagram kind.
        received_by_kind: Datagrams received, indexed by datagram kind.
    """

    def __init__(self, address: messages.Address, handler: Handler) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind(address)
        # The plain socket below the green one: a call that need not wait
        # takes half the time.
        self._raw = self._socket.fd
        self.address = messages.Address(*self._socket.getsockname())
        self._handler = handler
        self._task: eventlet.greenthread.GreenThread | None = None
        self.bytes_sent = 0
        self.datagrams_received = 0
        self.sent_bytes_by_kind = [0] * 256
        self.received_by_kind = [0] * 256

    def start(self) -> None:
        """Starts to receive."""
        self._task = tasks.spawn("endpoint", self._receive)

    def stop(self) -> None:
        """Stops to receive and closes the socket."""
        if self._task is not None:
            self._task.kill()
        self._socket.close()

    def take_counts(self, former: "Endpoint") -> None:
        """Goes on counting where the socket that this one replaces ended."""
        self.bytes_sent = former.bytes_sent
        self.datagrams_received = former.datagrams_received
        self.sent_bytes_by_kind = former.sent_bytes_by_kind
        self.received_by_kind = former.received_by_kind

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; a datagram that cannot be sent is lost."""
        try:
            try:
                self._raw.sendto(data, address)
            except BlockingIOError:
                self._socket.sendto(data, address)
            self.bytes_sent += len(data)
            self.sent_bytes_by_kind[data[_KIND_OFFSET]] += len(data)
        except (OSError, OverflowError):
            return

    def _receive(self) -> None:
        receive, handler = self._raw.recvfrom, self._handler
        while True:
            for _ in range(BATCH_DATAGRAMS):
                try:
                    data, address = receive(wire.MAX_PEER_BYTES + 1)
                except BlockingIOError:
                    hubs.trampoline(self._raw, read=True)
                    break
                except ConnectionError:
                    continue
                self.datagrams_received += 1
                if len(data) > _KIND_OFFSET:
                    self.received_by_kind[data[_KIND_OFFSET]] += 1
                try:
                    handler(data, address)
                except Exception:
                    tasks.report("endpoint")
            else:
                eventlet.sleep(0)
