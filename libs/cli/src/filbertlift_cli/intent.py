"""Computes what a publication of a tree changes."""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from filbertlift_cli import tree as trees
from filbertlift_config import file
from filbertlift_config import page as paging
from filbertlift_config import publication as planning
from filbertlift_config import section as codec
from filbertlift_config import snapshot as snapshots


@attrs.frozen
class Scope:
    """The flags that limit or extend a publication.

    Attributes:
        only: names to publish; empty for the whole tree.
        remove: names to remove.
        replace: names to publish even if others have changed them.
    """

    only: frozenset[str] = frozenset()
    remove: frozenset[str] = frozenset()
    replace: frozenset[str] = frozenset()


@attrs.frozen
class Intent:
    """What is to be published.

    Attributes:
        base: version and entries that the tree is based on.
        wanted: the wanted section by name; None removes it.
        problems: reasons why it cannot be published.
    """

    base: planning.Base
    wanted: Mapping[str, codec.Section | None]
    problems: tuple[file.Problem, ...]


def make_intent(
    tree: trees.Tree,
    scope: Scope,
    recorded_base: planning.Base | None,
    current: snapshots.Snapshot,
) -> Intent:
    """Returns what a publication of a tree changes.

    Args:
        tree: the files, without problems.
        scope: the flags.
        recorded_base: content of the base file; None without one, in which case
            the tree counts as based on the current version.
        current: current version in the store.
    """
    base = recorded_base or planning.Base.from_snapshot(current)
    problems = _check_scope(tree, scope, base)
    names = scope.only or tree.sections.keys()
    wanted: dict[str, codec.Section | None] = {
        name: tree.sections[name] for name in names if name in tree.sections
    }
    wanted.update(dict.fromkeys(scope.remove))
    base = _replace_entries(base, scope.replace, current)
    return Intent(base, wanted, tuple(problems))


def _check_scope(
    tree: trees.Tree, scope: Scope, base: planning.Base
) -> list[file.Problem]:
    problems = []
    for name in sorted(scope.only - tree.sections.keys()):
        problems.append(_make_problem(name, "--only names no file of the tree"))
    for name in sorted(scope.remove & tree.sections.keys()):
        reason = f"--remove names it, but {tree.paths[name]} defines it"
        problems.append(_make_problem(name, reason))
    if scope.only:
        return problems
    for name in _find_missing(tree, scope, base):
        reason = (
            f"in version {base.version} but not in the tree; restore its file "
            f"or add --remove {name}"
        )
        problems.append(_make_problem(name, reason))
    return problems


def _find_missing(
    tree: trees.Tree, scope: Scope, base: planning.Base
) -> Collection[str]:
    covered = tree.sections.keys() | scope.remove
    return sorted(base.list_names() - covered)


def _make_problem(name: str, reason: str) -> file.Problem:
    return file.Problem(name, 0, "", reason)


def _replace_entries(
    base: planning.Base,
    names: Collection[str],
    current: snapshots.Snapshot,
) -> planning.Base:
    """Returns the base with the entries of `current` for the named sections."""
    if not names:
        return base
    entries: dict[str, paging.Entry] = dict(base.entries)
    for name in names:
        entry = current.get_entry(name)
        entries.pop(name, None)
        if entry is not None:
            entries[name] = entry
    return planning.Base(base.version, entries)


def collect_known_sections(tree: trees.Tree) -> dict[str, bytes]:
    """Returns the encoded sections of a tree by hash.

    These need not be read from the store.
    """
    encoded = map(codec.encode_section, tree.sections.values())
    return {codec.hash_bytes(data): data for data in encoded}


def collect_known_pages(base: planning.Base | None) -> dict[str, bytes]:
    """Returns the encoded pages of a base by hash.

    These need not be read from the store.
    """
    if base is None:
        return {}
    entries: dict[int, dict[str, paging.Entry]] = {}
    for name, entry in base.entries.items():
        entries.setdefault(paging.select_page(name), {})[name] = entry
    pages = map(paging.encode_page, entries.values())
    return {codec.hash_bytes(data): data for data in pages}
