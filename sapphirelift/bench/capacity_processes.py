"""Propagation of a change through real processes."""

import pathlib
import statistics
import tempfile
import time

from sapphirelift.bench import fleet
from sapphirelift.platform import client

CHANGES = 5
POLL_S = 0.05
_SERVICE = "pakkaamo"


def propagation(daemons: int) -> dict[str, float]:
    """Time until a change is in force at all daemons, in seconds.

    A third of the daemons are balancers, the others agents. The read of all
    dumps is part of the time.
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
            return _measure(running)
        finally:
            running.close()


def _measure(running: fleet.Fleet) -> dict[str, float]:
    platform = client.ObjectClient(running.platform_url)
    names = list(running.admin_ports)
    balancers = [name for name in names if name in running.public]
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
        balancers_s.append(_wait(running, balancers, revision, started))
        all_s.append(_wait(running, names, revision, started))
    dumps = [running.dump(name) for name in names]
    return {
        "in_force_median_s": statistics.median(all_s),
        "in_force_max_s": max(all_s),
        "balancers_median_s": statistics.median(balancers_s),
        "fetches_per_change": sum(
            d["record_counters"].get("fetches", 0) for d in dumps
        )
        / CHANGES,
        "control_bytes_sent_max": max(
            float(d["control_bytes_sent"]) for d in dumps
        ),
    }


def _wait(
    running: fleet.Fleet, names: list[str], revision: int, started: float
) -> float:
    behind = set(names)
    while behind:
        for name in list(behind):
            if running.dump(name)["revision"] >= revision:
                behind.discard(name)
        if behind:
            time.sleep(POLL_S)
    return time.monotonic() - started
