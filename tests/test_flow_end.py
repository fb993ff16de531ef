"""The end of a flow at the caller and at the agent."""

import random

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import agent
from sapphirelift.core.requests import caller
from tests import test_requests

KIND = messages.Kind
TOKEN = b"t" * 48


def sent(outputs: list[caller.Output]) -> list[wire.CallerDatagram]:
    """Returns the datagrams among the outputs."""
    return [
        wire.decode_caller(output.data)
        for output in outputs
        if isinstance(output, caller.SendDatagram)
    ]


def open_flow(core: caller.CallerCore) -> tuple[int, bytes]:
    """Opens a session; returns its id and the key of its flow."""
    session_id, outputs = core.open_session("pakkaamo", now_ms=0)
    flow_key = sent(outputs)[0].flow_key
    accept = messages.Accept("agent", 64)
    core.receive(
        wire.encode_caller(KIND.ACCEPT, flow_key, accept, flow_token=TOKEN),
        now_ms=0,
    )
    return session_id, flow_key


class TestClose:
    """Tests the end of a flow."""

    def test_lost_close_is_sent_again(self) -> None:
        """Guards against an agent that keeps a flow whose CLOSE was lost."""
        core = caller.CallerCore(rng=random.Random(1))
        session_id, flow_key = open_flow(core)
        core.close_session(session_id, now_ms=10)
        move = wire.encode_caller(
            KIND.MOVE,
            flow_key,
            messages.Move("draining", 1000),
            flow_token=TOKEN,
        )
        for now_ms in (20, caller.CLOSE_LINGER_MS + 100):
            core.tick(now_ms)
            answers = sent(core.receive(move, now_ms=now_ms))
            assert [answer.kind for answer in answers] == [KIND.CLOSE]
            assert answers[0].token == TOKEN

    def test_drain_closes_flows_of_silent_callers(self) -> None:
        """Guards against a drain that waits for callers that are gone."""
        harness = test_requests.Harness()
        harness.handle(agent.Drain())
        harness.now_ms = harness.core.limits.drain_silence_ms
        harness.handle(agent.Tick())
        assert harness.core.flows
        harness.now_ms += 300
        harness.handle(agent.Tick())
        assert not harness.core.flows
