"""Comparison of the runs of a new release with those of the others.

A fault counts only if it shows without the worst targets too, which may be
faulty by themselves, and if the other releases do not have it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Final

import attrs

from filbertlift_mesh import counters

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
# Runs of the new release without which failures are not compared: three of them
# at two targets that are faulty by themselves would decide otherwise.
MIN_FAILURE_RUNS: Final = 10
REST_FAILURE_SCORE: Final = 2.0
# Ratio of the geometric mean times that is normal between targets.
NORMAL_RATIO: Final = 1.3
# Standard errors above this ratio that decide, and those that must remain
# without the slowest targets.
TIME_SCORE: Final = 3.5
REST_TIME_SCORE: Final = 1.5
# Standard deviation between the targets of one release, of log times; speeds
# differ by 0.5 to 1.5 times, and targets are slow for short times.
TARGET_DEVIATION: Final = 0.36
# Variance of log times within a target that is assumed at least.
MIN_VARIANCE: Final = 0.3
# Samples of the other releases without which times are not compared.
MIN_BASE_SAMPLES: Final = 10


def find_fault(
    new: Sequence[counters.Tallies],
    old: Sequence[counters.Tallies],
    names: Collection[str] | None = None,
) -> str:
    """Returns why the new release is bad, or an empty text.

    Args:
        new: sums of each target of the new release.
        old: sums of each target of the other releases.
        names: the classes of work to compare; None for all.
    """
    for name in list_names(new) if names is None else names:
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


def _find_class_means(rows: Iterable[counters.Tallies]) -> dict[str, float]:
    """Returns the mean log time of each class that has enough samples."""
    total: dict[str, counters.Tally] = {}
    for row in rows:
        for name, tally in row.items():
            total[name] = total.get(name, counters.NO_RUNS).plus(tally)
    return {
        name: tally.log_sum / tally.timed
        for name, tally in total.items()
        if tally.timed >= MIN_BASE_SAMPLES
    }


def _center(
    row: counters.Tallies,
    means: Mapping[str, float],
    names: Collection[str] | None,
) -> counters.Tally:
    """Returns the sums over all classes relative to the means of each class.

    So times of different classes are compared together.
    """
    total = counters.NO_RUNS
    for name, mean in means.items():
        tally = row.get(name, counters.NO_RUNS)
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


def list_names(rows: Iterable[counters.Tallies]) -> list[str]:
    """Returns the classes of the rows, and all classes together at the end."""
    names = {name for row in rows for name in row}
    return sorted(names, key=lambda name: (name == counters.ALL_CLASSES, name))


def _fails_more(
    new: Sequence[counters.Tally],
    old: Sequence[counters.Tally],
    is_only_target: bool,
) -> bool:
    """Returns whether the new release certainly fails more often."""
    if sum(tally.runs for tally in new) < MIN_FAILURE_RUNS:
        return False
    runs = sum(tally.runs for tally in old)
    failures = sum(tally.failures for tally in old)
    share = failures / (runs + 1)
    normal = min(MAX_NORMAL_FAILURES, BASE_FAILURES + FAILURE_FACTOR * share)
    return any(
        _exceeds(new, normal, normal + excess, is_only_target)
        for excess in FAILURE_EXCESSES
    )


def _exceeds(
    new: Sequence[counters.Tally],
    normal: float,
    bad: float,
    is_only_target: bool,
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
    new: Sequence[counters.Tally],
    old: Sequence[counters.Tally],
    is_only_target: bool,
) -> bool:
    """Returns whether the new release is certainly slower."""
    new = [tally for tally in new if tally.timed]
    old = [tally for tally in old if tally.timed]
    if not new or sum(tally.timed for tally in old) < MIN_BASE_SAMPLES:
        return False
    variance = _estimate_variance([*new, *old])
    base_mean, base_error = _estimate_mean(old, variance)
    limit = base_mean + math.log(NORMAL_RATIO)

    def score(tallies: Sequence[counters.Tally]) -> float:
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


def _estimate_variance(tallies: Sequence[counters.Tally]) -> float:
    """Returns the variance of log times within a target."""
    squares = 0.0
    freedom = 0
    for tally in tallies:
        squares += tally.square_sum - tally.log_sum**2 / tally.timed
        freedom += tally.timed - 1
    return max(MIN_VARIANCE, squares / freedom if freedom else 0.0)


def _estimate_mean(
    tallies: Sequence[counters.Tally], variance: float
) -> tuple[float, float]:
    """Returns the mean of the targets' log times and its squared error."""
    total = 0.0
    weights = 0.0
    for tally in tallies:
        weight = 1.0 / (TARGET_DEVIATION**2 + variance / tally.timed)
        total += weight * tally.log_sum / tally.timed
        weights += weight
    return total / weights, 1.0 / weights
