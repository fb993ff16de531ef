"""Stand-in for a backend server.

``python -m sapphirelift.standins.backend_server '{"port": 9000}'`` serves
it. ``GET /runs`` returns a record of every request, by which tests judge.
"""

import collections
import json
import sys
import time
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class BackendOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour of the stand-in.

    Attributes:
        work_ms: Time that a request takes, unless its query has ``work_ms``.
        speed: Factor by which the backend server is faster than that.
        slots: Requests beyond this number at once count as overload.
    """

    port: int = 0
    name: str = "backend"
    service: str = ""
    work_ms: float = 5.0
    speed: float = 1.0
    slots: int = 4


class BackendApp:
    """WSGI application of the stand-in.

    ``POST /echo`` answers with the body. ``GET /bytes/N`` answers with N
    bytes. A request named by the ``X-Logical-Id`` header or the path's last
    part after ``id=`` is recorded under that id.
    """

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.runs: list[dict[str, Any]] = []
        self.busy = 0
        self.counters: collections.Counter[str] = collections.Counter()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        if path == "/runs":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [json.dumps(self.runs).encode()]
        answer = self._run(environ, path, body)
        start_response("200 OK", [("X-Backend", self.options.name)])
        return [answer]

    def _run(self, environ: dict[str, Any], path: str, body: bytes) -> bytes:
        record = {
            "path": path,
            "query": environ.get("QUERY_STRING", ""),
            "caller": environ.get("HTTP_X_CALLER", ""),
            "request_id": environ.get("HTTP_X_REQUEST_ID", ""),
            "started_s": time.time(),
        }
        self.runs.append(record)
        self.busy += 1
        if self.busy > self.options.slots:
            self.counters["overload"] += 1
        try:
            eventlet.sleep(self._work_ms(record["query"]) / 1000)
        finally:
            self.busy -= 1
        if path.startswith("/bytes/"):
            count = int(path.removeprefix("/bytes/"))
            return (self.options.name.encode() * (count + 1))[:count]
        return body

    def _work_ms(self, query: str) -> float:
        wanted = dict(urllib.parse.parse_qsl(query)).get("work_ms")
        work_ms = self.options.work_ms if wanted is None else float(wanted)
        return work_ms / self.options.speed


def serve(options: BackendOptions) -> None:
    """Serves the stand-in on a loopback port."""
    listener = eventlet.listen(("127.0.0.1", options.port))
    eventlet.wsgi.server(
        listener, BackendApp(options), log_output=False, max_size=10_000
    )


if __name__ == "__main__":
    serve(msgspec.json.decode(sys.argv[1], type=BackendOptions))
