"""Monitors the daemons of a run by health checks and state samples."""

import concurrent.futures
import json
import os
import pathlib
import threading
import time
import urllib.request
from typing import Any
from typing import NamedTuple

from sapphirelift import messages
from sapphirelift.bench import fleet as fleet_module

HEALTH_INTERVAL_S = 0.25
SAMPLE_INTERVAL_S = 0.5
# Short, so that a suspended daemon does not delay the samples of the others.
DUMP_TIMEOUT_S = 0.4
CONTROL_KINDS = ("HEARTBEAT", "HEARTBEAT_ACK", "LOAD")
FLOW_KINDS = ("FORWARD", "OPEN_FORWARD")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """State of one daemon at one point in time.

    Attributes:
        control_bytes: Bytes of heartbeats and load reports sent so far.
        flow_packets: Callers' packets received so far.
    """

    at_s: float
    name: str
    role: str
    incarnation: int
    revision: int
    control_bytes: int
    flow_packets: int
    flows: int
    drops: dict[str, int]
    counters: dict[str, int]
    cpu_s: float
    memory_kb: int


class Monitor:
    """Emulates the fabric's health check and samples all daemons.

    Both run in threads of their own.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, fabric_path: pathlib.Path
    ) -> None:
        self._fleet = fleet
        self._fabric_path = fabric_path
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._pool = concurrent.futures.ThreadPoolExecutor(32)
        self._fabric: dict[str, Any] = {
            "balancers": [],
            "rate_factor": 1.0,
            "phase": 0,
            "is_stopped": False,
        }
        self.samples: list[Sample] = []
        # Fault proxies' addresses, used in place of the balancers' addresses.
        self.entries: dict[str, messages.Address] = {}

    def start(self) -> None:
        """Starts both threads."""
        self.check_health()
        for task in (self._check_forever, self._sample_forever):
            threading.Thread(target=task, daemon=True).start()

    def stop(self) -> None:
        """Stops both threads."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def set_fabric(self, **values: Any) -> None:
        """Updates the fabric file, which the load generators read."""
        with self._lock:
            self._fabric.update(values)
            temporary = self._fabric_path.with_suffix(".new")
            temporary.write_text(json.dumps(self._fabric))
            temporary.replace(self._fabric_path)

    def check_health(self) -> None:
        """Writes the addresses of all ready balancers to the fabric file."""
        names = list(self._fleet.public)
        ready = self._pool.map(self._is_ready, names)
        addresses = [
            list(self.entries.get(name, self._fleet.public[name]))
            for name, is_ready in zip(names, ready, strict=True)
            if is_ready
        ]
        if addresses and addresses != self._fabric["balancers"]:
            self.set_fabric(balancers=addresses)

    def _is_ready(self, name: str) -> bool:
        if not self._fleet.is_running(name):
            return False
        url = f"http://127.0.0.1:{self._fleet.admin_ports[name]}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=0.5):
                return True
        except OSError:
            return False

    def _check_forever(self) -> None:
        while not self._stopped.wait(HEALTH_INTERVAL_S):
            try:
                self.check_health()
            except RuntimeError:  # The pool has been shut down.
                return

    def _sample_forever(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self.sample()
            except RuntimeError:
                return

    def sample(self) -> None:
        """Samples every daemon that answers in time."""
        names = [
            n for n in self._fleet.admin_ports if self._fleet.is_running(n)
        ]
        for sample in self._pool.map(self._sample, names):
            if sample is not None:
                self.samples.append(sample)

    def revisions(self, names: list[str]) -> dict[str, int]:
        """Returns the revision of each daemon, or 0 if it does not answer."""

        def read(name: str) -> int:
            sample = self._sample(name)
            return sample.revision if sample is not None else 0

        return dict(zip(names, self._pool.map(read, names), strict=True))

    def _sample(self, name: str) -> Sample | None:
        try:
            dump = self._fleet.dump(name, timeout_s=DUMP_TIMEOUT_S)
            cpu_s, memory_kb = usage(self._fleet.processes[name].pid)
        except (OSError, ValueError, IndexError):
            return None
        sent = dump["peer_sent_bytes_by_kind"]
        received = dump["peer_received_by_kind"]
        return Sample(
            at_s=time.time(),
            name=name,
            role=dump["role"],
            incarnation=dump["incarnation"],
            revision=dump["revision"],
            control_bytes=sum(sent.get(kind, 0) for kind in CONTROL_KINDS),
            flow_packets=sum(received.get(kind, 0) for kind in FLOW_KINDS),
            flows=dump.get("flows", 0),
            drops=dump["drops"],
            counters=dump["counters"],
            cpu_s=cpu_s,
            memory_kb=memory_kb,
        )


def usage(pid: int) -> tuple[float, int]:
    """Returns CPU time in seconds and resident memory in KiB of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return cpu_s, pages * os.sysconf("SC_PAGE_SIZE") // 1024
