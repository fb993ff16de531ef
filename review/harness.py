"""Runs the packet daemons as processes on loopback, with small stand-ins.

A case builds a `Fleet`, whose clients, targets, router and settings files
follow the users' pages, and writes what it sees to a `Record`.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = REPOSITORY / "target" / "deps"
sys.path[:0] = [str(REPOSITORY), str(DEPENDENCIES)]

from sapphirelift.core.l4 import packet  # noqa: E402
from sapphirelift.platform import packets  # noqa: E402
from sapphirelift.standins import flow_ends  # noqa: E402

REPORT_INTERVAL_MS = 1200
CONTACT_MS = 4000
CONFIG_APPLY_MS = 3000
GRACE_S = 6
PROBE_INTERVAL_S = 0.5
# A reset is valid within this distance of the caller's last acknowledgement.
RESET_WINDOW = 76_800


def has_trouble() -> bool:
    """Returns whether the disruption is to be injected."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP on all addresses."""
    found: list[int] = []
    while len(found) < count:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:8.3f} {text}\n")


async def http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = 1.0,
) -> int:
    """Sends one HTTP request; returns the status, or 0 without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + data)
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Daemon:
    """One process of the project, started as the deploy file says."""

    def __init__(self, fleet: "Fleet", settings: dict[str, Any]) -> None:
        self.settings = settings
        self.name = settings["name"]
        self.ip = settings["ip"]
        self._fleet = fleet
        self._path = fleet.folder / f"{self.name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the settings file and starts the process."""
        self._path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EVENTLET_NO_GREENDNS": "yes",
            "SAPPHIRELIFT_CONFIG": str(self._path),
        }
        with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "sapphirelift.packet_daemon"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._fleet.record.write(f"start {self.name}")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._fleet.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, as a loss of power does."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    async def stop(self) -> None:
        """Stops the process by plan: SIGTERM, then SIGKILL after the grace."""
        assert self.process is not None
        self.send(signal.SIGTERM)
        deadline_s = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._fleet.record.write(f"{self.name} has ended")


class Target:
    """A target beside an agent; each object is one start of it."""

    def __init__(
        self,
        fleet: "Fleet",
        agent: Daemon,
        service: str,
        *,
        slots: int = 4,
        cold_ms: int = 0,
    ) -> None:
        self.service = service
        self.agent = agent
        self.id = f"i-{fleet.rng.getrandbits(32):08x}"
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.server = flow_ends.BackendServer(
            fleet.rng,
            self._send,
            call_later=fleet.call_later,
            slots=slots,
            work_ms=10,
        )
        self.opened_order: list[tuple[float, packet.FlowKey]] = []
        self._slots = slots
        self._cold_until_s = time.monotonic() + cold_ms / 1000
        self._fleet = fleet
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Binds its address and begins to report."""
        self._transport = await self._fleet.listen(
            (self.agent.ip, self._fleet.app_port), self._receive
        )
        self._fleet.record.write(
            f"target {self.id} of {self.service} starts at {self.agent.ip}"
        )
        self._reporting = asyncio.create_task(self._report_regularly())

    def _receive(self, data: bytes) -> None:
        received = packets.decode_from_caller(data)
        was_open = received.flow in self.server.opened
        before = self.server.requests.get(received.flow, 0)
        self.server.receive(data)
        if not was_open and received.flow in self.server.opened:
            self.opened_order.append((time.monotonic(), received.flow))
        if self.server.requests.get(received.flow, 0) > before:
            self._fleet.record.write(
                f"run at {self.id} of {self.service}: {received.flow}"
            )
            self._fleet.runs.append((time.monotonic(), received.flow, self))

    def _send(self, data: bytes) -> None:
        if self._transport is not None and self.server.is_alive:
            self._transport.sendto(
                data, (self.agent.ip, self._fleet.outbound_port)
            )

    async def _report_regularly(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(
                REPORT_INTERVAL_MS / 1000 * self._fleet.rng.uniform(0.9, 1.0)
            )

    async def report(self) -> int:
        """Sends one heartbeat and returns the status of the answer."""
        self._sequence += 1
        cold_s = self._cold_until_s - time.monotonic()
        return await http(
            (self.agent.ip, self._fleet.reports_port),
            "PUT",
            f"/v1/instances/{self.id}",
            {
                "Service": self.service,
                "Address": f"{self.agent.ip}:{self._fleet.app_port}",
                "Zone": self.agent.settings["data_centre"],
                "Version": "v1",
                "MaxConcurrency": self._slots,
                "State": self.state,
                "WarmupRemainingMs": max(int(cold_s * 1000), 0),
                "Sequence": self._sequence,
                "born": self.born_ms,
            },
        )

    async def leave(self, drain_s: float) -> None:
        """Drains, says that it leaves and exits."""
        self.state = "draining"
        status = await self.report()
        self._fleet.record.write(f"{self.id} drains, answer {status}")
        await asyncio.sleep(drain_s)
        assert self._reporting is not None
        self._reporting.cancel()
        status = await http(
            (self.agent.ip, self._fleet.reports_port),
            "DELETE",
            f"/v1/instances/{self.id}",
        )
        self._fleet.record.write(f"{self.id} has left, answer {status}")
        self.end()

    def end(self) -> None:
        """Ends the target, as a crash does."""
        self.server.is_alive = False
        if self._reporting is not None:
            self._reporting.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None


class Fleet:
    """Daemons, targets, clients, router and platform of one case."""

    def __init__(self, record: Record, *, seed: int = 1) -> None:
        self.record = record
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        ports = free_ports(9)
        self.packets_port, self.readiness_port = ports[:2]
        self.reports_port, self.outbound_port, self.app_port = ports[2:5]
        self.metrics_port, self.platform_port = ports[5:7]
        self._internal = sorted(ports[7:])
        # Where the daemons reach the store; a proxy may take its place.
        self.store_port = self.platform_port
        self.balancers: list[Daemon] = []
        self.agents: list[Daemon] = []
        self.rotation: set[str] = set()
        self.runs: list[tuple[float, packet.FlowKey, Target]] = []
        self.callers: dict[packet.FlowKey, Caller] = {}
        self._caller_sockets: dict[str, asyncio.DatagramTransport] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def call_later(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        asyncio.get_running_loop().call_later(delay_ms / 1000, call)

    async def listen(
        self, address: tuple[str, int], receive: Callable[[bytes], None]
    ) -> asyncio.DatagramTransport:
        """Binds a UDP socket whose datagrams go to a function."""

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(
                self, data: bytes, addr: tuple[str | Any, int]
            ) -> None:
                del addr
                receive(data)

        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=address
        )
        return transport

    def daemon(
        self, role: str, ip: str, *, zone: str = "a", service: str = ""
    ) -> Daemon:
        """Adds a daemon with the settings that its template makes."""
        settings: dict[str, Any] = {
            "name": f"{role}-{ip}",
            "role": role,
            "ip": ip,
            "data_centre": zone,
            "region": "r",
            "packets": f"{ip}:{self.packets_port}",
            "readiness": f"{ip}:{self.readiness_port}",
            "internal_ports": self._internal,
            "metrics": f"{ip}:{self.metrics_port}",
            "platform": f"127.0.0.1:{self.store_port}",
            "report_interval_ms": REPORT_INTERVAL_MS,
            "contact_ms": CONTACT_MS,
            "stop_timeout_s": GRACE_S,
            "is_first_start": True,
        }
        if role == "agent":
            settings |= {
                "reports": f"{ip}:{self.reports_port}",
                "outbound": f"{ip}:{self.outbound_port}",
                "backend": f"{ip}:{self.app_port}",
                "service": service,
            }
        daemon = Daemon(self, settings)
        (self.balancers if role == "balancer" else self.agents).append(daemon)
        return daemon

    async def start_platform(self) -> None:
        """Starts the store and waits until it answers."""
        process = subprocess.Popen(
            [
                "python3",
                "-S",
                "-m",
                "sapphirelift.standins.platform",
                str(self.platform_port),
            ],
            cwd=REPOSITORY,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(DEPENDENCIES),
                "PYTHONDONTWRITEBYTECODE": "1",
                "EVENTLET_NO_GREENDNS": "yes",
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        await self.wait_for(self._platform_answers, "the platform", 10)

    async def _platform_answers(self) -> bool:
        address = ("127.0.0.1", self.platform_port)
        return await http(address, "GET", "/v1/objects/config") == 200

    async def configure(
        self, version: int, routes: dict[str, str], **service: Any
    ) -> None:
        """Writes a configuration.

        Args:
            version: Its version.
            routes: Service by `IP:PORT` of each route.
            service: Further fields of all services.
        """
        spec = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{number}",
                    "Host": text.partition(":")[0],
                    "PathPrefix": f"/{text.partition(':')[2]}/",
                    "Type": "safe",
                    "TimeoutMs": 1200,
                    "AimMs": 120,
                    "Priority": 1,
                    "MaxAttempts": 2,
                    "Service": name,
                }
                for number, (text, name) in enumerate(routes.items())
            ],
            "Services": [
                {
                    "Name": name,
                    "HealthPath": "/healthz",
                    "MaxConnections": 2000,
                    "Protocol": "h1",
                    "Tls": False,
                    "WarmupS": 2.0,
                    "WarmupPerS": 0.0,
                }
                | service
                for name in sorted(set(routes.values()))
            ],
            "Limits": {"IdleTimeoutMs": 15_000},
        }
        address = ("127.0.0.1", self.platform_port)
        body = {"meta": {"Name": "main"}, "spec": spec}
        status = await http(
            address, "PUT", "/v1/objects/config/main", body, timeout_s=5
        )
        if status == 404:
            status = await http(
                address, "POST", "/v1/objects/config", body, timeout_s=5
            )
        if status != 200:
            raise CannotRunError(f"configuration not accepted: {status}")
        self.record.write(f"configuration {version} acknowledged: {routes}")

    async def start(self) -> None:
        """Starts all daemons and the router."""
        for daemon in (*self.balancers, *self.agents):
            daemon.start()
        self._tasks.append(asyncio.create_task(self._route()))

    async def _route(self) -> None:
        misses = dict.fromkeys((b.ip for b in self.balancers), 2)
        while True:
            answers = await asyncio.gather(
                *(
                    http((ip, self.readiness_port), "GET", "/v1/readyz")
                    for ip in misses
                )
            )
            for ip, status in zip(misses, answers, strict=True):
                misses[ip] = 0 if status == 200 else misses[ip] + 1
            rotation = {ip for ip, missed in misses.items() if missed < 2}
            if rotation != self.rotation:
                self.record.write(f"in rotation: {sorted(rotation)}")
            self.rotation = rotation
            await asyncio.sleep(PROBE_INTERVAL_S)

    def balancer_of(self, flow: packet.FlowKey) -> str:
        """Returns the balancer that the router chooses, by a steady hash."""
        ready = self.rotation or {b.ip for b in self.balancers}
        return max(
            ready,
            key=lambda ip: hashlib.sha256(f"{ip} {flow}".encode()).digest(),
        )

    async def caller(self, flow: packet.FlowKey) -> "Caller":
        """Adds a caller's flow; a former one of the same key is forgotten."""
        ip = packet.ip_text(flow.caller_ip)
        if ip not in self._caller_sockets:
            self._caller_sockets[ip] = await self.listen(
                (ip, self.packets_port), self._receive
            )
        self.callers[flow] = Caller(self, flow)
        return self.callers[flow]

    def _receive(self, data: bytes) -> None:
        received = packets.decode_from_backend(data)
        caller = self.callers.get(received.flow)
        if caller is not None:
            caller.receive(received, data)

    def send(self, flow: packet.FlowKey, data: bytes) -> None:
        """Sends a caller's packet through the router."""
        transport = self._caller_sockets[packet.ip_text(flow.caller_ip)]
        transport.sendto(data, (self.balancer_of(flow), self.packets_port))

    async def wait_for(
        self, condition: Callable[[], Any], what: str, timeout_s: float
    ) -> None:
        """Waits for a condition.

        Raises:
            CannotRunError: It has not come true in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"no {what} within {timeout_s} s")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all processes that this fleet has started."""
        for task in self._tasks:
            task.cancel()
        daemons = [*self.balancers, *self.agents]
        started = [d.process for d in daemons if d.process is not None]
        for process in (*started, *self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs kept in {self.folder.name}")
        else:
            shutil.rmtree(self.folder)


class Caller:
    """The caller's end of one flow."""

    def __init__(self, fleet: Fleet, flow: packet.FlowKey) -> None:
        self.flow = flow
        self.resets: list[float] = []
        self._fleet = fleet
        self._acknowledged = 0
        self._end = flow_ends.CallerFlow(
            flow, fleet.rng, self._send, call_later=fleet.call_later
        )

    @property
    def state(self) -> str:
        """State of the flow."""
        return self._end.state

    @property
    def answers(self) -> int:
        """Number of answers received."""
        return self._end.answers

    @property
    def is_waiting(self) -> bool:
        """Whether a request has not been answered."""
        return self._end.waiting

    def open(self) -> None:
        """Opens the flow."""
        self._fleet.record.write(
            f"open {self.flow} through {self._fleet.balancer_of(self.flow)}"
        )
        self._end.open()

    def open_with_request(self) -> None:
        """Opens the flow and sends a request as soon as it is open."""
        self._end.opens_with_request = True
        self.open()

    def request(self) -> None:
        """Sends a request on the open flow."""
        self._fleet.record.write(f"request {self.flow}")
        self._end.request()

    def close(self) -> None:
        """Closes the flow."""
        self._end.close()

    def _send(self, data: bytes) -> None:
        sent = packets.decode_from_caller(data)
        if sent.is_ack:
            self._acknowledged = sent.acknowledged
        self._fleet.send(self.flow, data)

    def receive(self, received: packet.Packet, data: bytes) -> None:
        """Handles a packet; ignores resets outside of the window."""
        if received.is_reset and self.state == "open":
            distance = (received.sequence - self._acknowledged) & 0xFFFFFFFF
            if min(distance, (1 << 32) - distance) > RESET_WINDOW:
                self._fleet.record.write(f"reset out of window: {self.flow}")
                return
            self.resets.append(time.monotonic())
            self._fleet.record.write(f"reset of open flow {self.flow}")
        answers = self._end.answers
        self._end.receive(data)
        if self._end.answers > answers:
            self._fleet.record.write(f"answer {self.flow}")


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


def flow_key(caller: str, port: int, route: str) -> packet.FlowKey:
    """Returns the key of a flow from a caller to a route `IP:PORT`."""
    host, _, route_port = route.partition(":")
    return packet.FlowKey(
        packets.ip_number(caller),
        port,
        packets.ip_number(host),
        int(route_port),
    )


def main(case: Callable[[Fleet], Any], folder: str) -> None:
    """Runs a case and exits with 1 if a rule was broken, 0 if it held."""
    record = Record(pathlib.Path(folder))
    record.write(f"trouble: {has_trouble()}")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(record, seed=int(os.environ.get("SEED", "1")))
        try:
            async with asyncio.timeout(115):
                return await case(fleet)
        finally:
            await fleet.close()

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Python's own status for an uncaught error would mean a broken rule.
        record.write(f"cannot run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.write("RULE BROKEN" if is_broken else "rule held")
    sys.exit(1 if is_broken else 0)
