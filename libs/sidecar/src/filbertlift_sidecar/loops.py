"""Loops of a node that run until it stops."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

# Pause before a loop that ended with a fault runs again, in seconds.
RESTART_DELAY_S: Final = 1.0


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
