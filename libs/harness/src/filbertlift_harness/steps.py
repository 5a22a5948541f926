"""Steps of the soak test, drawn from a seed."""

import random

import attrs

# Names of the steps; a step is drawn in proportion to its weight.
_WEIGHTS = {
    "kill_node": 3,
    "restart_killed": 5,
    "pause_node": 3,
    "resume_paused": 4,
    "store_outage": 3,
    "store_slow": 2,
    "lose_answers": 2,
    "lapse_leases": 1,
    "silence_watches": 2,
    "part_link": 2,
    "slow_link": 1,
    "silence_link": 2,
    "drain_target": 2,
    "slow_target": 3,
    "restart_target": 2,
    "publish": 5,
    "race": 3,
    "planned_stop": 3,
    "lose_data_centre": 2,
}
_OUTAGES = ("refuse", "unavailable", "hang")
_DIRECTIONS = ("both", "out", "in")


@attrs.frozen
class Step:
    """One step: a fault, the end of one, or an action of an operator.

    Attributes:
        name: name of the action.
        node: index of the node concerned.
        word: kind of the fault, where there are several; else empty.
        seconds: how long the fault lasts; some actions derive a delay, a factor
            or a choice from it.
        pause_s: seconds until the next step.
    """

    name: str
    node: int
    word: str
    seconds: float
    pause_s: float

    def __str__(self) -> str:
        return (
            f"{self.name} node={self.node} word={self.word or '-'}"
            f" seconds={self.seconds:g} pause_s={self.pause_s:g}"
        )


def draw_steps(rng: random.Random, count: int, nodes: int) -> list[Step]:
    """Returns the steps of a run; the same seed yields the same steps."""
    names = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    steps = []
    for name in rng.choices(names, weights, k=count):
        words = {"store_outage": _OUTAGES, "silence_link": _DIRECTIONS}
        steps.append(
            Step(
                name,
                rng.randrange(nodes),
                rng.choice(words.get(name, ("",))),
                round(rng.uniform(1.0, 6.0), 1),
                round(rng.uniform(0.2, 2.0), 1),
            )
        )
    return steps
