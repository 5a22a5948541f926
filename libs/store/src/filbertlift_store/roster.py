"""Rosters: a few addresses of a data centre for the first contact."""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import section as codec
from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_store import exceptions
from filbertlift_store import interface

MAX_ADDRESSES: Final = 16
MAX_ROSTER_BYTES: Final = 4_096
# Outlasts a pause or an outage of the store of some minutes.
LEASE_TTL_S: Final = 300.0


def merge_roster(
    held: Iterable[model.Address],
    live: Iterable[model.Address],
    lost: Collection[model.Address],
) -> tuple[model.Address, ...]:
    """Returns the roster after an update, sorted.

    Args:
        held: the addresses in the store.
        live: addresses that the writer knows to be alive; the first of them
            go before the held ones when there are too many.
        lost: addresses that the writer knows to be dead.
    """
    kept = [address for address in held if address not in lost]
    merged = dict.fromkeys([*live, *kept])
    return tuple(sorted(list(merged)[:MAX_ADDRESSES]))


def encode_roster(addresses: Iterable[model.Address]) -> bytes:
    """Returns the bytes under the key of a roster."""
    return codec.encode_canonical({"nodes": [str(item) for item in addresses]})


def decode_roster(data: bytes) -> tuple[model.Address, ...]:
    """Returns the addresses; an unreadable roster counts as empty.

    A roster is a hint, and the next write replaces it.
    """
    try:
        content = codec.decode_object(
            data, MAX_ROSTER_BYTES, config_exceptions.SnapshotError
        )
        rows = content.get("nodes")
        if not isinstance(rows, list):
            return ()
        addresses = [model.Address.parse(str(row)) for row in rows]
    except core_exceptions.FilbertliftError:
        return ()
    return tuple(addresses[:MAX_ADDRESSES])


@defer.inlineCallbacks
def read_roster(store: interface.Store, cluster: str, data_centre: str) -> Any:
    """Returns the addresses in a roster; fails with StoreError."""
    entry = yield store.get(interface.roster_key(cluster, data_centre))
    return decode_roster(entry.value) if entry is not None else ()


@attrs.define
class RosterWriter:
    """Keeps the roster of one data centre.

    Two writers may overwrite one another; each adds to what it read, so the
    next writes settle on the same addresses.
    """

    store: interface.Store
    cluster: str
    data_centre: str
    _lease: str = ""

    @defer.inlineCallbacks
    def write(
        self,
        live: Collection[model.Address],
        lost: Collection[model.Address],
    ) -> Any:
        """Merges addresses into the roster; returns whether it was written.

        Call it again within `LEASE_TTL_S` seconds, since the roster
        disappears with the lease. The Deferred fails with StoreError.

        Args:
            live: addresses that are alive, the preferred first.
            lost: addresses that are dead.
        """
        held = yield read_roster(self.store, self.cluster, self.data_centre)
        wanted = merge_roster(held, live, lost)
        alive = yield self._keep_lease()
        if alive and wanted == held:
            return False
        key = interface.roster_key(self.cluster, self.data_centre)
        yield self.store.put_leased(key, encode_roster(wanted), self._lease)
        return True

    @defer.inlineCallbacks
    def _keep_lease(self) -> Any:
        """Returns whether the lease was kept; grants another one if not."""
        if self._lease:
            try:
                yield self.store.keep_lease(self._lease)
                return True
            except exceptions.LeaseLost:
                self._lease = ""
        self._lease = yield self.store.grant_lease(LEASE_TTL_S)
        return False
