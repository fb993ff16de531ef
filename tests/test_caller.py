"""Outcomes that the caller's state machine reports."""

import random

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core.requests import caller
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import retries

KIND = messages.Kind
CODE = messages.OutcomeCode
TOKEN = bytes(range(48))


class Harness:
    """A caller core with one session and one request on an open flow."""

    def __init__(
        self,
        *,
        idempotent: bool = False,
        budget: retries.RetryBudget | None = None,
    ) -> None:
        self.core = caller.CallerCore(rng=random.Random(1), budget=budget)
        self.done: list[outcomes.Outcome] = []
        self.sent: list[wire.CallerDatagram] = []
        session_id, out = self.core.open_session("service", now_ms=0)
        self.record(out)
        self.accept(0)
        _, out = self.core.start_request(
            session_id,
            method="POST",
            path="/",
            idempotent=idempotent,
            deadline_ms=1000,
            now_ms=0,
        )
        self.record(out)

    def record(self, out: list[caller.Output]) -> None:
        """Records the datagrams and outcomes among the outputs."""
        for output in out:
            match output:
                case caller.SendDatagram(data):
                    self.sent.append(wire.decode_caller(data))
                case caller.RequestDone(_, outcome):
                    self.done.append(outcome)

    def last(self, kind: int) -> wire.CallerDatagram:
        """Returns the last datagram of a kind."""
        return [one for one in self.sent if one.kind == kind][-1]

    def receive(
        self, kind: int, key: bytes, body: tuple[object, ...], now_ms: int
    ) -> None:
        """Passes a datagram from the flow's owner to the core."""
        data = wire.encode_caller(kind, key, body, flow_token=TOKEN)
        self.record(self.core.receive(data, now_ms=now_ms))

    def accept(self, now_ms: int) -> None:
        """Accepts the last flow that was opened."""
        key = self.last(KIND.OPEN).flow_key
        self.receive(KIND.ACCEPT, key, messages.Accept("agent", 64), now_ms)

    def respond(self, code: int, reason: str, now_ms: int) -> None:
        """Sends the outcome of the last request."""
        request = self.last(KIND.REQUEST)
        body = messages.Response(
            request_id=request.body.request_id,
            fragment_index=0,
            fragment_count=1,
            body_hash=0xEF46DB3751D8E999,
            outcome=code,
            status=0,
            reason=reason,
            payload=b"",
        )
        self.receive(KIND.RESPONSE, request.flow_key, body, now_ms)

    def tick(self, now_ms: int) -> None:
        """Passes a tick to the core."""
        self.record(self.core.tick(now_ms))


class TestLateOutcome:
    """A request whose deadline has passed."""

    def test_refusal_after_the_deadline_is_reported(self) -> None:
        """Guards against Unknown for a request that its agent shed."""
        harness = Harness()
        harness.tick(1000)
        assert harness.last(KIND.CANCEL).body.request_id == 1
        assert harness.done == []
        harness.respond(CODE.NOT_RUN, "deadline", 1020)
        assert harness.done == [outcomes.NotRun("deadline")]

    def test_silent_owner_ends_as_unknown(self) -> None:
        """Guards against a request that never ends, or ends as not run."""
        harness = Harness()
        for now_ms in range(1000, 1000 + caller.OUTCOME_GRACE_MS + 20, 20):
            harness.tick(now_ms)
        assert harness.done == [outcomes.Unknown("deadline")]


class TestRetriedRequest:
    """An idempotent request whose first flow was lost."""

    def test_refused_retry_is_not_reported_as_not_run(self) -> None:
        """Guards against NotRun when the first attempt may have run."""
        harness = Harness(idempotent=True)
        key = harness.last(KIND.REQUEST).flow_key
        harness.receive(KIND.RESET, key, messages.Reset("unknown_flow"), 10)
        harness.accept(20)
        harness.tick(200)
        assert harness.last(KIND.REQUEST).flow_key != key
        harness.tick(1000)
        harness.respond(CODE.NOT_RUN, "deadline", 1010)
        assert harness.done == [outcomes.Unknown("deadline")]

    def test_retry_without_a_flow_is_not_reported_as_not_run(self) -> None:
        """Guards against NotRun when only the second attempt was never sent."""
        harness = Harness(idempotent=True)
        key = harness.last(KIND.REQUEST).flow_key
        harness.receive(KIND.RESET, key, messages.Reset("unknown_flow"), 10)
        harness.tick(1000)
        assert harness.done == [outcomes.Unknown("deadline")]

    def test_move_does_not_use_the_retry_budget(self) -> None:
        """Guards against a drain of many flows that spends the budget."""
        harness = Harness(budget=retries.RetryBudget(burst=0.0))
        key = harness.last(KIND.REQUEST).flow_key
        harness.respond(CODE.NOT_RUN, "draining", 10)
        assert harness.done == []
        harness.accept(20)
        harness.tick(200)
        assert harness.last(KIND.REQUEST).flow_key != key
        harness.respond(CODE.NOT_RUN, "overloaded", 210)
        assert harness.done == [outcomes.NotRun("overloaded")]
