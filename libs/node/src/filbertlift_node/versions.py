"""Exchange of versions, floors and freshness with other nodes over links.

Unlike `filbertlift_sidecar.versions`, it also tracks how old the version in
force is, and leaves reading from the store to other modules.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import attrs

from filbertlift_config import delta as deltas
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import snapshot as snapshots
from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_distribution import exceptions as distribution_exceptions
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import replica as replicas
from filbertlift_distribution import spread
from filbertlift_distribution import witnesses
from filbertlift_node import actions
from filbertlift_node import ages
from filbertlift_node import links as link_tables
from filbertlift_node import updates
from filbertlift_transport import link as links
from filbertlift_wire import messages

# Length of the root in heartbeats and notices, where it only helps to read
# captured traffic; a delta is verified against the whole root. The full 64
# letters would cost 1 KB/s on eight links.
ROOT_LENGTH = 8


@attrs.define(eq=False)
class _Waiter:
    """A request for a version that is not in force yet."""

    version: int
    on_done: Callable[[bool], None]
    timer: Any = None


@attrs.define(eq=False)
class VersionExchange:
    """Passes messages to the replica and executes the actions it returns.

    Attributes:
        replica: version in force and its freshness.
        heartbeat_sent_at: time at or after which the newest heartbeat with a
            measured delay was sent, in seconds.
    """

    _reactor: Any
    _links: link_tables.LinkTable
    _own: model.Address
    _on_in_force: Callable[[snapshots.Snapshot], None]
    _on_read_head: Callable[[], None]
    replica: replicas.Replica
    heartbeat_sent_at: float = float("-inf")
    _cache: updates.SnapshotCache = attrs.field(factory=updates.SnapshotCache)
    _readers: dict[links.Link, updates.UpdateReader] = attrs.field(factory=dict)
    _delays: dict[links.Link, freshness.LinkDelay] = attrs.field(factory=dict)
    _waiters: list[_Waiter] = attrs.field(factory=list)
    _action_handlers: dict[type, actions.ActionHandler] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self._action_handlers = {
            replicas.PutInForce: self._put_in_force,
            replicas.ReadHead: lambda _: self._on_read_head(),
            replicas.SendReported: self._send_reported,
            replicas.SendFloor: self._send_floor,
            witnesses.SendReport: self._send_report,
            floors.SendAskFloor: self._send_ask_floor,
            spread.SendNotice: self._send_notice,
            spread.SendFetch: self._send_fetch,
            spread.SendUpdate: self._send_update,
        }

    @classmethod
    def create(
        cls,
        reactor: Any,
        link_table: link_tables.LinkTable,
        own: model.Address,
        rng: random.Random,
        on_in_force: Callable[[snapshots.Snapshot], None],
        on_read_head: Callable[[], None],
    ) -> "VersionExchange":
        """Returns the exchange of a node without a version.

        Args:
            reactor: the reactor.
            link_table: links to other nodes.
            own: link address of this node.
            rng: random numbers for delays.
            on_in_force: called with each snapshot that is put in force.
            on_read_head: called to read the head at the store.
        """
        exchange = cls(
            reactor=reactor,
            links=link_table,
            own=own,
            on_in_force=on_in_force,
            on_read_head=on_read_head,
            replica=replicas.Replica.create(rng, reactor.seconds()),
        )
        link_table.handlers.update(exchange._list_handlers())
        return exchange

    def read_version(self) -> tuple[int, int]:
        """Returns the version in force and its age, in milliseconds."""
        return self.replica.state.version, self._get_age_ms()

    def make_heartbeat(self, link: links.Link) -> messages.Heartbeat:
        """Returns a heartbeat that is sent now on a link."""
        state = self.replica.state
        delay = self._delays.setdefault(link, freshness.LinkDelay())
        stamp = delay.stamp(self._reactor.seconds())
        return messages.Heartbeat(
            version=state.version,
            root=state.in_force.root[:ROOT_LENGTH] if state.in_force else "",
            age_ms=self._get_age_ms(),
            queue=0,
            number=stamp.number,
            echo=stamp.echo,
            held_ms=int(stamp.held_s * 1000),
        )

    def receive_snapshot(
        self, snapshot: snapshots.Snapshot, age_s: float
    ) -> None:
        """Handles a version that was read from the store."""
        self._cache.add(snapshot)
        self._run_checked(
            lambda now: self.replica.receive_snapshot(snapshot, age_s, now)
        )

    def receive_head(self, version: int, age_s: float) -> None:
        """Handles the version of the head at the store."""
        now = self._reactor.seconds()
        self.run(self.replica.receive_head(version, age_s, now))

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
            version: the lowest version that is accepted.
            timeout_s: time until `on_done` is called with False, in seconds.
            on_done: called with whether the version is in force.
        """
        if self.replica.state.version >= version:
            on_done(True)
            return
        waiter = _Waiter(version, on_done)
        self._waiters.append(waiter)
        waiter.timer = self._reactor.callLater(
            timeout_s, self._expire_waiter, waiter
        )
        link.send(messages.Fetch(self.replica.state.held_version))

    def forget_link(self, link: links.Link) -> None:
        """Removes the state of a link that was lost."""
        self._readers.pop(link, None)
        self._delays.pop(link, None)

    def run(self, pending: Iterable[Any]) -> None:
        """Executes actions of the replica."""
        actions.run(pending, self._action_handlers)

    # Messages.

    def _list_handlers(self) -> dict[type, link_tables.Handler]:
        replica = self.replica
        decisions: dict[type, Callable[[Any, Any, float], Iterable[Any]]] = {
            messages.Notice: lambda peer, message, now: replica.receive_notice(
                peer,
                message.version,
                message.root,
                ages.from_ms(message.age_ms),
                now,
            ),
            messages.Fetch: lambda peer, message, now: replica.receive_fetch(
                peer, message.base_version, now
            ),
            messages.Report: lambda peer, message, now: replica.receive_report(
                peer, message.version, now
            ),
            messages.Reported: (
                lambda peer, message, now: replica.receive_reported(
                    peer, message.version, now
                )
            ),
            messages.AskFloor: lambda peer, _, now: replica.receive_ask_floor(
                peer, now
            ),
            messages.Floor: lambda peer, message, now: replica.receive_floor(
                peer, max(message.version, message.floor), now
            ),
        }
        handlers: dict[type, link_tables.Handler] = {
            kind: self._make_handler(decide)
            for kind, decide in decisions.items()
        }
        handlers[messages.Heartbeat] = self._handle_heartbeat
        handlers[messages.Update] = self._handle_update
        return handlers

    def _make_handler(
        self, decide: Callable[[Any, Any, float], Iterable[Any]]
    ) -> link_tables.Handler:
        def handle(link: links.Link, message: Any) -> None:
            now = self._reactor.seconds()
            self.run(decide(link.peer.address, message, now))

        return handle

    def _handle_heartbeat(
        self, link: links.Link, message: messages.Heartbeat
    ) -> None:
        now = self._reactor.seconds()
        delay = self._delays.setdefault(link, freshness.LinkDelay())
        stamp = freshness.Stamp(
            message.number, message.echo, message.held_ms / 1000
        )
        transit = delay.receive(stamp, now)
        if transit is not None:
            self.heartbeat_sent_at = max(self.heartbeat_sent_at, now - transit)
        self.run(
            self.replica.receive_heartbeat(
                link.peer.address,
                message.version,
                ages.from_ms(message.age_ms),
                now,
                transit,
            )
        )

    def _handle_update(
        self, link: links.Link, message: messages.Update
    ) -> None:
        peer = link.peer.address
        reader = self._readers.setdefault(link, updates.UpdateReader())
        try:
            delta = reader.receive(message)
            if delta is None:
                return
            snapshot = self._apply(delta)
        except config_exceptions.ConfigError as error:
            logs.log_event("update.refused", peer=peer, error=str(error))
            self.run(self.replica.fail_update(peer, self._reactor.seconds()))
            return
        if snapshot is not None:
            self._cache.add(snapshot)
            self._run_checked(
                lambda now: self.replica.receive_update(peer, snapshot, now)
            )

    def _apply(self, delta: deltas.Delta) -> snapshots.Snapshot | None:
        if delta.version <= self.replica.state.held_version:
            # Another peer sent it first, or this peer sent it twice.
            return self.find_held()
        base = self._cache.get(delta.base_version)
        if base is None:
            raise config_exceptions.SnapshotError(
                f"version {delta.base_version} is not kept"
            )
        return deltas.apply_delta(base, delta)

    # Actions.

    def _run_checked(self, decide: Callable[[float], Iterable[Any]]) -> None:
        try:
            self.run(decide(self._reactor.seconds()))
        except distribution_exceptions.VersionConflict as error:
            logs.log_event("version.conflict", error=str(error))

    def _put_in_force(self, action: replicas.PutInForce) -> None:
        snapshot = action.snapshot
        assert isinstance(snapshot, snapshots.Snapshot)
        self._cache.add(snapshot)
        logs.log_event("version.in_force", version=snapshot.version)
        self._on_in_force(snapshot)
        for waiter in list(self._waiters):
            if waiter.version <= snapshot.version:
                self._waiters.remove(waiter)
                waiter.timer.cancel()
                waiter.on_done(True)

    def _expire_waiter(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        waiter.on_done(False)

    def _send_report(self, action: witnesses.SendReport) -> None:
        self._links.send(action.to, messages.Report(action.version))

    def _send_reported(self, action: replicas.SendReported) -> None:
        self._links.send(action.to, messages.Reported(action.version))

    def _send_floor(self, action: replicas.SendFloor) -> None:
        version = self.replica.state.version
        floor = messages.Floor(version, action.version, True)
        self._links.send(action.to, floor)

    def _send_ask_floor(self, action: floors.SendAskFloor) -> None:
        self._links.send(action.to, messages.AskFloor(self._own))

    def _send_notice(self, action: spread.SendNotice) -> None:
        root = action.root[:ROOT_LENGTH]
        notice = messages.Notice(action.version, root, self._get_age_ms())
        self._links.send(action.to, notice)

    def _send_fetch(self, action: spread.SendFetch) -> None:
        self._links.send(action.to, messages.Fetch(action.base_version))

    def _send_update(self, action: spread.SendUpdate) -> None:
        snapshot = action.snapshot
        assert isinstance(snapshot, snapshots.Snapshot)
        for part in self._cache.list_parts(action.base_version, snapshot):
            self._links.send(action.to, part)

    def _get_age_ms(self) -> int:
        return ages.to_ms(self.replica.tracker.age(self._reactor.seconds()))
