"""Tests of the HTTP client over transports in memory."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet import error as errors
from twisted.internet import testing
from twisted.python import failure

from filbertlift_core import model
from filbertlift_transport import client
from filbertlift_transport import http

ADDRESS = model.Address("127.0.0.1", 8_080)
OK = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"


class Desk:
    """A pool whose target is played by the test."""

    def __init__(self, max_connections: int = 2) -> None:
        self.clock = testing.MemoryReactorClock()
        self.pool = client.HttpPool.from_address(
            self.clock, ADDRESS, max_connections
        )
        self.events: list[Any] = []
        self.failures: list[client.ClientFailure] = []

    def request(self, method: str = "GET", body: bytes = b"") -> Any:
        return self.pool.request(
            method,
            "/a?b",
            (http.Header("X-B", "2"),),
            body,
            client.ClientEvents(
                on_head=lambda *head: self.events.append(head),
                on_data=self.events.append,
                on_end=lambda: self.events.append("end"),
                on_failure=self.failures.append,
            ),
        )

    def connect(self) -> tuple[Any, testing.StringTransport]:
        factory = self.clock.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        return connection, transport

    @property
    def outcomes(self) -> list[tuple[str, bool]]:
        return [(item.reason, item.sent) for item in self.failures]


def test_answers_arrive_however_they_are_cut() -> None:
    desk = Desk()
    desk.request("POST", b"body")
    connection, transport = desk.connect()
    assert transport.value() == (
        b"POST /a?b HTTP/1.1\r\nX-B: 2\r\nHost: 127.0.0.1:8080\r\n"
        b"Content-Length: 4\r\n\r\nbody"
    )
    for index in range(len(OK)):
        connection.dataReceived(OK[index : index + 1])
    head, *data, end = desk.events
    assert head == (200, (http.Header("X-A", "1"),), 5)
    assert (b"".join(data), end) == (b"hello", "end")
    assert (desk.pool.connections, desk.pool.idle) == (1, 1)


def test_idle_connections_are_used_again_and_then_closed() -> None:
    desk = Desk()
    desk.request()
    connection, transport = desk.connect()
    connection.dataReceived(OK)
    desk.request()
    assert transport.value().count(b"GET /a?b") == 2
    connection.dataReceived(OK)
    assert desk.events.count("end") == 2
    desk.clock.pump([1.0] * int(client.IDLE_LIMIT_S + 1))
    assert desk.pool.connections == 0


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "lost"),
        (b"HTTP/1.1 200 OK\r\nContent-", "lost"),
        (OK[:-1], "truncated"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello",
            "truncated",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhello", "no-length"),
        (b"nonsense\r\n\r\n", "malformed"),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 40_000, "head-too-large"),
        (
            b"HTTP/1.1 200 OK\r\nA: " + b"x" * 40_000 + b"\r\n\r\n",
            "head-too-large",
        ),
    ],
)
def test_incomplete_answers_are_failures(data: bytes, reason: str) -> None:
    """Guards against a truncated answer that is passed on as whole."""
    desk = Desk()
    desk.request()
    connection, _ = desk.connect()
    connection.dataReceived(data)
    connection.connectionLost(failure.Failure(errors.ConnectionDone()))
    assert desk.outcomes == [(reason, True)]
    assert "end" not in desk.events
    assert desk.pool.connections == 0


def test_a_lost_reused_connection_is_not_retried() -> None:
    """Guards against a second run of a call that may have run."""
    desk = Desk()
    desk.request()
    connection, _ = desk.connect()
    connection.dataReceived(OK)
    desk.request()
    connection.connectionLost(failure.Failure(errors.ConnectionDone()))
    assert desk.outcomes == [("lost", True)]
    assert len(desk.clock.tcpClients) == 1


def test_a_refused_connection_sent_nothing() -> None:
    desk = Desk()
    desk.request()
    factory = desk.clock.tcpClients[-1][2]
    assert desk.clock.tcpClients[-1][3] == client.CONNECT_TIMEOUT_S
    factory.clientConnectionFailed(
        None, failure.Failure(errors.ConnectionRefusedError())
    )
    assert desk.outcomes == [("connect-failed", False)]
    assert desk.pool.connections == 0


def test_connections_are_bounded() -> None:
    desk = Desk(max_connections=1)
    desk.request()
    desk.request()
    assert desk.failures == []
    desk.clock.advance(0)
    assert desk.outcomes == [("pool-full", False)]


def test_cancelling_ends_all_events() -> None:
    """Guards against an answer for a call that nobody waits for."""
    desk = Desk()
    call = desk.request()
    connection, transport = desk.connect()
    connection.dataReceived(OK[:-1])
    call.cancel()
    seen = len(desk.events)
    connection.dataReceived(b"o")
    connection.connectionLost()
    assert len(desk.events) == seen
    assert desk.failures == []
    assert transport.disconnecting
    assert desk.pool.connections == 0


def test_cancelling_before_the_connection_sends_nothing() -> None:
    desk = Desk()
    desk.request().cancel()
    _, transport = desk.connect()
    assert transport.value() == b""
    assert desk.pool.connections == 0


def test_unasked_bytes_close_the_connection() -> None:
    """Guards against an answer that is taken for the next request's."""
    for extra in (b"x", OK):
        desk = Desk()
        desk.request()
        connection, transport = desk.connect()
        connection.dataReceived(OK + extra)
        assert desk.events[-1] == "end"
        assert transport.disconnecting
        assert desk.pool.connections == 0


def test_answers_without_a_body() -> None:
    for method, answer in (
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("POST", b"HTTP/1.1 100 Continue\r\n\r\n" + OK),
    ):
        desk = Desk()
        desk.request(method)
        connection, _ = desk.connect()
        connection.dataReceived(answer)
        assert desk.events[-1] == "end"


def test_pausing_stops_reading() -> None:
    desk = Desk()
    call = desk.request()
    call.pause()
    connection, transport = desk.connect()
    assert transport.producerState == "paused"
    call.resume()
    assert transport.producerState == "producing"
    connection.dataReceived(OK)
    assert desk.pool.idle == 1


def start_parts(desk: Desk) -> Any:
    return desk.pool.request(
        "POST",
        "/a",
        (),
        b"ab",
        client.ClientEvents(
            on_head=lambda *head: desk.events.append(head),
            on_data=desk.events.append,
            on_end=lambda: desk.events.append("end"),
            on_failure=desk.failures.append,
        ),
        length=6,
    )


def test_bodies_are_sent_in_parts() -> None:
    desk = Desk()
    call = start_parts(desk)
    drained: list[int] = []
    call.on_drained = lambda: drained.append(1)
    assert call.is_full
    call.write(b"cd")
    connection, transport = desk.connect()
    assert (call.is_full, drained) == (False, [1])
    call.write(b"ef")
    assert transport.value().endswith(b"Content-Length: 6\r\n\r\nabcdef")
    with pytest.raises(ValueError, match="longer"):
        call.write(b"g")
    connection.dataReceived(OK)
    assert (desk.events[-1], desk.pool.idle) == ("end", 1)


def test_an_unfinished_request_is_not_followed_by_another() -> None:
    """Guards against the next request being read as the rest of a body."""
    desk = Desk()
    start_parts(desk)
    connection, transport = desk.connect()
    connection.dataReceived(OK)
    assert desk.events[-1] == "end"
    assert transport.disconnecting
    assert desk.pool.connections == 0


@given(st.binary(max_size=80), st.integers(0, len(OK)))
def test_hostile_answers_never_raise(data: bytes, cut: int) -> None:
    """Guards against an unhandled error on hostile bytes."""
    desk = Desk()
    desk.request()
    connection, _ = desk.connect()
    connection.dataReceived(OK[:cut] + data)
    connection.connectionLost()
    assert len(desk.failures) + desk.events.count("end") == 1
