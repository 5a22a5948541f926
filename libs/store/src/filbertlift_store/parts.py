"""Writes the parts of a version to the store before the head names them."""

from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_config import page as paging
from filbertlift_config import section as codec
from filbertlift_config import snapshot as snapshot_types
from filbertlift_store import exceptions
from filbertlift_store import interface
from filbertlift_store import snapshots

CONCURRENT_WRITES: Final = 8
# Attempts to write a part that other publishers write at the same time.
_MAX_WRITE_ATTEMPTS: Final = 5


@attrs.define
class PartWriter:
    """Writes the parts of one publication, each once per revision of the head.

    Parts are written again after each change of the head, because clean-up
    may delete parts that were not written after the head that it read.
    """

    store: interface.Store
    cluster: str
    _written_keys: set[str] = attrs.field(factory=set)
    _head_revision: int = -1

    @defer.inlineCallbacks
    def write(
        self, loaded: snapshots.LoadedVersion, wanted: snapshot_types.Snapshot
    ) -> Any:
        """Writes every part that the current version does not name.

        The Deferred fails with StoreError if some part may be unwritten.

        Args:
            loaded: the current version and the revision of its head.
            wanted: the version to be published.
        """
        if self._head_revision != loaded.revision:
            # Pending writes for the old head still add keys to the old set.
            self._written_keys = set()
            self._head_revision = loaded.revision
        parts = collect_parts(self.cluster, loaded.snapshot, wanted)
        semaphore = defer.DeferredSemaphore(CONCURRENT_WRITES)
        writes = [
            semaphore.run(
                _write_part, self.store, key, data, self._written_keys
            )
            for key, data in parts.items()
        ]
        try:
            yield defer.gatherResults(writes, consumeErrors=True)
        except defer.FirstError as first:
            first.subFailure.raiseException()


def collect_parts(
    cluster: str, old: snapshot_types.Snapshot, new: snapshot_types.Snapshot
) -> dict[str, bytes]:
    """Returns the parts, by key, that only the new version names."""
    parts: dict[str, bytes] = {}
    for before, after in zip(old.pages, new.pages, strict=True):
        if before.hash == after.hash:
            continue
        parts.update(_collect_sections(cluster, before, after, new))
        if after.hash != snapshots.EMPTY_PAGE:
            data = paging.encode_page(after.entries)
            parts[interface.page_key(cluster, after.hash)] = data
    key = interface.tree_key(cluster, new.root)
    parts[key] = snapshots.encode_tree(new.head.pages)
    return parts


def _collect_sections(
    cluster: str,
    before: paging.Page,
    after: paging.Page,
    new: snapshot_types.Snapshot,
) -> dict[str, bytes]:
    old_hashes = {entry.hash for entry in before.entries.values()}
    return {
        interface.section_key(cluster, entry.hash): codec.encode_section(
            new.sections[name]
        )
        for name, entry in after.list_live().items()
        if entry.hash not in old_hashes
    }


@defer.inlineCallbacks
def _write_part(
    store: interface.Store, key: str, data: bytes, written_keys: set[str]
) -> Any:
    """Writes a part, even if it exists, so that it gets a new revision."""
    if key in written_keys:
        return
    expected = 0
    for _ in range(_MAX_WRITE_ATTEMPTS):
        try:
            yield store.compare_and_swap(key, expected, data)
        except exceptions.StoreConflict:
            entry = yield store.get(key)
            expected = entry.revision if entry is not None else 0
            continue
        written_keys.add(key)
        return
    raise exceptions.StoreUncertain(
        f"{key}: every write conflicted with another one"
    )
