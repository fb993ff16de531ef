"""Checks a run by the callers' outcomes and the backend servers' records.

The counters of balancers and agents are not used.
"""

import collections
import statistics
import urllib.parse
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class Request(NamedTuple):
    """One request and its outcome as recorded by the caller.

    Attributes:
        logical_id: Unique within the test run; retries keep it.
        caller: Name of the caller.
        sent_s: Time at which the request was passed to the caller library.
        done_s: Time of the outcome.
        outcome: ``answered``, ``not_run`` or ``unknown``.
        reason: HTTP status of an answer, otherwise the reason.
        is_intact: Whether the answer is the expected one for this request.
    """

    logical_id: str
    service: str
    caller: str
    idempotent: bool
    sent_s: float
    done_s: float
    outcome: str
    reason: str
    is_intact: bool

    @property
    def latency_ms(self) -> float:
        """Time from ``sent_s`` to the outcome."""
        return (self.done_s - self.sent_s) * 1000


class Run(NamedTuple):
    """One execution of a request, as recorded by a backend server."""

    target: str
    service: str
    logical_id: str
    started_s: float
    work_ms: float


class FlowLoss(NamedTuple):
    """A flow that broke instead of being moved to another owner."""

    at_s: float
    owner: str
    reason: str


class Interval(NamedTuple):
    """Time span of an event, such as the withdrawal of a data centre."""

    begin_s: float
    end_s: float


class Violations(NamedTuple):
    """Number of violations of each kind; each must be zero.

    Attributes:
        ids: Logical ids of at most 20 violations of each kind.
    """

    double_runs: int
    false_not_run: int
    misrouted_packets: int
    wrong_answers: int
    answers_without_run: int
    ids: dict[str, list[str]]


def read_runs(
    target: str, service: str, records: Iterable[Mapping[str, object]]
) -> list[Run]:
    """Parses a backend server's records, skipping requests without an id."""
    runs = []
    for record in records:
        query = dict(urllib.parse.parse_qsl(str(record.get("query", ""))))
        if "id" not in query:
            continue
        started_s = float(str(record["started_s"]))
        work_ms = float(query.get("work_ms", "0"))
        runs.append(Run(target, service, query["id"], started_s, work_ms))
    return runs


def find_violations(
    requests: Sequence[Request], runs: Sequence[Run]
) -> Violations:
    """Compares the callers' outcomes with the recorded runs.

    A run at a backend server of a service other than the request's counts as
    misrouted. The outcome ``not_run`` is false if any attempt of the request
    was run, including an earlier one.
    """
    by_id: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_id[run.logical_id].append(run)
    violations: dict[str, list[str]] = collections.defaultdict(list)
    for request in requests:
        matching_runs = by_id.get(request.logical_id, [])
        if len(matching_runs) > 1 and not request.idempotent:
            violations["double_runs"].append(request.logical_id)
        if matching_runs and request.outcome == NOT_RUN:
            violations["false_not_run"].append(request.logical_id)
        if request.outcome == ANSWERED and not request.is_intact:
            violations["wrong_answers"].append(request.logical_id)
        if request.outcome == ANSWERED and not matching_runs:
            violations["answers_without_run"].append(request.logical_id)
        violations["misrouted"] += [
            run.logical_id
            for run in matching_runs
            if run.service != request.service
        ]
    return Violations(
        double_runs=len(violations["double_runs"]),
        false_not_run=len(violations["false_not_run"]),
        misrouted_packets=len(violations["misrouted"]),
        wrong_answers=len(violations["wrong_answers"]),
        answers_without_run=len(violations["answers_without_run"]),
        ids={key: ids[:20] for key, ids in violations.items() if ids},
    )


def split_losses(
    losses: Iterable[FlowLoss],
    expected_losses: Mapping[str, Sequence[Interval]],
) -> tuple[list[FlowLoss], list[FlowLoss]]:
    """Splits lost flows into broken ones and those lost by design.

    Args:
        losses: Lost flows.
        expected_losses: For each owner, the intervals in which its flows are
            lost by design: its data centre is withdrawn, or it was killed.
    """
    broken, lost_by_design = [], []
    for loss in losses:
        loss_intervals = expected_losses.get(loss.owner, ())
        if any(i.begin_s <= loss.at_s <= i.end_s for i in loss_intervals):
            lost_by_design.append(loss)
        else:
            broken.append(loss)
    return broken, lost_by_design


def imbalance(
    work_ms: Mapping[str, float], speeds: Mapping[str, float]
) -> tuple[float, float]:
    """Returns maximum over mean and the coefficient of variation of the load.

    Args:
        work_ms: Work done by each target of one service.
        speeds: Relative speed of each target. The work is divided by it, so
            that a slower target's fair share is smaller.
    """
    shares = [work_ms[name] / speeds[name] for name in work_ms]
    if not shares or sum(shares) == 0:
        return 0.0, 0.0
    mean = statistics.fmean(shares)
    return max(shares) / mean, statistics.pstdev(shares) / mean


def time_to_last_run_s(
    runs: Iterable[Run], targets: set[str], withdrawal: Interval
) -> float:
    """Returns the time from a withdrawal to the last run during it.

    Args:
        runs: All runs.
        targets: Withdrawn backend servers.
        withdrawal: From the write that withdraws to the one that restores.
    """
    last_s = withdrawal.begin_s
    for run in runs:
        if (
            run.target in targets
            and withdrawal.begin_s <= run.started_s <= withdrawal.end_s
        ):
            last_s = max(last_s, run.started_s)
    return last_s - withdrawal.begin_s


class ColdStart(NamedTuple):
    """A start of a backend server during the run."""

    target: str
    at_s: float
    slots: int
    speed: float


COLD_MS = 5000
COLD_INITIAL_SHARE = 0.1


def cold_overloads(runs: Iterable[Run], starts: Iterable[ColdStart]) -> int:
    """Counts runs that exceeded the capacity of a cold backend server.

    In this model the capacity grows linearly from ``COLD_INITIAL_SHARE`` of
    the slots at the start to all of them after ``COLD_MS``, and is at least
    one request. The number of concurrent requests is computed from the start
    and the work of each run.
    """
    by_target: dict[str, list[Run]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_target[run.target].append(run)
    count = 0
    for start in starts:
        run_ends_s: list[float] = []
        for run in by_target[start.target]:
            age_s = run.started_s - start.at_s
            if not 0 <= age_s < COLD_MS / 1000:
                continue
            share = COLD_INITIAL_SHARE
            share += (1 - COLD_INITIAL_SHARE) * age_s * 1000 / COLD_MS
            run_ends_s = [
                end_s for end_s in run_ends_s if end_s > run.started_s
            ]
            run_ends_s.append(run.started_s + run.work_ms / 1000 / start.speed)
            count += len(run_ends_s) > max(1.0, share * start.slots)
    return count
