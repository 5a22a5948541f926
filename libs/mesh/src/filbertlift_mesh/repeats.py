"""Budget of repeated runs, shared by all nodes without any of them counting.

The targets of a service may get a bounded number of arrivals beyond the first
of each call, summed over all nodes. Each node keeps to its share of the fixed
part and to a part of the proportional one.
"""

from typing import Final

import attrs

from filbertlift_calls import budgets

# Part of the allowance that is used: calls under a repeated call are repeats
# at their service too, and nodes do not know their number exactly.
USED_PART: Final = 0.7


@attrs.frozen
class RepeatPolicy:
    """What all nodes together may repeat at the targets of one service.

    Attributes:
        ratio: repeats for each call in a window.
        slack: repeats in a window besides.
        window_s: length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


@attrs.define(eq=False)
class RepeatBudget:
    """What this node may repeat, by service.

    Attributes:
        policy: what all nodes may repeat together.
        hosts: how many nodes there are.
    """

    policy: RepeatPolicy
    hosts: int = 1
    _budgets: dict[str, budgets.ShareBudget] = attrs.field(factory=dict)

    def note_call(self, service: str, now: float) -> None:
        """Records the first attempt of a call."""
        self._find_budget(service, now).note_call()

    def take(self, service: str, now: float) -> bool:
        """Uses up one repeat if it is allowed."""
        return self._find_budget(service, now).take(now)

    def set_hosts(self, hosts: int) -> None:
        """Adapts the share of this node to the number of nodes."""
        if hosts == self.hosts:
            return
        self.hosts = max(1, hosts)
        for budget in self._budgets.values():
            budget.bucket.rate = self._get_rate()
            budget.bucket.burst = self._get_burst()

    def _find_budget(self, service: str, now: float) -> budgets.ShareBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bucket = budgets.TokenBucket.create(
                self._get_rate(), self._get_burst(), now
            )
            budget = budgets.ShareBudget(self.policy.ratio * USED_PART, bucket)
            self._budgets[service] = budget
        return budget

    def _get_burst(self) -> float:
        # A window sees one full bucket and what flows in meanwhile.
        return max(1.0, self._get_share())

    def _get_rate(self) -> float:
        return self._get_share() / self.policy.window_s

    def _get_share(self) -> float:
        return self.policy.slack * USED_PART / 2.0 / self.hosts
