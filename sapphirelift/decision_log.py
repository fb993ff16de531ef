"""Structured log lines of decisions, bounded in volume and never blocking."""

import collections
import os
import sys
from typing import Any

import eliot
import eventlet
import orjson

from sapphirelift import clock
from sapphirelift import tasks
from sapphirelift.core import rate_limit

# Lines of a process a second in the long run, and at once. A balancer of the
# deployments today opens 50 flows a second.
LINES_PER_S = 60.0
BURST_LINES = 600
# Lines that wait for a reader of standard output that is slow.
MAX_WAITING_LINES = 2000
FLUSH_INTERVAL_S = 0.25


class DecisionLog:
    """Writes log lines to standard output.

    Attributes:
        dropped: Lines that were left out, over the rate or with the reader
            too slow.
    """

    def __init__(self, *, name: str, fd: int | None = None) -> None:
        """Takes over the standard output of the process.

        Args:
            name: Name of the instance, in each line.
            fd: File descriptor to write to; standard output by default.
        """
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._name = name
        self._bucket = rate_limit.TokenBucket(
            rate_per_s=LINES_PER_S, burst=BURST_LINES
        )
        self._lines: collections.deque[bytes] = collections.deque()
        self._partial = b""
        self.dropped = 0
        self._reported = 0
        eliot.add_destinations(self._take)

    def start(self) -> None:
        """Starts to write."""
        tasks.spawn("decision_log", self._run)

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line, unless there have been too many."""
        if self._bucket.would_wait(now_ms=clock.now_ms()):
            self.dropped += 1
            return
        eliot.log_message(event, **fields)

    def flush(self) -> None:
        """Writes as much as the reader takes."""
        while self._lines or self._partial:
            if not self._partial:
                self._partial = self._lines.popleft()
            try:
                written = os.write(self._fd, self._partial)
            except OSError:
                # The reader is slow or gone; lines beyond the bound are
                # dropped and counted.
                return
            self._partial = self._partial[written:]

    def _take(self, message: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        message["instance"] = self._name
        for field in ("task_uuid", "task_level"):
            message.pop(field, None)
        self._lines.append(
            orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)
        )

    def _run(self) -> None:
        while True:
            if self.dropped > self._reported:
                eliot.log_message(
                    "log_lines_dropped", lines=self.dropped - self._reported
                )
                self._reported = self.dropped
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_S)
