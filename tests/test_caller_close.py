"""Flows that a caller has closed while their agent still holds them."""

import random

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core.requests import caller

TOKEN = b"t" * 48
Kind = messages.Kind


def sent(outputs: list[caller.Output]) -> list[wire.CallerDatagram]:
    """Returns the datagrams that a caller sends."""
    return [
        wire.decode_caller(output.data)
        for output in outputs
        if isinstance(output, caller.SendDatagram)
    ]


class TestLostClose:
    """The CLOSE of a flow was lost because a balancer failed."""

    def test_move_of_a_closed_flow_is_answered_with_close(self) -> None:
        """Guards against a drain that waits until its timeout for the flow."""
        core = caller.CallerCore(rng=random.Random(1))
        session, out = core.open_session("pakkaamo", now_ms=0)
        key = sent(out)[0].flow_key
        accept = messages.Accept(owner="agent", max_requests=4)
        core.receive(
            wire.encode_caller(Kind.ACCEPT, key, accept, flow_token=TOKEN),
            now_ms=1,
        )
        core.close_session(session, now_ms=2)
        move = wire.encode_caller(
            Kind.MOVE,
            key,
            messages.Move(reason="draining", within_ms=1000),
            flow_token=TOKEN,
        )
        # While the caller still lingers after CLOSE, and after it has removed
        # the flow.
        for now_ms in (500, 10_000):
            core.tick(now_ms)
            (answer,) = sent(core.receive(move, now_ms=now_ms))
            assert answer.kind == Kind.CLOSE
            assert (answer.flow_key, answer.token) == (key, TOKEN)
