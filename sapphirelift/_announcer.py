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

# When a data centre or a region returns, its members see that they have been
# marked or deleted and announce themselves again. They spread these writes
# over a window that grows with their number: 13 s for 3,920 members.
REANNOUNCEMENTS_PER_S = 300.0
MIN_REANNOUNCEMENT_WINDOW_S = 1.0
# When a sixth of all agents (1,167) return at once, retry delays of 5 to 10 s
# limit their announcements to about 230 per second.
MAX_DELAY_S = 10.0


def reannouncement_window_s(affected: int) -> float:
    """Returns the window over which members spread new announcements.

    >>> reannouncement_window_s(1), reannouncement_window_s(3000)
    (1.0, 10.0)
    """
    return max(MIN_REANNOUNCEMENT_WINDOW_S, affected / REANNOUNCEMENTS_PER_S)


def _is_newer(stored: dict[str, Any], own: dict[str, Any]) -> bool:
    """Returns whether a stored announcement is of a later incarnation.

    >>> _is_newer({"incarnation": 8}, {"incarnation": 7})
    True
    >>> _is_newer({"incarnation": "8"}, {"incarnation": 7})  # garbled
    False
    """
    incarnation = stored.get("incarnation")
    return isinstance(incarnation, int) and incarnation > own["incarnation"]


class Announcer:
    """Writes the announcement of a daemon and retries until it is stored.

    Attributes:
        counters: Events by name, for metrics.
        announced: Last announcement that the platform has accepted.
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
        self._write_requested = False
        self._reannouncement_pending = False

    def announce(self) -> None:
        """Writes the announcement in a separate green thread."""
        self._write_requested = True
        if not self._running:
            self._running = True
            eventlet.spawn(self._run)

    def on_change(self, change: replica.StoredObject, *, affected: int) -> None:
        """Announces again if another process has changed the object.

        Args:
            change: The changed member object.
            affected: Number of members that were marked or deleted with it.
        """
        value = self._announcement()
        stored = change.value or {}
        if stored != value and not _is_newer(stored, value):
            self.announce_again(affected=affected)

    def announce_again(self, *, affected: int) -> None:
        """Announces again after a delay that spreads the members' writes.

        Args:
            affected: Number of members that announce themselves again.
        """
        if not self._reannouncement_pending:
            self._reannouncement_pending = True
            delay_s = self._rng.uniform(0, reannouncement_window_s(affected))
            eventlet.spawn_after(delay_s, self._reannounce)

    def _reannounce(self) -> None:
        self._reannouncement_pending = False
        self.announce()

    def _run(self) -> None:
        delays = backoff.Backoff(self._rng, max_s=MAX_DELAY_S)
        try:
            while (
                self._write_requested or self.announced != self._announcement()
            ):
                self._write_requested = False
                try:
                    if not self._write():
                        return
                    delays.reset()
                except Exception as error:
                    if not isinstance(error, errors.SapphireliftError):
                        tasks.report("announcer")
                    self.counters["announcements_failed"] += 1
                    self._write_requested = True
                    eventlet.sleep(delays.next_s())
        finally:
            self._running = False

    def _write(self) -> bool:
        """Writes once; returns False if a newer incarnation is announced."""
        value = self._announcement()
        current = self._platform.get(self._key)
        stored = (current.value or {}) if current is not None else {}
        if _is_newer(stored, value):
            self.counters["announcements_superseded"] += 1
            eliot.log_message("announcement_superseded", key=self._key)
            return False
        self._platform.put(
            self._key,
            value,
            expected_revision=current.revision if current is not None else 0,
        )
        self.announced = value
        self.counters["announcements"] += 1
        return True
