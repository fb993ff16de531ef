"""The backend server beside an agent, as its own reports describe it."""

import collections
from typing import NamedTuple

from sapphirelift.core.l4 import agents

# A report may be repeated once at another daemon after 1 s without an
# acknowledgement; three intervals of silence are no delay any more.
SILENT_INTERVALS = 3
# New flows that a cold backend server gets in one second besides its rate.
# The platform's bound allows 5 besides 1.5 times the rate.
COLD_EXTRA_OPENS = 3
COLD_WINDOW_MS = 1000


class Report(NamedTuple):
    """What a backend server says of itself.

    Attributes:
        backend_id: Its name.
        born_ms: Its start by its own wall clock, Unix milliseconds.
        number: Counts its reports since its start.
        slots: Requests that it runs at once.
        is_draining: Whether it is about to leave.
        cold_ms: How long it stays cold.
    """

    backend_id: str
    born_ms: int
    number: int
    service: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_ms: int


class Backend:
    """State of the backend server, from its reports.

    Attributes:
        report: Its newest report, None before the first one.
        heard_ms: When that came.
        is_gone: Whether it has said that it has left.
        cold_opens_per_s: New flows a second that it bears while it is cold,
            from the configuration; 0 for no rate.
    """

    def __init__(self, *, report_interval_ms: int) -> None:
        self.report: Report | None = None
        self.cold_opens_per_s = 0.0
        self._silent_after_ms = report_interval_ms * SILENT_INTERVALS
        self.heard_ms = 0
        self.is_gone = False
        self._cold_until_ms = 0
        self._opens: collections.deque[int] = collections.deque()

    def hear(self, report: Report, now_ms: int) -> bool:
        """Takes a report.

        Returns:
            False for a report that has been overtaken: of a start before
            the current one, older than the newest, or after the end.
        """
        held = self.report
        if held is not None:
            if report.born_ms < held.born_ms:
                return False
            if (report.backend_id, report.born_ms) == (
                held.backend_id,
                held.born_ms,
            ) and (self.is_gone or report.number <= held.number):
                return False
        self.report = report
        self.heard_ms = now_ms
        self.is_gone = False
        self._cold_until_ms = now_ms + report.cold_ms
        return True

    def end(self, backend_id: str) -> bool:
        """Takes the news that a backend server has left for good."""
        if self.report is None or self.report.backend_id != backend_id:
            return False
        self.is_gone = True
        return True

    def assume_cold(self, now_ms: int, for_ms: int) -> None:
        """Treats the backend server as cold until its next report."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + for_ms)

    def state(self, now_ms: int) -> str:
        """Returns one of the states of ``core.l4.agents``."""
        if (
            self.report is None
            or self.is_gone
            or now_ms - self.heard_ms > self._silent_after_ms
        ):
            return agents.UNAVAILABLE
        return agents.DRAINING if self.report.is_draining else agents.READY

    def cold_ms(self, now_ms: int) -> int:
        """Returns the time until it is warm."""
        return max(self._cold_until_ms - now_ms, 0)

    def is_spared(self, now_ms: int) -> bool:
        """Tells whether a new flow should rather open elsewhere."""
        return self.cold_ms(now_ms) > 0 and self._wait_ms(now_ms) > 0

    def reserve_open(self, now_ms: int) -> int:
        """Counts a new flow and returns how long it has to wait.

        Without a rate in the configuration a cold backend server is spared
        only while others may take the flow.
        """
        wait_ms = 0
        if self.cold_opens_per_s > 0 and self.cold_ms(now_ms) > 0:
            wait_ms = self._wait_ms(now_ms)
        self._opens.append(now_ms + wait_ms)
        return wait_ms

    def cancel_open(self) -> None:
        """Takes the last reservation back."""
        self._opens.pop()

    def _wait_ms(self, now_ms: int) -> int:
        while self._opens and now_ms - self._opens[0] >= COLD_WINDOW_MS:
            self._opens.popleft()
        limit = int(self.cold_opens_per_s) + COLD_EXTRA_OPENS
        if len(self._opens) < limit:
            return 0
        return max(self._opens[-limit] + COLD_WINDOW_MS - now_ms, 0)
