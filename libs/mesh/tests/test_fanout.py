"""Tests of the number of hosts to which a version is announced."""

import pytest

from filbertlift_mesh import fanout

NARROW_KBPS = 7_000
WIDE_KBPS = 140_000


@pytest.mark.parametrize(
    "origin", [fanout.Origin.STORE, fanout.Origin.FAR_PEER]
)
def test_the_first_host_of_a_region_sends_a_small_version_to_many(origin):
    """Guards against announcements that reach only lost hosts."""
    chosen = fanout.choose_fanout(origin, NARROW_KBPS, 300)
    assert chosen.near == fanout.MAX_FIRST_COUNT


def test_a_narrow_link_sends_a_large_version_to_few():
    """Guards against 40 hosts that fetch 50 KB over a link of 7 Mbit/s."""
    chosen = fanout.choose_fanout(fanout.Origin.STORE, NARROW_KBPS, 50_000)
    assert fanout.FORWARD_COUNT <= chosen.near <= 8
    wide = fanout.choose_fanout(fanout.Origin.STORE, WIDE_KBPS, 50_000)
    assert wide.near == fanout.MAX_FIRST_COUNT


def test_only_a_version_from_the_store_goes_to_other_regions():
    """Guards against bytes between regions that grow with the hosts."""
    far = {
        origin: fanout.choose_fanout(origin, WIDE_KBPS, 300).far
        for origin in fanout.Origin
    }
    assert far == {
        fanout.Origin.STORE: fanout.FAR_COUNT,
        fanout.Origin.FAR_PEER: 0,
        fanout.Origin.NEAR_PEER: 0,
    }


def test_a_version_of_a_near_peer_is_forwarded_to_few():
    chosen = fanout.choose_fanout(fanout.Origin.NEAR_PEER, WIDE_KBPS, 300)
    assert chosen == fanout.FORWARD
