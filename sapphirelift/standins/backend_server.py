"""Simulated HTTP backend server for tests and benchmarks.

``python -m sapphirelift.standins.backend_server '{"port": 9000}'`` starts it.
``GET /runs`` returns a record of every request, which tests compare with the
callers' outcomes; ``GET /counters`` returns the counters; ``POST /control``
changes its behaviour.
"""

import collections
import contextlib
import http.server
import json
import socket
import sys
import time
import urllib.parse
from typing import Any

import eventlet
import msgspec


class BackendOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour of the server.

    Attributes:
        port: TCP port on loopback.
        name: Name of the server, sent in ``X-Backend``.
        work_ms: Processing time of a request, unless its query sets another.
        speed: Factor by which processing is faster.
        slots: Concurrent requests above this number count as overload.
        max_connections: Connections above this number are closed on accept.
        shed_above: Requests that arrive while this many are running are
            answered with 503 and ``X-Not-Run``.
        cold_ms: Time for which the server is cold after a start.
        cold_slots: Maximum number of concurrent requests while cold; more
            make the server crash.
        cold_starts_per_s: Maximum number of requests started in a second
            while cold; more make the server crash.
        cold_slowdown: Factor by which processing is slower while cold.
        cold_notice_ms: Time after ``/control`` has made the server cold in
            which overload is ignored, because a balancer can only detect the
            change from the first slow answers.
        fall_ms: Downtime after a simulated crash.
        reported_load: Load that ``/load`` returns, whatever the actual load.
    """

    port: int = 0
    name: str = "backend"
    service: str = ""
    work_ms: float = 5.0
    speed: float = 1.0
    slots: int = 4
    max_connections: int = 2000
    shed_above: int = 1_000_000
    cold_ms: float = 0.0
    cold_slots: int = 1
    cold_starts_per_s: int = 50
    cold_slowdown: float = 5.0
    cold_notice_ms: float = 1000.0
    fall_ms: float = 1000.0
    reported_load: float = 0.0


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; omitted fields change nothing.

    Attributes:
        cold: Whether to make the server cold now.
        cold_ms: New value of the option.
        drain: Whether to shed all requests from now on.
        fall: Whether to simulate a crash.
        speed: New value of the option.
        shed_above: New value of the option.
    """

    cold: bool = False
    cold_ms: float | None = None
    drain: bool | None = None
    fall: bool = False
    speed: float | None = None
    shed_above: int | None = None


class Backend:
    """State of the server, shared by its connections.

    ``POST /echo`` returns the request body, ``GET /bytes/N`` returns N bytes.
    Query parameters of a request:
      - ``id``: logical id to record; the header ``X-Logical-Id`` is used if
        it is missing.
      - ``work_ms``: processing time.
      - ``cut``: with ``read``, the connection is closed after processing
        without an answer; with ``partial``, the answer is truncated.

    Attributes:
        options: Current behaviour.
        runs: Record of every request that was run.
        busy: Number of running requests.
        counters: Event counts by name.
        connections: Open connections.
        draining: Whether all requests are shed.
    """

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.runs: list[dict[str, Any]] = []
        self.busy = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self.connections: set[Any] = set()
        self.draining = False
        self._cold_until_s = time.monotonic() + options.cold_ms / 1000
        self._ignore_overload_until_s = 0.0
        self._down_until_s = 0.0
        self._recent_starts_s: collections.deque[float] = collections.deque()

    @property
    def is_cold(self) -> bool:
        """Whether the server is in its warm-up phase."""
        return time.monotonic() < self._cold_until_s

    @property
    def is_down(self) -> bool:
        """Whether the server is down after a simulated crash."""
        return time.monotonic() < self._down_until_s

    def control(self, change: Control) -> None:
        """Applies a change of behaviour."""
        now_s = time.monotonic()
        if change.cold_ms is not None:
            self.options.cold_ms = change.cold_ms
        if change.cold:
            self._cold_until_s = now_s + self.options.cold_ms / 1000
            self._ignore_overload_until_s = (
                now_s + self.options.cold_notice_ms / 1000
            )
        if change.fall:
            self.crash()
        if change.drain is not None:
            self.draining = change.drain
        self.options.speed = change.speed or self.options.speed
        if change.shed_above is not None:
            self.options.shed_above = change.shed_above

    def crash(self) -> None:
        """Simulates a crash and a cold restart after ``fall_ms``.

        All connections are closed, and new ones are closed on accept until
        the downtime is over.
        """
        self.counters["falls"] += 1
        now_s = time.monotonic()
        self._down_until_s = now_s + self.options.fall_ms / 1000
        self._cold_until_s = self._down_until_s + self.options.cold_ms / 1000
        for connection in list(self.connections):
            shut_down(connection)

    def admit(self) -> None:
        """Counts a request that starts; an overload while cold is a crash."""
        now_s = time.monotonic()
        self.busy += 1
        self.counters["runs"] += 1
        self.counters["overload"] += self.busy > self.options.slots
        self._recent_starts_s.append(now_s)
        while self._recent_starts_s[0] < now_s - 1.0:
            self._recent_starts_s.popleft()
        if not self.is_cold or now_s < self._ignore_overload_until_s:
            return
        if self.busy > self.options.cold_slots or (
            len(self._recent_starts_s) > self.options.cold_starts_per_s
        ):
            self.counters["cold_overload"] += 1
            self.crash()

    def work_s(self, work_ms: float) -> float:
        """Returns the processing time at the current speed, in seconds."""
        slowdown = self.options.cold_slowdown if self.is_cold else 1.0
        return work_ms * slowdown / self.options.speed / 1000


def shut_down(connection: Any) -> None:
    """Shuts a connection down in both directions."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Handler of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    backend: Backend

    def log_message(self, format: str, *args: Any) -> None:
        """Disables the request log."""

    def do_GET(self) -> None:  # noqa: N802
        """Handles a request of any method."""
        path, _, query = self.path.partition("?")
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        backend = self.backend
        match path:
            case "/runs":
                self._answer(json.dumps(backend.runs).encode())
            case "/counters":
                self._answer(json.dumps(backend.counters).encode())
            case "/health":
                self._answer(b'{"status": "ok"}')
            case "/load":
                load = {"load": backend.options.reported_load}
                self._answer(json.dumps(load).encode())
            case "/control":
                backend.control(msgspec.json.decode(body, type=Control))
                self._answer(b"{}")
            case _ if len(body) < length:
                self.close_connection = True
            case _ if (
                backend.draining or backend.busy >= backend.options.shed_above
            ):
                backend.counters["shed"] += 1
                self._answer(b"", status=503, headers={"X-Not-Run": "1"})
            case _:
                self._run(path, query, body)

    do_POST = do_PUT = do_DELETE = do_GET  # noqa: N815

    def _run(self, path: str, query: str, body: bytes) -> None:
        backend = self.backend
        parameters = dict(urllib.parse.parse_qsl(query))
        record = {
            "id": parameters.get("id") or self.headers.get("X-Logical-Id", ""),
            "path": path,
            "query": query,
            "caller": self.headers.get("X-Caller", ""),
            "request_id": self.headers.get("X-Request-Id", ""),
            "started_s": time.time(),
            "ended_s": None,
            "end": "running",
        }
        backend.runs.append(record)
        backend.admit()
        try:
            work_ms = float(parameters.get("work_ms", backend.options.work_ms))
            is_client_connected = self._process(backend.work_s(work_ms))
        finally:
            backend.busy -= 1
        record["ended_s"] = time.time()
        record["end"] = "completed" if is_client_connected else "cut"
        if not is_client_connected:
            backend.counters["client_gone"] += 1
        if not is_client_connected or parameters.get("cut") == "read":
            self.close_connection = True
            return
        if path.startswith("/bytes/"):
            count = int(path.removeprefix("/bytes/"))
            body = (backend.options.name.encode() * (count + 1))[:count]
        missing = 10 if parameters.get("cut") == "partial" else 0
        self._answer(body, missing=missing)

    def _process(self, duration_s: float) -> bool:
        """Simulates processing; returns False once the client disconnects."""
        self.connection.settimeout(duration_s)
        try:
            return self.connection.recv(1, socket.MSG_PEEK) != b""
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            self.connection.settimeout(None)

    def _answer(
        self,
        body: bytes,
        *,
        status: int = 200,
        headers: dict[str, str] | None = None,
        missing: int = 0,
    ) -> None:
        self.send_response(status)
        self.send_header("X-Backend", self.backend.options.name)
        run_id = self.headers.get("X-Run-Id")
        if run_id is not None:
            self.send_header("X-Run-Id", run_id)
        self.send_header("Content-Length", str(len(body) + missing))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()
        self.close_connection = self.close_connection or missing > 0


def _serve_connection(
    handler: type[_Handler], connection: Any, address: tuple[str, int]
) -> None:
    connections = handler.backend.connections
    connections.add(connection)
    try:
        handler(connection, address, None)  # type: ignore[arg-type]
    except OSError:
        pass
    finally:
        connections.discard(connection)
        shut_down(connection)
        connection.close()


def accept_forever(backend: Backend, listener: Any) -> None:
    """Accepts and serves connections on a listening socket."""
    handler = type("Handler", (_Handler,), {"backend": backend})
    while True:
        connection, address = listener.accept()
        full = len(backend.connections) >= backend.options.max_connections
        if backend.is_down or full:
            backend.counters["connections_closed"] += 1
            connection.close()
        else:
            eventlet.spawn_n(_serve_connection, handler, connection, address)


def serve(options: BackendOptions) -> None:
    """Serves a simulated backend server on a loopback port."""
    listener = eventlet.listen(("127.0.0.1", options.port), backlog=1024)
    accept_forever(Backend(options), listener)


if __name__ == "__main__":
    serve(msgspec.json.decode(sys.argv[1], type=BackendOptions))
