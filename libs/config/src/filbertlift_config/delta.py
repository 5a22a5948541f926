"""Deltas: the difference between two versions, verified by the root."""

from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs

from filbertlift_config import exceptions
from filbertlift_config import head as heads
from filbertlift_config import page as paging
from filbertlift_config import scalars
from filbertlift_config import section as sections
from filbertlift_config import snapshot as snapshots

# A configuration of 810 services with sections of 64 KB has 53 MB. A delta
# above this limit is refused, and the version is loaded from the store instead.
MAX_DELTA_BYTES: Final = 16_000_000


@attrs.frozen
class Delta:
    """The difference between two versions.

    The pages and the head are left out, since they can be computed from the
    base. A delta of one section is therefore not much larger than the section.

    Attributes:
        base_version: version that the delta applies to.
        base_root: root of the base version.
        records: history after the base version, at most 64 records; the last
            one is the version that the delta leads to.
        changed: added or replaced section by name.
        removed: version in which a section was removed, by name.
        forgotten: removed sections whose entries were dropped from the pages.
    """

    base_version: int
    base_root: str
    records: tuple[heads.VersionRecord, ...]
    changed: Mapping[str, paging.Change]
    removed: Mapping[str, int]
    forgotten: tuple[str, ...] = ()

    @property
    def version(self) -> int:
        """The version that the delta leads to."""
        return self.records[-1].version

    @property
    def root(self) -> str:
        """The root of the version that the delta leads to."""
        return self.records[-1].root


def make_delta(old: snapshots.Snapshot, new: snapshots.Snapshot) -> Delta:
    """Returns the delta from an older to a newer snapshot.

    Raises:
        SnapshotError: if `new` is not newer than `old`.
    """
    if new.version <= old.version:
        raise exceptions.SnapshotError("a delta must lead to a newer version")
    changed: dict[str, paging.Change] = {}
    removed: dict[str, int] = {}
    forgotten: list[str] = []
    for before, after in zip(old.pages, new.pages, strict=True):
        if before.hash == after.hash:
            continue
        forgotten += [
            name for name in before.entries if name not in after.entries
        ]
        for name, entry in after.entries.items():
            if before.entries.get(name) == entry:
                continue
            if entry.is_removed:
                removed[name] = entry.version
            else:
                changed[name] = _make_change(entry, new.sections[name])
    records = tuple(
        record for record in new.head.history if record.version > old.version
    )
    return Delta(
        old.version,
        old.root,
        records,
        changed,
        removed,
        tuple(sorted(forgotten)),
    )


def _make_change(
    entry: paging.Entry, section: sections.Section
) -> paging.Change:
    data = sections.encode_section(section)
    return paging.Change(entry.version, data, section)


def apply_delta(old: snapshots.Snapshot, delta: Delta) -> snapshots.Snapshot:
    """Returns the version that the delta leads to, verified by its root.

    Raises:
        SnapshotError: if the delta is for another base, is invalid, or the
            result does not have the stated root.
    """
    if (delta.base_version, delta.base_root) != (old.version, old.root):
        raise exceptions.SnapshotError("the delta is for a different base")
    if not delta.records or delta.version <= old.version:
        raise exceptions.SnapshotError("the delta leads to no newer version")
    pages = paging.replace_sections(
        old.pages, delta.changed, delta.removed, delta.forgotten
    )
    hashes = tuple(page.hash for page in pages)
    # The head takes its root from the delta, and verify_snapshot compares that
    # root with the pages.
    head = heads.make_head(old.head, hashes, delta.records)
    dropped = (*delta.removed, *delta.forgotten)
    merged = snapshots.merge_sections(old.sections, delta.changed, dropped)
    return snapshots.verify_snapshot(snapshots.Snapshot(head, pages, merged))


def encode_delta(delta: Delta) -> bytes:
    """Returns the canonical bytes of a delta."""
    return sections.encode_canonical(
        {
            "base_version": delta.base_version,
            "base_root": delta.base_root,
            "records": heads.encode_records(delta.records),
            "changed": {
                name: [change.version, change.data.decode("ascii")]
                for name, change in delta.changed.items()
            },
            "removed": dict(delta.removed),
            "forgotten": list(delta.forgotten),
        }
    )


def decode_delta(data: bytes) -> Delta:
    """Returns the delta in these bytes; raises SnapshotError."""
    content = sections.decode_object(
        data, MAX_DELTA_BYTES, exceptions.SnapshotError
    )
    base_version = content.get("base_version")
    if base_version != 0 or isinstance(base_version, bool):
        base_version = scalars.check_version(base_version)
    records = heads.decode_records(content.get("records"))
    if not records:
        raise exceptions.SnapshotError("a delta has no version records")
    return Delta(
        base_version,
        scalars.check_hash(content.get("base_root")),
        records,
        _decode_changed(content.get("changed")),
        _decode_removed(content.get("removed")),
        _decode_forgotten(content.get("forgotten")),
    )


def _decode_changed(rows: Any) -> dict[str, paging.Change]:
    if not isinstance(rows, dict):
        raise exceptions.SnapshotError("changed sections are not an object")
    return {
        scalars.check_name(name): _decode_change(name, row)
        for name, row in rows.items()
    }


def _decode_change(name: str, row: Any) -> paging.Change:
    if not isinstance(row, list) or len(row) != 2:
        raise exceptions.SnapshotError("a change is not a list of 2 values")
    version, text = row
    if not isinstance(text, str) or not text.isascii():
        raise exceptions.SnapshotError("a changed section is not ASCII text")
    data = text.encode("ascii")
    section = snapshots.read_section(name, data)
    return paging.Change(scalars.check_version(version), data, section)


def _decode_removed(rows: Any) -> dict[str, int]:
    if not isinstance(rows, dict):
        raise exceptions.SnapshotError("removed sections are not an object")
    return {
        scalars.check_name(name): scalars.check_version(version)
        for name, version in rows.items()
    }


def _decode_forgotten(rows: Any) -> tuple[str, ...]:
    if not isinstance(rows, list):
        raise exceptions.SnapshotError("forgotten sections are not a list")
    if not all(isinstance(name, str) for name in rows):
        raise exceptions.SnapshotError("a forgotten section is not a name")
    return tuple(rows)
