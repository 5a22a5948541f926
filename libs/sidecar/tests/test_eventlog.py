"""Tests of the bounded log."""

from filbertlift_sidecar import eventlog


class Bench:
    """A log whose lines are kept, at a time that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.lines = []
        self.log = eventlog.EventLog(lambda: self.now, self.write)

    def write(self, data):
        self.lines.append(data.decode())
        return True


def test_an_event_is_one_line_of_pairs():
    bench = Bench()
    bench.log.log("node.start", name="a b", count=2, ok=True)
    (line,) = bench.lines
    assert line.endswith('event=node.start name="a b" count=2 ok=true\n')


def test_the_volume_is_bounded_and_the_loss_is_told():
    """Guards against logs that take the processor under load."""
    bench = Bench()
    for _ in range(1_000):
        bench.log.log_request("entry.refused", id="r")
    assert len(bench.lines) == eventlog.MAX_BURST
    bench.now = 1.0
    bench.log.log_request("entry.refused", id="r")
    assert "suppressed=920" in bench.lines[-1]


def test_requests_that_went_well_leave_the_lines_to_the_others():
    """Guards against a failed request whose line was lost to routine ones."""
    bench = Bench()
    for _ in range(1_000):
        bench.log.log_routine("entry.answered", id="r")
    bench.log.log_request("entry.failed", id="x")
    assert "id=x" in bench.lines[-1]


def test_a_reader_that_is_slow_costs_lines_not_time():
    bench = Bench()
    bench.log.write = lambda _data: False
    bench.log.log("node.start")
    assert bench.log.total_suppressed == 1
