"""Execution of the actions that membership and distribution return."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

ActionHandler = Callable[[Any], object]


def run(pending: Iterable[Any], handlers: Mapping[type, ActionHandler]) -> None:
    """Calls, for each action, the handler of its type."""
    for action in pending:
        handlers[type(action)](action)
