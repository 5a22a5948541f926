"""Tests of the outputs of a connection."""

import contextlib
import select
import socket

import pytest
from twisted.internet import task
from twisted.internet import testing

from filbertlift_transport import outputs


class FakeSocket:
    """Accepts as many bytes as it has capacity for."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.sent = b""

    def send(self, data: bytes) -> int:
        if not self.capacity:
            raise BlockingIOError
        size = min(self.capacity, len(data))
        self.capacity -= size
        self.sent += data[:size]
        return size


class SocketTransport(testing.StringTransport):
    """An in-memory transport with a socket."""

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.socket = FakeSocket(capacity)

    def getHandle(self) -> FakeSocket:  # noqa: N802
        return self.socket

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        assert enabled


@pytest.mark.parametrize("capacity", [0, 1, 4, 100])
def test_bytes_keep_their_order(capacity: int) -> None:
    """Guards against bytes sent before those passed to the transport."""
    drained: list[int] = []
    transport = SocketTransport(capacity)
    output = outputs.Output(transport, lambda: drained.append(1))
    output.write(b"abc")
    output.write(b"def")
    transport.socket.capacity = 100
    output.write(b"ghi")
    assert transport.socket.sent + transport.value() == b"abcdefghi"
    assert output.is_full == bool(transport.value())
    was_full = output.is_full
    output.resumeProducing()
    assert not output.is_full
    assert drained == [1] * was_full


def test_writes_after_the_first_are_batched() -> None:
    """Guards against one wake-up of the peer per frame under load."""
    clock = task.Clock()
    clock.advance(1)
    transport = SocketTransport(100)
    output = outputs.BatchingOutput(clock, transport, 100)
    for data in (b"a", b"b", b"c"):
        assert output.write(data)
    assert transport.socket.sent == b"a"
    clock.advance(0)
    assert transport.socket.sent == b"abc"
    clock.advance(1)
    output.write(b"d")
    assert transport.socket.sent == b"abcd"


def test_buffered_bytes_are_limited_and_sent_when_writable() -> None:
    """Guards against unbounded memory use for a peer that stops reading."""
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
    transport.socket.capacity = 100
    output._output.resumeProducing()
    assert transport.socket.sent == b"a123456789"


def test_bytes_that_the_other_side_has_not_received_are_not_sent() -> None:
    """Guards against a close while an answer is only in this kernel."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    near.setblocking(False)
    transport = SocketTransport(0)
    transport.socket = near
    output = outputs.Output(transport, lambda: None)
    assert output.is_sent
    output.write(bytes(8_000_000))
    transport.clear()
    output.is_full = False
    assert not output.is_sent
    far.settimeout(0.5)
    with contextlib.suppress(TimeoutError):
        while far.recv(65_536):
            pass
    assert output.is_sent
    far.sendall(b"x")
    assert select.select([near], [], [], 5.0)[0]
    assert output.has_received
    output.end()
    assert not output.has_received
    near.close()
    assert output.is_sent and not output.has_received
    far.close()
    listener.close()
