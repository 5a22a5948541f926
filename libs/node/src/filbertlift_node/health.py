"""Health checks of the target beside a node."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import task

from filbertlift_core import logs
from filbertlift_transport import client
from filbertlift_wire import messages

PATH = "/-/health"
# Interval between probes, within which a draining target is detected, in
# seconds.
PROBE_INTERVAL_S = 0.5
# Time after which an unanswered probe has failed, in seconds.
TIMEOUT_S = 2.0
# Number of consecutive failures after which the target counts as down. A single
# probe may fail because no connection is free.
MAX_FAILURES = 3


@attrs.define(eq=False)
class TargetHealth:
    """Probes the target and reports each change of its availability.

    Attributes:
        is_serving: whether the target accepts calls.
    """

    _reactor: Any
    _pool: client.HttpPool
    _on_change: Callable[[bool], None]
    is_serving: bool = True
    _failures: int = 0
    _probe: client.ClientCall | None = None
    _sent_at: float = 0.0
    _status: int = 0
    _loop: task.LoopingCall | None = None

    def start(self) -> None:
        """Starts probing."""
        self._loop = task.LoopingCall(self._check)
        self._loop.clock = self._reactor
        self._loop.start(PROBE_INTERVAL_S, now=True)

    def close(self) -> None:
        """Stops probing."""
        if self._loop is not None:
            self._loop.stop()
            self._loop = None
        if self._probe is not None:
            self._probe.cancel()

    def _check(self) -> None:
        if self._probe is not None:
            if self._reactor.seconds() - self._sent_at < TIMEOUT_S:
                return
            self._probe.cancel()
            self._fail()
        self._sent_at = self._reactor.seconds()
        self._probe = self._pool.request(
            "GET",
            PATH,
            (),
            b"",
            client.ClientEvents(
                self._receive_head,
                lambda _data: None,
                self._receive_end,
                lambda _failure: self._fail(),
            ),
        )

    def _receive_head(
        self,
        status: int,
        _headers: tuple[messages.Header, ...],
        _length: int | None,
    ) -> None:
        self._status = status

    def _receive_end(self) -> None:
        self._probe = None
        self._failures = 0
        # Any status except 503 means that the target accepts calls; a target
        # without a health page answers 404.
        self._report(self._status != 503)

    def _fail(self) -> None:
        self._probe = None
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self._report(False)

    def _report(self, is_serving: bool) -> None:
        if is_serving == self.is_serving:
            return
        self.is_serving = is_serving
        logs.log_event("target.health", serving=is_serving)
        self._on_change(is_serving)
