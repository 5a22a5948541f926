"""Tests of the table of links."""

import fakes
from twisted.internet import task

from filbertlift_node import links


def make_table() -> tuple[task.Clock, links.LinkTable, list[str]]:
    heard: list[str] = []
    clock = task.Clock()
    table = links.LinkTable(
        clock,
        None,
        lambda _region: None,
        links.LinkTableEvents(
            lambda peer: heard.append(f"up {peer.address}"),
            lambda peer: heard.append(f"down {peer.address}"),
            lambda _link: heard.append("lost"),
        ),
    )
    return clock, table, heard


def make_link(is_opener: bool = True) -> fakes.FakeLink:
    return fakes.FakeLink(fakes.make_member(fakes.OTHER), is_opener)


def test_second_link_to_a_peer_is_no_second_arrival() -> None:
    """Guards against a peer that counts as lost while a link remains."""
    _, table, heard = make_table()
    events = table._make_events(None)
    first, second = make_link(), make_link(is_opener=False)
    events.on_up(first)
    events.on_up(second)
    events.on_down(first, None)
    assert heard == ["up 10.0.0.2:9000", "lost"]
    assert table.get(fakes.OTHER) is second
    events.on_down(second, None)
    assert heard[-1] == "down 10.0.0.2:9000"
    assert table.get(fakes.OTHER) is None


def test_only_the_opener_closes_an_idle_link() -> None:
    """Guards against a link that the other side keeps and that drops."""
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
