"""In-memory key-value store with leases, watches and one global revision.

A watch covers a key prefix and starts after a given revision, provided that
the history still holds the later changes. Messages are encoded by front ends.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final

import attrs

from filbertlift_core import exceptions

# Maximum number of items in one page of a list.
PAGE_ITEMS: Final = 500


class KeyspaceError(exceptions.FilbertliftError):
    """The store rejected a call."""

    code = "FL-STANDIN-KEYS"


class ConflictError(KeyspaceError):
    """A key is not at the expected revision."""


class LeaseNotFoundError(KeyspaceError):
    """The lease does not exist, or it has ended."""


class CompactedError(KeyspaceError):
    """The history no longer holds the changes after the revision."""


@attrs.frozen
class Item:
    """A key as one change left it; `value` is None if it was removed."""

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
    """A lease; its keys are removed when it ends."""

    ttl_s: float
    timer: Any


@attrs.frozen
class Copy:
    """The state of a store at one moment, without its history.

    Attributes:
        revision: revision of the latest change.
        items: the items by key.
        leases: times to live of the leases, in seconds, by their ids.
        last_lease: id of the lease that was granted last.
    """

    revision: int
    items: Mapping[str, Item]
    leases: Mapping[int, float]
    last_lease: int


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
        clock: reactor with the timers of leases and watches.
        revision: revision of the latest change.
        forgotten: the history lacks the changes up to this revision.
    """

    clock: Any
    revision: int = 1
    forgotten: int = 0
    _items: dict[str, Item] = attrs.field(factory=dict)
    _changes: deque[Item] = attrs.field(factory=deque)
    _leases: dict[int, Lease] = attrs.field(factory=dict)
    _watches: list[Watch] = attrs.field(factory=list)
    _last_lease: int = 0

    def get(self, key: str) -> Item | None:
        """Returns the item of a key, or None."""
        return self._items.get(key)

    def list_range(self, prefix: str, after: str) -> tuple[list[Item], bool]:
        """Returns a page of the items, and whether more follow."""
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
            ConflictError: if a key is not at the expected revision.
            LeaseNotFoundError: if a lease has ended.
        """
        for key, revision in expected:
            current = self._items.get(key)
            if revision != (current.revision if current is not None else 0):
                raise ConflictError(f"{key} is not at revision {revision}")
        for put in puts:
            if put.lease and put.lease not in self._leases:
                raise LeaseNotFoundError(f"lease {put.lease} has ended")
        self.revision += 1
        changes = [self._put(put) for put in puts]
        changes += [self._remove(key) for key in removed if key in self._items]
        self._notify(changes)
        return self.revision

    def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        on_events: Callable[[list[Item]], None],
    ) -> Callable[[], None]:
        """Reports the changes after a revision, as soon as there are any.

        The list of changes is empty if `wait_s` seconds pass without one, or
        if the history is discarded meanwhile.

        Returns:
            A function that ends the watch.

        Raises:
            CompactedError: if the history no longer holds those changes.
        """
        if after < self.forgotten:
            raise CompactedError(f"history starts after {self.forgotten}")
        if after > self.revision:
            raise CompactedError(f"history ends at {self.revision}")
        known = [
            item
            for item in self._changes
            if item.revision > after and item.key.startswith(prefix)
        ]
        if known:
            on_events(known)
            return lambda: None
        watch = Watch(prefix, on_events)
        watch.timer = self.clock.callLater(wait_s, self._end_watch, watch, [])
        self._watches.append(watch)
        return lambda: self._remove_watch(watch)

    def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        self._last_lease += 1
        self._add_lease(self._last_lease, ttl_s)
        return self._last_lease

    def keep(self, lease: int) -> None:
        """Renews a lease; raises LeaseNotFoundError if it has ended."""
        state = self._leases.get(lease)
        if state is None:
            raise LeaseNotFoundError(f"lease {lease} has ended")
        state.timer.reset(state.ttl_s)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        state = self._leases.pop(lease, None)
        if state is None:
            return
        if state.timer.active():
            state.timer.cancel()
        keys = [
            item.key for item in self._items.values() if item.lease == lease
        ]
        if keys:
            self.change((), (), keys)

    def end_all_leases(self) -> None:
        """Ends every lease, as an outage of the store may."""
        for lease in list(self._leases):
            self.end_lease(lease)

    def compact_history(self) -> None:
        """Discards the history and ends all watches."""
        self._changes.clear()
        self.forgotten = self.revision
        for watch in list(self._watches):
            self._end_watch(watch, [])

    def make_copy(self) -> Copy:
        """Returns a copy of the state."""
        leases = {number: item.ttl_s for number, item in self._leases.items()}
        return Copy(self.revision, dict(self._items), leases, self._last_lease)

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy, and ends all watches.

        Revisions and ids of leases after those of the copy are given out again.
        """
        for lease in self._leases.values():
            if lease.timer.active():
                lease.timer.cancel()
        self._leases.clear()
        for number, ttl_s in copy.leases.items():
            self._add_lease(number, ttl_s)
        self._items = dict(copy.items)
        self.revision = copy.revision
        self._last_lease = copy.last_lease
        self.compact_history()

    def _add_lease(self, number: int, ttl_s: float) -> None:
        timer = self.clock.callLater(ttl_s, self.end_lease, number)
        self._leases[number] = Lease(ttl_s, timer)

    def _put(self, put: Put) -> Item:
        previous = self._items.get(put.key)
        created = previous.created if previous is not None else self.revision
        item = Item(put.key, put.value, self.revision, created, put.lease)
        self._items[put.key] = item
        return item

    def _remove(self, key: str) -> Item:
        item = self._items.pop(key)
        return attrs.evolve(item, value=None, revision=self.revision)

    def _notify(self, changes: list[Item]) -> None:
        self._changes.extend(changes)
        for watch in list(self._watches):
            found = [c for c in changes if c.key.startswith(watch.prefix)]
            if found:
                self._end_watch(watch, found)

    def _end_watch(self, watch: Watch, events: list[Item]) -> None:
        self._remove_watch(watch)
        watch.on_events(events)

    def _remove_watch(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None and watch.timer.active():
            watch.timer.cancel()
