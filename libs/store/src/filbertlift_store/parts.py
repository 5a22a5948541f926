"""Parts of a version: written to the store before the head names them."""

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
# A part that other publishers touch at the same time is tried this often.
_TOUCH_ATTEMPTS: Final = 5


@attrs.define
class PartWriter:
    """Writes the parts of one publication, each once for each head.

    Parts are written again after each change of the head, since clean-up
    deletes what was not written after the head that it saw.
    """

    store: interface.Store
    cluster: str
    _touched: set[str] = attrs.field(factory=set)
    _touched_at: int = -1

    @defer.inlineCallbacks
    def write(
        self, loaded: snapshots.Loaded, wanted: snapshot_types.Snapshot
    ) -> Any:
        """Writes every part that the current version does not name.

        The Deferred fails with StoreError when a part may not be written.

        Args:
            loaded: the current version and the revision of its head.
            wanted: the version to be published.
        """
        if self._touched_at != loaded.revision:
            # A new set: writes for the old head may still be under way.
            self._touched = set()
            self._touched_at = loaded.revision
        parts = collect_parts(self.cluster, loaded.snapshot, wanted)
        limit = defer.DeferredSemaphore(CONCURRENT_WRITES)
        writes = [
            limit.run(_touch, self.store, key, data, self._touched)
            for key, data in parts.items()
        ]
        try:
            yield defer.gatherResults(writes, consumeErrors=True)
        except defer.FirstError as first:
            first.subFailure.raiseException()


def collect_parts(
    cluster: str, old: snapshot_types.Snapshot, new: snapshot_types.Snapshot
) -> dict[str, bytes]:
    """Returns the parts by key that the new version names and the old not."""
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
    held = {entry.hash for entry in before.entries.values()}
    return {
        interface.section_key(cluster, entry.hash): codec.encode_section(
            new.sections[name]
        )
        for name, entry in after.list_live().items()
        if entry.hash not in held
    }


@defer.inlineCallbacks
def _touch(
    store: interface.Store, key: str, data: bytes, touched: set[str]
) -> Any:
    """Writes a part so that it has a new revision."""
    if key in touched:
        return
    expected = 0
    for _ in range(_TOUCH_ATTEMPTS):
        try:
            yield store.compare_and_swap(key, expected, data)
        except exceptions.StoreConflict:
            entry = yield store.get(key)
            expected = entry.revision if entry is not None else 0
            continue
        touched.add(key)
        return
    raise exceptions.StoreUncertain(f"{key} is written by others all the time")
