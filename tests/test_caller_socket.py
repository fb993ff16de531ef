"""Replacement of a caller's socket whose path has gone silent."""

import socket

import eventlet
import pytest

from sapphirelift import clock
from sapphirelift import messages
from sapphirelift.callers import client

STEP_MS = 20
LIMIT_MS = 8000


class TestSilentPath:
    """A network path on which packets from one source port get no answer."""

    def test_new_source_port_after_silence(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a caller that keeps using a dead path.

        The test drives the clock, so that a pause of this process is not
        taken for silence.
        """
        now_ms = 0
        monkeypatch.setattr(clock, "now_ms", lambda: now_ms)
        monkeypatch.setattr(client, "TICK_S", 0)
        listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listener.bind(("127.0.0.1", 0))
        listener.setblocking(False)
        caller = client.Caller([messages.Address(*listener.getsockname())])
        task = eventlet.spawn(caller.open, "pakkaamo", timeout_s=60)
        first_ms_by_port: dict[int, int] = {}
        while len(first_ms_by_port) < 2:
            assert now_ms < LIMIT_MS
            # Two passes: the caller's tick runs in one of them.
            for _ in range(2):
                eventlet.sleep(0)
            try:
                while True:
                    port = listener.recvfrom(5000)[1][1]
                    first_ms_by_port.setdefault(port, now_ms)
            except BlockingIOError:
                now_ms += STEP_MS
        first_ms, second_ms = first_ms_by_port.values()
        assert second_ms - first_ms >= client.SILENT_PATH_MS
        assert caller.replaced_sockets == 1
        task.kill()
        caller.close()
        listener.close()
