"""Structured log lines on standard output, rate-limited and non-blocking.

A log line has to be cheap and must not block. This requirement of the users
takes precedence over the usual logging with eliot, which is not used here.
"""

from collections.abc import Callable
import os
import time
import traceback
from typing import Any
from typing import Final

import attrs
from twisted.python import log as twisted_log

from filbertlift_core import logs

# Token bucket of the events of requests: lines per second, and lines in a
# burst. Lines beyond them are only counted.
MAX_LINES_PER_S: Final = 40.0
MAX_BURST: Final = 80.0
# Tokens that an event of a successful request needs; the rest is reserved for
# the other requests.
MIN_ROUTINE_TOKENS: Final = 60.0
STDOUT: Final = 1


def write_stdout(data: bytes) -> bool:
    """Writes a line, unless standard output would block.

    Returns:
        Whether the whole line was written.
    """
    try:
        return os.write(STDOUT, data) == len(data)
    except OSError:
        return False


@attrs.define(eq=False)
class EventLog:
    """Writes one line of key=value pairs for each event.

    Attributes:
        read_time: monotonic clock, in seconds.
        write: writes a line; returns False if it was lost.
        suppressed: lines suppressed since their number was last logged.
        total_suppressed: lines suppressed since the start.
    """

    read_time: Callable[[], float]
    write: Callable[[bytes], bool] = write_stdout
    suppressed: int = 0
    total_suppressed: int = 0
    _tokens: float = MAX_BURST
    _refilled_at: float = 0.0

    def start(self) -> None:
        """Makes standard output non-blocking and writes all events to it."""
        os.set_blocking(STDOUT, False)
        logs.set_writer(self.log)
        twisted_log.addObserver(self.log_fault)

    def log(self, event: str, **fields: Any) -> None:
        """Writes an event of the node itself, without a rate limit."""
        self._write_line(event, fields)

    def log_request(self, event: str, **fields: Any) -> None:
        """Writes an event of one request within the rate limit."""
        self._log_bounded(1.0, event, fields)

    def log_routine(self, event: str, **fields: Any) -> None:
        """Writes an event of a successful request, with a lower priority.

        Under load the lines are reserved for the other requests.
        """
        self._log_bounded(MIN_ROUTINE_TOKENS, event, fields)

    def log_fault(self, event: dict[str, Any]) -> None:
        """Writes an exception that a callback of the event loop raised."""
        reason = event.get("failure")
        if not event.get("isError") or reason is None:
            return
        frames = traceback.extract_tb(reason.getTracebackObject())
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self.log("loop.fault", error=repr(reason.value), place=place)

    def _log_bounded(
        self, min_tokens: float, event: str, fields: dict[str, Any]
    ) -> None:
        now = self.read_time()
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(
            MAX_BURST, self._tokens + elapsed_s * MAX_LINES_PER_S
        )
        if self._tokens < min_tokens:
            self.suppressed += 1
            self.total_suppressed += 1
            return
        self._tokens -= 1.0
        if self.suppressed:
            fields["suppressed"] = self.suppressed
            self.suppressed = 0
        self._write_line(event, fields)

    def _write_line(self, event: str, fields: dict[str, Any]) -> None:
        pairs = [f"time={time.time():.3f}", f"event={event}"]
        pairs += [
            f"{key}={logs.format_value(value)}" for key, value in fields.items()
        ]
        line = " ".join(pairs) + "\n"
        if not self.write(line.encode("utf-8", "replace")):
            self.suppressed += 1
            self.total_suppressed += 1
