"""Tests of versions, deltas, rebasing, routes and tokens."""

from typing import Any
from unittest import mock

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from filbertlift_config import delta as deltas
from filbertlift_config import exceptions
from filbertlift_config import head as heads
from filbertlift_config import page as paging
from filbertlift_config import publication as planning
from filbertlift_config import routes
from filbertlift_config import section as codec
from filbertlift_config import snapshot as snapshots
from filbertlift_config import tokens

EMPTY = snapshots.Snapshot.empty()
CHANGES = st.dictionaries(
    st.sampled_from("abcdefgh"), st.none() | st.integers(1, 3), max_size=4
)


def make_version(
    old: snapshots.Snapshot, changes: dict[str, Any], publication: str = "p"
) -> snapshots.Snapshot:
    """Returns the next version; integers stand for slots."""
    sections = {
        name: codec.Section(name, slots=value)
        if isinstance(value, int)
        else value
        for name, value in changes.items()
    }
    return old.advance(sections, publication)


def rebuild(snapshot: snapshots.Snapshot) -> snapshots.Snapshot:
    """Returns the snapshot built from its encoded parts."""
    contents = {}
    for section in snapshot.sections.values():
        data = codec.encode_section(section)
        contents[codec.hash_bytes(data)] = data
    head = heads.decode_head(heads.encode_head(snapshot.head))
    pages = [paging.encode_page(page.entries) for page in snapshot.pages]
    return snapshots.Snapshot.build(head, pages, contents)


@given(st.lists(CHANGES, min_size=1, max_size=70), st.integers(0, 69))
def test_delta_gives_the_version_that_was_built(
    steps: list[dict[str, int | None]], start: int
) -> None:
    """Guards against a node whose version differs from the store's."""
    versions = [EMPTY]
    for number, changes in enumerate(steps):
        versions.append(make_version(versions[-1], changes, f"p{number}"))
    old = versions[min(start, len(versions) - 2)]
    new = versions[-1]
    data = deltas.encode_delta(deltas.make_delta(old, new))
    result = deltas.apply_delta(old, deltas.decode_delta(data))
    assert result.head == new.head
    assert result.sections == new.sections == rebuild(new).sections


def test_altered_or_misdirected_delta_is_refused() -> None:
    """Guards against applying a delta without checking its root."""
    one = make_version(EMPTY, {"a": 1, "b": 1})
    two = make_version(one, {"a": 2})
    delta = deltas.make_delta(one, two)
    other = codec.Section("a", slots=3)
    forged = paging.Change(2, codec.encode_section(other), other)
    bad = [
        attrs.evolve(delta, changed={"a": forged}),
        attrs.evolve(delta, changed={}),
        attrs.evolve(delta, removed={"b": 2}),
        attrs.evolve(delta, forgotten=("b",)),
        attrs.evolve(delta, base_version=2),
    ]
    for item in bad:
        assert _is_refused(one, item)
    assert _is_refused(EMPTY, delta)
    head = attrs.evolve(two.head, root=one.root)
    with pytest.raises(exceptions.SnapshotError):
        snapshots.verify_snapshot(attrs.evolve(two, head=head))


def _is_refused(old: snapshots.Snapshot, delta: deltas.Delta) -> bool:
    try:
        deltas.apply_delta(old, delta)
    except exceptions.SnapshotError:
        return True
    return False


def test_incomplete_or_altered_version_is_refused() -> None:
    """Guards against putting a part of a version in force."""
    version = make_version(EMPTY, {"a": 1})
    pages = [paging.encode_page(page.entries) for page in version.pages]
    data = codec.encode_section(codec.Section("a", slots=2))
    entry = version.get_entry("a")
    assert entry is not None
    for contents in ({}, {entry.hash: data}):
        with pytest.raises(exceptions.SnapshotError):
            snapshots.Snapshot.build(version.head, pages, contents)
    with pytest.raises(exceptions.SnapshotError):
        snapshots.Snapshot.build(version.head, [pages[0]] * 64, {})
    unknown = codec.Section("b", callers=("nobody",))
    with pytest.raises(exceptions.SnapshotError):
        version.advance({"b": unknown}, "p")


@given(st.binary(max_size=60), st.integers(0, 2_000), st.integers(0, 40))
def test_hostile_heads_pages_and_deltas_raise_only_the_library_error(
    data: bytes, start: int, length: int
) -> None:
    """Guards against bytes from a peer or the store that crash a node."""
    version = make_version(EMPTY, {"a": 1})
    delta = deltas.make_delta(EMPTY, version)
    page = version.pages[paging.select_page("a")]
    for good, decode in (
        (heads.encode_head(version.head), heads.decode_head),
        (paging.encode_page(page.entries), paging.decode_page),
        (deltas.encode_delta(delta), deltas.decode_delta),
    ):
        try:
            decode(good[:start] + data + good[start + length :])
        except exceptions.SnapshotError:
            continue


def make_large_snapshot() -> snapshots.Snapshot:
    return make_version(
        EMPTY, {f"service-{number}": 1 for number in range(810)}
    )


def test_delta_of_one_section_reads_and_hashes_one_section() -> None:
    """Guards against work on all 810 services when one of them changes."""
    old = make_large_snapshot()
    new = make_version(old, {"service-7": 2})
    data = deltas.encode_delta(deltas.make_delta(old, new))
    assert len(data) < 1_024
    with (
        mock.patch.object(
            codec, "decode_section", wraps=codec.decode_section
        ) as decode,
        mock.patch.object(
            paging, "encode_page", wraps=paging.encode_page
        ) as encode,
    ):
        result = deltas.apply_delta(old, deltas.decode_delta(data))
    assert (decode.call_count, encode.call_count) == (1, 1)
    assert result.sections["service-8"] is old.sections["service-8"]
    table = routes.compile_routes(old)
    with mock.patch.object(
        routes, "_compile_service", wraps=routes._compile_service
    ) as compile_one:
        routes.compile_routes(result, table)
    assert compile_one.call_count == 1


def test_rebase_keeps_other_changes_and_reports_conflicts() -> None:
    """Guards against overwriting what another operator published."""
    one = make_version(EMPTY, {"a": 1, "b": 1})
    base = planning.Base.from_snapshot(one)
    two = make_version(one, {"b": 2})
    wanted = {"a": codec.Section("a", slots=5), "b": one.sections["b"]}
    plan = planning.plan_publication(base, two, wanted, "q")
    assert isinstance(plan, planning.Plan)
    assert plan.snapshot.sections["b"].slots == 2
    back = make_version(make_version(two, {"a": 9}), {"a": 1})
    found = planning.plan_publication(base, back, wanted, "q")
    assert found == planning.Conflict(("a",), 1, 4)
    broken = {"a": codec.Section("a", callers=("nobody",))}
    result = planning.plan_publication(base, two, broken, "q")
    assert isinstance(result, planning.Invalid)


def make_routed_snapshot() -> snapshots.Snapshot:
    archive = codec.Section(
        "archive",
        callers=("desk",),
        records=(codec.Record("/partners/kilbride", "custody"),),
        operations=(
            codec.Operation("GET", "/status", retries=1),
            codec.Operation("GET", "/status/long", retries=2),
        ),
    )
    custody = codec.Section(
        "custody",
        callers=("firms",),
        operations=(codec.Operation("GET", "/", deadline_ms=90),),
    )
    caller = codec.Section("firms", kind="caller")
    return make_version(
        EMPTY,
        {"archive": archive, "custody": custody, "firms": caller, "desk": 1},
    )


def test_longest_prefix_of_whole_segments_is_the_operation() -> None:
    """Guards against running a call by the rules of another operation."""
    table = routes.compile_routes(make_routed_snapshot())
    for path, retries in (
        ("/status", 1),
        ("/status/long/x/y/z", 2),
        ("/status/longer", 1),
        ("/statuses", 0),
        ("/", 0),
        ("", 0),
    ):
        route = table.find("archive", "GET", path, "desk")
        assert (route.service, route.retries) == ("archive", retries), path
    assert table.find("archive", "POST", "/status", "desk").operation == ""


def test_records_are_followed_and_rights_are_those_of_the_new_service() -> None:
    """Guards against a caller of the old service that keeps its rights."""
    table = routes.compile_routes(make_routed_snapshot())
    path = "/partners/kilbride/7"
    route = table.find("archive", "GET", path, "firms")
    assert (route.service, route.deadline_s) == ("custody", 0.09)
    with pytest.raises(exceptions.CallerRefusedError):
        table.find("archive", "GET", path, "desk")
    with pytest.raises(exceptions.CallerRefusedError):
        table.find("archive", "GET", "/partners/kilbrides", "firms")
    for name in ("nobody", "firms"):
        with pytest.raises(exceptions.UnknownServiceError):
            table.find(name, "GET", "/", "desk")


def test_route_names_the_version_in_which_it_last_changed() -> None:
    """Guards against a keeper that treats a changed route as an older one."""
    one = make_routed_snapshot()
    table = routes.compile_routes(one)
    changed = attrs.evolve(one.sections["custody"], slots=3)
    two = make_version(one, {"custody": changed})
    three = make_version(two, {"custody": one.sections["custody"]})
    table = routes.compile_routes(three, table)
    assert table.version == 3
    assert table.find("archive", "GET", "/", "desk").version == 1
    moved = table.find("archive", "GET", "/partners/kilbride", "firms")
    assert moved.version == 3
    assert table.service_policy("custody").slots == 16


def make_snapshot_with_keys(*keys: str) -> snapshots.Snapshot:
    caller = codec.Section("firms", kind="caller", keys=keys)
    return make_version(EMPTY, {"firms": caller})


def test_token_is_verified_once_and_expires() -> None:
    """Guards against a signature check per call, and unlimited lifetimes."""
    pair = tokens.generate_key()
    verifier = tokens.TokenVerifier.from_snapshot(
        make_snapshot_with_keys(pair.public_key)
    )
    token = tokens.sign_token(pair.private_key, "firms", 1_000, 60)
    with mock.patch.object(
        tokens, "_split_token", wraps=tokens._split_token
    ) as split:
        assert [verifier.verify(token, 1_000) for _ in range(3)] == (
            ["firms"] * 3
        )
    assert split.call_count == 1
    with pytest.raises(exceptions.TokenError):
        verifier.verify(token, 1_060)
    with pytest.raises(exceptions.TokenError):
        verifier.verify(token, 1_000 - tokens.MAX_LIFETIME_S - 1)


def test_keys_rotate_and_tokens_of_a_withdrawn_key_are_refused() -> None:
    """Guards against accepting a cached token after its key was withdrawn."""
    old, new = tokens.generate_key(), tokens.generate_key()
    first = tokens.TokenVerifier.from_snapshot(
        make_snapshot_with_keys(old.public_key)
    )
    token = tokens.sign_token(old.private_key, "firms", 0, 60)
    first.verify(token, 0)
    both = make_snapshot_with_keys(old.public_key, new.public_key)
    second = tokens.TokenVerifier.from_snapshot(both, first)
    renewed = tokens.sign_token(new.private_key, "firms", 0, 60)
    assert second.verify(token, 0) == second.verify(renewed, 0) == "firms"
    last = make_snapshot_with_keys(new.public_key)
    third = tokens.TokenVerifier.from_snapshot(last, second)
    assert third.verify(renewed, 0) == "firms"
    assert token not in third._cache
    with pytest.raises(exceptions.TokenError):
        third.verify(token, 0)


def test_cache_of_tokens_is_bounded() -> None:
    """Guards against memory that grows with every token ever verified."""
    pair = tokens.generate_key()
    verifier = tokens.TokenVerifier.from_snapshot(
        make_snapshot_with_keys(pair.public_key), cache_size=2
    )
    for lifetime in (10, 20, 30):
        token = tokens.sign_token(pair.private_key, "firms", 0, lifetime)
        verifier.verify(token, 0)
    assert len(verifier._cache) == 2


@given(st.text(max_size=80) | st.from_regex(r"firms\.[0-9]+\.[A-Za-z_-]*"))
def test_hostile_tokens_raise_only_the_library_error(token: str) -> None:
    """Guards against a caller that can crash a node with a header."""
    pair = tokens.KeyPair("", "NPpyP4zDnkNsR0r3yGLdUuNsfTz3gp1YEmMGdDEp1kY=")
    verifier = tokens.TokenVerifier.from_snapshot(
        make_snapshot_with_keys(pair.public_key)
    )
    with pytest.raises(exceptions.TokenError):
        verifier.verify(token, 0)


def test_section_added_and_removed_since_the_base_is_a_conflict() -> None:
    """Guards against adding a section that another operator has removed."""
    base = planning.Base.from_snapshot(EMPTY)
    later = make_version(make_version(EMPTY, {"a": 1}), {"a": None})
    wanted = {"a": codec.Section("a")}
    result = planning.plan_publication(base, later, wanted, "q")
    assert isinstance(result, planning.Conflict)


def test_section_can_be_added_again_if_the_base_has_its_removal() -> None:
    """Guards against a conflict with a removal that the base includes."""
    removed = make_version(make_version(EMPTY, {"a": 1}), {"a": None})
    base = planning.Base.from_snapshot(removed)
    wanted = {"a": codec.Section("a")}
    assert isinstance(
        planning.plan_publication(base, removed, wanted, "q"), planning.Plan
    )


def test_entry_of_a_removed_section_is_dropped_with_the_history() -> None:
    """Guards against pages that grow with every section ever removed."""
    version = make_version(make_version(EMPTY, {"a": 1}), {"a": None})
    base = planning.Base.from_snapshot(version)
    other = find_name_on_same_page("a")
    for number in range(heads.HISTORY_LENGTH + 1):
        version = make_version(version, {other: 1 + number % 3})
    assert version.get_entry("a") is None
    wanted = {"a": codec.Section("a")}
    assert isinstance(
        planning.plan_publication(base, version, wanted, "q"), planning.Plan
    )


def test_entry_of_a_removed_section_is_kept_with_the_history() -> None:
    """Guards against dropping the entry at the next change of its page."""
    version = make_version(make_version(EMPTY, {"a": 1}), {"a": None})
    version = make_version(version, {find_name_on_same_page("a"): 1})
    base = planning.Base.from_snapshot(EMPTY)
    wanted = {"a": codec.Section("a")}
    result = planning.plan_publication(base, version, wanted, "q")
    assert isinstance(result, planning.Conflict)


def find_name_on_same_page(name: str) -> str:
    """Returns the name of a section on the same page."""
    page = paging.select_page(name)
    return next(
        other
        for other in (f"n{number}" for number in range(1_000))
        if paging.select_page(other) == page
    )
