"""Schedules of open-loop load: operations, rates and planned calls."""

from collections.abc import Iterator
import random
from typing import Any

import attrs

from filbertlift_core import model


@attrs.frozen
class Operation:
    """One kind of call that the load makes.

    Attributes:
        work_class: class under which the results are counted.
        method: HTTP method.
        path: path that starts with the service; `{n}` is replaced by the
            call's number.
        share: weight among the operations.
        work_ms: time that the target takes; None for the target's default.
        answer_bytes: size of a download; 0 for a short response.
        body_bytes: size of the request body.
        keyed: whether the call carries an idempotency key.
        deadline_ms: deadline sent with the call; 0 for none.
    """

    work_class: str
    method: str
    path: str
    share: float = 1.0
    work_ms: float | None = None
    answer_bytes: int = 0
    body_bytes: int = 0
    keyed: bool = False
    deadline_ms: int = 5000

    @classmethod
    def parse(cls, text: str) -> "Operation":
        """Returns the operation that a text of this form describes.

        `counter=GET /enquiry-desk/status;share=0.8;work_ms=5`

        Raises:
            ValueError: if the text has another form.
        """
        first, *options = text.split(";")
        work_class, _, operation = first.partition("=")
        method, _, path = operation.partition(" ")
        if not path.startswith("/"):
            raise ValueError(f"{first!r} is not like 'counter=GET /path'")
        values: dict[str, Any] = {}
        kinds = {"share": float, "work_ms": float, "keyed": int}
        for option in options:
            name, _, value = option.partition("=")
            values[name] = kinds.get(name, int)(value)
        try:
            return cls(work_class, method, path, **values)
        except TypeError as error:
            raise ValueError(f"{text!r} has an unknown option") from error


@attrs.frozen
class RateStep:
    """The rate in calls per second that applies from `at_s` on."""

    at_s: float
    rate: float

    @classmethod
    def parse_list(cls, text: str) -> "list[RateStep]":
        """Returns the steps of a text such as `0:100,5:1000,7:100`.

        Raises:
            ValueError: if the text has another form.
        """
        steps = []
        for part in text.split(","):
            at_s, _, rate = part.partition(":")
            steps.append(cls(float(at_s), float(rate)))
        return sorted(steps, key=lambda step: step.at_s)


@attrs.frozen
class PlannedCall:
    """One call of the schedule.

    Attributes:
        at_s: seconds from the start of the load.
        operation: the kind of call.
        entry: address of the node or target that the call is sent to.
        request_id: id shared by all attempts of the call.
        attempt: number of the attempt, from 1.
        may_have_run: whether the outcome of an earlier attempt is unknown.
    """

    at_s: float
    operation: Operation
    entry: model.Address
    request_id: str
    attempt: int = 1
    may_have_run: bool = False


def plan_calls(
    rng: random.Random,
    prefix: str,
    steps: list[RateStep],
    duration_s: float,
    operations: list[Operation],
    entries: list[model.Address],
) -> Iterator[PlannedCall]:
    """Yields the planned calls; the same seed yields the same calls."""
    weights = [operation.share for operation in operations]
    at_s = 0.0
    number = 0
    while True:
        rate = [step.rate for step in steps if step.at_s <= at_s][-1]
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return
        operation = rng.choices(operations, weights)[0]
        entry = rng.choice(entries)
        yield PlannedCall(at_s, operation, entry, f"{prefix}-{number}")
        number += 1
