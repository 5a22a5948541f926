"""Structured log lines on standard output, bounded and never blocking.

The letter of the users goes before the house style here: a line has to cost
little and must not wait, so lines do not pass through eliot.
"""

from collections.abc import Callable
import os
import time
from typing import Any
from typing import Final

import attrs

from filbertlift_core import logs

# Lines a second of events that come with requests; what is above is counted.
MAX_LINES_PER_S: Final = 40.0
# Lines that a quiet time saves up for the next burst.
MAX_BURST: Final = 80.0
# Saved lines that requests without trouble leave to the others.
ROUTINE_TOKENS: Final = 60.0
STDOUT: Final = 1


def write_stdout(data: bytes) -> bool:
    """Writes a line if standard output takes it now."""
    try:
        return os.write(STDOUT, data) == len(data)
    except OSError:
        return False


@attrs.define(eq=False)
class EventLog:
    """Writes one line of key=value pairs for each event.

    Attributes:
        read_time: steady clock, in seconds.
        write: writes a line; returns False when it was lost.
        suppressed: lines left out since the last one that was written.
        total_suppressed: lines left out in all.
    """

    read_time: Callable[[], float]
    write: Callable[[bytes], bool] = write_stdout
    suppressed: int = 0
    total_suppressed: int = 0
    _tokens: float = MAX_BURST
    _updated: float = 0.0

    def start(self) -> None:
        """Makes standard output non-blocking and takes all log events."""
        os.set_blocking(STDOUT, False)
        logs.set_writer(self.log)

    def log(self, event: str, **fields: Any) -> None:
        """Writes an event of the node itself; it is always written."""
        self._write_line(event, fields)

    def log_request(self, event: str, **fields: Any) -> None:
        """Writes an event of one request unless there are too many."""
        self._log_bounded(1.0, event, fields)

    def log_routine(self, event: str, **fields: Any) -> None:
        """Writes an event of a request that went well, with less right.

        Under load the lines are left to the requests that did not.
        """
        self._log_bounded(ROUTINE_TOKENS, event, fields)

    def _log_bounded(
        self, needed: float, event: str, fields: dict[str, Any]
    ) -> None:
        now = self.read_time()
        spent = now - self._updated
        self._updated = now
        self._tokens = min(MAX_BURST, self._tokens + spent * MAX_LINES_PER_S)
        if self._tokens < needed:
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
