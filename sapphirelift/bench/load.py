"""Load generator: one process of callers with long flows at uneven rates.

``python -m sapphirelift.bench.load OPTIONS`` runs it. The file ``fabric``
stands in for the network fabric: it lists the balancers that receive packets
and the rate factor, and is reread whenever it changes. The process ends when
the file sets ``is_stopped``, and writes its callers' results as JSON lines.
"""

import json
import math
import os
import pathlib
import random
import sys
import time
from typing import Any

import eventlet
import msgspec

from sapphirelift import messages
from sapphirelift.bench import judge
from sapphirelift.callers import client
from sapphirelift.core.requests import caller as caller_core
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import retries

FABRIC_POLL_S = 0.05
SHORT_FLOW_S = 3.0
SHORT_FLOW_SHARE = 0.2
LARGE_BODY_SHARE = 0.05
LARGE_BODY_BYTES = 6000
SMALL_BODY_BYTES = 120
MAX_IN_FLIGHT = 48
OPEN_TIMEOUT_S = 15.0


class Options(msgspec.Struct, forbid_unknown_fields=True):
    """Options of one load generator.

    Attributes:
        name: Prefix of the logical ids.
        fabric: File with balancers, rate factor, phase and stop flag.
        output: File for the results.
        services: Sessions per service.
        rates: Requests per second and service at a rate factor of 1.
        callers: Number of callers that share the sessions.
        work_ms: Service time of a request at its backend server.
        is_closed_loop: Whether each session waits for the answer before it
            sends the next request; ``rates`` then has no effect.
        has_retry_budget: Whether a budget limits the callers' retries.
        starts_at_phase: Phase of the fabric file in which the load begins.
    """

    name: str
    fabric: str
    output: str
    services: dict[str, int]
    rates: dict[str, float]
    seed: int
    work_ms: float
    deadline_ms: int = 5000
    callers: int = 4
    is_closed_loop: bool = False
    starts_at_phase: int = 0
    has_retry_budget: bool = True


class Fabric:
    """The last contents read from the fabric file."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._read_mtime_ns = 0
        self.balancers: list[messages.Address] = []
        self.rate_factor = 1.0
        self.phase = 0
        self.is_stopped = False
        self.read()

    def read(self) -> None:
        """Reads the file if it has changed."""
        mtime_ns = os.stat(self._path).st_mtime_ns
        if mtime_ns == self._read_mtime_ns:
            return
        self._read_mtime_ns = mtime_ns
        value = json.loads(pathlib.Path(self._path).read_text())
        self.balancers = [messages.Address(*a) for a in value["balancers"]]
        self.rate_factor = value["rate_factor"]
        self.phase = value["phase"]
        self.is_stopped = value["is_stopped"]


class Load:
    """Callers, their sessions and the recorded results."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.fabric = Fabric(options.fabric)
        self.rng = random.Random(options.seed)
        self.requests: list[judge.Request] = []
        self.losses: list[judge.FlowLoss] = []
        self.lags_ms: list[float] = []
        self.counters = {"opens": 0, "opens_failed": 0, "not_offered": 0}
        self.in_flight = 0
        self._next_id = 0
        self._callers: list[client.Caller] = []
        self._moved = 0

    def run(self) -> None:
        """Generates load until the fabric file sets ``is_stopped``."""
        while (
            self.fabric.phase < self.options.starts_at_phase
            and not self.fabric.is_stopped
        ):
            eventlet.sleep(FABRIC_POLL_S)
            self.fabric.read()
        for number in range(self.options.callers):
            self._callers.append(self._new_caller(number))
        self._start_sessions()
        while not self.fabric.is_stopped:
            eventlet.sleep(FABRIC_POLL_S)
            self.fabric.read()
            for caller in self._callers:
                caller.balancers = self.fabric.balancers
        with eventlet.Timeout(self.options.deadline_ms / 1000 + 2, False):
            while self.in_flight:
                eventlet.sleep(FABRIC_POLL_S)

    def _new_caller(self, number: int) -> client.Caller:
        budget = retries.RetryBudget()
        if not self.options.has_retry_budget:
            budget = retries.RetryBudget(ratio=1.0, burst=math.inf)
        caller = client.Caller(
            self.fabric.balancers,
            seed=self.rng.randrange(1 << 30),
            budget=budget,
        )

        def on_notice(notice: caller_core.Notice) -> None:
            match notice:
                case caller_core.FlowBroken(session_id, reason):
                    owner = caller.owners.get(session_id, "")
                    loss = judge.FlowLoss(time.time(), owner, reason)
                    self.losses.append(loss)

        caller.on_notice = on_notice
        return caller

    def _start_sessions(self) -> None:
        for service, count in self.options.services.items():
            # With Pareto weights a few flows carry much of the load.
            weights = [self.rng.paretovariate(1.5) for _ in range(count)]
            weights = [min(weight, 8.0) for weight in weights]
            total = sum(weights)
            for number, weight in enumerate(weights):
                rate = self.options.rates.get(service, 1.0) * weight / total
                rng = random.Random(self.rng.randrange(1 << 30))
                is_long = number >= count * SHORT_FLOW_SHARE
                caller_index = number % len(self._callers)
                eventlet.spawn(
                    self._session, caller_index, service, rate, rng, is_long
                )

    def _session(
        self,
        caller_index: int,
        service: str,
        rate: float,
        rng: random.Random,
        is_long: bool,
    ) -> None:
        eventlet.sleep(rng.uniform(0, 0.5))
        while not self.fabric.is_stopped:
            self.counters["opens"] += 1
            try:
                session = self._callers[caller_index].open(
                    service, timeout_s=OPEN_TIMEOUT_S
                )
            except eventlet.Timeout:
                self.counters["opens_failed"] += 1
                continue
            end_s = time.time() + rng.expovariate(1 / SHORT_FLOW_S)
            if is_long:
                end_s = float("inf")
            self._send_requests(
                session, caller_index, service, rate, rng, end_s
            )
            session.close()

    def _send_requests(
        self,
        session: client.Session,
        caller_index: int,
        service: str,
        rate: float,
        rng: random.Random,
        end_s: float,
    ) -> None:
        """Sends requests on a session until ``end_s``."""
        pending = [0]
        due_s = time.time()
        while not self.fabric.is_stopped and due_s < end_s:
            if self.options.is_closed_loop:
                self._request(session, caller_index, service, rng, pending)
                due_s = time.time()
                continue
            due_s += rng.expovariate(rate * max(self.fabric.rate_factor, 0.01))
            eventlet.sleep(max(due_s - time.time(), 0))
            self.lags_ms.append((time.time() - due_s) * 1000)
            if pending[0] >= MAX_IN_FLIGHT:
                self.counters["not_offered"] += 1
                continue
            eventlet.spawn(
                self._request, session, caller_index, service, rng, pending
            )
        while pending[0]:
            eventlet.sleep(FABRIC_POLL_S)

    def _request(
        self,
        session: client.Session,
        caller_index: int,
        service: str,
        rng: random.Random,
        pending: list[int],
    ) -> None:
        self._next_id += 1
        logical_id = f"{self.options.name}.{self._next_id}"
        idempotent = rng.random() < 0.5
        body = _body(logical_id, rng)
        path = f"/echo?id={logical_id}&work_ms={self.options.work_ms:g}"
        sent_s = time.time()
        pending[0] += 1
        self.in_flight += 1
        try:
            outcome = session.request(
                "POST",
                path,
                body=body,
                idempotent=idempotent,
                deadline_ms=self.options.deadline_ms,
            )
        finally:
            pending[0] -= 1
            self.in_flight -= 1
        kind, reason = _outcome_and_reason(outcome)
        is_intact_answer = isinstance(outcome, outcomes.Answered) and (
            outcome == outcomes.Answered(200, body)
        )
        self.requests.append(
            judge.Request(
                logical_id=logical_id,
                service=service,
                caller=f"{self.options.name}.{caller_index}",
                idempotent=idempotent,
                sent_s=sent_s,
                done_s=time.time(),
                outcome=kind,
                reason=reason,
                is_intact=is_intact_answer,
            )
        )

    def write(self) -> None:
        """Writes the results to the output file."""
        moved = sum(caller.moved_flows for caller in self._callers)
        lines: list[dict[str, Any]] = [
            {"requests": self.requests},
            {"losses": self.losses},
            {"lags_ms": self.lags_ms},
            {"counters": self.counters | {"moved_flows": moved}},
            {"unfinished": self.in_flight},
        ]
        text = "\n".join(json.dumps(line) for line in lines)
        pathlib.Path(self.options.output).write_text(text)


def _body(logical_id: str, rng: random.Random) -> bytes:
    """Returns a body that is unique to the request."""
    count = SMALL_BODY_BYTES
    if rng.random() < LARGE_BODY_SHARE:
        count = LARGE_BODY_BYTES
    return (logical_id.encode() + b" ") * (count // (len(logical_id) + 1))


def _outcome_and_reason(outcome: outcomes.Outcome) -> tuple[str, str]:
    match outcome:
        case outcomes.Answered(status=status):
            return judge.ANSWERED, str(status)
        case outcomes.NotRun(reason=reason):
            return judge.NOT_RUN, reason
        case outcomes.Unknown(reason=reason):
            return judge.UNKNOWN, reason


if __name__ == "__main__":
    eventlet.monkey_patch(thread=False)
    load = Load(msgspec.json.decode(sys.argv[1], type=Options))
    load.run()
    load.write()
