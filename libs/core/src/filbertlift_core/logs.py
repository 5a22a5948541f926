"""Logs: one line of key=value pairs for each event, written by eliot.

A process can install its own writer instead of eliot. eliot is imported on
first use, because the import takes a tenth of a second and some megabytes of
memory.
"""

from collections.abc import Callable
import datetime
import json
import re
import sys
from typing import Any
from typing import TextIO

# Fields of eliot that are not written as pairs of their own. The task fields
# relate actions to each other; these logs have single events only.
_OMITTED_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type")
_UNQUOTED = re.compile(r"[^\s\"=]+")


def format_value(value: Any) -> str:
    """Returns a value as text, quoted as JSON if it is not a single word."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


def format_event(message: dict[str, Any]) -> str:
    """Formats an eliot message as a line of key=value pairs."""
    time = datetime.datetime.fromtimestamp(
        message["timestamp"], tz=datetime.UTC
    ).isoformat(timespec="milliseconds")
    pairs = [f"time={time}", f"event={message.get('message_type', 'none')}"]
    pairs += [
        f"{key}={format_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED_FIELDS
    ]
    return " ".join(pairs)


_writer: Callable[..., None] | None = None


def set_writer(writer: Callable[..., None] | None) -> None:
    """Passes later events to a function, or to eliot again for None."""
    global _writer
    _writer = writer


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Writes later events to the stream, one line each."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")
        stream.flush()

    import eliot

    eliot.add_destinations(write)


def log_event(event: str, **fields: Any) -> None:
    """Logs one event with its fields."""
    if _writer is not None:
        _writer(event, **fields)
        return
    import eliot

    eliot.log_message(message_type=event, **fields)
