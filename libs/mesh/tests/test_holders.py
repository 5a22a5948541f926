"""Tests of the choice of the peer that is asked for a version."""

from filbertlift_core import model
from filbertlift_mesh import holders

NEAR = [model.Address(f"10.0.0.{number}", 7000) for number in range(3)]
FAR = model.Address("10.1.0.1", 7000)


def is_near(peer):
    return peer in NEAR


def choose_next(found, may_ask_far=True):
    peer = found.choose(is_near, may_ask_far)
    if peer is not None:
        found.note_asked(peer)
    return peer


def test_each_peer_is_asked_before_any_is_asked_again():
    """Guards against repeated requests to a peer that is lost."""
    found = holders.Holders()
    for peer in (FAR, *NEAR):
        found.note(peer, 7)
    asked = [choose_next(found) for _ in range(4)]
    assert set(asked[:3]) == set(NEAR)
    assert asked[3] == FAR
    assert choose_next(found) in NEAR


def test_a_far_peer_is_asked_only_where_allowed():
    found = holders.Holders()
    found.note(FAR, 7)
    assert choose_next(found, may_ask_far=False) is None
    assert choose_next(found) == FAR


def test_all_peers_may_be_asked_again_for_a_newer_version():
    found = holders.Holders()
    found.note(NEAR[0], 7)
    found.note(NEAR[1], 6)
    found.note_asked(NEAR[0])
    assert found.note(NEAR[0], 8)
    assert choose_next(found) == NEAR[0]


def test_peers_without_a_newer_version_are_dropped():
    """Guards against requests to peers that have nothing newer."""
    found = holders.Holders()
    found.note(NEAR[0], 7)
    found.note(NEAR[1], 8)
    found.drop_older(7)
    assert choose_next(found) == NEAR[1]
    found.drop_older(8)
    assert choose_next(found) is None
    assert found.newest == 8
