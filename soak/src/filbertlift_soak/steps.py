"""Series of overlapping faults and planned operations, drawn from a seed."""

import random
from typing import Final

import attrs

# Relative frequency of each step.
WEIGHTS: Final = {
    "kill": 4,
    "kill_many": 1,
    "pause": 3,
    "stop": 5,
    "reload": 1,
    "store_outage": 3,
    "store_slow": 2,
    "store_lost": 2,
    "store_compact": 2,
    "store_lapse": 1,
    "store_cut": 3,
    "links_delay": 2,
    "links_reset": 3,
    "links_silent": 3,
    "links_cut": 2,
    "target_slow": 2,
    "target_fault": 5,
    "target_drain": 3,
    "target_leave": 2,
    "target_crash": 3,
    "publish": 5,
    "storm": 2,
}
# The same for further steps, which are drawn after the others so that a seed
# keeps those: another writer of the store, targets that repeat a refusal, ones
# that return under their id and leave before their late heartbeats, and weights
# with other sums.
ODD_WEIGHTS: Final = {
    "odd_entries": 3,
    "odd_version": 2,
    "target_repeat": 4,
    "target_return": 3,
    "weights": 3,
}
# The same for steps that are drawn after those.
LATE_WEIGHTS: Final = {"target_forget": 1}
# Stops of several hosts one after another, beside reloads or over narrow links;
# drawn last for the same reason.
ROLL: Final = "roll"
# A departure that is acknowledged with the store away, before all nodes are
# killed at once; drawn behind the others for the same reason.
FORGET_ALL: Final = "target_forget_all"
# The store comes back from an older copy; drawn behind those.
RESTORE: Final = "store_restore"
# Variants of the steps that have any.
VARIANTS: Final = {
    "kill": ("", "again"),
    "store_outage": ("busy", "reset", "silent"),
    "store_cut": ("part", "silence"),
    "links_silent": ("both", "in", "out"),
    "weights": ("first", "last"),
    "roll": ("", "narrow", "reload"),
    "target_forget": ("busy", "reset", "silent"),
    "target_forget_all": ("busy", "reset", "silent"),
    "store_restore": ("busy", "reset", "silent"),
    "target_fault": ("shed", "error", "lose", "garble", "extra", "mute"),
}
MIN_DURATION_S: Final = 0.5
MAX_DURATION_S: Final = 4.0
# Maximum time between the starts of two successive steps, in seconds. Most
# steps last longer, so that they overlap.
MAX_GAP_S: Final = 1.6


@attrs.frozen
class Step:
    """One fault or planned operation.

    Attributes:
        name: name of the step.
        at_s: when it starts, in seconds from the start of the run.
        host: index of the host that it affects.
        word: variant of the step; empty if it has none.
        seconds: duration.
    """

    name: str
    at_s: float
    host: int
    word: str
    seconds: float

    def __str__(self) -> str:
        return (
            f"at_s={self.at_s:g} step={self.name} host={self.host}"
            f" word={self.word or '-'} seconds={self.seconds:g}"
        )


def draw_steps(
    rng: random.Random,
    count: int,
    odd_count: int,
    hosts: int,
    late_count: int = 0,
    roll_count: int = 0,
    forget_count: int = 0,
    restore_count: int = 0,
) -> list[Step]:
    """Returns the steps of a run; the same seed yields the same steps.

    Args:
        rng: draws the steps.
        count: number of steps, which follow one another.
        odd_count: number of further steps in `ODD_WEIGHTS`, at any time.
        hosts: number of hosts.
        late_count: number of further steps in `LATE_WEIGHTS`, at any time.
        roll_count: number of stops in series, at any time.
        forget_count: number of departures with all nodes killed, at any time.
        restore_count: number of returns of the store from a copy, at any time.
    """
    steps: list[Step] = []
    at_s = 0.0
    names = rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    for name in names:
        at_s = round(at_s + rng.uniform(0.1, MAX_GAP_S), 2)
        steps.append(_draw_step(rng, name, at_s, hosts))
    for weights, number in (
        (ODD_WEIGHTS, odd_count),
        (LATE_WEIGHTS, late_count),
        ({ROLL: 1}, roll_count),
        ({FORGET_ALL: 1}, forget_count),
        ({RESTORE: 1}, restore_count),
    ):
        names = rng.choices(list(weights), list(weights.values()), k=number)
        for name in names:
            any_at_s = round(rng.uniform(0.0, at_s), 2)
            steps.append(_draw_step(rng, name, any_at_s, hosts))
    return sorted(steps, key=lambda step: step.at_s)


def _draw_step(rng: random.Random, name: str, at_s: float, hosts: int) -> Step:
    return Step(
        name,
        at_s,
        rng.randrange(hosts),
        rng.choice(VARIANTS.get(name, ("",))),
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )
