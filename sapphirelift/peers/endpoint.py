"""UDP socket of a daemon, with counters by datagram kind."""

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.peers import datagrams

# Offset of the kind in the datagram header.
_KIND_OFFSET = 2

Handler = datagrams.Handler


class Endpoint:
    """A bound UDP socket that counts datagrams and passes them to a handler.

    Attributes:
        bytes_sent: Bytes sent, of all kinds.
        datagrams_received: Datagrams received, of all kinds.
        sent_bytes_by_kind: Bytes sent, indexed by datagram kind.
        received_by_kind: Datagrams received, indexed by datagram kind.
    """

    def __init__(self, address: messages.Address, handler: Handler) -> None:
        self._handler = handler
        self._socket = datagrams.DatagramSocket(
            address, self._receive, max_bytes=wire.MAX_PEER_BYTES + 1
        )
        self.address = messages.Address(*self._socket.bound_address)
        self.start = self._socket.start
        self.stop = self._socket.stop
        self.bytes_sent = 0
        self.datagrams_received = 0
        self.sent_bytes_by_kind = [0] * 256
        self.received_by_kind = [0] * 256

    def inherit_counters(self, former: "Endpoint") -> None:
        """Continues the counters of the socket that this one replaces."""
        self.bytes_sent = former.bytes_sent
        self.datagrams_received = former.datagrams_received
        self.sent_bytes_by_kind = former.sent_bytes_by_kind
        self.received_by_kind = former.received_by_kind

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; a datagram that cannot be sent is lost."""
        if self._socket.send(data, address):
            self.bytes_sent += len(data)
            self.sent_bytes_by_kind[data[_KIND_OFFSET]] += len(data)

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        self.datagrams_received += 1
        if len(data) > _KIND_OFFSET:
            self.received_by_kind[data[_KIND_OFFSET]] += 1
        self._handler(data, address)
