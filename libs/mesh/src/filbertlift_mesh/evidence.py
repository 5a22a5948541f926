"""Evidence about a new release: counters of runs, and their comparison.

The node beside each target of the service counts the runs since the order, by
class of work, and reports the sums to the watching hosts. These compare the
targets of the new release with the others over the same time, so that a fault
which affects both alike does not count.
"""

from collections import deque
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Final

import attrs

from filbertlift_core import model

# Classes of work that a node counts separately for an order; runs of further
# classes are only counted together.
MAX_CLASSES: Final = 32
# Name under which the runs of all classes are counted together. No class of
# work has an empty name.
ALL_CLASSES: Final = ""
# Shortest time of a run that is told from zero, in seconds.
MIN_RUN_S: Final = 1e-4
# Time after which a report no longer counts, in seconds, since its host may
# have stopped.
REPORT_AGE_S: Final = 3.0
# Time over which recent runs are compared, in seconds, besides all runs: a
# release that turns bad late has many good runs before.
RECENT_S: Final = 3.0
# Share of failures that is normal for any release, and by how much the share of
# the other releases is exceeded before it counts.
BASE_FAILURES: Final = 0.03
FAILURE_FACTOR: Final = 1.3
MAX_NORMAL_FAILURES: Final = 0.6
# How much larger the share of failures of a bad release may be; the smaller one
# is that of a release that is bad for a part of its calls.
FAILURE_EXCESSES: Final = (0.36, 0.12)
# Most targets of the new release that are left out as faulty by themselves.
MAX_LEFT_OUT: Final = 3
# Log-likelihood ratio of a bad release to a normal one that decides, and the
# one that must remain without the worst targets.
FAILURE_SCORE: Final = 6.0
REST_FAILURE_SCORE: Final = 2.0
# Ratio of the geometric mean times that is normal between targets.
NORMAL_RATIO: Final = 1.3
# Standard errors above this ratio that decide, and those that must remain
# without the slowest targets.
TIME_SCORE: Final = 3.5
REST_TIME_SCORE: Final = 1.0
# Standard deviation between the targets of one release, of log times; speeds
# differ by 0.5 to 1.5 times, and targets are slow for short times.
TARGET_DEVIATION: Final = 0.36
# Variance of log times within a target that is assumed at least.
MIN_VARIANCE: Final = 0.3
# Samples of the other releases without which times are not compared.
MIN_BASE_SAMPLES: Final = 10


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


@attrs.frozen
class Report:
    """What the node beside a target reports about it.

    Attributes:
        service: service of the target.
        revision: revision of the order.
        target_id: id of the target.
        born_ms: Unix milliseconds of its start.
        release: its release.
        running: calls that run or wait at its node.
        tallies: sums since the order, by class of work.
    """

    service: str
    revision: int
    target_id: str
    born_ms: int
    release: str
    running: int
    tallies: Tallies


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


@attrs.define(eq=False)
class _History:
    """Reports of one target, the latest at the end."""

    reports: deque[tuple[float, Report]] = attrs.field(factory=deque)

    def add(self, report: Report, now: float) -> None:
        last = self.reports[-1][1] if self.reports else report
        if (last.target_id, last.born_ms) != (report.target_id, report.born_ms):
            self.reports.clear()
        elif _count_runs(report) < _count_runs(last):
            # Datagrams may arrive out of order, and a restarted node counts
            # from zero; its sums soon exceed the last ones or replace them.
            if now - self.reports[-1][0] < REPORT_AGE_S:
                return
            self.reports.clear()
        self.reports.append((now, report))
        while len(self.reports) > 2 and self.reports[1][0] <= now - RECENT_S:
            self.reports.popleft()

    @property
    def latest(self) -> Report:
        return self.reports[-1][1]

    def read_recent(self) -> dict[str, Tally]:
        """Returns the sums since the oldest report that is kept."""
        base = self.reports[0][1].tallies if len(self.reports) > 1 else {}
        return {
            name: tally.minus(base.get(name, NO_RUNS))
            for name, tally in self.latest.tallies.items()
        }


@attrs.frozen
class Findings:
    """What the evidence shows.

    Attributes:
        fault: why the new release is bad, or empty.
        new_targets: targets of the new release that are reported.
        new_runs: runs of the new release.
        old_runs: runs of the other releases.
        old_running: runs in progress at targets of the other releases.
        reported_at: when a target of the new release was last reported, in
            seconds.
    """

    fault: str = ""
    new_targets: int = 0
    new_runs: int = 0
    old_runs: int = 0
    old_running: int = 0
    reported_at: float = float("-inf")


@attrs.define(eq=False)
class Board:
    """Reports of all targets of a service for one order.

    Attributes:
        revision: revision of the order.
        release: the new release.
    """

    revision: int
    release: str
    _targets: dict[model.Address, _History] = attrs.field(factory=dict)

    def note_report(
        self, address: model.Address, report: Report, now: float
    ) -> None:
        """Records a report of the node at an address."""
        if report.revision == self.revision and report.release:
            self._targets.setdefault(address, _History()).add(report, now)

    def assess(self, now: float) -> Findings:
        """Returns what the reports show that are not too old."""
        live = [
            held
            for held in self._targets.values()
            if now - held.reports[-1][0] <= REPORT_AGE_S
        ]
        new = [held for held in live if held.latest.release == self.release]
        old = [held for held in live if held.latest.release != self.release]
        return Findings(
            self._find_fault(new, old),
            len(new),
            sum(_count_runs(held.latest) for held in new),
            sum(_count_runs(held.latest) for held in old),
            sum(held.latest.running for held in old),
            max((held.reports[-1][0] for held in new), default=float("-inf")),
        )

    def _find_fault(
        self, new: Sequence[_History], old: Sequence[_History]
    ) -> str:
        all_new = [held.latest.tallies for held in new]
        all_old = [held.latest.tallies for held in old]
        found = find_fault(all_new, all_old)
        if found:
            return found
        recent_new = [held.read_recent() for held in new]
        recent_old = [held.read_recent() for held in old]
        names = _list_names(recent_new)
        # Once all calls go to the new release, the others have no recent runs.
        has_base = {name: _has_base(recent_old, name) for name in names}
        usable = [name for name in names if has_base[name]]
        found = find_fault(recent_new, recent_old, usable)
        if found:
            return found
        other = [name for name in names if not has_base[name]]
        return find_fault(recent_new, all_old, other)


def find_fault(
    new: Sequence[Tallies],
    old: Sequence[Tallies],
    names: Collection[str] | None = None,
) -> str:
    """Returns why the new release is bad, or an empty text.

    Args:
        new: sums of each target of the new release.
        old: sums of each target of the other releases.
        names: the classes of work to compare; None for all.
    """
    for name in _list_names(new) if names is None else names:
        new_tallies = [row[name] for row in new if name in row]
        old_tallies = [row[name] for row in old if name in row]
        is_only_target = len(new) == 1
        if _fails_more(new_tallies, old_tallies, is_only_target):
            return f"failures of {name or 'all classes'}"
        if _is_slower(new_tallies, old_tallies, is_only_target):
            return f"times of {name}"
    means = _find_class_means(old)
    if _is_slower(
        [_center(row, means, names) for row in new],
        [_center(row, means, names) for row in old],
        len(new) == 1,
    ):
        return "times of all classes"
    return ""


def _find_class_means(rows: Iterable[Tallies]) -> dict[str, float]:
    """Returns the mean log time of each class that has enough samples."""
    total: dict[str, Tally] = {}
    for row in rows:
        for name, tally in row.items():
            total[name] = total.get(name, NO_RUNS).plus(tally)
    return {
        name: tally.log_sum / tally.timed
        for name, tally in total.items()
        if tally.timed >= MIN_BASE_SAMPLES
    }


def _center(
    row: Tallies, means: Mapping[str, float], names: Collection[str] | None
) -> Tally:
    """Returns the sums over all classes relative to the means of each class.

    So times of different classes are compared together.
    """
    total = NO_RUNS
    for name, mean in means.items():
        tally = row.get(name, NO_RUNS)
        if names is not None and name not in names:
            continue
        total = total.plus(
            attrs.evolve(
                tally,
                log_sum=tally.log_sum - tally.timed * mean,
                square_sum=tally.square_sum
                - 2 * mean * tally.log_sum
                + tally.timed * mean * mean,
            )
        )
    return total


def _list_names(rows: Iterable[Tallies]) -> list[str]:
    """Returns the classes of the rows, and all classes together at the end."""
    names = {name for row in rows for name in row}
    return sorted(names, key=lambda name: (name == ALL_CLASSES, name))


def _has_base(rows: Iterable[Tallies], name: str) -> bool:
    runs = sum(row[name].runs for row in rows if name in row)
    return runs >= MIN_BASE_SAMPLES


def _count_runs(report: Report) -> int:
    return report.tallies.get(ALL_CLASSES, NO_RUNS).runs


def _fails_more(
    new: Sequence[Tally], old: Sequence[Tally], is_only_target: bool
) -> bool:
    """Returns whether the new release certainly fails more often."""
    runs = sum(tally.runs for tally in old)
    failures = sum(tally.failures for tally in old)
    share = failures / (runs + 1)
    normal = min(MAX_NORMAL_FAILURES, BASE_FAILURES + FAILURE_FACTOR * share)
    return any(
        _exceeds(new, normal, normal + excess, is_only_target)
        for excess in FAILURE_EXCESSES
    )


def _exceeds(
    new: Sequence[Tally], normal: float, bad: float, is_only_target: bool
) -> bool:
    """Returns whether a bad share of failures is far likelier than a normal."""
    gain = math.log(bad / normal)
    loss = math.log((1 - bad) / (1 - normal))
    scores = [
        tally.failures * gain + (tally.runs - tally.failures) * loss
        for tally in new
        if tally.runs
    ]
    if sum(scores) < FAILURE_SCORE:
        return False
    rest = sorted(scores)[: len(scores) - _count_left_out(len(scores))]
    return is_only_target or sum(rest) >= REST_FAILURE_SCORE


def _is_slower(
    new: Sequence[Tally], old: Sequence[Tally], is_only_target: bool
) -> bool:
    """Returns whether the new release is certainly slower."""
    new = [tally for tally in new if tally.timed]
    old = [tally for tally in old if tally.timed]
    if not new or sum(tally.timed for tally in old) < MIN_BASE_SAMPLES:
        return False
    variance = _estimate_variance([*new, *old])
    base_mean, base_error = _estimate_mean(old, variance)
    limit = base_mean + math.log(NORMAL_RATIO)

    def score(tallies: Sequence[Tally]) -> float:
        mean, error = _estimate_mean(tallies, variance)
        return (mean - limit) / math.sqrt(error + base_error)

    if score(new) < TIME_SCORE:
        return False
    if is_only_target:
        return True
    ordered = sorted(new, key=lambda tally: tally.log_sum / tally.timed)
    rest = ordered[: len(new) - _count_left_out(len(new))]
    return bool(rest) and score(rest) >= REST_TIME_SCORE


def _count_left_out(count: int) -> int:
    """Returns how many targets may be bad for reasons of their own.

    A single target with samples says nothing about the others.
    """
    return max(1, min(MAX_LEFT_OUT, count // 2))


def _estimate_variance(tallies: Sequence[Tally]) -> float:
    """Returns the variance of log times within a target."""
    squares = 0.0
    freedom = 0
    for tally in tallies:
        squares += tally.square_sum - tally.log_sum**2 / tally.timed
        freedom += tally.timed - 1
    return max(MIN_VARIANCE, squares / freedom if freedom else 0.0)


def _estimate_mean(
    tallies: Sequence[Tally], variance: float
) -> tuple[float, float]:
    """Returns the mean of the targets' log times and its squared error."""
    total = 0.0
    weights = 0.0
    for tally in tallies:
        weight = 1.0 / (TARGET_DEVIATION**2 + variance / tally.timed)
        total += weight * tally.log_sum / tally.timed
        weights += weight
    return total / weights, 1.0 / weights
