"""Starts daemons and stand-ins as processes on loopback ports.

Used by the tests and the bench. The product itself starts no processes.
"""

import collections
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec

from sapphirelift import messages

CLUSTER_KEY_HEX = "5a" * 32
START_TIMEOUT_S = 20.0
_STAND_INS = "sapphirelift.standins."
# Stand-ins resolve no names, and loading the resolver takes more processor
# time than the rest of their start. Daemons start as in a deployment.
_NO_NAMES = {"EVENTLET_NO_GREENDNS": "yes"}
_LOWEST_PORT = 10_000
_PORT_COUNT = 22_000
# More than one test or run of the soak takes.
BLOCK_PORTS = 200
# Blocks a process keeps, so that ports return late.
MAX_BLOCKS = 10


class PortBlocks:
    """Ports that no other process on the machine takes at the same time.

    A process claims blocks of ports by listening on the first port of each,
    so that the system gives a block to one process and frees it when that
    process ends, however it ends.
    """

    def __init__(self) -> None:
        self._claims: collections.deque[socket.socket] = collections.deque()
        self._ports: Iterator[int] = iter(())
        # Concurrent processes start at different blocks.
        self._next_block = os.getpid()

    @property
    def held(self) -> int:
        """Number of blocks that this process has for itself."""
        return len(self._claims)

    def take(self) -> int:
        """Returns the next port.

        Raises:
            RuntimeError: Other processes have claimed all blocks.
        """
        port = next(self._ports, None)
        if port is None:
            first = self._claim()
            self._ports = iter(range(first + 1, first + BLOCK_PORTS))
            port = next(self._ports)
        return port

    def _claim(self) -> int:
        """Returns the first port of a block that this process holds now."""
        if len(self._claims) == MAX_BLOCKS:
            self._claims.popleft().close()
        count = _PORT_COUNT // BLOCK_PORTS
        for _ in range(count):
            first = _LOWEST_PORT + self._next_block % count * BLOCK_PORTS
            self._next_block += 1
            claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                claim.bind(("127.0.0.1", first))
                claim.listen()
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            return first
        raise RuntimeError("all blocks of ports are taken")


_blocks = PortBlocks()


def free_port() -> int:
    """Returns a port that is free for both UDP and TCP.

    The port lies below the ephemeral range, so that no outgoing connection
    can take it before the intended process binds it, and in a block that
    this process has for itself.
    """
    while True:
        port = _blocks.take()
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(
    condition: Callable[[], Any], *, timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Waits until a condition returns a true value, and returns that value.

    An ``OSError`` counts as a false value.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            if value := condition():
                return value
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{condition} did not hold within {timeout_s} s")


def get_json(port: int, path: str, *, timeout_s: float = 3.0) -> Any:
    """Returns JSON fetched from a loopback port."""
    url = f"http://127.0.0.1:{port}{path}"
    with urllib.request.urlopen(url, timeout=timeout_s) as answer:
        return json.load(answer)


def post_json(port: int, path: str, value: Any) -> Any:
    """Posts JSON to a loopback port and returns the JSON answer."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=json.dumps(value).encode(),
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=3) as answer:
        return json.load(answer)


class Fleet:
    """Processes of one test or bench run; ``close`` ends all of them."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.admin_ports: dict[str, int] = {}
        self.peer_ports: dict[str, int] = {}
        self.public: dict[str, messages.Address] = {}
        self.backend_ports: dict[str, int] = {}
        self.fault_admin_ports: dict[str, int] = {}
        self.platform_port = 0
        self.platform_scheme = "http"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"{self.platform_scheme}://127.0.0.1:{self.platform_port}"

    def start_platform(self) -> None:
        """Starts the platform stand-in."""
        self.platform_port = self.platform_port or free_port()
        self.spawn(
            "platform",
            "-m",
            "sapphirelift.standins.platform",
            str(self.platform_port),
        )
        wait_until(lambda: get_json(self.platform_port, "/calls") is not None)

    def start_balancer(self, name: str, **extra: Any) -> None:
        """Starts a balancer."""
        public = messages.Address("127.0.0.1", free_port())
        self.public[name] = public
        self._start_daemon(
            name,
            role="balancer",
            public={"ip": public.ip, "port": public.port},
            **extra,
        )

    def start_agent(
        self,
        name: str,
        *,
        service: str,
        slots: int = 4,
        ramp_ms: int = 0,
        backend: dict[str, Any] | None = None,
        experiment: dict[str, Any] | None = None,
        **extra: Any,
    ) -> None:
        """Starts a backend server stand-in and its agent."""
        if name not in self.backend_ports:
            self.start_backend(name, service=service, **(backend or {}))
        self._start_daemon(
            name,
            role="agent",
            backend={
                "ip": "127.0.0.1",
                "port": self.backend_ports[name],
                "service": service,
                "slots": slots,
                "ramp_ms": ramp_ms,
            }
            | (experiment or {}),
            **extra,
        )

    def start_backend(self, name: str, *, service: str, **extra: Any) -> None:
        """Starts a backend server stand-in."""
        port = self.backend_ports.setdefault(name, free_port())
        options = {"port": port, "name": name, "service": service} | extra
        self.spawn(
            f"{name}-backend",
            "-m",
            "sapphirelift.standins.backend_server",
            json.dumps(options),
        )
        wait_until(lambda: get_json(port, "/runs") is not None)

    def start_fault_proxy(
        self, name: str, *, target: messages.Address, kind: str, seed: int = 1
    ) -> messages.Address:
        """Starts a fault proxy and returns its listening address."""
        listen = messages.Address("127.0.0.1", free_port())
        admin = self.fault_admin_ports.setdefault(name, free_port())
        options = {
            "listen": listen._asdict(),
            "target": messages.Address(*target)._asdict(),
            "admin": {"ip": "127.0.0.1", "port": admin},
            "kind": kind,
            "seed": seed,
        }
        self.spawn(
            name,
            "-m",
            "sapphirelift.standins.fault_proxy",
            json.dumps(options),
        )
        wait_until(lambda: get_json(admin, "/counters") is not None)
        return listen

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a fault proxy and clears all others."""
        post_json(self.fault_admin_ports[name], "/faults", faults)

    def set_platform_faults(self, **faults: Any) -> None:
        """Sets the faults of the platform stand-in and clears all others."""
        post_json(self.platform_port, "/faults", faults)

    def _start_daemon(self, name: str, **values: Any) -> None:
        peer = self.peer_ports.setdefault(name, free_port())
        admin = self.admin_ports.setdefault(name, free_port())
        settings = {
            "name": name,
            "data_centre": "etela-a",
            "peer": {"ip": "127.0.0.1", "port": peer},
            "admin": {"ip": "127.0.0.1", "port": admin},
            "platform_url": self.platform_url,
            "cluster_key_hex": CLUSTER_KEY_HEX,
        } | values
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.spawn(name, "-m", "sapphirelift.daemon", "--settings", str(path))

    def spawn(self, name: str, *arguments: str) -> None:
        """Starts a Python process whose output goes to a log file."""
        log = (self.directory / f"{name}.log").open("ab")
        is_stand_in = any(a.startswith(_STAND_INS) for a in arguments)
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            env=os.environ | (_NO_NAMES if is_stand_in else {}),
        )

    def dump(self, name: str, *, timeout_s: float = 3.0) -> dict[str, Any]:
        """Returns the state dump of a daemon."""
        port = self.admin_ports[name]
        return get_json(port, "/dump", timeout_s=timeout_s)

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Returns the runs that a backend server recorded."""
        return get_json(self.backend_ports[name], "/runs")

    def counters(self, name: str) -> dict[str, int]:
        """Returns the counters of a backend server."""
        return get_json(self.backend_ports[name], "/counters")

    def wait_ready(self, *, agents: int) -> None:
        """Waits until every running balancer knows that many agents."""

        def is_ready() -> bool:
            for name in self.public:
                if self.processes[name].poll() is not None:
                    continue
                members = self.dump(name)["members"].values()
                up = [m for m in members if m["role"] == "agent"]
                if len(up) < agents:
                    return False
            return True

        wait_until(is_ready)

    def terminate(self, name: str) -> None:
        """Asks a process to stop gracefully."""
        self.processes[name].send_signal(signal.SIGTERM)

    def wait_exit(self, name: str, *, timeout_s: float = 30.0) -> int:
        """Waits for a process to end and returns its exit status."""
        return self.processes[name].wait(timeout_s)

    def freeze(self, name: str) -> None:
        """Suspends a process until ``resume``."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Returns whether a process was started and has not ended."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        """Kills all processes, including suspended ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def to_json(options: msgspec.Struct) -> str:
    """Encodes the options of a program as its command-line argument."""
    return msgspec.json.encode(options).decode()
