"""Large messages, spread over time on the host's own network link.

A download of 90 KB fills a link of 3.5 Mbit/s for 0.2 s. Written at once, it
would hold up every small message of this host for as long, so large messages
leave in fragments at a rate below that of the link, one message after another,
and what is withdrawn meanwhile is not sent.
"""

from collections import deque
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import Protocol

import attrs

from filbertlift_sidecar import frames

# Part of the link's rate that is planned with; datagrams and what the kernel
# adds take the rest.
USED_PART: Final = 0.85
# What TCP and IP add to a small message, in bytes.
OVERHEAD_BYTES: Final = 60
# Part of that rate that goes to one receiver, whose link is often no wider and
# takes in large messages of several hosts at once.
RECEIVER_PART: Final = 0.5
# Time on the link of one fragment, which is how long a small message may have
# to wait behind it, in seconds; and the smallest fragment, in bytes.
FRAGMENT_S: Final = 0.02
LEAST_FRAGMENT_BYTES: Final = 4_096
# A fragment may leave this much before the one ahead has, in seconds, since
# timers fire late.
AHEAD_S: Final = 0.005
# The shortest pause, in seconds; rounding must not make a timer fire again and
# again just before a part is due.
LEAST_PAUSE_S: Final = 0.001
BITS: Final = 8


# Takes a part of the data and the number of bytes that follow, or `WITHDRAWN`.
WriteFunction = Callable[[bytes, int], None]


class Link(Protocol):
    """What the uplink needs of a connection to a peer."""

    def send(self, message: frames.Message) -> None:
        """Sends a message."""

    def send_frame(self, data: bytes) -> None:
        """Sends a frame that is encoded."""


@attrs.define(eq=False)
class _Transfer:
    """Data on its way; `owner` and `stream` say whose it is."""

    owner: object
    stream: int
    data: bytes
    write: WriteFunction
    sent: int = 0
    next_at: float = 0.0


@attrs.define(eq=False)
class Uplink:
    """Data of this host that waits for its link.

    Attributes:
        bytes_per_s: rate at which messages leave.
        fragment_bytes: the most that is sent in one piece.
    """

    reactor: Any
    bytes_per_s: float
    fragment_bytes: int
    _queue: deque[_Transfer] = attrs.field(factory=deque)
    _queued_bytes: int = 0
    _free_at: float = 0.0
    _timer: Any = None

    @classmethod
    def from_rate(cls, reactor: Any, link_kbps: int) -> "Uplink":
        """Returns the uplink of a host.

        Args:
            reactor: the reactor.
            link_kbps: capacity of the host's link, in kilobits a second.
        """
        rate = USED_PART * link_kbps * 1_000 / BITS
        size = max(LEAST_FRAGMENT_BYTES, int(rate * FRAGMENT_S))
        return cls(reactor, rate, size)

    @property
    def backlog_s(self) -> float:
        """Time until what waits has left, in seconds."""
        ahead_s = max(0.0, self._free_at - self.reactor.seconds())
        return ahead_s + self._queued_bytes / self.bytes_per_s

    @property
    def is_busy(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._queue)

    def send(self, link: Link, stream: int, message: frames.Message) -> None:
        """Sends a message of a stream after the earlier ones of that stream."""
        data = frames.encode_message(message)
        is_small = len(data) <= LEAST_FRAGMENT_BYTES
        if is_small and not self._holds(link, stream):
            self.note_sent(len(data))
            link.send_frame(data)
            return

        def write(part: bytes, left: int) -> None:
            if len(part) == len(data):
                link.send_frame(data)
            else:
                link.send(frames.Fragment(stream, part, left))

        self.offer(link, stream, data, write)

    def note_sent(self, size: int) -> None:
        """Counts a small message that left beside the queue, in bytes."""
        now = self.reactor.seconds()
        spent_s = (size + OVERHEAD_BYTES) / self.bytes_per_s
        self._free_at = max(self._free_at, now) + spent_s

    def offer(
        self, owner: object, stream: int, data: bytes, write: WriteFunction
    ) -> None:
        """Has data written in parts, after all that was offered before.

        Args:
            owner: withdraws it together with the rest of its data.
            stream: tells data of one owner apart.
            data: what to write.
            write: writes a part; it may be called before this returns.
        """
        self._queue.append(_Transfer(owner, stream, data, write))
        self._queued_bytes += len(data)
        if self._timer is None:
            self._pump()

    def withdraw(self, owner: object, stream: int | None = None) -> None:
        """Forgets what was not yet written of a stream, or of an owner."""
        for transfer in list(self._queue):
            is_named = stream is None or transfer.stream == stream
            if transfer.owner is not owner or not is_named:
                continue
            self._remove(transfer)
            if transfer.sent:
                transfer.write(b"", frames.WITHDRAWN)

    def close(self) -> None:
        """Writes nothing more."""
        self._queue.clear()
        self._queued_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _holds(self, owner: object, stream: int) -> bool:
        return any(
            transfer.owner is owner and transfer.stream == stream
            for transfer in self._queue
        )

    def _remove(self, transfer: _Transfer) -> None:
        self._queue.remove(transfer)
        self._queued_bytes -= len(transfer.data) - transfer.sent

    def _pump(self) -> None:
        self._timer = None
        now = self.reactor.seconds()
        while self._free_at <= now + AHEAD_S:
            transfer = self._find_next(now + AHEAD_S)
            if transfer is None:
                break
            spent_s = self._write_next(transfer) / self.bytes_per_s
            self._free_at = max(self._free_at, now) + spent_s
            transfer.next_at = now + spent_s / RECEIVER_PART
        if self._queue and self._timer is None:
            first_at = min(transfer.next_at for transfer in self._queue)
            delay_s = max(self._free_at, first_at) - AHEAD_S - now
            self._timer = self.reactor.callLater(
                max(LEAST_PAUSE_S, delay_s), self._pump
            )

    def _find_next(self, until: float) -> _Transfer | None:
        """Returns the first transfer whose receiver can take more.

        Only the first one of each owner counts, which keeps streams in order.
        """
        seen: set[int] = set()
        for transfer in self._queue:
            if id(transfer.owner) in seen:
                continue
            seen.add(id(transfer.owner))
            if transfer.next_at <= until:
                return transfer
        return None

    def _write_next(self, transfer: _Transfer) -> int:
        """Writes the next part; returns its size."""
        start = transfer.sent
        part = transfer.data[start : start + self.fragment_bytes]
        transfer.sent += len(part)
        self._queued_bytes -= len(part)
        left = len(transfer.data) - transfer.sent
        if not left:
            self._queue.remove(transfer)
        transfer.write(part, left)
        return len(part)
