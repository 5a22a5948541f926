"""Parses operators' files into sections and reports all errors at once."""

from collections.abc import Iterable
import re
import tomllib
from typing import Final

import attrs

from filbertlift_config import section as sections

FILE_NAME: Final = "filbertlift.toml"
MAX_FILE_BYTES: Final = 65_536
# Records can be handed over again by the service that received them. A longer
# chain of hand-overs is treated as a mistake.
MAX_HAND_OVERS: Final = 8

_LINE = re.compile(r"at line (\d+)")


@attrs.frozen
class Problem:
    """One error in the configuration, as it is shown to an operator.

    Attributes:
        path: path of the file, or the name of the section.
        line: line in the file; 0 if it is not known.
        key: key such as `operations[2].class`; empty for the whole file.
        reason: what is wrong, and what is allowed.
    """

    path: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.path}:{self.line}" if self.line else self.path
        if self.key:
            place = f"{place}: {self.key}"
        return f"{place}: {self.reason}"


def parse_file(
    data: bytes, path: str
) -> tuple[sections.Section | None, list[Problem]]:
    """Returns the section of a file, or every problem found in it."""
    if len(data) > MAX_FILE_BYTES:
        reason = f"{len(data)} bytes are more than {MAX_FILE_BYTES}"
        return None, [Problem(path, 0, "", reason)]
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return None, [Problem(path, line, "", "not UTF-8")]
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = _LINE.search(str(error))
        line = int(match[1]) if match else 0
        return None, [Problem(path, line, "", f"not TOML: {error}")]
    except (RecursionError, ValueError) as error:
        # tomllib recurses into nested arrays and refuses very long integers.
        return None, [Problem(path, 0, "", f"not TOML: {error}")]
    section, faults = sections.build_section(content)
    return section, [
        Problem(path, 0, fault.key, fault.reason) for fault in faults
    ]


def check_sections(all_sections: Iterable[sections.Section]) -> list[Problem]:
    """Returns the problems that concern several sections of a version.

    They are duplicate names, unknown services and callers, and records whose
    hand-overs form a cycle or a chain of more than `MAX_HAND_OVERS` hand-overs.
    """
    problems: list[Problem] = []
    by_name: dict[str, sections.Section] = {}
    for section in all_sections:
        if section.name in by_name:
            problems.append(Problem(section.name, 0, "", "name used twice"))
        by_name[section.name] = section
    for section in by_name.values():
        problems += _check_references(section, by_name)
    if not problems:
        for section in by_name.values():
            problems += _check_hand_overs(section, by_name)
    return problems


def _check_references(
    section: sections.Section, by_name: dict[str, sections.Section]
) -> list[Problem]:
    problems = []
    for caller in section.callers:
        if caller not in by_name:
            reason = f"unknown service or caller {caller!r}"
            problems.append(Problem(section.name, 0, "callers", reason))
    for number, record in enumerate(section.records, start=1):
        target = by_name.get(record.moved_to)
        if target is None or target.kind != "service":
            key = f"records[{number}].moved_to"
            reason = f"unknown service {record.moved_to!r}"
            problems.append(Problem(section.name, 0, key, reason))
    return problems


def _check_hand_overs(
    section: sections.Section, by_name: dict[str, sections.Section]
) -> list[Problem]:
    problems = []
    for number, record in enumerate(section.records, start=1):
        reason = _follow_hand_overs(section.name, record, by_name)
        if reason is not None:
            key = f"records[{number}].moved_to"
            problems.append(Problem(section.name, 0, key, reason))
    return problems


def _follow_hand_overs(
    start: str, record: sections.Record, by_name: dict[str, sections.Section]
) -> str | None:
    """Returns what is wrong with the hand-overs of a record, or None."""
    pending: list[tuple[sections.Record, tuple[str, ...]]] = [
        (record, (start,))
    ]
    while pending:
        record, chain = pending.pop()
        if record.moved_to in chain:
            names = " -> ".join((*chain, record.moved_to))
            return f"the hand-overs lead in a cycle: {names}"
        chain = (*chain, record.moved_to)
        if len(chain) > MAX_HAND_OVERS + 1:
            return f"more than {MAX_HAND_OVERS} hand-overs in a row"
        for next_record in by_name[record.moved_to].records:
            path = _find_overlap(record.path, next_record.path)
            if path is not None:
                pending.append((attrs.evolve(next_record, path=path), chain))
    return None


def _find_overlap(one: str, other: str) -> str | None:
    """Returns the longer of two paths if the other is its prefix, or None.

    Prefixes consist of whole segments, and a path is a prefix of itself.
    """
    long, short = (one, other) if len(one) >= len(other) else (other, one)
    below = short if short == "/" else short + "/"
    return long if long == short or long.startswith(below) else None
