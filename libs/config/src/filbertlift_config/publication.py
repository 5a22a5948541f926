"""Plans a publication from the base, current and wanted sections."""

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
    """The version that the operator's tree is based on.

    Attributes:
        version: number of the version.
        entries: entry by name of the section, removed sections included.
    """

    version: int
    entries: Mapping[str, paging.Entry]

    def get_hash(self, name: str) -> str | None:
        """Returns the hash of a section, or None if the base has none."""
        entry = self.entries.get(name)
        if entry is None or entry.is_removed:
            return None
        return entry.hash

    def list_names(self) -> set[str]:
        """Returns the names of the sections that were not removed."""
        return set(paging.select_live(self.entries))

    @classmethod
    def from_snapshot(cls, snapshot: snapshots.Snapshot) -> "Base":
        """Returns a base with all entries of a version."""
        entries: dict[str, paging.Entry] = {}
        for page in snapshot.pages:
            entries.update(page.entries)
        return cls(snapshot.version, entries)


@attrs.frozen
class Plan:
    """The version to write.

    Attributes:
        snapshot: the next version; the current one if nothing changes.
        changes: changed section by name; None if it is removed.
    """

    snapshot: snapshots.Snapshot
    changes: Mapping[str, sections.Section | None]


@attrs.frozen
class Conflict:
    """Sections of this publication were changed by others since its base.

    Attributes:
        names: names of these sections, sorted.
        base_version: version that the publication is based on.
        current_version: version that the store has now.
    """

    names: tuple[str, ...]
    base_version: int
    current_version: int


@attrs.frozen
class Invalid:
    """The version that would result is not valid as a whole.

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
    """Returns the version to write, or why there is none.

    If every section that the publication changes is the same in `current` as
    in `base`, the changes are rebased on `current`.

    Args:
        base: version that the publication is based on.
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
    """Returns the problems that the current version has after the changes."""
    merged: dict[str, sections.Section | None] = {**current.sections, **changes}
    kept: Iterable[sections.Section] = (
        section for section in merged.values() if section is not None
    )
    return file.check_sections(kept)


def _has_changed(
    base: paging.Entry | None, current: paging.Entry | None
) -> bool:
    """Returns whether others changed a section since the base."""
    if current is None and base is not None and base.is_removed:
        # The section is still removed; only its entry was dropped since.
        return False
    return current != base


def _hash_section(section: sections.Section | None) -> str | None:
    if section is None:
        return None
    return sections.hash_bytes(sections.encode_section(section))
