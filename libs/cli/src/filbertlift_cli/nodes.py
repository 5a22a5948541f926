"""Fetches JSON pages of nodes, with a bounded number of requests at a time.

Each response is read by httptools on a connection of its own: there can be
12,000 members to ask, and a treq request takes 3.4 ms in this process.
"""

from collections.abc import Callable
import json
from typing import Any
from typing import Final

import httptools
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import exceptions
from filbertlift_core import model

MAX_CONCURRENT_REQUESTS: Final = 64
PAGE_TIMEOUT_S: Final = 2.0
# A dump lists every member: 12,000 members of about 250 bytes are 3 MB.
DUMP_TIMEOUT_S: Final = 10.0
MAX_PAGE_BYTES: Final = 16_000_000

PageFetcher = Callable[[model.Address, str, float], "defer.Deferred[Any]"]


class NodeError(exceptions.FilbertliftError):
    """A node did not answer, or its answer is not a JSON object."""

    code = "FL-NODE"


class PageReader(protocol.Protocol):
    """Sends one HTTP request and reads the response.

    Attributes:
        page: Deferred that fires with the body, or fails.
    """

    def __init__(self, request: bytes) -> None:
        self.page: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._request = request
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0

    def connectionMade(self) -> None:  # noqa: N802 (the name is Twisted's)
        """Sends the request."""
        self._transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses a piece of the response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as cause:
            self._finish(failure.Failure(cause))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails `page` if the response is not complete."""
        self._finish(reason)

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body; called by the parser."""
        self._size += len(data)
        if self._size > MAX_PAGE_BYTES:
            self._finish(failure.Failure(ValueError("the page is too long")))
            return
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Fires `page`, or fails it unless the status is 200.

        Called by the parser.
        """
        status = self._parser.get_status_code()
        if status != 200:
            self._finish(failure.Failure(ValueError(f"status {status}")))
            return
        self._finish(b"".join(self._parts))

    @property
    def _transport(self) -> Any:
        return self.transport

    def _cancel(self, _page: "defer.Deferred[bytes]") -> None:
        self._transport.abortConnection()

    def _finish(self, result: Any) -> None:
        if self.page.called:
            return
        self.page.callback(result)
        self._transport.abortConnection()


def make_page_fetcher(reactor: Any) -> PageFetcher:
    """Returns a function that fetches a JSON object from a page of a node.

    The function takes the address, the path and a timeout in seconds; its
    Deferred fails with NodeError.
    """

    @defer.inlineCallbacks
    def request_object(address: model.Address, path: str) -> Any:
        lines = (
            f"GET {path} HTTP/1.1",
            f"Host: {address}",
            "Connection: close",
            "\r\n",
        )
        reader = PageReader("\r\n".join(lines).encode("ascii"))
        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, address.host, address.port, timeout=PAGE_TIMEOUT_S
        )
        factory: Any = protocol.Factory.forProtocol(lambda: reader)
        yield endpoint.connect(factory)
        body = yield reader.page
        value = json.loads(body)
        if not isinstance(value, dict):
            raise ValueError("not a JSON object")
        return value

    def fetch_page(
        address: model.Address, path: str, timeout_s: float
    ) -> "defer.Deferred[Any]":
        answer = request_object(address, path).addTimeout(timeout_s, reactor)

        def translate(reason: failure.Failure) -> Any:
            text = reason.getErrorMessage()
            if reason.check(error.ConnectionDone):
                text = "the connection was closed before the end of the page"
            raise NodeError(f"{address}{path}: {text}")

        return answer.addErrback(translate)

    return fetch_page


@defer.inlineCallbacks
def fetch_pages(
    fetch_page: PageFetcher, addresses: list[model.Address], path: str
) -> Any:
    """Returns the answer by address; None for a node that did not answer."""
    limit = defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    waits = [
        limit.run(fetch_page, address, path, PAGE_TIMEOUT_S)
        for address in addresses
    ]
    results = yield defer.DeferredList(waits, consumeErrors=True)
    return {
        address: answer if succeeded else None
        for address, (succeeded, answer) in zip(addresses, results, strict=True)
    }
