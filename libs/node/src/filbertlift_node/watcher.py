"""Watching the head at the store; run by the gateways of a region."""

from collections.abc import Callable
import random
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import snapshot as snapshots
from filbertlift_core import logs
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface
from filbertlift_store import snapshots as store_snapshots

# Maximum duration of a watch call, in seconds. A call that ends without a
# change confirms the version, so this limits the age of the version in force.
WATCH_TIMEOUT_S = 1.0
# Delay after a failed call, in seconds; it is doubled up to the maximum.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 3.0

_ERRORS = (store_exceptions.StoreError, config_exceptions.ConfigError)


@attrs.frozen
class WatchEvents:
    """Callbacks of a watcher; the ages that they get are in seconds.

    Attributes:
        on_snapshot: called with a version that was read and its age.
        on_confirmed: called with the version of an unchanged head and its age.
    """

    on_snapshot: Callable[[snapshots.Snapshot, float], None]
    on_confirmed: Callable[[int, float], None]


@attrs.define
class StoreWatcher:
    """Reads each new version that the head at the store names."""

    _reactor: Any
    _store: interface.Store
    _cluster: str
    _events: WatchEvents
    _find_base: Callable[[], snapshots.Snapshot | None]
    _rng: random.Random
    _delay_s: float = 0.0
    _revision: int = 0
    _version: int = 0
    _retry_s: float = FIRST_RETRY_S
    _run: defer.Deferred[None] | None = None
    _reading: defer.Deferred[None] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the watcher is running."""
        return self._run is not None

    def start(self, delay_s: float) -> None:
        """Starts watching, or changes the delay of a running watcher.

        Args:
            delay_s: delay before a new version is fetched, in seconds, so that
                the second gateway can get the version from the first one.
        """
        self._delay_s = delay_s
        if self._run is not None:
            return
        self._revision = 0
        self._run = defer.ensureDeferred(self._watch())
        self._run.addErrback(lambda reason: reason.trap(defer.CancelledError))

    def close(self) -> None:
        """Stops watching and cancels the open call."""
        if self._run is None:
            return
        run, self._run = self._run, None
        run.cancel()

    def read_once(self) -> None:
        """Reads the head once, for a starting node without peers.

        Nothing is read if a watch or a read is already running.
        """
        if self._run is None and self._reading is None:
            self._reading = defer.ensureDeferred(
                self._read(self._reactor.seconds())
            )
            self._reading.addErrback(
                lambda reason: logs.log_event(
                    "store.read_failed", error=reason.getErrorMessage()
                )
            )
            self._reading.addBoth(self._end_reading)

    def _end_reading(self, _result: Any) -> None:
        self._reading = None

    async def _watch(self) -> None:
        while True:
            try:
                await self._watch_once()
                self._retry_s = FIRST_RETRY_S
            except _ERRORS as error:
                logs.log_event("store.watch_failed", error=str(error))
                await self._back_off()

    async def _watch_once(self) -> None:
        sent_at = self._reactor.seconds()
        entry = await self._store.watch(
            interface.head_key(self._cluster), self._revision, WATCH_TIMEOUT_S
        )
        if entry is None:
            age = self._reactor.seconds() - sent_at
            self._events.on_confirmed(self._version, age)
            return
        if self._revision and self._delay_s:
            await task.deferLater(self._reactor, self._delay_s)
        await self._read(sent_at, entry)

    async def _read(
        self, sent_at: float, entry: interface.Entry | None = None
    ) -> None:
        """Loads the version of the head.

        Args:
            sent_at: time at which the head was requested. The version was
                current at a later time, so the age counts from here.
            entry: the head, if a watch has returned it.
        """
        loaded = await store_snapshots.fetch_current(
            self._store, self._cluster, self._find_base(), head_entry=entry
        )
        self._revision = loaded.revision
        self._version = loaded.snapshot.version
        age = self._reactor.seconds() - sent_at
        if self._version:
            self._events.on_snapshot(loaded.snapshot, age)
        else:
            self._events.on_confirmed(0, age)

    def _back_off(self) -> defer.Deferred[None]:
        delay = self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        return task.deferLater(self._reactor, delay)
