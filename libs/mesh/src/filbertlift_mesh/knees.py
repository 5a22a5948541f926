"""Number of concurrent calls at which the throughput of a target stops growing.

By Little's law the throughput at `k` concurrent calls is `k` divided by their
time, so it stops growing beyond a knee `c` when times grow by the factor
`k / c` there. For some knees, a regression of the logarithm of the time on
`ln(k / c)` beyond the knee estimates that growth. Both sides are taken relative
to their own recent mean, so that neither a slow moment of the target nor the
calls that pile up during it look like growth with concurrency.
"""

import math
from typing import Final

import attrs

# Knees that are compared, as shares of the slots. Runs that wait for calls to
# other services pile up while those are slow, which can look like any knee; the
# lowest share bounds the loss.
KNEE_SHARES: Final = (0.55, 0.7, 0.85)
# Weight of the newest run in the local means that are subtracted.
LOCAL_GAIN: Final = 0.05
# Weight of the newest run in the mean that shows a change of the speed, and the
# difference of this mean from the local one that counts as a change. The runs
# around a change are no evidence: calls pile up at the same time.
SHIFT_GAIN: Final = 0.3
MIN_SHIFT: Final = 0.6
# Half-life of the evidence for a knee, in seconds, while all slots are used and
# while a knee limits them. A limit that is wrongly low costs more than none.
EVIDENCE_HALF_LIFE_S: Final = 8.0
LIMITED_HALF_LIFE_S: Final = 4.0
# Least growth of times beyond a knee, as an exponent. With 1 the throughput is
# constant beyond it, and a limit there would only move the wait to the queue.
MIN_GROWTH: Final = 1.1
# Standard errors at which a knee is used, and below which it is given up.
USE_ERRORS: Final = 3.0
DROP_ERRORS: Final = 2.0
# Runs, after the decay, without which no knee is used.
MIN_RUNS: Final = 30.0
# Interval at which the knee is decided again, in seconds.
DECISION_INTERVAL_S: Final = 0.25
# Share of the slots in a trial with fewer calls, its duration, and the time
# until the next one, in seconds, which grows with each trial that shows no
# knee. At a target that is always full the number of calls would not vary
# otherwise.
TRIAL_SHARE: Final = 0.55
TRIAL_S: Final = 0.8
TRIAL_INTERVAL_S: Final = 3.0
TRIAL_BACKOFF: Final = 1.2
MAX_TRIAL_INTERVAL_S: Final = 12.0
# Time after a trial in which a change of the times is taken for its effect, in
# seconds.
TRIAL_EFFECT_S: Final = 1.0
# Share of recent runs that started at the limit with which a target counts as
# full.
FULL_SHARE: Final = 0.7


@attrs.define(eq=False)
class Knee:
    """Evidence that times grow with concurrency beyond a number of calls.

    Attributes:
        calls: number of concurrent calls beyond which times may grow.
        local: recent mean of the logarithm of concurrency beyond the knee.
        spread: decayed sum of the squares of differences from it.
        product: decayed sum of these differences times those of the times.
    """

    calls: int
    local: float = 0.0
    spread: float = 0.0
    product: float = 0.0

    def shift(self, level: int) -> None:
        """Follows a change of the speed without taking evidence."""
        self.local += SHIFT_GAIN * (self._get_beyond(level) - self.local)

    def add(self, level: int, difference: float, keep: float) -> None:
        """Adds a run, after the earlier ones are weighted by `keep`."""
        offset = self._get_beyond(level) - self.local
        self.local += LOCAL_GAIN * offset
        self.spread = keep * self.spread + offset * offset
        self.product = keep * self.product + offset * difference

    def count_errors(self, variance: float) -> float:
        """Returns by how many standard errors the growth exceeds zero."""
        if self.spread <= 0 or variance <= 0:
            return 0.0
        return self.product / math.sqrt(self.spread * variance)

    def may_grow(self, variance: float) -> bool:
        """Returns whether the growth may be enough to use the knee."""
        if self.spread <= 0:
            return True
        error = math.sqrt(variance / self.spread)
        return self.get_growth() + error >= MIN_GROWTH

    def get_growth(self) -> float:
        """Returns the exponent of the growth of times beyond the knee."""
        return self.product / self.spread if self.spread > 0 else 0.0

    def _get_beyond(self, level: int) -> float:
        return math.log(level / self.calls) if level > self.calls else 0.0


@attrs.define(eq=False)
class KneeSearch:
    """Finds the number of calls at which the throughput stops growing.

    Attributes:
        slots: calls that the target runs at once, as it reports.
        knees: the compared knees.
        limit: the number of calls that was found; None if there is none.
        trial_until: when the trial with fewer calls ends, in seconds.
    """

    slots: int
    knees: list[Knee]
    limit: int | None = None
    trial_until: float = float("-inf")
    _trial_interval_s: float = TRIAL_INTERVAL_S
    _full: float = 0.0
    _local: float = 0.0
    _newest: float = 0.0
    _variance_sum: float = 0.0
    _runs: float = 0.0
    _updated_at: float = 0.0
    _decided_at: float = 0.0

    @classmethod
    def from_slots(cls, slots: int) -> "KneeSearch":
        """Returns a search without evidence."""
        calls = {max(1, round(share * slots)) for share in KNEE_SHARES}
        return cls(slots, [Knee(c) for c in sorted(calls) if c < slots])

    def note_run(self, level: int, difference: float, now: float) -> None:
        """Records a run.

        Args:
            level: calls that ran when it started, with itself.
            difference: its time relative to the usual one, in logarithms.
            now: current time, in seconds.
        """
        age_s = max(0.0, now - self._updated_at)
        is_limited = self.limit is not None
        half_life_s = (
            LIMITED_HALF_LIFE_S if is_limited else EVIDENCE_HALF_LIFE_S
        )
        keep = 0.5 ** (age_s / half_life_s)
        self._full += LOCAL_GAIN * ((level >= self.slots) - self._full)
        offset = difference - self._local
        self._newest += SHIFT_GAIN * (difference - self._newest)
        is_trial = now < self.trial_until + TRIAL_EFFECT_S
        if abs(self._newest - self._local) > MIN_SHIFT and not is_trial:
            self._local += SHIFT_GAIN * offset
            for knee in self.knees:
                knee.shift(level)
            return
        self._updated_at = now
        self._local += LOCAL_GAIN * offset
        self._runs = keep * self._runs + 1.0
        self._variance_sum = keep * self._variance_sum + offset * offset
        for knee in self.knees:
            knee.add(level, offset, keep)
        if now - self._decided_at >= DECISION_INTERVAL_S:
            self._decided_at = now
            self._decide()
            self._start_trial(now)

    def read_limit(self, now: float) -> int | None:
        """Returns the limit now; None if the slots are the limit."""
        if now < self.trial_until:
            return max(1, round(TRIAL_SHARE * self.slots))
        return self.limit

    def _start_trial(self, now: float) -> None:
        """Starts a trial at a full target unless its times do not grow."""
        if self.limit is not None or self._full < FULL_SHARE:
            return
        if now < self.trial_until + self._trial_interval_s or not self.knees:
            return
        variance = self._variance_sum / self._runs
        if any(knee.may_grow(variance) for knee in self.knees):
            self.trial_until = now + TRIAL_S
            self._trial_interval_s = min(
                MAX_TRIAL_INTERVAL_S, TRIAL_BACKOFF * self._trial_interval_s
            )

    def _decide(self) -> None:
        if not self.knees or self._runs <= 1.0:
            return
        variance = self._variance_sum / self._runs
        best = max(self.knees, key=lambda knee: knee.count_errors(variance))
        errors = best.count_errors(variance)
        is_growing = best.get_growth() >= MIN_GROWTH
        has_runs = self._runs >= MIN_RUNS
        if errors >= USE_ERRORS and is_growing and has_runs:
            if self.limit is None or best.calls < self.limit:
                self.limit = best.calls
                self._trial_interval_s = TRIAL_INTERVAL_S
        elif self.limit is not None and errors < DROP_ERRORS:
            # Larger by one each time, since a step beyond the knee shows again
            # whether times grow there.
            self.limit += 1
            if self.limit >= self.slots:
                self.limit = None
