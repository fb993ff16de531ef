"""Fault-injecting proxy for UDP or TCP between two processes under test.

``python -m sapphirelift.standins.fault_proxy '{"listen": {...}, "target":
{...}, "admin": {...}, "kind": "udp", "seed": 1}'`` starts it; addresses are
objects with ``ip`` and ``port``. The admin port serves

  - ``POST /faults``: replaces the active faults (see ``Faults``),
  - ``POST /cut``: closes all connections,
  - ``POST /silence``: discards all further data of the existing connections
    or UDP sources; new ones are not affected,
  - ``GET /counters``: returns event counts.
"""

import collections
import contextlib
import json
import random
import sys
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Literal
from typing import Protocol

import eventlet
import eventlet.greenthread
import eventlet.wsgi
import msgspec
from eventlet.green import socket

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_DATAGRAM_BYTES = 65_535
_CHUNK_BYTES = 65_536
_BUFFER_BYTES = 4 << 20
_MAX_SOURCES = 10_000


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IPv4 address and port."""

    ip: str
    port: int


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of the proxy.

    Attributes:
        listen: Address that accepts traffic.
        target: Address that traffic is forwarded to.
        admin: Address of the HTTP interface that controls the faults.
        kind: Transport protocol.
        seed: Seed of the random decisions.
    """

    listen: Address
    target: Address
    admin: Address
    kind: Literal["udp", "tcp"]
    seed: int = 1


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Active faults. Probabilities are per datagram, between 0 and 1.

    Parts of a byte stream cannot be dropped, duplicated or reordered, so TCP
    supports ``delay_ms`` and ``direction`` only.

    Attributes:
        drop: Probability that a datagram is dropped.
        duplicate: Probability that a datagram is sent twice.
        reorder: Probability that a datagram is delayed by ``reorder_ms``, so
            that later ones overtake it.
        reorder_ms: Additional delay of a reordered datagram.
        delay_ms: Delay of all traffic.
        direction: Direction that the faults apply to.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 20.0
    delay_ms: float = 0.0
    direction: Literal["both", "to_target", "from_target"] = "both"

    def applies(self, direction: str) -> bool:
        """Returns whether the faults apply to a direction."""
        return self.direction in ("both", direction)


class FaultInjector:
    """Decides how each datagram is treated, reproducibly from a seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.faults = Faults()
        self.counters: collections.Counter[str] = collections.Counter()

    def delays_ms(self, direction: str) -> list[float]:
        """Returns the delays of the copies to send; empty for a drop."""
        faults = self.faults
        # Always draws three numbers, so that changing the probability of one
        # fault does not change the decisions about the others.
        drop, duplicate, reorder = (self._rng.random() for _ in range(3))
        if not faults.applies(direction):
            self.counters["forwarded"] += 1
            return [0.0]
        if drop < faults.drop:
            self.counters["dropped"] += 1
            return []
        self.counters["forwarded"] += 1
        delay_ms = faults.delay_ms
        if reorder < faults.reorder:
            self.counters["reordered"] += 1
            delay_ms += faults.reorder_ms
        if duplicate < faults.duplicate:
            self.counters["duplicated"] += 1
            return [delay_ms, faults.delay_ms]
        return [delay_ms]


class Relay(Protocol):
    """Interface of the relays for UDP and TCP."""

    def start(self) -> None:
        """Starts to relay."""

    def cut(self) -> None:
        """Closes all connections (TCP) or sessions (UDP)."""

    def silence(self) -> None:
        """Discards all further data of existing connections or sessions."""


class _UdpSession:
    """Socket that exchanges datagrams with the target for one source."""

    def __init__(self, target: Address) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self.socket.connect((target.ip, target.port))
        self.is_silenced = False
        self.task: eventlet.greenthread.GreenThread | None = None


class UdpRelay:
    """Relays datagrams, with one socket to the target for each source."""

    def __init__(self, options: Options, injector: FaultInjector) -> None:
        self._options = options
        self._injector = injector
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind((options.listen.ip, options.listen.port))
        self._sessions: dict[tuple[str, int], _UdpSession] = {}

    def start(self) -> None:
        """Starts to relay."""
        eventlet.spawn(self._receive)

    def cut(self) -> None:
        """Closes all sessions; the target sees a new port for each source."""
        for session in self._sessions.values():
            if session.task is not None:
                session.task.kill()
            session.socket.close()
        self._sessions.clear()

    def silence(self) -> None:
        """Discards all further datagrams of existing sessions."""
        for session in self._sessions.values():
            session.is_silenced = True

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._socket.recvfrom(_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            session = self._session(address)
            if session is not None:
                self._forward(session, "to_target", session.socket.send, data)

    def _session(self, address: tuple[str, int]) -> _UdpSession | None:
        session = self._sessions.get(address)
        if session is None:
            if len(self._sessions) >= _MAX_SOURCES:
                self._injector.counters["refused_sources"] += 1
                return None
            session = self._sessions[address] = _UdpSession(
                self._options.target
            )
            session.task = eventlet.spawn(self._relay_replies, session, address)
        return session

    def _relay_replies(
        self, session: _UdpSession, address: tuple[str, int]
    ) -> None:
        def send(data: bytes) -> None:
            self._socket.sendto(data, address)

        while True:
            try:
                data = session.socket.recv(_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            self._forward(session, "from_target", send, data)

    def _forward(
        self,
        session: _UdpSession,
        direction: str,
        send: Callable[[bytes], Any],
        data: bytes,
    ) -> None:
        if session.is_silenced:
            self._injector.counters["silenced"] += 1
            return
        for delay_ms in self._injector.delays_ms(direction):
            if delay_ms > 0:
                eventlet.spawn_after(delay_ms / 1000, _try_send, send, data)
            else:
                _try_send(send, data)


def _try_send(send: Callable[[bytes], Any], data: bytes) -> None:
    """Sends a datagram; ignores errors, since the receiver may be gone."""
    with contextlib.suppress(OSError):
        send(data)


class _Connection:
    """A client connection and its connection to the target."""

    def __init__(self, client: Any, upstream: Any) -> None:
        self.sockets = (client, upstream)
        self.is_silenced = False
        self.running_pumps = 2

    def shut_down(self) -> None:
        """Stops both pumps; the last one to end closes the sockets.

        Closing a socket while a pump waits on it would leave the pump waiting
        on a file descriptor that the next connection may reuse.
        """
        for side in self.sockets:
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)

    def pump_ended(self) -> bool:
        """Closes the sockets after the last pump; returns whether it was."""
        self.running_pumps -= 1
        if self.running_pumps:
            return False
        for side in self.sockets:
            side.close()
        return True


class TcpRelay:
    """Relays TCP connections, with one pump for each direction."""

    def __init__(self, options: Options, injector: FaultInjector) -> None:
        self._options = options
        self._injector = injector
        self._listener = eventlet.listen(
            (options.listen.ip, options.listen.port)
        )
        self._connections: set[_Connection] = set()

    def start(self) -> None:
        """Starts to relay."""
        eventlet.spawn(self._accept)

    def cut(self) -> None:
        """Closes all connections."""
        for connection in self._connections:
            connection.shut_down()

    def silence(self) -> None:
        """Discards all further data of existing connections."""
        for connection in self._connections:
            connection.is_silenced = True

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn(self._connect_upstream, client)

    def _connect_upstream(self, client: Any) -> None:
        target = self._options.target
        try:
            upstream = eventlet.connect((target.ip, target.port))
        except OSError:
            client.close()
            self._injector.counters["refused"] += 1
            return
        self._injector.counters["connections"] += 1
        connection = _Connection(client, upstream)
        self._connections.add(connection)
        eventlet.spawn(self._pump, connection, client, upstream, "to_target")
        eventlet.spawn(self._pump, connection, upstream, client, "from_target")

    def _pump(
        self, connection: _Connection, source: Any, sink: Any, direction: str
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                faults = self._injector.faults
                if faults.delay_ms and faults.applies(direction):
                    eventlet.sleep(faults.delay_ms / 1000)
                if connection.is_silenced:
                    self._injector.counters["silenced"] += 1
                    continue
                sink.sendall(data)
                self._injector.counters["forwarded"] += 1
            if not connection.is_silenced:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            connection.shut_down()
        finally:
            if connection.pump_ended():
                self._connections.discard(connection)


class AdminApp:
    """WSGI application of the admin port."""

    def __init__(
        self, options: Options, injector: FaultInjector, relay: Relay
    ) -> None:
        self._options = options
        self._injector = injector
        self._relay = relay

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, answer = self._handle(environ["PATH_INFO"], body)
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def _handle(self, path: str, body: bytes) -> tuple[str, Any]:
        match path:
            case "/faults":
                return self._set_faults(body)
            case "/cut":
                self._relay.cut()
            case "/silence":
                self._relay.silence()
            case "/counters":
                return "200 OK", dict(self._injector.counters)
            case _:
                return "404 Not Found", {"error": "unknown path"}
        return "200 OK", {}

    def _set_faults(self, body: bytes) -> tuple[str, Any]:
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.MsgspecError as error:
            return "400 Bad Request", {"error": str(error)}
        datagram_only = faults.drop or faults.duplicate or faults.reorder
        if self._options.kind == "tcp" and datagram_only:
            return "400 Bad Request", {
                "error": "tcp takes delay_ms, /cut and /silence only"
            }
        self._injector.faults = faults
        return "200 OK", {}


def serve(options: Options) -> None:
    """Serves the proxy until the process ends."""
    injector = FaultInjector(options.seed)
    relay: Relay
    match options.kind:
        case "udp":
            relay = UdpRelay(options, injector)
        case "tcp":
            relay = TcpRelay(options, injector)
    relay.start()
    eventlet.wsgi.server(
        eventlet.listen((options.admin.ip, options.admin.port)),
        AdminApp(options, injector, relay),
        log_output=False,
    )


if __name__ == "__main__":
    serve(msgspec.json.decode(sys.argv[1], type=Options))
