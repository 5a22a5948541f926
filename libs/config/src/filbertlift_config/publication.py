"""Publication: what to write after comparing base, current and wanted."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from filbertlift_config import exceptions
from filbertlift_config import file
from filbertlift_config import page as paging
from filbertlift_config import section as sections
from filbertlift_config import snapshot as snapshots


@attrs.frozen
class Base:
    """What the operator's tree was made from.

    Attributes:
        version: number of the version.
        entries: hash and version of each section by name, removed ones
            included.
    """

    version: int
    entries: Mapping[str, paging.Entry]

    def get_hash(self, name: str) -> str | None:
        """Returns the hash of a section, or None when there is none."""
        entry = self.entries.get(name)
        if entry is None or entry.is_removed:
            return None
        return entry.hash

    def list_names(self) -> set[str]:
        """Returns the names of the sections that are there."""
        return set(paging.select_live(self.entries))

    @classmethod
    def from_snapshot(cls, snapshot: snapshots.Snapshot) -> "Base":
        """Returns the base that a whole version is."""
        entries: dict[str, paging.Entry] = {}
        for page in snapshot.pages:
            entries.update(page.entries)
        return cls(snapshot.version, entries)


@attrs.frozen
class Plan:
    """The version to write.

    Attributes:
        snapshot: the next version; the current one when nothing changes.
        changes: the sections that it changes; None removes.
    """

    snapshot: snapshots.Snapshot
    changes: Mapping[str, sections.Section | None]


@attrs.frozen
class Conflict:
    """Others changed sections that this publication changes too.

    Attributes:
        names: names of these sections, sorted.
        base_version: version that the publisher started from.
        current_version: version that the store has now.
    """

    names: tuple[str, ...]
    base_version: int
    current_version: int


@attrs.frozen
class Invalid:
    """The result would not be valid as a whole.

    Attributes:
        problems: every problem found.
    """

    problems: tuple[file.Problem, ...]


def plan_publication(
    base: Base,
    current: snapshots.Snapshot,
    wanted: Mapping[str, sections.Section | None],
    publication: str,
) -> Plan | Conflict | Invalid:
    """Returns what to write so that the wanted sections hold.

    A section that the publication changes must be in `current` as it was in
    `base`; then the change is rebased on `current`.

    Args:
        base: what the publisher started from.
        current: version that the store has now.
        wanted: the wanted section by name; None removes it.
        publication: id of the publication.
    """
    changes = {
        name: section
        for name, section in wanted.items()
        if _hash_section(section) != base.get_hash(name)
    }
    conflicts = [
        name
        for name in changes
        if _has_changed(base.entries.get(name), current.get_entry(name))
    ]
    if conflicts:
        return Conflict(tuple(sorted(conflicts)), base.version, current.version)
    if not changes:
        return Plan(current, {})
    problems = check_changes(current, changes)
    if problems:
        return Invalid(tuple(problems))
    try:
        return Plan(current.advance(changes, publication), changes)
    except exceptions.SnapshotError as error:
        return Invalid((file.Problem("version", 0, "", error.message),))


def check_changes(
    current: snapshots.Snapshot,
    changes: Mapping[str, sections.Section | None],
) -> list[file.Problem]:
    """Returns the problems of a version with some sections changed."""
    merged: dict[str, sections.Section | None] = {**current.sections, **changes}
    kept: Iterable[sections.Section] = (
        section for section in merged.values() if section is not None
    )
    return file.check_sections(kept)


def _has_changed(base: paging.Entry | None, now: paging.Entry | None) -> bool:
    """Returns whether others changed a section since the base."""
    if now is None and base is not None and base.is_removed:
        # It is still removed; only the entry was dropped since.
        return False
    return now != base


def _hash_section(section: sections.Section | None) -> str | None:
    if section is None:
        return None
    return sections.hash_bytes(sections.encode_section(section))
