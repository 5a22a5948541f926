"""Pages: the index of a version's sections, split by name into 64 parts."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs

from filbertlift_config import exceptions
from filbertlift_config import scalars
from filbertlift_config import section as codec
from filbertlift_core import env

PAGE_COUNT: Final = 64
# Stands for the hash in the entry of a removed section. The entry is kept while
# the history has the version of the removal, so that a publisher whose base is
# older than the section can detect that others added and removed it.
REMOVED_HASH: Final = ""


@attrs.frozen
class Entry:
    """Hash and version of one section.

    The version shows that a section was changed and changed back; the hash is
    then the same as if it had never changed.

    Attributes:
        hash: hash of the encoded section; `REMOVED_HASH` if it was removed.
        version: version in which the section last changed.
    """

    hash: str
    version: int

    @property
    def is_removed(self) -> bool:
        """Whether the section was removed."""
        return self.hash == REMOVED_HASH


@attrs.frozen(eq=False)
class Page:
    """One of the 64 pages: the entries of the sections assigned to it.

    Attributes:
        entries: entry by name of the section, removed sections included.
        hash: hash of the encoded page.
    """

    entries: Mapping[str, Entry]
    hash: str

    @classmethod
    def build(cls, entries: Mapping[str, Entry]) -> "Page":
        """Returns the page with these entries."""
        return cls(entries, codec.hash_bytes(encode_page(entries)))

    def list_live(self) -> dict[str, Entry]:
        """Returns the entries of the sections that were not removed."""
        return select_live(self.entries)


@attrs.frozen
class Change:
    """A section that a later version adds or replaces.

    Attributes:
        version: version that adds or replaces the section.
        data: the encoded section.
        section: the decoded section.
    """

    version: int
    data: bytes
    section: codec.Section


def select_live(entries: Mapping[str, Entry]) -> dict[str, Entry]:
    """Returns the entries without those of removed sections."""
    return {
        name: entry for name, entry in entries.items() if not entry.is_removed
    }


def list_forgotten(
    pages: tuple[Page, ...], names: Iterable[str], version: int
) -> list[str]:
    """Returns the sections whose removal is no longer in the history.

    Args:
        pages: the pages before a change.
        names: the sections that change; only their pages are searched.
        version: the newest version that is no longer in the history.
    """
    return sorted(
        name
        for number in {select_page(name) for name in names}
        for name, entry in pages[number].entries.items()
        if entry.is_removed and entry.version <= version
    )


def replace_sections(
    pages: tuple[Page, ...],
    added: Mapping[str, Change],
    removed: Mapping[str, int],
    forgotten: Iterable[str] = (),
) -> tuple[Page, ...]:
    """Returns the pages after a change; only affected ones are encoded.

    Args:
        pages: the pages before the change.
        added: added or replaced section by name.
        removed: version in which a section was removed, by name.
        forgotten: removed sections whose entries are dropped.
    """
    affected: dict[int, dict[str, Entry]] = {}
    for name in (*forgotten, *removed, *added):
        number = select_page(name)
        entries = affected.setdefault(number, dict(pages[number].entries))
        entries.pop(name, None)
        if name in added:
            change = added[name]
            entries[name] = Entry(codec.hash_bytes(change.data), change.version)
        elif name in removed:
            entries[name] = Entry(REMOVED_HASH, removed[name])
    result = list(pages)
    for number, entries in affected.items():
        result[number] = Page.build(entries)
    return tuple(result)


def select_page(name: str) -> int:
    """Returns the number of the page to which a section is assigned."""
    return int(codec.hash_bytes(name.encode("utf-8"))[:2], 16) % PAGE_COUNT


def encode_page(entries: Mapping[str, Entry]) -> bytes:
    """Returns the canonical bytes of a page.

    Raises:
        SnapshotError: if the page is too large for a value of the store.
    """
    data = codec.encode_canonical(
        {name: [entry.hash, entry.version] for name, entry in entries.items()}
    )
    if len(data) > env.MAX_STORE_VALUE_BYTES:
        raise exceptions.SnapshotError("too many sections on one page")
    return data


def decode_page(data: bytes) -> Page:
    """Returns the page in canonical bytes; raises SnapshotError."""
    content = codec.decode_object(
        data, env.MAX_STORE_VALUE_BYTES, exceptions.SnapshotError
    )
    entries = {
        scalars.check_name(name): _decode_entry(row)
        for name, row in content.items()
    }
    if encode_page(entries) != data:
        raise exceptions.SnapshotError("a page is not in canonical form")
    return Page(entries, codec.hash_bytes(data))


def _decode_entry(row: Any) -> Entry:
    if not isinstance(row, list) or len(row) != 2:
        raise exceptions.SnapshotError("an entry is not a list of 2 values")
    return make_entry(row[0], row[1])


def make_entry(digest: Any, version: Any) -> Entry:
    """Returns a checked entry; raises SnapshotError."""
    if digest != REMOVED_HASH:
        digest = scalars.check_hash(digest)
    return Entry(digest, scalars.check_version(version))
