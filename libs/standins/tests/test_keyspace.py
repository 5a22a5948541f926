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


def test_a_change_is_all_or_nothing(keys):
    keys.change((), [Put("a", b"1")], ())
    with pytest.raises(keyspace.ConflictError):
        keys.change([("b", 0), ("a", 99)], [Put("b", b"2")], ())
    assert keys.get("b") is None


def test_a_key_that_must_not_exist_is_checked(keys):
    keys.change([("a", 0)], [Put("a", b"1")], ())
    with pytest.raises(keyspace.ConflictError):
        keys.change([("a", 0)], [Put("a", b"2")], ())


def test_keys_go_with_their_lease(keys, clock):
    lease = keys.grant(5.0)
    keys.change((), [Put("a", b"1", lease)], ())
    clock.advance(4.0)
    keys.keep(lease)
    clock.advance(4.0)
    assert keys.get("a") is not None
    clock.advance(2.0)
    assert keys.get("a") is None
    with pytest.raises(keyspace.NoLeaseError):
        keys.keep(lease)


def test_a_watch_hears_of_changes_of_its_prefix_alone(keys):
    heard = []
    keys.watch("a/", keys.revision, 9.0, heard.append)
    keys.change((), [Put("b/1", b"1")], ())
    assert heard == []
    keys.change((), [Put("a/1", b"1")], ())
    assert [item.key for item in heard[0]] == ["a/1"]


def test_a_watch_hears_what_it_missed_at_once(keys):
    before = keys.revision
    keys.change((), [Put("a", b"1")], ())
    keys.change((), (), ["a"])
    heard = []
    keys.watch("a", before, 9.0, heard.append)
    assert [item.value for item in heard[0]] == [b"1", None]


def test_a_watch_ends_without_changes(keys, clock):
    heard = []
    keys.watch("a", keys.revision, 2.0, heard.append)
    clock.advance(2.0)
    assert heard == [[]]


def test_a_watch_behind_the_history_is_refused(keys):
    before = keys.revision
    keys.change((), [Put("a", b"1")], ())
    keys.forget_history()
    with pytest.raises(keyspace.CompactedError):
        keys.watch("a", before, 2.0, lambda _events: None)


def test_a_list_comes_in_pages(keys, monkeypatch):
    monkeypatch.setattr(keyspace, "PAGE_ITEMS", 2)
    keys.change((), [Put(f"a{n}", b"1") for n in range(3)], ())
    page, more = keys.list_range("a", "")
    assert [item.key for item in page] == ["a0", "a1"]
    assert more
    page, more = keys.list_range("a", "a1")
    assert [item.key for item in page] == ["a2"]
    assert not more
