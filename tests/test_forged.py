"""Forged and replayed datagrams, and a flood of OPENs."""

import random

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core.flows import token
from sapphirelift.core.requests import caller
from tests import test_requests

KIND = messages.Kind
TOKEN = bytes([1]) * token.TOKEN_BYTES
FORGED = bytes([2]) * token.TOKEN_BYTES
BODIES: dict[int, tuple[object, ...]] = {
    KIND.RESET: messages.Reset("unknown_flow"),
    KIND.MOVE: messages.Move("draining", 1000),
    KIND.ACCEPT: messages.Accept("stranger", 4),
}


class TestCaller:
    """Tests which datagrams a caller accepts."""

    def test_forged_datagram_is_ignored(self) -> None:
        """Guards against a flow ended or moved by a forged datagram."""
        core = caller.CallerCore(rng=random.Random(1))
        _, out = core.open_session("service", now_ms=0)
        opening = _sent(out)[0]

        def receive(
            kind: int, key: bytes, flow_token: bytes
        ) -> list[caller.Output]:
            data = wire.encode_caller(
                kind, key, BODIES[kind], flow_token=flow_token
            )
            return core.receive(data, now_ms=10)

        for kind in BODIES:
            assert receive(kind, opening.flow_key, token.NO_TOKEN) == []
        opened = receive(KIND.ACCEPT, opening.flow_key, TOKEN)
        assert any(isinstance(o, caller.FlowOpened) for o in opened)
        for kind in (KIND.RESET, KIND.MOVE):
            for forged in (FORGED, token.NO_TOKEN):
                assert receive(kind, opening.flow_key, forged) == []
        assert receive(KIND.RESET, bytes(16), TOKEN) == []
        # A MOVE for a flow that the caller does not know is answered by CLOSE.
        replies = _sent(receive(KIND.MOVE, bytes(16), TOKEN))
        assert [(r.kind, r.flow_key) for r in replies] == [
            (KIND.CLOSE, bytes(16))
        ]
        # A second ACCEPT is answered by CLOSE; the flow keeps its first owner.
        replies = _sent(receive(KIND.ACCEPT, opening.flow_key, FORGED))
        assert [(r.kind, r.token) for r in replies] == [(KIND.CLOSE, FORGED)]
        assert core.counters["flows_broken"] == 0
        moved = _sent(receive(KIND.MOVE, opening.flow_key, TOKEN))
        assert [datagram.kind for datagram in moved] == [KIND.OPEN]


def _sent(out: list[caller.Output]) -> list[wire.CallerDatagram]:
    return [
        wire.decode_caller(item.data)
        for item in out
        if isinstance(item, caller.SendDatagram)
    ]


def _open(harness: test_requests.Harness, key: bytes) -> None:
    opening = wire.encode_caller(KIND.OPEN, key, messages.Open("service", 0))
    body = wire.encode_body(
        messages.OpenForward(
            test_requests.CALLER, test_requests.BALANCER, 0, [], opening
        )
    )
    harness.core.handle(
        agent.PeerDatagram(test_requests.BALANCER, KIND.OPEN_FORWARD, body),
        now_ms=harness.now_ms,
    )


class TestFlood:
    """Tests an agent that receives a flood of OPENs."""

    def test_table_is_bounded_and_open_flows_work(self) -> None:
        """Guards against unbounded memory and eviction of open flows."""
        harness = test_requests.Harness(max_flows=50)
        for number in range(1, 1000):
            _open(harness, number.to_bytes(16, "big"))
            assert len(harness.core.flows) <= 50
        assert harness.core.counters["flows_refused"] == 950
        harness.send_fragment(1)
        assert harness.started[1] == 1
        harness.finish(harness.runs[0], test_requests.ANSWER)
        assert harness.answers[1] == [(messages.OutcomeCode.ANSWERED, "")]


class TestReplay:
    """Tests replayed datagrams."""

    def test_request_runs_once_and_never_in_a_later_flow(self) -> None:
        """Guards against a request run again by a replayed datagram."""
        harness = test_requests.Harness()
        first_token = harness.token
        harness.send_fragment(1)
        harness.finish(harness.runs[0], test_requests.ANSWER)
        harness.send_fragment(1)
        harness.pass_time(2 * test_requests.LIMITS.reply_cache_ttl_ms)
        harness.send_fragment(1)
        harness.send(KIND.CLOSE, messages.Close("done"))
        harness.send_fragment(1)
        _open(harness, bytes(16))
        flow = harness.core.flows[bytes(16)]
        assert flow.token != first_token
        harness.send_fragment(1)
        assert harness.started[1] == 1
        assert not any(
            isinstance(run, actions.StartRun) for run in harness.runs
        )
