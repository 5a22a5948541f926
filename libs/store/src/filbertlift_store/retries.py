"""Bounded retries with exponential backoff and jitter."""

from collections.abc import Callable
import random
from typing import Any
from typing import Final

from twisted.internet import defer
from twisted.internet import task

from filbertlift_store import exceptions

GIVE_UP_AFTER_S: Final = 60.0
FIRST_DELAY_S: Final = 0.05
MAX_DELAY_S: Final = 4.0


def compute_delay(attempt: int, rng: random.Random) -> float:
    """Returns the seconds to wait after an attempt, counted from 0."""
    bound_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0**attempt)
    return bound_s * rng.uniform(0.5, 1.0)


@defer.inlineCallbacks
def retry(
    read: Callable[[], "defer.Deferred[Any]"],
    clock: Any,
    rng: random.Random,
    give_up_after_s: float = GIVE_UP_AFTER_S,
) -> Any:
    """Returns the result of a read, which is retried after a StoreError.

    Args:
        read: starts the read.
        clock: a reactor or a clock with `seconds` and `callLater`.
        rng: random numbers for the delays.
        give_up_after_s: seconds in which retries may start; after that the
            last error is raised.
    """
    started = clock.seconds()
    attempt = 0
    while True:
        try:
            result = yield read()
            return result
        except exceptions.StoreError:
            delay_s = compute_delay(attempt, rng)
            if clock.seconds() - started + delay_s > give_up_after_s:
                raise
        attempt += 1
        yield task.deferLater(clock, delay_s)
