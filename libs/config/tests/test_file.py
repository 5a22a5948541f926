"""Tests of operators' files, sections and their encodings."""

import pathlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from filbertlift_config import exceptions
from filbertlift_config import file
from filbertlift_config import keys
from filbertlift_config import section as codec
from filbertlift_core import model

DOCS = pathlib.Path(__file__).parents[3] / "docs"
ARCHIVE = b"""
service = "archive"
callers = ["law-firms", "enquiry-desk"]
slots = 18
[freshness]
max_age = "15s"
when_stale = "refuse"
[[records]]
path = "/partners/kilbride"
moved_to = "kilbride-custody"
[[operations]]
method = "GET"
path = "/status"
class = "check"
idempotent = true
deadline = "500ms"
retries = 1
hedge = true
"""

NAMES = st.from_regex(r"[a-z0-9]([a-z0-9-]{0,8}[a-z0-9])?", fullmatch=True)
PATHS = st.from_regex(r"(/[a-z]{1,3}){1,3}", fullmatch=True)
OPERATIONS = st.builds(
    codec.Operation,
    method=st.sampled_from(["GET", "POST"]),
    path=PATHS,
    work_class=st.sampled_from(model.WorkClass),
    idempotent=st.just(True),
    deadline_ms=st.integers(10, 86_400_000),
    retries=st.integers(0, 5),
    hedge=st.booleans(),
)
SECTIONS = st.builds(
    codec.Section,
    name=NAMES,
    callers=st.sets(NAMES, max_size=4).map(lambda names: tuple(sorted(names))),
    slots=st.integers(1, 10_000),
    queue=st.integers(0, 100_000),
    operations=st.lists(
        OPERATIONS, max_size=4, unique_by=lambda item: (item.path, item.method)
    ).map(lambda rows: tuple(sorted(rows, key=lambda r: (r.path, r.method)))),
)


def parse_problems(data: bytes) -> list[str]:
    section, problems = file.parse_file(data, "f")
    assert section is None
    return [str(problem) for problem in problems]


def test_file_gives_the_section_with_defaults() -> None:
    """Guards against values that are lost or wrongly converted."""
    section, problems = file.parse_file(ARCHIVE, "f")
    assert section is not None and not problems
    assert section.callers == ("enquiry-desk", "law-firms")
    assert (section.slots, section.connections) == (18, 100)
    assert section.freshness == codec.Freshness(15_000, "refuse")
    assert section.operations[0].deadline_ms == 500
    assert section.operations[0].work_class is model.WorkClass.CHECK


def test_all_errors_are_reported_at_once() -> None:
    """Guards against reporting only the first error of a file."""
    data = b"""
service = "Archive"
slots = true
pace = 3
[freshness]
max_age = "15 s"
[[operations]]
method = "GET"
class = "urgent"
"""
    found = "\n".join(parse_problems(data))
    for key in (
        "service",
        "slots",
        "pace",
        "freshness.max_age",
        "operations[1].path",
        "operations[1].class",
    ):
        assert key in found


@pytest.mark.parametrize(
    ("data", "start"),
    [
        (b'service = "a"\nslots = \n', "f:2: not TOML"),
        (b'service = "a"\n# \xff\n', "f:2: not UTF-8"),
        (b"#" * (file.MAX_FILE_BYTES + 1), "f: 65537 bytes"),
        (b"x = " + b"[" * 60_000, "f: not TOML"),
        (b"x = " + b"9" * 60_000, "f: not TOML"),
        (b'service = "a"\ncaller = "b"\n', "f: service: exactly one"),
        (b'caller = "a"\nslots = 1\n', "f: slots: only a service"),
    ],
)
def test_errors_name_file_line_key_and_reason(data: bytes, start: str) -> None:
    """Guards against errors that do not say what to correct, and where."""
    assert any(text.startswith(start) for text in parse_problems(data))


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_hostile_files_give_problems_and_no_other_error(data: bytes) -> None:
    """Guards against a file that crashes the operator's command."""
    section, problems = file.parse_file(data, "f")
    assert (section is None) == bool(problems)


@given(SECTIONS)
def test_section_encoding_round_trips(section: codec.Section) -> None:
    """Guards against values that are lost or altered in stored sections."""
    assert codec.decode_section(codec.encode_section(section)) == section


@given(SECTIONS, st.data())
def test_hostile_sections_raise_only_the_library_error(
    section: codec.Section, data: st.DataObject
) -> None:
    """Guards against bytes from a peer that crash a node."""
    good = codec.encode_section(section)
    start = data.draw(st.integers(0, len(good)))
    end = data.draw(st.integers(start, len(good)))
    middle = data.draw(st.binary(max_size=20))
    hostile = good[:start] + middle + good[end:]
    try:
        decoded = codec.decode_section(hostile)
    except exceptions.SectionError:
        return
    assert codec.encode_section(decoded) == hostile


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([key.name for key in keys.KEYS] + ["records"]),
            inner,
        )
    ),
    max_leaves=12,
)


@given(st.dictionaries(st.sampled_from(["operations", "identity"]), JSON), JSON)
def test_hostile_values_raise_only_the_library_error(
    content: dict[str, object], slots: object
) -> None:
    """Guards against a crash on a value of an unexpected type."""
    data = codec.encode_canonical({"service": "a", "slots": slots, **content})
    with pytest.raises(exceptions.SectionError):
        codec.decode_section(data)


def make_service(name: str, *moves: tuple[str, str]) -> codec.Section:
    records = tuple(codec.Record(path, moved_to) for path, moved_to in moves)
    return codec.Section(name, records=records)


def test_references_and_cycles_are_reported() -> None:
    """Guards against routes to unknown services and cycles of hand-overs."""
    unknown = codec.Section("a", callers=("b",), records=(
        codec.Record("/x", "c"),
    ))  # fmt: skip
    reasons = [str(problem) for problem in file.check_sections([unknown])]
    assert "'b'" in reasons[0] and "'c'" in reasons[1]
    cycle = [make_service("a", ("/x", "b")), make_service("b", ("/x/y", "a"))]
    assert "cycle: a -> b -> a" in str(file.check_sections(cycle)[0])
    apart = [make_service("a", ("/x", "b")), make_service("b", ("/y", "a"))]
    assert not file.check_sections(apart)
    twice = [make_service("a"), make_service("a")]
    assert "twice" in str(file.check_sections(twice)[0])
    chain = [make_service(f"s{i}", ("/x", f"s{i + 1}")) for i in range(9)]
    problems = file.check_sections([*chain, make_service("s9")])
    assert [problem.path for problem in problems] == ["s0"]


def test_documentation_has_every_key() -> None:
    """Guards against a page with a wrong default or range of a key."""
    text = (DOCS / "configuration.md").read_text(encoding="utf-8")
    for key in keys.KEYS:
        assert keys.format_row(key) in text, key.path
