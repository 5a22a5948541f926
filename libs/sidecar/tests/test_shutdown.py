"""Tests of the order of the steps of a planned stop."""

import pytest
from twisted.internet import task

from filbertlift_sidecar import shutdown

GRACE_S = 6.0
STEP_S = 0.01


class Bench:
    """A node that stops, and the times of the steps."""

    def __init__(
        self, grace_s=GRACE_S, idle_at=0.0, sent_at=0.0, settled_at=0.0
    ):
        self.clock = task.Clock()
        self.times = {}
        self.actions = shutdown.StopActions(
            lambda: self.note("refuse_peers"),
            lambda: self.note("refuse_callers"),
            lambda: self.clock.seconds() >= idle_at,
            lambda: self.clock.seconds() >= sent_at,
            lambda: self.note("stop_accepting"),
            lambda: self.note("refuse_partial"),
            lambda: self.clock.seconds() >= settled_at,
            lambda: self.note("close"),
        )
        self.stop = shutdown.PlannedStop(self.clock, self.actions, grace_s)
        self.stop.start()
        self.clock.pump([STEP_S] * round(2 * grace_s / STEP_S))

    def note(self, name):
        assert name not in self.times
        self.times[name] = self.clock.seconds()


def test_a_node_without_calls_closes_after_the_notice():
    times = Bench().times
    assert list(times) == [
        "refuse_peers",
        "refuse_callers",
        "stop_accepting",
        "refuse_partial",
        "close",
    ]
    assert times["close"] == pytest.approx(
        shutdown.LEAVE_NOTICE_S + shutdown.LINGER_S, abs=2 * STEP_S
    )


def test_calls_in_progress_end_before_the_connections_close():
    times = Bench(idle_at=4.0).times
    assert times["refuse_callers"] < 4.0 < times["close"]


@pytest.mark.parametrize("grace_s", [1.0, 3.0, 6.0, 30.0])
def test_the_last_answers_have_time_before_the_process_ends(grace_s):
    """Guards against connections that close before the last answers are sent.

    Every call has ended at the time of the last answer, and a caller takes its
    answer a little later.
    """
    stop = Bench(grace_s).stop
    last_answer_at = stop.get_last_answer_at()
    sent_at = last_answer_at + 0.1
    times = Bench(grace_s, last_answer_at, sent_at).times
    assert times["refuse_callers"] < last_answer_at
    assert sent_at < times["stop_accepting"] < times["close"] < grace_s


def test_a_caller_that_does_not_read_delays_the_end_only_so_long():
    times = Bench(sent_at=1e9).times
    assert times["stop_accepting"] == pytest.approx(
        GRACE_S - shutdown.CLOSE_MARGIN_S - shutdown.LINGER_S, abs=0.1
    )
    assert times["close"] == pytest.approx(
        GRACE_S - shutdown.CLOSE_MARGIN_S, abs=0.1
    )


def test_connections_with_bytes_under_way_delay_the_end():
    """Guards against a stop that discards bytes that callers have not received.

    After the ports are closed, requests in part get their refusals, and peers
    and callers receive the last answers.
    """
    times = Bench(settled_at=4.0).times
    assert times["stop_accepting"] < 3.0
    assert 4.0 <= times["close"] < 4.0 + 2 * shutdown.CHECK_INTERVAL_S


def test_connections_that_never_settle_delay_the_end_only_so_long():
    times = Bench(settled_at=1e9).times
    assert times["close"] == pytest.approx(
        GRACE_S - shutdown.CLOSE_MARGIN_S, abs=0.1
    )


def test_late_steps_of_a_stop_are_measured():
    """Guards against a late event loop that no log line shows."""
    bench = Bench()
    assert bench.stop.max_late_s < 2 * STEP_S
    bench.times.clear()
    stop = shutdown.PlannedStop(bench.clock, bench.actions, GRACE_S)
    stop.start()
    bench.clock.advance(shutdown.LEAVE_NOTICE_S + 0.7)
    assert stop.max_late_s == pytest.approx(0.7)
