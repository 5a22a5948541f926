"""Updates that wait to be sent over the links of a node."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership

BATCH_S = 0.2
MAX_BATCH = 50


@attrs.frozen
class SendGossip:
    """Send records to a linked node."""

    to: model.Address
    members: tuple[model.Member, ...]


@attrs.define
class GossipQueue:
    """Records to send, by link; at most one record of each member."""

    _pending: dict[model.Address, dict[model.Address, model.Member]] = (
        attrs.field(factory=dict)
    )
    _sent_at: float = float("-inf")

    def open_link(self, peer: model.Address) -> None:
        """Starts to queue records for a link."""
        self._pending.setdefault(peer, {})

    def close_link(self, peer: model.Address) -> None:
        """Drops the records of a link; a new link compares digests."""
        self._pending.pop(peer, None)

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
        """Returns a batch for each link that has records, every 200 ms."""
        if now - self._sent_at < BATCH_S:
            return []
        self._sent_at = now
        return [
            SendGossip(peer, _take_batch(queue))
            for peer, queue in self._pending.items()
            if queue
        ]


def receive_updates(
    table: membership.MemberTable,
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


def _take_batch(
    queue: dict[model.Address, model.Member],
) -> tuple[model.Member, ...]:
    taken = list(queue)[:MAX_BATCH]
    return tuple(queue.pop(address) for address in taken)
