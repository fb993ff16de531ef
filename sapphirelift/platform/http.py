"""HTTP servers for readiness checks and reports of backend servers."""

import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi

from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core.l4 import backend
from sapphirelift.platform import reports

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_READY_PATH = "/v1/readyz"
_REPORTS_PREFIX = "/v1/instances/"
# Far above the size of a report, which has nine short fields.
_MAX_REPORT_BYTES = 16_384
_JSON = [("Content-Type", "application/json")]


class Server:
    """HTTP server that runs in a task of its own."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self._address = address
        self._listener = eventlet.listen(address)
        self._name = name

    def start(self) -> None:
        """Starts the task that serves requests."""
        tasks.spawn(self._name, self._serve)

    def _serve(self) -> None:
        # The WSGI server closes the listener when accepting fails; this task
        # is then started again.
        if self._listener.fileno() < 0:
            self._listener = eventlet.listen(self._address)
        eventlet.wsgi.server(self._listener, self.answer, log_output=False)

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request, as a WSGI application."""
        raise NotImplementedError


class ReadinessServer(Server):
    """Tells the fabric whether this instance accepts packets."""

    def __init__(
        self, address: tuple[str, int], is_ready: Callable[[], bool]
    ) -> None:
        super().__init__(address, "readiness")
        self._is_ready = is_ready

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers a readiness check."""
        if environ["PATH_INFO"] != _READY_PATH:
            start_response("404 Not Found", _JSON)
        elif self._is_ready():
            start_response("200 OK", _JSON)
        else:
            start_response("503 Service Unavailable", _JSON)
        return [b"{}"]


class ReportServer(Server):
    """Receives the reports of an agent's backend server."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        subject: reports.Subject,
        on_report: Callable[[backend.Report], None],
        on_end: Callable[[backend.EndNotice], None],
        on_refused: Callable[[str], None],
    ) -> None:
        super().__init__(address, "reports")
        self._subject = subject
        self._on_report = on_report
        self._on_end = on_end
        self._on_refused = on_refused

    def answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles a report (PUT) or the server's notice of leaving (DELETE)."""
        path = environ["PATH_INFO"]
        if not path.startswith(_REPORTS_PREFIX):
            start_response("404 Not Found", _JSON)
            return [b"{}"]
        backend_id = urllib.parse.unquote(path.removeprefix(_REPORTS_PREFIX))
        match environ["REQUEST_METHOD"]:
            case "PUT":
                status = self._handle(backend_id, environ, self._take_report)
            case "DELETE":
                status = self._handle(backend_id, environ, self._take_end)
            case _:
                status = "405 Method Not Allowed"
        start_response(status, _JSON)
        return [b"{}"]

    def _take_report(self, backend_id: str, body: bytes) -> None:
        self._on_report(reports.decode(backend_id, body, subject=self._subject))

    def _take_end(self, backend_id: str, body: bytes) -> None:
        self._on_end(reports.decode_end(backend_id, body))

    def _handle(
        self,
        backend_id: str,
        environ: dict[str, Any],
        take: Callable[[str, bytes], None],
    ) -> str:
        text = environ.get("CONTENT_LENGTH") or "0"
        if not (text.isascii() and text.isdecimal()):
            self._on_refused("the length of the body is not a number")
            return "400 Bad Request"
        length = int(text)
        if length > _MAX_REPORT_BYTES:
            self._on_refused("body too long for a report")
            return "413 Content Too Large"
        try:
            take(backend_id, environ["wsgi.input"].read(length))
        except errors.ReportError as error:
            self._on_refused(str(error))
            return "400 Bad Request"
        return "200 OK"
