"""Exchange of member records over the links of a node."""

from collections.abc import Iterable
import itertools

import attrs

from filbertlift_core import model
from filbertlift_membership import digests
from filbertlift_membership import members as membership

MemberTable = membership.MemberTable

BATCH_S = 0.2
MAX_BATCH = 50
# Batches for a link at once: a new node gets 12,000 records in 6 s.
MAX_BATCHES = 8
# A batch can be lost when a link breaks without notice. Digests of one link
# are compared at this interval, one link after the other.
DIGEST_S = 30.0
# After a difference, the digests are compared again when the records have
# been sent, but not more often than this.
CONFIRM_S = 1.0


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
    """Records to send, by link; at most one record of each member.

    Attributes:
        is_synced: whether this node ever knew the same members of its region
            as another one; until then its neighbours are not yet those that
            its predecessor at this address chose.
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
        """Drops the records of a link; a new link compares digests."""
        self._pending.pop(peer, None)
        self._compared_at.pop(peer, None)
        self._unconfirmed.discard(peer)

    def spread(
        self, update: model.Member, sender: model.Address | None = None
    ) -> None:
        """Queues a record for every link but the one that it came over."""
        for peer in self._pending:
            if peer != sender:
                self.send(peer, update)

    def send(self, peer: model.Address, update: model.Member) -> None:
        """Queues a record for one link."""
        queue = self._pending.get(peer)
        if queue is None:
            return
        queued = queue.get(update.address)
        if queued is None or membership.is_newer(update, queued):
            queue[update.address] = update

    def tick(self, now: float) -> list[SendGossip]:
        """Returns the batches for each link, every 200 ms."""
        if now - self._sent_at < BATCH_S:
            return []
        self._sent_at = now
        return [
            SendGossip(peer, batch)
            for peer, queue in self._pending.items()
            for batch in _take_batches(queue)
        ]

    def compare(self, table: MemberTable, now: float) -> list[SendDigest]:
        """Returns the digests due.

        They go over new links, after the records that a difference called
        for, and every 30 s over the link compared least recently.
        """
        due = [peer for peer in self._compared_at if self._is_due(peer, now)]
        if not due and now - self._last_compared_at >= DIGEST_S:
            due = sorted(self._compared_at, key=self._compared_at.__getitem__)
            due = due[:1]
        return [self._send_digest(table, peer, now) for peer in due]

    def confirm(self, peer: model.Address) -> None:
        """Asks for a comparison after the records queued for a link."""
        if peer in self._pending:
            self._unconfirmed.add(peer)

    def _is_due(self, peer: model.Address, now: float) -> bool:
        at = self._compared_at[peer]
        if at == float("-inf"):
            return True
        if peer not in self._unconfirmed or self._pending[peer]:
            return False
        return now - at >= CONFIRM_S

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
    """Applies received records and queues what has to be sent on."""
    for update in updates:
        changed = table.apply(update, now)
        if changed is None:
            correction = table.correct(update)
            if correction is not None:
                queue.send(sender, correction)
        elif changed is update:
            queue.spread(update, sender)
        else:
            queue.spread(changed)


def receive_digest(
    table: MemberTable,
    queue: GossipQueue,
    received: dict[str, str],
    sender: model.Address,
) -> None:
    """Queues the records of each data centre that differs at the sender."""
    own = table.digest_by_data_centre()
    different = digests.compare(own, received)
    if not _has_home(table, different):
        queue.is_synced = True
    for data_centre in different:
        for member in table.members_of(data_centre):
            queue.send(sender, member)
    if different:
        queue.confirm(sender)


def _has_home(table: MemberTable, data_centres: list[str]) -> bool:
    """Returns whether one may be of the own region; unknown ones may be."""
    home = table.own.place.region
    for data_centre in data_centres:
        found = table.members_of(data_centre)
        if not found or found[0].place.region == home:
            return True
    return False


def _take_batches(
    queue: dict[model.Address, model.Member],
) -> list[tuple[model.Member, ...]]:
    batches: list[tuple[model.Member, ...]] = []
    while queue and len(batches) < MAX_BATCHES:
        taken = list(itertools.islice(queue, MAX_BATCH))
        batches.append(tuple(queue.pop(address) for address in taken))
    return batches
