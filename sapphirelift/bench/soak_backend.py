"""Backend servers of a soak: their starts and ends, and other writers.

A server drains, announces its end, serves on for a while and exits, or ends
without a word; it starts again under its former name or another one. Its
reports and notices may come late, and others send some in its name.
"""

import json
import random
import socket
import time
import urllib.request
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet

from sapphirelift import tasks
from sapphirelift.bench import packet_fleet
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_writers

REPORT_S = 0.5
# How long a server serves on after its draining report, and after its notice.
DRAIN_S = (0.5, 3.0)
LINGER_S = (0.0, 1.5)
ABSENT_S = (0.1, 1.5)
CALL_TIMEOUT_S = 1.0


def call_later(delay_ms: int, call: Callable[[], None]) -> None:
    """Makes a call after a delay."""
    eventlet.spawn_after(delay_ms / 1000, call)


def call_http(url: str, *, method: str = "GET", body: Any = None) -> bool:
    """Returns whether a call was answered with success.

    Args:
        url: The URL.
        method: HTTP method.
        body: Bytes, or JSON data to send; None for no body.
    """
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    try:
        urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S).close()
    except OSError:
        return False
    return True


class Capacity(NamedTuple):
    """What a backend server can do.

    Attributes:
        slots: Number of slots that it reports.
        max_running: Number of requests that it runs at once.
        work_ms: Time that it works on a request.
    """

    slots: int = 8
    max_running: int = 1000
    work_ms: int = 20


_AMPLE = Capacity()


class SoakBackend:
    """A backend server stand-in that reports to its agent.

    Attributes:
        server: The process of the current start.
        is_away: Whether it is about to end or has ended.
    """

    def __init__(
        self,
        *,
        ip: str,
        data_centre: str,
        ports: packet_fleet.Ports,
        rng: random.Random,
        server_rng: random.Random,
        capacity: Capacity = _AMPLE,
    ) -> None:
        """Starts the server; it reports from ``run`` on.

        Args:
            ip: Address of its instance.
            data_centre: Data centre of its instance.
            ports: Ports of all instances.
            rng: Source of all randomness but the server's.
            server_rng: Source of the server's own numbers.
            capacity: What the server can do.
        """
        self.ip = ip
        self.is_away = False
        self._data_centre = data_centre
        self._ports = ports
        self._rng = rng
        self._server_rng = server_rng
        self._capacity = capacity
        self._starts = 0
        self._name = f"i-{ip}"
        self._start()

    def _start(self) -> None:
        self._starts += 1
        self._number = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._state = "ready"
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.ip, self._ports.app))
        # Checks of the port are accepted by the system.
        self._listener = socket.create_server((self.ip, self._ports.app))
        self.server = flow_ends.BackendServer(
            self._server_rng,
            self._send,
            work_ms=self._capacity.work_ms,
            slots=self._capacity.max_running,
            call_later=call_later,
        )
        self.is_away = False

    def run(self) -> None:
        """Starts the tasks of the current start."""
        tasks.spawn("backend", self._receive_until_exit)
        tasks.spawn("reports", self._report_until_exit)

    def _send(self, data: bytes) -> None:
        if self.server.is_alive:
            self._socket.sendto(data, (self.ip, self._ports.outbound))

    def _receive_until_exit(self) -> None:
        server, received_at = self.server, self._socket
        with received_at:
            while server.is_alive:
                data = received_at.recv(2048)
                if server.is_alive:
                    server.receive(data)

    def _report_until_exit(self) -> None:
        server = self.server
        while server.is_alive and self._state != "gone":
            self._report()
            eventlet.sleep(REPORT_S)

    def _body(self, **changes: Any) -> dict[str, Any]:
        report = packet_writers.report(
            ip=self.ip,
            port=self._ports.app,
            number=self._number,
            born_ms=self._born_ms,
            data_centre=self._data_centre,
            slots=self._capacity.slots,
            state=self._state,
        )
        return report | changes

    def _report(self) -> bool:
        self._number += 1
        return self._call("PUT", self._name, self._body())

    def _call(self, method: str, name: str, body: Any = None) -> bool:
        url = f"http://{self.ip}:{self._ports.reports}/v1/instances/{name}"
        return call_http(url, method=method, body=body)

    def _exit(self) -> None:
        self.server.is_alive = False
        self._listener.close()
        # Ends the task that receives, which closes the socket.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waker:
            waker.sendto(b"", (self.ip, self._ports.app))

    def leave(self) -> None:
        """Drains, announces the end, serves on for a while, and exits."""
        self.is_away = True
        self._state = "draining"
        self._report()
        eventlet.sleep(self._rng.uniform(*DRAIN_S))
        self._state = "gone"
        self._call("DELETE", self._name)
        eventlet.sleep(self._rng.uniform(*LINGER_S))
        self._exit()

    def crash(self) -> None:
        """Ends without a word."""
        self.is_away = True
        self._exit()

    def start_again(self) -> None:
        """Starts anew; what the former start sent may come late."""
        former = (self._name, self._body(Sequence=self._number + 1))
        former[1]["State"] = "ready"
        eventlet.sleep(self._rng.uniform(*ABSENT_S))
        if self._rng.random() < 0.5:
            self._name = f"i-{self.ip}-{self._starts}"
        self._start()
        self.run()
        eventlet.sleep(self._rng.uniform(0, 2 * REPORT_S))
        self._send_late(*former)

    def _send_late(self, name: str, report: dict[str, Any]) -> None:
        match self._rng.randrange(4):
            case 0:
                self._call("DELETE", name)
            case 1:
                self._call("DELETE", name, {"born": report["born"]})
            case 2:
                self._call("PUT", name, report)

    def impersonate(self) -> str:
        """Sends something of another writer; returns what it was."""
        kind = self._rng.choice(
            ["field", "type", "state", "service", "bytes", "start", "end"]
        )
        later = self._body(
            born=time.time_ns() // 1_000_000, Sequence=self._number + 1
        )
        field = self._rng.choice(sorted(later))
        match kind:
            case "field":
                del later[field]
                self._call("PUT", self._name, later)
            case "type":
                self._call("PUT", self._name, later | {field: [None]})
            case "state":
                self._call("PUT", self._name, later | {"State": "asleep"})
            case "service":
                self._call("PUT", "i-other", later | {"Service": "nowhere"})
            case "bytes":
                garbage = self._rng.randbytes(self._rng.randrange(1, 200))
                self._call("PUT", self._name, garbage)
            case "start":
                self._call("PUT", "i-other", later)
            case "end":
                self._call("DELETE", self._name)
        return kind
