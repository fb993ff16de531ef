"""Structured log of decisions, rate-limited and written without blocking.

A separate task formats and writes the lines, some time after the decision.
The libraries for it are imported there too, so that a process that has just
started forwards packets before it writes its first line.
"""

import collections
import os
import sys
import time
from typing import Any
from typing import NamedTuple

import eventlet

from sapphirelift import clock
from sapphirelift import tasks
from sapphirelift.core.requests import rate_limit

# Sustained rate and burst of lines per process. A balancer of the present
# deployments opens 50 flows a second.
LINES_PER_S = 60.0
BURST_LINES = 600
# Bound of the queued lines while the reader of standard output is slow.
MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_S = 0.25
# Delay of the first flush after the start of the process.
FIRST_FLUSH_DELAY_S = 1.0


class _Line(NamedTuple):
    """A queued line that has not been formatted yet."""

    event: str
    unix_s: float
    fields: dict[str, Any]


class DecisionLog:
    """Writes log lines to standard output.

    Attributes:
        dropped: Lines dropped, over the rate limit or because the reader is
            too slow.
    """

    def __init__(self, *, name: str, fd: int | None = None) -> None:
        """Makes the output non-blocking.

        Args:
            name: Name of the instance, written in each line.
            fd: File descriptor to write to; standard output by default.
        """
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._name = name
        self._bucket = rate_limit.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES
        )
        self._lines: collections.deque[_Line] = collections.deque()
        self._formatted: collections.deque[bytes] = collections.deque()
        self._has_destination = False
        self._partial = b""
        self.dropped = 0
        self._reported_drops = 0

    def start(self) -> None:
        """Starts the task that writes the lines."""
        tasks.spawn("decision_log", self._run)

    def write(self, event: str, **fields: Any) -> None:
        """Queues a line, unless the rate or the queue is at its limit."""
        if len(self._lines) >= MAX_QUEUED_LINES or self._bucket.fails_to_take(
            now_ms=clock.now_ms()
        ):
            self.dropped += 1
            return
        self._lines.append(_Line(event, time.time(), fields))

    def flush(self) -> None:
        """Formats the queued lines and writes until the output would block."""
        self._format()
        while self._formatted or self._partial:
            if not self._partial:
                self._partial = self._formatted.popleft()
            try:
                written = os.write(self._fd, self._partial)
            except OSError:
                # The reader is slow or gone; lines over the queue limit are
                # dropped and counted.
                return
            self._partial = self._partial[written:]

    def _format(self) -> None:
        import eliot  # noqa: PLC0415

        if not self._has_destination:
            self._has_destination = True
            eliot.add_destinations(self._on_message)
        if self.dropped > self._reported_drops:
            lines = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            eliot.log_message("log_lines_dropped", lines=lines)
        while self._lines:
            line = self._lines.popleft()
            eliot.log_message(
                line.event, decided_unix_s=line.unix_s, **line.fields
            )

    def _on_message(self, message: dict[str, Any]) -> None:
        import orjson  # noqa: PLC0415

        if len(self._formatted) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        for field in ("task_uuid", "task_level"):
            message.pop(field, None)
        line = {
            "timestamp": message.pop("decided_unix_s", message["timestamp"]),
            "instance": self._name,
            "event": message.pop("message_type", ""),
        }
        del message["timestamp"]
        self._formatted.append(
            orjson.dumps(
                line | message, default=str, option=orjson.OPT_APPEND_NEWLINE
            )
        )

    def _run(self) -> None:
        eventlet.sleep(FIRST_FLUSH_DELAY_S)
        while True:
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_S)
