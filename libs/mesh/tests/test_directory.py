"""Tests of the records of hosts and their merges."""

import random

import attrs
import hypothesis
from hypothesis import strategies

from filbertlift_core import model
from filbertlift_mesh import directory


def make_record(number, incarnation_ms=1, revision=0, target=None):
    return directory.HostRecord(
        model.Address(f"10.0.0.{number}", 7000),
        incarnation_ms,
        revision,
        model.Place("north", "n-1"),
        False,
        target,
        False,
    )


def test_an_older_record_never_replaces_a_newer_one():
    table = directory.Directory(make_record(1))
    newer = make_record(2, incarnation_ms=5, revision=3)
    assert table.merge_records([newer], 0.0)
    for old in (make_record(2, 5, 2), make_record(2, 4, 9), newer):
        assert not table.merge_records([old], 0.0)
    assert table.find_record(newer.address) == newer


def test_a_peer_cannot_change_the_record_of_this_host():
    table = directory.Directory(make_record(1))
    other = make_record(1, 99, 99)
    assert not table.merge_records([attrs.evolve(other, is_leaving=True)], 0.0)
    assert not table.own.is_leaving


def test_the_record_of_an_earlier_node_on_this_host_is_superseded():
    """Guards against a clock set back, after which peers ignore this node."""
    table = directory.Directory(make_record(1, incarnation_ms=5))
    row = directory.DigestRow(table.own.address, 9, 3, 1)
    difference = table.merge_digest([row], 0.0)
    assert table.own.stamp > (9, 3)
    assert difference.newer_here == (table.own,)


def test_a_host_without_heartbeats_is_silent_until_the_next_one():
    table = directory.Directory(make_record(1))
    other = make_record(2)
    table.merge_records([other], 0.0)
    assert table.list_live(8.0) == [other]
    assert table.list_live(8.1) == []
    row = directory.DigestRow(other.address, 1, 0, 4)
    table.merge_digest([row], 9.0)
    assert table.list_live(9.0) == [other]


def test_a_repeated_heartbeat_does_not_keep_a_host_live():
    """Guards against a dead host that stays live through repeated digests."""
    table = directory.Directory(make_record(1))
    other = make_record(2)
    table.merge_records([other], 0.0)
    row = directory.DigestRow(other.address, 1, 0, 4)
    for second in range(1, 20):
        table.merge_digest([row], float(second))
    assert table.list_live(19.0) == []


def test_a_digest_shows_what_each_side_lacks():
    table = directory.Directory(make_record(1))
    table.merge_records([make_record(2, 5), make_record(3, 1)], 0.0)
    rows = [
        directory.DigestRow(make_record(2).address, 4, 0, 1),
        directory.DigestRow(make_record(3).address, 2, 0, 1),
        directory.DigestRow(make_record(1).address, 1, 0, 1),
    ]
    difference = table.merge_digest(rows, 0.0)
    assert [r.address.host for r in difference.newer_here] == ["10.0.0.2"]
    assert [a.host for a in difference.wanted] == ["10.0.0.3"]


@hypothesis.given(strategies.randoms(use_true_random=False))
def test_merges_in_any_order_give_the_same_records(rng: random.Random):
    records = [
        make_record(number, incarnation, revision)
        for number in (2, 3)
        for incarnation in (1, 2)
        for revision in (0, 1)
    ]
    shuffled = records * 2
    rng.shuffle(shuffled)
    table = directory.Directory(make_record(1))
    for record in shuffled:
        table.merge_records([record], 0.0)
    assert sorted(record.stamp for record in table.list_live(0.0)) == [
        (2, 1),
        (2, 1),
    ]


def test_an_unchanged_record_gets_no_new_revision():
    table = directory.Directory(make_record(1))
    assert not table.update_own(attrs.evolve(table.own))
    assert table.update_own(attrs.evolve(table.own, is_leaving=True))
    assert table.own.revision == 1


def test_a_silent_host_is_kept_for_a_while():
    """Guards against two regions that stay separate after a partition."""
    table = directory.Directory(make_record(1))
    other = make_record(2)
    table.merge_records([other], 0.0)
    table.drop_silent(120.0)
    assert table.list_silent(120.0) == [other]
    table.note_heard(other.address, 120.0)
    assert table.list_live(120.0) == [other]
    table.drop_silent(120.0 + directory.FORGET_TIMEOUT_S + 1.0)
    assert table.find_record(other.address) is None
