"""Tests of the lean client."""

from typing import Any

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from filbertlift_core import model
from filbertlift_standins import client

ENTRY = model.Address("127.0.0.1", 1)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


class Wire(testing.StringTransport):
    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Accepts the option."""

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


def accept(reactor: Any, number: int) -> Any:
    """Completes the connection attempt with this number."""
    connection = reactor.tcpClients[number][2].buildProtocol(None)
    connection.makeConnection(Wire())
    return connection


def collect(result: Any) -> list[Any]:
    found: list[Any] = []
    result.addBoth(found.append)
    return found


def test_late_answer_reaches_no_other_request() -> None:
    """Guards against a load generator that crosses answers by itself."""
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor, connections=1)
    first = collect(sender.request(ENTRY, "GET", "/1", timeout_s=1))
    connection = accept(reactor, 0)
    reactor.advance(1)
    assert first[0].value.reason == "timeout"
    assert connection.transport.aborted
    second = collect(sender.request(ENTRY, "GET", "/2", timeout_s=1))
    connection.dataReceived(ANSWER + b"1!")
    assert second == []
    connection.connectionLost(failure.Failure(error.ConnectionDone()))
    accept(reactor, 1).dataReceived(ANSWER + b"2!")
    assert second[0].body == b"2!"


def test_cut_answer_is_lost_and_not_whole() -> None:
    """Guards against a truncated answer that counts as complete."""
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor)
    found = collect(sender.request(ENTRY, "GET", "/1"))
    connection = accept(reactor, 0)
    connection.dataReceived(ANSWER + b"1")
    connection.connectionLost(failure.Failure(error.ConnectionDone()))
    assert found[0].value.reason == "lost"


def test_connection_is_used_again() -> None:
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor)
    first = collect(sender.request(ENTRY, "GET", "/1"))
    connection = accept(reactor, 0)
    connection.dataReceived(ANSWER + b"1!")
    second = collect(sender.request(ENTRY, "GET", "/2"))
    connection.dataReceived(ANSWER + b"2!")
    assert [first[0].body, second[0].body] == [b"1!", b"2!"]
    assert len(reactor.tcpClients) == 1


def test_refused_connection_is_told_from_a_lost_one() -> None:
    """Guards against "not run" for a request that may have been sent."""
    reactor = testing.MemoryReactorClock()
    found = collect(client.Client(reactor).request(ENTRY, "GET", "/1"))
    factory = reactor.tcpClients[0][2]
    refused = failure.Failure(error.ConnectionRefusedError())
    factory.clientConnectionFailed(None, refused)
    assert found[0].value.reason == "refused"
