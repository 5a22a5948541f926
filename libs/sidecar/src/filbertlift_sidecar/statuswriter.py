"""Writes the states of orders to the store, by compare-and-swap.

All watching hosts write; the first final state that the store accepts holds for
all of them.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_mesh import rollouts
from filbertlift_sidecar import eventlog
from filbertlift_store import exceptions as store_exceptions
from filbertlift_store import interface

# Longest delay before a write, in seconds. Hosts choose it at random, so that
# mostly one of them writes and the others hear of it.
MAX_DELAY_S: Final = 0.3
# Backoff between failed calls to the store, in seconds; it is doubled before
# each pause.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0

# Returns the state and the release that a value is about, None if malformed.
DecodeStatus = Callable[[bytes], tuple[rollouts.Status, str] | None]


def read_status(
    order: rollouts.Order, entry: interface.Entry | None, decode: DecodeStatus
) -> rollouts.Status | None:
    """Returns the state of an order that the store shows, None if none.

    A state that was written before the order belongs to an earlier one.
    """
    if entry is None or entry.revision <= order.revision:
        return None
    found = decode(entry.value)
    if found is None or found[1] != order.release:
        return None
    return found[0]


@attrs.define(eq=False)
class StatusWriter:
    """Writes each state that the store does not show yet.

    Attributes:
        prefix: prefix of the keys of states; the service follows.
        find: returns what is known of the latest order of a service, None if
            this host should not write.
        note: called with what is known of an order after the store showed its
            state.
    """

    reactor: Any
    store: interface.Store
    prefix: str
    encode: Callable[[rollouts.Status, str], bytes]
    decode: DecodeStatus
    find: Callable[[str], rollouts.Rollout | None]
    note: Callable[[rollouts.Rollout], None]
    log: eventlog.EventLog
    rng: random.Random
    _writing: dict[str, Any] = attrs.field(factory=dict)
    _is_closed: bool = False

    def request(self, service: str) -> None:
        """Writes the state of a service's order until the store shows it."""
        if service in self._writing or self._is_closed:
            return
        writing = defer.ensureDeferred(self._write(service))
        if writing.called:
            return
        self._writing[service] = writing
        writing.addBoth(self._end, service)

    def close(self) -> None:
        """Stops writing."""
        self._is_closed = True
        for writing in list(self._writing.values()):
            writing.cancel()

    def _end(self, result: Any, service: str) -> None:
        self._writing.pop(service, None)
        if result is not None and not self._is_closed:
            self.log.log("rollouts.fault", error=result.getErrorMessage())

    async def _write(self, service: str) -> None:
        pause_s = INITIAL_BACKOFF_S
        await self._pause(MAX_DELAY_S * self.rng.random())
        while not self._is_closed:
            rollout = self.find(service)
            if rollout is None or not rollout.needs_write:
                return
            try:
                await self._write_once(rollout)
            except store_exceptions.StoreError as error:
                # Whether the write took effect is read back.
                self.log.log_request(
                    "rollouts.status-failed", service=service, error=error
                )
                pause_s = min(MAX_BACKOFF_S, 2.0 * pause_s)
                await self._pause(pause_s * (0.5 + self.rng.random()))

    async def _write_once(self, rollout: rollouts.Rollout) -> None:
        order = rollout.order
        key = self.prefix + order.service
        entry = await self.store.get(key)
        shown = read_status(order, entry, self.decode)
        now = self.reactor.seconds()
        if shown is not None and (
            shown is not rollouts.Status.RUNNING or shown is rollout.status
        ):
            self.note(rollout.note_status(shown, now))
            return
        status = rollout.status
        revision = entry.revision if entry is not None else 0
        value = self.encode(status, order.release)
        await self.store.compare_and_swap(key, revision, value)
        self.log.log(
            "rollouts.status",
            service=order.service,
            release=order.release,
            state=status.value,
            age_s=self.reactor.seconds() - rollout.started_at,
        )
        self.note(rollout.note_status(status, now))

    async def _pause(self, delay_s: float) -> None:
        await task.deferLater(self.reactor, delay_s, _do_nothing)


def _do_nothing() -> None:
    """Callback of a pause."""
