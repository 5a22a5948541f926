"""Tests of writing to a connection."""

import pytest
from twisted.internet import task
from twisted.internet import testing

from filbertlift_transport import outputs


class FakeSocket:
    """Takes as many bytes as it has room for."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.taken = b""

    def send(self, data: bytes) -> int:
        if not self.room:
            raise BlockingIOError
        size = min(self.room, len(data))
        self.room -= size
        self.taken += data[:size]
        return size


class SocketTransport(testing.StringTransport):
    """A transport in memory with a socket."""

    def __init__(self, room: int) -> None:
        super().__init__()
        self.socket = FakeSocket(room)

    def getHandle(self) -> FakeSocket:  # noqa: N802
        return self.socket

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        assert enabled


@pytest.mark.parametrize("room", [0, 1, 4, 100])
def test_bytes_keep_their_order(room: int) -> None:
    """Guards against bytes that overtake those left to the transport."""
    drained: list[int] = []
    transport = SocketTransport(room)
    output = outputs.Output(transport, lambda: drained.append(1))
    output.write(b"abc")
    output.write(b"def")
    transport.socket.room = 100
    output.write(b"ghi")
    assert transport.socket.taken + transport.value() == b"abcdefghi"
    assert output.is_full == bool(transport.value())
    was_full = output.is_full
    output.resumeProducing()
    assert not output.is_full
    assert drained == [1] * was_full


def test_writes_of_one_turn_are_joined_after_the_first() -> None:
    """Guards against a wake-up of the peer for each frame under load."""
    clock = task.Clock()
    clock.advance(1)
    transport = SocketTransport(100)
    output = outputs.BatchingOutput(clock, transport, 100)
    for data in (b"a", b"b", b"c"):
        assert output.write(data)
    assert transport.socket.taken == b"a"
    clock.advance(0)
    assert transport.socket.taken == b"abc"
    clock.advance(1)
    output.write(b"d")
    assert transport.socket.taken == b"abcd"


def test_kept_bytes_are_bounded_and_sent_once_the_socket_drains() -> None:
    """Guards against memory without bound behind a peer that is stuck."""
    clock = task.Clock()
    clock.advance(1)
    transport = SocketTransport(1)
    output = outputs.BatchingOutput(clock, transport, 8)
    assert output.write(b"abc")
    assert output.is_full
    assert output.write(b"12345678")
    clock.advance(0)
    assert transport.value() == b"bc"
    assert not output.write(b"9")
    transport.socket.room = 100
    output._output.resumeProducing()
    assert transport.socket.taken == b"a123456789"
