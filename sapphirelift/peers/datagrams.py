"""UDP socket owned by one task."""

from collections.abc import Callable

import eventlet
import eventlet.greenthread
from eventlet import hubs
from eventlet.green import socket

from sapphirelift import tasks

_BUFFER_BYTES = 4 << 20

# Datagrams handled before other tasks get their turn.
BATCH_DATAGRAMS = 64

Handler = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A bound UDP socket whose task passes each datagram to a handler."""

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
            max_bytes: Longest datagram; longer ones are cut off.
            name: Name of the task.

        Raises:
            OSError: The address cannot be bound.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind(address)
        # The plain socket below the green one: a call that need not wait
        # takes half the time.
        self._raw = self._socket.fd
        self._handler = handler
        self._max_bytes = max_bytes
        self._name = name
        self._task: eventlet.greenthread.GreenThread | None = None

    @property
    def bound_address(self) -> tuple[str, int]:
        """Address that the socket is bound to."""
        return self._socket.getsockname()

    def start(self) -> None:
        """Starts to receive."""
        self._task = tasks.spawn(self._name, self._receive)

    def stop(self) -> None:
        """Stops to receive and closes the socket."""
        if self._task is not None:
            self._task.kill()
        self._socket.close()

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Sends a datagram; returns False if it could not be sent."""
        try:
            try:
                self._raw.sendto(data, address)
            except BlockingIOError:
                self._socket.sendto(data, address)
        except (OSError, OverflowError):
            return False
        return True

    def _receive(self) -> None:
        receive, handler = self._raw.recvfrom, self._handler
        while True:
            for _ in range(BATCH_DATAGRAMS):
                try:
                    data, address = receive(self._max_bytes)
                except BlockingIOError:
                    hubs.trampoline(self._raw, read=True)
                    break
                except ConnectionError:
                    continue
                try:
                    handler(data, address)
                except Exception:
                    tasks.report(self._name)
            else:
                eventlet.sleep(0)
