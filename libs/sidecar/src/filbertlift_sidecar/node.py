"""The node of a target's host: creates, starts and stops its components."""

from collections.abc import Callable
import json
import os
import random
import time
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import announcements
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import expectation
from filbertlift_mesh import exposure
from filbertlift_mesh import fanout as fanouts
from filbertlift_mesh import placement
from filbertlift_mesh import quotas as limits
from filbertlift_mesh import reasons
from filbertlift_mesh import repeats
from filbertlift_mesh import speeds
from filbertlift_sidecar import answers
from filbertlift_sidecar import control
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import descriptors
from filbertlift_sidecar import entry
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exchange
from filbertlift_sidecar import explanations
from filbertlift_sidecar import gossip
from filbertlift_sidecar import inbound
from filbertlift_sidecar import keeper
from filbertlift_sidecar import loops
from filbertlift_sidecar import metrics
from filbertlift_sidecar import orderreader
from filbertlift_sidecar import peerlink
from filbertlift_sidecar import quotas
from filbertlift_sidecar import registry
from filbertlift_sidecar import rejections
from filbertlift_sidecar import remote
from filbertlift_sidecar import replication
from filbertlift_sidecar import rollouts
from filbertlift_sidecar import settings as node_settings
from filbertlift_sidecar import shutdown
from filbertlift_sidecar import targetmetrics
from filbertlift_sidecar import uplink
from filbertlift_sidecar import versions
from filbertlift_store import interface
from filbertlift_transport import http
from filbertlift_transport import memory
from filbertlift_transport import reply as replies
from filbertlift_transport import server

HOUSEKEEPING_INTERVAL_S: Final = 1.0
# Delay of a timer that is logged, in seconds. A caller whose request has been
# unread for that long sees a closed connection as a lost request.
MIN_LOGGED_DELAY_S: Final = 0.2
# The platform and the target send no large requests.
SMALL_BODY_BYTES: Final = 65_536


@attrs.frozen
class Adapter:
    """Adapts the node to the names and formats of a platform.

    Attributes:
        dialect: names of the headers of calls.
        parse_report: parses a heartbeat or departure notice of the target.
        decode_configuration: decodes a configuration from the store.
        configuration_key: key of the newest configuration in the store.
        is_ready_path: whether a path is that of readiness checks.
        rollout_keys: keys of roll-outs in the store; None if it has none.
    """

    dialect: answers.TargetDialect
    parse_report: Callable[[http.Request], control.TargetMessage | None]
    decode_configuration: versions.DecodeFunction
    configuration_key: str
    is_ready_path: Callable[[str], bool]
    rollout_keys: orderreader.RolloutKeys | None = None


class Node:
    """One node. `start` opens its ports, `stop` shuts it down gracefully.

    Unlike `filbertlift_node.node`, it gets the names and formats that callers,
    targets and the store use from an `Adapter`.

    Attributes:
        settings: settings of the node.
        stopped: fires when the process may end.
        entry: the entry for the calls of this host.
    """

    def __init__(
        self,
        reactor: Any,
        settings: node_settings.NodeSettings,
        adapter: Adapter,
        store: interface.Store,
        log: eventlog.EventLog,
        meters: metrics.NodeMetrics,
        noted: rejections.Rejections,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.stopped: defer.Deferred[None] = defer.Deferred()
        self._reactor = reactor
        self._adapter = adapter
        self._log = log
        self._meters = meters
        self._noted = noted
        self._is_stopping = False
        self._planned_stop: shutdown.PlannedStop | None = None
        self._placed_changes = -1
        self._refreshed_at = float("-inf")
        self._delays = loops.DelayMeter(0.0, HOUSEKEEPING_INTERVAL_S)
        self._target = announcements.LocalTarget(
            str(settings.target), settings.beat_interval_s, is_recovered=False
        )
        own = directory.HostRecord(
            settings.peers,
            _get_unix_ms(),
            0,
            settings.place,
            False,
            None,
            False,
            settings.link_kbps,
        )
        self._table = directory.Directory(own)
        self._descriptors = descriptors.DescriptorShares.from_limit(
            settings.descriptors
        )
        self._uplink = uplink.Uplink.from_rate(reactor, settings.link_kbps)
        self._remote = remote.RemoteCalls(
            reactor, log, self._uplink, self._suspect_host
        )
        pool = exchange.TargetPool(
            reactor,
            settings.target,
            adapter.dialect,
            self._descriptors.idle_targets,
        )
        self._pool = pool
        self._keeper = keeper.Keeper(reactor, self._target, pool, log)
        if settings.learns_speeds:
            learned = speeds.LearnedTarget()
            self._keeper.learned = learned
            targetmetrics.watch(meters.registry, learned, reactor.seconds)
        self._gossip = gossip.Gossip(
            reactor,
            self._table,
            gossip.GossipEvents(
                self._refresh_placement,
                self._learn_version,
                self._receive_datagram,
            ),
            log,
            rng,
            lambda: self._versions.version,
            noted,
        )
        self._versions = versions.Versions(
            reactor,
            store,
            adapter.configuration_key,
            adapter.decode_configuration,
            self._table,
            self._remote,
            versions.VersionEvents(self._put_in_force, self._note_store),
            log,
            rng,
            lambda: self._registry.is_listed,
            noted,
        )
        self._remote.on_message = self._versions.receive
        self._registry = registry.Registry(
            reactor,
            store,
            self._table,
            self._greet,
            self._note_store,
            self._restore_departure,
            log,
            rng,
            noted,
        )
        self._replication = replication.Replication(
            reactor,
            self._table,
            replication.ReplicationEvents(
                self._gossip.send_departures,
                self._restore_departure,
                self._finish_recovery,
            ),
            log,
        )
        self._memory = memory.ProcessMemory.from_limit(settings.memory_bytes)
        meters.watch_memory(self._memory)
        self._inbound = inbound.InboundCalls(
            self._keeper,
            self._uplink,
            self._versions.receive,
            self._memory.peer_bodies,
            self._memory.peer_heads,
        )
        self._listener = peerlink.LinkListener(
            reactor,
            settings.links or settings.peers,
            peerlink.LinkEvents(
                self._inbound.receive,
                self._inbound.handle_link_down,
                lambda _link: None,
            ),
        )
        self._quotas = quotas.Quotas(
            reactor,
            self._table,
            limits.Bounds(
                settings.quota_window_s,
                settings.quota_over,
                settings.quota_slack,
            ),
            quotas.QuotaEvents(
                self._gossip.send_report, self._gossip.send_verdict
            ),
            log,
            quotas.QuotaMeters.create(meters.registry),
            rng,
        )
        self.entry = self._make_entry(rng)
        self._rollouts = self._make_rollouts(store, rng)
        self._control = control.Control(
            reactor,
            adapter.parse_report,
            self._target,
            control.ControlEvents(self._note_target, self._keep_departures),
            log,
            meters,
            noted,
            _get_unix_ms,
        )
        self._servers: list[server.HttpServer] = []
        self._caller_server: server.HttpServer | None = None
        self._loop = task.LoopingCall(
            loops.guard(
                self._run_housekeeping,
                lambda error: log.log_request("node.fault", error=error),
            )
        )
        self._loop.clock = reactor

    def start(self) -> None:
        """Opens the ports.

        Raises:
            CannotListenError: if a port cannot be opened.
        """
        settings = self.settings
        self._log.log("node.start", pid=os.getpid(), **settings.describe())
        self._listen(settings.control, self._control.handle)
        self._listen(settings.ready, self._answer_ready)
        self._listen(settings.metrics, self._answer_metrics)
        limits = self._make_limits(configuration.ClientLimits())
        self._caller_server = server.HttpServer.listen(
            self._reactor,
            settings.outbound,
            self.entry.handle,
            limits,
            self._memory.caller_bodies,
            self._memory.caller_heads,
            self._memory.answers,
        )
        self._servers.append(self._caller_server)
        self._meters.watch_connections(self._caller_server)
        self._listener.start()
        self._gossip.start()
        self._registry.start()
        self._replication.start()
        self._versions.start()
        if self._rollouts is not None:
            self._rollouts.start()
        self._delays.due_at = self._reactor.seconds() + HOUSEKEEPING_INTERVAL_S
        self._loop.start(HOUSEKEEPING_INTERVAL_S, now=False)

    def stop(self, signalled_at: float | None = None) -> None:
        """Leaves: sends callers and peers elsewhere and finishes its work.

        Args:
            signalled_at: when the signal to stop was received, in seconds.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        now = self._reactor.seconds()
        if signalled_at is None:
            signalled_at = now
        self._log.log(
            "node.leaving",
            late_s=now - signalled_at,
            loop_late_s=self._delays.expected_s,
            calls=len(self.entry.flows),
            kept=self._keeper.in_flight,
        )
        stop = shutdown.PlannedStop(
            self._reactor,
            shutdown.StopActions(
                self._refuse_peers,
                self._refuse_callers,
                self._is_idle,
                self._is_sent,
                self._stop_accepting,
                self._refuse_partial,
                self._is_settled,
                self._close,
            ),
            self.settings.grace_s,
        )
        self._planned_stop = stop
        stop.start(signalled_at, self._delays.expected_s)
        self.entry.leave(stop.get_last_answer_at())
        self._remote.leave()
        self._keeper.leave(stop.get_last_answer_at())
        self._update_own()

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Applies the settings that may change while the node runs."""
        changed = sorted(
            name
            for name, text in settings.describe().items()
            if text != self.settings.describe()[name]
        )
        self._log.log("node.reload", changed=",".join(changed))
        self.settings = attrs.evolve(
            self.settings,
            service=settings.service,
            grace_s=settings.grace_s,
            beat_interval_s=settings.beat_interval_s,
        )
        self._target.beat_interval_s = settings.beat_interval_s
        self.entry.caller_service = settings.service

    def dump(self) -> dict[str, Any]:
        """Returns the state of the node for operators."""
        now = self._reactor.seconds()
        return {
            "settings": dict(self.settings.describe()),
            "version": self._versions.version,
            "is_leaving": self._is_stopping,
            "target": str(self._target.current),
            "calls": len(self.entry.flows),
            "running": len(self._keeper.backlog.running),
            "waiting": len(self._keeper.backlog.waiting),
            "slots": self._keeper.backlog.slots,
            "hosts": [str(record) for record in self._table.list_live(now)],
            "suppressed_lines": self._log.total_suppressed,
            "rollouts": self._rollouts.describe() if self._rollouts else {},
        }

    def _make_entry(self, rng: random.Random) -> entry.Entry:
        settings = self.settings
        policy = repeats.RepeatPolicy(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window_s,
        )
        places = placement.Placement(settings.place, settings.peers, rng)
        if settings.learns_speeds:
            places.learned = expectation.Expectation(rng)
        return entry.Entry(
            self._reactor,
            settings.peers,
            settings.service,
            self._adapter.dialect,
            places,
            repeats.RepeatBudget(policy),
            self._keeper,
            self._remote,
            self._log,
            self._meters,
            self._refresh_placement,
            configuration.WeightedRoundRobin(rng),
            admit=self._quotas.admit,
            has_organisations=settings.has_organisations,
        )

    def _make_rollouts(
        self, store: interface.Store, rng: random.Random
    ) -> rollouts.Rollouts | None:
        """Returns the roll-outs, or None if versions are ignored."""
        limits = self.settings.rollouts
        keys = self._adapter.rollout_keys
        if limits is None or keys is None:
            return None
        gate = exposure.Gate(limits.expose_share, rng)
        made = rollouts.Rollouts(
            self._reactor,
            store,
            keys,
            self._table,
            gate,
            self._target,
            rollouts.RolloutEvents(
                self._gossip.send_rollouts,
                self._gossip.send_reports,
                lambda: self._keeper.in_flight,
            ),
            self._log,
            self._meters,
            self._noted,
            rng,
        )
        self._target.has_releases = True
        self.entry.placement.list_targets = gate.list_targets
        self.entry.placement.peek_targets = gate.peek_targets
        self._keeper.on_run = made.note_run
        return made

    def _listen(self, address: model.Address, handle: server.Handler) -> None:
        limits = http.Limits(
            body_bytes=SMALL_BODY_BYTES,
            connections=self._descriptors.control,
            lingering=self._descriptors.control,
        )
        self._servers.append(
            server.HttpServer.listen(self._reactor, address, handle, limits)
        )

    def _make_limits(self, limits: configuration.ClientLimits) -> http.Limits:
        return http.Limits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            connections=self._descriptors.callers,
            lingering=self._descriptors.lingering,
            head_s=limits.head_s,
            idle_s=limits.idle_s,
            receive_bytes=memory.get_receive_bytes(
                self.settings.memory_bytes, self._descriptors.callers
            ),
        )

    # Callbacks of the components.

    def _put_in_force(
        self, version: configuration.Configuration, fanout: fanouts.Fanout
    ) -> None:
        # The entry routes calls that waited for the first version at once.
        self._quotas.put_in_force(version)
        self.entry.put_in_force(version)
        self._note_tenants(version)
        self._target.services = version.services
        self._meters.version.set(version.version)
        if self._caller_server is not None:
            self._caller_server.limits = self._make_limits(version.limits)
        self._gossip.announce_version(fanout)

    def _note_tenants(self, version: configuration.Configuration) -> None:
        if version.tenants is None or self.entry.keys is None:
            return
        for reason in (*version.tenants.rejected, *self.entry.keys.rejected):
            self._noted.note("versions.tenant-malformed", "tenants", reason)

    def _suspect_host(self, address: model.Address) -> None:
        self.entry.placement.avoid(address, self._reactor.seconds())

    def _learn_version(self, peer: model.Address, version: int) -> None:
        self._versions.learn(peer, version)

    def _receive_datagram(
        self, peer: model.Address, message: datagrams.Datagram
    ) -> None:
        self._replication.receive(peer, message)
        self._quotas.receive(peer, message)
        if self._rollouts is not None:
            self._rollouts.receive(peer, message)

    def _note_store(self, has_store: bool) -> None:
        if self._rollouts is not None:
            self._rollouts.note_store(has_store)
        own = self._table.own
        if own.has_store == has_store:
            return
        self._log.log("node.store", answers=has_store)
        if self._table.update_own(attrs.evolve(own, has_store=has_store)):
            self._gossip.announce()

    def _note_target(self) -> None:
        self._update_own()
        self._keeper.refresh_target()

    def _update_own(self) -> None:
        record = attrs.evolve(
            self._table.own,
            target=self._target.current,
            is_leaving=self._is_stopping,
        )
        if self._table.update_own(record):
            self._gossip.announce()
            self._refresh_placement()

    def _refresh_placement(self) -> None:
        now = self._reactor.seconds()
        is_outdated = now - self._refreshed_at > HOUSEKEEPING_INTERVAL_S
        if self._table.changes == self._placed_changes and not is_outdated:
            return
        self._placed_changes = self._table.changes
        self._refreshed_at = now
        live = self._table.list_live(now)
        self.entry.placement.update([*live, self._table.own])
        self.entry.budget.set_hosts(len(live) + 1)

    def _greet(self, addresses: list[model.Address]) -> None:
        self._gossip.greet(addresses)
        self._replication.note_list(bool(addresses))

    def _keep_departures(self) -> "defer.Deferred[Any]":
        departed = self._target.list_departures()
        saved = self._registry.save_departures(departed)
        return self._replication.keep(departed, saved)

    def _restore_departure(self, departed: directory.TargetRecord) -> None:
        known = self._target.list_departures()
        has_changed = self._target.restore(departed)
        restored = self._target.list_departures()
        if set(restored) == set(known):
            return
        self._log.log("node.departure-restored", target=departed.target_id)
        if has_changed:
            self._note_target()
        saved = self._registry.save_departures(restored)
        # The registry saves it again until the store has it.
        saved.addErrback(lambda _reason: None)

    def _finish_recovery(self) -> None:
        if self._target.finish_recovery():
            self._note_target()

    def _run_housekeeping(self) -> None:
        now = self._reactor.seconds()
        late_s = self._delays.note_step(now)
        if late_s >= MIN_LOGGED_DELAY_S:
            self._log.log("loop.late", late_s=late_s)
        self._pool.drop_idle()
        self._remote.close_idle()
        self._quotas.refresh()
        live = self._table.list_live(now)
        self._meters.hosts.set(len(live) + 1)

    # HTTP endpoints.

    def _answer_ready(
        self, request: http.Request, reply: replies.Reply
    ) -> None:
        if not self._adapter.is_ready_path(request.path):
            reply.send(404, (), b"")
            return
        is_ready = self._versions.current is not None and not self._is_stopping
        reply.send(200 if is_ready else 503, (), b"")

    def _answer_metrics(
        self, request: http.Request, reply: replies.Reply
    ) -> None:
        status = 200
        if request.path.startswith(explanations.PATH):
            status, page = explanations.answer_page(
                self.entry, self._table, request.path
            )
            body, kind = json.dumps(page).encode(), "application/json"
        elif request.path.startswith("/dump"):
            body = json.dumps(self.dump(), indent=1).encode()
            kind = "application/json"
        else:
            body, kind = self._meters.render(), "text/plain; version=0.0.4"
        reply.send(status, (http.Header("Content-Type", kind),), body)

    # Shutdown.

    def _refuse_peers(self) -> None:
        self._inbound.refusal = reasons.LEAVING

    def _refuse_callers(self) -> None:
        self.entry.refusal = reasons.LEAVING

    def _is_idle(self) -> bool:
        has_calls = bool(self.entry.flows or self.entry.held)
        return not has_calls and not self._keeper.in_flight

    def _is_sent(self) -> bool:
        callers = self._caller_server
        has_unsent = callers is not None and callers.has_unsent
        return not self._uplink.is_busy and not has_unsent

    def _stop_accepting(self) -> None:
        for part in self._servers:
            part.stop_accepting()
        self._listener.stop_accepting()

    def _refuse_partial(self) -> None:
        for part in self._servers:
            part.refuse_partial()

    def _is_settled(self) -> bool:
        return (
            self._is_idle()
            and self._is_sent()
            and all(part.is_settled for part in self._servers)
            and self._remote.is_sent
            and self._listener.is_settled
        )

    def _close(self) -> None:
        counts = server.ConnectionCounts(0, 0, 0, 0)
        if self._caller_server is not None:
            counts = self._caller_server.count_connections()
        stop = self._planned_stop
        self._log.log(
            "node.stop",
            cut_calls=len(self.entry.flows) + len(self.entry.held),
            cut_runs=self._keeper.in_flight,
            late_s=0.0 if stop is None else stop.max_late_s,
            connections=counts.total,
            receiving=counts.receiving,
            answering=counts.answering,
            unsent=counts.unsent,
        )
        steps: tuple[Callable[[], Any], ...] = (
            self._loop.stop,
            *([self._rollouts.close] if self._rollouts else ()),
            self._versions.close,
            self._registry.close,
            self._replication.close,
            self._quotas.close,
            self._gossip.close,
            *(part.close for part in self._servers),
            self._keeper.close,
            self._uplink.close,
            self._remote.close,
            self._listener.close,
        )
        for close in steps:
            # A part that fails must not keep the others, and the process, from
            # ending before the end of the grace period.
            try:
                close()
            except Exception as error:
                self._log.log("node.close-failed", error=repr(error))
        # Connections are aborted in the next iteration. If the reactor stopped
        # before, the kernel would close them in order, and an answer that was
        # cut off might look complete.
        self._reactor.callLater(0, self.stopped.callback, None)


def _get_unix_ms() -> int:
    return int(time.time() * 1000)
