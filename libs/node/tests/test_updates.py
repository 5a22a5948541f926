"""Tests of splitting updates into frames and assembling them."""

import zlib

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from filbertlift_config import delta
from filbertlift_config import exceptions
from filbertlift_config import section
from filbertlift_config import snapshot
from filbertlift_node import updates
from filbertlift_wire import messages

EMPTY = snapshot.Snapshot.empty()
CALLER = section.Section(name="agents", kind="caller")
FIRST = EMPTY.advance({"agents": CALLER}, "one")
SECOND = FIRST.advance({"more": attrs.evolve(CALLER, name="more")}, "two")


def read(parts: list[messages.Update]) -> delta.Delta | None:
    reader = updates.UpdateReader()
    found = None
    for part in parts:
        found = reader.receive(part)
    return found


def test_delta_leads_from_a_kept_base_to_the_version() -> None:
    """Guards against an update that results in another version."""
    cache = updates.SnapshotCache()
    cache.add(FIRST)
    found = read(cache.list_parts(1, SECOND))
    assert found is not None
    assert delta.apply_delta(FIRST, found).root == SECOND.root


def test_whole_version_is_sent_for_a_base_that_is_not_kept() -> None:
    """Guards against a node that can't catch up after many missed versions."""
    found = read(updates.SnapshotCache().list_parts(1, SECOND))
    assert found is not None
    assert delta.apply_delta(EMPTY, found).root == SECOND.root


def test_snapshots_kept_are_bounded() -> None:
    """Guards against a cache that grows with each version."""
    cache = updates.SnapshotCache()
    current = EMPTY
    for number in range(updates.KEPT_SNAPSHOTS + 2):
        changed = attrs.evolve(CALLER, name=f"agents{number}")
        current = current.advance({changed.name: changed}, f"id{number}")
        cache.add(current)
    assert cache.get(1) is None
    assert cache.get(current.version) is current


@given(st.binary(max_size=200))
def test_malformed_update_raises_only_config_errors(data: bytes) -> None:
    """Guards against an unhandled exception caused by a peer's data."""
    for content in (data, zlib.compress(data)):
        with pytest.raises(exceptions.ConfigError):
            read([messages.Update(0, True, content)])


def test_update_that_expands_without_bound_is_refused() -> None:
    """Guards against a small frame that exhausts the memory."""
    oversized = zlib.compress(bytes(get_max_delta_bytes() + 1))
    with pytest.raises(exceptions.ConfigError, match="too large"):
        read([messages.Update(0, True, oversized)])


def get_max_delta_bytes() -> int:
    return delta.MAX_DELTA_BYTES
