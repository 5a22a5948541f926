"""Turns what the store shows of orders into their states."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final

import attrs
from twisted.internet import task

from filbertlift_core import exceptions as core_exceptions
from filbertlift_mesh import rollouts
from filbertlift_sidecar import rejections
from filbertlift_sidecar import statuswriter
from filbertlift_store import interface

# Time for which the other watching hosts can announce an order that this host
# finds in its first list, in seconds. They know when it was written, but a host
# that has just started must become known to them first. It is shorter than the
# time for which targets of another release are held back without an order.
PEERS_WAIT_S: Final = 1.5


@attrs.frozen
class RolloutKeys:
    """Keys and values in the store, which the platform defines.

    Attributes:
        order_prefix: prefix of the keys of orders; the service follows.
        status_prefix: prefix of the keys of states; the service follows.
        decode_order: decodes a key, its value and its revision; raises a
            FilbertliftError.
        encode_status: encodes a state and the release that it is about.
        decode_status: the inverse; returns None for a malformed value.
    """

    order_prefix: str
    status_prefix: str
    decode_order: Callable[[str, bytes, int], rollouts.Order]
    encode_status: Callable[[rollouts.Status, str], bytes]
    decode_status: statuswriter.DecodeStatus


@attrs.define(eq=False)
class OrderReader:
    """Reads new, changed and deleted orders.

    Attributes:
        states: what is known of the latest order of each service.
        learn: called with the state of an order that the store shows.
    """

    reactor: Any
    store: interface.Store
    keys: RolloutKeys
    states: Mapping[str, rollouts.Rollout]
    learn: Callable[[rollouts.Rollout], None]
    noted: rejections.Rejections

    async def note_list(
        self, listing: interface.Listing, max_age_s: float
    ) -> None:
        """Processes all orders in the store."""
        orders = [
            order
            for key, entry in listing.entries.items()
            if (order := self._decode(key, entry)) is not None
        ]
        self._withdraw_missing(listing)
        for order in orders:
            self._carry_over(order)
        unknown = self._list_unknown(orders)
        if not unknown:
            return
        assert self.store.list_prefix is not None
        states = await self.store.list_prefix(self.keys.status_prefix)
        now = self.reactor.seconds()
        running: list[rollouts.Order] = []
        for order in unknown:
            status = statuswriter.read_status(
                order,
                states.get(self.keys.status_prefix + order.service),
                self.keys.decode_status,
            )
            started = rollouts.start_order(order, max_age_s, now)
            if status is None:
                self.learn(started)
            elif status is rollouts.Status.RUNNING:
                running.append(order)
            else:
                self.learn(started.note_status(status, now))
        if running:
            await task.deferLater(self.reactor, PEERS_WAIT_S, _do_nothing)
            self._end_unknown(running)

    def _list_unknown(
        self, orders: Sequence[rollouts.Order]
    ) -> list[rollouts.Order]:
        return [
            order
            for order in orders
            if (held := self.states.get(order.service)) is None
            or held.order.revision < order.revision
        ]

    def _end_unknown(self, orders: Sequence[rollouts.Order]) -> None:
        """Rolls back running orders of which no host knows the age."""
        now = self.reactor.seconds()
        for order in self._list_unknown(orders):
            started = rollouts.start_order(order, 0.0, now)
            self.learn(
                started.enter(
                    rollouts.Stage.ROLLED_BACK, rollouts.UNKNOWN_AGE, now
                )
            )

    def _withdraw_missing(self, listing: interface.Listing) -> None:
        for service in list(self.states):
            if self.keys.order_prefix + service not in listing.entries:
                self._withdraw(service, listing.revision)

    def note_change(
        self,
        key: str,
        entry: interface.Entry | None,
        revision: int,
        max_age_s: float,
    ) -> None:
        """Processes a new, changed or deleted order.

        Args:
            key: key of the order.
            entry: its entry; None if it was deleted.
            revision: revision up to which changes are known.
            max_age_s: time since the store last showed no order, in seconds.
        """
        if entry is None:
            service = key.removeprefix(self.keys.order_prefix)
            self._withdraw(service, revision)
            return
        order = self._decode(key, entry)
        if order is None:
            return
        self._carry_over(order)
        if self._list_unknown([order]):
            now = self.reactor.seconds()
            self.learn(rollouts.start_order(order, max_age_s, now))

    def _carry_over(self, order: rollouts.Order) -> None:
        """Keeps the state of an order that a store shows that lost its status.

        The operator writes orders again, and all that the store shows after it
        came back from a copy has later revisions. The order goes on where it
        was; a completed one must not begin again.
        """
        held = self.states.get(order.service)
        if held is None or held.stage is rollouts.Stage.WITHDRAWN:
            return
        is_later = order.revision > held.order.revision
        if not is_later or self._is_same_era(held, order.revision):
            return
        if held.order.is_repeated_by(order):
            self.learn(held.carry_over(order))

    def _is_same_era(self, held: rollouts.Rollout, revision: int) -> bool:
        return self.store.is_same_era(held.order.revision, revision)

    def _decode(
        self, key: str, entry: interface.Entry
    ) -> rollouts.Order | None:
        try:
            return self.keys.decode_order(key, entry.value, entry.revision)
        except core_exceptions.FilbertliftError as error:
            self.noted.note("rollouts.order-malformed", key, error)
            return None

    def _withdraw(self, service: str, revision: int) -> None:
        """Withdraws an order that the store did not have at a revision.

        Peers may announce a later one before this host reads it. One that a
        store lacks that came back from a copy was lost, and is written again;
        otherwise it ends at its deadline.
        """
        held = self.states.get(service)
        if held is None or not self._is_same_era(held, revision):
            return
        if held.order.revision <= revision:
            self.learn(held.withdraw(self.reactor.seconds()))


def _do_nothing() -> None:
    """Callback of a pause."""
