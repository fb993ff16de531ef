"""Fault-injecting proxy for UDP or TCP between two processes under test.

``python -m sapphirelift.standins.fault_proxy '{"listen": {...}, "target":
{...}, "admin": {...}, "kind": "udp", "seed": 1}'`` serves it; addresses are
objects with ``ip`` and ``port``. On the admin port, ``POST /faults`` with a
JSON object replaces the faults (see ``Faults``), ``POST /cut`` closes all
connections, ``POST /silence`` makes the present connections or sources
silent while new ones work, and ``GET /counters`` counts what was done.
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
    """Where the proxy listens and where it passes traffic on to."""

    listen: Address
    target: Address
    admin: Address
    kind: Literal["udp", "tcp"]
    seed: int = 1


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force. Probabilities are between 0 and 1, per datagram.

    A byte stream cannot be dropped from, duplicated or reordered, so TCP
    takes ``delay_ms`` and ``direction`` only.

    Attributes:
        drop: Probability that a datagram is dropped.
        duplicate: Probability that a datagram is sent twice.
        reorder: Probability that a datagram is held back for
            ``reorder_ms``, so that later ones overtake it.
        delay_ms: Delay of everything.
        direction: Which way the faults apply.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 20.0
    delay_ms: float = 0.0
    direction: Literal["both", "to_target", "from_target"] = "both"

    def applies(self, direction: str) -> bool:
        """Tells whether traffic of a direction is affected."""
        return self.direction in ("both", direction)


class FaultInjector:
    """Decides the fate of each datagram; equal seeds decide alike."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.faults = Faults()
        self.counters: collections.Counter[str] = collections.Counter()

    def delays_ms(self, direction: str) -> list[float]:
        """Returns the delay of each copy to send; none if it is dropped."""
        faults = self.faults
        # Always three draws, so that one fault does not shift another.
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
    """Traffic of one kind."""

    def start(self) -> None:
        """Starts to relay."""

    def cut(self) -> None:
        """Closes all connections, or forgets all sources."""

    def silence(self) -> None:
        """Makes present connections or sources silent for good."""


class _Source:
    """Socket towards the target on behalf of one source."""

    def __init__(self, target: Address) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self.socket.connect((target.ip, target.port))
        self.silent = False
        self.task: eventlet.greenthread.GreenThread | None = None


class UdpRelay:
    """Relays datagrams; each source gets a socket towards the target."""

    def __init__(self, options: Options, injector: FaultInjector) -> None:
        self._options = options
        self._injector = injector
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind((options.listen.ip, options.listen.port))
        self._sources: dict[tuple[str, int], _Source] = {}

    def start(self) -> None:
        """Starts to relay."""
        eventlet.spawn(self._receive)

    def cut(self) -> None:
        """Forgets all sources, so that their next port is another."""
        for source in self._sources.values():
            if source.task is not None:
                source.task.kill()
            source.socket.close()
        self._sources.clear()

    def silence(self) -> None:
        """Makes the present sources silent for good."""
        for source in self._sources.values():
            source.silent = True

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._socket.recvfrom(_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            source = self._source(address)
            if source is not None:
                self._pass(source, "to_target", source.socket.send, data)

    def _source(self, address: tuple[str, int]) -> _Source | None:
        source = self._sources.get(address)
        if source is None:
            if len(self._sources) >= _MAX_SOURCES:
                self._injector.counters["refused_sources"] += 1
                return None
            source = self._sources[address] = _Source(self._options.target)
            source.task = eventlet.spawn(self._answer, source, address)
        return source

    def _answer(self, source: _Source, address: tuple[str, int]) -> None:
        def send(data: bytes) -> None:
            self._socket.sendto(data, address)

        while True:
            try:
                data = source.socket.recv(_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            self._pass(source, "from_target", send, data)

    def _pass(
        self,
        source: _Source,
        direction: str,
        send: Callable[[bytes], Any],
        data: bytes,
    ) -> None:
        if source.silent:
            self._injector.counters["silenced"] += 1
            return
        for delay_ms in self._injector.delays_ms(direction):
            if delay_ms > 0:
                eventlet.spawn_after(delay_ms / 1000, _try_send, send, data)
            else:
                _try_send(send, data)


def _try_send(send: Callable[[bytes], Any], data: bytes) -> None:
    """Sends a datagram; the target may be gone."""
    with contextlib.suppress(OSError):
        send(data)


class _Connection:
    """A connection and its counterpart towards the target."""

    def __init__(self, near: Any, far: Any) -> None:
        self.sockets = (near, far)
        self.silent = False
        self.pumps = 2

    def shut_down(self) -> None:
        """Ends both pumps; the last one closes the sockets.

        A socket closed under a waiting pump would leave the pump waiting on
        a descriptor that the next connection reuses.
        """
        for side in self.sockets:
            with contextlib.suppress(OSError):
                side.shutdown(socket.SHUT_RDWR)

    def pump_ended(self) -> bool:
        """Closes the sockets after the last pump; tells whether it was."""
        self.pumps -= 1
        if self.pumps:
            return False
        for side in self.sockets:
            side.close()
        return True


class TcpRelay:
    """Relays byte streams."""

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
        """Makes the present connections silent for good."""
        for connection in self._connections:
            connection.silent = True

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn(self._connect, near)

    def _connect(self, near: Any) -> None:
        target = self._options.target
        try:
            far = eventlet.connect((target.ip, target.port))
        except OSError:
            near.close()
            self._injector.counters["refused"] += 1
            return
        self._injector.counters["connections"] += 1
        connection = _Connection(near, far)
        self._connections.add(connection)
        eventlet.spawn(self._pump, connection, near, far, "to_target")
        eventlet.spawn(self._pump, connection, far, near, "from_target")

    def _pump(
        self, connection: _Connection, source: Any, sink: Any, direction: str
    ) -> None:
        try:
            while data := source.recv(_CHUNK_BYTES):
                faults = self._injector.faults
                if faults.delay_ms and faults.applies(direction):
                    eventlet.sleep(faults.delay_ms / 1000)
                if connection.silent:
                    self._injector.counters["silenced"] += 1
                    continue
                sink.sendall(data)
                self._injector.counters["forwarded"] += 1
            if not connection.silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            connection.shut_down()
        finally:
            if connection.pump_ended():
                self._connections.discard(connection)


class AdminApp:
    """WSGI application that sets the faults."""

    def __init__(
        self, options: Options, injector: FaultInjector, relay: Relay
    ) -> None:
        self._options = options
        self._injector = injector
        self._relay = relay

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one call."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, answer = self._answer(environ["PATH_INFO"], body)
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def _answer(self, path: str, body: bytes) -> tuple[str, Any]:
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
