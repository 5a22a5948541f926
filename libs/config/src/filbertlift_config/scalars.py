"""Checks of single values in heads, pages and deltas."""

import re
from typing import Any
from typing import Final

from filbertlift_config import exceptions
from filbertlift_config import keys

MAX_VERSION: Final = 2**53

_HASH = re.compile(r"[0-9a-f]{64}")
_PUBLICATION = re.compile(r"[A-Za-z0-9-]{1,64}")


def check_name(name: Any) -> str:
    """Returns the name of a section; raises SnapshotError."""
    try:
        return keys.check_name(name)
    except ValueError as error:
        raise exceptions.SnapshotError("not the name of a section") from error


def check_hash(value: Any) -> str:
    """Returns a SHA-256 in hexadecimal; raises SnapshotError."""
    if not isinstance(value, str) or not _HASH.fullmatch(value):
        raise exceptions.SnapshotError("not a hash")
    return value


def check_version(value: Any) -> int:
    """Returns the number of a version; raises SnapshotError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise exceptions.SnapshotError("not a version")
    if not 0 < value <= MAX_VERSION:
        raise exceptions.SnapshotError("a version is out of range")
    return value


def check_publication(value: Any) -> str:
    """Returns the id of a publication; raises SnapshotError."""
    if not isinstance(value, str) or not _PUBLICATION.fullmatch(value):
        raise exceptions.SnapshotError("not the id of a publication")
    return value
