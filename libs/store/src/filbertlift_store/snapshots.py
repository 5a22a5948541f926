"""Loads versions from the store, whole or only what an older one lacks."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import head as heads
from filbertlift_config import page as paging
from filbertlift_config import scalars
from filbertlift_config import section as codec
from filbertlift_config import snapshot as snapshot_types
from filbertlift_store import exceptions
from filbertlift_store import interface

CONCURRENT_READS: Final = 16
# A part can be missing because the head that named it has been replaced.
MAX_ATTEMPTS: Final = 3
MAX_TREE_BYTES: Final = 8_192

EMPTY: Final = snapshot_types.Snapshot.empty()
# The empty page is never stored; every reader knows its content.
EMPTY_PAGE: Final = EMPTY.pages[0].hash
_EMPTY_PAGE_DATA: Final = paging.encode_page({})


@attrs.frozen
class LoadedVersion:
    """A version and the revision of the head that named it.

    Attributes:
        snapshot: the version; the empty one when there is no head.
        revision: revision of the head; 0 when there is none.
    """

    snapshot: snapshot_types.Snapshot
    revision: int


@attrs.frozen
class _Reader:
    """Source of parts by hash: memory for those that are known, else the store.

    Attributes:
        store: the store.
        cluster: name of the cluster.
        known: encoded pages and sections by hash.
        base: an older version whose sections need not be read.
    """

    store: interface.Store
    cluster: str
    known: Mapping[str, bytes]
    base: snapshot_types.Snapshot | None


def fetch_snapshot(
    store: interface.Store,
    cluster: str,
    base: snapshot_types.Snapshot | None = None,
) -> "defer.Deferred[snapshot_types.Snapshot | None]":
    """Returns the store's version, or None when there is no head.

    Args:
        store: the store.
        cluster: name of the cluster.
        base: an older version; only what it lacks is read. It is returned
            itself when the store has the same version.

    The Deferred fails with StoreIncomplete, StoreUnavailable or
    StoreUncertain.
    """

    def get_snapshot(loaded: LoadedVersion) -> snapshot_types.Snapshot | None:
        return loaded.snapshot if loaded.revision else None

    return fetch_current(store, cluster, base).addCallback(get_snapshot)


@defer.inlineCallbacks
def fetch_current(
    store: interface.Store,
    cluster: str,
    base: snapshot_types.Snapshot | None = None,
    known: Mapping[str, bytes] | None = None,
    head_entry: interface.Entry | None = None,
) -> Any:
    """Returns the `LoadedVersion` of the store; fails as `fetch_snapshot` does.

    Args:
        store: the store.
        cluster: name of the cluster.
        base: an older version whose sections need not be read.
        known: encoded pages and sections by hash that need not be read.
        head_entry: the head if the caller has just read it, as by a watch; it
            is read again only when its parts are missing.
    """
    reader = _Reader(store, cluster, known or {}, base)
    reason = ""
    for _ in range(MAX_ATTEMPTS):
        entry = head_entry or (yield store.get(interface.head_key(cluster)))
        head_entry = None
        if entry is None:
            return LoadedVersion(EMPTY, 0)
        try:
            head = heads.decode_head(entry.value)
            if base is not None and base.head == head:
                return LoadedVersion(base, entry.revision)
            snapshot = yield _load_version(reader, head)
            return LoadedVersion(snapshot, entry.revision)
        except config_exceptions.SnapshotError as error:
            reason = error.message
    raise exceptions.StoreIncomplete(reason)


@defer.inlineCallbacks
def fetch_version(
    store: interface.Store,
    cluster: str,
    record: heads.VersionRecord,
    base: snapshot_types.Snapshot | None = None,
) -> Any:
    """Returns the `Parts` of a version in the history of a head.

    The Deferred fails with StoreIncomplete when parts are missing.
    """
    reader = _Reader(store, cluster, {}, base)
    try:
        hashes = yield fetch_tree(store, cluster, record.root)
        parts = yield _load_parts(reader, hashes, record.version)
        return parts
    except config_exceptions.SnapshotError as error:
        raise exceptions.StoreIncomplete(error.message) from error


@defer.inlineCallbacks
def fetch_tree(store: interface.Store, cluster: str, root: str) -> Any:
    """Returns the page hashes of the versions with this root.

    The Deferred fails with SnapshotError when they are missing or do not match
    the root.
    """
    entry = yield store.get(interface.tree_key(cluster, root))
    if entry is None:
        raise config_exceptions.SnapshotError(f"tree {root} is missing")
    return decode_tree(entry.value, root)


def encode_tree(hashes: tuple[str, ...]) -> bytes:
    """Returns the value that is stored under the key of a tree."""
    return codec.encode_canonical({"pages": list(hashes)})


def decode_tree(data: bytes, root: str) -> tuple[str, ...]:
    """Returns the page hashes with this root; raises SnapshotError."""
    content = codec.decode_object(
        data, MAX_TREE_BYTES, config_exceptions.SnapshotError
    )
    pages = content.get("pages")
    if not isinstance(pages, list) or len(pages) != paging.PAGE_COUNT:
        raise config_exceptions.SnapshotError("the tree is malformed")
    hashes = tuple(scalars.check_hash(page) for page in pages)
    if heads.hash_pages(hashes) != root:
        raise config_exceptions.SnapshotError(
            f"tree {root} does not match its hash"
        )
    return hashes


@defer.inlineCallbacks
def fetch_page(store: interface.Store, cluster: str, digest: str) -> Any:
    """Returns a page; fails with SnapshotError if it is missing or damaged."""
    reader = _Reader(store, cluster, {}, None)
    data = yield _read_part(reader, interface.page_key(cluster, digest), digest)
    return paging.decode_page(data)


@defer.inlineCallbacks
def _load_version(reader: _Reader, head: heads.Head) -> Any:
    parts = yield _load_parts(reader, head.pages, head.version)
    return snapshot_types.verify_snapshot(
        snapshot_types.Snapshot(head, parts.pages, parts.sections)
    )


@defer.inlineCallbacks
def _load_parts(reader: _Reader, hashes: tuple[str, ...], version: int) -> Any:
    pages = yield _read_parts(reader, hashes, interface.page_key)
    wanted = []
    for page in map(paging.decode_page, pages.values()):
        wanted += _list_missing(reader, page)
    contents = yield _read_parts(reader, wanted, interface.section_key)
    return snapshot_types.build_parts(
        hashes,
        version,
        [pages[digest] for digest in hashes],
        contents,
        reader.base,
    )


def _list_missing(reader: _Reader, page: paging.Page) -> list[str]:
    """Returns the hashes of the sections that the base lacks."""
    if reader.base is None:
        return [entry.hash for entry in page.list_live().values()]
    missing = []
    for name, entry in page.list_live().items():
        held = reader.base.get_entry(name)
        if held is None or held.hash != entry.hash:
            missing.append(entry.hash)
    return missing


@defer.inlineCallbacks
def _read_parts(
    reader: _Reader,
    digests: Iterable[str],
    make_key: Callable[[str, str], str],
) -> Any:
    """Returns parts by hash; a limited number is read at the same time."""
    wanted = sorted(set(digests))
    semaphore = defer.DeferredSemaphore(CONCURRENT_READS)
    reads = [
        semaphore.run(
            _read_part, reader, make_key(reader.cluster, digest), digest
        )
        for digest in wanted
    ]
    try:
        parts = yield defer.gatherResults(reads, consumeErrors=True)
    except defer.FirstError as first:
        first.subFailure.raiseException()
    return dict(zip(wanted, parts, strict=True))


@defer.inlineCallbacks
def _read_part(reader: _Reader, key: str, digest: str) -> Any:
    data = _find_known(reader, digest)
    if data is not None:
        return data
    entry = yield reader.store.get(key)
    if entry is None or codec.hash_bytes(entry.value) != digest:
        raise config_exceptions.SnapshotError(
            f"{key} is missing or does not match its hash"
        )
    return entry.value


def _find_known(reader: _Reader, digest: str) -> bytes | None:
    if digest == EMPTY_PAGE:
        return _EMPTY_PAGE_DATA
    if digest in reader.known:
        return reader.known[digest]
    if reader.base is None:
        return None
    for page in reader.base.pages:
        if page.hash == digest:
            return paging.encode_page(page.entries)
    return None
