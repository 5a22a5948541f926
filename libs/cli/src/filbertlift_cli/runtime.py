"""Runs one asynchronous command on the reactor and returns its status."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from filbertlift_cli import output
from filbertlift_core import env
from filbertlift_core import exceptions


def run_command(
    command: Callable[[Any], Awaitable[int]], out: output.Output
) -> int:
    """Runs a command until it ends; returns its exit status.

    Args:
        command: takes the reactor and returns the exit status.
        out: output for an error of the command.
    """
    # Importing the reactor installs it. Commands without network access skip
    # that cost, since they do not call this function.
    from twisted.internet import reactor

    loop: Any = reactor
    statuses: list[int] = []

    def finish(result: Any) -> None:
        if isinstance(result, failure.Failure):
            out.print_error(describe_failure(result))
            result = env.EXIT_FAILURE
        statuses.append(result)
        if loop.running:
            loop.stop()

    def start() -> None:
        running: Any = defer.maybeDeferred(command, loop)
        running.addBoth(finish)

    loop.callWhenRunning(start)
    loop.run()
    return statuses[0] if statuses else env.EXIT_FAILURE


def describe_failure(reason: failure.Failure) -> str:
    """Returns the text of a known error, or the traceback of any other."""
    if reason.check(exceptions.FilbertliftError):
        return str(reason.value)
    return str(reason.getTraceback())
