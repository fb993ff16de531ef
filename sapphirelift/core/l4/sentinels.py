"""Choice of the balancers that often check whether the store still answers.

A connection to the store can go silent without an error, at all balancers at
once. Only a call that ends shows it. A few balancers, the sentinels, renew
their watches so often that they notice it in time, and the others learn from
them what the store did not deliver. The number of calls for this does not
depend on the number of balancers.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from sapphirelift.core.l4 import messages

# One of them may stop or lose its own connection at the same moment.
SENTINELS = 2
# Each balancer sends to three others every 500 ms, and gets their replies, so
# it hears a certain one of ``n`` others every ``n / 12`` seconds on average.
# After six times as long, a balancer that is not heard counts as stopped.
SILENT_MS_PER_PEER = 500
MIN_SILENT_MS = 3000


def ranked(balancers: Iterable[messages.Address]) -> list[messages.Address]:
    """Returns balancers in an order on which all agree.

    It is independent of the data centres, whose instances tend to have
    neighbouring addresses.
    """
    return sorted(
        balancers,
        key=lambda address: xxhash.xxh32_intdigest(address.ip.encode()),
    )


def silent_after_ms(peers: int) -> int:
    """Returns the time after which a peer that is not heard has stopped."""
    return max(MIN_SILENT_MS, SILENT_MS_PER_PEER * peers)


def is_sentinel(
    own: messages.Address,
    last_heard_ms: Mapping[messages.Address, int],
    now_ms: int,
) -> bool:
    """Returns whether a balancer is one of the sentinels.

    Args:
        own: Its address.
        last_heard_ms: When each of the others that can reach the store was
            last heard.
        now_ms: Current time.
    """
    limit_ms = silent_after_ms(len(last_heard_ms))
    alive = [
        address
        for address, heard_ms in last_heard_ms.items()
        if now_ms - heard_ms <= limit_ms
    ]
    return own in ranked([*alive, own])[:SENTINELS]
