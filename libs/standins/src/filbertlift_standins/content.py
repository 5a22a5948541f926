"""Response bodies that both the target and the caller can derive.

Each block of a download is derived from the request id and the position of
the block. The caller therefore detects a block that is missing, repeated, out
of place or from another request without a digest sent ahead.
"""

from collections.abc import Iterator
import hashlib

import attrs

BLOCK_BYTES = 65_536


def make_block(request_id: str, index: int) -> bytes:
    """Returns one block of the download for a request."""
    pattern = hashlib.sha256(f"{request_id}/{index}".encode()).digest()
    return pattern * (BLOCK_BYTES // len(pattern))


def iterate_blocks(request_id: str, length: int) -> Iterator[bytes]:
    """Yields the content of a download; the last block may be shorter."""
    for index in range((length + BLOCK_BYTES - 1) // BLOCK_BYTES):
        left = length - index * BLOCK_BYTES
        yield make_block(request_id, index)[:left]


def make_body(name: str, request_id: str, body: bytes) -> bytes:
    """Returns the body of a response that is not a download."""
    digest = hashlib.sha256(body).hexdigest()
    return f"{name} {request_id} {digest}\n".encode()


def is_response_to(data: bytes, request_id: str, body: bytes) -> bool:
    """Returns whether a body is complete and belongs to the request."""
    name = data.partition(b" ")[0].decode("latin-1")
    return data == make_body(name, request_id, body)


@attrs.define
class ContentCheck:
    """Compares a download with the expected content as it arrives.

    Attributes:
        request_id: id of the request for the download.
        received: number of bytes compared.
        matches: whether all bytes so far were as expected.
    """

    request_id: str
    received: int = 0
    matches: bool = True
    _block: bytes = b""

    def feed(self, data: bytes) -> None:
        """Compares the next part of the download."""
        start = 0
        while start < len(data) and self.matches:
            index, offset = divmod(self.received, BLOCK_BYTES)
            if offset == 0:
                self._block = make_block(self.request_id, index)
            part = data[start : start + BLOCK_BYTES - offset]
            self.matches = self._block[offset : offset + len(part)] == part
            self.received += len(part)
            start += len(part)
