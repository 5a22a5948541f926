"""Tests of the clock of timers."""

import time

from twisted.internet import selectreactor

from filbertlift_transport import clock


def test_timers_do_not_follow_the_time_of_day(monkeypatch):
    """Guards against timers that a step of the time of day holds back."""
    reactor = selectreactor.SelectReactor()
    clock.use_monotonic_clock(reactor)
    timer = reactor.callLater(5.0, lambda: None)
    assert abs(timer.getTime() - time.monotonic() - 5.0) < 1.0
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert reactor.seconds() > 0.0
    timer.cancel()
    reactor.disconnectAll()
