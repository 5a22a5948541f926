"""Sums over the runs of a target, by class of work, and their counter."""

from collections.abc import Mapping
import math
from typing import Final

import attrs

# Classes of work that a node counts separately for an order; runs of further
# classes are only counted together.
MAX_CLASSES: Final = 32
# Name under which the runs of all classes are counted together. No class of
# work has an empty name.
ALL_CLASSES: Final = ""
# Shortest time of a run that is told from zero, in seconds.
MIN_RUN_S: Final = 1e-4


@attrs.frozen
class Tally:
    """Sums over the runs of one class at one target.

    Attributes:
        runs: runs that ended or were stopped.
        failures: runs that ended with a failure of the target.
        timed: runs whose time counts; failed and cold runs are left out.
        log_sum: sum of the natural logarithms of their times in seconds.
        square_sum: sum of the squares of these logarithms.
    """

    runs: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0.0
    square_sum: float = 0.0

    def minus(self, other: "Tally") -> "Tally":
        """Returns the sums over the runs since an earlier tally."""
        return Tally(
            max(0, self.runs - other.runs),
            max(0, self.failures - other.failures),
            max(0, self.timed - other.timed),
            self.log_sum - other.log_sum,
            max(0.0, self.square_sum - other.square_sum),
        )

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sums over the runs of both tallies."""
        return Tally(
            self.runs + other.runs,
            self.failures + other.failures,
            self.timed + other.timed,
            self.log_sum + other.log_sum,
            self.square_sum + other.square_sum,
        )


NO_RUNS: Final = Tally()
Tallies = Mapping[str, Tally]


@attrs.define(eq=False)
class _Sums:
    """Sums that grow with each run, as `Tally` describes them."""

    runs: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0.0
    square_sum: float = 0.0

    def add(self, is_failure: bool, elapsed_s: float | None) -> None:
        """Adds a run; without a time if that does not count."""
        self.runs += 1
        self.failures += is_failure
        if elapsed_s is None:
            return
        log_s = math.log(max(MIN_RUN_S, elapsed_s))
        self.timed += 1
        self.log_sum += log_s
        self.square_sum += log_s * log_s

    def read(self) -> Tally:
        """Returns the sums so far."""
        return Tally(
            self.runs,
            self.failures,
            self.timed,
            self.log_sum,
            self.square_sum,
        )


@attrs.define(eq=False)
class Counter:
    """Counts the runs of the target on this host for one order.

    Attributes:
        key: revision of the order, id and start of the target; the counts start
            over when it changes.
    """

    key: tuple[int, str, int] = (0, "", 0)
    _sums: dict[str, _Sums] = attrs.field(factory=dict)

    def restart(self, key: tuple[int, str, int]) -> None:
        """Counts from zero if the order or the target is another one."""
        if key != self.key:
            self.key = key
            self._sums.clear()

    def note_run(
        self, work_class: str, is_failure: bool, elapsed_s: float | None
    ) -> None:
        """Records the end of a run; without a time if that does not count."""
        sums = self._sums
        if work_class in sums or len(sums) < MAX_CLASSES:
            sums.setdefault(work_class, _Sums()).add(is_failure, elapsed_s)
        # Times of different classes are not comparable.
        sums.setdefault(ALL_CLASSES, _Sums()).add(is_failure, None)

    def read(self) -> dict[str, Tally]:
        """Returns the sums by class."""
        return {name: sums.read() for name, sums in self._sums.items()}
