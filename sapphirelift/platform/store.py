"""HTTP client of the platform's store of objects by kind and name.

The store may return from an older copy, which begins a new era. All revisions
that this client returns and takes contain the era, see ``core.revisions``.
"""

import collections
import urllib.parse
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.hubs
import greenlet
import msgspec

from sapphirelift import clock
from sapphirelift import credentials as credentials_module
from sapphirelift import errors
from sapphirelift.core import revisions
from sapphirelift.core.requests import rate_limit
from sapphirelift.platform import decoding

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
# Timeout of the first attempt for clients whose calls may all be repeated; each
# further one gets twice as long. A store that is slow answers within 0.25 s. A
# call that reaches a silent store is never answered, also when the store is
# back a moment later.
FIRST_READ_TIMEOUT_S = 0.5
# The platform answers a watch within its wait time. A connection that is
# silent for this much longer is considered dead.
WATCH_MARGIN_S = 1.0
# At up to two calls per second each, 840 watching daemons stay within the
# platform's limit of 2,000 reads per second.
CALLS_PER_S = 2.0
BURST_CALLS = 12
# One watch for each of the three kinds that a balancer follows, and one
# other call.
POOL_CONNECTIONS = 4
# Longer lists are rejected as faulty; 7,840 daemons need 16 pages.
MAX_LIST_PAGES = 64
# Number that the store increases each time it returns from an older copy.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = len(str(revisions.MAX_ERA))


class Object(NamedTuple):
    """An object of the store.

    Attributes:
        name: Name, unique within the kind.
        revision: Revision at the object's last change, with the store's era.
        value: JSON data, as written by the object's writer.
    """

    name: str
    revision: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        revision: Revision of the store that the list reflects.
    """

    revision: int
    objects: list[Object]


class Change(NamedTuple):
    """A change of an object.

    Attributes:
        object: The changed object; the last value of a deleted one.
        is_deleted: Whether the object was deleted.
    """

    object: Object
    is_deleted: bool


class Changes(NamedTuple):
    """Changes of the objects of a kind.

    Attributes:
        revision: Revision up to which all changes are included.
    """

    revision: int
    changes: list[Change]


class _Meta(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Revision")


class _Object(msgspec.Struct):
    meta: _Meta
    spec: Any = None


class _NamedMeta(msgspec.Struct):
    name: str = msgspec.field(name="Name")


class _Listing(msgspec.Struct):
    # The revision of the whole store, not that of the newest item.
    revision: int = msgspec.field(name="CurrentRev")
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)


class _Event(msgspec.Struct):
    object: msgspec.Raw = msgspec.field(name="Object")
    deleted: bool = msgspec.field(name="Deleted", default=False)


class _Events(msgspec.Struct):
    revision: int = msgspec.field(name="CurrentRev")
    events: list[msgspec.Raw] = msgspec.field(default_factory=list)


# Name of the list in each kind of page.
_ITEMS: dict[type[Any], str] = {_Listing: "items", _Events: "events"}


class Answer(NamedTuple):
    """Answer of the store to a call.

    Attributes:
        era: Era of the store when it answered.
    """

    status: int
    data: bytes
    era: int


OnSkipped = Callable[[str, str], None]


class _NewEraError(Exception):
    """Raised in a waiting watch when the store has begun a new era."""


class _RenewError(Exception):
    """Raised in a waiting watch whose connection may have gone silent."""


class Store:
    """Client of the store that limits the rate of its calls.

    Attributes:
        calls: Number of calls by kind of call; a watch counts as one call.
        failures: Number of calls without a usable answer, by kind of call.
        skipped: Number of items that could not be read. Of those whose name
            and revision can, the value is taken as None.
        era: Newest era seen in an answer; ``revisions.FIRST_ERA`` before the
            first one.
        restores: Number of times that the era has grown since the first
            answer.
    """

    def __init__(
        self,
        base_url: str,
        *,
        name: str = "client",
        calls_per_s: float = CALLS_PER_S,
        first_read_timeout_s: float = READ_TIMEOUT_S,
        credentials: credentials_module.PlatformCredentials | None = None,
        on_skipped: OnSkipped = lambda kind, reason: None,
    ) -> None:
        """Creates a client; the first call connects.

        Args:
            base_url: Address of the store.
            name: Name of the daemon, sent with each call.
            calls_per_s: Limit of the rate of calls.
            first_read_timeout_s: Time until the store answers a first attempt;
                doubled with each one that goes unanswered.
            credentials: How to prove the daemon's identity; None if the store
                does not ask.
            on_skipped: Called with the kind of an item that could not be
                read, and the reason.
        """
        self._base_url = base_url.rstrip("/")
        self._rate_limit = rate_limit.TokenBucket(
            rate_per_s=calls_per_s, burst=BURST_CALLS
        )
        self._credentials = (
            credentials or credentials_module.PlatformCredentials()
        )
        self._name = name
        self._on_skipped = on_skipped
        self._pool: Any = None
        self.calls: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.skipped = 0
        self.era = revisions.FIRST_ERA
        self.restores = 0
        self._has_era = False
        self._first_read_timeout_s = first_read_timeout_s
        self._read_timeout_s = first_read_timeout_s
        self._announced_era = 0
        self._watching: set[greenlet.greenlet] = set()

    def get(self, kind: str, name: str, *, call: str = "get") -> Object | None:
        """Returns an object, or None if it does not exist.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            call: Kind of call under which this call is counted.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        answer = self._call(call, "GET", _path(kind, name))
        if answer.status == 404:
            return None
        return self._decode_answer(call, kind, answer)

    def list_kind(self, kind: str, *, allow_stale: bool = False) -> Listing:
        """Returns all objects of a kind.

        Args:
            kind: The kind.
            allow_stale: Accepts an answer that may be seconds old; such a
                call costs the platform a tenth of a fresh one.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        objects: dict[str, Object] = {}
        revision: int | None = None
        era = 0
        after = ""
        for _ in range(MAX_LIST_PAGES):
            query: dict[str, Any] = {"after": after} if after else {}
            if allow_stale:
                query["AllowStale"] = 1
            answer = self._call("list", "GET", _path(kind), query=query)
            page: _Listing = self._decode_page("list", answer, _Listing)
            # The revision of the first page holds for the whole list: changes
            # between two pages are missing from the earlier page.
            if revision is None:
                era = answer.era
                revision = self._qualify("list", page.revision, answer)
            elif era != answer.era:
                raise self._failure("list", "pages of two eras")
            for raw in page.items:
                item = self._decode_item(kind, bytes(raw), answer)
                if item is not None:
                    objects[item.name] = item
            if not page.has_more:
                return Listing(revision, list(objects.values()))
            last = _last_name(page.items)
            if last is None or last == after:
                raise self._failure("list", "a page without a name to go on")
            after = last
        raise self._failure("list", f"more than {MAX_LIST_PAGES} pages")

    def watch(
        self,
        kind: str,
        *,
        since: int,
        wait_ms: int,
        allow_stale: bool = False,
    ) -> Changes | None:
        """Waits for changes of a kind after a revision.

        Returns:
            The changes, empty if there were none within ``wait_ms``; None if
            the store's history does not reach back to ``since``, or if the
            store has begun a new era since then.

        Raises:
            PlatformUnavailableError: There was no usable answer; the
                connection is closed and the next watch uses a new one.
        """
        if self.era > revisions.era_of(since):
            return None
        query: dict[str, Any] = {
            "Watch": revisions.store_revision_of(since),
            "WaitMs": wait_ms,
        }
        if allow_stale:
            query["AllowStale"] = 1
        waiting = greenlet.getcurrent()
        self._watching.add(waiting)
        try:
            answer = self._call(
                "watch",
                "GET",
                _path(kind),
                query=query,
                read_timeout_s=wait_ms / 1000 + WATCH_MARGIN_S,
            )
        except _NewEraError:
            return None
        except _RenewError:
            # Only an answer shows what the store holds, so it is asked again.
            return self.watch(
                kind, since=since, wait_ms=0, allow_stale=allow_stale
            )
        finally:
            self._watching.discard(waiting)
        # In a new era, the store may have given out ``since`` again, and
        # answers with changes of another history.
        if answer.status == 410 or answer.era != revisions.era_of(since):
            return None
        events: _Events = self._decode_page("watch", answer, _Events)
        changes: list[Change] = []
        for raw in events.events:
            event = _split_event(bytes(raw))
            item = self._decode_item(kind, bytes(event.object), answer)
            if item is not None:
                changes.append(Change(item, event.deleted))
        revision = self._qualify("watch", events.revision, answer)
        return Changes(revision, changes)

    def expect_era(self, era: int) -> None:
        """Ends waiting watches once if another daemon has seen a newer era.

        Their next answers show whether the store has begun that era.
        """
        if era > max(self.era, self._announced_era):
            self._announced_era = era
            self._end_watches(_NewEraError)

    def renew_watches(self) -> None:
        """Lets waiting watches ask again, over new connections.

        To be called if connections may have gone silent without an error.
        """
        if self._pool is not None:
            self._pool.clear()
        self._end_watches(_RenewError)

    def create(self, kind: str, name: str, value: Any) -> Object:
        """Creates an object.

        Raises:
            ConflictError: An object with this name exists.
            PlatformUnavailableError: There was no usable answer; the write
                may have taken effect or may still do so.
        """
        body = {"meta": {"Name": name}, "spec": value}
        return self._write("put", "POST", kind, name, body, path=_path(kind))

    def replace(
        self, kind: str, name: str, value: Any, *, revision: int | None = None
    ) -> Object:
        """Replaces the value of an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: The new value.
            revision: Revision that the object must have, or None for any.

        Raises:
            ConflictError: The object has another revision or does not exist,
                or the store has begun a new era.
            PlatformUnavailableError: As for ``create``.
        """
        meta: dict[str, Any] = {"Name": name}
        if revision is not None:
            self._check_era(kind, name, revision, self.era)
            meta["Revision"] = revisions.store_revision_of(revision)
        body = {"meta": meta, "spec": value}
        written = self._write("put", "PUT", kind, name, body)
        if revision is not None:
            self._check_era(
                kind, name, revision, revisions.era_of(written.revision)
            )
        return written

    def delete(
        self, kind: str, name: str, *, revision: int | None = None
    ) -> None:
        """Deletes an object; does nothing if it does not exist.

        Raises:
            ConflictError: The object has another revision, or the store has
                begun a new era.
            PlatformUnavailableError: As for ``create``.
        """
        query: dict[str, Any] = {}
        if revision is not None:
            self._check_era(kind, name, revision, self.era)
            query["Revision"] = revisions.store_revision_of(revision)
        answer = self._call("delete", "DELETE", _path(kind, name), query=query)
        if answer.status == 409:
            raise self._conflict(kind, name, answer)
        if revision is not None:
            self._check_era(kind, name, revision, answer.era)

    def _check_era(self, kind: str, name: str, revision: int, era: int) -> None:
        """Refuses a condition on a revision of an earlier era.

        The store may have given the revision out again, so that the condition
        can hold for another state of the object.
        """
        if era > revisions.era_of(revision):
            raise errors.StoreRestoredError(f"{kind}/{name}")

    def _write(
        self,
        call: str,
        method: str,
        kind: str,
        name: str,
        body: dict[str, Any],
        *,
        path: str = "",
    ) -> Object:
        answer = self._call(call, method, path or _path(kind, name), body=body)
        if answer.status == 404:
            raise errors.ConflictError(f"{kind}/{name}", 0)
        if answer.status == 409:
            raise self._conflict(kind, name, answer)
        return self._decode_answer(call, kind, answer)

    def _conflict(
        self, kind: str, name: str, answer: Answer
    ) -> errors.ConflictError:
        found = self._decode_item(kind, answer.data, answer)
        revision = found.revision if found is not None else 0
        return errors.ConflictError(f"{kind}/{name}", revision)

    def _decode_item(
        self, kind: str, data: bytes, answer: Answer
    ) -> Object | None:
        """Decodes an object, of which other writers may be the authors.

        Returns:
            None if its name or revision cannot be read; without a value if
            only that cannot.
        """
        try:
            decoded = decoding.decode(data, _Object)
            decoding.check_bounds(decoded.spec)
        except errors.UnreadableError as error:
            self._skip(kind, error)
            try:
                meta = decoding.members(data).get("meta", b"")
                decoded = _Object(decoding.decode(meta, _Meta))
            except errors.UnreadableError:
                return None
        if 0 <= decoded.meta.revision <= revisions.MAX_STORE_REVISION:
            return _new_object(decoded, answer.era)
        self._skip(
            kind, errors.UnreadableError(f"revision {decoded.meta.revision}")
        )
        return None

    def _skip(self, kind: str, reason: errors.UnreadableError) -> None:
        self.skipped += 1
        self._on_skipped(kind, str(reason))

    def _decode_answer(self, call: str, kind: str, answer: Answer) -> Object:
        """Decodes an answer that consists of one object."""
        decoded = self._decode_item(kind, answer.data, answer)
        if decoded is None:
            raise self._failure(call, "unreadable answer")
        return decoded

    def _qualify(self, call: str, store_revision: int, answer: Answer) -> int:
        """Returns a revision with the era of the answer that contains it."""
        if not 0 <= store_revision <= revisions.MAX_STORE_REVISION:
            raise self._failure(call, f"revision {store_revision}")
        return revisions.of_store(store_revision, era=answer.era)

    def _decode_page(self, call: str, answer: Answer, kind: type[Any]) -> Any:
        """Decodes a page of items, which themselves are not decoded."""
        try:
            return decoding.decode(answer.data, kind)
        except errors.UnreadableError:
            # An item cannot even be told from the others by the decoder.
            found = dict(decoding.members(answer.data))
        try:
            items = decoding.elements(found.pop(_ITEMS[kind], b""))
            rest = b",".join(
                b'"%b":%b' % (name.encode(), value)
                for name, value in found.items()
            )
            page = decoding.decode(b"{%b}" % rest, kind)
        except errors.UnreadableError as error:
            raise self._failure(call, "unreadable answer") from error
        setattr(page, _ITEMS[kind], [msgspec.Raw(item) for item in items])
        return page

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        read_timeout_s: float | None = None,
    ) -> Answer:
        """Makes a call and returns its answer.

        Args:
            call: Kind of call under which it is counted.
            method: HTTP method.
            path: Path of the objects.
            query: Parameters.
            body: Body, sent as JSON.
            read_timeout_s: Time until the store answers; None for one that
                grows with each attempt that goes unanswered.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        # Imported on the first call, so that a restarted agent carries packets
        # before it loads the HTTP client.
        import urllib3  # noqa: PLC0415

        delay_ms = self._rate_limit.reserve_ms(now_ms=clock.now_ms())
        if delay_ms:
            eventlet.sleep(delay_ms / 1000)
        if self._pool is None:
            self._pool = self._new_pool()
        self.calls[call] += 1
        url = self._base_url + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        is_adaptive = read_timeout_s is None
        if read_timeout_s is None:
            read_timeout_s = self._read_timeout_s
        began_ms = clock.now_ms()
        # The read timeout of a socket restarts with every byte received; this
        # timeout bounds the whole call.
        call_timeout = eventlet.Timeout(
            CONNECT_TIMEOUT_S + read_timeout_s + 0.5
        )
        try:
            response = self._pool.request(
                method,
                url,
                json=body,
                headers=self._headers(),
                # A redirect could carry the token to another host.
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=read_timeout_s
                ),
            )
            data = response.data
        except urllib3.exceptions.ReadTimeoutError as error:
            if is_adaptive:
                self._allow_more_time(read_timeout_s)
            # What has silenced this connection has silenced others too.
            self.renew_watches()
            raise self._failure(call, type(error).__name__) from error
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            raise self._failure(call, type(error).__name__) from error
        except eventlet.Timeout as error:
            if error is not call_timeout:
                raise
            if is_adaptive:
                self._allow_more_time(read_timeout_s)
            self.renew_watches()
            raise self._failure(call, "no answer in time") from error
        finally:
            call_timeout.cancel()
        took_ms = clock.now_ms() - began_ms
        if is_adaptive and took_ms < self._first_read_timeout_s * 1000 / 2:
            self._read_timeout_s = self._first_read_timeout_s
        era = self._read_era(call, response.headers.get(ERA_HEADER))
        if response.status not in (200, 201, 404, 409, 410):
            raise self._failure(call, f"status {response.status}")
        if era < self.era:
            raise self._failure(call, f"answer of era {era} after {self.era}")
        return Answer(response.status, data, era)

    def _allow_more_time(self, exceeded_s: float) -> None:
        """Doubles the timeout of further attempts after an exceeded one."""
        self._read_timeout_s = min(
            max(self._read_timeout_s, 2 * exceeded_s), READ_TIMEOUT_S
        )

    def _read_era(self, call: str, header: str | None) -> int:
        """Returns the era of an answer, and ends the watches of earlier eras.

        An answer without the header is taken as one of the newest era.
        """
        if header is None:
            return self.era
        is_number = header.isascii() and header.isdecimal()
        era = int(header) if is_number and len(header) <= MAX_ERA_DIGITS else -1
        if not revisions.FIRST_ERA <= era <= revisions.MAX_ERA:
            raise self._failure(call, f"era {header[:20]!r}")
        if era > self.era:
            self.restores += self._has_era
            self.era = era
            self._end_watches(_NewEraError)
        self._has_era = True
        return era

    def _end_watches(self, reason: type[Exception]) -> None:
        """Ends the watches that wait in other green threads."""

        def end(waiting: greenlet.greenlet) -> None:
            if waiting in self._watching:
                waiting.throw(reason())

        for waiting in self._watching - {greenlet.getcurrent()}:
            eventlet.hubs.get_hub().schedule_call_global(0, end, waiting)

    def _new_pool(self) -> Any:
        import urllib3  # noqa: PLC0415

        tls: dict[str, Any] = {}
        if self._base_url.lower().startswith("https://"):
            tls["ssl_context"] = credentials_module.platform_context(
                self._credentials
            )
        return urllib3.PoolManager(
            retries=False,
            maxsize=POOL_CONNECTIONS,
            headers={"User-Agent": f"sapphirelift/{self._name}"},
            **tls,
        )

    def _headers(self) -> dict[str, str]:
        headers = dict(self._pool.headers)
        if self._credentials.token_file:
            token = credentials_module.read_token(self._credentials)
            headers["Authorization"] = f"Bearer {token}"
        return headers

    def _failure(
        self, call: str, reason: str
    ) -> errors.PlatformUnavailableError:
        self.failures[call] += 1
        return errors.PlatformUnavailableError(f"platform: {call}: {reason}")


def _split_event(data: bytes) -> _Event:
    """Returns the parts of an event, of which the object is not decoded."""
    try:
        return decoding.decode(data, _Event)
    except errors.UnreadableError:
        found = decoding.members(data)
        return _Event(
            msgspec.Raw(found.get("Object", b"")),
            found.get("Deleted") == b"true",
        )


def _last_name(items: list[msgspec.Raw]) -> str | None:
    """Returns the name of the last item, malformed otherwise or not."""
    for item in reversed(items):
        meta = decoding.members(bytes(item)).get("meta", b"")
        try:
            return decoding.decode(meta, _NamedMeta).name
        except errors.UnreadableError:
            continue
    return None


def _new_object(decoded: _Object, era: int) -> Object:
    revision = revisions.of_store(decoded.meta.revision, era=era)
    return Object(decoded.meta.name, revision, decoded.spec)


def _path(kind: str, name: str = "") -> str:
    path = f"/v1/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path
