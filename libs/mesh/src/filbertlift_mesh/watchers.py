"""Choice of the hosts of a region that watch the store for new versions.

The hosts with the highest ranks form a group, whose members send one another
heartbeats. The first `WATCHERS` of them that are heard watch the store. So
another member takes over within `GROUP_SILENCE_S` of the loss of a watcher,
while the directory notices a lost host only after `SILENCE_TIMEOUT_S`, which is
longer than a version may take to all hosts. The whole group may be lost too,
with most hosts of the region. So a host to which a peer of its region does not
reply probes the group, and watches as long as no member answers.
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
# Time within which a host answers a digest or a probe, in seconds. A busy host
# takes a few hundred milliseconds.
ANSWER_TIMEOUT_S: Final = 0.4
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
    group = list_group(table, now)
    if _is_lost(table, group, now):
        return not table.own.is_leaving
    ahead = 0
    for record in group:
        if record is table.own:
            return True
        if table.is_in_contact(record.address, now, GROUP_SILENCE_S):
            ahead += 1
        if ahead == WATCHERS:
            return False
    return False


def is_standby(table: directory.Directory, now: float) -> bool:
    """Returns whether this host is in the group and does not watch."""
    return table.own in list_group(table, now) and not is_watcher(table, now)


def note_probe(table: directory.Directory, now: float) -> None:
    """Records that this host probes the group of its region."""
    group = list_group(table, now)
    if table.group_probed_at is None or _has_answered(table, group, now):
        table.group_probed_at = now


def is_group_lost(table: directory.Directory, now: float) -> bool:
    """Returns whether no member of the group has answered a probe in time."""
    return _is_lost(table, list_group(table, now), now)


def _is_lost(
    table: directory.Directory, group: list[directory.HostRecord], now: float
) -> bool:
    probed_at = table.group_probed_at
    if probed_at is None or now - probed_at < ANSWER_TIMEOUT_S:
        return False
    return not _has_answered(table, group, now)


def _has_answered(
    table: directory.Directory, group: list[directory.HostRecord], now: float
) -> bool:
    """Returns whether a member sent a message since the group was probed."""
    assert table.group_probed_at is not None
    since_s = now - table.group_probed_at
    return any(
        table.is_in_contact(record.address, now, since_s) for record in group
    )


@functools.lru_cache(_MAX_CACHED_HASHES)
def _hash_address(address: model.Address) -> int:
    digest = hashlib.blake2b(str(address).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
