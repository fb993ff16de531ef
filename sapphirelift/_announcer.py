"""Keeps the member object of a daemon at the platform up to date."""

import collections
import random
from collections.abc import Callable
from typing import Any

import eliot
import eventlet

from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core.records import replica
from sapphirelift.core.requests import backoff
from sapphirelift.platform import client

# When a data centre or a region comes back, its members see that they have
# been marked or deleted and announce themselves again. They spread that over
# a time that grows with their number: 13 s for 3,920 members.
REPEATS_PER_S = 300.0
MIN_REPEAT_SPREAD_S = 1.0
# When a sixth of the fleet (1,167 agents) returns at once, delays of 5 to
# 10 s spread its announcements to about 230 a second.
MAX_DELAY_S = 10.0


def reannouncement_window_s(affected: int) -> float:
    """Returns the time over which members announce themselves again.

    >>> repeat_spread_s(1), repeat_spread_s(3000)
    (1.0, 10.0)
    """
    return max(MIN_REPEAT_SPREAD_S, affected / REPEATS_PER_S)


class Announcer:
    """Writes the announcement until the platform has the current one.

    Attributes:
        counters: Events by name, for metrics.
        announced: The announcement that the platform has accepted last.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        *,
        key: str,
        announcement: Callable[[], dict[str, Any]],
        rng: random.Random,
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.announced: dict[str, Any] | None = None
        self._platform = platform
        self._key = key
        self._announcement = announcement
        self._rng = rng
        self._running = False
        self._again = False
        self._repeat_pending = False

    def announce(self) -> None:
        """Writes the announcement in a task of its own."""
        self._again = True
        if not self._running:
            self._running = True
            eventlet.spawn(self._run)

    def on_change(self, change: replica.StoredObject, *, affected: int) -> None:
        """Announces again if another process has changed the object.

        Args:
            change: The changed object.
            affected: Number of members that were marked or deleted with it.
        """
        value = self._announcement()
        found = change.value or {}
        is_newer = found.get("incarnation", 0) > value["incarnation"]
        if found != value and not is_newer and not self._repeat_pending:
            self._repeat_pending = True
            delay_s = self._rng.uniform(0, reannouncement_window_s(affected))
            eventlet.spawn_after(delay_s, self._repeat)

    def _repeat(self) -> None:
        self._repeat_pending = False
        self.announce()

    def _run(self) -> None:
        delays = backoff.Backoff(self._rng, max_s=MAX_DELAY_S)
        try:
            while self._again or self.announced != self._announcement():
                self._again = False
                try:
                    if not self._write():
                        return
                    delays.reset()
                except Exception as error:
                    if not isinstance(error, errors.SapphireliftError):
                        tasks.report("announcer")
                    self.counters["announcements_failed"] += 1
                    self._again = True
                    eventlet.sleep(delays.next_s())
        finally:
            self._running = False

    def _write(self) -> bool:
        """Writes once; returns False if a newer incarnation has announced."""
        value = self._announcement()
        held = self._platform.get(self._key)
        found = (held.value or {}) if held is not None else {}
        if found.get("incarnation", 0) > value["incarnation"]:
            self.counters["announcements_superseded"] += 1
            eliot.log_message("announcement_superseded", key=self._key)
            return False
        self._platform.put(
            self._key,
            value,
            expected_revision=held.revision if held is not None else 0,
        )
        self.announced = value
        self.counters["announcements"] += 1
        return True
