"""Configuration in force on this host, and the fetching of newer versions.

In each region a few hosts watch the store. The others learn of a version from
peers and fetch it from a peer in their region, so that the number of store
calls and the bytes between regions do not grow with the number of hosts.

Unlike `filbertlift_node.versions`, it reads the store itself, and exchanges
neither floors nor the age of versions.
"""

from collections.abc import Callable
import hashlib
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames
from filbertlift_sidecar import handover
from filbertlift_sidecar import peerlink
from filbertlift_sidecar import remote as remotes
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface

# Hosts of a region that watch the store; two, so that the region still learns
# of new versions when one of them fails.
WATCHERS: Final = 2
# Time for which the store holds a watch open, in seconds. It bounds how long a
# connection that went silent stays undetected, at all watchers at once if all
# connections go silent.
WATCH_TIMEOUT_S: Final = 1.4
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
# Interval at which a host checks whether it should watch, in seconds.
RECHECK_INTERVAL_S: Final = 0.2

DecodeFunction = Callable[[bytes], configuration.Configuration]


@attrs.frozen
class VersionEvents:
    """Callbacks of `Versions`.

    Attributes:
        on_version: called with a newer version that was put in force.
        on_store: called with whether the store answered a call.
    """

    on_version: Callable[[configuration.Configuration], None]
    on_store: Callable[[bool], None]


@attrs.define(eq=False)
class Versions:
    """Keeps the newest configuration in force.

    Attributes:
        is_listed: returns whether this host has read the list of hosts.
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
    current: configuration.Configuration | None = None
    recent: handover.RecentVersions = attrs.field(
        factory=handover.RecentVersions
    )
    _revision: int = 0
    # The newest version that any host has, and the newest one that was
    # requested from a peer of this region.
    _known_version: int = -1
    _requested_version: int = -1
    _rejected: bytes = b""
    _is_closed: bool = False
    _fetch_timer: Any = None
    _loop: Any = None

    @property
    def version(self) -> int:
        """Number of the version in force, -1 before the first."""
        return self.current.version if self.current is not None else -1

    def start(self) -> None:
        """Starts watching for versions."""
        self._loop = defer.ensureDeferred(self._watch())
        self._loop.addErrback(self._log_fault)

    def close(self) -> None:
        """Stops watching for versions."""
        self._is_closed = True
        if self._fetch_timer is not None and self._fetch_timer.active():
            self._fetch_timer.cancel()
        if self._loop is not None:
            self._loop.cancel()

    def learn(self, peer: model.Address, version: int) -> None:
        """Fetches a newer version that a peer has.

        A peer of this region is asked for it. If the version does not arrive
        in time, it is read from the store.
        """
        if version <= self.version:
            return
        if self._is_near(peer) and version > self._requested_version:
            self._requested_version = version
            self.remote.find_link(peer, remotes.BULK).send(
                frames.ConfigurationRequest(self.version)
            )
        if version <= self._known_version:
            return
        self._known_version = version
        if self._fetch_timer is None or not self._fetch_timer.active():
            self._fetch_timer = self.reactor.callLater(
                PEER_FETCH_S, self._fetch_from_store
            )

    def _is_near(self, peer: model.Address) -> bool:
        record = self.table.find_record(peer)
        region = self.table.own.place.region
        return record is not None and record.place.region == region

    def receive(self, link: peerlink.PeerLink, message: frames.Message) -> None:
        """Handles a message of a peer about configurations."""
        if isinstance(message, frames.ConfigurationRequest):
            if self.version > message.after_version:
                link.send(self.recent.make_reply(message.after_version))
        elif isinstance(message, frames.ConfigurationReply):
            self._receive_reply(message)

    def _receive_reply(self, reply: frames.ConfigurationReply) -> None:
        if reply.version <= self.version:
            return
        try:
            value = self.recent.read_reply(reply)
        except exceptions.HandoverError as error:
            # The version is read from the store after `PEER_FETCH_S`.
            self.log.log(
                "versions.reply-malformed",
                error=error,
                version=reply.version,
                base=reply.base_version,
            )
            return
        self._apply(value, "peer")

    def _fetch_from_store(self) -> None:
        if self._known_version <= self.version or self._is_closed:
            return
        found = self.store.get(self.key)
        found.addCallbacks(self._apply_entry, self._note_failed_fetch)

    def _note_failed_fetch(self, reason: Any) -> None:
        reason.trap(store_exceptions.StoreError)
        # The next datagram that carries the version starts another attempt.
        self._known_version = self._requested_version = self.version
        self.log.log_request(
            "versions.fetch-failed", error=reason.getErrorMessage()
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
        if self._revision == 0:
            return await self.store.get(self.key)
        return await self.store.watch(self.key, self._revision, WATCH_TIMEOUT_S)

    def _is_watcher(self) -> bool:
        """Returns whether this host is one of the watchers of its region."""
        own = self.table.own
        if own.is_leaving:
            return False
        candidates = [
            record
            for record in self.table.list_live(self.reactor.seconds())
            if record.place.region == own.place.region
            and record.has_store
            and not record.is_leaving
        ]
        rank = rank_watcher(own)
        higher_ranked = sum(
            1 for record in candidates if rank_watcher(record) > rank
        )
        return higher_ranked < WATCHERS

    def _apply_entry(self, entry: interface.Entry | None) -> bool:
        if entry is None or entry.revision <= self._revision:
            return False
        self._revision = entry.revision
        return self._apply(entry.value, "store")

    def _apply(self, value: bytes, source: str) -> bool:
        """Puts a configuration in force if it is valid and newer."""
        if value in (self.recent.value, self._rejected):
            return False
        try:
            found = self.decode(value)
        except core_exceptions.FilbertliftError as error:
            self._rejected = value
            self.log.log(
                "versions.rejected",
                error=error,
                source=source,
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
            source=source,
            size=len(value),
        )
        self.current = found
        self.recent.add(found.version, value)
        self.events.on_version(found)
        return True

    def _log_fault(self, reason: Any) -> None:
        if reason.check(defer.CancelledError) and self._is_closed:
            return
        self.log.log("versions.fault", error=reason.getErrorMessage())


def rank_watcher(record: directory.HostRecord) -> tuple[int, int]:
    """Returns the rank of a host as a watcher; the highest ranks watch.

    Watchers read every version from the store and send it to others, so hosts
    with a wide link rank higher. Among similar links the order is pseudo-random
    but the same on all hosts.
    """
    text = str(record.address).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return record.link_kbps.bit_length(), int.from_bytes(digest)


def _do_nothing() -> None:
    """Callback of a pause."""
