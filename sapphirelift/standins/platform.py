"""Stand-in for the platform's object API.

``python -m sapphirelift.standins.platform PORT`` serves it. Faults are set
by ``POST /faults`` with a JSON object, see ``Faults``.
"""

import collections
import json
import sys
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.event
import eventlet.wsgi
import msgspec

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
HISTORY_CHANGES = 10_000
_PREFIX = "/v1/objects/"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in shows.

    Attributes:
        down: Answer every call with 503.
        delay_ms: Wait before each answer.
        lose_write_answers: Carry out that many writes, then answer 503.
    """

    down: bool = False
    delay_ms: int = 0
    lose_write_answers: int = 0


class ObjectStore:
    """Objects with revisions, conditional updates and change history."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.history: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=HISTORY_CHANGES
        )
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
        self.revision += 1
        item = {
            "key": key,
            "revision": self.revision,
            "value": value,
            "write_id": write_id,
        }
        if value is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = item
        self.history.append(item)
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)
        return True, item

    def listing(self, prefix: str) -> dict[str, Any]:
        """Returns all objects under a prefix."""
        found = [o for k, o in self.objects.items() if k.startswith(prefix)]
        return {
            "revision": self.revision,
            "objects": found,
            "complete": True,
        }

    def changes(self, prefix: str, since: int) -> dict[str, Any] | None:
        """Returns the changes after a revision, None if too far back."""
        oldest = self.history[0]["revision"] if self.history else 0
        full = len(self.history) == HISTORY_CHANGES
        if (full and since < oldest - 1) or since > self.revision:
            return None
        found = {
            item["key"]: item
            for item in self.history
            if item["revision"] > since and item["key"].startswith(prefix)
        }
        return {
            "revision": self.revision,
            "objects": list(found.values()),
            "complete": False,
        }

    def wait(self, since: int, timeout_s: float) -> None:
        """Waits until something has changed after ``since``."""
        with eventlet.Timeout(timeout_s, False):
            while self.revision <= since:
                self._changed.wait()


class PlatformApp:
    """WSGI application of the stand-in."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()

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
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/faults":
            self.faults = msgspec.json.decode(body, type=Faults)
            return "200 OK", {}
        if path == "/calls":
            return "200 OK", dict(self.calls)
        self.calls[method] += 1
        if self.faults.delay_ms:
            eventlet.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return "503 Service Unavailable", {}
        if path == "/v1/objects":
            return self._list(query)
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
                    write_id="",
                    expected=int(expected) if expected else None,
                )
        return "400 Bad Request", {}

    def _list(self, query: dict[str, str]) -> tuple[str, Any]:
        prefix = query.get("prefix", "")
        if "since" not in query:
            return "200 OK", self.store.listing(prefix)
        since = int(query["since"])
        self.store.wait(since, int(query.get("wait_ms", "0")) / 1000)
        if self.faults.down:
            return "503 Service Unavailable", {}
        changes = self.store.changes(prefix, since)
        return "200 OK", changes or self.store.listing(prefix)

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
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return "503 Service Unavailable", {}
        return "200 OK", item


def serve(port: int) -> None:
    """Serves the stand-in on a loopback port."""
    listener = eventlet.listen(("127.0.0.1", port))
    eventlet.wsgi.server(listener, PlatformApp(), log_output=False)


if __name__ == "__main__":
    serve(int(sys.argv[1]))
