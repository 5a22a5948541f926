"""Snapshot: one complete, verified version of the configuration."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from filbertlift_config import exceptions
from filbertlift_config import file
from filbertlift_config import head as heads
from filbertlift_config import page as paging
from filbertlift_config import section as codec


@attrs.frozen(eq=False)
class Parts:
    """The verified pages and sections of a version.

    Attributes:
        pages: the 64 pages.
        sections: section by name.
    """

    pages: tuple[paging.Page, ...]
    sections: Mapping[str, codec.Section]


@attrs.frozen(eq=False)
class Snapshot:
    """A version with all its pages and sections.

    Build it by a class method or by `apply_delta`; both verify it. Unchanged
    pages and sections are shared between versions.

    Attributes:
        head: the head of the version.
        pages: the 64 pages.
        sections: section by name.
    """

    head: heads.Head
    pages: tuple[paging.Page, ...]
    sections: Mapping[str, codec.Section]

    @property
    def version(self) -> int:
        """Number of the version."""
        return self.head.version

    @property
    def root(self) -> str:
        """Hash over the pages."""
        return self.head.root

    def get_entry(self, name: str) -> paging.Entry | None:
        """Returns the entry of a section, removed or not, or None."""
        return self.pages[paging.select_page(name)].entries.get(name)

    @classmethod
    def empty(cls) -> "Snapshot":
        """Returns version 0, which has no sections."""
        pages = tuple(paging.Page.build({}) for _ in range(paging.PAGE_COUNT))
        hashes = tuple(page.hash for page in pages)
        return cls(
            heads.Head(0, heads.hash_pages(hashes), "", hashes, ()), pages, {}
        )

    @classmethod
    def build(
        cls,
        head: heads.Head,
        pages: Iterable[bytes],
        contents: Mapping[str, bytes],
        base: "Snapshot | None" = None,
    ) -> "Snapshot":
        """Returns the snapshot of encoded parts, after verifying each of them.

        Args:
            head: the decoded head.
            pages: the 64 encoded pages in order.
            contents: encoded section by hash; sections that `base` has under
                the same name and hash may be left out.
            base: an older snapshot whose unchanged sections are reused.

        Raises:
            SnapshotError: if a part is missing, altered or invalid.
        """
        parts = build_parts(head.pages, head.version, pages, contents, base)
        return verify_snapshot(cls(head, parts.pages, parts.sections))

    def advance(
        self,
        changes: Mapping[str, codec.Section | None],
        publication: str,
    ) -> "Snapshot":
        """Returns the next version with some sections replaced or removed.

        Args:
            changes: new section by name; None removes it.
            publication: id of the publication.

        Raises:
            SnapshotError: if the result is not valid as a whole.
        """
        version = self.version + 1
        added = {
            name: paging.Change(version, codec.encode_section(section), section)
            for name, section in changes.items()
            if section is not None
        }
        removed = {
            name: version
            for name, section in changes.items()
            if section is None and name in self.sections
        }
        forgotten = paging.list_forgotten(
            self.pages, (*added, *removed), version - heads.HISTORY_LENGTH
        )
        pages = paging.replace_sections(self.pages, added, removed, forgotten)
        hashes = tuple(page.hash for page in pages)
        record = heads.VersionRecord(
            version, publication, heads.hash_pages(hashes)
        )
        head = heads.make_head(self.head, hashes, (record,))
        return verify_snapshot(
            Snapshot(head, pages, merge_sections(self.sections, added, removed))
        )


def build_parts(
    hashes: tuple[str, ...],
    version: int,
    pages: Iterable[bytes],
    contents: Mapping[str, bytes],
    base: "Snapshot | None" = None,
) -> Parts:
    """Returns the parts of a version, after verifying each by its hash.

    Args:
        hashes: hash of each of the 64 pages.
        version: number of the version.
        pages: the encoded pages in order.
        contents: encoded section by hash.
        base: an older snapshot whose unchanged sections are reused.

    Raises:
        SnapshotError: if a part is missing, altered or invalid.
    """
    decoded = tuple(paging.decode_page(data) for data in pages)
    if tuple(page.hash for page in decoded) != hashes:
        raise exceptions.SnapshotError("pages do not match their hashes")
    found: dict[str, codec.Section] = {}
    for number, page in enumerate(decoded):
        for name, entry in page.entries.items():
            if paging.select_page(name) != number:
                raise exceptions.SnapshotError(f"{name} is on the wrong page")
            if entry.version > version:
                raise exceptions.SnapshotError(f"{name} has a later version")
            if entry.is_removed:
                continue
            found[name] = _resolve_section(name, entry, contents, base)
    return Parts(decoded, found)


def _resolve_section(
    name: str,
    entry: paging.Entry,
    contents: Mapping[str, bytes],
    base: Snapshot | None,
) -> codec.Section:
    known = base.get_entry(name) if base is not None else None
    if base is not None and known is not None and known.hash == entry.hash:
        return base.sections[name]
    data = contents.get(entry.hash)
    if data is None or codec.hash_bytes(data) != entry.hash:
        raise exceptions.SnapshotError(f"section {name} is missing or altered")
    return read_section(name, data)


def read_section(name: str, data: bytes) -> codec.Section:
    """Returns the decoded section after checking its name.

    Raises:
        SnapshotError: if the bytes are invalid or have another name.
    """
    try:
        section = codec.decode_section(data)
    except exceptions.SectionError as error:
        raise exceptions.SnapshotError(f"{name}: {error.message}") from error
    if section.name != name:
        raise exceptions.SnapshotError(f"{name} is called {section.name}")
    return section


def verify_snapshot(snapshot: Snapshot) -> Snapshot:
    """Returns the snapshot if its head and its sections are consistent.

    Raises:
        SnapshotError: if they are not.
    """
    heads.check_head(snapshot.head)
    problems = file.check_sections(snapshot.sections.values())
    if problems:
        text = "; ".join(str(problem) for problem in problems[:5])
        raise exceptions.SnapshotError(f"version is not valid: {text}")
    return snapshot


def merge_sections(
    old: Mapping[str, codec.Section],
    added: Mapping[str, paging.Change],
    removed: Iterable[str],
) -> dict[str, codec.Section]:
    """Returns the sections with some replaced, added or removed."""
    merged = dict(old)
    for name in removed:
        merged.pop(name, None)
    merged.update({name: change.section for name, change in added.items()})
    return merged
