"""Plays one seeded soak run of packet daemons as real processes.

``python -m sapphirelift.bench.soak OPTIONS``, with ``Options`` as JSON, prints
what was seen and each broken promise. Faults come in bursts with calm times in
between, in which the bounds hold; callers, operators and the promises that may
never be broken go on all the time.
"""

import functools
import json
import math
import pathlib
import random
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
import xxhash

from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.bench import fleet as fleet_module
from sapphirelift.bench import packet_fleet
from sapphirelift.bench import soak_backend
from sapphirelift.bench import soak_judge
from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.platform import store as store_module
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_writers

CALLER_IP = "127.61.0.7"
ROUTE_IP = "198.18.0.1"
MAIN_ROUTE = 443
FIRST_ROUTE = 2000
MAX_ROUTES = 6
DATA_CENTRES = ("a", "b")
# Number of versions that a copy of the store lacks.
LOST_CHANGES = (1, 2, 8)
BURST_S = 5.0
CALM_S = 11.0
# Age of the copy from which the store returns.
COPY_AGE_S = (0.5, 3.0)
# Longer than the operators take to write again what the store has lost.
MAX_REWRITE_S = 1.5
RESTART_S = 0.6
# The same for a planned stop.
PLANNED_RESTART_S = (0.3, 5.0)
# A started daemon is ready within this time.
START_S = 2.0
ANSWER_TIMEOUT_S = 6.0
# A machine with other work stalls processes. A daemon that answers a check
# later than this, and everything while the soak itself stalls, is disrupted.
STALL_S = 0.4
# Time between two troubles of backend servers, and until what a wrong report
# says about one is overcome.
SERVER_TROUBLE_S = (1.0, 4.0)
SETTLED_S = 4.0
# Packets of one request at servers that do not have its flow, from which it
# counts as misrouted if its own server has got none after this time.
MISROUTED_PACKETS = 3
MISROUTED_S = 2.0
TICK_S = 0.05
# Work of a request at the servers of a short service, one after the other.
SHORT_WORK_MS = (20, 100, 40)
ALL_DECISIONS = {
    "queues_requests": True,
    "admits_by_priority": True,
    "places_by_expected_time": True,
    "extra_openings_percent": 10,
}


class Options(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a run.

    Attributes:
        directory: Directory for settings and logs.
        agents: Number of agents, spread over two data centres.
        sessions: Number of callers that use one flow for many requests.
        is_short: Whether servers have one slot and uneven speeds, and daemons
            take all decisions under load.
    """

    directory: str
    seed: int = 1
    duration_s: float = 30.0
    balancers: int = 3
    agents: int = 4
    sessions: int = 12
    is_short: bool = False


class _Instance:
    """An instance with its daemon and, beside an agent, a backend server."""

    def __init__(self, name: str, ip: str, data_centre: str) -> None:
        self.name = name
        self.ip = ip
        self.data_centre = data_centre
        self.starts = 0
        self.is_stopped_by_soak = False


class _Operator:
    """Writes configurations and evacuations, again if the store loses them.

    Attributes:
        versions: Versions sent so far.
        evacuations: Evacuations that the store has acknowledged.
        pending_changes: Number of versions to write without a pause.
    """

    def __init__(
        self,
        url: str,
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self.versions: list[soak_judge.Version] = []
        self.evacuations: list[soak_judge.Evacuation] = []
        self.pending_changes = 0
        self._store = store_module.Store(url, name="operator", calls_per_s=1000)
        self._rng = rng
        self._now_s = now_s
        self._rewrite_s = math.inf
        self._evacuated: str | None = None

    def on_restored(self) -> None:
        """Notices that the store may have lost what was written."""
        self._rewrite_s = self._now_s() + self._rng.uniform(0, MAX_REWRITE_S)

    def run(self) -> None:
        """Changes the configuration and evacuations for ever."""
        rng = self._rng
        next_version_s = self._now_s() + 1.0
        next_evacuation_s = self._now_s() + self._rng.uniform(2, 8)
        while True:
            eventlet.sleep(0.05)
            now_s = self._now_s()
            if now_s >= self._rewrite_s:
                self._rewrite_s = math.inf
                self._retry(self._rewrite)
            elif now_s >= next_version_s or self.pending_changes:
                self.change_routes()
                self.pending_changes = max(self.pending_changes - 1, 0)
                pause_s = 0 if self.pending_changes else rng.uniform(0.5, 4)
                next_version_s = self._now_s() + pause_s
            elif now_s >= next_evacuation_s:
                self._change_evacuation()
                next_evacuation_s = self._now_s() + self._rng.uniform(3, 9)

    def change_routes(self) -> None:
        """Adds a route, and at times drops one."""
        former = self.versions[-1] if self.versions else None
        number = former.number + self._rng.randint(1, 3) if former else 1
        routes = set(former.routes if former else {MAIN_ROUTE})
        added = sorted(routes - {MAIN_ROUTE})
        if len(added) >= MAX_ROUTES or (added and self._rng.random() < 0.5):
            routes.remove(self._rng.choice(added))
        routes.add(FIRST_ROUTE + number)
        version = soak_judge.Version(
            number, frozenset(routes), self._now_s(), math.inf
        )
        self.versions.append(version)
        self._retry(self._write_configuration)
        self.versions[-1] = version._replace(acknowledged_s=self._now_s())

    def _write_configuration(self) -> None:
        version = self.versions[-1]
        value = packet_writers.configuration(
            version=version.number,
            route_ip=ROUTE_IP,
            ports=sorted(version.routes),
        )
        try:
            self._store.replace("config", "main", value)
        except errors.ConflictError:
            self._store.create("config", "main", value)

    def _change_evacuation(self) -> None:
        if self._evacuated is not None:
            self.evacuations[-1] = self.evacuations[-1]._replace(
                ended_s=self._now_s()
            )
            self._evacuated = None
            self._retry(self._write_evacuation)
            return
        self._evacuated = self._rng.choice(DATA_CENTRES)
        self._retry(self._write_evacuation)
        self.evacuations.append(
            soak_judge.Evacuation(self._evacuated, self._now_s(), math.inf)
        )

    def _write_evacuation(self) -> None:
        listed = {o.name for o in self._store.list_kind("evacuations").objects}
        wanted = {self._evacuated} if self._evacuated is not None else set()
        for name in listed - wanted:
            self._store.delete("evacuations", name)
        for name in wanted - listed:
            self._store.create("evacuations", name, {})

    def _rewrite(self) -> None:
        self._write_configuration()
        self._write_evacuation()

    def _retry(self, write: Callable[[], None]) -> None:
        while True:
            try:
                write()
                return
            except (errors.PlatformUnavailableError, errors.ConflictError):
                eventlet.sleep(0.1)


class Soak:
    """Processes, callers and faults of one run."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        # Apart, so that the faults of a seed do not depend on the servers.
        self._server_rng = random.Random(f"servers {options.seed}")
        self._started_s = time.monotonic()
        self._fleet = fleet_module.Fleet(pathlib.Path(options.directory))
        self._ports = packet_fleet.Ports()
        self._balancers = [
            _Instance(f"balancer-{n}", f"127.61.1.{n}", DATA_CENTRES[n % 2])
            for n in range(1, options.balancers + 1)
        ]
        self._agents = [
            _Instance(f"agent-{n}", f"127.61.2.{n}", DATA_CENTRES[n % 2])
            for n in range(1, options.agents + 1)
        ]
        self._instances = [*self._agents, *self._balancers]
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((CALLER_IP, self._ports.packets))
        self._callers: dict[packet.FlowKey, flow_ends.CallerFlow] = {}
        self._next_port = 10_000
        self._rotation: list[_Instance] = []
        self._disruptions = soak_judge.Disruptions()
        self._attempts: list[soak_judge.Attempt] = []
        self._broken: list[soak_judge.BrokenFlow] = []
        self.faults: list[str] = []
        self.exchanges = 0

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s

    def run(self) -> soak_judge.Record:
        """Plays the run and returns what was seen."""
        self._fleet.start_platform()
        self._operator = _Operator(
            self._fleet.platform_url,
            random.Random(self._rng.random()),
            self._now_s,
        )
        self._operator.change_routes()
        self._backends = {
            agent.name: soak_backend.SoakBackend(
                ip=agent.ip,
                data_centre=agent.data_centre,
                ports=self._ports,
                rng=self._server_rng,
                server_rng=self._rng,
                capacity=self._capacity_of(agent),
            )
            for agent in self._agents
        }
        for instance in self._instances:
            self._start(instance)
        for backend in self._backends.values():
            backend.run()
        for balancer in self._balancers:
            tasks.spawn(
                "readiness", functools.partial(self._check_readiness, balancer)
            )
        tasks.spawn("receive", self._receive)
        tasks.spawn("stalls", self._watch_stalls)
        with eventlet.Timeout(20):
            while len(self._rotation) < len(self._balancers):
                eventlet.sleep(0.1)
        # Balancers learn of all agents.
        eventlet.sleep(START_S)
        end_s = self._now_s() + self._options.duration_s
        tasks.spawn("operator", self._operator.run)
        for _ in range(self._options.sessions):
            tasks.spawn("session", self._use_session)
        tasks.spawn("attempts", self._attempt_for_ever)
        tasks.spawn("servers", self._trouble_servers)
        while self._now_s() < end_s:
            self._play_burst()
            eventlet.sleep(BURST_S + CALM_S * self._rng.uniform(0.8, 1.2))
        return soak_judge.Record(
            [agent.name for agent in self._agents],
            self._operator.versions,
            self._operator.evacuations,
            self._attempts,
            self._broken,
            self._disruptions,
        )

    def find_failures(self) -> list[str]:
        """Returns tasks and daemons that have failed on their own."""
        found = [f"soak failed: {name}" for name in tasks.failures]
        for instance in self._instances:
            process = self._fleet.processes[instance.name]
            if process.poll() is not None and not instance.is_stopped_by_soak:
                found.append(f"ended: {instance.name}, {process.returncode}")
            log = self._fleet.directory / f"{instance.name}.log"
            if "task_failed" in log.read_text():
                found.append(f"failed task: {instance.name}")
        return found

    def close(self) -> None:
        """Ends all processes."""
        self._fleet.close()
        self._socket.close()

    def _capacity_of(self, agent: _Instance) -> soak_backend.Capacity:
        if not self._options.is_short:
            return soak_backend.Capacity()
        index = self._agents.index(agent)
        work_ms = SHORT_WORK_MS[index % len(SHORT_WORK_MS)]
        return soak_backend.Capacity(slots=1, max_running=1, work_ms=work_ms)

    # Daemons.

    def _start(self, instance: _Instance) -> None:
        role = instance.name.partition("-")[0]
        settings = packet_fleet.daemon_settings(
            self._ports,
            ip=instance.ip,
            role=role,
            platform_port=self._fleet.platform_port,
            data_centre=instance.data_centre,
        ) | {"name": instance.name}
        if self._options.is_short:
            settings["load"] = ALL_DECISIONS
        path = self._fleet.directory / f"{instance.name}.json"
        path.write_text(json.dumps(settings))
        instance.starts += 1
        instance.is_stopped_by_soak = False
        self._fleet.spawn(
            instance.name,
            "-m",
            "sapphirelift.packet_daemon",
            "--settings",
            str(path),
        )

    def _check_readiness(self, balancer: _Instance) -> None:
        """Puts a balancer into rotation and takes it out, as the fabric does.

        Two checks half a second apart must fail.
        """
        url = f"http://{balancer.ip}:{self._ports.readiness}/v1/readyz"
        misses = 2
        while True:
            from_s = self._now_s()
            misses = 0 if soak_backend.call_http(url) else misses + 1
            if self._now_s() - from_s > STALL_S:
                self._disruptions.add(balancer.name, from_s, self._now_s())
            if misses == 0 and balancer not in self._rotation:
                self._rotation.append(balancer)
            if misses == 2 and balancer in self._rotation:
                self._rotation.remove(balancer)
            eventlet.sleep(0.5)

    def _watch_stalls(self) -> None:
        """Records the times at which the soak itself was not scheduled."""
        while True:
            from_s = self._now_s()
            eventlet.sleep(TICK_S)
            if self._now_s() - from_s > STALL_S:
                self._log_fault(f"stalled {self._now_s() - from_s:.1f} s")
                for instance in self._instances:
                    self._disruptions.add(instance.name, from_s, self._now_s())

    # Callers.

    def _receive(self) -> None:
        while True:
            data = self._socket.recv(2048)
            caller = self._callers.get(packets.decode_from_backend(data).flow)
            if caller is None:
                continue
            was_open = caller.state == "open"
            caller.receive(data)
            if was_open and caller.state == "reset":
                self._on_broken(caller)

    def _new_flow(
        self, route: int, balancer: Callable[[packet.FlowKey], _Instance | None]
    ) -> flow_ends.CallerFlow:
        self._next_port += 1
        flow = packet.FlowKey(
            packets.ip_number(CALLER_IP),
            self._next_port,
            packets.ip_number(ROUTE_IP),
            route,
        )

        def send(data: bytes) -> None:
            chosen = balancer(flow)
            if chosen is not None:
                self._socket.sendto(data, (chosen.ip, self._ports.packets))

        caller = flow_ends.CallerFlow(
            flow,
            random.Random(self._next_port),
            send,
            call_later=soak_backend.call_later,
        )
        self._callers[flow] = caller
        return caller

    def _route_packet(self, flow: packet.FlowKey) -> _Instance | None:
        """Returns the balancer that the fabric sends a flow's packets to."""
        return max(
            self._rotation,
            key=lambda b: xxhash.xxh64_intdigest(f"{flow} {b.name}".encode()),
            default=None,
        )

    def _holder(self, flow: packet.FlowKey) -> _Instance | None:
        for agent in self._agents:
            if self._backends[agent.name].server.holds(flow):
                return agent
        return None

    def _stray_packets(self, flow: packet.FlowKey) -> int:
        return sum(
            backend.server.stray_packets.get(flow, 0)
            for backend in self._backends.values()
        )

    def _requests_received(self, flow: packet.FlowKey) -> int:
        agent = self._holder(flow)
        if agent is None:
            return 0
        return self._backends[agent.name].server.requests.get(flow, 0)

    def _wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        end_s = self._now_s() + timeout_s
        while not condition() and self._now_s() < end_s:
            eventlet.sleep(0.005)

    def _attempt_for_ever(self) -> None:
        """Opens flows to present, dropped and unknown routes."""
        while True:
            eventlet.sleep(self._rng.uniform(0.01, 0.05))
            eventlet.spawn(self._attempt)

    def _attempt(self) -> None:
        if not self._rotation:
            return
        balancer = self._rng.choice(self._rotation)
        versions = self._operator.versions[-3:]
        known = sorted({port for v in versions for port in v.routes})
        route = self._rng.choice([*known, FIRST_ROUTE])
        caller = self._new_flow(route, lambda flow: balancer)
        sent_s, start = self._now_s(), balancer.starts
        caller.open()
        self._wait(lambda: caller.state != "opening", 2.0)
        ended_s, outcome = self._now_s(), caller.state
        agent = None
        if outcome == "open":
            self._wait(lambda: self._holder(caller.flow) is not None, 0.5)
            agent = self._holder(caller.flow)
            caller.close()
        del self._callers[caller.flow]
        if start != balancer.starts:
            return
        self._attempts.append(
            soak_judge.Attempt(
                sent_s,
                ended_s,
                balancer.name,
                start,
                route,
                outcome if outcome in ("open", "reset") else "failed",
                agent.name if agent is not None else "",
                agent.data_centre if agent is not None else "",
            )
        )

    def _use_session(self) -> None:
        """Keeps one flow open and sends requests; opens another if it ends."""
        rng = random.Random(self._rng.random())
        while True:
            caller = self._new_flow(MAIN_ROUTE, self._route_packet)
            caller.open()

            def is_settled(c: flow_ends.CallerFlow = caller) -> bool:
                return c.state != "opening"

            self._wait(is_settled, 2.0)
            while caller.state == "open":
                answers = caller.answers
                strays = self._stray_packets(caller.flow)
                caller.request()
                received = self._requests_received(caller.flow)

                def is_over(
                    c: flow_ends.CallerFlow = caller, n: int = answers
                ) -> bool:
                    return c.answers > n or c.state != "open"

                self._wait(is_over, MISROUTED_S)
                if (
                    not is_over()
                    and received == self._requests_received(caller.flow)
                    and self._stray_packets(caller.flow) - strays
                    >= MISROUTED_PACKETS
                ):
                    self._on_broken(caller)
                self._wait(is_over, ANSWER_TIMEOUT_S - MISROUTED_S)
                if caller.answers == answers:
                    caller.close()
                    break
                self.exchanges += 1
                eventlet.sleep(rng.uniform(0.05, 0.5))
            del self._callers[caller.flow]
            eventlet.sleep(0.1)

    def _on_broken(self, caller: flow_ends.CallerFlow) -> None:
        """Records a flow that was reset or misrouted while its server lives."""
        agent = self._holder(caller.flow)
        balancer = self._route_packet(caller.flow)
        if agent and balancer:
            self._broken.append(
                soak_judge.BrokenFlow(
                    self._now_s(),
                    balancer.name,
                    agent.name,
                    str(caller.flow),
                    caller.state,
                )
            )

    # Backend servers and other writers.

    def _trouble_servers(self) -> None:
        """Ends servers, of which one at most is away, and plays others."""
        rng = self._server_rng
        while True:
            eventlet.sleep(rng.uniform(*SERVER_TROUBLE_S))
            agent = rng.choice(self._agents)
            backend = self._backends[agent.name]
            kind = rng.choice(["leave", "crash", "impersonate", "impersonate"])
            planned = soak_judge.Disruptions.planned(agent.name)
            from_s = self._now_s()
            self._disruptions.add(planned, from_s, math.inf)
            match kind:
                case "leave":
                    self._log_fault(f"server of {agent.name} leaves")
                    backend.leave()
                    backend.start_again()
                case "crash":
                    self._log_fault(f"server of {agent.name} crashes")
                    backend.crash()
                    backend.start_again()
                case _:
                    what = backend.impersonate()
                    self._log_fault(f"other writer at {agent.name}: {what}")
            # Its own reports prevail after three intervals.
            until_s = self._now_s() + START_S + SETTLED_S
            self._disruptions.end(planned, from_s, until_s)

    # Faults.

    def _post(self, path: str, value: dict[str, Any]) -> None:
        fleet_module.post_json(self._fleet.platform_port, path, value)

    def _play_burst(self) -> None:
        """Starts some faults that overlap, one of them the store's return."""
        kinds = [
            self._kill,
            self._stop,
            self._pause,
            self._reload,
            self._send_garbage,
            self._disrupt_store,
            self._silence_store,
        ]
        chosen = [*self._rng.choices(kinds, k=self._rng.randint(1, 4))]
        if self._rng.random() < 0.8:
            chosen.append(self._restore)
        for fault in chosen:
            delay_s = self._rng.uniform(0, BURST_S * 0.6)
            eventlet.spawn_after(delay_s, tasks.spawn, "fault", fault)

    def _pick(self) -> _Instance:
        return self._rng.choice(self._instances)

    def _log_fault(self, text: str) -> None:
        self.faults.append(f"{self._now_s():.2f} {text}")

    def _kill(self) -> None:
        instance = self._pick()
        if not self._fleet.is_running(instance.name):
            return
        self._log_fault(f"kill {instance.name}")
        self._end(instance, signal.SIGKILL, instance.name)

    def _stop(self) -> None:
        instance = self._pick()
        if not self._fleet.is_running(instance.name):
            return
        self._log_fault(f"stop {instance.name}")
        planned = soak_judge.Disruptions.planned(instance.name)
        away_s = self._server_rng.uniform(*PLANNED_RESTART_S)
        self._end(instance, signal.SIGTERM, planned, away_s=away_s)

    def _end(
        self,
        instance: _Instance,
        number: int,
        disrupted: str,
        *,
        away_s: float = RESTART_S,
    ) -> None:
        """Ends a daemon and starts it again after a moment."""
        if instance.is_stopped_by_soak:
            return
        instance.is_stopped_by_soak = True
        from_s = self._now_s()
        process = self._fleet.processes[instance.name]
        # It counts from the signal on, also while the process still stops.
        self._disruptions.add(disrupted, from_s, math.inf)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        while process.poll() is None:
            eventlet.sleep(0.02)
        eventlet.sleep(away_s)
        self._start(instance)
        self._disruptions.end(disrupted, from_s, self._now_s() + START_S)

    def _pause(self) -> None:
        instance = self._pick()
        if instance.is_stopped_by_soak:
            return
        for_s = self._rng.uniform(0.5, 4.0)
        self._log_fault(f"pause {instance.name} {for_s:.1f} s")
        self._disruptions.add(
            instance.name, self._now_s(), self._now_s() + for_s
        )
        process = self._fleet.processes[instance.name]
        process.send_signal(signal.SIGSTOP)
        eventlet.sleep(for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def _reload(self) -> None:
        instance = self._pick()
        if instance.is_stopped_by_soak:
            return
        self._log_fault(f"reload {instance.name}")
        self._fleet.processes[instance.name].send_signal(signal.SIGHUP)

    def _send_garbage(self) -> None:
        instance = self._pick()
        self._log_fault(f"garbage to {instance.name}")
        for port in (self._ports.internal[0], self._ports.packets):
            for _ in range(20):
                kind = bytes([self._rng.randrange(24)])
                data = kind + self._rng.randbytes(self._rng.randrange(80))
                self._socket.sendto(data, (instance.ip, port))

    def _disrupt_store(self) -> None:
        for_s = self._rng.uniform(0.3, 3.0)
        faults: dict[str, Any] = self._rng.choice(
            [
                {"down": True},
                {"delay_ms": self._rng.randint(100, 1500)},
                {"history_changes": 0},
                {"lose_write_answers": 2},
            ]
        )
        self._log_fault(f"store {faults} {for_s:.1f} s")
        self._set_store_faults(faults, for_s)

    def _silence_store(self) -> None:
        instance = self._rng.choice(self._balancers)
        for_s = self._rng.uniform(1.0, 6.0)
        self._log_fault(f"store silent to {instance.name} {for_s:.1f} s")
        now_s = self._now_s()
        self._disruptions.add(instance.name, now_s, now_s + for_s)
        self._set_store_faults({"silent_clients": [instance.name]}, for_s)

    def _set_store_faults(self, faults: dict[str, Any], for_s: float) -> None:
        now_s = self._now_s()
        self._disruptions.add(
            soak_judge.Disruptions.STORE, now_s, now_s + for_s
        )
        self._post("/faults", faults)
        eventlet.sleep(for_s)
        self._post("/faults", {})

    def _restore(self) -> None:
        self._post("/copy", {})
        self._operator.pending_changes = self._rng.choice(LOST_CHANGES)
        age_s = self._rng.uniform(*COPY_AGE_S)
        eventlet.sleep(age_s)
        for_s = self._rng.uniform(0.1, 2.0)
        self._log_fault(
            f"store away {for_s:.1f} s, returns from a copy {age_s:.1f} s old"
        )
        now_s = self._now_s()
        self._disruptions.add(
            soak_judge.Disruptions.STORE, now_s, now_s + for_s + MAX_REWRITE_S
        )
        self._post("/faults", {"down": True})
        eventlet.sleep(for_s)
        self._post("/restore", {})
        self._post("/faults", {})
        self._operator.on_restored()


def main() -> None:
    """Plays one run and exits with 1 if a promise was broken."""
    eventlet.monkey_patch()
    options = msgspec.json.decode(sys.argv[1], type=Options)
    soak = Soak(options)
    try:
        record = soak.run()
        violations = soak_judge.find_violations(record) + soak.find_failures()
    finally:
        soak.close()
    seen = soak_judge.summary(record) | {
        "exchanges": soak.exchanges,
        "faults": len(soak.faults),
    }
    print(f"seed {options.seed}: {len(violations)} violations, {seen}")
    if violations:
        print("\n".join([*violations[:20], "faults:", *soak.faults]))
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
