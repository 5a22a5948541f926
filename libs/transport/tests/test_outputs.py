"""Tests of writing to a connection."""

import pytest
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
