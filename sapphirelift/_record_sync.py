"""Keeps a daemon's replica up to date from the platform and neighbours."""

import collections
import random
from collections.abc import Callable
from typing import Any

import eliot
import eventlet

from sapphirelift import clock
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import tasks
from sapphirelift.core import revisions
from sapphirelift.core.records import replica
from sapphirelift.core.requests import backoff
from sapphirelift.core.requests import rate_limit
from sapphirelift.peers import records
from sapphirelift.platform import client

# Status and lease objects are excluded: each write would wake every watch.
PREFIXES = ("records/", "members/")
BALANCER_PREFIX = "members/balancer/"
# With the margin that the client adds, an unanswered watch is retried after
# 3 s. 840 watching balancers make 420 reads/s; the platform takes 2,000.
WATCH_WAIT_MS = 2000
# Unreadable objects of the store are logged at most once within this time.
SKIP_LOG_INTERVAL_MS = 10_000
# Consecutive answers at a lower revision after which the platform's store is
# assumed to have been restarted; a lagging read gives fewer of them.
REVERTED_READS = 5
MAX_CONCURRENT_FETCHES = 4
# At two reads/s with a burst of ten, this many reads take 3 s.
MAX_MEMBER_READS = 16
# After an outage, a change takes effect within this delay plus two heartbeat
# hops to the agents, below 7 s in total. During an outage, 840 balancers make
# about 370 calls/s.
MAX_DELAY_S = 3.0
# 7,000 agents that resynchronise at once make 233 reads/s.
RESYNC_INTERVAL_S = 30.0
# Several times as long as a write needs to reach the other balancers.
LOST_RECORDS_WINDOW_S = 3.0

OnChanges = Callable[[list[replica.StoredObject]], None]


class RecordSync:
    """Replica of one daemon, its platform watch and its fetches from peers.

    Attributes:
        counters: Events by name, for metrics.
        platform_reverted: Whether the platform's store has fallen back to a
            lower revision than the replica, which stays in use.
        watch_silent: Whether the last watch failed without an answer.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        *,
        on_changes: OnChanges,
        epoch: Callable[[], int] = lambda: 0,
        on_read: Callable[[int], None] = lambda epoch: None,
        on_new_era: Callable[[], None] = lambda: None,
        rng: random.Random,
    ) -> None:
        """Creates an empty replica.

        Args:
            settings: Settings of the daemon.
            on_changes: Applies changed objects.
            epoch: Returns a number that changes after the process was frozen.
            on_read: Called after a read with the epoch in which it began.
            on_new_era: Called when the store has returned from an older copy
                and may have lost what the daemon wrote.
            rng: Source of jitter.
        """
        self.replica = replica.Replica()
        self.platform = client.ObjectClient(
            settings.platform_url,
            name=settings.name,
            rng=rng,
            credentials=settings.platform_credentials,
            on_skipped=self._on_item_skipped,
        )
        self._skip_logged_ms = -SKIP_LOG_INTERVAL_MS
        self._key = bytes.fromhex(settings.cluster_key_hex)
        self.server = records.RecordServer(
            settings.peer.address,
            self.replica,
            key=self._key,
            credentials=settings.peer_credentials,
        )
        self.counters: collections.Counter[str] = collections.Counter()
        self.platform_reverted = False
        self.watch_silent = False
        self._settings = settings
        self._on_changes = on_changes
        self._epoch = epoch
        self._on_read = on_read
        self._on_new_era = on_new_era
        self._era: int | None = None
        self._settles_ms = 0
        # Objects that the store held in its era before that was settled.
        self._held_unsettled: set[str] = set()
        self._is_writing_lost_records = False
        self._rng = rng
        self._fetching: set[messages.Address] = set()
        self._consecutive_older_reads = 0
        self._resyncs = rate_limit.TokenBucket(
            rate_per_s=1 / RESYNC_INTERVAL_S, burst=1
        )
        self._resync_pending = False

    def start(self) -> None:
        """Starts serving the replica and following the platform."""
        self.server.start()
        tasks.spawn("platform_watch", self._follow)

    def dump(self) -> dict[str, Any]:
        """Returns the state for the admin port."""
        return {
            "revision": self.replica.revision,
            "platform_calls": self.platform.calls.total(),
            "platform_calls_by_kind": dict(self.platform.calls),
            "platform_failures": dict(self.platform.failures),
            "platform_reverted": self.platform_reverted,
            "watch_silent": self.watch_silent,
            "lost_records": sorted(self.replica.lost),
            "record_counters": dict(self.counters),
        }

    def _on_item_skipped(self, kind: str, reason: str) -> None:
        self.counters["items_skipped"] += 1
        now_ms = clock.now_ms()
        if now_ms - self._skip_logged_ms >= SKIP_LOG_INTERVAL_MS:
            self._skip_logged_ms = now_ms
            eliot.log_message(
                "platform_item_skipped",
                kind=kind,
                reason=reason,
                count=self.counters["items_skipped"],
            )

    def _follow(self) -> None:
        """Follows the platform; an agent stops once it knows a balancer.

        Balancers send it later changes.
        """
        delays = backoff.Backoff(self._rng, max_s=MAX_DELAY_S)
        while True:
            before = self.replica.revision
            try:
                if before == 0:
                    listing = self.platform.list_objects(*PREFIXES)
                    if self.platform.may_have_been_restored:
                        self._fetch_from_neighbours()
                    is_new = self._apply_listing(listing)
                else:
                    is_new = self._watch(before)
                if is_new:
                    delays.reset()
                else:
                    unsettled_s = (self._settles_ms - clock.boot_ms()) / 1000
                    eventlet.sleep(max(delays.next_s(), unsettled_s))
            except errors.PlatformUnavailableError:
                if self.replica.revision == 0:
                    self._fetch_from_neighbours()
                eventlet.sleep(delays.next_s())
            if self._settings.role == "agent" and self._knows_balancer():
                return

    def _knows_balancer(self) -> bool:
        return any(True for _ in self.replica.items(BALANCER_PREFIX))

    def _watch(self, since: int) -> bool:
        epoch = self._epoch()
        try:
            listing = self.platform.watch(
                *PREFIXES, since=since, wait_ms=WATCH_WAIT_MS
            )
        except errors.PlatformUnavailableError:
            self.counters["watches_failed"] += 1
            self._set_watch_silent(True)
            raise
        self._set_watch_silent(False)
        is_new = self._apply_listing(listing, since=since)
        if is_new:
            self._on_read(epoch)
        return is_new

    def _set_watch_silent(self, silent: bool) -> None:
        if silent != self.watch_silent:
            self.watch_silent = silent
            event = "platform_watch_failed" if silent else "platform_watch_back"
            eliot.log_message(event, revision=self.replica.revision)

    def _apply_listing(
        self, listing: client.Listing, *, since: int | None = None
    ) -> bool:
        """Applies an answer of the platform to the replica.

        Args:
            listing: The answer.
            since: Revision that the watch started from. A neighbour may have
                advanced the replica since then, so that changes below its
                revision are valid.

        Returns:
            False if the next read must wait for the backoff delay.
        """
        era = revisions.era_of(listing.revision)
        self._note_era(era)
        if not self._is_usable(era):
            self._held_unsettled |= {item.key for item in listing.objects}
            return False
        lowest_revision = self.replica.revision
        if since is not None and not listing.complete:
            lowest_revision = since
        if listing.revision < lowest_revision:
            self._refuse_older(listing.revision)
            return False
        self._consecutive_older_reads = 0
        before = self.replica.revision
        if listing.complete:
            found = self._read_unlisted(listing)
            changes = self.replica.replace(
                [*listing.objects, *found],
                revision=listing.revision,
                # If the store restarted at a lower revision, a missing
                # object was lost, not deleted.
                keep_missing=self.platform_reverted,
            )
        else:
            changes = self.replica.apply_watched(listing.objects)
        if changes:
            self._on_changes(changes)
        if self.replica.lost and self._settings.role == "balancer":
            self._start_writing_lost_records()
        return not listing.complete or self.replica.revision > before

    def _note_era(self, era: int) -> None:
        """Begins to wait until the contents of a new era are settled."""
        if self._era is not None and era <= self._era:
            return
        self._era = era
        self._held_unsettled = set()
        in_force = self.replica.revision
        if not in_force:
            self._set_unsettled()
            if self.platform.store.restores:
                # The daemon has announced itself before its first list.
                self._on_new_era()
        elif era > revisions.era_of(in_force):
            self._settles_ms = clock.boot_ms() + revisions.REWRITE_MS
            self.counters["store_restores"] += 1
            eliot.log_message(
                "store_restored", era=era, revision_in_force=in_force
            )
            self._on_new_era()

    def _is_usable(self, era: int) -> bool:
        """Returns whether the store's contents may take the place of others.

        At the beginning of an era, the store may hold older states of records
        and lack others, until the operators have written them again. A daemon
        that has no records, and gets none of its neighbours, takes what there
        is.
        """
        in_force = self.replica.revision
        is_settled = clock.boot_ms() >= self._settles_ms
        return not in_force or era <= revisions.era_of(in_force) or is_settled

    def _note_era_of_neighbour(self, era: int) -> None:
        """Records an era that a neighbour has found to be settled."""
        if self.replica.revision and (self._era is None or era > self._era):
            self._era = era
            self._on_new_era()

    def _set_unsettled(self) -> None:
        self.replica.is_settled = False
        eventlet.spawn_after(revisions.REWRITE_MS / 1000, self._set_settled)

    def _set_settled(self) -> None:
        self.replica.is_settled = True

    def _read_unlisted(
        self, listing: client.Listing
    ) -> list[replica.StoredObject]:
        """Reads objects of the replica that a full list lacks, one by one.

        A list from a lagging part of the platform cannot be told from one
        after a deletion, and a second list may lag as well. A read of a single
        object is assumed to be current. More than ``MAX_MEMBER_READS`` missing
        members are kept without a read: missing heartbeats show which of them
        are dead. Records that the store has lost are kept too.
        """
        if self.platform_reverted:
            return []
        missing: list[replica.StoredObject] = []
        lost: list[replica.StoredObject] = []
        for item in self.replica.missing_from(listing.objects, "records/"):
            is_lost = self._is_lost(item, listing.revision)
            (lost if is_lost else missing).append(item)
        self.replica.lost.update(item.key for item in lost)
        members = self.replica.missing_from(listing.objects, "members/")
        kept = []
        if len(members) > MAX_MEMBER_READS:
            kept = members
        else:
            missing += members
        found = [i for m in missing if (i := self.platform.get(m.key))]
        self.counters["lagging_lists"] += bool(found)
        return found + kept + lost

    def _is_lost(self, missing: replica.StoredObject, revision: int) -> bool:
        """Returns whether the store has lost a record in its return.

        If it held the record in the present era, the record is deleted. Later
        lists of the era show deletions only.
        """
        in_force_era = revisions.era_of(self.replica.revision)
        return (
            in_force_era < revisions.era_of(revision)
            and missing.key not in self._held_unsettled
        )

    def _start_writing_lost_records(self) -> None:
        if not self._is_writing_lost_records:
            self._is_writing_lost_records = True
            eventlet.spawn(self._write_lost_records)

    def _write_lost_records(self) -> None:
        """Writes lost records again, at a time that differs per balancer.

        The write of the first balancer reaches the others by their watches.
        """
        try:
            while self.replica.lost:
                eventlet.sleep(self._rng.uniform(0, LOST_RECORDS_WINDOW_S))
                for key in sorted(self.replica.lost):
                    self._write_lost_record(key)
        except Exception:
            tasks.report("lost_records")
        finally:
            self._is_writing_lost_records = False

    def _write_lost_record(self, key: str) -> None:
        item = self.replica.find(key)
        try:
            if item is not None:
                self.platform.restore(item)
        except (errors.ConflictError, errors.PlatformUnavailableError) as error:
            self.counters["lost_records_not_written"] += 1
            eliot.log_message(
                "lost_record_not_written", key=key, reason=str(error)
            )
        else:
            self.counters["lost_records_written"] += 1
            eliot.log_message("lost_record_written", key=key)

    def _refuse_older(self, revision: int) -> None:
        self.counters["older_answers_refused"] += 1
        self._consecutive_older_reads += 1
        if (
            self._consecutive_older_reads >= REVERTED_READS
            and not self.platform_reverted
        ):
            self.platform_reverted = True
            self.counters["platform_reverts"] += 1
            eliot.log_message(
                "platform_reverted",
                platform_revision=revision,
                revision_in_force=self.replica.revision,
            )

    def resync(self) -> None:
        """Lists the platform's objects once, at a bounded rate.

        An agent that has missed a key rotation cannot verify heartbeats, and
        so cannot learn from them that there are newer records. Nor can one
        that knows only balancers that are gone.
        """
        if self._resync_pending:
            return
        delay_ms = self._resyncs.reserve_ms(now_ms=clock.boot_ms())
        self._resync_pending = True
        eventlet.spawn_after(delay_ms / 1000, self._resync)

    def _resync(self) -> None:
        self.counters["resyncs"] += 1
        try:
            self._apply_listing(self.platform.list_objects(*PREFIXES))
        except errors.PlatformUnavailableError:
            self._fetch_from_neighbours()
        finally:
            self._resync_pending = False

    def _fetch_from_neighbours(self) -> None:
        """Fetches from all neighbours; the newest state of an object wins.

        States that neighbours without memory have read from a store that may
        have returned from an older copy count only if there are no others.
        """
        epoch = self._epoch()
        requests = [
            eventlet.spawn(self._request_difference, neighbour.address)
            for neighbour in self._settings.neighbours
        ]
        replies = [request.wait() for request in requests]
        found = [reply for reply in replies if reply is not None]
        for reply in sorted(found, key=lambda reply: not reply.is_settled):
            self._apply_reply(reply, epoch)

    def fetch(self, address: messages.Address) -> None:
        """Fetches the changes since the replica's revision from a daemon."""
        epoch = self._epoch()
        reply = self._request_difference(address)
        if reply is not None:
            self._apply_reply(reply, epoch)

    def _request_difference(
        self, address: messages.Address
    ) -> replica.Difference | None:
        """Returns a daemon's reply; None if it is asked already or fails."""
        if (
            address in self._fetching
            or len(self._fetching) >= MAX_CONCURRENT_FETCHES
        ):
            return None
        self._fetching.add(address)
        try:
            return records.fetch(
                address,
                since=self.replica.revision,
                key=self._key,
                credentials=self._settings.peer_credentials,
            )
        except errors.FetchError as error:
            self.counters["fetches_failed"] += 1
            eliot.log_message(
                "fetch_failed",
                neighbour=address.ip,
                reason=str(error),
                cause=repr(error.__cause__) if error.__cause__ else None,
            )
            return None
        finally:
            self._fetching.discard(address)

    def _apply_reply(self, reply: replica.Difference, epoch: int) -> None:
        self.counters["fetches"] += 1
        if self._apply_difference(reply):
            self._on_read(epoch)

    def _apply_difference(self, difference: replica.Difference) -> bool:
        if difference.revision < self.replica.revision:
            self.counters["older_answers_refused"] += 1
            return False
        era = revisions.era_of(difference.revision)
        if era > revisions.era_of(self.replica.revision):
            if self.replica.revision and not difference.is_settled:
                self.counters["unsettled_answers_refused"] += 1
                return False
            self._note_era_of_neighbour(era)
        if not self.replica.revision and not difference.is_settled:
            self._set_unsettled()
        if difference.complete:
            changes = self.replica.replace(
                difference.objects, revision=difference.revision, trusted=True
            )
        else:
            changes = self.replica.apply(
                difference.objects, revision=difference.revision
            )
        if changes:
            self._on_changes(changes)
        return True
