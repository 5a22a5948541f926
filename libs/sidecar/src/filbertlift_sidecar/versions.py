"""Which configuration is in force here, and where a newer one comes from.

In each region a few hosts watch the store; the others hear of a version from
peers and fetch it from one in their region, so that the store's calls and the
bytes between regions do not grow with the hosts.
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

# Hosts of a region that watch the store; two, so that one may fail unnoticed.
WATCHERS: Final = 2
# A watch waits this long at the store, in seconds. An open connection may go
# silent, so this bounds how long that stays unnoticed; meanwhile the other
# watchers tell of a change.
WATCH_S: Final = 4.0
# A starting host first learns who the watchers are, for this long at most, in
# seconds, since reading the configuration everywhere at once chokes the links
# between regions.
ORIENT_S: Final = 1.5
SETTLE_S: Final = 0.3
# Before the first configuration the key is read this often, in seconds, by
# the watchers, and by the other hosts in case no peer tells them.
FIRST_READ_S: Final = 1.0
OTHER_FIRST_READ_S: Final = 2.0
# Changes that follow one another within this time are read together.
COALESCE_S: Final = 0.4
# Failed calls to the store are repeated after this, in seconds, doubling.
FIRST_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 1.0
# The watchers and peers of the region have this long to bring a version that
# is known to exist, in seconds, before the store is asked for it. The store
# sends it whole, which takes 0.7 s of a link of 3.5 Mbit/s.
PEER_S: Final = 0.8
# How often a host that does not watch looks whether it should, in seconds.
RECHECK_S: Final = 0.2

DecodeFunction = Callable[[bytes], configuration.Configuration]


@attrs.frozen
class VersionEvents:
    """Functions that tell of a version.

    Attributes:
        on_version: a newer version is in force.
        on_store: whether the store answers.
    """

    on_version: Callable[[configuration.Configuration], None]
    on_store: Callable[[bool], None]


@attrs.define(eq=False)
class Versions:
    """The configuration in force and its sources.

    Attributes:
        current: the version in force, None before the first.
        shelf: its bytes and those of the versions before.
        is_listed: whether this host has read who the others are.
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
    shelf: handover.Shelf = attrs.field(factory=handover.Shelf)
    _revision: int = 0
    # The newest version that any host has, and that a near one was asked for.
    _known_version: int = -1
    _asked_version: int = -1
    _rejected: bytes = b""
    _is_closed: bool = False
    _fetch_call: Any = None
    _loop: Any = None

    @property
    def version(self) -> int:
        """Number of the version in force, -1 before the first."""
        return self.current.version if self.current is not None else -1

    def start(self) -> None:
        """Starts to watch."""
        self._loop = defer.ensureDeferred(self._watch())
        self._loop.addErrback(self._log_fault)

    def close(self) -> None:
        """Stops watching."""
        self._is_closed = True
        if self._fetch_call is not None and self._fetch_call.active():
            self._fetch_call.cancel()
        if self._loop is not None:
            self._loop.cancel()

    def learn(self, peer: model.Address, version: int) -> None:
        """A peer has a newer version; fetches it from there or the store."""
        if version <= self.version:
            return
        if self._is_near(peer) and version > self._asked_version:
            self._asked_version = version
            self.remote.find_link(peer, remotes.BULK).send(
                frames.ConfigurationRequest(self.version)
            )
        if version <= self._known_version:
            return
        self._known_version = version
        if self._fetch_call is None or not self._fetch_call.active():
            self._fetch_call = self.reactor.callLater(
                PEER_S, self._fetch_from_store
            )

    def _is_near(self, peer: model.Address) -> bool:
        record = self.table.find_record(peer)
        region = self.table.own.place.region
        return record is not None and record.place.region == region

    def receive(self, link: peerlink.PeerLink, message: frames.Message) -> None:
        """Takes a message of a peer about configurations."""
        if isinstance(message, frames.ConfigurationRequest):
            if self.version > message.after_version:
                link.send(self.shelf.make_reply(message.after_version))
        elif isinstance(message, frames.ConfigurationReply):
            self._receive_reply(message)

    def _receive_reply(self, reply: frames.ConfigurationReply) -> None:
        if reply.version <= self.version:
            return
        try:
            value = self.shelf.read_reply(reply)
        except exceptions.HandoverError as error:
            # The store is asked once the peers' time is over.
            self.log.log(
                "versions.reply-malformed",
                error=error,
                version=reply.version,
                base=reply.base_version,
            )
            return
        self._take(value, "peer")

    def _fetch_from_store(self) -> None:
        if self._known_version <= self.version or self._is_closed:
            return
        found = self.store.get(self.key)
        found.addCallbacks(self._take_entry, self._note_failed_fetch)

    def _note_failed_fetch(self, reason: Any) -> None:
        reason.trap(store_exceptions.StoreError)
        # The next digest that names the version starts another try.
        self._known_version = self._asked_version = self.version
        self.log.log_request(
            "versions.fetch-failed", error=reason.getErrorMessage()
        )

    async def _watch(self) -> None:
        pause_s = FIRST_PAUSE_S
        await self._orient()
        while not self._is_closed:
            if self.current is not None and not self._is_watcher():
                await self._pause(RECHECK_S)
                continue
            try:
                entry = await self._read_next()
            except store_exceptions.StoreError as error:
                self.events.on_store(False)
                self.log.log_request("versions.store-failed", error=error)
                pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
                await self._pause(pause_s * (0.5 + self.rng.random()))
                continue
            pause_s = FIRST_PAUSE_S
            self.events.on_store(True)
            if self._take_entry(entry):
                await self._pause(COALESCE_S)
            elif self.current is None:
                await self._wait_for_first()

    async def _orient(self) -> None:
        until = self.reactor.seconds() + ORIENT_S
        while not self.is_listed() and self.reactor.seconds() < until:
            await self._pause(SETTLE_S / 3)
        await self._pause(SETTLE_S)
        if not self._is_watcher():
            await self._wait_for_first()

    async def _wait_for_first(self) -> None:
        """Waits before the next read; ends when a peer had a version."""
        limit = FIRST_READ_S if self._is_watcher() else OTHER_FIRST_READ_S
        until = self.reactor.seconds() + limit
        while self.current is None and self.reactor.seconds() < until:
            await self._pause(RECHECK_S)

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self.reactor, delay_s, _do_nothing)

    async def _read_next(self) -> interface.Entry | None:
        if self._revision == 0:
            return await self.store.get(self.key)
        return await self.store.watch(self.key, self._revision, WATCH_S)

    def _is_watcher(self) -> bool:
        """Returns whether this host ranks among the watchers of its region."""
        own = self.table.own
        if own.is_leaving:
            return False
        rivals = [
            record
            for record in self.table.list_live(self.reactor.seconds())
            if record.place.region == own.place.region
            and record.has_store
            and not record.is_leaving
        ]
        rank = rank_watcher(own)
        better = sum(1 for record in rivals if rank_watcher(record) > rank)
        return better < WATCHERS

    def _take_entry(self, entry: interface.Entry | None) -> bool:
        if entry is None or entry.revision <= self._revision:
            return False
        self._revision = entry.revision
        return self._take(entry.value, "store")

    def _take(self, value: bytes, source: str) -> bool:
        """Puts a newer, complete configuration in force."""
        if value in (self.shelf.value, self._rejected):
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
        self.shelf.add(found.version, value)
        self.events.on_version(found)
        return True

    def _log_fault(self, reason: Any) -> None:
        if reason.check(defer.CancelledError) and self._is_closed:
            return
        self.log.log("versions.fault", error=reason.getErrorMessage())


def rank_watcher(record: directory.HostRecord) -> tuple[int, int]:
    """Returns the rank of a host as a watcher; the highest ones watch.

    Watchers read every version from the store and hand it to others, so that
    hosts with a wide link go first; among those the order is random, but the
    same everywhere.
    """
    text = str(record.address).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return record.link_kbps.bit_length(), int.from_bytes(digest)


def _do_nothing() -> None:
    """Ends a pause."""
