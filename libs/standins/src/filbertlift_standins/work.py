"""Work of the target stand-in: durations, records and downloads."""

from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Any

import attrs
from twisted.internet import interfaces
from zope.interface import implementer

from filbertlift_standins import content
from filbertlift_standins import web

# Called with `start`, `finish` or `cancel`, and the request id.
Journal = Callable[[str, str], None]


def ignore_event(_event: str, _request_id: str) -> None:
    """Records nothing; the journal of a target without a file."""


def make_journal(path: str) -> Journal:
    """Returns a journal that appends each event to a file at once.

    The file is complete even if the target is killed, so that an oracle can
    read what ran.
    """
    file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def append(event: str, request_id: str) -> None:
        file.write(f"{event} {request_id} {time.time():.6f}\n")

    return append


@attrs.frozen
class WorkTime:
    """Duration of work for requests with a method and path prefix."""

    method: str
    prefix: str
    work_ms: float

    @classmethod
    def parse(cls, text: str) -> "WorkTime":
        """Returns the duration given by a text such as `GET /slots=5`.

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
    """The runs of one request id; times are in seconds since the epoch."""

    path: str
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    calls: list[str] = attrs.Factory(list)
    times: list[float] = attrs.Factory(list)


@attrs.define(eq=False)
class Work:
    """The work for one request, which occupies a slot."""

    exchange: web.Exchange
    run: Run
    request_id: str
    work_s: float
    timer: Any = None
    stopped: bool = False


@implementer(interfaces.IPullProducer)
class Download:
    """Streams a download over the time of the work, or slower.

    The next block is written only after the client has read enough.
    """

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
        self._remaining = length
        self._blocks: Iterator[bytes] = content.iterate_blocks(
            work.request_id, length
        )
        self._transport: Any = work.exchange.connection.transport

    def start(self) -> None:
        """Starts the download; the transport asks for each block."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Schedules the next block."""
        timer = self._work.timer
        if timer is None or not timer.active():
            self._work.timer = self._clock.callLater(
                self._pause_s, self._write_block
            )

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the work handles the loss of the connection."""

    def _write_block(self) -> None:
        block = next(self._blocks)
        self._remaining -= len(block)
        if self._remaining == 0:
            # The transport must not ask for a block after the last one: only
            # the next response may follow.
            self._transport.unregisterProducer()
        self._work.exchange.write(block)
        if self._remaining == 0:
            self._finish(self._work)
