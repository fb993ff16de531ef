"""HTTP/1.1 client for the backend server of an agent."""

import collections
import http.client
import socket
import time
import uuid
from typing import NamedTuple

import urllib3
import urllib3.connection

from sapphirelift import messages
from sapphirelift.core import actions
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import transfer

CONNECT_TIMEOUT_S = 1.0
# Common servers close idle connections after 5 s or more. Reusing one only for
# a shorter time makes it unlikely that a request is written to a connection
# that the server is closing.
MAX_REUSE_IDLE_S = 2.0
# The kernel closes a connection whose sent data stays unacknowledged this long.
USER_TIMEOUT_MS = 3000
READ_BYTES = 64 << 10
# Names one run of a request; a backend server may repeat it in its answer.
# Request ids are only unique within the flow of a caller.
RUN_ID_HEADER = "X-Run-Id"

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_CONNECTION_LOST_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class RunResult(NamedTuple):
    """Outcome of a run and the signals that admission control uses.

    Attributes:
        outcome: Outcome that is reported to the caller.
        shed: Whether the backend server refused the request without running
            it.
        failed: Whether the connection was refused or lost.
    """

    outcome: outcomes.Outcome
    shed: bool = False
    failed: bool = False


class _Idle(NamedTuple):
    connection: urllib3.connection.HTTPConnection
    since_s: float


class BackendClient:
    """Runs requests on one backend server.

    It manages its connections itself instead of using a urllib3 pool, because
    the outcome depends on whether a failure occurs before the first byte of
    the request is written (``NotRun``) or after it (``Unknown``).

    Nothing in HTTP/1.1 tells which request an answer belongs to. A connection
    is therefore used for a second run only if the backend server repeats the
    id of the run in its answers, so that a late copy of the first answer is not
    taken for the second one.
    """

    def __init__(self, address: messages.Address, *, slots: int) -> None:
        self._address = address
        self._idle: collections.deque[_Idle] = collections.deque(maxlen=slots)
        self._watched_connection: urllib3.connection.HTTPConnection | None = (
            None
        )
        self._is_known_gone = False

    def run(self, run: actions.StartRun) -> RunResult:
        """Runs a request; killing the calling green thread cancels it."""
        end_s = time.monotonic() + max(run.deadline_ms, 1) / 1000
        try:
            connection = self._take_idle() or self._connect(end_s)
        except _CONNECT_ERRORS:
            return RunResult(outcomes.NotRun("connection"), failed=True)
        is_reusable = False
        try:
            result, is_reusable = _exchange(connection, run, end_s)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            result = RunResult(outcomes.Unknown("deadline"))
        except _CONNECTION_LOST_ERRORS:
            result = RunResult(outcomes.Unknown("connection_cut"), failed=True)
        finally:
            # Also runs when the green thread is killed: closing the connection
            # tells the backend server to cancel the request.
            if not is_reusable:
                connection.close()
        if is_reusable:
            self._idle.append(_Idle(connection, time.monotonic()))
        elif not isinstance(result.outcome, outcomes.NotRun):
            # The idle connections may be dead too, and a dead connection does
            # not always look disconnected.
            self._close_idle()
        return result

    def detect_stop(self) -> bool:
        """Checks whether the backend server has stopped accepting connections.

        It keeps one idle connection open. When the backend server closes that
        connection, it opens a new one at once: after an idle timeout the
        server accepts it, during a restart the server refuses it. Without
        this check, a restart between two requests would go unnoticed and the
        cold backend server would get the full load.

        Returns:
            True at the first check that cannot connect; later checks return
            False until a connection has been accepted again.
        """
        if (
            self._watched_connection is not None
            and self._watched_connection.is_connected
        ):
            return False
        if self._watched_connection is not None:
            self._watched_connection.close()
            self._watched_connection = None
        try:
            self._watched_connection = self._connect(
                time.monotonic() + CONNECT_TIMEOUT_S
            )
        except _CONNECT_ERRORS:
            first, self._is_known_gone = not self._is_known_gone, True
            return first
        self._is_known_gone = False
        return False

    def _connect(self, end_s: float) -> urllib3.connection.HTTPConnection:
        connection = urllib3.connection.HTTPConnection(
            self._address.ip,
            self._address.port,
            timeout=min(CONNECT_TIMEOUT_S, _remaining_s(end_s)),
            socket_options=_SOCKET_OPTIONS,
        )
        connection.connect()
        return connection

    def _take_idle(self) -> urllib3.connection.HTTPConnection | None:
        """Returns the most recently used idle connection still usable."""
        while self._idle:
            connection, since_s = self._idle.pop()
            if time.monotonic() - since_s < MAX_REUSE_IDLE_S and (
                connection.is_connected
            ):
                return connection
            connection.close()
        return None

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().connection.close()


def _remaining_s(end_s: float) -> float:
    return max(end_s - time.monotonic(), 0.001)


def _exchange(
    connection: urllib3.connection.HTTPConnection,
    run: actions.StartRun,
    end_s: float,
) -> tuple[RunResult, bool]:
    """Writes a request and reads the response.

    Returns:
        The result, and whether the connection can be reused.
    """
    run_id = uuid.uuid4().hex
    connection.timeout = _remaining_s(end_s)
    try:
        connection.request(
            run.method,
            run.path,
            body=run.body,
            headers={
                "X-Request-Id": str(run.request_id),
                RUN_ID_HEADER: run_id,
                "X-Deadline-Ms": str(run.deadline_ms),
                "X-Caller": run.caller,
            },
            preload_content=False,
        )
    except (ValueError, http.client.InvalidURL):
        # The request line and headers are validated before any byte is written.
        return RunResult(outcomes.NotRun("invalid_request")), False
    except (BrokenPipeError, ConnectionResetError):
        # A backend server that sheds load may respond and close the connection
        # before it has read the body, so the response is still read.
        pass
    connection.timeout = _remaining_s(end_s)
    response = connection.getresponse()
    answered_id = response.headers.get(RUN_ID_HEADER)
    if answered_id not in (None, run_id):
        return RunResult(outcomes.Unknown("answer_to_another_run")), False
    if response.status == 503 and response.headers.get("X-Not-Run") == "1":
        return RunResult(outcomes.NotRun("shed"), shed=True), False
    if response.length_remaining is None and not response.chunked:
        # The end of such a body is marked only by the end of the connection, so
        # a truncated response would look complete, even one truncated within
        # its headers.
        return RunResult(outcomes.Unknown("answer_not_delimited")), False
    body = bytearray()
    while True:
        if connection.sock is not None:
            connection.sock.settimeout(_remaining_s(end_s))
        chunk = response.read(READ_BYTES)
        body += chunk
        if len(body) > transfer.MAX_BODY_BYTES:
            return RunResult(outcomes.Unknown("answer_too_large")), False
        if not chunk:
            break
        if time.monotonic() >= end_s:
            raise TimeoutError
    answered = outcomes.Answered(response.status, bytes(body))
    is_reusable = connection.sock is not None and answered_id is not None
    return RunResult(answered), is_reusable


CANCELLED = RunResult(outcomes.Unknown("cancelled"))
FAULT = RunResult(outcomes.Unknown("agent_fault"))
