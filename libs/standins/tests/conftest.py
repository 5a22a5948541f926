"""Client connections to the stand-ins over fake transports."""

from collections.abc import Callable

import pytest
from twisted.internet import testing

from filbertlift_standins import web


class Client:
    """Sends requests to a stand-in over its own connection."""

    def __init__(self, server: web.Server) -> None:
        self.connection = server.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda _on: None  # type: ignore
        self.connection.makeConnection(self.transport)

    def send(
        self, method: str, target: str, body: bytes = b"", headers: str = ""
    ) -> bytes:
        head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(body)}"
        head += f"\r\n{headers}\r\n" if headers else "\r\n"
        self.connection.dataReceived(head.encode() + b"\r\n" + body)
        return self.read_response()

    def read_response(self) -> bytes:
        """Returns the status and body received since the last call."""
        data = self.transport.value()
        self.transport.clear()
        return data[9:12] + b" " + data.partition(b"\r\n\r\n")[2]


@pytest.fixture
def make_client() -> Callable[[web.Server], Client]:
    return Client
