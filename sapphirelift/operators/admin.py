"""HTTP admin port: health, readiness, state dump and metrics."""

import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import eventlet
import eventlet.wsgi

from sapphirelift import tasks

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Inspectable(Protocol):
    """Process whose state the admin port serves."""

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new work."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""


class AdminServer:
    """HTTP server for the state of one process."""

    def __init__(
        self,
        address: tuple[str, int],
        node: Inspectable,
        *,
        pages: Mapping[str, Callable[[], Any]] | None = None,
        histograms: Callable[[], bytes] | None = None,
    ) -> None:
        """Binds the port.

        Args:
            address: IPv4 address and TCP port.
            node: Process whose state is served.
            pages: Functions that return the JSON data of further paths, by
                path.
            histograms: Returns additional metrics in the Prometheus exposition
                format.
        """
        self._histograms = histograms
        self._pages = pages or {}
        self._address = address
        self._listener = eventlet.listen(address)
        self._node = node

    def start(self) -> None:
        """Starts serving requests."""
        tasks.spawn("admin", self._serve)

    def _serve(self) -> None:
        # The WSGI server closes the listener when accepting fails; this task
        # is then started again.
        if self._listener.fileno() < 0:
            self._listener = eventlet.listen(self._address)
        eventlet.wsgi.server(
            self._listener, self._handle_request, log_output=False
        )

    def _handle_request(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/metrics":
            # Imported at the first scrape, so that a restarting instance
            # forwards packets before it spends time on this import.
            import prometheus_client  # noqa: PLC0415

            from sapphirelift.operators import metrics  # noqa: PLC0415

            exposition = metrics.exposition(self._node)
            if self._histograms is not None:
                exposition += self._histograms()
            content_type = prometheus_client.CONTENT_TYPE_LATEST
            start_response("200 OK", [("Content-Type", content_type)])
            return [exposition]
        status, body = self._route(environ["PATH_INFO"])
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]

    def _route(self, path: str) -> tuple[str, Any]:
        match path:
            case "/healthz":
                return "200 OK", {"ok": True}
            case "/readyz" if self._node.is_ready:
                return "200 OK", {"ready": True}
            case "/readyz":
                return "503 Service Unavailable", {"ready": False}
            case "/dump":
                return "200 OK", self._node.dump()
        if path in self._pages:
            return "200 OK", self._pages[path]()
        return "404 Not Found", {"error": "unknown path"}
