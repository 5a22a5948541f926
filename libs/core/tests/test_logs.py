"""Tests of the log lines."""

from filbertlift_core import logs


def test_line_breaks_in_values_are_escaped() -> None:
    """Guards against a value that injects a second log line."""
    line = logs.format_event(
        {"timestamp": 0, "message_type": "x", "a": "b\nc=d", "n": True}
    )
    assert line == (
        'time=1970-01-01T00:00:00.000+00:00 event=x a="b\\nc=d" n=true'
    )
