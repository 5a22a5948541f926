"""Clean-up: deletes parts that no version in the history names.

The journal in the store lists the parts that each version dropped, that is,
which the version before names and it does not. A part is deleted when the
version that dropped it has left the history or is the oldest one there, and was
noted at least ten minutes ago, so that slow readers of an old head can finish.

A publisher may name a dropped part again. It writes the part after it has read
the head that it builds on. Clean-up reads the revisions of the parts, writes
the head unchanged, and then deletes each part only at the revision that it
read. A publisher that read the head before that write fails to write its own
head. One that read it later also writes the part later, which changes the
revision, so that the delete fails.
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

# Clean-up runs after one publication in this many, so that every version is
# noted long before it leaves the history of 64 versions.
INTERVAL_VERSIONS: Final = 16
MIN_AGE_S: Final = 600.0
MAX_DELETES: Final = 512
# Limits the size of the journal. Once it is full, the parts that later versions
# drop stay in the store.
MAX_JOURNAL_KEYS: Final = 6_000


@attrs.frozen
class Drop:
    """Parts that a version no longer names.

    Attributes:
        version: the version.
        noted_s: seconds since the epoch when clean-up noted the version.
        keys: keys of the parts.
    """

    version: int
    noted_s: float
    keys: tuple[str, ...]


@attrs.frozen
class Journal:
    """Parts to be deleted later.

    Attributes:
        through: the newest version that was noted; 0 for none.
        drops: dropped parts, the oldest version first.
    """

    through: int = 0
    drops: tuple[Drop, ...] = ()


def is_due(version: int) -> bool:
    """Returns whether a clean-up runs after the publication of a version."""
    return version % INTERVAL_VERSIONS == 0


@defer.inlineCallbacks
def clean_store(store: interface.Store, cluster: str, now_s: float) -> Any:
    """Deletes old parts; returns the number of deleted parts.

    Args:
        store: the store.
        cluster: name of the cluster.
        now_s: seconds since the epoch. A wrong clock only shortens or
            lengthens the ten minutes.

    The Deferred fails with StoreError; the next clean-up then continues.
    """
    head_entry = yield store.get(interface.head_key(cluster))
    if head_entry is None:
        return 0
    head = heads.decode_head(head_entry.value)
    stored = yield store.get(interface.journal_key(cluster))
    journal = decode_journal(stored.value) if stored is not None else Journal()
    journal = yield _note_versions(store, cluster, head, journal, now_s)
    due = select_due(journal, head, now_s)
    deleted: set[str] = set()
    if due:
        deleted = yield _delete_parts(store, cluster, head_entry, due)
    journal = remove_keys(journal, deleted)
    revision = stored.revision if stored is not None else 0
    yield store.compare_and_swap(
        interface.journal_key(cluster), revision, encode_journal(journal)
    )
    return len(deleted)


def select_due(journal: Journal, head: heads.Head, now_s: float) -> list[str]:
    """Returns the keys that may be deleted now, at most MAX_DELETES."""
    oldest = head.history[0].version
    due: list[str] = []
    for drop in journal.drops:
        # The last version that named the parts is the one before the drop.
        if drop.version <= oldest and now_s - drop.noted_s >= MIN_AGE_S:
            due += drop.keys
    return due[:MAX_DELETES]


def remove_keys(journal: Journal, keys: Iterable[str]) -> Journal:
    """Returns the journal without some keys."""
    removed = set(keys)
    drops = []
    for drop in journal.drops:
        left = tuple(key for key in drop.keys if key not in removed)
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
    """Returns the journal with one more version noted.

    Args:
        journal: the journal, with the version before noted.
        version: the version to note.
        before: keys of the parts that the version before named.
        after: keys of the parts that the version names.
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
    """Returns the journal with every version of the history noted.

    Versions that left the history before they were noted are missed, and the
    parts that they dropped stay in the store. Parts that they named again are
    safe, because noting a version of the history removes the parts that it
    names from the journal.
    """
    history = head.history
    noted = [item for item in history if item.version <= journal.through]
    lister = _PartLister(store, cluster)
    before: Mapping[str, object] = {}
    if noted:
        before = yield lister.list_keys(noted[-1].root)
    for record in history:
        if record.version <= journal.through:
            continue
        after = yield lister.list_keys(record.root)
        journal = note_version(journal, record.version, before, after, now_s)
        before = after
    return journal


@attrs.define
class _PartLister:
    """Lists the parts of versions and reads each page only once."""

    store: interface.Store
    cluster: str
    pages: dict[str, paging.Page] = attrs.field(factory=dict)

    @defer.inlineCallbacks
    def list_keys(self, root: str) -> Any:
        """Returns the keys of the parts of the versions with this root."""
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
    """Returns the keys that certainly no longer exist in the store."""
    absent: set[str] = set()
    revisions: dict[str, int] = {}
    for key in due:
        entry = yield store.get(key)
        if entry is None:
            absent.add(key)
        else:
            revisions[key] = entry.revision
    # A publication that read the head before this write can no longer succeed.
    yield store.compare_and_swap(
        interface.head_key(cluster), head.revision, head.value
    )
    for key, revision in revisions.items():
        try:
            yield store.delete(key, revision)
        except exceptions.StoreError:
            continue
        absent.add(key)
    return absent


def encode_journal(journal: Journal) -> bytes:
    """Returns the value that is stored under the key of the journal."""
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
    """Returns the journal in a stored value; raises SnapshotError."""
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
        raise config_exceptions.SnapshotError(
            "the journal is malformed"
        ) from error
