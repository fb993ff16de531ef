"""Runs a scenario from start to figures."""

import pathlib
import tempfile
import time
from typing import Any

from sapphirelift.bench import experiment
from sapphirelift.bench import forwarding
from sapphirelift.bench import policies
from sapphirelift.bench import results
from sapphirelift.bench import scenarios
from sapphirelift.bench import sizes

# Longer than the ramp of the agents, which begins with their first answer.
WARM_UP_S = 9.5
# At full load the ramps left queues that lasted into the measured time: the
# p99 of the first seconds of a steady run was four times that of the rest,
# which hid ratios of latencies.
WARM_UP_RATE = 0.4
SETTLE_S = 3.0
FORMAT_VERSION = 1


def run(
    scenario: scenarios.Scenario,
    *,
    size: sizes.Size,
    seed: int,
    duration_s: float,
    directory: pathlib.Path | None = None,
    policy: policies.Policy = policies.PRODUCT,
) -> dict[str, Any]:
    """Runs a scenario and returns its result as it is saved.

    Args:
        scenario: What is run.
        size: Workload.
        seed: Seed of the load generators.
        duration_s: Measured time, without start, warm-up and end.
        directory: Place for logs; a temporary one if None.
        policy: The product, or a baseline to compare it with.
    """
    with tempfile.TemporaryDirectory(prefix="sapphirelift-bench-") as path:
        one = experiment.Experiment(
            size=size,
            seed=seed,
            directory=directory or pathlib.Path(path),
            policy=policy,
            faults=scenario.faults,
        )
        try:
            return _run(one, scenario, duration_s) | {"policy": policy.name}
        finally:
            one.close()


def run_forwarding(*, seed: int, duration_s: float) -> dict[str, Any]:
    """Measures one balancer alone; see ``forwarding``."""
    with tempfile.TemporaryDirectory(prefix="sapphirelift-bench-") as path:
        measured = forwarding.run(
            pathlib.Path(path), seed=seed, duration_s=duration_s
        )
    return {
        "format_version": FORMAT_VERSION,
        "scenario": forwarding.NAME,
        "summary": forwarding.SUMMARY,
        "size": "one balancer",
        "seed": seed,
        "duration_s": duration_s,
        "events": [],
        "series": {},
    } | measured


def _run(
    one: experiment.Experiment, scenario: scenarios.Scenario, duration_s: float
) -> dict[str, Any]:
    one.start(slow_target_speed=scenario.slow_target_speed)
    one.start_load(
        utilisation=scenario.utilisation,
        deadline_ms=scenario.deadline_ms,
        has_slow_caller=scenario.slow_callers,
    )
    one.monitor.set_fabric(rate_factor=WARM_UP_RATE)
    time.sleep(WARM_UP_S)
    one.monitor.set_fabric(rate_factor=1.0)
    time.sleep(SETTLE_S)
    begin_s = time.time()
    calls = one.platform_calls()
    first = scenario.steps[0].at if scenario.steps else 0.5
    for step in scenario.steps:
        _sleep_until(begin_s + step.at * duration_s)
        step.run(one)
    _sleep_until(begin_s + duration_s)
    window = results.Window(begin_s, begin_s + first * duration_s, time.time())
    calls = one.platform_calls() - calls
    seen = results.merge(one.finish())
    figures = results.figures(one, seen, window, platform_calls=calls)
    bounds = [
        bound.check(figures)
        for bound in (*results.COMMON_BOUNDS, *scenario.bounds)
        if bound.only_slots in (None, one.size.slots)
    ]
    return {
        "format_version": FORMAT_VERSION,
        "scenario": scenario.name,
        "summary": scenario.summary,
        "size": one.size.name,
        "seed": one.seed,
        "duration_s": duration_s,
        "utilisation": scenario.utilisation,
        "work_ms": experiment.WORK_MS,
        "figures": figures,
        "bounds": bounds,
        "events": [
            {"at_s": round(event.at_s - begin_s, 2), "text": event.text}
            for event in one.events
        ],
        "series": results.series(one, seen, window),
    }


def _sleep_until(at_s: float) -> None:
    time.sleep(max(at_s - time.time(), 0))
