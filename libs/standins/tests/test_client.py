"""Tests of the HTTP client."""

from typing import Any

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from filbertlift_core import model
from filbertlift_standins import client

ENTRY = model.Address("127.0.0.1", 1)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


class FakeTransport(testing.StringTransport):
    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Accepts the option."""

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


def accept(reactor: Any, number: int) -> Any:
    """Completes the connection attempt with this number."""
    connection = reactor.tcpClients[number][2].buildProtocol(None)
    connection.makeConnection(FakeTransport())
    return connection


def collect(result: Any) -> list[Any]:
    results: list[Any] = []
    result.addBoth(results.append)
    return results


def test_late_response_reaches_no_other_request() -> None:
    """Guards against responses that the load generator itself mixes up."""
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor, connections=1)
    first = collect(sender.request(ENTRY, "GET", "/1", timeout_s=1))
    connection = accept(reactor, 0)
    reactor.advance(1)
    assert first[0].value.reason == "timeout"
    assert connection.transport.aborted
    second = collect(sender.request(ENTRY, "GET", "/2", timeout_s=1))
    connection.dataReceived(RESPONSE_HEAD + b"1!")
    assert second == []
    connection.connectionLost(failure.Failure(error.ConnectionDone()))
    accept(reactor, 1).dataReceived(RESPONSE_HEAD + b"2!")
    assert second[0].body == b"2!"


def test_truncated_response_is_lost() -> None:
    """Guards against a truncated response that counts as complete."""
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor)
    results = collect(sender.request(ENTRY, "GET", "/1"))
    connection = accept(reactor, 0)
    connection.dataReceived(RESPONSE_HEAD + b"1")
    connection.connectionLost(failure.Failure(error.ConnectionDone()))
    assert results[0].value.reason == "lost"


def test_connection_is_reused() -> None:
    """Guards against a connection for each request."""
    reactor = testing.MemoryReactorClock()
    sender = client.Client(reactor)
    first = collect(sender.request(ENTRY, "GET", "/1"))
    connection = accept(reactor, 0)
    connection.dataReceived(RESPONSE_HEAD + b"1!")
    second = collect(sender.request(ENTRY, "GET", "/2"))
    connection.dataReceived(RESPONSE_HEAD + b"2!")
    assert [first[0].body, second[0].body] == [b"1!", b"2!"]
    assert len(reactor.tcpClients) == 1


def test_refused_connection_differs_from_a_lost_one() -> None:
    """Guards against "not run" for a request that may have been sent."""
    reactor = testing.MemoryReactorClock()
    results = collect(client.Client(reactor).request(ENTRY, "GET", "/1"))
    factory = reactor.tcpClients[0][2]
    refused = failure.Failure(error.ConnectionRefusedError())
    factory.clientConnectionFailed(None, refused)
    assert results[0].value.reason == "refused"
