"""Clean-up: deletes parts that no version of the history interface.

The journal in the store lists the parts that each version dropped. A part is
deleted when the version that dropped it has left the history or is its oldest
line, and was noted at least ten minutes ago, so that slow readers of an old
head can finish.

A publisher may name a dropped part again. It writes the part after it read
the head that it builds on. Clean-up reads the revisions of the parts, then
writes the head unchanged, and then deletes each part only at that revision.
So a publisher either read the head after that write, and its own write of the
part has changed the revision, or its write of the head fails.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import head as heads
from filbertlift_config import page as paging
from filbertlift_config import section as codec
from filbertlift_core import env
from filbertlift_store import exceptions
from filbertlift_store import interface
from filbertlift_store import snapshots

# Clean-up runs after one publication in this many, so that it notes every
# version long before it leaves the history of 64.
INTERVAL_VERSIONS: Final = 16
MIN_AGE_S: Final = 600.0
MAX_DELETES: Final = 512
# Bounds the journal's value; the parts of later versions are then left.
MAX_JOURNAL_KEYS: Final = 6_000


@attrs.frozen
class Drop:
    """Parts that a version no longer interface.

    Attributes:
        version: the version.
        noted_s: seconds since the epoch when clean-up saw the version.
        keys: keys of the parts.
    """

    version: int
    noted_s: float
    keys: tuple[str, ...]


@attrs.frozen
class Journal:
    """What is to be deleted later.

    Attributes:
        through: the last version that was noted; 0 for none.
        drops: dropped parts, the oldest version first.
    """

    through: int = 0
    drops: tuple[Drop, ...] = ()


def is_due(version: int) -> bool:
    """Returns whether the publisher of a version runs a clean-up."""
    return version % INTERVAL_VERSIONS == 0


@defer.inlineCallbacks
def clean_store(store: interface.Store, cluster: str, now_s: float) -> Any:
    """Deletes old parts; returns how many.

    Args:
        store: the store.
        cluster: name of the cluster.
        now_s: seconds since the epoch. A wrong clock only shortens or
            lengthens the ten minutes.

    The Deferred fails with StoreError; another clean-up then takes it up.
    """
    entry = yield store.get(interface.head_key(cluster))
    if entry is None:
        return 0
    head = heads.decode_head(entry.value)
    held = yield store.get(interface.journal_key(cluster))
    journal = decode_journal(held.value) if held is not None else Journal()
    journal = yield _note_versions(store, cluster, head, journal, now_s)
    due = select_due(journal, head, now_s)
    deleted: set[str] = set()
    if due:
        deleted = yield _delete_parts(store, cluster, entry, due)
    journal = remove_keys(journal, deleted)
    revision = held.revision if held is not None else 0
    yield store.compare_and_swap(
        interface.journal_key(cluster), revision, encode_journal(journal)
    )
    return len(deleted)


def select_due(journal: Journal, head: heads.Head, now_s: float) -> list[str]:
    """Returns the keys that may be deleted now, at most MAX_DELETES."""
    oldest = head.history[0].version
    due: list[str] = []
    for drop in journal.drops:
        # The version before the drop was the last that named the parts.
        if drop.version <= oldest and now_s - drop.noted_s >= MIN_AGE_S:
            due += drop.keys
    return due[:MAX_DELETES]


def remove_keys(journal: Journal, keys: Iterable[str]) -> Journal:
    """Returns the journal without some keys."""
    gone = set(keys)
    drops = []
    for drop in journal.drops:
        left = tuple(key for key in drop.keys if key not in gone)
        if left:
            drops.append(attrs.evolve(drop, keys=left))
    return attrs.evolve(journal, drops=tuple(drops))


def note_version(
    journal: Journal,
    version: int,
    before: Mapping[str, object],
    after: Mapping[str, object],
    now_s: float,
) -> Journal:
    """Returns the journal after one more version.

    Args:
        journal: the journal through the version before.
        version: the version to note.
        before: keys of the parts that the version before named.
        after: keys of the parts that the version interface.
        now_s: seconds since the epoch.
    """
    journal = remove_keys(journal, after)
    dropped = tuple(key for key in before if key not in after)
    drops = journal.drops
    size = sum(len(drop.keys) for drop in drops) + len(dropped)
    if dropped and size <= MAX_JOURNAL_KEYS:
        drops = (*drops, Drop(version, now_s, dropped))
    return Journal(version, drops)


@defer.inlineCallbacks
def _note_versions(
    store: interface.Store,
    cluster: str,
    head: heads.Head,
    journal: Journal,
    now_s: float,
) -> Any:
    """Returns the journal after every version of the history.

    After a gap, what the missed versions dropped stays in the store. What
    they named again is safe: each version of the history takes the parts
    that it names out of the journal.
    """
    history = head.history
    start = [item for item in history if item.version <= journal.through]
    parts = _Parts(store, cluster)
    before: Mapping[str, object] = {}
    if start:
        before = yield parts.list_keys(start[-1].root)
    for record in history:
        if record.version <= journal.through:
            continue
        after = yield parts.list_keys(record.root)
        journal = note_version(journal, record.version, before, after, now_s)
        before = after
    return journal


@attrs.define
class _Parts:
    """Lists the parts of versions, reading each page once."""

    store: interface.Store
    cluster: str
    pages: dict[str, paging.Page] = attrs.field(factory=dict)

    @defer.inlineCallbacks
    def list_keys(self, root: str) -> Any:
        """Returns the keys of the parts of the versions with a root."""
        hashes = yield snapshots.fetch_tree(self.store, self.cluster, root)
        listed = {interface.tree_key(self.cluster, root): None}
        for digest in hashes:
            if digest == snapshots.EMPTY_PAGE:
                continue
            listed[interface.page_key(self.cluster, digest)] = None
            page = yield self._get_page(digest)
            for entry in page.list_live().values():
                listed[interface.section_key(self.cluster, entry.hash)] = None
        return listed

    @defer.inlineCallbacks
    def _get_page(self, digest: str) -> Any:
        if digest not in self.pages:
            page = yield snapshots.fetch_page(self.store, self.cluster, digest)
            self.pages[digest] = page
        return self.pages[digest]


@defer.inlineCallbacks
def _delete_parts(
    store: interface.Store,
    cluster: str,
    head: interface.Entry,
    due: list[str],
) -> Any:
    """Returns the keys that are certainly gone."""
    gone: set[str] = set()
    revisions: dict[str, int] = {}
    for key in due:
        entry = yield store.get(key)
        if entry is None:
            gone.add(key)
        else:
            revisions[key] = entry.revision
    # No publication that began before this write can succeed after it.
    yield store.compare_and_swap(
        interface.head_key(cluster), head.revision, head.value
    )
    for key, revision in revisions.items():
        try:
            yield store.delete(key, revision)
        except exceptions.StoreError:
            continue
        gone.add(key)
    return gone


def encode_journal(journal: Journal) -> bytes:
    """Returns the bytes under the journal's key."""
    return codec.encode_canonical(
        {
            "through": journal.through,
            "drops": [
                [drop.version, drop.noted_s, list(drop.keys)]
                for drop in journal.drops
            ],
        }
    )


def decode_journal(data: bytes) -> Journal:
    """Returns the journal in these bytes; raises SnapshotError."""
    content = codec.decode_object(
        data, env.MAX_STORE_VALUE_BYTES, config_exceptions.SnapshotError
    )
    try:
        drops = tuple(
            Drop(int(version), float(noted_s), tuple(map(str, keys)))
            for version, noted_s, keys in content["drops"]
        )
        return Journal(int(content["through"]), drops)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise config_exceptions.SnapshotError("not a journal") from error
