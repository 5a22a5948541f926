"""Tests of the copies of departures at other hosts."""

import pytest

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import replicas

OWN_PLACE = model.Place("north", "n-1")
OTHER_PLACE = model.Place("south", "s-1")
LEFT = directory.TargetState.LEFT
DRAINING = directory.TargetState.DRAINING


def make_record(number, place=OWN_PLACE, target=None):
    address = model.Address(f"10.0.0.{number}", 7000)
    return directory.HostRecord(address, 1, 0, place, False, target, False)


def make_departure(target_id="i-1", born_ms=5, state=LEFT):
    return directory.TargetRecord(target_id, born_ms, "", 0, state)


OWN = make_record(1)
NEAR = [make_record(number) for number in range(2, 8)]
FAR = [make_record(number, OTHER_PLACE) for number in range(8, 12)]


def test_the_order_of_holders_is_the_same_in_every_node_of_a_host():
    """Guards against a node that asks other hosts than the one before it."""
    ordered = replicas.order_holders(OWN, NEAR + FAR)
    assert ordered == replicas.order_holders(OWN, reversed(NEAR + FAR))
    fewer = replicas.order_holders(OWN, NEAR[1:] + FAR)
    assert [item for item in ordered if item != NEAR[0]][:1] == fewer[:1]


def test_the_first_holders_are_in_different_data_centres():
    """Guards against copies that are lost with one data centre."""
    first = replicas.order_holders(OWN, NEAR + FAR)[:2]
    assert {record.place for record in first} == {OWN_PLACE, OTHER_PLACE}


@pytest.mark.parametrize(
    ("holders", "candidates", "is_enough"),
    [
        ([], [], False),
        ([], NEAR, False),
        (NEAR[:1], NEAR[:1], True),
        (NEAR[:1], NEAR, False),
        (NEAR[:2], NEAR, True),
        (NEAR[:3], NEAR + FAR, False),
        ([NEAR[0], FAR[0]], NEAR + FAR, True),
    ],
)
def test_enough_hosts_hold_a_departure(holders, candidates, is_enough):
    """Guards against an acknowledgement that two lost hosts forget."""
    assert replicas.is_replicated(holders, candidates) is is_enough


@pytest.mark.parametrize(
    ("held", "is_covered"),
    [
        ([], False),
        ([make_departure()], True),
        ([make_departure(born_ms=6, state=DRAINING)], True),
        ([make_departure(state=DRAINING)], False),
        ([make_departure("i-2", born_ms=9)], False),
    ],
)
def test_a_confirmation_counts_for_what_it_names(held, is_covered):
    assert replicas.covers(held, [make_departure()]) is is_covered


def test_a_later_departure_does_not_replace_that_of_another_target():
    held = replicas.Replicas()
    held.hold(OWN.address, [make_departure()], 0.0)
    held.hold(OWN.address, [make_departure(state=DRAINING)], 1.0)
    held.hold(OWN.address, [make_departure("i-2")], 2.0)
    expected = [make_departure(), make_departure("i-2")]
    assert held.list_departures(OWN.address, 3.0) == expected
    assert held.list_departures(NEAR[0].address, 3.0) == []


def test_departures_are_held_within_limits():
    """Guards against memory that grows with departures and hosts."""
    held = replicas.Replicas()
    many = [make_departure(f"i-{number}") for number in range(50)]
    held.hold(OWN.address, many, 0.0)
    assert held.list_departures(OWN.address, 0.0) == many[-replicas.MAX_HELD :]
    later_s = replicas.HOLD_TIMEOUT_S + 1.0
    assert held.list_departures(OWN.address, later_s) == []
    for port in range(1, replicas.MAX_HOSTS + 1):
        held.hold(model.Address("10.0.0.9", port), many, 0.0)
    assert held.list_departures(OWN.address, 0.0) == []


@pytest.mark.parametrize(
    ("born_ms", "state", "is_contradiction"),
    [
        (5, directory.TargetState.READY, True),
        (4, directory.TargetState.READY, True),
        (6, directory.TargetState.READY, False),
        (5, LEFT, False),
    ],
)
def test_a_host_that_offers_a_departed_target_is_noticed(
    born_ms, state, is_contradiction
):
    """Guards against a host that asked others than the holders."""
    held = replicas.Replicas()
    held.hold(OWN.address, [make_departure()], 0.0)
    target = directory.TargetRecord("i-1", born_ms, "a", 3, state)
    record = make_record(1, target=target)
    assert held.contradict(record, 1.0) is is_contradiction


def test_a_node_without_store_and_peers_does_not_use_its_target():
    """Guards against a target that left while nobody could say so."""
    assert not replicas.Recovery().is_complete([], 1_000.0)
    assert not replicas.Recovery().is_complete(NEAR, 1_000.0)


def test_the_first_node_of_all_uses_its_target_at_once():
    recovery = replicas.Recovery()
    recovery.note_list(False, 0.0)
    assert recovery.is_complete([], 0.0)


def test_the_list_alone_is_not_enough_while_others_may_hold_departures():
    """Guards against a departure that peers took while the store was away."""
    recovery = replicas.Recovery()
    recovery.note_list(True, 0.0)
    assert not recovery.is_complete([], 0.5)
    for record in NEAR[:-1]:
        recovery.note_answer(record.address, 0.1)
    assert not recovery.is_complete(NEAR, 0.5)
    recovery.note_answer(NEAR[-1].address, 0.5)
    assert recovery.is_complete(NEAR, 0.5)


def test_lost_hosts_do_not_delay_a_start_for_long():
    """Guards against a stall after a loss of power of all hosts."""
    recovery = replicas.Recovery()
    recovery.note_list(True, 0.0)
    assert recovery.is_complete([], replicas.MAX_RECOVERY_S)
    assert recovery.is_complete(NEAR, replicas.MAX_RECOVERY_S)


def test_without_the_list_other_hosts_are_waited_for():
    """Guards against a node that has met only one of its peers."""
    recovery = replicas.Recovery()
    recovery.note_answer(NEAR[0].address, 0.0)
    assert not recovery.is_complete(NEAR[:1], 0.5)
    assert recovery.is_complete(NEAR[:1], replicas.MAX_RECOVERY_S)
