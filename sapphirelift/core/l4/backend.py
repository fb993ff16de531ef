"""State of an agent's backend server, from the server's own reports."""

import collections
from typing import NamedTuple

from sapphirelift.core.l4 import agents

# Report intervals without a report after which the backend server counts as
# silent. A report that is not acknowledged within 1 s may be sent once more to
# another daemon; three intervals are longer than this delay.
SILENT_INTERVALS = 3
# New flows per second that a cold backend server gets on top of its rate. The
# platform's bound is 1.5 times the rate plus 5.
COLD_EXTRA_OPENS = 3
COLD_WINDOW_MS = 1000


class Report(NamedTuple):
    """Status report of a backend server.

    Attributes:
        backend_id: Name of the backend server.
        born_ms: Start time by its own wall clock, in Unix milliseconds.
        number: Sequence number of the report since the start.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it is about to leave.
        cold_ms: Time until it is warm.
    """

    backend_id: str
    born_ms: int
    number: int
    service: str
    data_centre: str
    slots: int
    is_draining: bool
    cold_ms: int


class EndNotice(NamedTuple):
    """Notice that a backend server is about to leave.

    Attributes:
        backend_id: Name of the backend server.
        born_ms: Start time by its own wall clock, in Unix milliseconds; None
            if the notice does not tell.
    """

    backend_id: str
    born_ms: int | None = None


class Backend:
    """State of the backend server, from its reports.

    Attributes:
        report: Newest report, None before the first one.
        last_heard_ms: When the newest report was received.
        has_departed: Whether its process was found gone after its notice of
            leaving.
        cold_opens_per_s: Configured rate of new flows per second that it can
            handle while cold; 0 if no rate is configured.
    """

    def __init__(self, *, report_interval_ms: int) -> None:
        self.report: Report | None = None
        self.cold_opens_per_s = 0.0
        self.set_report_interval(report_interval_ms)
        self.last_heard_ms = 0
        self.has_departed = False
        self._end_announced_ms: int | None = None
        self._cold_until_ms = 0
        # Last outdated report.
        self._earlier: Report | None = None
        self._open_times_ms: collections.deque[int] = collections.deque()

    @property
    def has_announced_end(self) -> bool:
        """Whether a notice of leaving has come that no report refutes."""
        return self._end_announced_ms is not None

    def set_report_interval(self, interval_ms: int) -> None:
        """Sets the interval from which a missing report is recognised."""
        self._silent_after_ms = interval_ms * SILENT_INTERVALS
        self._under_way_ms = interval_ms // 2

    def update_from_report(self, report: Report, now_ms: int) -> bool:
        """Updates the state from a report.

        Returns:
            False for an outdated report: from an earlier start, older than
            the newest report, or under way when the server left; unless
            such reports go on while there are no others.
        """
        if self._is_outdated(report, now_ms) and not (
            self._outlives_newest(report, now_ms)
        ):
            return False
        self.report = report
        self._earlier = None
        self.last_heard_ms = now_ms
        self.has_departed = False
        self._end_announced_ms = None
        self._cold_until_ms = now_ms + report.cold_ms
        return True

    def _is_outdated(self, report: Report, now_ms: int) -> bool:
        newest = self.report
        if newest is None or report.born_ms > newest.born_ms:
            return False
        is_same_start = (report.backend_id, report.born_ms) == (
            newest.backend_id,
            newest.born_ms,
        )
        if is_same_start:
            return (
                self.has_departed
                or self._was_under_way(now_ms)
                or report.number <= newest.number
            )
        return report.born_ms < newest.born_ms

    def _was_under_way(self, now_ms: int) -> bool:
        """Returns whether a report may have been sent before the notice.

        An agent that was paused takes calls that waited in any order. A server
        that lives reports again one interval later.
        """
        announced_ms = self._end_announced_ms
        return (
            announced_ms is not None
            and now_ms - announced_ms < self._under_way_ms
        )

    def _outlives_newest(self, report: Report, now_ms: int) -> bool:
        """Returns whether outdated reports go on after the newest one.

        Then the newest one was wrong, or the wall clock has been set back
        between two starts. A late report comes alone, or while newer ones do.
        """
        earlier, self._earlier = self._earlier, report
        return (
            now_ms - self.last_heard_ms > self._silent_after_ms
            and earlier is not None
            and (earlier.backend_id, earlier.born_ms)
            == (report.backend_id, report.born_ms)
            and earlier.number < report.number
        )

    def announce_end(self, notice: EndNotice, now_ms: int) -> bool:
        """Records a notice of leaving.

        Returns:
            Whether it names the current start of the backend server.
        """
        if self.report is None or notice.backend_id != self.report.backend_id:
            return False
        if notice.born_ms not in (None, self.report.born_ms):
            return False
        if self._end_announced_ms is None:
            self._end_announced_ms = now_ms
        return True

    def confirm_end(self) -> None:
        """Records that the process of the backend server is gone."""
        self.has_departed = True

    def assume_cold(self, now_ms: int, for_ms: int) -> None:
        """Treats the backend server as cold for a time or until a report."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + for_ms)

    def state(self, now_ms: int) -> str:
        """Returns one of the state constants of ``core.l4.agents``."""
        if self.report is None or self.has_departed:
            return agents.UNAVAILABLE
        if (
            self.has_announced_end
            or now_ms - self.last_heard_ms > self._silent_after_ms
        ):
            return agents.CLOSED
        return agents.DRAINING if self.report.is_draining else agents.READY

    def cold_ms(self, now_ms: int) -> int:
        """Returns the time until the backend server is warm."""
        return max(self._cold_until_ms - now_ms, 0)

    def exceeds_cold_rate(self, now_ms: int) -> bool:
        """Returns whether a new flow would exceed the rate while cold."""
        return self.cold_ms(now_ms) > 0 and self._wait_ms(now_ms) > 0

    def reserve_open(self, now_ms: int) -> int:
        """Counts a new flow and returns how long it has to wait.

        Without a configured rate the flow never waits here; the only limit
        on a cold backend server is then ``exceeds_cold_rate``, which applies
        while other agents may take the flow.
        """
        self._drop_expired_opens(now_ms)
        wait_ms = 0
        if self.cold_opens_per_s > 0 and self.cold_ms(now_ms) > 0:
            wait_ms = self._wait_ms(now_ms)
        self._open_times_ms.append(now_ms + wait_ms)
        return wait_ms

    def cancel_reservation(self) -> None:
        """Cancels the last reservation."""
        self._open_times_ms.pop()

    def _drop_expired_opens(self, now_ms: int) -> None:
        while (
            self._open_times_ms
            and now_ms - self._open_times_ms[0] >= COLD_WINDOW_MS
        ):
            self._open_times_ms.popleft()

    def _wait_ms(self, now_ms: int) -> int:
        self._drop_expired_opens(now_ms)
        limit = int(self.cold_opens_per_s) + COLD_EXTRA_OPENS
        if len(self._open_times_ms) < limit:
            return 0
        return max(self._open_times_ms[-limit] + COLD_WINDOW_MS - now_ms, 0)
