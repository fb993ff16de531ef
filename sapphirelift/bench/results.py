"""Figures of a run, computed from what its ends recorded."""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from hdrh import histogram

from sapphirelift.bench import experiment as experiment_module
from sapphirelift.bench import judge
from sapphirelift.bench import monitor

MAX_LATENCY_US = 120_000_000
SERIES_STEP_S = 0.5
SLOW_PREFIX = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A bound of section 1.2 of the design page.

    Attributes:
        only_slots: Holds only for targets with this number of slots.
    """

    key: str
    operator: str
    limit: float
    only_slots: int | None = None

    def check(self, figures: dict[str, Any]) -> dict[str, Any]:
        """Returns the bound with the figure and whether it holds."""
        value = figures.get(self.key)
        holds = False
        if value is not None:
            below = self.operator == "<="
            holds = value <= self.limit if below else value >= self.limit
        return {
            "key": self.key,
            "operator": self.operator,
            "limit": self.limit,
            "value": value,
            "passed": holds,
        }


COMMON_BOUNDS = (
    Bound("broken_flows", "<=", 0),
    Bound("misrouted_packets", "<=", 0),
    Bound("double_runs", "<=", 0),
    Bound("false_not_run", "<=", 0),
    Bound("wrong_answers", "<=", 0),
    Bound("control_bytes_per_s", "<=", 6 * 1024),
    Bound("config_in_force_s", "<=", 7.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The measured part of a run and the time of its first change."""

    begin_s: float
    change_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What the load generators saw, put together."""

    requests: list[judge.Request]
    losses: list[judge.FlowLoss]
    lags_ms: list[float]
    counters: dict[str, int]
    unfinished: int


def merge(outputs: Iterable[dict[str, Any]]) -> Seen:
    """Puts the results of the load generators together."""
    seen = Seen([], [], [], {}, 0)
    counters: collections.Counter[str] = collections.Counter()
    unfinished = 0
    for output in outputs:
        seen.requests.extend(judge.Request(*r) for r in output["requests"])
        seen.losses.extend(judge.FlowLoss(*f) for f in output["losses"])
        seen.lags_ms.extend(output["lags_ms"])
        counters.update(output["counters"])
        unfinished += output["unfinished"]
    return dataclasses.replace(
        seen, counters=dict(counters), unfinished=unfinished
    )


def figures(
    run: experiment_module.Experiment,
    seen: Seen,
    window: Window,
    *,
    platform_calls: int,
) -> dict[str, Any]:
    """Returns the figures of a run by their JSON keys."""
    outcome_check = judge.check_outcomes(seen.requests, run.runs)
    broken, lost_by_design = judge.split_losses(
        seen.losses, run.expected_loss_intervals
    )
    length_s = window.end_s - window.begin_s
    measured = [
        r for r in seen.requests if window.begin_s <= r.sent_s <= window.end_s
    ]
    ordinary = [r for r in measured if not r.caller.startswith(SLOW_PREFIX)]
    before = [r for r in ordinary if r.sent_s < window.change_s]
    after = [r for r in ordinary if r.sent_s >= window.change_s]
    ran = {one.logical_id for one in run.runs}
    by_outcome = collections.Counter(r.outcome for r in seen.requests)
    values: dict[str, Any] = {
        "broken_flows": len(broken),
        "broken_flow_reasons": _count(f.reason for f in broken),
        "lost_by_design_flows": len(lost_by_design),
        "moved_flows": seen.counters.get("moved_flows", 0),
        "opens": seen.counters.get("opens", 0),
        "opens_failed": seen.counters.get("opens_failed", 0),
        "misrouted_packets": outcome_check.misrouted_packets,
        "double_runs": outcome_check.double_runs,
        "false_not_run": outcome_check.false_not_run,
        "wrong_answers": outcome_check.wrong_answers,
        "answers_without_run": outcome_check.answers_without_run,
        "judged_ids": outcome_check.ids,
        "requests": len(seen.requests),
        "requests_ok": by_outcome[judge.ANSWERED],
        "requests_not_run": by_outcome[judge.NOT_RUN],
        "requests_unknown": by_outcome[judge.UNKNOWN],
        "unknown_without_run": sum(
            r.outcome == judge.UNKNOWN and r.logical_id not in ran
            for r in seen.requests
        ),
        "requests_unfinished": seen.unfinished,
        "requests_not_offered": seen.counters.get("not_offered", 0),
        "not_run_reasons": _reasons(seen.requests, judge.NOT_RUN),
        "unknown_reasons": _reasons(seen.requests, judge.UNKNOWN),
    }
    values |= _latency(ordinary, before, after)
    values |= _goodput(before, after, window)
    values |= _imbalance(run, window)
    values |= _control(run.monitor.samples, window)
    values |= _changes(run)
    values["platform_calls_per_s"] = round(platform_calls / length_s, 2)
    lags = sorted(seen.lags_ms) or [0.0]
    values["generator_lag_p99_ms"] = round(lags[int(len(lags) * 0.99)], 2)
    return values


def _count(labels: Iterable[str]) -> dict[str, int]:
    return dict(collections.Counter(labels))


def _reasons(requests: Iterable[judge.Request], outcome: str) -> dict[str, int]:
    return _count(r.reason for r in requests if r.outcome == outcome)


def latency_histogram(
    requests: Iterable[judge.Request],
) -> histogram.HdrHistogram:
    """Returns the latencies of answered requests, in microseconds."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for request in requests:
        if request.outcome == judge.ANSWERED:
            latencies.record_value(max(int(request.latency_ms * 1000), 1))
    return latencies


def _p_ms(latencies: histogram.HdrHistogram, percentile: float) -> float:
    return round(latencies.get_value_at_percentile(percentile) / 1000, 2)


def _latency(
    ordinary: Sequence[judge.Request],
    before: Sequence[judge.Request],
    after: Sequence[judge.Request],
) -> dict[str, Any]:
    whole = latency_histogram(ordinary)
    p99_before = _p_ms(latency_histogram(before), 99)
    p99_after = _p_ms(latency_histogram(after), 99)
    return {
        "latency_p50_ms": _p_ms(whole, 50),
        "latency_p99_ms": _p_ms(whole, 99),
        "latency_p999_ms": _p_ms(whole, 99.9),
        "latency_p99_before_ms": p99_before,
        "latency_p99_after_ms": p99_after,
        "latency_p99_ratio": (
            round(p99_after / p99_before, 2) if p99_before else None
        ),
        "latency_histogram": whole.encode().decode(),
    }


def _goodput(
    before: Sequence[judge.Request],
    after: Sequence[judge.Request],
    window: Window,
) -> dict[str, Any]:
    def rate(requests: Sequence[judge.Request], length_s: float) -> float:
        good = sum(r.outcome == judge.ANSWERED for r in requests)
        return round(good / length_s, 1) if length_s > 0 else 0.0

    first = rate(before, window.change_s - window.begin_s)
    second = rate(after, window.end_s - window.change_s)
    return {
        "goodput_before_per_s": first,
        "goodput_after_per_s": second,
        "goodput_ratio": round(second / first, 3) if first else None,
    }


def _imbalance(
    run: experiment_module.Experiment, window: Window
) -> dict[str, Any]:
    """Compares targets by the work that they began in the window."""
    by_service: dict[str, Any] = {}
    for service in run.size.services:
        targets = [t for t in run.targets.values() if t.service == service.name]
        work: dict[str, float] = {t.name: 0.0 for t in targets}
        for one in run.runs:
            if one.target in work and (
                window.begin_s <= one.started_s <= window.end_s
            ):
                work[one.target] += one.work_ms
        speeds = {t.name: t.speed for t in targets}
        most, cv = judge.imbalance(work, speeds)
        by_service[service.name] = {
            "max_over_mean": round(most, 3),
            "cv": round(cv, 3),
            "work_ms": {name: round(value) for name, value in work.items()},
        }
    # The bounds are for the service with seven targets.
    first = by_service[run.size.services[0].name]
    return {
        "imbalance_max_over_mean": first["max_over_mean"],
        "imbalance_cv": first["cv"],
        "imbalance_by_service": by_service,
    }


def _control(
    samples: Sequence[monitor.Sample], window: Window
) -> dict[str, Any]:
    """Returns control bytes, drops and use of each daemon."""
    groups: dict[tuple[str, int], list[monitor.Sample]] = {}
    for sample in samples:
        if window.begin_s <= sample.at_s <= window.end_s:
            key = (sample.name, sample.incarnation)
            groups.setdefault(key, []).append(sample)
    rates: dict[str, float] = {}
    cores: dict[str, float] = {}
    memory: dict[str, int] = {}
    for (name, _), group in groups.items():
        first, last = group[0], group[-1]
        length_s = last.at_s - first.at_s
        if length_s < 1:
            continue
        sent = last.control_bytes - first.control_bytes
        rates[name] = max(rates.get(name, 0), round(sent / length_s, 1))
        cores[name] = round((last.cpu_s - first.cpu_s) / length_s, 3)
        memory[name] = last.memory_kb
    dropped: collections.Counter[str] = collections.Counter()
    for group in groups.values():
        last = group[-1]
        dropped.update(last.drops)
        dropped.update(
            {k: v for k, v in last.counters.items() if "dropped" in k}
        )
    return {
        "dropped_by_daemons": dict(dropped),
        "control_bytes_per_s": max(rates.values(), default=0.0),
        "control_bytes_per_s_by_daemon": rates,
        "cores_by_daemon": cores,
        "memory_kb_by_daemon": memory,
    }


def _changes(run: experiment_module.Experiment) -> dict[str, Any]:
    in_force = [w.in_force_s for w in run.writes]
    known = [value for value in in_force if value is not None]
    slowest = max(known, default=None)
    if len(known) < len(in_force):
        slowest = None
    quiet = [_data_centre_quiet_s(run, *outage) for outage in run.outages]
    run_quiet = [
        judge.quiet_after_s(run.runs, _targets_in(run, name), out)
        for name, out in run.outages
    ]
    leaving = [
        judge.quiet_after_s(run.runs, {name}, interval)
        for name, interval in run.departures
    ]
    counters: collections.Counter[str] = collections.Counter()
    for held in run.backend_counters.values():
        counters.update(held)
    return {
        "config_in_force_s": None if slowest is None else round(slowest, 2),
        "config_writes": [write._asdict() for write in run.writes],
        "data_centre_quiet_s": round(max(quiet), 2) if quiet else None,
        "data_centre_run_quiet_s": (
            round(max(run_quiet), 2) if run_quiet else None
        ),
        "leaving_quiet_s": round(max(leaving), 2) if leaving else None,
        "cold_overload_events": counters["cold_overload"]
        + judge.cold_overloads(run.runs, run.cold_starts),
        "backend_counters": dict(counters),
    }


def _targets_in(run: experiment_module.Experiment, name: str) -> set[str]:
    return {t.name for t in run.targets.values() if t.data_centre == name}


def _data_centre_quiet_s(
    run: experiment_module.Experiment, name: str, out: judge.Interval
) -> float:
    """Returns the time to the last run or callers' packet at its agents.

    Packets are seen by samples of the agents, at intervals of
    ``monitor.SAMPLE_INTERVAL_S``, so their time may be late by that much.
    """
    targets = _targets_in(run, name)
    last_s = out.begin_s + judge.quiet_after_s(run.runs, targets, out)
    held: dict[tuple[str, int], int] = {}
    for sample in run.monitor.samples:
        if sample.name not in targets:
            continue
        key = (sample.name, sample.incarnation)
        grew = sample.flow_packets > held.get(key, 0)
        held[key] = sample.flow_packets
        if grew and out.begin_s <= sample.at_s <= out.end_s:
            last_s = max(last_s, sample.at_s)
    return last_s - out.begin_s


def series(
    run: experiment_module.Experiment, seen: Seen, window: Window
) -> dict[str, Any]:
    """Returns time series in steps of ``SERIES_STEP_S``."""
    count = max(math.ceil((window.end_s - window.begin_s) / SERIES_STEP_S), 1)

    def step(at_s: float) -> int | None:
        index = math.floor((at_s - window.begin_s) / SERIES_STEP_S)
        return index if 0 <= index < count else None

    outcomes = {
        kind: [0.0] * count
        for kind in (judge.ANSWERED, judge.NOT_RUN, judge.UNKNOWN)
    }
    slices: list[list[judge.Request]] = [[] for _ in range(count)]
    for request in seen.requests:
        done = step(request.done_s)
        if done is not None:
            outcomes[request.outcome][done] += 1 / SERIES_STEP_S
        sent = step(request.sent_s)
        if sent is not None and not request.caller.startswith(SLOW_PREFIX):
            slices[sent].append(request)
    p99 = [_p_ms(latency_histogram(part), 99) for part in slices]
    runs = {name: [0.0] * count for name in run.targets}
    for one in run.runs:
        index = step(one.started_s)
        if index is not None:
            runs[one.target][index] += 1 / SERIES_STEP_S
    return {
        "step_s": SERIES_STEP_S,
        "outcomes_per_s": outcomes,
        "latency_ms": {"p99": p99},
        "runs_per_s": runs,
    }
