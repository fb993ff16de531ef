"""Replacement of a caller's socket whose path has gone silent."""

import eventlet
from eventlet.green import socket

from sapphirelift import messages
from sapphirelift.callers import client


class TestSilentPath:
    """A network path on which packets from one source port get no answer."""

    def test_new_source_port_after_silence(self) -> None:
        """Guards against a caller that keeps using a dead path."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listener.bind(("127.0.0.1", 0))
        caller = client.Caller([messages.Address(*listener.getsockname())])
        task = eventlet.spawn(caller.open, "pakkaamo", timeout_s=9)
        ports = set()
        with eventlet.Timeout(8):
            while len(ports) < 2:
                ports.add(listener.recvfrom(5000)[1])
        assert caller.replaced_sockets == 1
        task.kill()
        caller.close()
        listener.close()
