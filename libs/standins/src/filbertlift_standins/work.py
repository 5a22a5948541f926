"""Work of the target stand-in: its time, its record and its downloads."""

from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Any

import attrs
from twisted.internet import interfaces
from zope.interface import implementer

from filbertlift_standins import content
from filbertlift_standins import web

# Called with `start`, `finish` or `cancel` and the request id.
Journal = Callable[[str, str], None]


def keep_no_journal(_event: str, _request_id: str) -> None:
    """Records nothing."""


def make_journal(path: str) -> Journal:
    """Returns a journal that appends lines to a file at once.

    An oracle still reads what ran on a target that was killed.
    """
    file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def append(event: str, request_id: str) -> None:
        file.write(f"{event} {request_id} {time.time():.6f}\n")

    return append


@attrs.frozen
class WorkTime:
    """Time of the work of one operation."""

    method: str
    prefix: str
    work_ms: float

    @classmethod
    def parse(cls, text: str) -> "WorkTime":
        """Returns the entry written as `GET /slots=5`.

        Raises:
            ValueError: if the text has another form.
        """
        operation, separator, work_ms = text.rpartition("=")
        method, space, prefix = operation.partition(" ")
        if not separator or not space:
            raise ValueError(f"{text!r} is not like 'GET /slots=5'")
        return cls(method, prefix, float(work_ms))


@attrs.define
class Run:
    """What one request id caused here; times are seconds since the epoch."""

    path: str
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    calls: list[str] = attrs.Factory(list)
    times: list[float] = attrs.Factory(list)


@attrs.define(eq=False)
class Work:
    """One piece of work that holds a slot."""

    exchange: web.Exchange
    run: Run
    request_id: str
    work_s: float
    timer: Any = None
    stopped: bool = False


@implementer(interfaces.IPullProducer)
class Download:
    """Streams content over the time of the work, as fast as it is read."""

    def __init__(
        self,
        clock: Any,
        work: Work,
        length: int,
        finish: Callable[[Work], None],
    ) -> None:
        self._clock = clock
        self._finish = finish
        self._work = work
        count = max(1, -(-length // content.BLOCK_BYTES))
        self._pause_s = work.work_s / count
        self._left = length
        self._blocks: Iterator[bytes] = content.iterate_blocks(
            work.request_id, length
        )
        self._transport: Any = work.exchange.connection.transport

    def start(self) -> None:
        """Begins to write; the transport asks for each further block."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Schedules the next block."""
        timer = self._work.timer
        if timer is None or not timer.active():
            self._work.timer = self._clock.callLater(
                self._pause_s, self._write_block
            )

    def stopProducing(self) -> None:  # noqa: N802
        """Stops; the loss of the connection is handled by the work."""

    def _write_block(self) -> None:
        block = next(self._blocks)
        self._left -= len(block)
        if self._left == 0:
            # Nothing may follow the last block before the next answer.
            self._transport.unregisterProducer()
        self._work.exchange.write(block)
        if self._left == 0:
            self._finish(self._work)
