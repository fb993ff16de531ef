"""Fragmentation of messages with acknowledgement and retransmission."""

import math

import xxhash

from sapphirelift import errors

FRAGMENT_BYTES = 1200
MAX_BODY_BYTES = 1 << 20
MAX_FRAGMENTS = math.ceil(MAX_BODY_BYTES / FRAGMENT_BYTES)
WINDOW_FRAGMENTS = 32
RETRANSMIT_MS = 100
MAX_RETRANSMIT_MS = 1000


def split(body: bytes) -> list[bytes]:
    """Splits a body into fragments; an empty body gives one empty fragment.

    >>> [len(part) for part in split(bytes(1300))]
    [1200, 100]
    >>> split(b"")
    [b'']
    """
    starts = range(0, len(body), FRAGMENT_BYTES) or [0]
    return [body[start : start + FRAGMENT_BYTES] for start in starts]


def body_hash(body: bytes) -> int:
    """Returns the 64-bit body hash that each fragment carries."""
    return xxhash.xxh64_intdigest(body)


class FragmentSender:
    """Sends the fragments of one message until all are acknowledged."""

    def __init__(self, body: bytes) -> None:
        self.body_hash = body_hash(body)
        self.fragments = split(body)
        self._due_ms = dict.fromkeys(range(len(self.fragments)), 0)
        self._attempts = [0] * len(self.fragments)

    @property
    def count(self) -> int:
        """Number of fragments."""
        return len(self.fragments)

    @property
    def is_done(self) -> bool:
        """Whether every fragment has been acknowledged."""
        return not self._due_ms

    @property
    def has_sent(self) -> bool:
        """Whether any fragment has been sent."""
        return any(self._attempts)

    def due(self, now_ms: int) -> list[int]:
        """Returns the indexes due now and schedules their retransmission."""
        chosen = []
        for position, (index, due_ms) in enumerate(self._due_ms.items()):
            if position >= WINDOW_FRAGMENTS:
                break
            if due_ms <= now_ms:
                chosen.append(index)
        for index in chosen:
            backoff_ms = RETRANSMIT_MS << min(self._attempts[index], 5)
            self._due_ms[index] = now_ms + min(backoff_ms, MAX_RETRANSMIT_MS)
            self._attempts[index] += 1
        return chosen

    def acknowledge(self, bitmap: bytes) -> None:
        """Marks the fragments that the receiver has acknowledged."""
        acknowledged = [
            index
            for index in self._due_ms
            if index // 8 < len(bitmap)
            and bitmap[index // 8] & (1 << (index % 8))
        ]
        for index in acknowledged:
            del self._due_ms[index]


class FragmentReceiver:
    """Reassembles one message from its fragments."""

    def __init__(self, *, count: int, expected_hash: int) -> None:
        if not 1 <= count <= MAX_FRAGMENTS:
            raise errors.DatagramError("fragment_count")
        self._expected_hash = expected_hash
        self._fragments: list[bytes | None] = [None] * count
        self._missing = count

    @property
    def is_complete(self) -> bool:
        """Whether every fragment has arrived."""
        return self._missing == 0

    @property
    def missing_count(self) -> int:
        """Number of fragments that have not arrived."""
        return self._missing

    @property
    def bitmap(self) -> bytes:
        """Bitmap of the received fragments."""
        bits = bytearray((len(self._fragments) + 7) // 8)
        for index, fragment in enumerate(self._fragments):
            if fragment is not None:
                bits[index // 8] |= 1 << (index % 8)
        return bytes(bits)

    def add(
        self, *, index: int, count: int, expected_hash: int, payload: bytes
    ) -> None:
        """Adds a fragment; duplicates are ignored.

        Raises:
            DatagramError: The fragment does not match this message.
        """
        if count != len(self._fragments) or expected_hash != (
            self._expected_hash
        ):
            raise errors.DatagramError("fragment_mismatch")
        if not 0 <= index < count or len(payload) > FRAGMENT_BYTES:
            raise errors.DatagramError("fragment_range")
        if self._fragments[index] is None:
            self._fragments[index] = payload
            self._missing -= 1

    def body(self) -> bytes:
        """Returns the reassembled body.

        Raises:
            DatagramError: A fragment is missing or the hash does not match.
        """
        body = b"".join(part for part in self._fragments if part is not None)
        if self._missing or body_hash(body) != self._expected_hash:
            raise errors.DatagramError("body_hash")
        return body
