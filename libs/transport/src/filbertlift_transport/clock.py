"""The steady clock for all timers of a process."""

import time
from typing import Any


def use_steady_clock(reactor: Any) -> None:
    """Makes a reactor's timers independent of the time of day.

    Twisted reads the time of day for them, so that a clock set back by some
    seconds would hold back every deadline and heartbeat for as long. Call it
    before the first timer is set.
    """
    reactor.seconds = time.monotonic
