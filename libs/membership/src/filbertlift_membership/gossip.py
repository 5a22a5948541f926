"""Exchange of member records over the links of a node."""

from collections.abc import Iterable
import itertools

import attrs

from filbertlift_core import model
from filbertlift_membership import digests
from filbertlift_membership import members as membership

MemberTable = membership.MemberTable

BATCH_INTERVAL_S = 0.2
MAX_BATCH_RECORDS = 50
# Batches sent on one link per interval; with 8, a new node receives 12,000
# records in 6 s.
MAX_BATCHES = 8
# A batch may be lost when a link breaks unnoticed. To detect this, a node
# sends its digests over one link at this interval, to each linked node in turn.
DIGEST_INTERVAL_S = 30.0
# Minimum time between two comparisons on one link. After a difference, digests
# are compared again once the queued records have been sent.
CONFIRM_INTERVAL_S = 1.0


@attrs.frozen
class SendGossip:
    """Send records to a linked node."""

    to: model.Address
    members: tuple[model.Member, ...]


@attrs.frozen
class SendDigest:
    """Send the digests of the data centres to a linked node."""

    to: model.Address
    digests: dict[str, str]


@attrs.define
class GossipQueue:
    """Outgoing records by link, with at most one record of each member.

    Attributes:
        is_synced: whether the digests of this node's region have matched those
            of another node at least once. Until then, the neighbours may
            differ from those that the previous process at this address chose.
    """

    is_synced: bool = False
    _pending: dict[model.Address, dict[model.Address, model.Member]] = (
        attrs.field(factory=dict)
    )
    _sent_at: float = float("-inf")
    _compared_at: dict[model.Address, float] = attrs.field(factory=dict)
    _last_compared_at: float = float("-inf")
    _unconfirmed: set[model.Address] = attrs.field(factory=set)

    def open_link(self, peer: model.Address) -> None:
        """Starts to queue records for a link."""
        self._pending.setdefault(peer, {})
        self._compared_at.setdefault(peer, float("-inf"))

    def close_link(self, peer: model.Address) -> None:
        """Drops the queue of a link; a new link starts with a comparison."""
        self._pending.pop(peer, None)
        self._compared_at.pop(peer, None)
        self._unconfirmed.discard(peer)

    def broadcast(
        self, update: model.Member, sender: model.Address | None = None
    ) -> None:
        """Queues a record for every link except the one it arrived on."""
        for peer in self._pending:
            if peer != sender:
                self.enqueue(peer, update)

    def enqueue(self, peer: model.Address, update: model.Member) -> None:
        """Queues a record for one link."""
        queue = self._pending.get(peer)
        if queue is None:
            return
        queued = queue.get(update.address)
        if queued is None or membership.is_newer(update, queued):
            queue[update.address] = update

    def tick(self, now: float) -> list[SendGossip]:
        """Returns the batches for each link, at most once every 200 ms."""
        if now - self._sent_at < BATCH_INTERVAL_S:
            return []
        self._sent_at = now
        return [
            SendGossip(peer, batch)
            for peer, queue in self._pending.items()
            for batch in _take_batches(queue)
        ]

    def compare(self, table: MemberTable, now: float) -> list[SendDigest]:
        """Returns the digests that are due.

        Digests are due on a new link, on a link whose queued records were
        sent after a difference, and every 30 s on the link that was compared
        least recently.
        """
        due = [peer for peer in self._compared_at if self._is_due(peer, now)]
        if not due and now - self._last_compared_at >= DIGEST_INTERVAL_S:
            due = sorted(self._compared_at, key=self._compared_at.__getitem__)
            due = due[:1]
        return [self._send_digest(table, peer, now) for peer in due]

    def confirm(self, peer: model.Address) -> None:
        """Schedules a comparison for when the queue of a link is empty."""
        if peer in self._pending:
            self._unconfirmed.add(peer)

    def _is_due(self, peer: model.Address, now: float) -> bool:
        at = self._compared_at[peer]
        if at == float("-inf"):
            return True
        if peer not in self._unconfirmed or self._pending[peer]:
            return False
        return now - at >= CONFIRM_INTERVAL_S

    def _send_digest(
        self, table: MemberTable, peer: model.Address, now: float
    ) -> SendDigest:
        self._compared_at[peer] = now
        self._unconfirmed.discard(peer)
        self._last_compared_at = now
        return SendDigest(peer, table.digest_by_data_centre())


def receive_updates(
    table: MemberTable,
    queue: GossipQueue,
    updates: Iterable[model.Member],
    sender: model.Address,
    now: float,
) -> None:
    """Applies received records and queues those to forward or correct."""
    for update in updates:
        changed = table.apply(update, now)
        if changed is None:
            correction = table.find_newer(update)
            if correction is not None:
                queue.enqueue(sender, correction)
        elif changed is update:
            queue.broadcast(update, sender)
        else:
            queue.broadcast(changed)


def receive_digest(
    table: MemberTable,
    queue: GossipQueue,
    received: dict[str, str],
    sender: model.Address,
) -> None:
    """Queues all records of each data centre whose digest differs."""
    own = table.digest_by_data_centre()
    different = digests.compare(own, received)
    if not _may_include_own_region(table, different):
        queue.is_synced = True
    for data_centre in different:
        for member in table.members_of(data_centre):
            queue.enqueue(sender, member)
    if different:
        queue.confirm(sender)


def _may_include_own_region(
    table: MemberTable, data_centres: list[str]
) -> bool:
    """Returns whether one of the data centres may be in the own region.

    This includes a data centre without a known member.
    """
    own_region = table.own.place.region
    for data_centre in data_centres:
        found = table.members_of(data_centre)
        if not found or found[0].place.region == own_region:
            return True
    return False


def _take_batches(
    queue: dict[model.Address, model.Member],
) -> list[tuple[model.Member, ...]]:
    batches: list[tuple[model.Member, ...]] = []
    while queue and len(batches) < MAX_BATCHES:
        taken = list(itertools.islice(queue, MAX_BATCH_RECORDS))
        batches.append(tuple(queue.pop(address) for address in taken))
    return batches
