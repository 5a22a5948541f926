"""Tests of the control plane with fake links and a fake UDP port."""

import random
import typing

import attrs
import fakes
import pytest
from twisted.internet import task

from filbertlift_config import section
from filbertlift_config import snapshot
from filbertlift_core import model
from filbertlift_distribution import replica
from filbertlift_membership import probes
from filbertlift_node import control
from filbertlift_node import members
from filbertlift_node import versions
from filbertlift_wire import messages

FIRST = snapshot.Snapshot.empty().advance(
    {"agents": section.Section(name="agents", kind="caller")}, "one"
)


@attrs.define(eq=False)
class FakePort:
    """Records the datagrams sent on a UDP port."""

    sent: list[tuple[messages.Datagram, model.Address]] = attrs.field(
        factory=list
    )

    def send(self, message, target) -> None:
        self.sent.append((message, target))


@attrs.define(eq=False)
class SendingLinks(fakes.FakeLinks):
    """Table of links that can also send by address."""

    def send(self, address, message) -> bool:
        link = self.links.get(address)
        return link is not None and link.send(message)

    def close_idle(self, _kept) -> None:
        pass


@attrs.define(eq=False)
class Plane:
    """A control plane, the fakes that it uses and the events it reports."""

    clock: task.Clock
    links: SendingLinks
    port: FakePort
    plane: control.ControlPlane
    in_force: list[int]
    events: list[str]

    def link(self, address: model.Address) -> fakes.FakeLink:
        link = fakes.FakeLink(fakes.make_member(address))
        self.links.links[address] = link
        self.plane.handle_up(link.peer)
        return link

    def receive(self, link: fakes.FakeLink, message) -> None:
        self.links.handlers[type(message)](link, message)


def make_plane() -> Plane:
    clock = task.Clock()
    clock.advance(100)
    links = SendingLinks()
    port = FakePort()
    in_force: list[int] = []
    events: list[str] = []
    plane = control.ControlPlane.create(
        clock,
        control.ControlEvents(
            lambda found: in_force.append(found.version),
            lambda: events.append("dead"),
            lambda: events.append("confirmed"),
            lambda: None,
            lambda: events.append("read"),
        ),
        links,
        port,
        fakes.make_member(fakes.OWN),
        random.Random(3),
    )
    plane.start()
    return Plane(clock, links, port, plane, in_force, events)


@pytest.mark.parametrize(
    ("union", "kind"),
    [
        (probes.Action, members.MemberExchange),
        (replica.Action, versions.VersionExchange),
    ],
)
def test_every_action_has_a_handler(union, kind) -> None:
    """Guards against an action without a handler, as Reconnect once was."""
    fixture = make_plane()
    exchange = (
        fixture.plane.members
        if kind is members.MemberExchange
        else fixture.plane.versions
    )
    assert set(typing.get_args(union)) <= set(exchange._action_handlers)


def test_lone_node_puts_a_version_of_the_store_in_force() -> None:
    """Guards against a node without peers that waits for a witness."""
    fixture = make_plane()
    fixture.plane.versions.receive_snapshot(FIRST, 0.0)
    fixture.clock.advance(control.TICK_INTERVAL_S)
    assert fixture.in_force == [1]


def test_version_of_the_store_waits_for_a_witness() -> None:
    """Guards against losing a version that only a failed node knew."""
    fixture = make_plane()
    link = fixture.link(fakes.OTHER)
    fixture.receive(link, messages.Gossip((link.peer,)))
    fixture.clock.advance(control.TICK_INTERVAL_S)
    fixture.plane.versions.receive_snapshot(FIRST, 0.0)
    assert not fixture.in_force
    fixture.clock.advance(1.0)
    report = link.pop_sent(messages.Report)
    fixture.receive(link, messages.Reported(report.version))
    assert fixture.in_force == [1]


def test_links_for_calls_carry_no_members() -> None:
    """Guards against flooding members over hundreds of links for calls."""
    fixture = make_plane()
    near = fixture.link(fakes.OTHER)
    fixture.receive(near, messages.Gossip((near.peer,)))
    digests = fixture.plane.members.table.digest_by_data_centre()
    entries = tuple(messages.DigestEntry(*item) for item in digests.items())
    fixture.receive(near, messages.Digest(entries))
    assert fixture.plane.members.is_synced
    other = fixture.link(fakes.THIRD)
    fixture.clock.advance(1.0)
    kinds = {type(message) for message in other.sent}
    assert not kinds & {messages.Digest, messages.Gossip, messages.Notice}


def test_paused_node_is_suspended_until_a_fresh_heartbeat() -> None:
    """Guards against a node that serves an old version after a pause."""
    fixture = make_plane()
    link = fixture.link(fakes.OTHER)
    fixture.receive(link, messages.Gossip((link.peer,)))
    fixture.clock.advance(10.0)
    assert fixture.events[-1] == "dead"
    beat = fixture.plane.versions.make_heartbeat(link)
    fixture.receive(link, attrs.evolve(beat, echo=0))
    fixture.clock.advance(control.TICK_INTERVAL_S)
    assert "confirmed" not in fixture.events
    fixture.clock.advance(1.5)
    own = fixture.plane.versions.make_heartbeat(link)
    fixture.receive(link, attrs.evolve(own, echo=own.number, held_ms=0))
    fixture.clock.advance(control.TICK_INTERVAL_S)
    assert fixture.events[-1] == "confirmed"
