"""Tests of the lanes of the link."""

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import task
from twisted.internet import testing

from filbertlift_standins import lanes


@given(st.lists(st.tuples(st.binary(max_size=50), st.floats(0.01, 1))))
def test_bytes_keep_their_order_while_delay_and_rate_change(
    parts: list[tuple[bytes, float]],
) -> None:
    """Guards against a link that corrupts what it carries."""
    clock = task.Clock()
    now = {"delay": 0.0}
    lane = lanes.Lane(clock, lambda: now["delay"], lambda: 8000 * now["delay"])
    source, sink = testing.StringTransport(), testing.StringTransport()
    pipe = lanes.Pipe(clock, lane, source, sink)
    sent = b""
    for data, delay in parts:
        now["delay"] = delay
        if data:
            pipe.send(data)
        sent += data
        clock.advance(delay / 3)
    pipe.send(b"")
    while clock.getDelayedCalls():
        clock.advance(1)
    assert sink.value() == sent
    assert sink.disconnecting
