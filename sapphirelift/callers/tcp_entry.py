"""HTTP/1.1 gateway for callers without the client library, such as curl or nc.

Each TCP connection has a session of its own, so on a planned change its flow
moves like any other flow. The connection itself ends when the balancer that
accepted it stops; the last answer on it says so.
"""

import contextlib
import secrets
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.greenthread
import eventlet.wsgi
import greenlet

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import tasks
from sapphirelift.callers import client
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import transfer

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
# Methods that RFC 9110, section 9.2.2, defines as idempotent.
IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
OPEN_TIMEOUT_S = 5.0
DEFAULT_DEADLINE_MS = 30_000
MAX_CONNECTIONS = 1000
# Requests in transit to a gateway that stops arrive within this time.
LINGER_S = 0.5


class _Connection:
    """A caller and session that live as long as one TCP connection."""

    def __init__(self, entry: "TcpEntry") -> None:
        self._caller = client.Caller(
            [entry.balancer],
            # The flow keys are derived from the seed. With equal seeds, the
            # gateways of two balancers would use the same flows and
            # receive each other's answers.
            seed=secrets.randbits(128),
            ip=entry.balancer.ip,
        )
        self._service = entry.service
        self._session: client.Session | None = None

    def request(
        self, method: str, path: str, body: bytes, deadline_ms: int
    ) -> outcomes.Outcome:
        """Sends a request; the first request opens the session."""
        if self._session is None:
            try:
                self._session = self._caller.open(
                    self._service, timeout_s=OPEN_TIMEOUT_S
                )
            except errors.FlowError:
                return outcomes.NotRun("no_backend_server")
        return self._session.request(
            method,
            path,
            body=body,
            idempotent=method in IDEMPOTENT_METHODS,
            deadline_ms=deadline_ms,
        )

    def close(self) -> None:
        """Closes the session and the caller's socket."""
        if self._session is not None:
            self._session.close()
        self._caller.close()


class TcpEntry:
    """HTTP server on the TCP port of one service."""

    def __init__(
        self,
        *,
        service: str,
        address: messages.Address,
        balancer: messages.Address,
    ) -> None:
        self.service = service
        self.balancer = balancer
        self._address = address
        self._listener = eventlet.listen(address)
        self._connections: dict[tuple[str, str], _Connection] = {}
        self._task: eventlet.greenthread.GreenThread | None = None
        self._is_stopping = False
        self._protocols: set[eventlet.wsgi.HttpProtocol] = set()

    def start(self) -> None:
        """Starts accepting connections."""
        self._task = tasks.spawn("tcp_entry", self._serve)

    def _serve(self) -> None:
        # The WSGI server closes the listener when accepting fails; this task
        # is then started again.
        if self._listener.fileno() < 0:
            self._listener = eventlet.listen(self._address)
        eventlet.wsgi.server(
            self._listener,
            self._handle_request,
            protocol=self._protocol(),
            log_output=False,
            max_size=MAX_CONNECTIONS,
        )

    @property
    def has_ended(self) -> bool:
        """Whether the server has stopped and its last request has ended."""
        return self._task is None or self._task.dead

    def stop(self) -> None:
        """Begins to stop; returns at once.

        Requests that still arrive within ``LINGER_S`` are answered. Each
        connection is closed after its current request, and after that time if
        it has none.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        for protocol in self._protocols:
            protocol.close_connection = True
        eventlet.spawn_after(LINGER_S, self._close)

    def _close(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._listener.close()

    def wait(self) -> None:
        """Waits until the current requests have ended, after ``stop``."""
        if self._task is not None:
            with contextlib.suppress(greenlet.GreenletExit):
                self._task.wait()

    def _protocol(self) -> type[eventlet.wsgi.HttpProtocol]:
        gateway = self

        class Protocol(eventlet.wsgi.HttpProtocol):
            """HTTP connection that closes its session when it ends."""

            def setup(self) -> None:
                """Prepares the connection."""
                super().setup()
                gateway._protocols.add(self)

            def parse_request(self) -> bool:
                """Reads a request, the last one if the gateway stops."""
                is_valid = super().parse_request()
                if gateway._is_stopping:
                    self.close_connection = True
                return is_valid

            def finish(self) -> None:
                """Cleans up after the connection."""
                gateway._protocols.discard(self)
                super().finish()
                gateway.close_session(self.client_address)

        return Protocol

    def close_session(self, address: tuple[str, int]) -> None:
        """Closes the session of a connection that has ended."""
        key = (address[0], str(address[1]))
        connection = self._connections.pop(key, None)
        if connection is not None:
            connection.close()

    def _handle_request(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        key = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        connection = self._connections.get(key)
        if connection is None:
            connection = self._connections[key] = _Connection(self)
        body = environ["wsgi.input"].read(transfer.MAX_BODY_BYTES + 1)
        if len(body) > transfer.MAX_BODY_BYTES:
            start_response("413 Content Too Large", [])
            return [b"body over 1 MiB; send it in parts\n"]
        outcome = connection.request(
            environ["REQUEST_METHOD"],
            _request_target(environ),
            body,
            _deadline_ms(environ),
        )
        return _respond(outcome, start_response)


def _request_target(environ: dict[str, Any]) -> str:
    path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
    query = environ.get("QUERY_STRING")
    return f"{path}?{query}" if query else path


def _deadline_ms(environ: dict[str, Any]) -> int:
    text = environ.get("HTTP_X_DEADLINE_MS", "")
    return int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS


def _respond(
    outcome: outcomes.Outcome, start_response: StartResponse
) -> Iterable[bytes]:
    match outcome:
        case outcomes.Answered(status, body):
            start_response(f"{status} Answered", [])
            return [body]
        case outcomes.NotRun(reason):
            headers = [("X-Not-Run", "1"), ("Retry-After", "1")]
            start_response("503 Service Unavailable", headers)
            return [f"not run: {reason}\n".encode()]
        case outcomes.Unknown("deadline"):
            start_response("504 Gateway Timeout", [])
            return [b"outcome unknown: deadline\n"]
        case outcomes.Unknown(reason):
            start_response("502 Bad Gateway", [])
            return [f"outcome unknown: {reason}\n".encode()]
