"""UDP socket that is read by the event loop."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.green import socket

from sapphirelift import tasks

_BUFFER_BYTES = 4 << 20

# Datagrams handled per wakeup before other green threads run.
BATCH_DATAGRAMS = 64
# Datagrams that wait for space in the send buffer; further ones are dropped.
MAX_WAITING_SENDS = 256

Handler = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A bound UDP socket that passes each datagram to a handler.

    The handler runs in the event loop and must not block. Waiting for each
    datagram in a green thread costs a third more CPU time.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        *,
        max_bytes: int,
        name: str = "endpoint",
    ) -> None:
        """Binds the socket.

        Args:
            address: IPv4 address and port; port 0 for any.
            handler: Called with each datagram and its source.
            max_bytes: Longest datagram; longer ones are truncated.
            name: Name under which errors are reported.

        Raises:
            OSError: The address cannot be bound.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind(address)
        # Non-blocking socket that the green socket wraps. A call that need
        # not wait takes half the time on it.
        self._raw_socket = self._socket.fd
        self._handler = handler
        self._max_bytes = max_bytes
        self._name = name
        self._listener: Any = None
        self._waiting_sends = 0

    @property
    def bound_address(self) -> tuple[str, int]:
        """Address that the socket is bound to."""
        return self._socket.getsockname()

    def start(self) -> None:
        """Starts receiving."""
        hub = hubs.get_hub()
        self._listener = hub.add(
            hub.READ,
            self._raw_socket.fileno(),
            self._receive,
            self._on_closed,
            _ignore,
        )

    def stop(self) -> None:
        """Stops receiving and closes the socket."""
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None
        self._socket.close()

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Sends or queues a datagram; returns False if it was dropped."""
        try:
            self._raw_socket.sendto(data, address)
        except BlockingIOError:
            if self._waiting_sends >= MAX_WAITING_SENDS:
                return False
            self._waiting_sends += 1
            eventlet.spawn(self._send_when_writable, data, address)
        except (OSError, OverflowError):
            return False
        return True

    def _send_when_writable(
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        try:
            self._socket.sendto(data, address)
        except (OSError, OverflowError):
            tasks.report(self._name)
        finally:
            self._waiting_sends -= 1

    def _receive(self, fileno: int) -> None:
        del fileno
        receive, handler = self._raw_socket.recvfrom, self._handler
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, address = receive(self._max_bytes)
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError:
                # A handler has closed the socket.
                return
            try:
                handler(data, address)
            except Exception:
                tasks.report(self._name)

    def _on_closed(self, error: BaseException) -> None:
        del error
        self._listener = None


def _ignore(*arguments: Any) -> None:
    del arguments
