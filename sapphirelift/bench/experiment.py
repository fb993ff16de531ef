"""One run: its processes, the changes made to them and the recorded data."""

import concurrent.futures
import contextlib
import json
import pathlib
import threading
import time
import urllib.request
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift.bench import fleet as fleet_module
from sapphirelift.bench import judge
from sapphirelift.bench import load
from sapphirelift.bench import monitor
from sapphirelift.bench import policies
from sapphirelift.bench import sizes
from sapphirelift.platform import client

WORK_MS = 50.0
SLOW_FACTOR = 50
RAMP_MS = 8000
# A cold backend server handles one request at a time; more overload it.
COLD_OPTIONS = {"cold_ms": 3000, "cold_slots": 1, "cold_starts_per_s": 1000}
LOAD_PROCESSES = 4
SESSIONS_PER_TARGET = 4
SPARE_DATA_CENTRE = "bench-spare"
IN_FORCE_TIMEOUT_S = 20.0
NO_END_S = float("inf")


class Target(NamedTuple):
    """A backend server with its agent."""

    name: str
    service: str
    data_centre: str
    speed: float = 1.0


class Event(NamedTuple):
    """A change made during the run."""

    at_s: float
    text: str


class ConfigWrite(NamedTuple):
    """A write of a record and its propagation to the daemons.

    Attributes:
        text: Key and value that were written.
        in_force_s: Time until all daemons had it, None if some were late.
        missing: Daemons that did not have it in time.
    """

    text: str
    in_force_s: float | None
    missing: list[str]


class Experiment:
    """Processes of one run, and the changes that a scenario can make.

    Attributes:
        expected_losses: For each target, the intervals in which its flows
            are lost by design.
        withdrawals: Withdrawn data centres and their intervals.
        planned_stops: Stopped agents and the intervals until their restart.
    """

    def __init__(
        self,
        *,
        size: sizes.Size,
        seed: int,
        directory: pathlib.Path,
        policy: policies.Policy = policies.PRODUCT,
        faults: Mapping[str, float] | None = None,
    ) -> None:
        self.size = size
        self._policy = policy
        self._faults = faults
        self.seed = seed
        self.directory = directory
        self.fleet = fleet_module.Fleet(directory)
        self.monitor = monitor.Monitor(self.fleet, directory / "fabric.json")
        self.targets: dict[str, Target] = {}
        self.events: list[Event] = []
        self.writes: list[ConfigWrite] = []
        self.expected_losses: dict[str, list[judge.Interval]] = {}
        self.withdrawals: list[tuple[str, judge.Interval]] = []
        self.planned_stops: list[tuple[str, judge.Interval]] = []
        self.cold_starts: list[judge.ColdStart] = []
        self.runs: list[judge.Run] = []
        self.backend_counters: dict[str, dict[str, int]] = {}
        self._stopping: set[str] = set()
        self._frozen: set[str] = set()
        self._loads: list[str] = []
        self._threads: list[threading.Thread] = []

    # Life cycle.

    def start(self, *, slow_target_speed: float) -> None:
        """Starts platform, balancers and all targets."""
        self.fleet.start_platform()
        for number, service in enumerate(self.size.services):
            for index in range(service.targets):
                is_slow = number == 0 and index == 0
                target = Target(
                    f"{service.name}-{index + 1}",
                    service.name,
                    self._data_centre(index),
                    slow_target_speed if is_slow else 1.0,
                )
                self.targets[target.name] = target
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            balancers = [
                pool.submit(self._start_balancer, f"balancer-{number + 1}")
                for number in range(self.size.balancers)
            ]
            agents = [
                pool.submit(self._start_agent, target)
                for target in self.targets.values()
            ]
            for started in balancers + agents:
                started.result()
        self.fleet.wait_ready(agents=len(self.targets))
        self.monitor.start()

    def start_load(
        self, *, utilisation: float, deadline_ms: int, has_slow_caller: bool
    ) -> None:
        """Starts the load generators."""
        self.monitor.set_fabric()
        share = utilisation / LOAD_PROCESSES
        rates = {
            service.name: share
            * service.targets
            * self.size.slots
            * 1000
            / WORK_MS
            for service in self.size.services
        }
        sessions = {
            service.name: service.targets * SESSIONS_PER_TARGET
            for service in self.size.services
        }
        for number in range(LOAD_PROCESSES):
            self._start_load(
                f"load{number}",
                services=sessions,
                rates=rates,
                deadline_ms=deadline_ms,
                seed=self.seed * 1000 + number,
            )
        if has_slow_caller:
            self._start_load(
                "slow",
                services={
                    service.name: 2 * service.targets
                    for service in self.size.services
                },
                rates={},
                deadline_ms=20_000,
                seed=self.seed * 1000 + LOAD_PROCESSES,
                work_ms=WORK_MS * SLOW_FACTOR,
                callers=1,
                is_closed_loop=True,
                starts_at_phase=1,
            )

    def _start_load(self, name: str, **values: Any) -> None:
        fields: dict[str, Any] = {
            "name": name,
            "fabric": str(self.directory / "fabric.json"),
            "output": str(self.directory / f"{name}.jsonl"),
            "work_ms": WORK_MS,
            "has_retry_budget": self._policy.has_retry_budget,
        }
        text = fleet_module.to_json(load.Options(**(fields | values)))
        self.fleet.spawn(name, "-m", "sapphirelift.bench.load", text)
        self._loads.append(name)

    def finish(self) -> list[dict[str, Any]]:
        """Ends the load and returns the output of each load generator."""
        self.monitor.set_fabric(is_stopped=True)
        outputs = []
        for name in self._loads:
            status = self.fleet.wait_exit(name, timeout_s=60)
            if status != 0:
                raise RuntimeError(
                    f"load generator {name} ended with status {status}; "
                    f"see {self.directory / name}.log"
                )
            merged: dict[str, Any] = {}
            text = (self.directory / f"{name}.jsonl").read_text()
            for line in text.splitlines():
                merged |= json.loads(line)
            outputs.append(merged)
        for thread in self._threads:
            thread.join()
        for target in self.targets.values():
            self._save_runs(target)
        self.monitor.stop()
        return outputs

    def close(self) -> None:
        """Ends all processes."""
        self.monitor.stop()
        self.fleet.close()

    # Changes.

    def target(self, index: int) -> str:
        """Returns the name of a target of the first service."""
        return f"{self.size.services[0].name}-{index + 1}"

    def next_phase(self) -> None:
        """Starts the load generators that wait for phase 1."""
        self._record_event("phase 1 begins")
        self.monitor.set_fabric(phase=1)

    def set_rate(self, factor: float) -> None:
        """Sets the offered load to a multiple of the configured one."""
        self._record_event(f"offered load times {factor:g}")
        self.monitor.set_fabric(rate_factor=factor)

    def start_balancer(self, name: str) -> None:
        """Starts an additional balancer."""
        self._record_event(f"{name} starts")
        self._start_balancer(name)

    def kill_balancer(self, name: str) -> None:
        """Kills a balancer."""
        self._record_event(f"{name} is killed")
        self.fleet.kill(name)

    def stop_balancer(self, name: str) -> None:
        """Stops a balancer gracefully."""
        self._record_event(f"{name} stops by plan")
        self._stopping.add(name)
        self.fleet.terminate(name)

    def freeze(self, name: str) -> None:
        """Suspends a daemon's process."""
        self._record_event(f"{name} is frozen")
        self._frozen.add(name)
        self.fleet.freeze(name)

    def resume(self, name: str) -> None:
        """Resumes a suspended daemon."""
        self._record_event(f"{name} runs again")
        self.fleet.resume(name)
        self._frozen.discard(name)

    def stop_target(self, name: str) -> None:
        """Stops an agent gracefully.

        Its backend server keeps running, so that its records can be read.
        """
        self._record_event(f"agent {name} stops by plan")
        self._stopping.add(name)
        leaving = judge.Interval(time.time(), NO_END_S)
        self.planned_stops.append((name, leaving))
        self.fleet.terminate(name)

    def start_target(self, name: str) -> None:
        """Starts a new, cold backend server of the first service."""
        self._record_event(f"backend server {name} starts cold")
        target = Target(name, self.size.services[0].name, self._data_centre(0))
        self.targets[name] = target
        self._record_cold_start(target)
        self._start_agent(target, is_cold=True)

    def restart_target(self, name: str) -> None:
        """Restarts a stopped target, cold, as a new incarnation."""
        with contextlib.suppress(Exception):
            self.fleet.wait_exit(name, timeout_s=3)
        if self.fleet.is_running(name):
            self._record_event(f"agent {name} had not stopped and is killed")
            self._expect_losses(name)
            self.fleet.kill(name)
        self._end_planned_stop(name)
        self._record_event(f"backend server {name} starts again cold")
        self._restart_backend(self.targets[name])
        self._stopping.discard(name)
        self._start_agent(self.targets[name])

    def replace_with_cold_backend(self, name: str) -> None:
        """Replaces a backend server by a cold one while its agent runs."""
        self._record_event(
            f"backend server {name} becomes cold without warning"
        )
        self._restart_backend(self.targets[name])

    def set_platform_down(self, is_down: bool) -> None:
        """Begins or ends a platform outage."""
        self._record_event("platform down" if is_down else "platform up")
        self.fleet.set_platform_faults(down=is_down)

    def withdraw(self, index: int) -> None:
        """Withdraws a data centre."""
        name = self.size.data_centres[index]
        self._record_event(f"data centre {name} is withdrawn")
        withdrawal = judge.Interval(time.time(), NO_END_S)
        self.withdrawals.append((name, withdrawal))
        for target in self.targets.values():
            if target.data_centre == name:
                self.expected_losses.setdefault(target.name, []).append(
                    withdrawal
                )
        self._write_data_centre(name, is_withdrawn=True)

    def restore(self, index: int) -> None:
        """Returns a withdrawn data centre to service."""
        name = self.size.data_centres[index]
        self._record_event(f"data centre {name} returns")
        now_s = time.time()
        self.withdrawals = [
            (n, withdrawal._replace(end_s=now_s) if n == name else withdrawal)
            for n, withdrawal in self.withdrawals
        ]
        for target in self.targets.values():
            if target.data_centre == name:
                # A caller may notice a lost flow up to 1 s after the return.
                self.expected_losses[target.name] = [
                    i._replace(end_s=min(i.end_s, now_s + 1.0))
                    for i in self.expected_losses.get(target.name, [])
                ]
        self._write_data_centre(name, is_withdrawn=False)

    def write_config(self) -> None:
        """Writes a record that does not affect the traffic."""
        self._write_data_centre(SPARE_DATA_CENTRE, is_withdrawn=False)

    # Helpers.

    def _record_event(self, text: str) -> None:
        self.events.append(Event(time.time(), text))

    def _record_cold_start(self, target: Target) -> None:
        start = judge.ColdStart(
            target.name, time.time(), self.size.slots, target.speed
        )
        self.cold_starts.append(start)

    def _expect_losses(self, name: str) -> None:
        interval = judge.Interval(time.time() - 0.1, NO_END_S)
        self.expected_losses.setdefault(name, []).append(interval)

    def _end_planned_stop(self, name: str) -> None:
        now_s = time.time()
        self.planned_stops = [
            (n, i._replace(end_s=min(i.end_s, now_s)) if n == name else i)
            for n, i in self.planned_stops
        ]

    def _data_centre(self, index: int) -> str:
        return self.size.data_centres[index % len(self.size.data_centres)]

    def _start_balancer(self, name: str) -> None:
        self.fleet.start_balancer(
            name,
            data_centre=self.size.data_centres[0],
            neighbours=[
                {"ip": "127.0.0.1", "port": self.fleet.peer_ports[other]}
                for other in list(self.fleet.public)
                if other != name and other in self.fleet.peer_ports
            ],
        )
        if self._faults is not None:
            proxy = f"{name}-proxy"
            self.monitor.entries[name] = self.fleet.start_fault_proxy(
                proxy,
                target=self.fleet.public[name],
                kind="udp",
                seed=self.seed,
            )
            self.fleet.set_faults(proxy, **self._faults)

    def _start_agent(self, target: Target, *, is_cold: bool = False) -> None:
        self.fleet.start_agent(
            target.name,
            service=target.service,
            slots=self.size.slots,
            ramp_ms=RAMP_MS if self._policy.has_ramp else 0,
            experiment=self._policy.backend_settings(),
            backend=self._backend_options(target, is_cold=is_cold),
            data_centre=target.data_centre,
        )

    def _backend_options(
        self, target: Target, *, is_cold: bool
    ) -> dict[str, Any]:
        options = {"slots": self.size.slots, "speed": target.speed}
        return options | (COLD_OPTIONS if is_cold else {})

    def _restart_backend(self, target: Target) -> None:
        self._save_runs(target)
        self.fleet.kill(f"{target.name}-backend")
        self._record_cold_start(target)
        self.fleet.start_backend(
            target.name,
            service=target.service,
            **self._backend_options(target, is_cold=True),
        )

    def _save_runs(self, target: Target) -> None:
        records = self.fleet.runs(target.name)
        self.runs += judge.read_runs(target.name, target.service, records)
        port = self.fleet.backend_ports[target.name]
        with contextlib.suppress(OSError, ValueError, TypeError):
            counters = fleet_module.get_json(port, "/counters")
            totals = self.backend_counters.setdefault(target.name, {})
            for key, value in dict(counters).items():
                totals[key] = totals.get(key, 0) + value

    def _daemons(self) -> list[str]:
        return [
            name
            for name in list(self.fleet.admin_ports)
            if self.fleet.is_running(name)
            and name not in self._stopping
            and name not in self._frozen
        ]

    def _write_data_centre(self, name: str, *, is_withdrawn: bool) -> None:
        """Writes a record as the command line does, and times its arrival.

        A thread polls the daemons until all of them have the revision.
        """
        platform = client.ObjectClient(self.fleet.platform_url)
        key = f"records/data_centre/{name}"
        text = f"{key} withdrawn={is_withdrawn}"
        written_s = time.time()
        try:
            revision = platform.put(
                key,
                {
                    "schema_version": 2,
                    "kind": "data_centre",
                    "name": name,
                    "withdrawn": is_withdrawn,
                },
            )
        except errors.SapphireliftError as error:
            self._record_event(f"write of {key} failed: {error}")
            self.writes.append(ConfigWrite(text, None, ["not written"]))
            return
        thread = threading.Thread(
            target=self._await_in_force, args=(text, revision, written_s)
        )
        thread.start()
        self._threads.append(thread)

    def _await_in_force(
        self, text: str, revision: int, written_s: float
    ) -> None:
        missing: list[str] = []
        while time.time() - written_s < IN_FORCE_TIMEOUT_S:
            revisions = self.monitor.revisions(self._daemons())
            current = set(self._daemons())
            missing = [
                name
                for name, value in revisions.items()
                if value < revision and name in current
            ]
            if not missing:
                taken_s = time.time() - written_s
                self.writes.append(ConfigWrite(text, taken_s, []))
                return
            time.sleep(0.1)
        self.writes.append(ConfigWrite(text, None, missing))

    def platform_calls(self) -> int:
        """Returns the number of calls that the platform has served so far."""
        url = f"{self.fleet.platform_url}/calls"
        with urllib.request.urlopen(url, timeout=3) as answer:
            return sum(json.load(answer).values())
