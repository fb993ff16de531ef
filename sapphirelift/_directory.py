"""Directory of daemons, kept as objects in the platform's store.

Each daemon writes its own entry before it lists the others, so that of two
daemons that start at once at least one finds the other. Entries only give
addresses; heartbeats show whether a daemon is alive.
"""

import ipaddress
import random
from collections.abc import Callable
from typing import Annotated

import eventlet
import msgspec

from sapphirelift import decision_log
from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core import revisions
from sapphirelift.core.l4 import messages
from sapphirelift.core.requests import backoff
from sapphirelift.platform import decoding
from sapphirelift.platform import store as store_module

KIND = "sapphirelift-daemons"
MAX_DELAY_S = 2.0
# Makes up for lost datagrams. Lists at this interval may be stale, which costs
# the store a tenth of a current list.
RELIST_INTERVAL_S = 10.0
# A restarted agent is still listed by its previous entry, so it resumes
# handling packets before it calls the store.
RESTARTED_AGENT_DELAY_S = 0.5
# After the store's return all daemons write their entries again within this
# time; the platform wants entries back after about two seconds. 840 balancers
# and 7,000 agents exceed the store's rate of 400 writes a second in it; those
# that are refused try again.
REWRITE_WINDOW_S = 1.5
UPDATE_POLL_S = 0.1


class Entry(msgspec.Struct, frozen=True):
    """Address of one daemon as stored in the directory.

    Attributes:
        role: ``balancer`` or ``agent``.
        incarnation: Number that grows with each start of the daemon.
        is_stopping: Whether the daemon stops by plan, to start again.
    """

    role: str
    ip: str
    port: Annotated[int, msgspec.Meta(gt=0, lt=65_536)]
    incarnation: int
    is_stopping: bool = False

    @property
    def address(self) -> messages.Address:
        """Address at which the daemon receives messages."""
        return messages.Address(self.ip, self.port)


class Directory:
    """Maintains the entry of one daemon and lists those of the others.

    Attributes:
        skipped: Number of entries that were not valid.
    """

    def __init__(
        self,
        store: store_module.Store,
        *,
        name: str,
        entry: Entry,
        is_first_start: bool,
        on_entries: Callable[[list[Entry]], None],
        needs_directory: Callable[[], bool],
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Creates the directory client; nothing is written before ``start``.

        Args:
            store: Client of the store.
            name: Name of the entry.
            entry: The entry.
            is_first_start: Whether no entry of an earlier start can exist.
            on_entries: Called with the entries of all daemons.
            needs_directory: Returns whether the daemon needs others and hears
                none, so that another list is worth its cost.
            log: Log of changes and errors of the directory.
            rng: Source of jitter.
        """
        self.skipped = 0
        self._skipped_logged = 0
        self._should_be_listed = True
        # None if the store may have lost the last write or removal.
        self._is_listed: bool | None = False
        self._era: int | None = None
        self._update_running = False
        self._store = store
        self._name = name
        self._entry = entry
        self._is_first_start = is_first_start
        self._on_entries = on_entries
        self._needs_directory = needs_directory
        self._log = log
        self._rng = rng

    def start(self) -> None:
        """Starts the task that writes the entry and lists the others."""
        tasks.spawn("directory", self._run)

    def set_listed(self, is_listed: bool) -> None:
        """Writes or removes the entry as soon as the store is available.

        A starting balancer asks every listed agent about a flow before it
        treats the flow as ended, and so would wait for an agent that has no
        backend server.
        """
        self._should_be_listed = is_listed
        if not self._update_running:
            self._update_running = True
            eventlet.spawn(self._update_entry)

    def on_era(self, era: int) -> None:
        """Repeats the last write or removal if the store may have lost it.

        Args:
            era: Newest era of the store that the daemon has heard of.
        """
        if self._era is None or era <= self._era:
            return
        self._era = era
        delay_s = self._rng.uniform(0, REWRITE_WINDOW_S)
        self._log.write("entry_possibly_lost", era=era, delay_s=delay_s)
        eventlet.spawn_after(delay_s, self._repeat_last_write)

    def _repeat_last_write(self) -> None:
        # An answer that was under way would pass for that of this write.
        while self._update_running:
            eventlet.sleep(UPDATE_POLL_S)
        self._is_listed = None
        self.set_listed(self._should_be_listed)

    def remove(self, *, timeout_s: float) -> None:
        """Removes the entry.

        Balancers that start later wait for a daemon whose entry is left behind
        before they take a flow for ended.

        Args:
            timeout_s: Longest time to wait for the store.
        """
        self._should_be_listed = False
        if self._is_listed is False:
            return
        try:
            with eventlet.Timeout(timeout_s):
                self._retry(self._remove_entry)
        except (errors.SapphireliftError, eventlet.Timeout) as error:
            self._log.write("entry_not_removed", reason=str(error))

    def mark_stopping(self, *, timeout_s: float) -> None:
        """Tells daemons that start meanwhile of a planned stop.

        Args:
            timeout_s: Longest time to wait for the store.
        """
        value = msgspec.structs.replace(self._entry, is_stopping=True)
        try:
            with eventlet.Timeout(timeout_s):
                self._store.replace(
                    KIND, self._name, msgspec.to_builtins(value)
                )
        except (errors.SapphireliftError, eventlet.Timeout) as error:
            self._log.write("entry_not_marked", reason=str(error))

    def _update_entry(self) -> None:
        try:
            while self._is_listed != self._should_be_listed:
                if self._should_be_listed:
                    self._retry(self._write_entry)
                else:
                    self._retry(self._remove_entry)
        except Exception:
            tasks.report("directory")
        finally:
            self._update_running = False

    def _remove_entry(self) -> None:
        self._store.delete(KIND, self._name)
        self._is_listed = False
        self._log.write("entry_removed")

    def _run(self) -> None:
        if self._entry.role == "agent" and not self._is_first_start:
            eventlet.sleep(RESTARTED_AGENT_DELAY_S)
        if self._should_be_listed:
            self._retry(self._write_entry)
            # The backend server may have left during the write.
            self.set_listed(self._should_be_listed)
        self._retry(lambda: self._list(allow_stale=False))
        while True:
            eventlet.sleep(RELIST_INTERVAL_S * self._rng.uniform(0.75, 1.25))
            if self._needs_directory():
                self._retry(lambda: self._list(allow_stale=True))

    def _retry(self, call: Callable[[], None]) -> None:
        delays = backoff.Backoff(self._rng, max_s=MAX_DELAY_S)
        while True:
            try:
                call()
                return
            except errors.PlatformUnavailableError as error:
                self._log.write("directory_unavailable", reason=str(error))
                eventlet.sleep(delays.next_s())

    def _write_entry(self) -> None:
        value = msgspec.to_builtins(self._entry)
        create = self._is_first_start
        for _ in range(2):
            try:
                if create:
                    written = self._store.create(KIND, self._name, value)
                else:
                    written = self._store.replace(KIND, self._name, value)
                self._is_listed = True
                era = revisions.era_of(written.revision)
                self._era = max(self._era or 0, era)
                return
            except errors.ConflictError:
                # An earlier start left an entry, or the entry is missing.
                create = not create
        raise errors.PlatformUnavailableError(
            f"{KIND}/{self._name} was created and removed by another writer"
        )

    def _list(self, *, allow_stale: bool) -> None:
        listing = self._store.list_kind(KIND, allow_stale=allow_stale)
        entries: list[Entry] = []
        for item in listing.objects:
            try:
                entry: Entry = decoding.convert(item.value, Entry)
                # A host name would cause a DNS lookup for each datagram.
                ipaddress.IPv4Address(entry.ip)
            except (errors.UnreadableError, ValueError):
                self.skipped += 1
            else:
                entries.append(entry)
        if self.skipped > self._skipped_logged:
            self._skipped_logged = self.skipped
            self._log.write("directory_entries_skipped", count=self.skipped)
        self._on_entries(entries)
