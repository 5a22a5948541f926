"""Configuration in force on this host, and the fetching of newer versions.

In each region a few hosts watch the store. The others learn of a version from
peers and fetch it from a peer in their region, so that the number of store
calls and the bytes between regions do not grow with the number of hosts. A
version that is known to exist is requested until it has arrived.

Unlike `filbertlift_node.versions`, it reads the store itself, and exchanges
neither floors nor the age of versions.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import task

from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_mesh import deltas
from filbertlift_mesh import directory
from filbertlift_mesh import fanout
from filbertlift_mesh import holders
from filbertlift_mesh import watchers
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames
from filbertlift_sidecar import handover
from filbertlift_sidecar import loops
from filbertlift_sidecar import peerlink
from filbertlift_sidecar import rejections
from filbertlift_sidecar import remote as remotes
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface

# Time for which the store holds a watch open, in seconds. It bounds how long a
# connection that went silent stays undetected, at all watchers at once if all
# connections go silent.
WATCH_TIMEOUT_S: Final = 1.4
# The same for a host that the store did not answer last, so that an answer soon
# shows that it is back.
PROBE_TIMEOUT_S: Final = 0.1
# A starting host first waits until it knows the watchers: at most this long for
# the list of hosts, and then for their records, in seconds. If all hosts read
# the configuration at once, the links between regions would be overloaded.
MAX_LIST_WAIT_S: Final = 1.5
RECORD_WAIT_S: Final = 0.3
# Interval at which a host without a configuration reads the key, in seconds,
# for watchers and for other hosts. The others read it in case no peer sends
# them a version.
FIRST_READ_INTERVAL_S: Final = 1.0
OTHER_FIRST_READ_INTERVAL_S: Final = 2.0
# Pause after a new version, in seconds, so that changes in quick succession are
# read together.
COALESCE_S: Final = 0.4
# Backoff between failed calls to the store, in seconds; it is doubled before
# each pause.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
# Time in which the watchers and peers of the region can send a version that is
# known to exist, in seconds, before this host reads it from the store. The
# store sends the whole value, which occupies a link of 3.5 Mbit/s for 0.7 s.
PEER_FETCH_S: Final = 0.8
# Interval at which such a version is requested from another peer, in seconds.
# It is doubled from the first read of the store on, up to the limit.
PEER_RETRY_S: Final = 0.4
MAX_PEER_RETRY_S: Final = 1.6
# Interval at which a host checks whether it should watch, in seconds.
RECHECK_INTERVAL_S: Final = 0.2

DecodeFunction = Callable[[bytes], configuration.Configuration]


@attrs.frozen
class VersionEvents:
    """Callbacks of `Versions`.

    Attributes:
        on_version: called with a newer version that was put in force, and with
            the number of hosts to announce it to.
        on_store: called with whether the store answered a call.
    """

    on_version: Callable[[configuration.Configuration, fanout.Fanout], None]
    on_store: Callable[[bool], None]


@attrs.define(eq=False)
class Versions:
    """Keeps the newest configuration in force.

    Attributes:
        is_listed: returns whether this host has read the list of hosts.
        noted: notes the values that were rejected.
        current: the version in force, None before the first.
        recent: encoded values of this version and of earlier ones.
    """

    reactor: Any
    store: interface.Store
    key: str
    decode: DecodeFunction
    table: directory.Directory
    remote: remotes.RemoteCalls
    events: VersionEvents
    log: eventlog.EventLog
    rng: random.Random
    is_listed: Callable[[], bool]
    noted: rejections.Rejections
    current: configuration.Configuration | None = None
    recent: handover.RecentVersions = attrs.field(
        factory=handover.RecentVersions
    )
    # Revision and version of the last read of the store.
    _revision: int = 0
    _read_version: int = -1
    _holders: holders.Holders = attrs.field(factory=holders.Holders)
    # The newest version that was requested from a peer of this region.
    _requested_version: int = -1
    # The value that was rejected last.
    _rejected: bytes | None = None
    _is_closed: bool = False
    _fetch_timer: Any = None
    # Pause before the next request for a version that is known to exist, and
    # when this host may read it from the store, in seconds.
    _retry_s: float = PEER_RETRY_S
    _read_due_at: float = 0.0
    _is_reading: bool = False
    _loop: loops.Loop | None = None

    @property
    def version(self) -> int:
        """Number of the version in force, -1 before the first."""
        return self.current.version if self.current is not None else -1

    def start(self) -> None:
        """Starts watching for versions."""
        self._loop = loops.Loop(
            self.reactor,
            self._watch,
            lambda error: self.log.log("versions.fault", error=error),
        )
        self._loop.start()

    def close(self) -> None:
        """Stops watching for versions."""
        self._is_closed = True
        if self._fetch_timer is not None and self._fetch_timer.active():
            self._fetch_timer.cancel()
        if self._loop is not None:
            self._loop.close()

    def learn(self, peer: model.Address, version: int) -> None:
        """Fetches a newer version that a peer has.

        Peers that have it are asked one after another, those of this region
        first. If the version does not arrive in time, it is also read from the
        store.
        """
        if version <= self.version:
            return
        if self._holders.note(peer, version):
            self.log.log(
                "versions.heard",
                version=version,
                in_force=self.version,
                peer=peer,
                near=self._is_near(peer),
            )
        if self._is_near(peer) and version > self._requested_version:
            self._requested_version = version
            self._request(peer)
        if self._fetch_timer is None:
            self._start_fetch()

    def _is_near(self, peer: model.Address) -> bool:
        record = self.table.find_record(peer)
        region = self.table.own.place.region
        return record is not None and record.place.region == region

    def _request(self, peer: model.Address) -> None:
        self._holders.note_asked(peer)
        self.remote.find_link(peer, remotes.BULK).request(
            frames.ConfigurationRequest(self.version)
        )

    def _start_fetch(self) -> None:
        """Starts the timer of the requests for a version known to exist."""
        self._read_due_at = self.reactor.seconds() + PEER_FETCH_S
        self._retry_s = PEER_RETRY_S
        self._schedule_fetch()

    def _schedule_fetch(self) -> None:
        self._fetch_timer = self.reactor.callLater(
            self._retry_s, self._repeat_fetch
        )

    def _repeat_fetch(self) -> None:
        """Asks another peer, and the store once peers had time to answer."""
        self._fetch_timer = None
        if self._holders.newest <= self.version:
            return
        # Without a version in force the reply is a whole value. Only few hosts
        # of a region may fetch that from another region.
        has_base = self.version >= 0
        is_read_due = self.reactor.seconds() >= self._read_due_at
        if has_base or is_read_due:
            peer = self._holders.choose(self._is_near, has_base)
            if peer is not None:
                self._request(peer)
        if is_read_due:
            self._retry_s = min(MAX_PEER_RETRY_S, 2.0 * self._retry_s)
            self._read_store()
        self._schedule_fetch()

    def receive(self, link: peerlink.PeerLink, message: frames.Message) -> None:
        """Handles a message of a peer about configurations."""
        if isinstance(message, frames.ConfigurationRequest):
            if self.version > message.after_version:
                link.send(self.recent.make_reply(message.after_version))
        elif isinstance(message, frames.ConfigurationReply):
            is_far = link.address is not None and not self._is_near(
                link.address
            )
            self._receive_reply(message, is_far)

    def _receive_reply(
        self, reply: frames.ConfigurationReply, is_far: bool
    ) -> None:
        if reply.version <= self.version:
            return
        try:
            value = self.recent.read_reply(reply)
        except exceptions.HandoverError as error:
            # Other peers are asked, and the store after `PEER_FETCH_S`.
            self.noted.note(
                "versions.reply-malformed",
                str(reply.version),
                error,
                base=reply.base_version,
            )
            return
        origin = fanout.Origin.FAR_PEER if is_far else fanout.Origin.NEAR_PEER
        self._apply(value, origin)

    def _read_store(self) -> None:
        if self._is_reading:
            return
        self._is_reading = True
        found = self.store.get(self.key)
        found.addCallbacks(self._finish_read, self._note_failed_read)

    def _finish_read(self, entry: interface.Entry | None) -> None:
        self._is_reading = False
        if not self._is_closed:
            self._apply_entry(entry)

    def _note_failed_read(self, reason: Any) -> None:
        self._is_reading = False
        reason.trap(store_exceptions.StoreError)
        self.log.log_request(
            "versions.fetch-failed",
            error=reason.getErrorMessage(),
            version=self._holders.newest,
            in_force=self.version,
        )

    async def _watch(self) -> None:
        pause_s = INITIAL_BACKOFF_S
        await self._wait_for_peers()
        while not self._is_closed:
            if self.current is not None and not self._is_watcher():
                await self._pause(RECHECK_INTERVAL_S)
                continue
            try:
                entry = await self._read_next()
            except store_exceptions.StoreError as error:
                self.events.on_store(False)
                self.log.log_request("versions.store-failed", error=error)
                pause_s = min(MAX_BACKOFF_S, 2.0 * pause_s)
                await self._pause(pause_s * (0.5 + self.rng.random()))
                continue
            pause_s = INITIAL_BACKOFF_S
            self.events.on_store(True)
            if self._apply_entry(entry):
                await self._pause(COALESCE_S)
            elif self.current is None:
                await self._wait_for_first()

    async def _wait_for_peers(self) -> None:
        until = self.reactor.seconds() + MAX_LIST_WAIT_S
        while not self.is_listed() and self.reactor.seconds() < until:
            await self._pause(RECORD_WAIT_S / 3)
        await self._pause(RECORD_WAIT_S)
        if not self._is_watcher():
            await self._wait_for_first()

    async def _wait_for_first(self) -> None:
        """Waits until the next read or until a peer has sent a version."""
        limit = (
            FIRST_READ_INTERVAL_S
            if self._is_watcher()
            else OTHER_FIRST_READ_INTERVAL_S
        )
        until = self.reactor.seconds() + limit
        while self.current is None and self.reactor.seconds() < until:
            await self._pause(RECHECK_INTERVAL_S)

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self.reactor, delay_s, _do_nothing)

    async def _read_next(self) -> interface.Entry | None:
        """Reads the key, or watches it if its last read is not outdated.

        A watch from an outdated revision would be answered with the values of
        all changes since.
        """
        if self._revision == 0 or self._read_version != self.version:
            return await self.store.get(self.key)
        has_store = self.table.own.has_store
        return await self.store.watch(
            self.key,
            self._revision,
            WATCH_TIMEOUT_S if has_store else PROBE_TIMEOUT_S,
        )

    def _is_watcher(self) -> bool:
        """Returns whether this host is one of the watchers of its region."""
        return watchers.is_watcher(self.table, self.reactor.seconds())

    def _apply_entry(self, entry: interface.Entry | None) -> bool:
        if entry is None or entry.revision <= self._revision:
            self._read_version = self.version
            return False
        self._revision = entry.revision
        is_new = self._apply(entry.value, fanout.Origin.STORE)
        self._read_version = self.version
        return is_new

    def _apply(self, value: bytes, origin: fanout.Origin) -> bool:
        """Puts a configuration in force if it is valid and newer."""
        is_in_force = self.current is not None and value == self.recent.value
        if is_in_force or value == self._rejected:
            return False
        try:
            found = self.decode(value)
        except core_exceptions.FilbertliftError as error:
            self._rejected = value
            self.noted.note(
                "versions.rejected",
                deltas.compute_digest(value).hex(),
                error,
                source=origin.value,
                size=len(value),
                in_force=self.version,
            )
            return False
        if found.version <= self.version:
            return False
        self.log.log(
            "versions.in-force",
            version=found.version,
            was=self.version,
            source=origin.value,
            size=len(value),
        )
        base_version = self.version
        self.current = found
        self.recent.add(found.version, value)
        self._holders.drop_older(found.version)
        self._restart_fetch()
        self.events.on_version(found, self._choose_fanout(origin, base_version))
        return True

    def _choose_fanout(
        self, origin: fanout.Origin, base_version: int
    ) -> fanout.Fanout:
        if origin is fanout.Origin.NEAR_PEER:
            return fanout.FORWARD
        # Most peers still have the version that this host had.
        reply = self.recent.make_reply(base_version)
        return fanout.choose_fanout(
            origin, self.table.own.link_kbps, len(reply.value)
        )

    def _restart_fetch(self) -> None:
        """Gives peers the whole time again for a still newer version."""
        if self._fetch_timer is None:
            return
        self._fetch_timer.cancel()
        self._fetch_timer = None
        if self._holders.newest > self.version:
            self._start_fetch()


def _do_nothing() -> None:
    """Callback of a pause."""
