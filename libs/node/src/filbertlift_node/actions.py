"""Carrying out of the actions that decisions return."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

Runner = Callable[[Any], object]


def run(found: Iterable[Any], runners: Mapping[type, Runner]) -> None:
    """Runs each action by the function for its type."""
    for action in found:
        runners[type(action)](action)
