"""Tests of the choice of the hosts that watch the store."""

import pytest

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import watchers

NORTH = model.Place("north", "n-1")
SOUTH = model.Place("south", "s-1")


def make_record(number, place=NORTH, has_store=True, **fields):
    return directory.HostRecord(
        model.Address(f"10.0.0.{number}", 7000),
        1,
        0,
        place,
        fields.get("is_leaving", False),
        None,
        has_store,
        fields.get("link_kbps", 7_000),
    )


def make_table(own, *others, now=0.0):
    """Returns the directory of a host that all others have just contacted."""
    table = directory.Directory(own)
    table.merge_records(others, now)
    for record in others:
        table.note_heard(record.address, now)
    return table


def list_watchers(records, now=0.0):
    return [
        own
        for own in records
        if watchers.is_watcher(make_table(own, *(set(records) - {own})), now)
    ]


def rank_all(records):
    return sorted(records, key=watchers.rank_watcher, reverse=True)


def test_two_hosts_of_each_region_watch():
    north = [make_record(number) for number in range(20)]
    south = [make_record(number, SOUTH) for number in range(20, 40)]
    chosen = list_watchers(north + south)
    assert set(chosen) == {*rank_all(north)[:2], *rank_all(south)[:2]}


def test_two_hosts_watch_when_the_store_answers_none():
    """Guards against a region whose hosts all read the store on its return."""
    records = [make_record(number, has_store=False) for number in range(20)]
    assert set(list_watchers(records)) == set(rank_all(records)[:2])


def test_hosts_that_the_store_answers_watch_first():
    refused = make_record(1, has_store=False, link_kbps=140_000)
    others = [make_record(number) for number in (2, 3)]
    assert list_watchers([refused, *others]) == others


@pytest.mark.parametrize("lost", [1, 2, 4])
def test_members_of_the_group_take_over_from_lost_ones(lost):
    """Guards against late versions until the directory drops lost hosts."""
    records = rank_all([make_record(number) for number in range(20)])
    now = watchers.GROUP_SILENCE_S + 0.1
    chosen = []
    for own in records[lost:]:
        table = make_table(own, *(set(records) - {own}))
        for record in records[lost : watchers.GROUP_SIZE]:
            table.note_heard(record.address, now)
        if watchers.is_watcher(table, now):
            chosen.append(own)
    assert chosen == records[lost : lost + watchers.WATCHERS]


def test_a_host_that_others_report_does_not_count_as_heard():
    """Guards against records of a lost host that are still passed on."""
    records = rank_all([make_record(number) for number in range(3)])
    table = directory.Directory(records[2])
    table.merge_records(records[:2], 0.0)
    assert watchers.is_watcher(table, 0.0)


def test_a_host_watches_while_no_member_of_the_group_answers():
    """Guards against late versions after the loss of a whole group."""
    records = rank_all([make_record(number) for number in range(20)])
    own = records[-1]
    table = make_table(own, *records[:-1])
    watchers.note_probe(table, 1.0)
    assert not watchers.is_watcher(table, 1.0)
    now = 1.1 + watchers.ANSWER_TIMEOUT_S
    table.note_heard(records[10].address, now)
    assert watchers.is_watcher(table, now)
    table.note_heard(records[3].address, now)
    assert not watchers.is_watcher(table, now)


def test_another_probe_does_not_delay_the_loss_of_the_group():
    """Guards against a host that stops watching at each further probe."""
    records = rank_all([make_record(number) for number in range(20)])
    table = make_table(records[-1], *records[:-1])
    watchers.note_probe(table, 1.0)
    now = 1.1 + watchers.ANSWER_TIMEOUT_S
    watchers.note_probe(table, now)
    assert watchers.is_group_lost(table, now)


def test_a_probe_after_an_answer_waits_for_a_new_one():
    """Guards against a group that counts as alive because it once answered."""
    records = rank_all([make_record(number) for number in range(20)])
    table = make_table(records[-1], *records[:-1])
    watchers.note_probe(table, 1.0)
    table.note_heard(records[0].address, 1.1)
    watchers.note_probe(table, 9.0)
    assert not watchers.is_group_lost(table, 9.0)
    assert watchers.is_group_lost(table, 9.1 + watchers.ANSWER_TIMEOUT_S)


def test_a_leaving_host_does_not_watch():
    leaving = make_record(1, is_leaving=True)
    assert not watchers.is_watcher(make_table(leaving), 0.0)
    assert watchers.is_watcher(make_table(make_record(2), leaving), 0.0)


def test_a_leaving_host_does_not_watch_for_a_lost_group():
    leaving = make_record(1, is_leaving=True)
    table = make_table(leaving, make_record(2))
    watchers.note_probe(table, 1.0)
    assert watchers.is_group_lost(table, 2.0)
    assert not watchers.is_watcher(table, 2.0)


def test_only_members_of_the_group_exchange_heartbeats():
    records = rank_all([make_record(number) for number in range(20)])
    group = records[: watchers.GROUP_SIZE]
    for own in records:
        table = make_table(own, *(set(records) - {own}))
        peers = watchers.list_group_peers(table, 0.0)
        expected = set(group) - {own} if own in group else set()
        assert set(peers) == expected


def test_members_that_do_not_watch_stand_by():
    records = rank_all([make_record(number) for number in range(20)])
    standby = [
        own
        for own in records
        if watchers.is_standby(make_table(own, *(set(records) - {own})), 0.0)
    ]
    assert standby == records[watchers.WATCHERS : watchers.GROUP_SIZE]
