"""Judges a run from the callers' outcomes and the backend servers' records.

The product's own counters play no part here.
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
    """What a caller saw of one request.

    Attributes:
        logical_id: Unique in the whole run; kept over the caller's retries.
        caller: Name of the caller.
        sent_s: Time at which it was handed to the caller library.
        done_s: Time of the outcome.
        outcome: ``answered``, ``not_run`` or ``unknown``.
        reason: Reason or status of the outcome.
        is_intact: Whether the answer is the one that belongs to it.
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
        """Time from hand-over to outcome."""
        return (self.done_s - self.sent_s) * 1000


class Run(NamedTuple):
    """One entry of a backend server's record of runs."""

    target: str
    service: str
    logical_id: str
    started_s: float
    work_ms: float


class FlowLoss(NamedTuple):
    """A flow that a caller lost without a move."""

    at_s: float
    owner: str
    reason: str


class Interval(NamedTuple):
    """Time during which something was out."""

    begin_s: float
    end_s: float


class OutcomeCheck(NamedTuple):
    """Counts that must be zero, and the ids to look for."""

    double_runs: int
    false_not_run: int
    misrouted_packets: int
    wrong_answers: int
    answers_without_run: int
    ids: dict[str, list[str]]


def read_runs(
    target: str, service: str, records: Iterable[Mapping[str, object]]
) -> list[Run]:
    """Reads a backend server's record; requests without an id are ignored."""
    runs = []
    for record in records:
        query = dict(urllib.parse.parse_qsl(str(record.get("query", ""))))
        if "id" not in query:
            continue
        started_s = float(str(record["started_s"]))
        work_ms = float(query.get("work_ms", "0"))
        runs.append(Run(target, service, query["id"], started_s, work_ms))
    return runs


def check_outcomes(
    requests: Sequence[Request], runs: Sequence[Run]
) -> OutcomeCheck:
    """Compares outcomes with runs.

    A run at a backend server of another service than the request's counts
    as misrouted. A refusal as not run is false if there is any run of the
    request, also one of an earlier attempt.
    """
    by_id: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_id[run.logical_id].append(run)
    found: dict[str, list[str]] = collections.defaultdict(list)
    for request in requests:
        own = by_id.get(request.logical_id, [])
        if len(own) > 1 and not request.idempotent:
            found["double_runs"].append(request.logical_id)
        if own and request.outcome == NOT_RUN:
            found["false_not_run"].append(request.logical_id)
        if request.outcome == ANSWERED and not request.is_intact:
            found["wrong_answers"].append(request.logical_id)
        if request.outcome == ANSWERED and not own:
            found["answers_without_run"].append(request.logical_id)
        found["misrouted"] += [
            run.logical_id for run in own if run.service != request.service
        ]
    return OutcomeCheck(
        double_runs=len(found["double_runs"]),
        false_not_run=len(found["false_not_run"]),
        misrouted_packets=len(found["misrouted"]),
        wrong_answers=len(found["wrong_answers"]),
        answers_without_run=len(found["answers_without_run"]),
        ids={key: ids[:20] for key, ids in found.items() if ids},
    )


def split_losses(
    losses: Iterable[FlowLoss],
    expected_loss_intervals: Mapping[str, Sequence[Interval]],
) -> tuple[list[FlowLoss], list[FlowLoss]]:
    """Splits lost flows into broken ones and ones lost by design.

    Args:
        losses: Lost flows.
        expected_loss_intervals: For each owner, the times at which its flows
            are lost by design: its data centre is withdrawn, or it was killed.
    """
    broken, lost_by_design = [], []
    for loss in losses:
        intervals = expected_loss_intervals.get(loss.owner, ())
        if any(i.begin_s <= loss.at_s <= i.end_s for i in intervals):
            lost_by_design.append(loss)
        else:
            broken.append(loss)
    return broken, lost_by_design


def imbalance(
    work_ms: Mapping[str, float], speeds: Mapping[str, float]
) -> tuple[float, float]:
    """Returns maximum over mean, and the coefficient of variation.

    Args:
        work_ms: Work done by each target of one service.
        speeds: Speed of each target; work is compared with the fair share
            by speed.
    """
    shares = [work_ms[name] / speeds[name] for name in work_ms]
    if not shares or sum(shares) == 0:
        return 0.0, 0.0
    mean = statistics.fmean(shares)
    return max(shares) / mean, statistics.pstdev(shares) / mean


def quiet_after_s(
    runs: Iterable[Run], targets: set[str], out: Interval
) -> float:
    """Returns the time from a withdrawal to the last run in it.

    Args:
        runs: All runs.
        targets: Backend servers of the withdrawn data centre.
        out: From the withdrawal's write to the restoring one.
    """
    last_s = out.begin_s
    for run in runs:
        if run.target in targets and out.begin_s <= run.started_s <= out.end_s:
            last_s = max(last_s, run.started_s)
    return last_s - out.begin_s


class ColdStart(NamedTuple):
    """A start of a backend server during the run."""

    target: str
    at_s: float
    slots: int
    speed: float


COLD_MS = 5000
COLD_INITIAL_SHARE = 0.1


def cold_overloads(runs: Iterable[Run], starts: Iterable[ColdStart]) -> int:
    """Counts runs that began while a cold backend server was full.

    A backend server of this model handles ``COLD_INITIAL_SHARE`` of its
    slots when it starts, and all of them ``COLD_MS`` later, but always one
    request. Requests in progress follow from the start and work of each run.
    """
    by_target: dict[str, list[Run]] = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_target[run.target].append(run)
    count = 0
    for start in starts:
        ends: list[float] = []
        for run in by_target[start.target]:
            age_s = run.started_s - start.at_s
            if not 0 <= age_s < COLD_MS / 1000:
                continue
            share = COLD_INITIAL_SHARE
            share += (1 - COLD_INITIAL_SHARE) * age_s * 1000 / COLD_MS
            ends = [end_s for end_s in ends if end_s > run.started_s]
            ends.append(run.started_s + run.work_ms / 1000 / start.speed)
            count += len(ends) > max(1.0, share * start.slots)
    return count
