"""Starts a small deployment on loopback addresses, with stand-ins around it.

The daemons are the project's own programs, started with the commands of the
deploy file and with settings made from its templates. The object store, the
routers, the clients and the targets are stand-ins in the process of the case.
"""

import contextlib
import functools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.request
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event
import eventlet.wsgi
import xxhash

from sapphirelift.bench import fleet
from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import platform

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
ROUTE_IP = "127.198.0.1"
ROUTE_PORT = 443
REGION = "jm-south"
# Names and figures of the small deployments.
CONTACT_S = 4.0
GRACE_S = 6
HEARTBEAT_MS = 1200
PROBE_S = 0.5
CALL_TIMEOUT_S = 1.0
RESTART_S = 0.5
START_TIMEOUT_S = 25.0
# Time after which a case is given up.
LIMIT_S = 105.0

# Greatest distance of a valid reset from the client's last acknowledgement.
MAX_RESET_DISTANCE = 76_800

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """Raised if a case could not be played."""


class Reset(NamedTuple):
    """A reset of a flow that was open at a target that lives.

    Attributes:
        at_s: When the client got it.
        holder: Machine of the flow's target.
        sender: Machine that has sent it.
    """

    at_s: float
    holder: str
    sender: str


class Record:
    """Writes what happened to a file, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of settings as the platform does."""

    def look_up(name: str, scopes: list[Any]) -> Any:
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list):
                    index = int(part) if part.isdecimal() else len(value)
                    value = value[index] if index < len(value) else None
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def fill(text: str, scopes: list[Any]) -> str:
        section = re.search(
            r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", text, re.DOTALL
        )
        if section is not None:
            kind, name, inner = section.groups()
            value = look_up(name, scopes)
            is_present = value is not None and value is not False
            shown = ""
            if is_present == (kind == "#"):
                shown = fill(inner, scopes)
            return (
                fill(text[: section.start()], scopes)
                + shown
                + fill(text[section.end() :], scopes)
            )

        def value_of(match: re.Match[str]) -> str:
            value = look_up(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)

    return fill(template, [fields])


class Store(platform.PlatformApp):
    """The project's object store, with writes that are done late.

    Attributes:
        is_held: Tells of a write, by method, kind and name, whether it gets no
            answer and is done late.
        late_s: How much later.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.is_held: Callable[[str, str, str], bool] = lambda *call: False
        self.late_s = 0.0
        self._record = record

    def _handle(self, environ: dict[str, Any]) -> tuple[str, Any]:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].removeprefix("/v1/objects/")
        kind, _, name = path.partition("/")
        caller = environ.get("HTTP_USER_AGENT", "").rpartition("/")[2]
        if method == "GET":
            return super()._handle(environ)
        if self.is_held(method, kind, name):
            self._record.write(
                f"store: {method} {path} of {caller}: no answer, done "
                f"{self.late_s:.1f} s later"
            )
            eventlet.spawn_after(self.late_s, self._do_late, dict(environ))
            eventlet.event.Event().wait()
        status, body = super()._handle(environ)
        self._record.write(f"store: {method} {path} of {caller}: {status}")
        return status, body

    def _do_late(self, environ: dict[str, Any]) -> None:
        status, _ = super()._handle(environ)
        self._record.write(
            f"store: {environ['REQUEST_METHOD']} {environ['PATH_INFO']} "
            f"is done now: {status}"
        )


class Server(flow_ends.BackendServer):
    """A target's process; closes its flows one by one while it drains.

    Attributes:
        is_draining: Whether each flow is closed after its next response.
    """

    is_draining = False
    # Spread of the work of a request around its mean.
    spread = 0.0
    # Called with each flow of which an opening packet has been taken.
    on_taken: Callable[[packet.FlowKey], None] = staticmethod(lambda flow: None)

    def _on_syn(self, received: packet.Packet, entry: Any) -> None:
        former = self._flows.get(received.flow)
        super()._on_syn(received, entry)
        if self._flows.get(received.flow) is not former:
            self.on_taken(received.flow)

    def _start_request(self, flow: packet.FlowKey) -> None:
        work_ms = self._work_ms
        if self.spread:
            factor = self._rng.lognormvariate(0.0, self.spread)
            self._work_ms = max(round(work_ms * factor), 1)
        super()._start_request(flow)
        self._work_ms = work_ms

    def _send_response(
        self, flow: packet.FlowKey, attempt: int, data: bytes = b"answer"
    ) -> None:
        super()._send_response(flow, attempt, data)
        entry = self._flows.get(flow)
        if entry is not None and self.is_alive and self.is_draining:
            closing = flow_ends.FIN | flow_ends.ACK
            self._send(
                flow_ends.from_backend(
                    flow,
                    closing,
                    sequence=(entry.sequence + len(data)) & 0xFFFFFFFF,
                    acknowledged=entry.expected,
                )
            )


class Target:
    """A target beside its agent.

    Attributes:
        name: Name of its machine.
        ip: Address of its machine.
        server: The process of its current start.
    """

    def __init__(
        self,
        case: "Case",
        name: str,
        ip: str,
        zone: str,
        service: str,
        slots: int,
        work_ms: int,
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.service, self.slots, self.work_ms = service, slots, work_ms
        self.state = "ready"
        self._case = case
        self._number = 0
        self.start()

    def start(self, *, clock_ahead_ms: int = 0) -> None:
        """Starts the process anew; it knows nothing of before.

        Args:
            clock_ahead_ms: By how much the time of day of its machine is ahead
                at this moment.
        """
        ports = self._case.ports
        self.state, self._number = "ready", 0
        self._born_ms = time.time_ns() // 1_000_000 + clock_ahead_ms
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.ip, ports["app"]))
        self._listener = eventlet.listen((self.ip, ports["app"]))
        self.server = Server(
            self._case.rng,
            functools.partial(self._send, self._socket),
            slots=self.slots,
            queue=4 * self.slots,
            work_ms=self.work_ms,
            call_later=self._case.call_later,
        )
        self._tasks = [
            eventlet.spawn(self._receive, self.server, self._socket),
            eventlet.spawn(self._accept, self._listener),
        ]
        eventlet.spawn(self._report_until_exit, self.server)

    def _send(self, sender: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            sender.sendto(data, (self.ip, self._case.ports["outbound"]))

    def _receive(self, server: Server, received_at: socket.socket) -> None:
        while server.is_alive:
            data = received_at.recv(2048)
            if server.is_alive:
                server.receive(data)

    def _accept(self, listener: Any) -> None:
        while True:
            connection, _ = listener.accept()
            connection.close()

    def _report_until_exit(self, server: Server) -> None:
        while server.is_alive and self.state != "gone":
            eventlet.spawn(self._report)
            eventlet.sleep(HEARTBEAT_MS / 1000)

    def _call(self, method: str, body: dict[str, Any]) -> bool:
        url = (
            f"http://{self.ip}:{self._case.ports['control']}"
            f"/v1/instances/i-{self.name}"
        )
        request = urllib.request.Request(
            url,
            data=json.dumps(body).encode(),
            method=method,
            headers={"Content-Type": "application/json"},
        )
        try:
            urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def _report(self) -> bool:
        self._number += 1
        return self._call(
            "PUT",
            {
                "Service": self.service,
                "Address": f"{self.ip}:{self._case.ports['app']}",
                "Zone": self.zone,
                "Version": "v1",
                "MaxConcurrency": self.slots,
                "State": self.state,
                "WarmupRemainingMs": 0,
                "Sequence": self._number,
                "born": self._born_ms,
            },
        )

    def leave(self, *, drain_s: float) -> None:
        """Drains, says that it leaves, and exits."""
        self.state = "draining"
        self.server.is_draining = True
        while not self._report():
            eventlet.sleep(0.1)
        self._case.record.write(f"target {self.name}: draining, acknowledged")
        eventlet.sleep(drain_s)
        self.state = "gone"
        is_acked = self._call("DELETE", {"born": self._born_ms})
        self._case.record.write(
            f"target {self.name}: DELETE, "
            f"{'acknowledged' if is_acked else 'no ack'}; exits"
        )
        self.exit()

    def exit(self) -> None:
        """Ends the process; its sockets are closed."""
        self.server.is_alive = False
        for task in self._tasks:
            task.kill()
        self._listener.close()
        self._socket.close()


class Client(flow_ends.CallerFlow):
    """A client's end of a flow, which also takes the server's FIN.

    Attributes:
        opened_s: When it opened; None if it has not.
    """

    opened_s: float | None = None

    def is_reset_by(self, received: packet.Packet) -> bool:
        """Returns whether a reset has a valid sequence number."""
        if self.state != "open":
            return True
        ahead = (received.sequence - self._expected) & 0xFFFFFFFF
        return min(ahead, (1 << 32) - ahead) <= MAX_RESET_DISTANCE

    def receive(self, data: bytes) -> None:
        """Handles a packet for this flow."""
        received = packets.decode_from_backend(data)
        if received.is_reset and not self.is_reset_by(received):
            return
        super().receive(data)
        if received.is_fin and self.state == "open":
            self._send_flags(flow_ends.FIN | flow_ends.ACK)
            self.state = "closed"


class Case:
    """A deployment and what happens to it.

    Attributes:
        has_trouble: Whether the disruption is played.
        record: What was sent, answered and run.
        resets: Resets of flows that were open at a target that lives.
    """

    def __init__(self, folder: pathlib.Path, *, seed: int = 1) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.resets: list[Reset] = []
        # When each daemon was started last.
        self._started_s: dict[str, float] = {}
        self.targets: dict[str, Target] = {}
        self.rotation: dict[str, dict[str, bool]] = {}
        self.requests = self.answers = 0
        # Zone to which half of the clients have moved.
        self.shifted_to: str | None = None
        self._network = 64 + os.getpid() % 60
        self.client_ip = f"127.{self._network}.0.7"
        names = ("packets", "readiness", "control", "outbound", "app")
        self.ports = {name: fleet.free_port() for name in names}
        first, last = sorted((fleet.free_port(), fleet.free_port()))
        self._port_range = [first, last]
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._fields: dict[str, dict[str, Any]] = {}
        self._started: set[str] = set()
        self._clients: dict[packet.FlowKey, Client] = {}
        self._next_port = 20_000
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.client_ip, self.ports["packets"]))
        with (REPOSITORY / "deploy/system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.store = Store(self.record)
        listener = eventlet.listen(("127.0.0.1", 0))
        self._store_address = f"127.0.0.1:{listener.getsockname()[1]}"
        eventlet.spawn(
            eventlet.wsgi.server, listener, self.store, log_output=False
        )
        eventlet.spawn(self._receive)

    def call_later(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Makes a call after a delay."""
        eventlet.spawn_after(delay_ms / 1000, call)

    # Processes.

    def add_machine(
        self, name: str, *, zone: str, number: int, service: str = ""
    ) -> None:
        """Describes a machine; a balancer, or with a service an agent."""
        ip = f"127.{self._network}.{2 if service else 1}.{number}"
        addresses = {
            "DatagramListener": f"{ip}:{self.ports['packets']}",
            "Readiness": f"{ip}:{self.ports['readiness']}",
        }
        if service:
            addresses["ControlPlane"] = f"{ip}:{self.ports['control']}"
            addresses["outbound"] = f"{ip}:{self.ports['outbound']}"
        self._fields[name] = {
            "NodeName": name,
            "Role": "agent" if service else "balancer",
            "Ip": ip,
            "Zone": zone,
            "Region": REGION,
            "BindAddresses": addresses,
            "PortRange": self._port_range,
            "HeartbeatMs": HEARTBEAT_MS,
            "Bounds": {"ContactMs": round(CONTACT_S * 1000), "GraceS": GRACE_S},
            "platform": {"Address": self._store_address},
        }
        if service:
            self._fields[name] |= {
                "Service": service,
                "app": f"{ip}:{self.ports['app']}",
            }
        else:
            self.rotation.setdefault(zone, {})

    def ip_of(self, name: str) -> str:
        """Returns the address of a machine."""
        ip: str = self._fields[name]["Ip"]
        return ip

    def zone_of(self, name: str) -> str:
        """Returns the zone of a machine."""
        zone: str = self._fields[name]["Zone"]
        return zone

    def start(self, name: str, *, is_first_start: bool = False) -> None:
        """Starts the daemon of a machine with the command of its role."""
        fields = self._fields[name] | {"Bootstrap": is_first_start}
        role = self._roles[fields["Role"]]
        template = (REPOSITORY / role["template"]).read_text()
        path = self._folder / f"{name}.json"
        path.write_text(render(template, fields))
        variables = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        variables |= role.get("env", {})
        variables |= {
            "SAPPHIRELIFT_CONFIG": str(path),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            role["run"].split(),
            cwd=REPOSITORY,
            env=variables,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._started_s[name] = self.record.now_s()
        self.record.write(f"machine {name}: started")
        if not self._fields[name].get("Service") and name not in self._started:
            self._started.add(name)
            eventlet.spawn(self._probe, name)

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a daemon that this case started."""
        self.record.write(f"machine {name}: {signal.Signals(number).name}")
        self._processes[name].send_signal(number)

    def restart(self, name: str) -> None:
        """Stops a daemon by plan and starts it again."""
        self.signal(name, signal.SIGTERM)
        process = self._processes[name]
        limit_s = self.record.now_s() + GRACE_S
        while process.poll() is None:
            if self.record.now_s() > limit_s:
                self.signal(name, signal.SIGKILL)
                limit_s += GRACE_S
            eventlet.sleep(0.02)
        self.record.write(f"machine {name}: exited {process.returncode}")
        eventlet.sleep(RESTART_S)
        self.start(name)

    def add_target(self, name: str, *, slots: int, work_ms: int) -> None:
        """Starts the target beside an agent."""
        fields = self._fields[name]
        self.targets[name] = Target(
            self,
            name,
            fields["Ip"],
            fields["Zone"],
            fields["Service"],
            slots,
            work_ms,
        )

    def ended(self) -> list[str]:
        """Returns the daemons that have ended by themselves."""
        return [
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        ]

    def log_of(self, name: str) -> str:
        """Returns what a daemon has written so far."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes that were started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    # The operator.

    def write_configuration(
        self, version: int, services: dict[int, str], **limits: Any
    ) -> None:
        """Writes a configuration; ``services`` names that of each port."""
        value = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"route-{port}",
                    "Host": ROUTE_IP,
                    "PathPrefix": f"/{port}/",
                    "Service": service,
                    "Type": "safe",
                    "TimeoutMs": limits.get("timeout_ms", 1200),
                    "AimMs": 120,
                    "Priority": 2,
                }
                for port, service in services.items()
            ],
            "Services": [
                {"Name": name, "MaxConnections": 2000, "WarmupPerS": 42.0}
                for name in sorted(set(services.values()))
            ],
            "Limits": {"IdleTimeoutMs": 12_000},
        }
        self.store.store.put("config", "main", value)
        self.record.write(f"operator: version {version} acknowledged")

    # Routers and clients.

    def _probe(self, name: str) -> None:
        url = f"http://{self.ip_of(name)}:{self.ports['readiness']}/v1/readyz"
        rotation = self.rotation[self.zone_of(name)]
        rotation[name] = False
        misses = 2
        while True:
            try:
                urllib.request.urlopen(url, timeout=PROBE_S).close()
                misses = 0
            except OSError:
                misses += 1
            is_in = misses < 2 if rotation[name] else misses == 0
            if is_in != rotation[name]:
                rotation[name] = is_in
                self.record.write(
                    f"routers: {name} {'in' if is_in else 'out of'} rotation"
                )
            eventlet.sleep(PROBE_S)

    def route(self, flow: packet.FlowKey, zone: str) -> str | None:
        """Returns the machine that gets the packets of a flow (``steady``)."""
        daemons = self.rotation[zone]
        chosen = [name for name, is_in in daemons.items() if is_in]
        if 2 * len(chosen) < len(daemons):
            chosen = list(daemons)
        return max(
            chosen,
            key=lambda name: xxhash.xxh64_intdigest(f"{flow} {name}".encode()),
            default=None,
        )

    def zone_now(self, flow: packet.FlowKey, zone: str) -> str:
        """Returns the zone in which the client of a flow is now."""
        if self.shifted_to is not None and flow.caller_port % 2:
            return self.shifted_to
        return zone

    def new_client(self, zone: str, port: int = ROUTE_PORT) -> Client:
        """Returns a client's end of a flow that is not open yet."""
        self._next_port += 1
        flow = packet.FlowKey(
            packets.ip_number(self.client_ip),
            self._next_port,
            packets.ip_number(ROUTE_IP),
            port,
        )

        def send(data: bytes) -> None:
            name = self.route(flow, self.zone_now(flow, zone))
            if name is not None:
                address = (self.ip_of(name), self.ports["packets"])
                self._socket.sendto(data, address)

        client = Client(
            flow,
            random.Random(self.rng.random()),
            send,
            call_later=self.call_later,
        )
        self._clients[flow] = client
        return client

    def forget(self, client: Client) -> None:
        """Forgets a flow that has ended."""
        self._clients.pop(client.flow, None)

    def holder(self, flow: packet.FlowKey) -> Target | None:
        """Returns the living target that has a flow open."""
        for target in self.targets.values():
            if target.server.holds(flow):
                return target
        return None

    def _receive(self) -> None:
        while True:
            data, source = self._socket.recvfrom(2048)
            received = packets.decode_from_backend(data)
            client = self._clients.get(received.flow)
            if client is None:
                continue
            was_open = client.state == "open"
            client.receive(data)
            if client.state == "open" and client.opened_s is None:
                client.opened_s = self.record.now_s()
            if received.is_reset and client.state == "reset":
                self._on_reset(client, was_open, source[0])

    def _on_reset(self, client: Client, was_open: bool, source: str) -> None:
        sender = next(
            (n for n, f in self._fields.items() if f["Ip"] == source), source
        )
        holder = self.holder(client.flow)
        if not was_open or holder is None:
            return
        now_s = self.record.now_s()
        open_s = now_s - (client.opened_s or 0.0)
        self.record.write(
            f"client: flow {client.flow}, open at living target {holder.name} "
            f"for {open_s:.3f} s, is reset by {sender}"
            f"{', request in progress' if client.waiting else ''}"
        )
        self.resets.append(Reset(now_s, holder.name, sender))

    def is_in_touch(self, reset: Reset) -> bool:
        """Returns whether both daemons had run for long enough."""
        return all(
            reset.at_s - self._started_s.get(name, reset.at_s) >= CONTACT_S
            for name in (reset.holder, reset.sender)
        )

    def use_flow(
        self,
        client: Client,
        *,
        pause_s: float,
        limit_s: float,
        requests: int,
        ends: bool = True,
    ) -> str:
        """Opens a flow unless it is open, and sends requests on it.

        Args:
            client: The client's end of the flow.
            pause_s: Mean pause after a request.
            limit_s: Time limit of a request.
            requests: Number of requests.
            ends: Whether to close the flow.

        Returns:
            The state of the flow, or ``deadline``.
        """
        if client.opened_s is None:
            client.open()
        while client.state == "opening":
            eventlet.sleep(0.01)
        for _ in range(requests):
            if client.state != "open":
                break
            answers = client.answers
            self.requests += 1
            client.request()
            end_s = self.record.now_s() + limit_s
            while (
                client.state == "open"
                and client.waiting
                and self.record.now_s() < end_s
            ):
                eventlet.sleep(0.005)
            self.answers += client.answers - answers
            if client.state == "open" and client.waiting:
                client.close()
                return "deadline"
            eventlet.sleep(pause_s * self.rng.uniform(0.5, 1.5))
        if ends:
            client.close()
        return client.state

    def keep_session(
        self, zone: str, *, pause_s: float, requests: tuple[int, int]
    ) -> None:
        """Uses one flow after the other for ever.

        Args:
            zone: Zone of the client.
            pause_s: Mean pause between two requests.
            requests: Least and greatest number of requests on one flow.
        """
        while True:
            client = self.new_client(zone)
            self.use_flow(
                client,
                pause_s=pause_s,
                limit_s=1.2,
                requests=self.rng.randint(*requests),
            )
            self.forget(client)
            eventlet.sleep(0.05)

    def wait_until(
        self, condition: Callable[[], bool], what: str, timeout_s: float
    ) -> None:
        """Waits for a condition.

        Raises:
            CaseError: It did not hold in time.
        """
        end_s = self.record.now_s() + timeout_s
        while not condition():
            if self.record.now_s() > end_s:
                raise CaseError(f"{what}: not within {timeout_s} s")
            eventlet.sleep(0.05)

    def is_all_in_rotation(self) -> bool:
        """Returns whether all started balancers get packets."""
        return all(
            is_in
            for daemons in self.rotation.values()
            for is_in in daemons.values()
        )


def main(folder: pathlib.Path, play: Callable[[Case], bool]) -> None:
    """Plays a case and exits with its outcome.

    Args:
        folder: Folder of the case.
        play: Plays it; returns whether the rule was kept.
    """
    try:
        case = Case(folder)
    except Exception:
        traceback.print_exc()
        os._exit(NOT_RUN)
    try:
        with eventlet.Timeout(LIMIT_S, CaseError("it took too long")):
            is_kept = play(case)
        ended = case.ended()
        if ended:
            case.record.write(f"ended by themselves: {ended}")
        case.record.write(
            f"{case.requests} requests, {case.answers} answers; "
            f"{'the rule was kept' if is_kept else 'the rule was broken'}"
        )
        status = HELD if is_kept else BROKEN
    except Exception as error:
        # An error of the case itself is not a broken rule.
        case.record.write(f"could not run: {error!r}")
        traceback.print_exc()
        status = NOT_RUN
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(status)
