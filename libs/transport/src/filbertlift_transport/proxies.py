"""Tunnels through an HTTP CONNECT proxy."""

from filbertlift_core import model
from filbertlift_transport import exceptions

MAX_HEAD_BYTES = 8_192
_END = b"\r\n\r\n"


class Tunnel:
    """Waits for the proxy's answer to a CONNECT request."""

    def __init__(self, address: model.Address) -> None:
        self._address = address
        self._buffer = b""

    def make_request(self) -> bytes:
        """Returns the request for the tunnel."""
        return (
            f"CONNECT {self._address} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        ).encode()

    def receive(self, data: bytes) -> bytes | None:
        """Returns the bytes after the proxy's answer, None until it is whole.

        Raises:
            LinkError: if the proxy refuses.
        """
        self._buffer += data
        head, end, rest = self._buffer.partition(_END)
        if not end:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise exceptions.LinkError("proxy-refused", "answer too long")
            return None
        status = head.split(b"\r\n", 1)[0]
        words = status.split(b" ")
        if not words[0].startswith(b"HTTP/1.") or words[1:2] != [b"200"]:
            raise exceptions.LinkError("proxy-refused", repr(status[:80]))
        return rest
