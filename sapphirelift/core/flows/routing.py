"""Weighted rendezvous hashing."""

import heapq
import math
from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

import xxhash

_HASH_RANGE = float(1 << 64)


class Target(Protocol):
    """A destination that can be chosen, with its weight."""

    @property
    def name(self) -> str:
        """Unique name."""

    @property
    def weight(self) -> float:
        """Share of keys relative to the other targets."""


_T = TypeVar("_T", bound=Target)


def score(key: bytes, target: Target) -> float:
    """Returns the score of a target for a key; the highest score wins.

    Each target wins a share of keys proportional to its weight, and a
    change of one target moves only the keys that it wins or loses.
    """
    digest = xxhash.xxh64_intdigest(key + target.name.encode())
    uniform = (digest + 1) / (_HASH_RANGE + 1)
    return -target.weight / math.log(uniform)


def candidates(
    key: bytes, targets: Iterable[_T], *, count: int = 3, rotate: int = 0
) -> list[_T]:
    """Returns the best targets for a key, best first.

    Args:
        key: Key to place, for example a flow key.
        targets: Possible destinations; those of weight 0 are left out.
        count: How many to return at most.
        rotate: Number of positions by which the result is rotated, so that a
            retry starts with another target.
    """
    chosen = heapq.nlargest(
        count,
        (target for target in targets if target.weight > 0),
        key=lambda target: score(key, target),
    )
    if not chosen:
        return []
    shift = rotate % len(chosen)
    return chosen[shift:] + chosen[:shift]
