"""Stand-in for the platform's object store.

It speaks the published protocol: objects by kind and name with ``meta``,
``spec`` and ``status``, lists, watches and conditional writes.
``python -m sapphirelift.standins.platform PORT`` serves it. Faults are set
by ``POST /faults`` with a JSON object, see ``Faults``; ``POST /restart``
empties the store and starts it again at its lowest revision. With
``PLATFORM_CERTIFICATE`` and ``PLATFORM_KEY`` in the environment it serves
TLS, with ``PLATFORM_CLIENT_CA`` it requires client certificates and with
``PLATFORM_TOKEN`` a bearer token.
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
# Items of one page of a list.
PAGE_ITEMS = 500


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in shows.

    Attributes:
        down: Answer every call with 503.
        delay_ms: Wait before each answer.
        lose_write_answers: Carry out that many writes, then answer 503.
        stale_reads: Answer that many lists and watches from an older state.
        stale_changes: How many changes the older state lacks.
        stale_claims: Let the older state name the current revision.
        silent_watches: Never answer that many watches, nor any later call
            on their connections; new connections work.
        silent_clients: Never answer a call of these clients.
        history_changes: Number of changes that are remembered.
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
    """A change of the object of a kind."""

    revision: int
    kind: str
    name: str
    is_deleted: bool
    item: dict[str, Any]


class ObjectStore:
    """Objects with revisions, conditional updates and change history."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.forgotten = 0
        self.history: collections.deque[_Change] = collections.deque()
        self._changed: eventlet.event.Event = eventlet.event.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Creates or replaces an object; one that is equal stays as it is."""
        held = self.objects.get((kind, name))
        if held is not None and held["spec"] == spec:
            return held
        item = {
            "meta": {
                "Name": name,
                "Revision": self.revision + 1,
                "Created": held["meta"]["Created"] if held else self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "spec": spec,
            "status": held["status"] if held is not None else None,
        }
        self._note(_Change(self.revision + 1, kind, name, False, item))
        return item

    def delete(self, kind: str, name: str) -> dict[str, Any]:
        """Removes an object that is there."""
        item = self.objects[(kind, name)]
        self._note(_Change(self.revision + 1, kind, name, True, item))
        return item

    def trim(self, count: int) -> None:
        """Forgets all but the last changes."""
        while len(self.history) > count:
            self.forgotten = self.history.popleft().revision

    def listing(self, kind: str, after: str) -> dict[str, Any]:
        """Returns a page of the objects of a kind."""
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = names[:PAGE_ITEMS]
        return {
            "items": [self.objects[(kind, name)] for name in page],
            "HasMore": len(names) > len(page),
            "CurrentRev": self.revision,
        }

    def changes(self, kind: str, since: int) -> dict[str, Any] | None:
        """Returns the changes after a revision, None if too far back."""
        if since < self.forgotten or since > self.revision:
            return None
        events = [
            {"Deleted": change.is_deleted, "Object": change.item}
            for change in self.history
            if change.revision > since and change.kind == kind
        ]
        return {"events": events, "CurrentRev": self.revision}

    def wait(self, kind: str, since: int, timeout_s: float) -> None:
        """Waits until something of the kind changes after ``since``."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                changes = self.changes(kind, since)
                if changes is None or changes["events"]:
                    return
                self._changed.wait()

    def older(self, changes: int) -> "ObjectStore":
        """Returns the store as it was that many changes ago."""
        store = ObjectStore()
        for change in list(self.history)[: len(self.history) - changes]:
            store.apply(change)
        return store

    def apply(self, change: _Change) -> None:
        """Takes over one change."""
        self.revision = change.revision
        if change.is_deleted:
            self.objects.pop((change.kind, change.name), None)
        else:
            self.objects[(change.kind, change.name)] = change.item
        self.history.append(change)

    def _note(self, change: _Change) -> None:
        self.apply(change)
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)


class PlatformApp:
    """WSGI application of the stand-in."""

    def __init__(self, *, token: str = "") -> None:
        self.store = ObjectStore()
        self._token = token
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._silent: set[str] = set()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one call."""
        status, body = self._answer(environ)
        data = json.dumps(body).encode()
        start_response(status, [("Content-Type", "application/json")])
        return [data]

    def _answer(self, environ: dict[str, Any]) -> tuple[str, Any]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        given = environ.get("HTTP_AUTHORIZATION", "")
        if self._token and given != f"Bearer {self._token}":
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
        if path == "/calls":
            return "200 OK", dict(self.calls)
        self.calls[method] += 1
        if self._is_silent(environ):
            self._stay_silent()
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
                held = self.store.objects.get((kind, name))
                return ("200 OK", held) if held else ("404 Not Found", {})
            case "POST":
                return self._create(kind, json.loads(body))
            case "PUT":
                return self._replace(kind, name, json.loads(body))
            case "DELETE":
                return self._delete(kind, name, query.get("Revision"))
        return "400 Bad Request", {}

    def _list(
        self, kind: str, query: dict[str, str], environ: dict[str, Any]
    ) -> tuple[str, Any]:
        if "Watch" not in query:
            store = self._read_from()
            return "200 OK", self._claim(
                store.listing(kind, query.get("after", ""))
            )
        since = int(query["Watch"])
        wait_ms = int(query.get("WaitMs", "0"))
        if wait_ms and self.faults.silent_watches > 0:
            self.faults.silent_watches -= 1
            self._silent.add(environ["REMOTE_PORT"])
            self._stay_silent()
        self.store.wait(kind, since, wait_ms / 1000)
        if self.faults.down:
            return "503 Service Unavailable", {}
        store = self._read_from()
        if since > store.revision and since <= self.store.revision:
            # A part that lags has nothing to tell yet.
            return "200 OK", self._claim(
                {"events": [], "CurrentRev": store.revision}
            )
        changes = store.changes(kind, since)
        if changes is None:
            return "410 Gone", {}
        return "200 OK", self._claim(changes)

    def _read_from(self) -> ObjectStore:
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            return self.store.older(self.faults.stale_changes)
        return self.store

    def _claim(self, answer: dict[str, Any]) -> dict[str, Any]:
        if self.faults.stale_claims:
            answer["CurrentRev"] = self.store.revision
        return answer

    def _is_silent(self, environ: dict[str, Any]) -> bool:
        client = environ.get("HTTP_USER_AGENT", "").rpartition("/")[2]
        if client in self.faults.silent_clients:
            return True
        return environ.get("REMOTE_PORT") in self._silent

    def _stay_silent(self) -> None:
        """Leaves the call without an answer for good."""
        eventlet.event.Event().wait()

    def _create(self, kind: str, body: dict[str, Any]) -> tuple[str, Any]:
        name = body["meta"]["Name"]
        held = self.store.objects.get((kind, name))
        if held is not None:
            return "409 Conflict", held
        return self._written(self.store.put(kind, name, body.get("spec")))

    def _replace(
        self, kind: str, name: str, body: dict[str, Any]
    ) -> tuple[str, Any]:
        held = self.store.objects.get((kind, name))
        if held is None:
            return "404 Not Found", {}
        expected = body.get("meta", {}).get("Revision")
        if expected not in (None, held["meta"]["Revision"]):
            return "409 Conflict", held
        return self._written(self.store.put(kind, name, body.get("spec")))

    def _delete(
        self, kind: str, name: str, expected: str | None
    ) -> tuple[str, Any]:
        held = self.store.objects.get((kind, name))
        if held is None:
            return "404 Not Found", {}
        if expected is not None and int(expected) != held["meta"]["Revision"]:
            return "409 Conflict", held
        return self._written(self.store.delete(kind, name))

    def _written(self, item: dict[str, Any]) -> tuple[str, Any]:
        self.store.trim(self.faults.history_changes)
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return "503 Service Unavailable", {}
        return "200 OK", item


def serve(port: int) -> None:
    """Serves the stand-in on a loopback port."""
    listener = eventlet.listen(("127.0.0.1", port))
    app = PlatformApp(token=os.environ.get("PLATFORM_TOKEN", ""))
    certificate = os.environ.get("PLATFORM_CERTIFICATE")
    if certificate:
        # eventlet.wrap_ssl ignores ``cert_reqs``, a context does not.
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
