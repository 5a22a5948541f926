"""Logs: one line of key=value pairs for each event, written by eliot."""

import datetime
import json
import re
import sys
from typing import Any
from typing import TextIO

import eliot

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


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Sends every later event to the stream, one line each."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)


def log_event(event: str, **fields: Any) -> None:
    """Records one event with its fields."""
    eliot.log_message(message_type=event, **fields)
