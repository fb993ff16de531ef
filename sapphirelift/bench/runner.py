"""Runs a scenario and computes its figures."""

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

# Longer than the agents' ramp, which begins with their first answer.
WARM_UP_S = 9.5
# At full load the agents' ramps left queues that lasted into the measured
# time: the p99 of the first seconds of a steady run was four times that of
# the rest, which masked the latency ratios.
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
    """Runs a scenario and returns the result in its saved form.

    Args:
        scenario: Scenario to run.
        size: Workload.
        seed: Seed of the load generators.
        duration_s: Measured time, excluding start, warm-up and shutdown.
        directory: Directory for logs; a temporary one if None.
        policy: The product, or a baseline to compare it with.
    """
    with tempfile.TemporaryDirectory(prefix="sapphirelift-bench-") as path:
        experiment_run = experiment.Experiment(
            size=size,
            seed=seed,
            directory=directory or pathlib.Path(path),
            policy=policy,
            faults=scenario.faults,
        )
        try:
            return _run(experiment_run, scenario, duration_s) | {
                "policy": policy.name
            }
        finally:
            experiment_run.close()


def run_forwarding(*, seed: int, duration_s: float) -> dict[str, Any]:
    """Measures the forwarding rate of one balancer, see ``forwarding``."""
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
    experiment_run: experiment.Experiment,
    scenario: scenarios.Scenario,
    duration_s: float,
) -> dict[str, Any]:
    experiment_run.start(slow_target_speed=scenario.slow_target_speed)
    experiment_run.start_load(
        utilisation=scenario.utilisation,
        deadline_ms=scenario.deadline_ms,
        has_slow_caller=scenario.slow_callers,
    )
    experiment_run.monitor.set_fabric(rate_factor=WARM_UP_RATE)
    time.sleep(WARM_UP_S)
    experiment_run.monitor.set_fabric(rate_factor=1.0)
    time.sleep(SETTLE_S)
    begin_s = time.time()
    calls = experiment_run.platform_calls()
    first_change = scenario.steps[0].at if scenario.steps else 0.5
    for step in scenario.steps:
        _sleep_until(begin_s + step.at * duration_s)
        step.run(experiment_run)
    _sleep_until(begin_s + duration_s)
    window = results.Window(
        begin_s, begin_s + first_change * duration_s, time.time()
    )
    calls = experiment_run.platform_calls() - calls
    caller_results = results.merge(experiment_run.finish())
    figures = results.figures(
        experiment_run, caller_results, window, platform_calls=calls
    )
    bounds = [
        bound.check(figures)
        for bound in (*results.COMMON_BOUNDS, *scenario.bounds)
        if bound.only_slots in (None, experiment_run.size.slots)
    ]
    return {
        "format_version": FORMAT_VERSION,
        "scenario": scenario.name,
        "summary": scenario.summary,
        "size": experiment_run.size.name,
        "seed": experiment_run.seed,
        "duration_s": duration_s,
        "utilisation": scenario.utilisation,
        "work_ms": experiment.WORK_MS,
        "figures": figures,
        "bounds": bounds,
        "events": [
            {"at_s": round(event.at_s - begin_s, 2), "text": event.text}
            for event in experiment_run.events
        ],
        "series": results.series(experiment_run, caller_results, window),
    }


def _sleep_until(at_s: float) -> None:
    time.sleep(max(at_s - time.time(), 0))
