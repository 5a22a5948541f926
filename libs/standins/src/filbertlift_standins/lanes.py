"""Lanes of the link stand-in: delay, shared rate limit, order of bytes."""

from collections import deque
from collections.abc import Callable
from typing import Any

# A connection stops reading while it has more than this queued.
_WINDOW_BYTES = 131_072


class Lane:
    """One direction of the link: a shared rate limit and then a delay."""

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

    def schedule_arrival(self, size: int) -> float:
        """Returns when bytes sent now arrive, after those sent before."""
        self.sent_bytes += size
        rate = self._get_rate_bps()
        sending_s = size * 8 / rate if rate > 0 else 0.0
        self._free_at = max(self._clock.seconds(), self._free_at) + sending_s
        return self._free_at + self._get_delay_s()


class Pipe:
    """Carries bytes of one connection in one direction, in order."""

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
        """Queues bytes for delivery; empty bytes end the connection."""
        if self.silent:
            return
        due_at = max(self._last_at, self._lane.schedule_arrival(len(data)))
        self._last_at = due_at
        self._queue.append((due_at, data))
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
