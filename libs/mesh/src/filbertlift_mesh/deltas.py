"""A configuration as its difference from an earlier one.

The bytes of a configuration are mostly those of the version before. They are
cut into pieces at the ends of its records, and a delta names runs of pieces
that the receiver has. What the bytes mean plays no part, and a digest of the
result keeps a delta from being applied to another base.
"""

from collections.abc import Iterator
import hashlib
from typing import Final

import attrs

from filbertlift_mesh import exceptions

# Ends of records in the text of a configuration.
SEPARATOR: Final = b"},"
DIGEST_BYTES: Final = 16


@attrs.frozen
class Delta:
    """How a value is made from a base.

    Attributes:
        digest: of the value that results.
        steps: either bytes to add, or start and end of a run of the base.
    """

    digest: bytes
    steps: tuple[bytes | tuple[int, int], ...]


def make_delta(base: bytes, value: bytes) -> Delta:
    """Returns how to make a value from a base."""
    places: dict[bytes, int] = {}
    for start, piece in _iterate_pieces(base):
        places.setdefault(piece, start)
    steps: list[bytes | tuple[int, int]] = []
    for _start, piece in _iterate_pieces(value):
        found = places.get(piece)
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


def apply_delta(base: bytes, delta: Delta) -> bytes:
    """Returns the value that a delta makes from a base.

    Raises:
        DeltaError: if the delta was made for another base.
    """
    value = b"".join(
        step if isinstance(step, bytes) else base[step[0] : step[1]]
        for step in delta.steps
    )
    if compute_digest(value) != delta.digest:
        raise exceptions.DeltaError("the delta belongs to another base")
    return value


def compute_digest(value: bytes) -> bytes:
    """Returns the digest by which a value is known."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


def _iterate_pieces(value: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields each piece with its start."""
    start = 0
    while start < len(value):
        found = value.find(SEPARATOR, start)
        end = len(value) if found < 0 else found + len(SEPARATOR)
        yield start, value[start:end]
        start = end
