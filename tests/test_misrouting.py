"""Packets that reach an agent that does not own their flow."""

import pytest

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import keys
from sapphirelift.core import limits
from sapphirelift.core.flows import token

RING = keys.KeyRing(0, {0: b"k" * 32})
KEY = b"f" * 16
BALANCER = messages.Address("10.0.0.1", 1)


class TestForeignPackets:
    """Tests how an agent answers a token that it did not issue."""

    @pytest.mark.parametrize(
        ("incarnation", "service", "ring", "counter"),
        [
            (6, "pakkaamo", RING, "resets_stale_incarnation"),
            (7, "pakkaamo", RING, "resets_unknown_flow"),
            (7, "jasen-kauppa", RING, "dropped_wrong_service"),
            (
                7,
                "pakkaamo",
                keys.KeyRing(0, {0: b"x" * 32}),
                "dropped_token_forged",
            ),
        ],
    )
    def test_request_is_not_run(
        self, incarnation: int, service: str, ring: keys.KeyRing, counter: str
    ) -> None:
        """Guards against a request run by a process that does not own it."""
        address = messages.Address("10.0.0.2", 9)
        core = agent.AgentCore(
            agent.AgentIdentity("a", address, 7, "pakkaamo", "etela-a"),
            limits=limits.AgentLimits(),
            ring=RING,
        )
        owner = token.Token(
            *address, incarnation, keys.service_id(service), 3, 4, 0
        )
        data = wire.encode_caller(
            messages.Kind.REQUEST,
            KEY,
            messages.Request(1, 0, 1, 0, 1000, False, "POST", "/", b""),
            flow_token=token.seal(owner, KEY, ring),
        )
        body = wire.encode_forward(("10.1.0.1", 5), data)
        event = agent.PeerDatagram(BALANCER, messages.Kind.FORWARD, body)
        out = core.handle(event, now_ms=0)
        assert core.counters[counter] == 1
        assert not any(isinstance(a, actions.StartRun) for a in out)
        answers = [a for a in out if isinstance(a, actions.SendPeer)]
        assert bool(answers) == counter.startswith("resets_")
        for answer in answers:
            _, relayed = wire.decode_peer(answer.data, RING)
            _, reset = wire.decode_forward(relayed)
            assert wire.decode_caller(reset).kind == messages.Kind.RESET
