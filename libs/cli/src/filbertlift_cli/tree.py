"""Tree of operators' files: search, parsing and checks.

Every problem of a tree is reported, not just the first.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import os
import pathlib

import attrs

from filbertlift_config import file
from filbertlift_config import section as codec


@attrs.frozen
class Tree:
    """Sections and problems of the files of a tree.

    Attributes:
        root: top folder.
        sections: section by name.
        paths: path of the file that defines a section, by section name.
        problems: every problem within a file, and every duplicate name.
    """

    root: pathlib.Path
    sections: Mapping[str, codec.Section]
    paths: Mapping[str, str]
    problems: tuple[file.Problem, ...]


def find_files(root: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yields the operators' files below a folder, in order of their paths."""
    for folder, children, names in os.walk(root):
        children.sort()
        if file.FILE_NAME in names:
            yield pathlib.Path(folder, file.FILE_NAME)


def read_tree(root: pathlib.Path) -> Tree:
    """Returns the sections and problems of a tree of files."""
    problems: list[file.Problem] = []
    sections: dict[str, codec.Section] = {}
    paths: dict[str, str] = {}
    found = list(find_files(root))
    if not found:
        reason = f"no file named {file.FILE_NAME} below this folder"
        problems.append(file.Problem(str(root), 0, "", reason))
    for path in found:
        section, faults = _read_file(path)
        problems += faults
        if section is None:
            continue
        if section.name in sections:
            reason = f"{section.name!r} is also in {paths[section.name]}"
            problems.append(file.Problem(str(path), 0, section.kind, reason))
            continue
        sections[section.name] = section
        paths[section.name] = str(path)
    return Tree(root, sections, paths, tuple(problems))


def _read_file(
    path: pathlib.Path,
) -> tuple[codec.Section | None, list[file.Problem]]:
    try:
        with path.open("rb") as stream:
            # One byte over the limit is enough for the parser to report it.
            data = stream.read(file.MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
        return None, [file.Problem(str(path), 0, "", reason)]
    return file.parse_file(data, str(path))


def check_tree(tree: Tree) -> list[file.Problem]:
    """Returns every problem of a tree, including references between files."""
    problems = list(tree.problems)
    # References to a section whose file is not valid would be reported as
    # unknown, which would point the operator to the wrong file.
    if not problems:
        problems += file.check_sections(tree.sections.values())
    return locate(tree, problems)


def locate(tree: Tree, problems: list[file.Problem]) -> list[file.Problem]:
    """Returns the problems with section names replaced by file paths."""
    return [
        attrs.evolve(item, path=tree.paths.get(item.path, item.path))
        for item in problems
    ]
