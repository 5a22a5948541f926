"""Tests of the table of links."""

import fakes
from twisted.internet import task

from filbertlift_node import links


def make_table() -> tuple[task.Clock, links.LinkTable, list[str]]:
    reported: list[str] = []
    clock = task.Clock()
    table = links.LinkTable(
        clock,
        None,
        lambda _region: None,
        links.LinkTableEvents(
            lambda peer: reported.append(f"up {peer.address}"),
            lambda peer: reported.append(f"down {peer.address}"),
            lambda _link: reported.append("lost"),
        ),
    )
    return clock, table, reported


def make_link(is_opener: bool = True) -> fakes.FakeLink:
    return fakes.FakeLink(fakes.make_member(fakes.OTHER), is_opener)


def test_peer_is_up_until_its_last_link_is_lost() -> None:
    """Guards against reporting a peer as down while a link remains."""
    _, table, reported = make_table()
    events = table._make_events(None)
    first, second = make_link(), make_link(is_opener=False)
    events.on_up(first)
    events.on_up(second)
    events.on_down(first, None)
    assert reported == ["up 10.0.0.2:9000", "lost"]
    assert table.get(fakes.OTHER) is second
    events.on_down(second, None)
    assert reported[-1] == "down 10.0.0.2:9000"
    assert table.get(fakes.OTHER) is None


def test_only_the_opener_closes_an_idle_link() -> None:
    """Guards against closing a link that the other side needs."""
    clock, table, _ = make_table()
    events = table._make_events(None)
    opened, accepted = make_link(), make_link(is_opener=False)
    events.on_up(opened)
    events.on_up(accepted)
    clock.advance(links.IDLE_LIMIT_S + 1)
    table.close_idle(frozenset((fakes.OTHER,)))
    assert opened.is_up
    table.close_idle(frozenset())
    assert not opened.is_up
    assert accepted.is_up
