"""Keys, leases and watches of a store that counts one revision over all keys.

Watches cover a prefix and go on from a revision, as far as the history
reaches. No message is encoded here; a front end does that.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
import itertools
from typing import Any
from typing import Final

import attrs

from filbertlift_core import exceptions

# Items in one page of a list.
PAGE_ITEMS: Final = 500


class KeyspaceError(exceptions.FilbertliftError):
    """A call that the store does not carry out."""

    code = "FL-STANDIN-KEYS"


class ConflictError(KeyspaceError):
    """A key has another revision than the call expects."""


class NoLeaseError(KeyspaceError):
    """The lease has ended."""


class CompactedError(KeyspaceError):
    """The history after the revision is gone."""


@attrs.frozen
class Item:
    """One key as it was written; `value` is None for its removal."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int


@attrs.frozen
class Put:
    """A key to write."""

    key: str
    value: bytes
    lease: int = 0


@attrs.define(eq=False)
class Lease:
    """A lease; its keys go when it ends."""

    ttl_s: float
    timer: Any


@attrs.define(eq=False)
class Watch:
    """A watch that waits for a change."""

    prefix: str
    on_events: Callable[[list[Item]], None]
    timer: Any = None


@attrs.define(eq=False)
class Keyspace:
    """The state of the store.

    Attributes:
        clock: reactor that times leases and watches.
        revision: grows with each change.
        forgotten: changes up to this revision are no longer known.
    """

    clock: Any
    revision: int = 1
    forgotten: int = 0
    _items: dict[str, Item] = attrs.field(factory=dict)
    _changes: deque[Item] = attrs.field(factory=deque)
    _leases: dict[int, Lease] = attrs.field(factory=dict)
    _watches: list[Watch] = attrs.field(factory=list)
    _lease_ids: Any = attrs.field(factory=lambda: itertools.count(1))

    def get(self, key: str) -> Item | None:
        """Returns a key, or None."""
        return self._items.get(key)

    def list_range(self, prefix: str, after: str) -> tuple[list[Item], bool]:
        """Returns a page of the keys and whether more follow."""
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return page, len(keys) > PAGE_ITEMS

    def change(
        self,
        expected: Sequence[tuple[str, int]],
        puts: Sequence[Put],
        removed: Sequence[str],
    ) -> int:
        """Changes all keys or none; returns the new revision.

        Raises:
            ConflictError: if a key has another revision than expected.
            NoLeaseError: if a lease has ended.
        """
        for key, revision in expected:
            held = self._items.get(key)
            if revision != (held.revision if held is not None else 0):
                raise ConflictError(f"{key} is not at revision {revision}")
        for put in puts:
            if put.lease and put.lease not in self._leases:
                raise NoLeaseError(f"lease {put.lease} has ended")
        self.revision += 1
        changes = [self._put(put) for put in puts]
        changes += [self._remove(key) for key in removed if key in self._items]
        self._tell(changes)
        return self.revision

    def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        on_events: Callable[[list[Item]], None],
    ) -> Callable[[], None]:
        """Tells of the changes after a revision, at once or when they come.

        Returns:
            A function that ends the watch.

        Raises:
            CompactedError: if some of those changes are no longer known.
        """
        if after < self.forgotten:
            raise CompactedError(f"history starts after {self.forgotten}")
        known = [
            item
            for item in self._changes
            if item.revision > after and item.key.startswith(prefix)
        ]
        if known:
            on_events(known)
            return lambda: None
        watch = Watch(prefix, on_events)
        watch.timer = self.clock.callLater(wait_s, self._answer, watch, [])
        self._watches.append(watch)
        return lambda: self._forget_watch(watch)

    def grant(self, ttl_s: float) -> int:
        """Returns a new lease."""
        lease = next(self._lease_ids)
        timer = self.clock.callLater(ttl_s, self.end_lease, lease)
        self._leases[lease] = Lease(ttl_s, timer)
        return lease

    def keep(self, lease: int) -> None:
        """Renews a lease; raises NoLeaseError if it has ended."""
        held = self._leases.get(lease)
        if held is None:
            raise NoLeaseError(f"lease {lease} has ended")
        held.timer.reset(held.ttl_s)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        held = self._leases.pop(lease, None)
        if held is None:
            return
        if held.timer.active():
            held.timer.cancel()
        keys = [
            item.key for item in self._items.values() if item.lease == lease
        ]
        if keys:
            self.change((), (), keys)

    def end_all_leases(self) -> None:
        """Ends every lease, as an outage of the store may."""
        for lease in list(self._leases):
            self.end_lease(lease)

    def forget_history(self) -> None:
        """Drops the history and ends the watches."""
        self._changes.clear()
        self.forgotten = self.revision
        for watch in list(self._watches):
            self._answer(watch, [])

    def _put(self, put: Put) -> Item:
        held = self._items.get(put.key)
        created = held.created if held is not None else self.revision
        item = Item(put.key, put.value, self.revision, created, put.lease)
        self._items[put.key] = item
        return item

    def _remove(self, key: str) -> Item:
        held = self._items.pop(key)
        return attrs.evolve(held, value=None, revision=self.revision)

    def _tell(self, changes: list[Item]) -> None:
        self._changes.extend(changes)
        for watch in list(self._watches):
            found = [c for c in changes if c.key.startswith(watch.prefix)]
            if found:
                self._answer(watch, found)

    def _answer(self, watch: Watch, events: list[Item]) -> None:
        self._forget_watch(watch)
        watch.on_events(events)

    def _forget_watch(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None and watch.timer.active():
            watch.timer.cancel()
