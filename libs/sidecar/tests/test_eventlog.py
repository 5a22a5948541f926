"""Tests of the rate-limited log."""

from twisted.python import log as twisted_log

from filbertlift_sidecar import eventlog


class Bench:
    """A log that writes to a list, with a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.lines = []
        self.log = eventlog.EventLog(lambda: self.now, self.write)

    def write(self, data):
        self.lines.append(data.decode())
        return True


def test_an_event_is_one_line_of_key_value_pairs():
    bench = Bench()
    bench.log.log("node.start", name="a b", count=2, ok=True)
    (line,) = bench.lines
    assert line.endswith('event=node.start name="a b" count=2 ok=true\n')


def test_the_rate_is_limited_and_suppressed_lines_are_counted():
    """Guards against logging that uses too much CPU time under load."""
    bench = Bench()
    for _ in range(1_000):
        bench.log.log_request("entry.refused", id="r")
    assert len(bench.lines) == eventlog.MAX_BURST
    bench.now = 1.0
    bench.log.log_request("entry.refused", id="r")
    assert "suppressed=920" in bench.lines[-1]


def test_lines_are_reserved_for_requests_that_fail():
    """Guards against the line of a failed request lost among routine lines."""
    bench = Bench()
    for _ in range(1_000):
        bench.log.log_routine("entry.answered", id="r")
    bench.log.log_request("entry.failed", id="x")
    assert "id=x" in bench.lines[-1]


def test_a_blocked_output_loses_lines_without_waiting():
    bench = Bench()
    bench.log.write = lambda _data: False
    bench.log.log("node.start")
    assert bench.log.total_suppressed == 1


def test_an_exception_of_a_callback_is_one_line():
    """Guards against faults of the event loop that are written nowhere."""
    bench = Bench()
    twisted_log.addObserver(bench.log.log_fault)
    try:
        twisted_log.err(ValueError("odd"))
    finally:
        twisted_log.removeObserver(bench.log.log_fault)
    assert any(
        "event=loop.fault" in line and "odd" in line for line in bench.lines
    )
