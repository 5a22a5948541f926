"""Learned speed and concurrency limit of one target.

Only one node sends calls to a target, so it sees every run: the class, the time
and the number of calls that ran when it started.

Speed: the logarithm of each time is compared with the usual one of its class.
The mean of these differences over the last calls of all classes shows within a
second that the target became slower or faster, also for a class with few calls.
Logarithms and a bound keep the tail of the times from dominating the mean.

Limit: that of `knees`, less where the target rejects calls or was replaced.
"""

import math
from typing import Final

import attrs

from filbertlift_mesh import knees

# Weight of the newest time in the usual time of its class.
CLASS_GAIN: Final = 0.02
# Runs of a class without which the differences from its usual time say little.
MIN_CLASS_RUNS: Final = 5
# Weight of the newest call in the recent difference from the usual times.
RECENT_GAIN: Final = 0.12
# Difference at which half of it is taken for noise; twice the standard error of
# the recent mean with the usual spread of service times.
NOISE: Final = 0.35
# Bound of one difference; 1 call in 30 takes 7 times the mean.
MAX_DIFFERENCE: Final = 1.5
# Half-life of the recent difference without calls, in seconds.
RECENT_HALF_LIFE_S: Final = 2.0
# Bound of a time relative to the usual one in the mean, and the expected ratio
# of the mean to the geometric mean before it is measured.
MAX_RATIO: Final = 8.0
FIRST_RATIO: Final = 1.2
# Shortest service time, in seconds, so that its logarithm is defined.
MIN_SERVICE_S: Final = 1e-6

# Share of the slots with which a replaced target starts.
START_SHARE: Final = 0.5
# Share of the slots that other calls have to hold for a rejection to be taken
# for a lack of room. A faulty target rejects calls whatever runs there, and a
# lower limit would only reduce the calls that it accepts.
FULL_SHARE: Final = 0.6
# First and longest time after a rejection until one more call is tried, in
# seconds. A withdrawn call holds its slot at the target for a moment, while a
# target with fewer slots than it reports rejects each trial.
FIRST_HOLD_S: Final = 0.1
MAX_HOLD_S: Final = 2.0

# Reasons of a limit.
BY_SLOTS: Final = "slots"
BY_START: Final = "start"
BY_REJECTION: Final = "rejected"
BY_KNEE: Final = "slower"
REASONS: Final = (BY_SLOTS, BY_START, BY_REJECTION, BY_KNEE)


@attrs.define(eq=False)
class ClassTimes:
    """Usual service times of one class at one target.

    Attributes:
        level: mean of the logarithm of the time.
        ratio: mean of the times divided by their geometric mean.
        count: number of runs.
    """

    level: float
    ratio: float = FIRST_RATIO
    count: int = 1


@attrs.define(eq=False)
class Speed:
    """Speed of one target, over all classes.

    Attributes:
        classes: usual times by class.
        recent: mean difference of the last calls from the usual times, in
            logarithms.
        updated_at: when the last call ended, in seconds.
    """

    classes: dict[str, ClassTimes] = attrs.field(factory=dict)
    recent: float = 0.0
    updated_at: float = 0.0

    def note_run(
        self, work_class: str, spent_s: float, now: float
    ) -> float | None:
        """Records a run.

        Returns:
            The difference from the usual time of the class, in logarithms and
            bounded; None for the first runs of the class.
        """
        spent_s = max(MIN_SERVICE_S, spent_s)
        log_spent = math.log(spent_s)
        known = self.classes.get(work_class)
        if known is None:
            self.classes[work_class] = ClassTimes(log_spent - self.recent)
            return None
        difference = log_spent - known.level
        bounded = max(-MAX_DIFFERENCE, min(MAX_DIFFERENCE, difference))
        recent = self._read_recent(now)
        self.recent = recent + RECENT_GAIN * (bounded - recent)
        self.updated_at = now
        known.count += 1
        gain = max(CLASS_GAIN, 1.0 / known.count)
        known.level += gain * bounded
        ratio = min(MAX_RATIO, spent_s / math.exp(known.level + self.recent))
        known.ratio += CLASS_GAIN * (ratio - known.ratio)
        return bounded if known.count > MIN_CLASS_RUNS else None

    def note_unfinished(
        self, work_class: str, spent_s: float, now: float
    ) -> None:
        """Records a run that was stopped; it counts only if it was slow."""
        usual_s = self.read_time(work_class, now)
        if usual_s is not None and spent_s > usual_s:
            self.note_run(work_class, spent_s, now)

    def read_time(self, work_class: str, now: float) -> float | None:
        """Returns the expected time of a class, in seconds; None if unknown."""
        known = self.classes.get(work_class)
        if known is None:
            return None
        return math.exp(known.level) * known.ratio / self.read_speed(now)

    def read_speed(self, now: float) -> float:
        """Returns the speed relative to the usual one; 0.5 is half as fast."""
        recent = self._read_recent(now)
        square = recent * recent
        return math.exp(-recent * square / (square + NOISE * NOISE))

    def _read_recent(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.recent * 0.5 ** (age_s / RECENT_HALF_LIFE_S)


@attrs.define(eq=False)
class Rejections:
    """Bound of the calls at a target that rejected one.

    Attributes:
        limit: the bound; None if there is none.
        hold_s: time until one more call is tried, in seconds.
        grows_at: when one more call is tried, in seconds.
        grown_at: when the bound last grew after a rejection, in seconds; None
            if it has not grown since the last one.
    """

    limit: int | None = None
    hold_s: float = FIRST_HOLD_S
    grows_at: float = 0.0
    grown_at: float | None = None

    def note_rejection(self, running: int, now: float) -> None:
        """Records a rejection while `running` other calls ran.

        The time until the next trial doubles only if a trial itself was
        rejected: a single rejection is no sign of fewer slots.
        """
        if self.grown_at is not None:
            is_trial = now - self.grown_at <= self.hold_s
            self.hold_s = (
                min(MAX_HOLD_S, 2.0 * self.hold_s) if is_trial else FIRST_HOLD_S
            )
        self.grown_at = None
        self.grows_at = now + self.hold_s
        if self.limit is None or running < self.limit:
            self.limit = max(1, running)

    def read_limit(self, slots: int, now: float) -> int:
        """Returns the bound now, at most the slots."""
        if self.limit is None:
            return slots
        while now >= self.grows_at and self.limit < slots:
            self.limit += 1
            self.grown_at = self.grows_at
            self.grows_at += self.hold_s
        if self.limit >= slots:
            self.limit = None
            return slots
        return self.limit


@attrs.define(eq=False)
class LearnedTarget:
    """What a node learns of the target on its host.

    Attributes:
        slots: calls that the target runs at once, as it reports.
        limit: calls that should run at once.
        reason: what determines the limit.
        speed: its speed.
    """

    slots: int = 0
    limit: int = 0
    reason: str = BY_SLOTS
    speed: Speed = attrs.field(factory=Speed)
    _incarnation: tuple[str, int] | None = None
    _start_limit: int | None = None
    _knees: knees.KneeSearch = attrs.field(
        factory=lambda: knees.KneeSearch.from_slots(0)
    )
    _rejections: Rejections = attrs.field(factory=Rejections)

    def note_target(
        self, target_id: str, born_ms: int, slots: int, now: float
    ) -> None:
        """Applies the slots that a target reports.

        Another incarnation than before starts with a part of its slots, and
        nothing that was learned of the earlier one applies to it. The first one
        may have run before this node, so it starts with all of them.
        """
        incarnation = (target_id, born_ms)
        if incarnation != self._incarnation:
            is_replaced = self._incarnation is not None
            self._incarnation = incarnation
            self.speed = Speed()
            self._rejections = Rejections()
            self._start_limit = (
                math.ceil(START_SHARE * slots) if is_replaced else None
            )
            self._knees = knees.KneeSearch.from_slots(slots)
        elif slots != self.slots:
            self._knees = knees.KneeSearch.from_slots(slots)
        self.slots = slots
        self.read_limit(now)

    def note_run(
        self, work_class: str, spent_s: float, level: int, now: float
    ) -> None:
        """Records a run that ended with an answer.

        Args:
            work_class: class of the call.
            spent_s: service time, in seconds.
            level: calls that ran when it started, with itself.
            now: current time, in seconds.
        """
        if self._start_limit is not None:
            self._start_limit += 1
            if self._start_limit >= self.slots:
                self._start_limit = None
        difference = self.speed.note_run(work_class, spent_s, now)
        if difference is not None and level > 0:
            self._knees.note_run(level, difference, now)

    def note_rejection(self, running: int, now: float) -> None:
        """Records that the target rejected a call while others ran."""
        if running >= FULL_SHARE * self.slots:
            self._rejections.note_rejection(running, now)

    def read_limit(self, now: float) -> int:
        """Returns how many calls should run at once now."""
        limit, reason = self.slots, BY_SLOTS
        for bound, name in (
            (self._start_limit, BY_START),
            (self._knees.read_limit(now), BY_KNEE),
            (self._rejections.read_limit(self.slots, now), BY_REJECTION),
        ):
            if bound is not None and bound < limit:
                limit, reason = bound, name
        self.limit, self.reason = limit, reason
        return limit
