"""Schedule of an agent's heartbeats to the balancers.

Each balancer asks for an interval of its own: a short one if it chooses among
the agents often, a long one otherwise.
"""

import dataclasses

from sapphirelift.core.l4 import messages

# Shortest interval: loads known to balancers are at most this old.
MIN_INTERVAL_MS = 400
# Longest interval that a balancer may ask for.
MAX_INTERVAL_MS = 600_000
# Time between two checks of the schedule.
ROUND_MS = 200
MAX_BALANCERS = 1024
# A balancer that has been silent for SILENT_MS, and for SILENT_INTERVALS of its
# interval, gets heartbeats SILENT_SLOWDOWN times less often, and none after
# FORGET_MS and FORGET_INTERVALS.
SILENT_MS = 3000
SILENT_INTERVALS = 4
SILENT_SLOWDOWN = 4
FORGET_MS = 60_000
FORGET_INTERVALS = 8


@dataclasses.dataclass(slots=True)
class _Recipient:
    """A balancer that gets heartbeats.

    Attributes:
        last_heard_ms: When a message of the balancer was last received.
        sent_ms: When the last heartbeat was sent.
        interval_ms: Interval that the balancer has asked for.
        is_introduced: Whether it has acknowledged a heartbeat of this start
            of the agent, so that a pulse is enough.
    """

    last_heard_ms: int
    sent_ms: int
    interval_ms: int = MIN_INTERVAL_MS
    is_introduced: bool = False

    def is_silent(self, now_ms: int) -> bool:
        """Returns whether several acknowledgements are missing."""
        limit_ms = max(SILENT_MS, SILENT_INTERVALS * self.interval_ms)
        return now_ms - self.last_heard_ms > limit_ms

    def is_due(self, now_ms: int) -> bool:
        """Returns whether a heartbeat is due in the round that begins now."""
        slowdown = SILENT_SLOWDOWN if self.is_silent(now_ms) else 1
        due_ms = self.sent_ms + self.interval_ms * slowdown
        return now_ms + ROUND_MS // 2 >= due_ms

    def is_lost(self, now_ms: int) -> bool:
        """Returns whether the balancer has been silent for too long."""
        limit_ms = max(FORGET_MS, FORGET_INTERVALS * self.interval_ms)
        return now_ms - self.last_heard_ms > limit_ms


class Schedule:
    """Balancers known to an agent, and when each gets its next heartbeat."""

    def __init__(self) -> None:
        self._recipients: dict[messages.Address, _Recipient] = {}

    def __len__(self) -> int:
        return len(self._recipients)

    def add(self, address: messages.Address, now_ms: int) -> bool:
        """Adds a balancer; returns whether it was unknown and has been added.

        The caller sends the first heartbeat.
        """
        if address in self._recipients:
            return False
        if len(self._recipients) >= MAX_BALANCERS:
            return False
        self._recipients[address] = _Recipient(now_ms, now_ms)
        return True

    def on_heard(
        self,
        address: messages.Address,
        now_ms: int,
        *,
        interval_ms: int,
        is_introduced: bool = True,
    ) -> None:
        """Records a message of a known balancer and the interval it asks for.

        Args:
            address: The balancer.
            now_ms: Current time.
            interval_ms: The interval; 0 to keep the current one.
            is_introduced: Whether the balancer knows this start of the agent;
                False if it asks for a full heartbeat.
        """
        recipient = self._recipients.get(address)
        if recipient is None:
            return
        recipient.last_heard_ms = now_ms
        recipient.is_introduced = is_introduced
        if interval_ms:
            recipient.interval_ms = min(
                max(interval_ms, MIN_INTERVAL_MS), MAX_INTERVAL_MS
            )

    def has_heard_any(self, now_ms: int) -> bool:
        """Returns whether any balancer has been heard recently."""
        return any(
            not recipient.is_silent(now_ms)
            for recipient in self._recipients.values()
        )

    def is_introduced(self, address: messages.Address) -> bool:
        """Returns whether a pulse is enough for a balancer."""
        recipient = self._recipients.get(address)
        return recipient is not None and recipient.is_introduced

    def unheard_ms(self, address: messages.Address, now_ms: int) -> int:
        """Returns for how long a balancer has not been heard."""
        recipient = self._recipients.get(address)
        return 0 if recipient is None else now_ms - recipient.last_heard_ms

    def on_sent(self, address: messages.Address, now_ms: int) -> None:
        """Records a heartbeat to a balancer."""
        recipient = self._recipients.get(address)
        if recipient is not None:
            recipient.sent_ms = now_ms

    def all(self) -> list[messages.Address]:
        """Returns all balancers."""
        return list(self._recipients)

    def due(self, now_ms: int) -> list[messages.Address]:
        """Returns the balancers that are to get a heartbeat now."""
        return [
            address
            for address, recipient in self._recipients.items()
            if recipient.is_due(now_ms)
        ]

    def forget_lost(self, now_ms: int) -> list[messages.Address]:
        """Removes and returns balancers that have been silent for long."""
        lost = [
            address
            for address, recipient in self._recipients.items()
            if recipient.is_lost(now_ms)
        ]
        for address in lost:
            del self._recipients[address]
        return lost
