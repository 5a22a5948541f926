"""Pacing of large messages on the host's network link.

A download of 90 KB occupies a link of 3.5 Mbit/s for 0.2 s. Written at once, it
would delay every small message of this host for that time. So large messages
are sent in fragments, in order, at a rate below that of the link, and the rest
of a withdrawn message is not sent.
"""

from collections import deque
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import Protocol

import attrs

from filbertlift_sidecar import frames

# Share of the link's rate that messages may use; the rest is for datagrams and
# the overhead of the kernel.
USED_SHARE: Final = 0.85
# Bytes that TCP and IP add to a small message.
OVERHEAD_BYTES: Final = 60
# Share of the used rate for one receiver, whose link is often no wider and may
# receive large messages of several hosts at once.
RECEIVER_SHARE: Final = 0.5
# Time that one fragment occupies the link, in seconds; a small message may have
# to wait that long behind it.
FRAGMENT_S: Final = 0.02
# Lower limit of the fragment size; messages up to this size are not split.
MIN_FRAGMENT_BYTES: Final = 4_096
# Time by which a fragment may be written before its due time, in seconds, since
# timers fire late.
MAX_EARLY_S: Final = 0.005
# Shortest delay of the timer, in seconds, so that rounding does not make it
# fire repeatedly just before a fragment is due.
MIN_DELAY_S: Final = 0.001
# Interval at which a blocked transfer is tried again, in seconds.
BLOCKED_INTERVAL_S: Final = 0.005
BITS_PER_BYTE: Final = 8


# Called with a part of the data and the number of bytes that follow, or with
# `WITHDRAWN` if the rest will not be sent.
WriteFunction = Callable[[bytes, int], None]
# Returns whether the owner takes no data now.
BlockedFunction = Callable[[], bool]


def never_blocked() -> bool:
    """Returns False, for owners that always take data."""
    return False


class Link(Protocol):
    """Interface of a link to a peer, as far as the uplink uses it."""

    def send(self, message: frames.Message) -> None:
        """Sends a message."""

    def send_frame(self, data: bytes) -> None:
        """Sends an encoded frame."""


@attrs.define(eq=False)
class _Transfer:
    """Data that is being sent.

    Attributes:
        owner: owner of the data, by which it can be withdrawn.
        stream: stream of the owner to which the data belongs.
        data: the whole data.
        write: writes a part of the data.
        sent: number of bytes that were written.
        is_blocked: returns whether the owner takes no data now.
        next_at: when the receiver can take the next part, in seconds.
    """

    owner: object
    stream: int
    data: bytes | memoryview
    write: WriteFunction
    is_blocked: BlockedFunction
    sent: int = 0
    next_at: float = 0.0


@attrs.define(eq=False)
class Uplink:
    """Queue of large messages for this host's link.

    Attributes:
        bytes_per_s: rate at which messages are sent, in bytes per second.
        fragment_bytes: size of a fragment, in bytes.
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
            link_kbps: capacity of the host's link, in kilobits per second.
        """
        rate = USED_SHARE * link_kbps * 1_000 / BITS_PER_BYTE
        size = max(MIN_FRAGMENT_BYTES, int(rate * FRAGMENT_S))
        return cls(reactor, rate, size)

    @property
    def backlog_s(self) -> float:
        """Time until all queued data has been sent, in seconds."""
        ahead_s = max(0.0, self._free_at - self.reactor.seconds())
        return ahead_s + self._queued_bytes / self.bytes_per_s

    @property
    def queued_bytes(self) -> int:
        """Number of bytes that are queued."""
        return self._queued_bytes

    @property
    def is_busy(self) -> bool:
        """Whether any data is queued."""
        return bool(self._queue)

    def send(self, link: Link, stream: int, message: frames.Message) -> None:
        """Sends a message after the earlier messages of the same stream."""
        data = frames.encode_message(message)
        is_small = len(data) <= MIN_FRAGMENT_BYTES
        if is_small and not self._has_transfer(link, stream):
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
        """Counts the bytes of a small message that bypassed the queue."""
        now = self.reactor.seconds()
        send_time_s = (size + OVERHEAD_BYTES) / self.bytes_per_s
        self._free_at = max(self._free_at, now) + send_time_s

    def offer(
        self,
        owner: object,
        stream: int,
        data: bytes | memoryview,
        write: WriteFunction,
        is_blocked: BlockedFunction = never_blocked,
    ) -> None:
        """Queues data, which is written in parts after the earlier data.

        Args:
            owner: owner of the data, by which it can be withdrawn.
            stream: stream of the owner to which the data belongs.
            data: data to write.
            write: writes a part; may be called before this method returns.
            is_blocked: returns whether the owner takes no data now.
        """
        self._queue.append(_Transfer(owner, stream, data, write, is_blocked))
        self._queued_bytes += len(data)
        if self._timer is None:
            self._send_due()

    def withdraw(self, owner: object, stream: int | None = None) -> set[int]:
        """Drops the unwritten data of a stream, or of all streams of an owner.

        Args:
            owner: owner of the data.
            stream: the stream, or None for all streams of the owner.

        Returns:
            The streams of which data was dropped.
        """
        dropped: set[int] = set()
        for transfer in list(self._queue):
            is_matching = stream is None or transfer.stream == stream
            if transfer.owner is not owner or not is_matching:
                continue
            self._remove(transfer)
            dropped.add(transfer.stream)
            if transfer.sent:
                transfer.write(b"", frames.WITHDRAWN)
        return dropped

    def close(self) -> None:
        """Drops all queued data."""
        self._queue.clear()
        self._queued_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _has_transfer(self, owner: object, stream: int) -> bool:
        return any(
            transfer.owner is owner and transfer.stream == stream
            for transfer in self._queue
        )

    def _remove(self, transfer: _Transfer) -> None:
        self._queue.remove(transfer)
        self._queued_bytes -= len(transfer.data) - transfer.sent

    def _send_due(self) -> None:
        self._timer = None
        now = self.reactor.seconds()
        while self._free_at <= now + MAX_EARLY_S:
            transfer = self._find_next(now + MAX_EARLY_S)
            if transfer is None:
                break
            send_time_s = self._write_next(transfer) / self.bytes_per_s
            self._free_at = max(self._free_at, now) + send_time_s
            transfer.next_at = now + send_time_s / RECEIVER_SHARE
        if self._queue and self._timer is None:
            first_at = min(transfer.next_at for transfer in self._queue)
            delay_s = max(self._free_at, first_at) - MAX_EARLY_S - now
            self._timer = self.reactor.callLater(
                max(MIN_DELAY_S, delay_s), self._send_due
            )

    def _find_next(self, until: float) -> _Transfer | None:
        """Returns the first transfer whose receiver can take another part.

        Only the first transfer of each owner is considered, which keeps the
        streams in order.
        """
        seen: set[int] = set()
        for transfer in self._queue:
            if id(transfer.owner) in seen:
                continue
            seen.add(id(transfer.owner))
            if transfer.next_at > until:
                continue
            if not transfer.is_blocked():
                return transfer
            transfer.next_at = until + BLOCKED_INTERVAL_S
        return None

    def _write_next(self, transfer: _Transfer) -> int:
        """Writes the next part; returns its size."""
        start = transfer.sent
        part = bytes(transfer.data[start : start + self.fragment_bytes])
        transfer.sent += len(part)
        self._queued_bytes -= len(part)
        left = len(transfer.data) - transfer.sent
        if not left:
            self._queue.remove(transfer)
        transfer.write(part, left)
        return len(part)
