"""Simulated object store of the platform, for tests and the demo.

It implements the published protocol: objects identified by kind and name with
``meta``, ``spec`` and ``status``, paginated lists, watches and conditional
writes. ``python -m sapphirelift.standins.platform PORT`` starts it.

``POST /faults`` with a JSON object sets the faults to inject (see
``Faults``); ``POST /restart`` empties the store and resets its revision;
``POST /copy`` copies the store, and ``POST /restore`` returns to the last copy
and begins a new era; ``GET /calls`` returns the number of calls by method.

Environment variables: with ``PLATFORM_CERTIFICATE`` and ``PLATFORM_KEY`` it
serves TLS, with ``PLATFORM_CLIENT_CA`` it also requires client certificates,
and with ``PLATFORM_TOKEN`` it requires this bearer token.
"""

import collections
import json
import os
import sys
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event
import eventlet.wsgi
import msgspec
from eventlet.green import ssl

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
HISTORY_CHANGES = 10_000
_PREFIX = "/v1/objects/"
_ERA_HEADER = "Store-Era"
# Maximum number of items in one page of a list.
PAGE_ITEMS = 500


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject.

    Attributes:
        down: Whether to answer every call with 503.
        delay_ms: Delay before each answer.
        lose_write_answers: Number of writes to apply but to answer with 503.
        stale_reads: Number of lists and watches to answer from an older
            state.
        stale_changes: Number of changes that the older state lacks.
        stale_claims: Whether answers from the older state contain the current
            revision.
        silent_watches: Number of watches never to answer. Later calls on
            their connections are not answered either; new connections work.
        silent_clients: Names of clients whose calls are never answered.
        history_changes: Number of changes that the history keeps.
    """

    down: bool = False
    delay_ms: int = 0
    lose_write_answers: int = 0
    stale_reads: int = 0
    stale_changes: int = 1
    stale_claims: bool = False
    silent_watches: int = 0
    silent_clients: tuple[str, ...] = ()
    history_changes: int = HISTORY_CHANGES


class _Change(NamedTuple):
    """One change of an object.

    Attributes:
        revision: Revision of the store after the change.
        kind: Kind of the object.
        name: Name of the object.
        is_deleted: Whether the object was deleted.
        item: The object after the change; if deleted, before it.
    """

    revision: int
    kind: str
    name: str
    is_deleted: bool
    item: dict[str, Any]


class ObjectStore:
    """Objects with revisions and a change history.

    Attributes:
        objects: Objects by kind and name.
        revision: Revision of the latest change.
        trimmed_revision: Revision of the latest change that was removed
            from the history.
        history: Latest changes, oldest first.
        is_replaced: Whether an older copy has taken the place of this store.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.trimmed_revision = 0
        self.history: collections.deque[_Change] = collections.deque()
        self.is_replaced = False
        self._changed: eventlet.event.Event = eventlet.event.Event()

    def copy(self) -> "ObjectStore":
        """Returns a copy that later changes do not affect."""
        copied = ObjectStore()
        copied.objects = dict(self.objects)
        copied.revision = self.revision
        copied.trimmed_revision = self.trimmed_revision
        copied.history = self.history.copy()
        return copied

    def replace(self) -> None:
        """Marks the store as replaced and ends the watches that wait on it."""
        self.is_replaced = True
        self._wake_watches()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Creates or replaces an object; an equal spec changes nothing."""
        existing = self.objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing
        item = {
            "meta": {
                "Name": name,
                "Revision": self.revision + 1,
                "Created": existing["meta"]["Created"]
                if existing
                else self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "spec": spec,
            "status": existing["status"] if existing is not None else None,
        }
        self._record(_Change(self.revision + 1, kind, name, False, item))
        return item

    def delete(self, kind: str, name: str) -> dict[str, Any]:
        """Deletes an existing object."""
        item = self.objects[(kind, name)]
        self._record(_Change(self.revision + 1, kind, name, True, item))
        return item

    def trim(self, count: int) -> None:
        """Removes all but the latest changes from the history."""
        while len(self.history) > count:
            self.trimmed_revision = self.history.popleft().revision

    def listing(self, kind: str, after: str) -> dict[str, Any]:
        """Returns one page of the objects of a kind, ordered by name.

        Args:
            kind: Kind of the objects.
            after: Last name of the previous page, empty for the first page.
        """
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = names[:PAGE_ITEMS]
        return {
            "items": [self.objects[(kind, name)] for name in page],
            "HasMore": len(names) > len(page),
            "CurrentRev": self.revision,
        }

    def changes(self, kind: str, since: int) -> dict[str, Any] | None:
        """Returns the changes of a kind after a revision.

        Returns:
            None if the history does not reach back that far, or if the
            revision is newer than the store.
        """
        if since < self.trimmed_revision or since > self.revision:
            return None
        events = [
            {"Deleted": change.is_deleted, "Object": change.item}
            for change in self.history
            if change.revision > since and change.kind == kind
        ]
        return {"events": events, "CurrentRev": self.revision}

    def wait(self, kind: str, since: int, timeout_s: float) -> None:
        """Waits for a change of the kind after a revision, or the timeout."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                changes = self.changes(kind, since)
                if self.is_replaced or changes is None or changes["events"]:
                    return
                self._changed.wait()

    def without_latest(self, changes: int) -> "ObjectStore":
        """Returns a copy of the store without its latest changes."""
        store = ObjectStore()
        for change in list(self.history)[: len(self.history) - changes]:
            store.apply(change)
        return store

    def apply(self, change: _Change) -> None:
        """Applies one change and appends it to the history."""
        self.revision = change.revision
        if change.is_deleted:
            self.objects.pop((change.kind, change.name), None)
        else:
            self.objects[(change.kind, change.name)] = change.item
        self.history.append(change)

    def _record(self, change: _Change) -> None:
        self.apply(change)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)


class PlatformApp:
    """WSGI application that serves the object store."""

    def __init__(self, *, token: str = "") -> None:
        self.store = ObjectStore()
        self.era = 0
        self._copy = ObjectStore()
        self._token = token
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._silent_ports: set[str] = set()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one call."""
        status, body = self._handle(environ)
        data = json.dumps(body).encode()
        headers = [
            ("Content-Type", "application/json"),
            (_ERA_HEADER, str(self.era)),
        ]
        start_response(status, headers)
        return [data]

    def _handle(self, environ: dict[str, Any]) -> tuple[str, Any]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        if self._token and authorization != f"Bearer {self._token}":
            return "401 Unauthorized", {}
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/faults":
            self.faults = msgspec.json.decode(body, type=Faults)
            self.store.trim(self.faults.history_changes)
            return "200 OK", {}
        if path == "/restart":
            self.store = ObjectStore()
            return "200 OK", {}
        if path == "/copy":
            self._copy = self.store.copy()
            return "200 OK", {}
        if path == "/restore":
            self.restore()
            return "200 OK", {}
        if path == "/calls":
            return "200 OK", dict(self.calls)
        self.calls[method] += 1
        if self._is_silent(environ):
            self._block_forever()
        if self.faults.delay_ms:
            eventlet.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return "503 Service Unavailable", {}
        kind, _, name = path.removeprefix(_PREFIX).partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        match method:
            case "GET" if not name:
                return self._list(kind, query, environ)
            case "GET":
                existing = self.store.objects.get((kind, name))
                return (
                    ("200 OK", existing) if existing else ("404 Not Found", {})
                )
            case "POST":
                return self._create(kind, json.loads(body))
            case "PUT":
                return self._replace(kind, name, json.loads(body))
            case "DELETE":
                return self._delete(kind, name, query.get("Revision"))
        return "400 Bad Request", {}

    def restore(self) -> None:
        """Returns to the last copy, as after a loss of the newest changes."""
        replaced, self.store = self.store, self._copy.copy()
        self.era += 1
        replaced.replace()

    def _list(
        self, kind: str, query: dict[str, str], environ: dict[str, Any]
    ) -> tuple[str, Any]:
        if "Watch" not in query:
            store = self._readable_store()
            return "200 OK", self._override_revision(
                store.listing(kind, query.get("after", ""))
            )
        since = int(query["Watch"])
        wait_ms = int(query.get("WaitMs", "0"))
        if wait_ms and self.faults.silent_watches > 0:
            self.faults.silent_watches -= 1
            self._silent_ports.add(environ["REMOTE_PORT"])
            self._block_forever()
        watched = self.store
        watched.wait(kind, since, wait_ms / 1000)
        if self.faults.down or watched.is_replaced:
            return "503 Service Unavailable", {}
        store = self._readable_store()
        if since > store.revision and since <= self.store.revision:
            # A stale replica has no changes after this revision yet.
            return "200 OK", self._override_revision(
                {"events": [], "CurrentRev": store.revision}
            )
        changes = store.changes(kind, since)
        if changes is None:
            return "410 Gone", {}
        return "200 OK", self._override_revision(changes)

    def _readable_store(self) -> ObjectStore:
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            return self.store.without_latest(self.faults.stale_changes)
        return self.store

    def _override_revision(self, answer: dict[str, Any]) -> dict[str, Any]:
        if self.faults.stale_claims:
            answer["CurrentRev"] = self.store.revision
        return answer

    def _is_silent(self, environ: dict[str, Any]) -> bool:
        client = environ.get("HTTP_USER_AGENT", "").rpartition("/")[2]
        if client in self.faults.silent_clients:
            return True
        return environ.get("REMOTE_PORT") in self._silent_ports

    def _block_forever(self) -> None:
        """Blocks forever, so that the call is never answered."""
        eventlet.event.Event().wait()

    def _create(self, kind: str, body: dict[str, Any]) -> tuple[str, Any]:
        name = body["meta"]["Name"]
        existing = self.store.objects.get((kind, name))
        if existing is not None:
            return "409 Conflict", existing
        return self._finish_write(self.store.put(kind, name, body.get("spec")))

    def _replace(
        self, kind: str, name: str, body: dict[str, Any]
    ) -> tuple[str, Any]:
        existing = self.store.objects.get((kind, name))
        if existing is None:
            return "404 Not Found", {}
        expected = body.get("meta", {}).get("Revision")
        if expected not in (None, existing["meta"]["Revision"]):
            return "409 Conflict", existing
        return self._finish_write(self.store.put(kind, name, body.get("spec")))

    def _delete(
        self, kind: str, name: str, expected: str | None
    ) -> tuple[str, Any]:
        existing = self.store.objects.get((kind, name))
        if existing is None:
            return "404 Not Found", {}
        if (
            expected is not None
            and int(expected) != existing["meta"]["Revision"]
        ):
            return "409 Conflict", existing
        return self._finish_write(self.store.delete(kind, name))

    def _finish_write(self, item: dict[str, Any]) -> tuple[str, Any]:
        self.store.trim(self.faults.history_changes)
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return "503 Service Unavailable", {}
        return "200 OK", item


def serve(port: int) -> None:
    """Serves the object store on a loopback port."""
    listener = eventlet.listen(("127.0.0.1", port))
    app = PlatformApp(token=os.environ.get("PLATFORM_TOKEN", ""))
    certificate = os.environ.get("PLATFORM_CERTIFICATE")
    if certificate:
        # Uses a context because eventlet.wrap_ssl ignores ``cert_reqs``.
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(certificate, os.environ["PLATFORM_KEY"])
        client_ca = os.environ.get("PLATFORM_CLIENT_CA")
        if client_ca:
            context.load_verify_locations(client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
        listener = context.wrap_socket(listener, server_side=True)
    eventlet.wsgi.server(listener, app, log_output=False)


if __name__ == "__main__":
    serve(int(sys.argv[1]))
