"""The node: builds and connects the parts of the process beside a target."""

import random
import time
from typing import Any

from twisted.internet import defer

from filbertlift_calls import admission as admissions
from filbertlift_calls import codes
from filbertlift_calls import keeper as keepers
from filbertlift_config import routes
from filbertlift_config import snapshot as snapshots
from filbertlift_config import tokens
from filbertlift_core import env
from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_distribution import spread
from filbertlift_node import control
from filbertlift_node import drain
from filbertlift_node import dump
from filbertlift_node import entry as entries
from filbertlift_node import health
from filbertlift_node import inbound
from filbertlift_node import joining
from filbertlift_node import lifecycle
from filbertlift_node import links as link_tables
from filbertlift_node import metrics as node_metrics
from filbertlift_node import pages
from filbertlift_node import relay as relays
from filbertlift_node import remote
from filbertlift_node import settings as node_settings
from filbertlift_node import watcher
from filbertlift_store import http as store_http
from filbertlift_store import interface
from filbertlift_transport import client
from filbertlift_transport import datagrams
from filbertlift_transport import link as links
from filbertlift_transport import server
from filbertlift_wire import messages

# Connections and slots of the target before a configuration is in force.
DEFAULT_CONNECTIONS = 64
DEFAULT_SLOTS = 1
# Interval at which the progress of a drain is checked, in seconds.
DRAIN_CHECK_S = 0.05
# A starting node that knows no other member reads the store only after its
# jitter and this delay, in seconds.
LONE_NODE_DELAY_S = 1.0
# Time to send the last announcements before the links are closed, in seconds.
FINAL_GOSSIP_S = 0.3

_REFUSALS = {
    "joining": codes.NOT_READY,
    "ready": None,
    "leaving": None,
    "draining": codes.LEAVING,
    "stopped": codes.LEAVING,
}


class Node:
    """A node: its listeners, parts and lifecycle.

    It speaks filbertlift's own protocol, while `filbertlift_sidecar.node` gets
    the names and formats of the users' platform from an adapter.

    Attributes:
        settings: the validated settings.
        incarnation: number that identifies this run of the process.
        metrics: counters of the node.
        links: links to other nodes.
        datagrams: UDP port.
        control: members, versions and freshness.
        relay: calls that run at the target of this node.
        remote: calls sent to other keepers.
        entry: calls of callers.
        exit_status: exit status of the process.
    """

    def __init__(
        self,
        reactor: Any,
        settings: node_settings.NodeSettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._rng = rng
        self.settings = settings
        self.incarnation = incarnation
        self.metrics = node_metrics.NodeMetrics.create()
        self.exit_status = env.EXIT_OK
        self._rendered_shed = 0
        self._hooks = lifecycle.LifecycleHooks(self._enter)
        self._lifecycle = lifecycle.make_lifecycle(self._hooks)
        self._own = self._make_member()
        self.links = self._make_links()
        self.datagrams = datagrams.DatagramPort(
            settings.secrets,
            lambda message, _sender: self.control.members.handle_datagram(
                message
            ),
        )
        self.control = control.ControlPlane.create(
            reactor,
            control.ControlEvents(
                self._put_in_force,
                self._lifecycle.suspend,
                self._confirm,
                self._refresh_members,
                self._read_head,
            ),
            self.links,
            self.datagrams,
            self._own,
            rng,
        )
        self._pool = client.HttpPool.from_address(
            reactor, settings.target, DEFAULT_CONNECTIONS
        )
        self.relay = self._make_relay()
        self.remote = remote.RemoteCalls(self.links)
        self.entry = self._make_entry()
        self._inbound = self._make_inbound()
        self._health = health.TargetHealth(
            reactor, self._pool, self._handle_target_change
        )
        self._store = self._make_store()
        self._watcher = self._make_watcher()
        self._rosters = self._make_rosters()
        self._joiner = joining.Joiner(
            reactor,
            self.links,
            self._own,
            settings.peers,
            self._store,
            settings.cluster,
            rng,
            lambda: bool(self.links.list_links()),
        )
        self._store_allowed_at = float("inf")
        self._server: server.HttpServer | None = None
        self._pages: Any = None
        self._stopped: defer.Deferred[int] | None = None

    @classmethod
    def from_settings(
        cls, reactor: Any, settings: node_settings.NodeSettings
    ) -> "Node":
        """Returns a node that is not started."""
        return cls(
            reactor,
            settings,
            incarnation=int(time.time() * 1000),
            rng=random.Random(),
        )

    def start(self) -> None:
        """Opens the listeners and starts to join the cluster.

        Raises:
            CannotListenError: if an address is in use.
        """
        settings = self.settings
        self.links.start(settings.link)
        self.datagrams.start(self._reactor, settings.link)
        self._server = server.HttpServer.listen(
            self._reactor, settings.listen, self.entry.handle
        )
        self._pages = pages.listen_pages(
            self._reactor,
            settings.status,
            pages.PageSources(
                lambda: dump.describe_version(self),
                lambda: dump.describe_state(self),
                self._render_metrics,
            ),
        )
        self.relay.start()
        self.remote.start()
        self._inbound.start()
        self.control.start()
        self._health.start()
        delay = self._rng.uniform(0, settings.start_jitter)
        self._joiner.start(delay)
        self._store_allowed_at = (
            self._reactor.seconds() + delay + LONE_NODE_DELAY_S
        )
        self._reactor.callLater(
            delay + LONE_NODE_DELAY_S, self._update_gateway_role
        )
        logs.log_event(
            "node.started",
            service=settings.service,
            listen=settings.listen,
            link=settings.link,
            incarnation=self.incarnation,
        )

    def stop(self) -> defer.Deferred[int]:
        """Stops gracefully.

        Returns:
            A Deferred that fires with the exit status.
        """
        if self._stopped is not None:
            return self._stopped
        self._stopped = defer.Deferred()
        self._lifecycle.leave()
        self.control.members.announce(model.MemberState.LEAVING)
        reactor = self._reactor
        reactor.callLater(self.settings.leave_notice, self._lifecycle.refuse)
        limit = reactor.seconds() + self.settings.drain_limit
        reactor.callLater(self.settings.leave_notice, self._check_drain, limit)
        return self._stopped

    # Parts.

    def _make_member(self) -> model.Member:
        settings = self.settings
        return model.Member(
            address=settings.link,
            place=settings.place,
            service=settings.service,
            target=settings.target,
            incarnation=self.incarnation,
            state=model.MemberState.ALIVE,
            status=settings.status,
        )

    def _make_links(self) -> link_tables.LinkTable:
        settings = self.settings
        identity = links.LinkIdentity(
            settings.cluster,
            settings.secrets,
            # The incarnation of the keeper does not change after the start; a
            # refuted suspicion raises only the incarnation of the member.
            lambda: self._own,
            lambda link: self.control.versions.make_heartbeat(link),
            lambda: self.control.versions.replica.state.version,
        )
        events = link_tables.LinkTableEvents(
            lambda peer: self.control.handle_up(peer),
            lambda peer: self.control.handle_down(peer),
            self._handle_link_loss,
        )
        return link_tables.LinkTable(
            self._reactor, identity, settings.find_proxy, events
        )

    def _make_relay(self) -> relays.Relay:
        make_admission = (
            admissions.make_fifo_admission
            if self.settings.policy == "fifo"
            else admissions.make_priority_admission
        )
        return relays.Relay(
            self._reactor,
            self._pool,
            keepers.Keeper.create(self.incarnation),
            make_admission(DEFAULT_SLOTS),
            lambda: self.control.versions.replica.state.version,
        )

    def _make_entry(self) -> entries.Entry:
        table = self.control.members.table
        sources = entries.EntrySources(
            table.targets_of,
            table.members.get,
            self._get_age,
            self.control.versions.pull_version,
        )
        return entries.Entry.create(
            self._reactor,
            self._own,
            sources,
            self.links,
            self.remote,
            self.relay,
            self.metrics,
            self._rng,
            self.settings.policy,
        )

    def _make_inbound(self) -> inbound.InboundCalls:
        sources = inbound.InboundSources(
            inbound.make_route_finder(
                lambda: (self.entry.verifier, self.entry.table)
            ),
            self.control.versions.pull_version,
            lambda: self.control.versions.replica.state.version,
        )
        self.links.handlers[messages.Chunk] = self._dispatch_chunk
        return inbound.InboundCalls(
            self._reactor,
            self.links,
            self.relay,
            sources,
            self.settings.service,
        )

    def _make_store(self) -> interface.Store | None:
        if not self.settings.store:
            return None
        return store_http.make_http_store(
            self._reactor,
            self.settings.store,
            lambda _operation: self.metrics.store_calls.inc(),
        )

    def _make_watcher(self) -> watcher.StoreWatcher | None:
        if self._store is None:
            return None
        return watcher.StoreWatcher(
            self._reactor,
            self._store,
            self.settings.cluster,
            watcher.WatchEvents(
                self.control.versions.receive_snapshot,
                self.control.versions.receive_head,
            ),
            self.control.versions.find_held,
            self._rng,
        )

    def _make_rosters(self) -> joining.RosterMaintainer | None:
        if self._store is None:
            return None
        return joining.RosterMaintainer(
            self._reactor,
            self._store,
            self.settings.cluster,
            self._own,
            self.control.members.table.live,
            self._list_dead,
            lambda contact: self.control.members.start_exchange(
                contact.address, contact.region
            ),
        )

    # Events of the control plane.

    def _put_in_force(self, snapshot: snapshots.Snapshot) -> None:
        entry = self.entry
        table = routes.compile_routes(snapshot, entry.table)
        verifier = tokens.TokenVerifier.from_snapshot(snapshot, entry.verifier)
        entry.put_in_force(table, verifier)
        self.metrics.version.set(snapshot.version)
        if table.has_service(self.settings.service):
            self.relay.set_policy(table.service_policy(self.settings.service))
        self._lifecycle.confirm()

    def _confirm(self) -> None:
        if self.control.versions.replica.state.in_force is not None:
            self._lifecycle.confirm()

    def _refresh_members(self) -> None:
        self.entry.refresh_targets()
        self.metrics.members.set(len(self.control.members.table.live()))
        self._update_gateway_role()

    def _update_gateway_role(self) -> None:
        """Starts or stops the tasks of a gateway."""
        if self._watcher is None or self._rosters is None:
            return
        if not self._may_read_store():
            return
        gateways = [
            member.address
            for member in self.control.members.topology.gateways(
                self.settings.region
            )
        ]
        role = spread.choose_watch_role(self.settings.link, gateways)
        if role.is_watching:
            self._watcher.start(role.delay_s)
            self._rosters.start()
        else:
            self._watcher.close()
            self._rosters.close()

    def _may_read_store(self) -> bool:
        """Returns whether other members are known or had time to answer.

        A node that knows no other member ranks itself as a gateway, so without
        this delay every node of a mass restart would watch the store.
        """
        is_alone = len(self.control.members.table.live()) == 1
        return not is_alone or self._reactor.seconds() >= self._store_allowed_at

    def _read_head(self) -> None:
        if self._watcher is not None and self._may_read_store():
            self._watcher.read_once()

    def _handle_link_loss(self, link: links.Link) -> None:
        self.control.forget_link(link)
        self.remote.handle_link_loss(link)
        self._inbound.handle_link_loss(link)

    def _dispatch_chunk(self, link: links.Link, chunk: messages.Chunk) -> None:
        # The parity of a stream number tells which end opened the stream.
        if chunk.stream % 2 == int(link.is_opener):
            self.remote.receive_chunk(link, chunk)
        else:
            self._inbound.receive_chunk(link, chunk)

    def _list_dead(self) -> tuple[model.Address, ...]:
        return tuple(
            member.address
            for member in self.control.members.table.members.values()
            if member.state is model.MemberState.DEAD
        )

    def _get_age(self) -> float:
        return self.control.versions.replica.tracker.age(
            self._reactor.seconds()
        )

    # Target and lifecycle.

    def _handle_target_change(self, is_serving: bool) -> None:
        if is_serving:
            self.relay.resume()
        else:
            self.relay.pause(codes.DRAINING)
        if self._stopped is None:
            state = (
                model.MemberState.ALIVE
                if is_serving
                else model.MemberState.LEAVING
            )
            self.control.members.announce(state)

    def _enter(self, state: str) -> None:
        refusal = _REFUSALS[state]
        self.entry.refusal = refusal
        self.relay.refusal = refusal

    def _check_drain(self, limit: float) -> None:
        now = self._reactor.seconds()
        is_idle = not self.entry.flows and not self.relay.in_flight
        if is_idle or now >= limit:
            self._finish_stop()
            return
        self._reactor.callLater(DRAIN_CHECK_S, self._check_drain, limit)

    def _finish_stop(self) -> None:
        self.exit_status = drain.log_cut_calls(
            self.relay.list_runs(), self.entry.flows
        )
        for call in list(self.entry.flows):
            call.expire()
        self._lifecycle.finish()
        self._reactor.callLater(FINAL_GOSSIP_S, self._close)

    def _close(self) -> None:
        assert self._server is not None
        self._server.close()
        self._pages.stopListening()
        self._joiner.close()
        self._health.close()
        for part in (self._watcher, self._rosters):
            if part is not None:
                part.close()
        self.control.close()
        self.relay.close()
        self.links.close()
        self.datagrams.close()
        logs.log_event("node.stopped", status=self.exit_status)
        assert self._stopped is not None
        self._stopped.callback(self.exit_status)

    def _render_metrics(self) -> bytes:
        # The relay does not use the metrics, so its count is added here.
        self.metrics.shed.inc(self.relay.shed - self._rendered_shed)
        self._rendered_shed = self.relay.shed
        return self.metrics.render()

    @property
    def state(self) -> str:
        """Name of the current state of the lifecycle."""
        return self._hooks.state
