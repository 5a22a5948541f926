"""Chooses which states of orders a watching host announces, and to whom.

Every state is announced until the peer tells that it knows it. An order in
progress is announced further, since a host that no longer hears of it sends no
calls to the new release.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import rollouts
from filbertlift_mesh import watchers

# Interval at which an order in progress is announced to a host that knows its
# state, in seconds.
REFRESH_S: Final = 1.0
# Number of announcements without an answer, and the interval after these, in
# seconds. Hosts of builds without roll-outs never answer.
QUICK_ANNOUNCEMENTS: Final = 8
SLOW_INTERVAL_S: Final = 5.0
# Shortest interval of announcements of one state to one host, in seconds.
MIN_INTERVAL_S: Final = 0.2
# Time for which a final state is announced, in seconds.
FINAL_S: Final = 60.0


@attrs.define(eq=False)
class _Progress:
    """Announcements of one order to one host.

    Attributes:
        rank: rank of the state that was announced last.
        count: announcements of that state without an answer.
        sent_at: when the last one was sent, in seconds.
        is_known: whether the host has answered with that state.
    """

    rank: tuple[Any, ...]
    count: int = 0
    sent_at: float = float("-inf")
    is_known: bool = False


@attrs.define(eq=False)
class Announcer:
    """Progress of the announcements to all hosts."""

    _progress: dict[tuple[model.Address, str], _Progress] = attrs.field(
        factory=dict
    )

    def note_known(
        self, address: model.Address, rollout: rollouts.Rollout
    ) -> None:
        """Records the state that a host knows."""
        progress = self._progress.get((address, rollout.order.service))
        if progress is not None and rollout.rank >= progress.rank:
            progress.is_known = True
            progress.count = 0

    def list_due(
        self,
        table: directory.Directory,
        states: Iterable[rollouts.Rollout],
        has_evidence: Callable[[str], bool],
        now: float,
    ) -> list[tuple[model.Address, list[rollouts.Rollout]]]:
        """Returns the hosts that are due for announcements, and of what.

        Args:
            table: the known hosts.
            states: states of all orders.
            has_evidence: returns whether this host gets evidence about a
                service. Otherwise only the hosts of its targets, which send
                the evidence, are told again of a state that they know.
            now: current time, in seconds.
        """
        announced = [
            state
            for state in states
            if not state.is_final or now - state.stage_at < FINAL_S
        ]
        if not announced:
            self._progress.clear()
            return []
        due: list[tuple[model.Address, list[rollouts.Rollout]]] = []
        live = table.list_live(now)
        far = _list_far_members(table, live)
        refreshed = {
            state.order.service
            for state in announced
            if not state.is_final and has_evidence(state.order.service)
        }
        for record in live:
            is_near = record.place.region == table.own.place.region
            is_told = is_near or record.address in far
            chosen = []
            for state in announced:
                service = state.order.service
                runs = _runs_service(record, service)
                is_refreshed = runs or service in refreshed
                if (is_told or runs) and self._is_due(
                    record.address, state, is_refreshed, now
                ):
                    chosen.append(state)
            if chosen:
                due.append((record.address, chosen))
        return due

    def _is_due(
        self,
        address: model.Address,
        state: rollouts.Rollout,
        is_refreshed: bool,
        now: float,
    ) -> bool:
        """Returns whether an announcement is due, and records it as sent."""
        key = address, state.order.service
        progress = self._progress.get(key)
        if progress is None or progress.rank != state.rank:
            progress = self._progress[key] = _Progress(state.rank)
        if progress.is_known:
            interval_s = REFRESH_S
            if state.is_final or not is_refreshed:
                return False
        elif progress.count < QUICK_ANNOUNCEMENTS:
            interval_s = MIN_INTERVAL_S
        else:
            interval_s = SLOW_INTERVAL_S
        if now - progress.sent_at < interval_s:
            return False
        progress.sent_at = now
        progress.count += 1
        return True


def _runs_service(record: directory.HostRecord, service: str) -> bool:
    return record.target is not None and record.target.service == service


def _list_far_members(
    table: directory.Directory, live: Iterable[directory.HostRecord]
) -> set[model.Address]:
    """Returns the hosts of other regions that may watch there."""
    regions: dict[str, list[directory.HostRecord]] = {}
    for record in live:
        if record.place.region != table.own.place.region:
            regions.setdefault(record.place.region, []).append(record)
    return {
        record.address
        for records in regions.values()
        for record in heapq.nlargest(
            watchers.GROUP_SIZE, records, key=watchers.rank_watcher
        )
    }
