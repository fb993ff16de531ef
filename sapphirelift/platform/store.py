"""HTTP client of the platform's store of objects by kind and name."""

import collections
import urllib.parse
from typing import Any
from typing import NamedTuple

import eventlet
import msgspec

from sapphirelift import clock
from sapphirelift import credentials as credentials_module
from sapphirelift import errors
from sapphirelift.core.requests import rate_limit

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
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


class Object(NamedTuple):
    """An object of the store.

    Attributes:
        name: Name, unique within the kind.
        revision: Revision of the store at the object's last change.
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


class _Named(msgspec.Struct):
    meta: _NamedMeta


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
    events: list[_Event] = msgspec.field(default_factory=list)


class Store:
    """Client of the store that limits the rate of its calls.

    Attributes:
        calls: Number of calls by kind of call; a watch counts as one call.
        failures: Number of calls without a usable answer, by kind of call.
        skipped: Number of items that could not be decoded as objects.
        era: Newest era seen in an answer; 0 before the first one.
        restores: Number of times that the era has grown since the first
            answer.
    """

    def __init__(
        self,
        base_url: str,
        *,
        name: str = "client",
        calls_per_s: float = CALLS_PER_S,
        credentials: credentials_module.PlatformCredentials | None = None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._rate_limit = rate_limit.TokenBucket(
            rate_per_s=calls_per_s, burst=BURST_CALLS
        )
        self._credentials = (
            credentials or credentials_module.PlatformCredentials()
        )
        self._name = name
        self._pool: Any = None
        self.calls: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.skipped = 0
        self.era = 0
        self.restores = 0

    def get(self, kind: str, name: str, *, call: str = "get") -> Object | None:
        """Returns an object, or None if it does not exist.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            call: Kind of call under which this call is counted.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        status, data = self._call(call, "GET", _path(kind, name))
        return None if status == 404 else self._decode_object(call, data)

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
        after = ""
        for _ in range(MAX_LIST_PAGES):
            query: dict[str, Any] = {"after": after} if after else {}
            if allow_stale:
                query["AllowStale"] = 1
            page = self._list_page("list", _path(kind), query)
            # The revision of the first page holds for the whole list: changes
            # between two pages are missing from the earlier page.
            revision = page.revision if revision is None else revision
            found = self._decode_objects(page.items)
            objects.update((item.name, item) for item in found)
            if not page.has_more:
                return Listing(revision, list(objects.values()))
            last = self._last_name(page.items)
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
            the store's history does not reach back to ``since``.

        Raises:
            PlatformUnavailableError: There was no usable answer; the
                connection is closed and the next watch uses a new one.
        """
        query: dict[str, Any] = {"Watch": since, "WaitMs": wait_ms}
        if allow_stale:
            query["AllowStale"] = 1
        status, data = self._call(
            "watch",
            "GET",
            _path(kind),
            query=query,
            read_timeout_s=wait_ms / 1000 + WATCH_MARGIN_S,
        )
        if status == 410:
            return None
        events = self._decode("watch", data, _Events)
        changes: list[Change] = []
        for event in events.events:
            changes.extend(
                Change(item, event.deleted)
                for item in self._decode_objects([event.object])
            )
        return Changes(events.revision, changes)

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
            ConflictError: The object has another revision or does not exist.
            PlatformUnavailableError: As for ``create``.
        """
        meta: dict[str, Any] = {"Name": name}
        if revision is not None:
            meta["Revision"] = revision
        body = {"meta": meta, "spec": value}
        return self._write("put", "PUT", kind, name, body)

    def delete(
        self, kind: str, name: str, *, revision: int | None = None
    ) -> None:
        """Deletes an object; does nothing if it does not exist.

        Raises:
            ConflictError: The object has another revision.
            PlatformUnavailableError: As for ``create``.
        """
        query = {"Revision": revision} if revision is not None else {}
        status, data = self._call(
            "delete", "DELETE", _path(kind, name), query=query
        )
        if status == 409:
            raise self._conflict(kind, name, data)

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
        status, data = self._call(
            call, method, path or _path(kind, name), body=body
        )
        if status == 404:
            raise errors.ConflictError(f"{kind}/{name}", 0)
        if status == 409:
            raise self._conflict(kind, name, data)
        return self._decode_object(call, data)

    def _conflict(
        self, kind: str, name: str, data: bytes
    ) -> errors.ConflictError:
        found = self._decode_objects([msgspec.Raw(data)])
        revision = found[0].revision if found else 0
        return errors.ConflictError(f"{kind}/{name}", revision)

    def _list_page(
        self, call: str, path: str, query: dict[str, Any]
    ) -> _Listing:
        _, data = self._call(call, "GET", path, query=query)
        return self._decode(call, data, _Listing)

    def _decode_objects(self, items: list[msgspec.Raw]) -> list[Object]:
        """Decodes objects; skips malformed items of other writers."""
        found: list[Object] = []
        for item in items:
            try:
                decoded = msgspec.json.decode(item, type=_Object)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.skipped += 1
                continue
            found.append(_new_object(decoded))
        return found

    def _last_name(self, items: list[msgspec.Raw]) -> str | None:
        """Returns the name of the last item, malformed otherwise or not."""
        for item in reversed(items):
            try:
                return msgspec.json.decode(item, type=_Named).meta.name
            except (msgspec.MsgspecError, UnicodeDecodeError):
                continue
        return None

    def _decode_object(self, call: str, data: bytes) -> Object:
        return _new_object(self._decode(call, data, _Object))

    def _decode(self, call: str, data: bytes, kind: type[Any]) -> Any:
        try:
            return msgspec.json.decode(data, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._failure(call, "unreadable answer") from error

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> tuple[int, bytes]:
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
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            raise self._failure(call, type(error).__name__) from error
        except eventlet.Timeout as error:
            if error is not call_timeout:
                raise
            raise self._failure(call, "no answer in time") from error
        finally:
            call_timeout.cancel()
        self._on_era(response.headers.get(ERA_HEADER, ""))
        if response.status not in (200, 201, 404, 409, 410):
            raise self._failure(call, f"status {response.status}")
        return response.status, data

    def _on_era(self, header: str) -> None:
        """Records the era of an answer; ignores a missing or invalid one."""
        if not header.isascii() or not header.isdecimal():
            return
        era = int(header)
        if era > self.era:
            self.restores += self.era > 0
            self.era = era

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


def _new_object(decoded: _Object) -> Object:
    return Object(decoded.meta.name, decoded.meta.revision, decoded.spec)


def _path(kind: str, name: str = "") -> str:
    path = f"/v1/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path
