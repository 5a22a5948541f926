"""This host's entry in the store, from which others learn a first peer."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import watchers
from filbertlift_sidecar import departures
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import loops
from filbertlift_sidecar import rejections
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface

ROOT: Final = "filbertlift/"
HOST_PREFIX: Final = ROOT + "hosts/"
DEPARTURE_PREFIX: Final = ROOT + "left/"
# Lease of an entry, in seconds. It may be long: live hosts learn of each other
# by gossip, and the entry is only needed for the first contact.
LEASE_S: Final = 600.0
# Interval at which the lease is renewed and the list of hosts is read, in
# seconds; the second one is for a host that knows no live peer.
RENEW_INTERVAL_S: Final = 200.0
ALONE_INTERVAL_S: Final = 2.0
# Interval at which the lease is renewed while the store does not answer this
# host, in seconds. A renewal is the cheapest call, and its answer shows that
# the host may watch the store again.
PROBE_INTERVAL_S: Final = 2.0
# The same for a host that may have to watch the store in place of another one,
# so that it is passed over if the store does not answer it either.
STANDBY_INTERVAL_S: Final = 0.7
# Time after which a saved departure is in every copy that the store may come
# back from, in seconds.
MAX_COPY_AGE_S: Final = 30.0
# Hosts that register again in a second, on average, after the store has come
# back from an older copy. Each makes two writes, and live hosts need the
# entries only for the first contact of others.
REGISTRATIONS_PER_S: Final = 50.0
# Backoff after a failed call to the store, in seconds, doubled before each
# pause; and its largest random part, as a share.
INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 2.0
BACKOFF_JITTER: Final = 0.5


@attrs.define(eq=False)
class Registry:
    """Registers this host in the store and reads the list of hosts.

    Attributes:
        greet: contacts hosts by gossip.
        on_store: called with whether the store answered a call.
        restore: called with each departure that an earlier node saved.
        noted: notes the entries that were rejected.
        is_listed: whether the list was read at least once.
    """

    reactor: Any
    store: interface.Store
    table: directory.Directory
    greet: Callable[[list[model.Address]], None]
    on_store: Callable[[bool], None]
    restore: Callable[[directory.TargetRecord], None]
    log: eventlog.EventLog
    rng: random.Random
    noted: rejections.Rejections
    is_listed: bool = False
    _list_due_at: float = float("-inf")
    _lease: str = ""
    # The departures of targets, and the lease under which they were saved.
    _departure: bytes | None = None
    _departure_lease: str = ""
    _departure_saved_at: float = float("-inf")
    # When the host may register again in place of an outdated lease, in
    # seconds; None while the lease may exist.
    _register_due_at: float | None = None
    _is_closed: bool = False
    _loop: loops.Loop | None = None

    def start(self) -> None:
        """Registers this host and keeps renewing its lease."""
        self._loop = loops.Loop(
            self.reactor,
            self._run,
            lambda error: self.log.log("registry.fault", error=error),
        )
        self._loop.start()

    def close(self) -> None:
        """Stops; the entry disappears when its lease expires."""
        self._is_closed = True
        if self._loop is not None:
            self._loop.close()

    def save_departures(
        self, targets: Sequence[directory.TargetRecord]
    ) -> "defer.Deferred[None]":
        """Saves departures of targets for the next node on this host.

        If the store does not take them now, they are saved after the next
        renewal of the lease.
        """
        value = departures.encode_departures(targets)
        if value != self._departure:
            self._departure = value
            self._departure_lease = ""
        return defer.ensureDeferred(self._save_departure())

    async def _save_departure(self) -> None:
        value, lease = self._departure, self._lease
        if value is None or self._is_departure_saved():
            return
        if not lease or not self.is_listed:
            # The entry may have departures that an earlier node saved.
            raise store_exceptions.StoreUnavailable("not registered yet")
        key = DEPARTURE_PREFIX + str(self.table.own.address)
        await self.store.put_leased(key, value, lease)
        if self._departure is value:
            self._departure_lease = lease
            self._departure_saved_at = self.reactor.seconds()

    def _is_departure_saved(self) -> bool:
        """Returns whether there is no departure to save under this lease."""
        is_saved = self._departure_lease == self._lease != ""
        return self._departure is None or is_saved

    async def _run(self) -> None:
        pause_s = INITIAL_BACKOFF_S
        while not self._is_closed:
            try:
                await self._renew()
                self.on_store(True)
                if self.is_listed:
                    await self._save_departure()
                if self.reactor.seconds() >= self._list_due_at:
                    await self._read_list()
                await self._save_departure()
            except store_exceptions.StoreError as error:
                self.on_store(False)
                self.log.log_request("registry.failed", error=error)
                pause_s = min(MAX_BACKOFF_S, 2.0 * pause_s)
                await self._pause(
                    pause_s * (1.0 + BACKOFF_JITTER * self.rng.random())
                )
                continue
            pause_s = INITIAL_BACKOFF_S
            await self._wait_for_renewal()

    async def _wait_for_renewal(self) -> None:
        """Waits until the list is due, or the lease has to be renewed early."""
        since = self.reactor.seconds()
        while self.reactor.seconds() < self._list_due_at:
            left_s = self._list_due_at - self.reactor.seconds()
            jitter = 1.0 + BACKOFF_JITTER * self.rng.random()
            await self._pause(min(left_s, STANDBY_INTERVAL_S * jitter))
            now = self.reactor.seconds()
            has_store = self.table.own.has_store
            # Only a call tells that the store has lost the departure.
            is_recent = now - self._departure_saved_at <= MAX_COPY_AGE_S
            is_saved = self._is_departure_saved() and not is_recent
            is_due = not has_store or not is_saved
            if is_due and now - since >= PROBE_INTERVAL_S:
                return
            if self._is_outdated(now):
                return
            if watchers.is_standby(self.table, now):
                return

    def _is_outdated(self, now: float) -> bool:
        """Returns whether to register again, since the lease is outdated.

        Hosts without departures take their turns, so that not all of them write
        at once.
        """
        if not self._lease or self.store.may_exist(self._lease):
            return False
        if self._register_due_at is None:
            hosts = 1 + len(self.table.list_live(now))
            spread_s = hosts / REGISTRATIONS_PER_S
            self._register_due_at = now + spread_s * self.rng.random()
        return self._departure is not None or now >= self._register_due_at

    async def _renew(self) -> None:
        if self._lease:
            try:
                await self.store.keep_lease(self._lease)
                return
            except store_exceptions.LeaseLost:
                self._lease = ""
                self.log.log("registry.lease-lost")
        lease = await self.store.grant_lease(LEASE_S)
        key = HOST_PREFIX + str(self.table.own.address)
        await self.store.put_leased(key, b"", lease)
        self._lease = lease
        self._register_due_at = None
        self.log.log("registry.registered", lease=lease)

    async def _read_list(self) -> None:
        """Reads the list and greets the hosts that are not known to be alive.

        This host's entry was written before, so of two hosts that start at the
        same time at least one finds the other.
        """
        assert self.store.list_prefix is not None
        is_first = not self.is_listed
        entries = await self.store.list_prefix(ROOT)
        live = self.table.list_live(self.reactor.seconds())
        known = {self.table.own.address, *(item.address for item in live)}
        addresses = self._read_addresses(entries)
        self.greet([address for address in addresses if address not in known])
        self.is_listed = True
        self._list_due_at = self.reactor.seconds() + self._get_interval()
        left = entries.get(DEPARTURE_PREFIX + str(self.table.own.address))
        if is_first and left is not None:
            self._restore(left.value)
        self.log.log("registry.listed", entries=len(entries))

    def _read_addresses(self, keys: Iterable[str]) -> list[model.Address]:
        """Returns the addresses of the valid entries of hosts."""
        addresses: list[model.Address] = []
        for key in keys:
            if not key.startswith(HOST_PREFIX):
                continue
            text = key.removeprefix(HOST_PREFIX)
            try:
                addresses.append(model.Address.parse_ip(text))
            except core_exceptions.ModelError as error:
                self.noted.note("registry.entry-malformed", key, error)
        return addresses

    def _restore(self, value: bytes) -> None:
        try:
            departed = departures.decode_departures(value)
        except exceptions.DepartureError as error:
            key = DEPARTURE_PREFIX + str(self.table.own.address)
            self.noted.note("registry.entry-malformed", key, error)
            return
        for target in departed:
            self.restore(target)

    def _get_interval(self) -> float:
        now = self.reactor.seconds()
        return (
            RENEW_INTERVAL_S if self.table.list_live(now) else ALONE_INTERVAL_S
        )

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self.reactor, delay_s, lambda: None)
