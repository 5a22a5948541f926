"""Interface to the platform's key-value service (the store).

The rest of the code makes these assumptions about a store:

- A compare-and-swap is atomic, and a call can take effect long after its
  caller stopped waiting for it.
- Revisions increase across the whole store and none is used twice, not even for
  a key that was deleted and created again. A store that comes back from an
  older copy has lost changes that it had confirmed, and leases; its revisions
  increase all the same, and neither an earlier one nor an earlier lease is
  valid.
- A delete can be conditional on a revision, as a compare-and-swap is.
- A read that started after a write was confirmed sees that write.
- Neither a missing answer nor one that reports a failure proves that a write
  had no effect; only the content of the store does.
- A lease may lapse at any time, so correctness must not depend on one.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs
from twisted.internet import defer

from filbertlift_config import keys


@attrs.frozen
class Entry:
    """A value in the store.

    Attributes:
        value: the bytes.
        revision: revision of the write that stored it.
    """

    # A configuration contains the keys of organisations.
    value: bytes = attrs.field(repr=False)
    revision: int


@attrs.frozen
class Changes:
    """Changes of the keys with a prefix.

    Attributes:
        entries: the newest entry of each changed key; None for a deleted one.
        revision: revision up to which changes are known, for the next watch.
    """

    entries: Mapping[str, Entry | None]
    revision: int


@attrs.frozen
class Listing:
    """Entries whose keys begin with a prefix.

    Attributes:
        entries: the entries by key.
        revision: revision from which a watch of the prefix continues.
    """

    entries: Mapping[str, Entry]
    revision: int


@attrs.frozen
class Store:
    """Access to a store; every call ends within a bounded time.

    A call fails with StoreUnavailable, StoreUncertain, or an error stated here.

    Attributes:
        get: returns the entry of a key, or None when there is none.
        compare_and_swap: writes a value if the key has the expected revision,
            0 if there must be no entry, and returns the new revision; fails
            with StoreConflict.
        delete: deletes a key if it has the expected revision; fails with
            StoreConflict. Deleting an absent key succeeds.
        grant_lease: grants a lease of the given seconds and returns its id.
        keep_lease: extends a lease; fails with LeaseLost.
        put_leased: writes a value whatever the revision of the key; the value
            is deleted when the lease ends. Fails with LeaseLost.
        watch: returns the entry once its revision is above the given one, or
            None after the wait in seconds or when the key is absent.
        list_prefix: returns the entries whose keys begin with a prefix; None
            if the store has no such call.
        list_from: does the same, and returns the revision of the list; None if
            the store has no such call.
        watch_prefix: returns the changes of the keys with a prefix after a
            revision, without any after the wait in seconds; None if the store
            has dropped the history after that revision, and in place of the
            function if it has no such call.
        is_same_era: returns whether the store did not come back from a copy
            between two revisions.
        may_exist: returns whether a lease may still exist; False once the store
            has come back from a copy, which may be older than the lease.
    """

    get: Callable[[str], "defer.Deferred[Entry | None]"]
    compare_and_swap: Callable[[str, int, bytes], "defer.Deferred[int]"]
    delete: Callable[[str, int], "defer.Deferred[None]"]
    grant_lease: Callable[[float], "defer.Deferred[str]"]
    keep_lease: Callable[[str], "defer.Deferred[None]"]
    put_leased: Callable[[str, bytes, str], "defer.Deferred[None]"]
    watch: Callable[[str, int, float], "defer.Deferred[Entry | None]"]
    list_prefix: Callable[[str], "defer.Deferred[dict[str, Entry]]"] | None = (
        None
    )
    list_from: Callable[[str], "defer.Deferred[Listing]"] | None = None
    watch_prefix: (
        Callable[[str, int, float], "defer.Deferred[Changes | None]"] | None
    ) = None
    is_same_era: Callable[[int, int], bool] = lambda _one, _other: True
    may_exist: Callable[[str], bool] = lambda _lease: True


def _make_key(cluster: str, *parts: str) -> str:
    return "/".join(("filbertlift", keys.check_name(cluster), *parts))


def head_key(cluster: str) -> str:
    """Returns the key of the head.

    Raises:
        ValueError: if the cluster's name is not allowed; this holds for every
            function here that returns a key.
    """
    return _make_key(cluster, "head")


def tree_key(cluster: str, root: str) -> str:
    """Returns the key of the page hashes of the versions with this root."""
    return _make_key(cluster, "tree", root)


def page_key(cluster: str, digest: str) -> str:
    """Returns the key of a page."""
    return _make_key(cluster, "page", digest)


def section_key(cluster: str, digest: str) -> str:
    """Returns the key of a section."""
    return _make_key(cluster, "section", digest)


def roster_key(cluster: str, data_centre: str) -> str:
    """Returns the key of the roster of a data centre."""
    return _make_key(cluster, "roster", keys.check_name(data_centre))


def journal_key(cluster: str) -> str:
    """Returns the key of the journal, the list of parts to be deleted."""
    return _make_key(cluster, "journal")
