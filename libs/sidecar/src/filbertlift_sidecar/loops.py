"""Loops of a node that run until it stops."""

import collections
from collections.abc import Callable
from collections.abc import Coroutine
import statistics
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

# Pause before a loop that ended with a fault runs again, in seconds.
RESTART_DELAY_S: Final = 1.0
# Number of the last delays of a step whose median is the expected delay. With a
# median a single pause doesn't count.
DELAY_SAMPLES: Final = 5


@attrs.define(eq=False)
class Loop:
    """Runs a coroutine until the loop is closed.

    After a fault it runs again: a node whose loop has ended would, for example,
    never read the store again.

    Attributes:
        run: returns the coroutine.
        on_fault: called with the message of each fault.
    """

    reactor: Any
    run: Callable[[], Coroutine[Any, Any, None]]
    on_fault: Callable[[str], None]
    _is_closed: bool = False
    _running: Any = None
    _timer: Any = None

    def start(self) -> None:
        """Starts the coroutine."""
        self._running = defer.ensureDeferred(self.run())
        self._running.addErrback(self._handle_fault)

    def close(self) -> None:
        """Cancels the coroutine."""
        self._is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._running is not None:
            self._running.cancel()

    def _handle_fault(self, reason: Any) -> None:
        if self._is_closed:
            return
        self.on_fault(reason.getErrorMessage())
        self._timer = self.reactor.callLater(RESTART_DELAY_S, self.start)


def guard(
    call: Callable[[], None], on_fault: Callable[[str], None]
) -> Callable[[], None]:
    """Returns a function that calls another one and reports its faults.

    Twisted ends a repeated call at its first fault, without a log line.
    """

    def run() -> None:
        try:
            call()
        except Exception as error:
            on_fault(repr(error))

    return run


@attrs.define(eq=False)
class DelayMeter:
    """Measures how late the event loop runs a step of fixed times.

    Attributes:
        due_at: when the step is due next, in seconds.
        interval_s: time between two steps, in seconds.
    """

    due_at: float
    interval_s: float
    _delays_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([0.0], maxlen=DELAY_SAMPLES)
    )

    @property
    def expected_s(self) -> float:
        """Delay to expect of later steps, in seconds."""
        return statistics.median(self._delays_s)

    def note_step(self, now: float) -> float:
        """Records that the step runs now; returns its delay in seconds.

        Steps that are missed altogether are not run later.
        """
        late_s = max(0.0, now - self.due_at)
        self._delays_s.append(late_s)
        self.due_at += self.interval_s * (1 + late_s // self.interval_s)
        return late_s
