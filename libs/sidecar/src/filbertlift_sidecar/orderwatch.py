"""Watches the store for orders of roll-outs, at the watching hosts.

Unlike `filbertlift_sidecar.versions`, it watches all keys with a prefix and
waits long, since orders are rare and every call is paid for.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_sidecar import eventlog
from filbertlift_sidecar import loops
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface

# Mean time for which the store holds a watch open, in seconds. It bounds how
# long a connection that went silent stays undetected while the store answers
# other calls of this host.
WATCH_TIMEOUT_S: Final = 8.0
# The same after a failed call, in seconds, so that an answer soon shows that
# the store is back.
PROBE_TIMEOUT_S: Final = 0.1
# Backoff between failed calls to the store, in seconds; it is doubled before
# each pause.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
# Interval at which a host checks whether it should watch, in seconds.
RECHECK_INTERVAL_S: Final = 0.25
# Pause after an answer with changes or without history, in seconds; it limits
# the calls if the answers come at once.
CHANGE_PAUSE_S: Final = 0.1
RELIST_PAUSE_S: Final = 1.0


@attrs.frozen
class OrderEvents:
    """Callbacks of the watch.

    Attributes:
        on_list: returns a coroutine that processes all orders, with the time in
            seconds since the store last showed that there was no other one.
        on_change: called with a key, its new entry or None if it was deleted,
            the revision up to which changes are known, and that time.
    """

    on_list: Callable[[interface.Listing, float], Coroutine[Any, Any, None]]
    on_change: Callable[[str, interface.Entry | None, int, float], None]


@attrs.define(eq=False)
class OrderWatch:
    """Reads orders while this host is one of the watching hosts."""

    reactor: Any
    store: interface.Store
    prefix: str
    is_watcher: Callable[[], bool]
    events: OrderEvents
    log: eventlog.EventLog
    rng: random.Random
    # Revision from which the next watch continues; None before the first list.
    _revision: int | None = None
    # When the store was last in contact, and since when it has not been, in
    # seconds.
    _contact_at: float = float("-inf")
    _blind_since: float | None = None
    _pending: Any = None
    _is_closed: bool = False
    _loop: loops.Loop | None = None

    def start(self) -> None:
        """Starts watching."""
        self._contact_at = self.reactor.seconds()
        self._loop = loops.Loop(
            self.reactor,
            self._watch,
            lambda error: self.log.log("rollouts.fault", error=error),
        )
        self._loop.start()

    def close(self) -> None:
        """Stops watching."""
        self._is_closed = True
        if self._loop is not None:
            self._loop.close()

    def note_store(self, has_store: bool) -> None:
        """Records whether the store answered another call of this host.

        A long watch on a connection that went silent is given up.
        """
        if has_store:
            if self._blind_since is None:
                self._contact_at = self.reactor.seconds()
        elif self._blind_since is None:
            self._blind_since = self._contact_at
            if self._pending is not None:
                self._pending.cancel()

    async def _watch(self) -> None:
        pause_s = INITIAL_BACKOFF_S
        while not self._is_closed:
            if not self.is_watcher():
                self._revision = None
                await self._pause(RECHECK_INTERVAL_S)
                continue
            try:
                await self._read_next()
            except (
                store_exceptions.StoreError,
                defer.CancelledError,
            ) as error:
                if self._is_closed:
                    return
                if self._blind_since is None:
                    self._blind_since = self._contact_at
                self.log.log_request(
                    "rollouts.store-failed", error=error or "given up"
                )
                pause_s = min(MAX_BACKOFF_S, 2.0 * pause_s)
                await self._pause(pause_s * (0.5 + self.rng.random()))
                continue
            pause_s = INITIAL_BACKOFF_S

    async def _read_next(self) -> None:
        assert self.store.list_from is not None
        assert self.store.watch_prefix is not None
        if self._revision is None:
            listing = await self._call(self.store.list_from(self.prefix))
            listed_at = self.reactor.seconds()
            # It may call the store too; if that fails, the orders are as old at
            # the next list.
            await self.events.on_list(listing, self._get_blindness())
            self._end_blindness(listed_at)
            self._revision = listing.revision
            return
        wait_s = PROBE_TIMEOUT_S
        if self._blind_since is None:
            wait_s = WATCH_TIMEOUT_S * (0.75 + 0.5 * self.rng.random())
        changes = await self._call(
            self.store.watch_prefix(self.prefix, self._revision, wait_s)
        )
        if changes is None:
            self._revision = None
            await self._pause(RELIST_PAUSE_S)
            return
        self._revision = changes.revision
        max_age_s = self._get_blindness()
        self._end_blindness(self.reactor.seconds())
        for key, entry in changes.entries.items():
            self.events.on_change(key, entry, changes.revision, max_age_s)
        if changes.entries:
            await self._pause(CHANGE_PAUSE_S)

    async def _call(self, pending: "defer.Deferred[Any]") -> Any:
        self._pending = pending
        try:
            return await pending
        finally:
            self._pending = None

    def _get_blindness(self) -> float:
        """Returns for how long changes have not been seen, in seconds."""
        if self._blind_since is None:
            return 0.0
        return self.reactor.seconds() - self._blind_since

    def _end_blindness(self, contact_at: float) -> None:
        """Records when the store last showed the orders, in seconds."""
        self._blind_since = None
        self._contact_at = contact_at

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self.reactor, delay_s, _do_nothing)


def _do_nothing() -> None:
    """Callback of a pause."""
