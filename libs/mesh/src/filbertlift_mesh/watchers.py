"""Choice of the hosts of a region that watch the store for new versions.

The hosts with the highest ranks form a group, whose members send one another
heartbeats. The first `WATCHERS` of them that are heard watch the store. So
another member takes over within `GROUP_SILENCE_S` of the loss of a watcher,
while the directory notices a lost host only after `SILENCE_TIMEOUT_S`, which is
longer than a version may take to all hosts. A host that no longer hears any
other host of its region watches too, since the whole group may be lost.
"""

import functools
import hashlib
import heapq
from typing import Final

from filbertlift_core import model
from filbertlift_mesh import directory

# Hosts of a region that watch the store; two, so that the region still learns
# of new versions when one of them fails.
WATCHERS: Final = 2
# Hosts in the group of a region. All of them are lost in 3 of 100 cases in
# which a region loses 55 of 100 hosts at once.
GROUP_SIZE: Final = 6
# Interval of heartbeats in the group, in seconds, and time without one after
# which a member is passed over. Two heartbeats may be lost.
GROUP_BEAT_INTERVAL_S: Final = 0.4
GROUP_SILENCE_S: Final = 1.3
# Time without a message from any host of the region, in seconds, after which a
# host watches as if it were alone. Its digests, one a second, are answered
# unless most of the listed hosts are lost, and with them perhaps the group.
ISOLATION_S: Final = 1.8
# Addresses whose hashes are kept.
_MAX_CACHED_HASHES: Final = 32_768

Rank = tuple[bool, int, int]


def rank_watcher(record: directory.HostRecord) -> Rank:
    """Returns the rank of a host; those with the highest ranks watch.

    Hosts that the store answers go first, then hosts with a wide link, since a
    watcher sends new versions to others. Among similar links the order is
    pseudo-random but the same on all hosts.
    """
    return (
        record.has_store,
        record.link_kbps.bit_length(),
        _hash_address(record.address),
    )


def list_group(
    table: directory.Directory, now: float
) -> list[directory.HostRecord]:
    """Returns the group of this host's region, by descending rank."""
    own = table.own
    candidates = [
        record
        for record in [*table.list_live(now), own]
        if record.place.region == own.place.region and not record.is_leaving
    ]
    return heapq.nlargest(GROUP_SIZE, candidates, key=rank_watcher)


def list_group_peers(
    table: directory.Directory, now: float
) -> list[directory.HostRecord]:
    """Returns the other members, or none if this host is not in the group."""
    group = list_group(table, now)
    if table.own not in group:
        return []
    return [record for record in group if record is not table.own]


def is_watcher(table: directory.Directory, now: float) -> bool:
    """Returns whether this host should watch the store."""
    if _is_isolated(table, now):
        return not table.own.is_leaving
    ahead = 0
    for record in list_group(table, now):
        if record is table.own:
            return True
        if table.is_in_contact(record.address, now, GROUP_SILENCE_S):
            ahead += 1
        if ahead == WATCHERS:
            return False
    return False


def _is_isolated(table: directory.Directory, now: float) -> bool:
    contacted_at = table.contacted_at
    return contacted_at is not None and now - contacted_at > ISOLATION_S


@functools.lru_cache(_MAX_CACHED_HASHES)
def _hash_address(address: model.Address) -> int:
    digest = hashlib.blake2b(str(address).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
