"""Tunnels through an HTTP CONNECT proxy."""

from filbertlift_core import model
from filbertlift_transport import exceptions

MAX_HEAD_BYTES = 8_192
_HEAD_END = b"\r\n\r\n"


class Tunnel:
    """Requests a tunnel and reads the proxy's response."""

    def __init__(self, address: model.Address) -> None:
        self._address = address
        self._buffer = b""

    def make_request(self) -> bytes:
        """Returns the CONNECT request."""
        return (
            f"CONNECT {self._address} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        ).encode()

    def receive(self, data: bytes) -> bytes | None:
        """Returns the bytes after the proxy's response, None if incomplete.

        Raises:
            LinkError: if the proxy refuses or its response is too long.
        """
        self._buffer += data
        head, separator, rest = self._buffer.partition(_HEAD_END)
        if not separator:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise exceptions.LinkError("proxy-refused", "response too long")
            return None
        status = head.split(b"\r\n", 1)[0]
        fields = status.split(b" ")
        if not fields[0].startswith(b"HTTP/1.") or fields[1:2] != [b"200"]:
            raise exceptions.LinkError("proxy-refused", repr(status[:80]))
        return rest
