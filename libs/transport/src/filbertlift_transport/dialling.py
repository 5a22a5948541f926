"""Opens outgoing connections and reports failures to connect."""

from typing import Any
from typing import Protocol

from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model


class OutgoingConnection(Protocol):
    """Connection interface that `dial` uses."""

    def fail_connect(self, message: str) -> None:
        """Reports that no connection could be established."""


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection: Any) -> None:
        self._connection = connection

    def buildProtocol(self, _address: Any) -> Any:  # noqa: N802
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self, _connector: Any, reason: failure.Failure
    ) -> None:
        self._connection.fail_connect(reason.getErrorMessage())


def dial(
    reactor: Any,
    address: model.Address,
    connection: OutgoingConnection,
    timeout_s: float,
) -> Any:
    """Opens a connection for a protocol; returns Twisted's connector."""
    return reactor.connectTCP(
        address.host, address.port, _Factory(connection), timeout=timeout_s
    )
