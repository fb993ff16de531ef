"""HTTP client of the backend server."""

from typing import NamedTuple

import urllib3

from sapphirelift import messages
from sapphirelift.core import actions
from sapphirelift.core import outcomes

CONNECT_TIMEOUT_S = 1.0


class RunResult(NamedTuple):
    """Outcome of a run, with what admission learns from it.

    Attributes:
        shed: The backend server refused the request as not run.
        failed: The connection was refused or cut.
    """

    outcome: outcomes.Outcome
    shed: bool = False
    failed: bool = False


class BackendClient:
    """Runs requests on one backend server."""

    def __init__(self, address: messages.Address, *, slots: int) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.ip, address.port, maxsize=slots, retries=False
        )

    def run(self, run: actions.StartRun) -> RunResult:
        """Runs a request; killing the calling task cancels it."""
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=max(run.deadline_ms, 1) / 1000
        )
        try:
            response = self._pool.request(
                run.method,
                run.path,
                body=run.body,
                headers={
                    "X-Request-Id": str(run.request_id),
                    "X-Deadline-Ms": str(run.deadline_ms),
                    "X-Caller": run.caller,
                },
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return RunResult(outcomes.NotRun("connection"), failed=True)
        except urllib3.exceptions.ReadTimeoutError:
            return RunResult(outcomes.Unknown("deadline"))
        except urllib3.exceptions.HTTPError:
            return RunResult(outcomes.Unknown("connection_cut"), failed=True)
        if response.status == 503 and response.headers.get("X-Not-Run") == "1":
            return RunResult(outcomes.NotRun("shed"), shed=True)
        return RunResult(outcomes.Answered(response.status, response.data))


CANCELLED = RunResult(outcomes.Unknown("cancelled"))
