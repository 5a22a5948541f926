"""Control plane of a node: exchanges of members and versions, and timers.

It exchanges messages with other nodes, while `filbertlift_sidecar.control`
serves the target on the same host.
"""

from collections.abc import Callable
import random
from typing import Any

import attrs
from twisted.internet import task

from filbertlift_config import snapshot as snapshots
from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_node import links as link_tables
from filbertlift_node import members as member_exchange
from filbertlift_node import versions
from filbertlift_transport import datagrams
from filbertlift_transport import link as links

TICK_INTERVAL_S = 0.1
MAINTENANCE_INTERVAL_S = 1.0
# A node that learns that it was declared dead waits for a heartbeat that was
# sent at least this much later, in seconds. This excludes heartbeats that were
# waiting in a socket at that time.
CONFIRM_DELAY_S = 1.0


@attrs.frozen
class ControlEvents:
    """Callbacks of the control plane.

    Attributes:
        on_in_force: called with each snapshot that is put in force.
        on_declared_dead: called when other nodes have declared this node dead;
            it must refuse calls until its version is confirmed.
        on_confirmed: called when the version is confirmed after that.
        on_members: called after a change of the member table.
        on_read_head: called to read the head at the store once.
    """

    on_in_force: Callable[[snapshots.Snapshot], None]
    on_declared_dead: Callable[[], None]
    on_confirmed: Callable[[], None]
    on_members: Callable[[], None]
    on_read_head: Callable[[], None]


@attrs.define(eq=False)
class ControlPlane:
    """Combines the exchanges of members and versions.

    Attributes:
        members: exchange of members, and probes.
        versions: exchange of versions, floors and freshness.
    """

    _reactor: Any
    _events: ControlEvents
    _links: link_tables.LinkTable
    members: member_exchange.MemberExchange
    versions: versions.VersionExchange
    _loops: list[task.LoopingCall] = attrs.field(factory=list)
    _seen_members: tuple[int, bool] = (-1, False)
    _exchanging: set[model.Address] = attrs.field(factory=set)
    _kept: frozenset[model.Address] = frozenset()
    _dead_since: float | None = None

    @classmethod
    def create(
        cls,
        reactor: Any,
        events: ControlEvents,
        link_table: link_tables.LinkTable,
        port: datagrams.DatagramPort,
        own: model.Member,
        rng: random.Random,
    ) -> "ControlPlane":
        """Returns the control plane of a starting node."""
        version_exchange = versions.VersionExchange.create(
            reactor,
            link_table,
            own.address,
            rng,
            events.on_in_force,
            events.on_read_head,
        )
        plane: ControlPlane
        exchange = member_exchange.MemberExchange.create(
            reactor,
            link_table,
            port,
            own,
            rng,
            version_exchange.read_version,
            lambda peer: plane.open_exchange(peer),
        )
        plane = cls(reactor, events, link_table, exchange, version_exchange)
        return plane

    def start(self) -> None:
        """Starts the timers."""
        for interval, function in (
            (TICK_INTERVAL_S, self._tick),
            (MAINTENANCE_INTERVAL_S, self._maintain),
        ):
            loop = task.LoopingCall(function)
            loop.clock = self._reactor
            loop.start(interval, now=True)
            self._loops.append(loop)

    def close(self) -> None:
        """Stops the timers."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()

    def handle_up(self, peer: model.Member) -> None:
        """Opens the exchange if the link is kept or members are missing.

        Other links carry only calls. Members and versions are not sent on them,
        because hundreds of links would exceed the whole budget for control
        traffic.
        """
        if peer.address in self._kept or not self.members.is_synced:
            self.open_exchange(peer)

    def open_exchange(self, peer: model.Member) -> None:
        """Starts exchanging members and versions with a linked peer."""
        if peer.address in self._exchanging:
            return
        self._exchanging.add(peer.address)
        self.members.open_link(peer)
        now = self._reactor.seconds()
        replica = self.versions.replica
        self.versions.run(replica.open_link(peer.address, now))

    def handle_down(self, peer: model.Member) -> None:
        """Handles the loss of the last link to a peer."""
        if peer.address in self._exchanging:
            self._exchanging.discard(peer.address)
            now = self._reactor.seconds()
            replica = self.versions.replica
            self.versions.run(replica.close_link(peer.address, now))
        self.members.close_link(peer)

    def forget_link(self, link: links.Link) -> None:
        """Removes the state of a link that was lost."""
        self.versions.forget_link(link)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self.members.tick(now)
        self._check_members(now)
        self.versions.run(self.versions.replica.tick(now))
        self._check_declared_dead(now)

    def _check_members(self, now: float) -> None:
        """Updates neighbours and links after a change of the members."""
        members = self.members
        seen = (members.table.revision, members.is_synced)
        if self._seen_members == seen:
            return
        self._seen_members = seen
        neighbours = [item.address for item in members.topology.neighbours()]
        self.versions.run(
            self.versions.replica.set_neighbours(
                neighbours, now, is_complete=members.is_synced
            )
        )
        self._keep_links()
        self._events.on_members()

    def _keep_links(self) -> None:
        self._kept = self.members.keep_links()
        for address in self._kept - self._exchanging:
            link = self._links.get(address)
            if link is not None:
                self.open_exchange(link.peer)

    def _check_declared_dead(self, now: float) -> None:
        """Suspends a node declared dead until its version is confirmed.

        The version is confirmed if it is the newest one seen, and a recent
        heartbeat has arrived or no other member is live.
        """
        table = self.members.table
        if not table.was_declared_dead:
            return
        if self._dead_since is None:
            self._dead_since = now
            logs.log_event("member.declared_dead")
            self._events.on_declared_dead()
        is_alone = len(table.live()) == 1
        has_heartbeat = (
            self.versions.heartbeat_sent_at
            >= self._dead_since + CONFIRM_DELAY_S
        )
        state = self.versions.replica.state
        if (is_alone or has_heartbeat) and state.version >= state.newest_seen:
            self._dead_since = None
            table.confirm_alive()
            self._events.on_confirmed()

    def _maintain(self) -> None:
        self.members.table.expire(self._reactor.seconds())
        self._keep_links()
        self._links.close_idle(self._kept)
