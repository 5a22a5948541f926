"""Refusal at the entry of calls that the targets of a service would refuse.

A call that no target can serve in time costs a message to each target that it
asks, on small hosts that are busy already. So an entry counts, for each class
of calls to a service, how many of the last ones got a slot and how many were
refused for lack of one. It offers the targets only a fixed factor more calls
than they take and refuses the others at once. The surplus shows when targets
have capacity again. Without refusals nothing changes.
"""

import random
from typing import Final

import attrs

from filbertlift_mesh import rates
from filbertlift_mesh import reasons

# Calls offered to the targets for each call that they take, while they refuse
# as many of them as that implies or more. Targets refuse some calls of a class
# that has capacity, too; with a factor little above 1, an entry would follow
# these refusals down to fewer and fewer calls.
OFFER_FACTOR: Final = 1.6
# Recent refusals by targets up to which every call is offered, as a decaying
# count; so few cost little, and are often those of single targets.
MIN_EVIDENCE: Final = 3.0
# Highest share of calls that is refused at once, so that some find out whether
# targets have capacity again.
MAX_SHED_SHARE: Final = 0.9
# Returning callers are refused at once at most so many times as often as first
# calls are refused.
RETURN_FACTOR: Final = 2.0
# Refusals of a call by different targets after which it counts as evidence of a
# lack of capacity.
MIN_REFUSALS: Final = 2
# Refusals that show a lack of capacity, other than stale records or lost links.
CAPACITY_REASONS: Final = frozenset(
    (reasons.QUEUE_FULL, reasons.TOO_LATE, reasons.WAIT_TOO_LONG)
)


@attrs.define(eq=False)
class ClassPressure:
    """Recent calls of one class to one service, as decaying counts.

    Attributes:
        offered: calls that were offered to targets.
        refused: those of them that the targets refused for lack of a slot.
        shed: calls that were refused at once.
        first: the first calls, if these are the returns of the class.
    """

    offered: rates.DecayingRate = attrs.field(factory=rates.DecayingRate)
    refused: rates.DecayingRate = attrs.field(factory=rates.DecayingRate)
    shed: rates.DecayingRate = attrs.field(factory=rates.DecayingRate)
    first: "ClassPressure | None" = None

    def note_refused(self, now: float) -> None:
        """Records a call that the targets refused for lack of a slot."""
        self.refused.add(1.0, now)

    def take_shed(self, now: float, rng: random.Random) -> bool:
        """Returns whether a new call is refused at once, and records it.

        Args:
            now: current time, in seconds.
            rng: source of the choice which calls are refused.
        """
        share = min(MAX_SHED_SHARE, self._get_surplus(now))
        if self.first is not None:
            first_share = self.first.get_refused_share(now)
            share = min(share, RETURN_FACTOR * first_share)
        if share <= 0 or rng.random() >= share:
            self.offered.add(1.0, now)
            return False
        self.shed.add(1.0, now)
        return True

    def get_refused_share(self, now: float) -> float:
        """Returns the share of the recent calls that got no slot."""
        shed = self.shed.read(now)
        lost = self.refused.read(now) + shed
        return lost / (self.offered.read(now) + shed + 1.0)

    def _get_surplus(self, now: float) -> float:
        """Returns the share of the recent calls beyond those to be offered.

        The factor grows while targets take more of the offered calls than it
        expects, so that all calls are offered again soon after an overload.
        Calls that have not ended count as taken: a refusal is known earlier
        than an answer.
        """
        refused = self.refused.read(now)
        if refused < MIN_EVIDENCE:
            return 0.0
        offered = self.offered.read(now)
        taken = max(0.0, offered - refused)
        factor = max(OFFER_FACTOR, (OFFER_FACTOR - 1.0) * offered / refused)
        asked = offered + self.shed.read(now)
        return (asked - factor * taken) / (asked + 1.0)


@attrs.define(eq=False)
class Shedding:
    """Lack of capacity by service, class, return and organisation.

    Organisations are counted apart, since targets refuse those that ask for
    more than their fair share.
    Returning callers are counted apart, since targets prefer first calls, which
    can still meet their objective. Once first calls are taken, returns are
    offered again at once.
    """

    _classes: dict[tuple[str, str, bool, str], ClassPressure] = attrs.field(
        factory=dict
    )

    def get_class(
        self,
        service: str,
        work_class: str,
        is_return: bool,
        organisation: str = "",
    ) -> ClassPressure:
        """Returns the recent calls of a class."""
        key = (service, work_class, is_return, organisation)
        held = self._classes.get(key)
        if held is None:
            first = None
            if is_return:
                first = self.get_class(service, work_class, False, organisation)
            held = self._classes[key] = ClassPressure(first=first)
        return held

    def drop_other_services(self, names: set[str]) -> None:
        """Drops the services that a new configuration no longer has."""
        for key in list(self._classes):
            if key[0] not in names:
                del self._classes[key]


def shows_shortage(reason: str, refusals: int, targets: int) -> bool:
    """Returns whether the refusal of a call shows a lack of capacity.

    Args:
        reason: reason of the last refusal.
        refusals: attempts that were refused.
        targets: known targets of the service.
    """
    is_evidence = refusals >= min(MIN_REFUSALS, max(1, targets))
    return is_evidence and reason in CAPACITY_REASONS
