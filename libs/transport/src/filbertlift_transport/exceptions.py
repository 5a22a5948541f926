"""Errors of links, HTTP and datagrams."""

from filbertlift_core import exceptions


class TransportError(exceptions.FilbertliftError):
    """A link, a connection or a packet failed.

    Attributes:
        reason: stable identifier such as `silent`, `refused` or `truncated`.
    """

    code = "FL-TRANSPORT"

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(f"{reason}: {message}")
        self.reason = reason


class LinkError(TransportError):
    """A link could not be opened or went down.

    Reasons: `closed`, `lost`, `silent`, `connect-failed`, `proxy-refused`,
    `other-cluster`, `wire-version`, `bad-proof`, `malformed`, `overflow`.
    """

    code = "FL-LINK"
