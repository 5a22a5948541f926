"""Unit tests of the version state, floors, witnesses and freshness."""

import random

import attrs
import pytest

from filbertlift_core import model
from filbertlift_distribution import exceptions
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import replica
from filbertlift_distribution import versions
from filbertlift_distribution import witnesses

A, B, C = (model.Address("10.0.0.1", port) for port in (1, 2, 3))
WAIT = versions.Decision.WAIT
KEEP = versions.Decision.KEEP
APPLY = versions.Decision.APPLY


@attrs.frozen
class Snapshot:
    version: int
    root: str = "a"


def test_version_never_goes_back() -> None:
    """Guards against use of an older version or one below the floor."""
    state = versions.VersionState()
    assert state.offer(Snapshot(5), is_witnessed=True) is WAIT
    state.set_floor(3)
    assert state.accept(4) is WAIT
    assert state.accept(5) is APPLY
    assert state.offer(Snapshot(4), is_witnessed=True) is KEEP
    state.set_floor(8)
    assert state.offer(Snapshot(7), is_witnessed=True) is KEEP
    assert state.version == 5


def test_store_read_waits_for_a_witness() -> None:
    """Guards against a version that only the reader of the store knows."""
    state = replica.Replica.create(random.Random(1), 0.0)
    state.set_neighbours([A], 0.0)
    state.open_link(A, 0.0)
    found = state.receive_snapshot(Snapshot(5), 0.0, 0.1)
    assert replica.SendReport(A, 5) in found
    assert not state.is_ready and state.state.floor == 5
    found = state.receive_reported(A, 5, 0.2)
    assert found == [replica.PutInForce(Snapshot(5))]


def test_witness_records_a_report() -> None:
    """Guards against a restart below the version that was acknowledged."""
    state = replica.Replica.create(random.Random(1), 0.0)
    state.receive_head(1, 0.0, 0.0)
    state.receive_report(A, 7, 0.1)
    state.receive_report(A, 6, 0.1)
    assert state.receive_ask_floor(A, 0.2) == [replica.SendFloor(A, 7)]


def test_two_contents_of_one_version_are_refused() -> None:
    """Guards against one version number with two different contents."""
    state = versions.VersionState()
    state.offer(Snapshot(5))
    with pytest.raises(exceptions.VersionConflict):
        state.offer(Snapshot(5, "b"))
    assert state.candidate == Snapshot(5)


def test_floor_needs_every_listed_neighbour() -> None:
    """Guards against a start below the version that a slow witness recorded."""
    search = floors.FloorSearch()
    search.set_neighbours([A, B, C], is_complete=True)
    assert [ask.to for ask in search.tick([A, B], 0.0)] == [A, B]
    search.receive_floor(A, 4)
    search.receive_floor(B, 3)
    assert search.result() is None
    search.set_neighbours([A, B], is_complete=False)
    assert search.result() is None
    search.set_neighbours([A, B], is_complete=True)
    assert search.result() == 4
    search.receive_head(6)
    assert search.result() == 6


def test_only_chosen_and_linked_witnesses_count() -> None:
    """Guards against counting a witness that a restarted node does not ask."""
    known = witnesses.Witnesses()
    known.set_chosen([A, B])
    for peer in (A, B, C):
        known.open_link(peer)
    known.record(C, 5)
    assert known.highest() == 0
    known.record(A, 5)
    assert known.highest() == 5
    known.close_link(A)
    known.open_link(A)
    assert known.highest() == 0


def test_reports_are_repeated_to_all_neighbours() -> None:
    """Guards against a version that waits for one unresponsive witness."""
    known = witnesses.Witnesses()
    known.set_chosen([A, B, C])
    for peer in (A, B, C):
        known.open_link(peer)
    assert [report.to for report in known.tick(5, 0.0)] == [A, B]
    assert known.tick(5, 0.1) == []
    assert [report.to for report in known.tick(5, 0.6)] == [A, B, C]


def test_freshness_of_a_newer_version_waits_for_it() -> None:
    """Guards against an old version that a newer one's age marks as fresh."""
    tracker = freshness.Freshness(version=4)
    tracker.confirm(5, 1.0, 10.0)
    assert tracker.is_stale(100.0, 10.0)
    tracker.put_in_force(5)
    assert not tracker.is_stale(2.0, 10.0)
    assert tracker.is_stale(2.0, 12.0)


def test_lower_head_does_not_confirm_the_version_in_force() -> None:
    """Guards against a store without its data that marks a route as fresh."""
    state = replica.Replica.create(random.Random(1), 0.0)
    state.receive_snapshot(Snapshot(3), 0.0, 0.0)
    state.tick(1.0)
    assert state.state.version == 3
    state.receive_head(0, 0.0, 20.0)
    assert state.tracker.is_stale(10.0, 20.0)
