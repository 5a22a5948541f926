"""Head and history: what names one version of the configuration."""

from collections.abc import Iterable
from typing import Any
from typing import Final

import attrs

from filbertlift_config import exceptions
from filbertlift_config import page as paging
from filbertlift_config import scalars
from filbertlift_config import section as codec
from filbertlift_core import env

HISTORY: Final = 64


@attrs.frozen
class VersionRecord:
    """One line of the history.

    Attributes:
        version: number of the version; each is one above the one before.
        publication: id that the publisher drew.
        root: hash over the pages of the version.
    """

    version: int
    publication: str
    root: str


@attrs.frozen
class Head:
    """What the store's head names.

    Attributes:
        version: number of the version; 0 is the empty version.
        root: hash over the page hashes.
        publication: id of the publication that made the version.
        pages: hash of each of the 64 pages.
        history: the last 64 versions, the one of the head last.
    """

    version: int
    root: str
    publication: str
    pages: tuple[str, ...]
    history: tuple[VersionRecord, ...]


def make_head(
    old: Head,
    pages: tuple[str, ...],
    records: tuple[VersionRecord, ...],
) -> Head:
    """Returns the head after further versions, of which the last counts."""
    last = records[-1]
    history = (*old.history, *records)[-HISTORY:]
    return Head(last.version, last.root, last.publication, pages, history)


def hash_pages(pages: Iterable[str]) -> str:
    """Returns the root: the hash over the page hashes."""
    return codec.hash_bytes("".join(pages).encode("ascii"))


def check_head(head: Head) -> None:
    """Raises SnapshotError unless the head agrees with itself."""
    if hash_pages(head.pages) != head.root:
        raise exceptions.SnapshotError("the root does not match the pages")
    check_history(head.history, head.version)
    if head.version == 0:
        return
    last = head.history[-1]
    if (last.publication, last.root) != (head.publication, head.root):
        raise exceptions.SnapshotError("the history does not end in the head")


def check_history(history: tuple[VersionRecord, ...], version: int) -> None:
    """Raises SnapshotError unless the history leads up to the version."""
    if len(history) != min(version, HISTORY):
        raise exceptions.SnapshotError("the history has a wrong length")
    first = version - len(history) + 1
    for offset, record in enumerate(history):
        if record.version != first + offset:
            raise exceptions.SnapshotError("the history has a gap")


def encode_head(head: Head) -> bytes:
    """Returns the bytes that the store holds under the head's key."""
    return codec.encode_canonical(
        {
            "version": head.version,
            "root": head.root,
            "publication": head.publication,
            "pages": list(head.pages),
            "history": encode_records(head.history),
        }
    )


def decode_head(data: bytes) -> Head:
    """Returns the head in these bytes; raises SnapshotError."""
    content = codec.decode_object(
        data, env.MAX_STORE_VALUE_BYTES, exceptions.SnapshotError
    )
    pages = content.get("pages")
    if not isinstance(pages, list) or len(pages) != paging.PAGES:
        raise exceptions.SnapshotError(f"a head has {paging.PAGES} pages")
    history = decode_records(content.get("history"))
    if not history:
        raise exceptions.SnapshotError("a head has a history")
    last = history[-1]
    head = Head(
        scalars.check_version(content.get("version")),
        scalars.check_hash(content.get("root")),
        last.publication,
        tuple(scalars.check_hash(page) for page in pages),
        history,
    )
    check_head(head)
    if encode_head(head) != data:
        raise exceptions.SnapshotError("a head is not in its canonical form")
    return head


def encode_records(records: Iterable[VersionRecord]) -> list[list[Any]]:
    """Returns the history as JSON lists."""
    return [[item.version, item.publication, item.root] for item in records]


def decode_records(rows: Any) -> tuple[VersionRecord, ...]:
    """Returns the history in JSON lists; raises SnapshotError."""
    if not isinstance(rows, list) or len(rows) > HISTORY:
        raise exceptions.SnapshotError("not a history")
    records = []
    for row in rows:
        if not isinstance(row, list) or len(row) != 3:
            raise exceptions.SnapshotError("not a line of a history")
        records.append(
            VersionRecord(
                scalars.check_version(row[0]),
                scalars.check_publication(row[1]),
                scalars.check_hash(row[2]),
            )
        )
    return tuple(records)
