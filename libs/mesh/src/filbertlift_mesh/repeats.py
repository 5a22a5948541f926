"""Budget of repeats, shared by all nodes without a common counter.

The targets of a service may get a bounded number of arrivals beyond the first
of each call, summed over all nodes. The bound is a fixed number per window,
which is divided evenly among the nodes, plus a share of the calls, which each
node applies to its own calls.
"""

from typing import Final

import attrs

from filbertlift_calls import budgets

# Share of the allowance that is used. The rest is a reserve: calls made by a
# repeated call count as repeats at their service too, and a node knows the
# number of nodes only approximately.
USED_SHARE: Final = 0.7


@attrs.frozen
class RepeatPolicy:
    """Limit of the repeats of all nodes together, for each service.

    Attributes:
        ratio: repeats that are allowed for each call in a window.
        slack: repeats that are allowed in a window in addition.
        window_s: length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window_s: float = 10.0


@attrs.define(eq=False)
class RepeatBudget:
    """Budget of repeats of this node, by service.

    Attributes:
        policy: limit for all nodes together.
        hosts: number of nodes.
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
        """Updates the budgets of this node for a new number of nodes."""
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
            budget = budgets.ShareBudget(self.policy.ratio * USED_SHARE, bucket)
            self._budgets[service] = budget
        return budget

    def _get_burst(self) -> float:
        # In one window, at most a full bucket and its refill can be used, so
        # each of the two gets half of this node's allowance.
        return max(1.0, self._get_share())

    def _get_rate(self) -> float:
        return self._get_share() / self.policy.window_s

    def _get_share(self) -> float:
        return self.policy.slack * USED_SHARE / 2.0 / self.hosts
