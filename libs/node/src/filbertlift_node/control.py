"""Control plane of a node: members, versions and freshness over links."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import attrs
from twisted.internet import task

from filbertlift_config import delta as deltas
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import snapshot as snapshots
from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_distribution import exceptions as distribution_exceptions
from filbertlift_distribution import floors
from filbertlift_distribution import replica as replicas
from filbertlift_distribution import spread
from filbertlift_membership import digests
from filbertlift_membership import gossip as gossips
from filbertlift_membership import members as membership
from filbertlift_membership import probes
from filbertlift_membership import ranking
from filbertlift_node import links as link_tables
from filbertlift_node import updates
from filbertlift_transport import datagrams
from filbertlift_transport import link as links
from filbertlift_wire import messages

TICK_S = 0.1
MAINTENANCE_S = 1.0
# Letters of the root in heartbeats and notices, which only help to read a
# capture; a delta is verified against the whole root. The full 64 letters on
# eight links would cost 1 KB/s.
ROOT_LETTERS = 8
# Mean time between comparisons of members with a neighbour, in seconds. They
# repair what a lost batch left different. A mismatch costs the records of a
# data centre, about 120 KB of 1,200, and one that an update under way causes
# is not worth that, so they are rare.
DIGEST_S = 20.0
# A node that was declared dead has to hear a heartbeat that was sent after it
# learned that; one that waited in a socket is older than this, in seconds.
CONFIRM_S = 1.0
# Members in one frame of a full exchange.
SYNC_BATCH = 50
# An age that is not known travels as this value.
UNKNOWN_AGE_MS = -1
MAX_AGE_MS = 2**31 - 1


@attrs.frozen
class ControlEvents:
    """Functions that the control plane calls.

    Attributes:
        on_in_force: a snapshot governs calls from now on.
        on_declared_dead: others declared this node dead; it takes no call
            until its version is confirmed.
        on_confirmed: the version is confirmed.
        on_members: the member table changed.
        on_read_head: the head at the store should be read once.
    """

    on_in_force: Callable[[snapshots.Snapshot], None]
    on_declared_dead: Callable[[], None]
    on_confirmed: Callable[[], None]
    on_members: Callable[[], None]
    on_read_head: Callable[[], None]


@attrs.define
class ControlPlane:
    """Carries out what the decisions on members and versions return.

    Attributes:
        table: known members.
        topology: neighbours and gateways.
        replica: version in force and its freshness.
    """

    _reactor: Any
    _events: ControlEvents
    _links: link_tables.LinkTable
    _datagrams: datagrams.DatagramPort
    table: membership.MemberTable
    topology: ranking.Topology
    replica: replicas.Replica
    _prober: probes.Prober
    _gossip: gossips.GossipQueue
    _rng: random.Random
    _cache: updates.SnapshotCache = attrs.field(factory=updates.SnapshotCache)
    _readers: dict[model.Address, updates.UpdateReader] = attrs.field(
        factory=dict
    )
    _runners: dict[type, Callable[[Any], object]] = attrs.field(factory=dict)
    _loops: list[task.LoopingCall] = attrs.field(factory=list)
    _revision: int = -1
    _heard_at: float = float("-inf")
    _dead_since: float | None = None
    _version_waiters: list["_VersionWaiter"] = attrs.field(factory=list)

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
        now = reactor.seconds()
        table = membership.MemberTable.create(own)
        plane = cls(
            reactor=reactor,
            events=events,
            links=link_table,
            datagrams=port,
            table=table,
            topology=ranking.Topology.create(table),
            replica=replicas.Replica.create(rng, now),
            prober=probes.Prober.create(table, rng, now),
            gossip=gossips.GossipQueue(),
            rng=rng,
        )
        plane._runners = plane._list_runners()
        link_table.handlers.update(plane._list_handlers())
        return plane

    def start(self) -> None:
        """Starts the timers."""
        for interval, function in (
            (TICK_S, self._tick),
            (MAINTENANCE_S, self._maintain),
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

    # What the rest of the node asks or tells.

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns the heartbeat to send now."""
        state = self.replica.state
        root = state.in_force.root[:ROOT_LETTERS] if state.in_force else ""
        return messages.Heartbeat(state.version, root, self._age_ms(), 0)

    def receive_snapshot(
        self, snapshot: snapshots.Snapshot, age_s: float
    ) -> None:
        """Takes a version read from the store."""
        self._cache.add(snapshot)
        self._run_checked(
            lambda now: self.replica.receive_snapshot(snapshot, age_s, now)
        )

    def receive_head(self, version: int, age_s: float) -> None:
        """Takes the version that the head at the store names."""
        self._run_checked(
            lambda now: self.replica.receive_head(version, age_s, now)
        )

    def announce(self, state: model.MemberState) -> None:
        """Spreads a new state of this node."""
        self._gossip.spread(self.table.announce(state))
        self._flush_gossip(self._reactor.seconds())

    def find_held(self) -> snapshots.Snapshot | None:
        """Returns the newest version held, in force or not."""
        held = self.replica.state.held
        return held if isinstance(held, snapshots.Snapshot) else None

    def pull_version(
        self,
        link: links.Link,
        version: int,
        timeout_s: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Fetches a version from a peer that has it.

        Args:
            link: link to the peer.
            version: the lowest version wanted in force.
            timeout_s: seconds until `on_done` hears False.
            on_done: told whether the version is in force.
        """
        if self.replica.state.version >= version:
            on_done(True)
            return
        waiter = _VersionWaiter(version, on_done)
        self._version_waiters.append(waiter)
        waiter.timer = self._reactor.callLater(
            timeout_s, self._expire_waiter, waiter
        )
        link.send(messages.Fetch(self.replica.state.held_version))

    # Links.

    def handle_up(self, peer: model.Member) -> None:
        """Compares members and versions with a newly linked peer."""
        now = self._reactor.seconds()
        self._gossip.open_link(peer.address)
        self._links.send(peer.address, self._make_digest())
        self._run(self.replica.open_link(peer.address, now))

    def handle_down(self, peer: model.Member) -> None:
        """Probes a peer whose last link was lost."""
        now = self._reactor.seconds()
        self._gossip.close_link(peer.address)
        self._readers.pop(peer.address, None)
        self._run(self.replica.close_link(peer.address, now))
        if peer.place.data_centre == self.table.own.place.data_centre:
            self._run(self._prober.probe(peer.address, now))

    def _list_handlers(self) -> dict[type, link_tables.Handler]:
        replica = self.replica

        def on(decide: Callable[[model.Address, Any, float], Iterable[Any]]):  # type: ignore[no-untyped-def]
            def handle(link: links.Link, message: Any) -> None:
                now = self._reactor.seconds()
                self._run(decide(link.peer.address, message, now))

            return handle

        return {
            messages.Heartbeat: self._handle_heartbeat,
            messages.Notice: on(
                lambda peer, message, now: replica.receive_notice(
                    peer,
                    message.version,
                    message.root,
                    _read_age(message.age_ms),
                    now,
                )
            ),
            messages.Fetch: on(
                lambda peer, message, now: replica.receive_fetch(
                    peer, message.base_version, now
                )
            ),
            messages.Report: on(
                lambda peer, message, now: replica.receive_report(
                    peer, message.version, now
                )
            ),
            messages.Reported: on(
                lambda peer, message, now: replica.receive_reported(
                    peer, message.version, now
                )
            ),
            messages.AskFloor: on(
                lambda peer, _, now: replica.receive_ask_floor(peer, now)
            ),
            messages.Floor: on(
                lambda peer, message, now: replica.receive_floor(
                    peer, max(message.version, message.floor), now
                )
            ),
            messages.Update: self._handle_update,
            messages.Gossip: self._handle_gossip,
            messages.Digest: self._handle_digest,
        }

    def _handle_heartbeat(
        self, link: links.Link, message: messages.Heartbeat
    ) -> None:
        self._heard_at = self._reactor.seconds()
        self._run(
            self.replica.receive_heartbeat(
                link.peer.address,
                message.version,
                _read_age(message.age_ms),
                self._reactor.seconds(),
            )
        )

    def _handle_update(
        self, link: links.Link, message: messages.Update
    ) -> None:
        peer = link.peer.address
        reader = self._readers.setdefault(peer, updates.UpdateReader())
        try:
            delta = reader.receive(message)
            if delta is None:
                return
            snapshot = self._apply(delta)
        except config_exceptions.ConfigError as error:
            logs.log_event("update.refused", peer=peer, error=str(error))
            self._run(self.replica.fail_update(peer, self._reactor.seconds()))
            return
        if snapshot is not None:
            self._cache.add(snapshot)
            self._run_checked(
                lambda now: self.replica.receive_update(peer, snapshot, now)
            )

    def _apply(self, delta: deltas.Delta) -> snapshots.Snapshot | None:
        if delta.version <= self.replica.state.held_version:
            # Another peer was faster, or this one answered twice.
            return self.find_held()
        base = self._cache.get(delta.base_version)
        if base is None:
            raise config_exceptions.SnapshotError(
                f"version {delta.base_version} is not kept"
            )
        return deltas.apply_delta(base, delta)

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
        self._check_members()

    def _handle_digest(
        self, link: links.Link, message: messages.Digest
    ) -> None:
        other = {entry.data_centre: entry.digest for entry in message.entries}
        differing = digests.compare(self.table.digest_by_data_centre(), other)
        for data_centre in differing:
            found = self.table.members_of(data_centre)
            for start in range(0, len(found), SYNC_BATCH):
                batch = found[start : start + SYNC_BATCH]
                link.send(messages.Gossip(tuple(batch)))

    # Datagrams.

    def handle_datagram(self, message: messages.Datagram) -> None:
        """Takes a probe, an ack or a request to probe."""
        now = self._reactor.seconds()
        prober = self._prober
        if isinstance(message, messages.Ping):
            self._run(
                prober.receive_ping(message.sender, message.sequence, now)
            )
        elif isinstance(message, messages.Ack):
            self._run(prober.receive_ack(message.sender, message.sequence, now))
        else:
            self._run(
                prober.receive_ping_request(
                    message.sender, message.about, message.sequence, now
                )
            )

    # Timers.

    def _tick(self) -> None:
        now = self._reactor.seconds()
        for dead in self.table.tick(now):
            self._gossip.spread(dead)
        self._run(self._prober.tick(now))
        self._flush_gossip(now)
        self._check_members()
        self._run(self.replica.tick(now))
        self._check_alive(now)

    def _check_alive(self, now: float) -> None:
        """Takes the node out of service until its version is confirmed."""
        if not self.table.was_declared_dead:
            return
        if self._dead_since is None:
            self._dead_since = now
            logs.log_event("member.declared_dead")
            self._events.on_declared_dead()
        is_alone = len(self.table.live()) == 1
        is_heard = self._heard_at >= self._dead_since + CONFIRM_S
        state = self.replica.state
        if (is_alone or is_heard) and state.version >= state.newest_seen:
            self._dead_since = None
            self.table.confirm_alive()
            self._events.on_confirmed()

    def _maintain(self) -> None:
        self.table.expire(self._reactor.seconds())
        kept = self._keep_links()
        self._links.close_idle(kept)
        if kept and self._rng.random() < MAINTENANCE_S / DIGEST_S:
            peer = self._rng.choice(sorted(kept))
            self._links.send(peer, self._make_digest())

    def _keep_links(self) -> frozenset[model.Address]:
        wanted = [*self.topology.neighbours(), *self.topology.gateway_links()]
        for member in wanted:
            self._links.open(member.address, member.place.region)
        return frozenset(member.address for member in wanted)

    def _check_members(self) -> None:
        if self._revision == self.table.revision:
            return
        self._revision = self.table.revision
        now = self._reactor.seconds()
        neighbours = [member.address for member in self.topology.neighbours()]
        self._run(self.replica.set_neighbours(neighbours, now))
        self._keep_links()
        self._events.on_members()

    def _flush_gossip(self, now: float) -> None:
        for batch in self._gossip.tick(now):
            self._links.send(batch.to, messages.Gossip(batch.members))

    # Actions.

    def _run_checked(self, decide: Callable[[float], Iterable[Any]]) -> None:
        try:
            self._run(decide(self._reactor.seconds()))
        except distribution_exceptions.VersionConflict as error:
            logs.log_event("version.conflict", error=str(error))

    def _run(self, actions: Iterable[Any]) -> None:
        for action in actions:
            self._runners[type(action)](action)

    def _list_runners(self) -> dict[type, Callable[[Any], object]]:
        send = self._links.send

        def put_in_force(action: replicas.PutInForce) -> None:
            snapshot = action.snapshot
            assert isinstance(snapshot, snapshots.Snapshot)
            self._cache.add(snapshot)
            logs.log_event("version.in_force", version=snapshot.version)
            self._events.on_in_force(snapshot)
            self._wake_waiters(snapshot.version)

        def send_update(action: spread.SendUpdate) -> None:
            snapshot = action.snapshot
            assert isinstance(snapshot, snapshots.Snapshot)
            for part in self._cache.list_parts(action.base_version, snapshot):
                send(action.to, part)

        def accuse(action: probes.Accuse) -> None:
            logs.log_event("member.suspected", member=action.member.address)
            changed = self.table.apply(action.member, self._reactor.seconds())
            if changed is not None:
                self._gossip.spread(changed)

        own = self.table.own.address
        return {
            replicas.PutInForce: put_in_force,
            replicas.ReadHead: lambda _: self._events.on_read_head(),
            replicas.SendReport: lambda action: send(
                action.to, messages.Report(action.version)
            ),
            replicas.SendReported: lambda action: send(
                action.to, messages.Reported(action.version)
            ),
            replicas.SendFloor: lambda action: send(
                action.to,
                messages.Floor(
                    self.replica.state.version, action.version, True
                ),
            ),
            floors.SendAskFloor: lambda action: send(
                action.to, messages.AskFloor(own)
            ),
            spread.SendNotice: lambda action: send(
                action.to,
                messages.Notice(
                    action.version,
                    action.root[:ROOT_LETTERS],
                    self._age_ms(),
                ),
            ),
            spread.SendFetch: lambda action: send(
                action.to, messages.Fetch(action.base_version)
            ),
            spread.SendUpdate: send_update,
            probes.Accuse: accuse,
            probes.SendPing: lambda action: self._datagrams.send(
                self._make_ping(action.sequence), action.to
            ),
            probes.SendAck: lambda action: self._datagrams.send(
                self._make_ack(action.sequence), action.to
            ),
            probes.SendPingRequest: lambda action: self._datagrams.send(
                messages.PingRequest(action.sequence, own, action.to),
                action.via,
            ),
        }

    def _make_ping(self, sequence: int) -> messages.Ping:
        return messages.Ping(
            sequence,
            self.table.own.address,
            self.replica.state.version,
            self._age_ms(),
        )

    def _make_ack(self, sequence: int) -> messages.Ack:
        own = self.table.own.address
        return messages.Ack(
            sequence, own, self.replica.state.version, self._age_ms(), own
        )

    def _make_digest(self) -> messages.Digest:
        return messages.Digest(
            tuple(
                messages.DigestEntry(name, digest)
                for name, digest in self.table.digest_by_data_centre().items()
            )
        )

    def _age_ms(self) -> int:
        age = self.replica.tracker.age(self._reactor.seconds())
        return min(int(age * 1000), MAX_AGE_MS) if age < MAX_AGE_MS else -1

    def _wake_waiters(self, version: int) -> None:
        for waiter in list(self._version_waiters):
            if waiter.version <= version:
                self._version_waiters.remove(waiter)
                waiter.timer.cancel()
                waiter.on_done(True)

    def _expire_waiter(self, waiter: "_VersionWaiter") -> None:
        self._version_waiters.remove(waiter)
        waiter.on_done(False)


@attrs.define(eq=False)
class _VersionWaiter:
    """A call that waits for a version."""

    version: int
    on_done: Callable[[bool], None]
    timer: Any = None


def _read_age(age_ms: int) -> float:
    return float("inf") if age_ms == UNKNOWN_AGE_MS else age_ms / 1000
