"""Measures change propagation and idle cost with real processes."""

import os
import pathlib
import statistics
import tempfile
import time

from sapphirelift.bench import fleet
from sapphirelift.platform import client

CHANGES = 5
POLL_S = 0.05
IDLE_S = 8.0
_SERVICE = "pakkaamo"


def propagation(daemons: int) -> dict[str, float]:
    """Measures the time until a change is in force at all daemons.

    A third of the daemons are balancers, the others agents. The times are in
    seconds and include reading the daemons' state dumps.
    """
    balancers = daemons // 3
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory))
        try:
            running.start_platform()
            for number in range(balancers):
                running.start_balancer(f"balancer-{number}")
            for number in range(daemons - balancers):
                running.start_agent(f"agent-{number}", service=_SERVICE)
            running.wait_ready(agents=daemons - balancers)
            return _measure_propagation(running)
        finally:
            running.close()


def _cpu_s(running: fleet.Fleet, name: str) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    pid = running.processes[name].pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _idle_shares(running: fleet.Fleet, names: list[str]) -> dict[str, float]:
    """Returns the share of a core that each idle daemon uses."""
    before = {name: _cpu_s(running, name) for name in names}
    started = time.monotonic()
    time.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started
    return {n: (_cpu_s(running, n) - before[n]) / elapsed_s for n in names}


def _resident_bytes(running: fleet.Fleet, name: str) -> float:
    pid = running.processes[name].pid
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return float(int(pages) * os.sysconf("SC_PAGE_SIZE"))


def _measure_propagation(running: fleet.Fleet) -> dict[str, float]:
    platform = client.ObjectClient(running.platform_url)
    names = list(running.admin_ports)
    balancers = [name for name in names if name in running.public]
    agents = [name for name in names if name not in running.public]
    idle = _idle_shares(running, names)
    all_s, balancers_s = [], []
    for number in range(CHANGES):
        time.sleep(1.0 + 0.3 * number)
        revision = platform.put(
            f"records/service/{_SERVICE}",
            {
                "schema_version": 2,
                "kind": "service",
                "name": _SERVICE,
                "branch": "pihlajakoti",
                "labels": {"change": str(number)},
            },
        )
        started = time.monotonic()
        balancers_s.append(
            _time_to_revision_s(running, balancers, revision, started)
        )
        all_s.append(_time_to_revision_s(running, names, revision, started))
    dumps = [running.dump(name) for name in names]
    return {
        "in_force_median_s": statistics.median(all_s),
        "in_force_max_s": max(all_s),
        "balancers_median_s": statistics.median(balancers_s),
        "idle_share_balancer": statistics.median(idle[n] for n in balancers),
        "idle_share_agent": statistics.median(idle[n] for n in agents),
        "resident_balancer_bytes": max(
            _resident_bytes(running, n) for n in balancers
        ),
        "resident_agent_bytes": max(
            _resident_bytes(running, n) for n in agents
        ),
        "fetches_per_change": sum(
            d["record_counters"].get("fetches", 0) for d in dumps
        )
        / CHANGES,
        "control_bytes_sent_max": max(
            float(d["control_bytes_sent"]) for d in dumps
        ),
    }


def _time_to_revision_s(
    running: fleet.Fleet, names: list[str], revision: int, started: float
) -> float:
    lagging_daemons = set(names)
    while lagging_daemons:
        for name in list(lagging_daemons):
            if running.dump(name)["revision"] >= revision:
                lagging_daemons.discard(name)
        if lagging_daemons:
            time.sleep(POLL_S)
    return time.monotonic() - started


def watched(agents: int) -> dict[str, float]:
    """Measures the CPU share of an idle balancer that watches the agents."""
    with tempfile.TemporaryDirectory() as directory:
        running = fleet.Fleet(pathlib.Path(directory))
        try:
            running.start_platform()
            running.start_balancer("balancer-0")
            for number in range(agents):
                running.start_agent(
                    f"agent-{number}", service=f"service-{number // 3}"
                )
            running.wait_ready(agents=agents)
            time.sleep(3.0)
            names = list(running.admin_ports)
            shares = _idle_shares(running, names)
            return {
                "idle_share_balancer": shares.pop("balancer-0"),
                "idle_share_agent": statistics.median(shares.values()),
            }
        finally:
            running.close()
