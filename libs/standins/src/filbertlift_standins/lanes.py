"""Lanes of the link stand-in: delay, shared rate limit and order of bytes."""

from collections import deque
from collections.abc import Callable
from typing import Any

# A connection reads no more while this much of it is under way.
_WINDOW_BYTES = 131_072


class Lane:
    """One direction of the link: a delay after a shared rate limit."""

    def __init__(
        self,
        clock: Any,
        get_delay_s: Callable[[], float],
        get_rate_bps: Callable[[], float],
    ) -> None:
        self.sent_bytes = 0
        self._clock = clock
        self._get_delay_s = get_delay_s
        self._get_rate_bps = get_rate_bps
        self._free_at = 0.0

    def find_delivery(self, size: int) -> float:
        """Returns when bytes that are sent now arrive."""
        self.sent_bytes += size
        rate = self._get_rate_bps()
        sending_s = size * 8 / rate if rate > 0 else 0.0
        self._free_at = max(self._clock.seconds(), self._free_at) + sending_s
        return self._free_at + self._get_delay_s()


class Pipe:
    """Carries the bytes of one connection in one direction, in order."""

    def __init__(self, clock: Any, lane: Lane, source: Any, sink: Any) -> None:
        self.silent = False
        self._clock = clock
        self._lane = lane
        self._source = source
        self._sink = sink
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._last_at = 0.0

    def send(self, data: bytes) -> None:
        """Takes bytes that arrived; empty bytes end the connection."""
        if self.silent:
            return
        due = max(self._last_at, self._lane.find_delivery(len(data)))
        self._last_at = due
        self._queue.append((due, data))
        self._queued_bytes += len(data)
        if self._queued_bytes > _WINDOW_BYTES:
            self._source.pauseProducing()
        if len(self._queue) == 1:
            self._schedule()

    def _schedule(self) -> None:
        wait_s = max(0.0, self._queue[0][0] - self._clock.seconds())
        self._clock.callLater(wait_s, self._deliver)

    def _deliver(self) -> None:
        _, data = self._queue.popleft()
        if self._queue:
            self._schedule()
        if self.silent:
            return
        before = self._queued_bytes
        self._queued_bytes -= len(data)
        if before > _WINDOW_BYTES >= self._queued_bytes:
            self._source.resumeProducing()
        if data:
            self._sink.write(data)
        else:
            self._sink.loseConnection()
