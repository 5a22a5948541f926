"""Content of the answers, which both target and caller can derive.

A download consists of blocks derived from the request's id and the block's
position, so that a block that is missing, repeated, out of place or from
another request is found by comparison, without a digest sent ahead.
"""

from collections.abc import Iterator
import hashlib

import attrs

BLOCK_BYTES = 65_536


def make_block(request_id: str, index: int) -> bytes:
    """Returns one block of the download that belongs to a request."""
    label = hashlib.sha256(f"{request_id}/{index}".encode()).digest()
    return label * (BLOCK_BYTES // len(label))


def iterate_blocks(request_id: str, length: int) -> Iterator[bytes]:
    """Yields the content of a download; the last block may be shorter."""
    for index in range((length + BLOCK_BYTES - 1) // BLOCK_BYTES):
        left = length - index * BLOCK_BYTES
        yield make_block(request_id, index)[:left]


def make_answer(name: str, request_id: str, body: bytes) -> bytes:
    """Returns the answer to a request that is not a download."""
    digest = hashlib.sha256(body).hexdigest()
    return f"{name} {request_id} {digest}\n".encode()


def is_answer_to(answer: bytes, request_id: str, body: bytes) -> bool:
    """Returns whether an answer is whole and belongs to the request."""
    name = answer.partition(b" ")[0].decode("latin-1")
    return answer == make_answer(name, request_id, body)


@attrs.define
class ContentCheck:
    """Compares a download with the content expected as it arrives.

    Attributes:
        request_id: id of the request that the download answers.
        received: bytes received.
        agrees: whether all bytes so far were as expected.
    """

    request_id: str
    received: int = 0
    agrees: bool = True
    _block: bytes = b""

    def feed(self, data: bytes) -> None:
        """Compares the next part of the download."""
        start = 0
        while start < len(data) and self.agrees:
            index, offset = divmod(self.received, BLOCK_BYTES)
            if offset == 0:
                self._block = make_block(self.request_id, index)
            part = data[start : start + BLOCK_BYTES - offset]
            self.agrees = self._block[offset : offset + len(part)] == part
            self.received += len(part)
            start += len(part)
