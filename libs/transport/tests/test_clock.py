"""Tests of the reactor's clock."""

import time

from twisted.internet import selectreactor

from filbertlift_transport import clock


def test_timers_ignore_changes_to_the_time_of_day(monkeypatch):
    """Guards against timers that are late after the clock is set back."""
    reactor = selectreactor.SelectReactor()
    clock.use_monotonic_clock(reactor)
    timer = reactor.callLater(5.0, lambda: None)
    assert abs(timer.getTime() - time.monotonic() - 5.0) < 1.0
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert reactor.seconds() > 0.0
    timer.cancel()
    reactor.disconnectAll()
