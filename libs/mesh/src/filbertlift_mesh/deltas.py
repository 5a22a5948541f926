"""Binary deltas between two versions of a configuration.

Most bytes of a version also occur in the version before. Both are split into
pieces at the ends of their records, and a delta refers to runs of pieces of the
base, which the receiver has. The pieces are not parsed. A digest of the result
detects that a delta is applied to another base.

`filbertlift_config.delta` instead replaces whole sections and checks the result
against the root of the version.
"""

from collections.abc import Iterator
import hashlib
from typing import Final

import attrs

from filbertlift_mesh import exceptions

# End of a record in the text of a configuration.
SEPARATOR: Final = b"},"
DIGEST_BYTES: Final = 16


@attrs.frozen
class Delta:
    """Instructions that rebuild a value from a base.

    Attributes:
        digest: digest of the resulting value.
        steps: each is either literal bytes, or start and end of a range of the
            base to copy.
    """

    digest: bytes
    steps: tuple[bytes | tuple[int, int], ...]


def make_delta(base: bytes, value: bytes) -> Delta:
    """Returns the delta that rebuilds a value from a base."""
    offsets: dict[bytes, int] = {}
    for start, piece in _iterate_pieces(base):
        offsets.setdefault(piece, start)
    steps: list[bytes | tuple[int, int]] = []
    for _start, piece in _iterate_pieces(value):
        found = offsets.get(piece)
        last = steps[-1] if steps else None
        if found is None:
            if isinstance(last, bytes):
                steps[-1] = last + piece
            else:
                steps.append(piece)
        elif isinstance(last, tuple) and last[1] == found:
            steps[-1] = (last[0], found + len(piece))
        else:
            steps.append((found, found + len(piece)))
    return Delta(compute_digest(value), tuple(steps))


def apply_delta(base: bytes, delta: Delta, max_bytes: int) -> bytes:
    """Returns the value that a delta rebuilds from a base.

    Raises:
        DeltaError: if the delta was made for another base, or the value has
            more than `max_bytes` bytes.
    """
    parts: list[bytes] = []
    left = max_bytes
    for step in delta.steps:
        part = step if isinstance(step, bytes) else base[step[0] : step[1]]
        left -= len(part)
        if left < 0:
            raise exceptions.DeltaError(f"more than {max_bytes} bytes")
        parts.append(part)
    value = b"".join(parts)
    if compute_digest(value) != delta.digest:
        raise exceptions.DeltaError("the delta was made for another base")
    return value


def compute_digest(value: bytes) -> bytes:
    """Returns the digest that identifies a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


def _iterate_pieces(value: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the offset and the bytes of each piece."""
    start = 0
    while start < len(value):
        found = value.find(SEPARATOR, start)
        end = len(value) if found < 0 else found + len(SEPARATOR)
        yield start, value[start:end]
        start = end
