"""Logs: one line of key=value pairs for each event, written by eliot.

A process may name a writer of its own instead. eliot is loaded only when it
is used, because that takes a tenth of a second and some megabytes.
"""

from collections.abc import Callable
import datetime
import json
import re
import sys
from typing import Any
from typing import TextIO

# eliot adds these fields to relate actions; one line an event needs none.
_HIDDEN = ("task_uuid", "task_level", "timestamp", "message_type")
_PLAIN = re.compile(r"[^\s\"=]+")


def format_value(value: Any) -> str:
    """Returns a value as one word, quoted as JSON where it needs it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def format_event(message: dict[str, Any]) -> str:
    """Returns an eliot message as a line of key=value pairs."""
    time = datetime.datetime.fromtimestamp(
        message["timestamp"], tz=datetime.UTC
    ).isoformat(timespec="milliseconds")
    pairs = [f"time={time}", f"event={message.get('message_type', 'none')}"]
    pairs += [
        f"{key}={format_value(value)}"
        for key, value in message.items()
        if key not in _HIDDEN
    ]
    return " ".join(pairs)


_writer: Callable[..., None] | None = None


def set_writer(writer: Callable[..., None] | None) -> None:
    """Sends later events to a function; None returns to eliot."""
    global _writer
    _writer = writer


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Sends every later event to the stream, one line each."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")
        stream.flush()

    import eliot

    eliot.add_destinations(write)


def log_event(event: str, **fields: Any) -> None:
    """Records one event with its fields."""
    if _writer is not None:
        _writer(event, **fields)
        return
    import eliot

    eliot.log_message(message_type=event, **fields)
