"""Exchange of member records over links, and probes by datagrams."""

from collections.abc import Callable
import random
from typing import Any

import attrs

from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_membership import gossip as gossips
from filbertlift_membership import members as membership
from filbertlift_membership import probes
from filbertlift_membership import ranking
from filbertlift_node import actions
from filbertlift_node import links as link_tables
from filbertlift_transport import datagrams
from filbertlift_transport import link as links
from filbertlift_wire import messages


@attrs.define(eq=False)
class MemberExchange:
    """Passes messages to the membership and executes the actions it returns.

    Attributes:
        table: known members.
        topology: neighbours and gateways of this node.
    """

    _reactor: Any
    _links: link_tables.LinkTable
    _datagrams: datagrams.DatagramPort
    _read_version: Callable[[], tuple[int, int]]
    _open_exchange: Callable[[model.Member], None]
    table: membership.MemberTable
    topology: ranking.Topology
    _prober: probes.Prober
    _gossip: gossips.GossipQueue = attrs.field(factory=gossips.GossipQueue)
    _action_handlers: dict[type, actions.ActionHandler] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self._action_handlers = {
            probes.MarkSuspect: self._mark_suspect,
            probes.SendPing: self._send_ping,
            probes.SendAck: self._send_ack,
            probes.SendPingRequest: self._send_ping_request,
            probes.Reconnect: self._reconnect,
        }

    @classmethod
    def create(
        cls,
        reactor: Any,
        link_table: link_tables.LinkTable,
        port: datagrams.DatagramPort,
        own: model.Member,
        rng: random.Random,
        read_version: Callable[[], tuple[int, int]],
        open_exchange: Callable[[model.Member], None],
    ) -> "MemberExchange":
        """Returns the exchange of a node that knows no other member.

        Args:
            reactor: the reactor.
            link_table: links to other nodes.
            port: UDP port.
            own: record of this node.
            rng: random numbers for the order of probes.
            read_version: returns the version in force and its age in
                milliseconds, which are sent in probes.
            open_exchange: called with each linked peer with which records
                are to be exchanged.
        """
        table = membership.MemberTable.create(own)
        exchange = cls(
            reactor=reactor,
            links=link_table,
            datagrams=port,
            read_version=read_version,
            open_exchange=open_exchange,
            table=table,
            topology=ranking.Topology.create(table),
            prober=probes.Prober.create(table, rng, reactor.seconds()),
        )
        link_table.handlers.update(
            {
                messages.Gossip: exchange._handle_gossip,
                messages.Digest: exchange._handle_digest,
            }
        )
        return exchange

    @property
    def is_synced(self) -> bool:
        """Whether all members of the region are known."""
        return self._gossip.is_synced

    def announce(self, state: model.MemberState) -> None:
        """Broadcasts a new state of this node."""
        self._gossip.broadcast(self.table.set_own_state(state))
        self._send_batches(self._reactor.seconds())

    def open_link(self, peer: model.Member) -> None:
        """Starts exchanging records with a linked peer."""
        self._gossip.open_link(peer.address)
        self._compare(self._reactor.seconds())

    def close_link(self, peer: model.Member) -> None:
        """Stops exchanging records with a peer whose link was lost.

        A peer in the same data centre is probed, because it may have failed.
        """
        self._gossip.close_link(peer.address)
        if peer.place.data_centre == self.table.own.place.data_centre:
            now = self._reactor.seconds()
            self._run(self._prober.probe(peer.address, now))

    def tick(self, now: float) -> None:
        """Sends the probes, records and digests that are due."""
        for dead in self.table.tick(now):
            self._gossip.broadcast(dead)
        self._run(self._prober.tick(now))
        self._send_batches(now)
        self._compare(now)

    def keep_links(self) -> frozenset[model.Address]:
        """Opens links to neighbours and gateways; returns their addresses."""
        for member in self.topology.neighbours():
            self._links.open(member.address, member.place.region)
        far = self.topology.gateway_links()
        for member in far:
            self._open_gateway_link(member)
        wanted = [*self.topology.neighbours(), *far]
        return frozenset(member.address for member in wanted)

    def handle_datagram(self, message: messages.Datagram) -> None:
        """Handles a ping, an ack or a ping request."""
        now = self._reactor.seconds()
        prober = self._prober
        if isinstance(message, messages.Ping):
            pending = prober.receive_ping(message.sender, message.sequence, now)
        elif isinstance(message, messages.Ack):
            pending = prober.receive_ack(message.sender, message.sequence, now)
        else:
            pending = prober.receive_ping_request(
                message.sender, message.about, message.sequence, now
            )
        self._run(pending)

    def _open_gateway_link(self, member: model.Member) -> None:
        def check() -> None:
            if self._links.get(member.address) is None:
                self.topology.mark_unreachable(member.address)

        if self._links.get(member.address) is None:
            self._links.open(member.address, member.place.region, check)

    def _handle_gossip(
        self, link: links.Link, message: messages.Gossip
    ) -> None:
        gossips.receive_updates(
            self.table,
            self._gossip,
            message.members,
            link.peer.address,
            self._reactor.seconds(),
        )

    def _handle_digest(
        self, link: links.Link, message: messages.Digest
    ) -> None:
        self._open_exchange(link.peer)
        received = {item.data_centre: item.digest for item in message.entries}
        gossips.receive_digest(
            self.table, self._gossip, received, link.peer.address
        )

    def _send_batches(self, now: float) -> None:
        for batch in self._gossip.tick(now):
            self._links.send(batch.to, messages.Gossip(batch.members))

    def _compare(self, now: float) -> None:
        for action in self._gossip.compare(self.table, now):
            entries = tuple(
                messages.DigestEntry(name, digest)
                for name, digest in action.digests.items()
            )
            self._links.send(action.to, messages.Digest(entries))

    def _run(self, pending: list[Any]) -> None:
        actions.run(pending, self._action_handlers)

    def _mark_suspect(self, action: probes.MarkSuspect) -> None:
        logs.log_event("member.suspected", member=action.member.address)
        changed = self.table.apply(action.member, self._reactor.seconds())
        if changed is not None:
            self._gossip.broadcast(changed)

    def start_exchange(self, address: model.Address, region: str) -> None:
        """Opens a link to any node and exchanges records with it."""

        def proceed() -> None:
            link = self._links.get(address)
            if link is not None:
                self._open_exchange(link.peer)

        self._links.open(address, region, proceed)

    def _reconnect(self, action: probes.Reconnect) -> None:
        member = self.table.members.get(action.to)
        self.start_exchange(action.to, member.place.region if member else "")

    def _send_ping(self, action: probes.SendPing) -> None:
        version, age_ms = self._read_version()
        own = self.table.own.address
        ping = messages.Ping(action.sequence, own, version, age_ms)
        self._datagrams.send(ping, action.to)

    def _send_ack(self, action: probes.SendAck) -> None:
        version, age_ms = self._read_version()
        own = self.table.own.address
        ack = messages.Ack(action.sequence, own, version, age_ms, own)
        self._datagrams.send(ack, action.to)

    def _send_ping_request(self, action: probes.SendPingRequest) -> None:
        own = self.table.own.address
        request = messages.PingRequest(action.sequence, own, action.to)
        self._datagrams.send(request, action.via)
