"""Decoders given malformed, truncated, oversized and forged datagrams."""

import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import keys
from sapphirelift.core.flows import token

RING = keys.KeyRing(0, {0: b"k" * 32})
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
KINDS = sorted(wire._BODIES)

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=12,
)
BODIES = st.binary(max_size=80) | VALUES.map(msgspec.msgpack.encode)


def check(decode: typing.Callable[[], object]) -> None:
    """Runs a decoder, which may raise nothing but DatagramError."""
    try:
        decode()
    except errors.DatagramError as error:
        assert error.reason


def sample_value(annotation: typing.Any) -> typing.Any:
    """Returns a valid value for a field's type."""
    if annotation is messages.Address:
        return messages.Address("127.0.0.1", 9)
    if typing.get_origin(annotation) is list:
        return [sample_value(typing.get_args(annotation)[0])]
    values = {int: 1, float: 0.5, bool: True, str: "10.0.0.1", bytes: b"x"}
    return values[annotation]


def sample_body(kind: int) -> typing.Any:
    """Returns a valid body for a datagram kind."""
    body = wire._BODIES[kind]
    hints = typing.get_type_hints(body)
    return body(*(sample_value(hints[name]) for name in body._fields))


class TestBodies:
    """Decoding of the bodies of every datagram kind."""

    @pytest.mark.parametrize("kind", KINDS)
    def test_round_trip(self, kind: int) -> None:
        """Guards against a kind without a matching decoder."""
        body = sample_body(kind)
        assert wire.decode_body(kind, wire.encode_body(body)) == body

    @pytest.mark.parametrize("kind", KINDS)
    def test_every_truncation_is_refused(self, kind: int) -> None:
        """Guards against a truncated body that is accepted."""
        data = wire.encode_body(sample_body(kind))
        for size in range(len(data)):
            with pytest.raises(errors.DatagramError):
                wire.decode_body(kind, data[:size])

    @FUZZ
    @hypothesis.given(kind=st.integers(0, 255), data=BODIES)
    def test_garbage(self, kind: int, data: bytes) -> None:
        """Guards against an exception that ends the receiving task."""
        check(lambda: wire.decode_body(kind, data))
        check(lambda: wire.decode_forward(data))

    @FUZZ
    @hypothesis.given(data=st.binary(min_size=80, max_size=80), body=BODIES)
    def test_known_kind_with_any_body(self, data: bytes, body: bytes) -> None:
        """Guards against a field of the wrong type that gets through."""
        for kind in KINDS:
            check(lambda kind=kind: wire.decode_body(kind, body))
            datagram = wire.encode_caller(kind, data[:16], ())[:-1] + body
            check(lambda datagram=datagram: wire.decode_caller(datagram))

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize(
        "address",
        [("name", 9), ("10.0.0.1", 0), ("10.0.0.1", 65536), ("a\0b", 9)],
    )
    def test_unusable_address_is_refused(
        self, kind: int, address: tuple[str, int]
    ) -> None:
        """Guards against a name lookup or an error in the socket's send."""
        body = sample_body(kind)
        fields = [
            name
            for name, value in body._asdict().items()
            if isinstance(value, messages.Address)
        ]
        for name in fields:
            data = wire.encode_body(body._replace(**{name: address}))
            with pytest.raises(errors.DatagramError):
                wire.decode_body(kind, data)

    def test_deep_nesting_is_refused(self) -> None:
        """Guards against a recursion error in the decoder."""
        with pytest.raises(errors.DatagramError):
            wire.decode_body(messages.Kind.OPEN, b"\x91" * 4000)


class TestPeerDatagrams:
    """Authentication of datagrams between daemons."""

    @FUZZ
    @hypothesis.given(data=st.binary(max_size=200))
    def test_garbage(self, data: bytes) -> None:
        """Guards against an exception that ends the receiving task."""
        check(lambda: wire.decode_peer(data, RING))
        check(lambda: wire.decode_caller(data))
        check(lambda: wire.read_caller_header(data))

    @pytest.mark.parametrize("kind", KINDS)
    def test_every_flipped_bit_is_refused(self, kind: int) -> None:
        """Guards against a byte that the MAC does not cover."""
        data = wire.encode_peer(kind, wire.encode_body(sample_body(kind)), RING)
        assert wire.decode_peer(data, RING)[0] == kind
        for index in range(len(data)):
            forged = bytearray(data)
            forged[index] ^= 1 << (index % 8)
            with pytest.raises(errors.DatagramError):
                wire.decode_peer(bytes(forged), RING)
            with pytest.raises(errors.DatagramError):
                wire.decode_peer(data[:index], RING)

    def test_oversized_is_refused(self) -> None:
        """Guards against a body truncated by the receive buffer."""
        body = bytes(wire.MAX_PEER_BYTES)
        with pytest.raises(errors.DatagramError, match="oversized"):
            wire.decode_peer(wire.encode_peer(1, body, RING), RING)
        with pytest.raises(errors.DatagramError, match="oversized"):
            wire.read_caller_header(b"\x5a\x01" + bytes(5000))


class TestTokens:
    """Sealed tokens."""

    SEALED = token.seal(
        token.Token("127.0.0.1", 9, 1, 2, 3, 4, 0), b"f" * 16, RING
    )

    @FUZZ
    @hypothesis.given(data=st.binary(max_size=60), key=st.binary(max_size=20))
    def test_garbage(self, data: bytes, key: bytes) -> None:
        """Guards against an exception that ends the receiving task."""
        check(lambda: token.unseal(data, key, RING))
        check(lambda: token.unseal(self.SEALED, key, RING))

    def test_every_flipped_bit_is_refused(self) -> None:
        """Guards against a field that the MAC does not cover."""
        token.unseal(self.SEALED, b"f" * 16, RING)
        for index in range(len(self.SEALED) * 8):
            forged = bytearray(self.SEALED)
            forged[index // 8] ^= 1 << (index % 8)
            with pytest.raises(errors.DatagramError):
                token.unseal(bytes(forged), b"f" * 16, RING)
        with pytest.raises(errors.DatagramError):
            token.unseal(self.SEALED, b"g" * 16, RING)
