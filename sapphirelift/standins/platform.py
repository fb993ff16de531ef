"""Stand-in for the platform's object API.

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

import eventlet
import eventlet.event
import eventlet.wsgi
import msgspec
from eventlet.green import ssl

Prefixes = tuple[str, ...]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
HISTORY_CHANGES = 10_000
_PREFIX = "/v1/objects/"


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


class ObjectStore:
    """Objects with revisions, conditional updates and change history."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.forgotten = 0
        self.history: collections.deque[dict[str, Any]] = collections.deque()
        self._changed: eventlet.event.Event = eventlet.event.Event()

    def write(
        self,
        key: str,
        value: dict[str, Any] | None,
        *,
        write_id: str,
        expected_revision: int | None,
    ) -> tuple[bool, dict[str, Any]]:
        """Writes or deletes; returns success and the object as it is now."""
        held = self.objects.get(key)
        held_revision = held["revision"] if held is not None else 0
        if expected_revision not in (None, held_revision):
            return False, held or {"key": key, "revision": 0, "write_id": ""}
        item = {
            "key": key,
            "revision": self.revision + 1,
            "value": value,
            "write_id": write_id,
        }
        self.apply(item)
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)
        return True, item

    def trim(self, count: int) -> None:
        """Forgets all but the last changes."""
        while len(self.history) > count:
            self.forgotten = self.history.popleft()["revision"]

    def listing(self, prefixes: Prefixes) -> dict[str, Any]:
        """Returns all objects under the prefixes."""
        found = [o for k, o in self.objects.items() if k.startswith(prefixes)]
        return {
            "revision": self.revision,
            "objects": found,
            "complete": True,
        }

    def changes(self, prefixes: Prefixes, since: int) -> dict[str, Any] | None:
        """Returns the changes after a revision, None if too far back."""
        if since < self.forgotten or since > self.revision:
            return None
        found: dict[str, dict[str, Any]] = {}
        for item in reversed(self.history):
            if item["revision"] <= since:
                break
            if item["key"].startswith(prefixes):
                found.setdefault(item["key"], item)
        return {
            "revision": self.revision,
            "objects": list(found.values()),
            "complete": False,
        }

    def wait(self, prefixes: Prefixes, since: int, timeout_s: float) -> None:
        """Waits until something under the prefixes changes after ``since``."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                changes = self.changes(prefixes, since)
                if changes is None or changes["objects"]:
                    return
                self._changed.wait()

    def older(self, changes: int) -> "ObjectStore":
        """Returns the store as it was that many changes ago."""
        store = ObjectStore()
        for item in list(self.history)[: len(self.history) - changes]:
            store.apply(item)
        return store

    def apply(self, item: dict[str, Any]) -> None:
        """Takes over one change."""
        self.revision = item["revision"]
        if item["value"] is None:
            self.objects.pop(item["key"], None)
        else:
            self.objects[item["key"]] = item
        self.history.append(item)


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
        if path == "/v1/objects":
            return self._list(environ)
        key = path.removeprefix(_PREFIX)
        match method:
            case "GET":
                held = self.store.objects.get(key)
                return ("200 OK", held) if held else ("404 Not Found", {})
            case "PUT":
                return self._put(key, json.loads(body))
            case "DELETE":
                expected = query.get("expected_revision")
                return self._write(
                    key,
                    None,
                    write_id=query.get("write_id", ""),
                    expected=int(expected) if expected else None,
                )
        return "400 Bad Request", {}

    def _list(self, environ: dict[str, Any]) -> tuple[str, Any]:
        query = urllib.parse.parse_qs(
            environ.get("QUERY_STRING", ""), keep_blank_values=True
        )
        prefixes = tuple(query.get("prefix", [""]))
        if "since" not in query:
            return "200 OK", self._read(prefixes, None)
        since = int(query["since"][0])
        wait_ms = int(query.get("wait_ms", ["0"])[0])
        if wait_ms and self.faults.silent_watches > 0:
            self.faults.silent_watches -= 1
            self._silent.add(environ["REMOTE_PORT"])
            self._stay_silent()
        self.store.wait(prefixes, since, wait_ms / 1000)
        if self.faults.down:
            return "503 Service Unavailable", {}
        return "200 OK", self._read(prefixes, since)

    def _read(self, prefixes: Prefixes, since: int | None) -> dict[str, Any]:
        store = self.store
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            store = store.older(self.faults.stale_changes)
        answer = None if since is None else store.changes(prefixes, since)
        answer = answer or store.listing(prefixes)
        if self.faults.stale_claims:
            answer["revision"] = self.store.revision
        return answer

    def _is_silent(self, environ: dict[str, Any]) -> bool:
        client = environ.get("HTTP_USER_AGENT", "").rpartition("/")[2]
        if client in self.faults.silent_clients:
            return True
        return environ.get("REMOTE_PORT") in self._silent

    def _stay_silent(self) -> None:
        """Leaves the call without an answer for good."""
        eventlet.event.Event().wait()

    def _put(self, key: str, body: dict[str, Any]) -> tuple[str, Any]:
        return self._write(
            key,
            body["value"],
            write_id=body["write_id"],
            expected=body.get("expected_revision"),
        )

    def _write(
        self,
        key: str,
        value: dict[str, Any] | None,
        *,
        write_id: str,
        expected: int | None,
    ) -> tuple[str, Any]:
        done, item = self.store.write(
            key, value, write_id=write_id, expected_revision=expected
        )
        if not done:
            return "409 Conflict", item
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
