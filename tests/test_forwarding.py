"""Routing of one balancer: established flows, withdrawals and OPENs."""

import hypothesis
from hypothesis import strategies as st

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.flows import balancer
from sapphirelift.core.flows import token
from sapphirelift.core.membership import membership

RING = keys.KeyRing(1, {0: b"a" * 32, 1: b"b" * 32})
CALLER = ("10.1.0.1", 5000)
KEY = b"f" * 16


def make_core() -> balancer.BalancerCore:
    """Returns a balancer without members, as after a start."""
    return balancer.BalancerCore(
        address=messages.Address("10.0.0.1", 1),
        members=membership.Membership(),
        ring=RING,
    )


def datagram(data_centre: str = "etela-a") -> bytes:
    """Returns a datagram of a flow whose token is signed with the old key."""
    owner = token.Token(
        "10.0.0.2", 9, 1, 2, keys.data_centre_id(data_centre), 4, 0
    )
    sealed = token.seal(owner, KEY, keys.KeyRing(0, RING.keys))
    return wire.encode_caller(
        messages.Kind.PING, KEY, messages.Ping(1), flow_token=sealed
    )


class TestForwarding:
    """Tests the fast path against the path for all other datagrams."""

    def test_same_result_as_step_by_step(self) -> None:
        """Guards against a fast path that differs from the protocol."""
        data = datagram()
        body = wire.encode_forward(CALLER, data)
        expected = wire.encode_peer(messages.Kind.FORWARD, body, RING)
        assert make_core().forward(data, CALLER, now_ms=0) == (
            expected,
            ("10.0.0.2", 9),
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        st.integers(0, 80), st.integers(0, 255), st.integers(0, 80)
    )
    def test_forged_takes_neither_path(
        self, index: int, value: int, cut: int
    ) -> None:
        """Guards against a token that only the step-by-step path checks."""
        data = bytearray(datagram())
        index %= len(data)
        data[index] = value
        forged = bytes(data[: len(data) - cut])
        core = make_core()
        fast = core.forward(forged, CALLER, now_ms=0)
        slow = core.on_caller_datagram(forged, CALLER, now_ms=0)
        if fast is None:
            assert not isinstance(slow, actions.SendPeer)
        else:
            assert slow == actions.SendPeer(messages.Address(*fast[1]), fast[0])

    def test_rotation_reaches_the_fast_path(self) -> None:
        """Guards against a key that is still accepted after its removal."""
        ring = keys.KeyRing(0, {0: b"a" * 32, 1: b"b" * 32})
        core = balancer.BalancerCore(
            address=messages.Address("10.0.0.1", 1),
            members=membership.Membership(),
            ring=ring,
        )
        assert core.forward(datagram(), CALLER, now_ms=0) is not None
        ring.set_current_key(1)
        forwarded = core.forward(datagram(), CALLER, now_ms=0)
        assert forwarded is not None
        assert wire.decode_peer(forwarded[0], keys.KeyRing(1, {1: b"b" * 32}))
        ring.replace({1: b"b" * 32})
        assert core.forward(datagram(), CALLER, now_ms=0) is None

    def test_withdrawn_data_centre_twice(self) -> None:
        """Guards against packets to a withdrawn data centre."""
        core = make_core()
        for _ in range(2):
            core.set_withdrawn({"etela-a"})
            assert core.forward(datagram(), CALLER, now_ms=0) is None
            answer = core.on_caller_datagram(datagram(), CALLER, now_ms=0)
            assert isinstance(answer, actions.SendCaller)
            reset = wire.decode_caller(answer.data)
            assert reset.body == messages.Reset("data_centre_withdrawn")
            core.set_withdrawn(set())
            assert core.forward(datagram(), CALLER, now_ms=0) is not None

    def test_nothing_is_routed_between_freeze_and_comparison(self) -> None:
        """Guards against packets routed by records older than a freeze."""
        core = make_core()
        opening = wire.encode_caller(
            messages.Kind.OPEN, KEY, messages.Open("pakkaamo", 0)
        )
        assert core.forward(datagram(), CALLER, now_ms=0) is not None
        for data in (opening, datagram()):
            assert core.forward(data, CALLER, now_ms=9000) is None
            assert core.on_caller_datagram(data, CALLER, now_ms=9000) is None
        assert core.counters["dropped_stale_records"] == 2
        core.freshness.confirm()
        assert core.forward(datagram(), CALLER, now_ms=9001) is not None
        answer = core.on_caller_datagram(opening, CALLER, now_ms=9001)
        assert isinstance(answer, actions.SendCaller)

    def test_flow_of_a_returned_data_centre_is_not_reset(self) -> None:
        """Guards against a RESET for a withdrawal that ended while frozen."""
        core = make_core()
        core.freshness.observe(0)
        core.set_withdrawn({"etela-a"})
        assert core.on_caller_datagram(datagram(), CALLER, now_ms=9000) is None
        core.set_withdrawn(set())
        core.freshness.confirm()
        assert core.forward(datagram(), CALLER, now_ms=9001) is not None

    def test_flows_wait_no_longer_than_the_time_limit(self) -> None:
        """Guards against flows blocked for ever if no comparison happens."""
        core = make_core()
        assert core.forward(datagram(), CALLER, now_ms=0) is not None
        for now_ms in range(9000, 12_000, 500):
            assert core.forward(datagram(), CALLER, now_ms=now_ms) is None
        assert core.forward(datagram(), CALLER, now_ms=12_000) is not None
