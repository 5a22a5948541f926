"""Tests of the keys, leases and watches of the store stand-in."""

import pytest
from twisted.internet import task

from filbertlift_standins import keyspace

Put = keyspace.Put


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def keys(clock):
    return keyspace.Keyspace(clock)


def test_a_change_is_atomic(keys):
    """Guards against a conflict that leaves a part of the change in effect."""
    keys.change((), [Put("a", b"1")], ())
    with pytest.raises(keyspace.ConflictError):
        keys.change([("b", 0), ("a", 99)], [Put("b", b"2")], ())
    assert keys.get("b") is None


def test_revision_zero_requires_that_a_key_does_not_exist(keys):
    """Guards against two writers that both create the same key."""
    keys.change([("a", 0)], [Put("a", b"1")], ())
    with pytest.raises(keyspace.ConflictError):
        keys.change([("a", 0)], [Put("a", b"2")], ())


def test_keys_are_removed_when_their_lease_ends(keys, clock):
    """Guards against keys that outlive their lease or are removed too early."""
    lease = keys.grant(5.0)
    keys.change((), [Put("a", b"1", lease)], ())
    clock.advance(4.0)
    keys.keep(lease)
    clock.advance(4.0)
    assert keys.get("a") is not None
    clock.advance(2.0)
    assert keys.get("a") is None
    with pytest.raises(keyspace.LeaseNotFoundError):
        keys.keep(lease)


def test_a_watch_reports_only_changes_of_its_prefix(keys):
    """Guards against a watch that ends on a change of another key."""
    received = []
    keys.watch("a/", keys.revision, 9.0, received.append)
    keys.change((), [Put("b/1", b"1")], ())
    assert received == []
    keys.change((), [Put("a/1", b"1")], ())
    assert [item.key for item in received[0]] == ["a/1"]


def test_a_watch_reports_earlier_changes_at_once(keys):
    """Guards against a change that is lost between two watches."""
    before = keys.revision
    keys.change((), [Put("a", b"1")], ())
    keys.change((), (), ["a"])
    received = []
    keys.watch("a", before, 9.0, received.append)
    assert [item.value for item in received[0]] == [b"1", None]


def test_a_watch_without_changes_times_out(keys, clock):
    """Guards against a watch that never ends."""
    received = []
    keys.watch("a", keys.revision, 2.0, received.append)
    clock.advance(2.0)
    assert received == [[]]


def test_a_watch_before_the_history_is_refused(keys):
    """Guards against a watch that silently misses compacted changes."""
    before = keys.revision
    keys.change((), [Put("a", b"1")], ())
    keys.compact_history()
    with pytest.raises(keyspace.CompactedError):
        keys.watch("a", before, 2.0, lambda _events: None)


def test_a_list_comes_in_pages(keys, monkeypatch):
    """Guards against keys that are missing or repeated between pages."""
    monkeypatch.setattr(keyspace, "PAGE_ITEMS", 2)
    keys.change((), [Put(f"a{n}", b"1") for n in range(3)], ())
    page, more = keys.list_range("a", "")
    assert [item.key for item in page] == ["a0", "a1"]
    assert more
    page, more = keys.list_range("a", "a1")
    assert [item.key for item in page] == ["a2"]
    assert not more
