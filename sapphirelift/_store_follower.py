"""Keeps a copy of the platform's objects of one kind by list and watch."""

import random
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet

from sapphirelift import clock
from sapphirelift import decision_log
from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core import revisions
from sapphirelift.core.requests import backoff
from sapphirelift.platform import store as store_module

# A connection can stop answering without an error. The sentinels among the
# balancers renew their watches so often that they notice it in time, see
# ``core.l4.sentinels``; the others do so more rarely, the more there are.
MIN_WAIT_MS = 3000
MAX_WAIT_MS = 20_000
WAIT_MS_PER_BALANCER = 1500
MAX_DELAY_S = 2.0


class Contents(NamedTuple):
    """The store's objects of one kind.

    Attributes:
        objects: Objects by name.
        revision: Revision up to which all changes are included.
        is_settled: Whether other writers had time to write again what the
            store may have lost at the beginning of its era.
    """

    objects: dict[str, store_module.Object]
    revision: int
    is_settled: bool


OnObjects = Callable[[Contents], None]


def wait_ms(balancers: int, rng: random.Random) -> int:
    """Returns the duration of a watch, with jitter.

    Args:
        balancers: Number of balancers that watch the store.
        rng: Source of the jitter.
    """
    base_ms = min(
        max(WAIT_MS_PER_BALANCER * balancers, MIN_WAIT_MS), MAX_WAIT_MS
    )
    return round(base_ms * rng.uniform(0.75, 1.25))


class StoreFollower:
    """Follows the objects of one kind and passes them to a callback.

    Attributes:
        is_connected: Whether the last call to the store was answered.
    """

    def __init__(
        self,
        store: store_module.Store,
        kind: str,
        *,
        on_objects: OnObjects,
        settle_ms: int,
        balancers: Callable[[], int],
        sentinel_wait_ms: Callable[[], int | None] = lambda: None,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Creates a follower; ``start`` begins to follow.

        Args:
            store: Client of the store.
            kind: Kind of the objects.
            on_objects: Called with the objects after each answer.
            settle_ms: Time after the first answer of an era until its contents
                count as settled.
            balancers: Returns the number of balancers that watch the store.
            sentinel_wait_ms: Returns the duration of a watch of a sentinel,
                None if this daemon is not one.
            log: Log of lost and regained connections.
            rng: Source of jitter.
        """
        self.is_connected = True
        self._store = store
        self._kind = kind
        self._on_objects = on_objects
        self._settle_ms = settle_ms
        self._balancers = balancers
        self._sentinel_wait_ms = sentinel_wait_ms
        self._log = log
        self._rng = rng
        self._objects: dict[str, store_module.Object] = {}
        self._revision: int | None = None
        self._era: int | None = None
        self._settles_ms = 0
        self._last_answer_ms = clock.now_ms()

    def start(self) -> None:
        """Starts the task that follows the store."""
        tasks.spawn(f"follow_{self._kind}", self._run)

    def _run(self) -> None:
        delays = backoff.Backoff(self._rng, max_s=MAX_DELAY_S)
        while True:
            try:
                self._step()
            except errors.PlatformUnavailableError as error:
                self._set_connected(False, reason=str(error))
                eventlet.sleep(delays.next_s())
            else:
                self._set_connected(True)
                delays.reset()

    def _step(self) -> None:
        if self._revision is None:
            listing = self._store.list_kind(self._kind)
            self._objects = {item.name: item for item in listing.objects}
            self._revision = listing.revision
            self._log.write(
                "store_listed",
                kind=self._kind,
                revision=revisions.store_revision_of(listing.revision),
                era=revisions.era_of(listing.revision),
                newest_revision=max(
                    (
                        revisions.store_revision_of(item.revision)
                        for item in listing.objects
                    ),
                    default=0,
                ),
            )
            era = revisions.era_of(listing.revision)
            if self._era is None or era > self._era:
                self._era = era
                self._settles_ms = clock.now_ms() + self._settle_ms
            self._pass_on()
            return
        answer = self._store.watch(
            self._kind,
            since=self._revision,
            wait_ms=self._next_wait_ms(),
        )
        if answer is None:
            self._log.write(
                "history_lost",
                kind=self._kind,
                revision=revisions.store_revision_of(self._revision),
                former_era=revisions.era_of(self._revision),
                era=self._store.era,
            )
            self._revision = None
            return
        for change in answer.changes:
            if change.is_deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
        self._revision = max(answer.revision, self._revision)
        self._pass_on()

    def _next_wait_ms(self) -> int:
        # After an outage, the first answer tells at once whether the store has
        # returned from an older copy meanwhile.
        if not self.is_connected:
            return 0
        longest_ms = self._sentinel_wait_ms() or wait_ms(
            self._balancers(), self._rng
        )
        unsettled_ms = self._settles_ms - clock.now_ms()
        return min(longest_ms, unsettled_ms) if unsettled_ms > 0 else longest_ms

    def _pass_on(self) -> None:
        assert self._revision is not None
        is_settled = clock.now_ms() >= self._settles_ms
        self._on_objects(Contents(self._objects, self._revision, is_settled))

    def _set_connected(self, is_connected: bool, **fields: Any) -> None:
        now_ms = clock.now_ms()
        if is_connected != self.is_connected:
            self.is_connected = is_connected
            event = "store_regained" if is_connected else "store_lost"
            self._log.write(
                event,
                kind=self._kind,
                revision=revisions.store_revision_of(self._revision or 0),
                era=self._store.era,
                unanswered_ms=now_ms - self._last_answer_ms,
                **fields,
            )
        if is_connected:
            self._last_answer_ms = now_ms
