"""Monotonic clock for all timers of a process."""

import time
from typing import Any


def use_monotonic_clock(reactor: Any) -> None:
    """Makes a reactor's timers use the monotonic clock.

    By default Twisted uses the time of day, so setting the clock back by some
    seconds would delay every deadline and heartbeat by as much. Must be called
    before the first timer is set.
    """
    reactor.seconds = time.monotonic
