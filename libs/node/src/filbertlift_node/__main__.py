"""Command line of `filbertlift-node`."""

from collections.abc import Callable
import json
import os
import signal
import sys
from typing import Any

from twisted.internet import error
from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import commands
from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import logs
from filbertlift_node import dump
from filbertlift_node import node as nodes
from filbertlift_node import settings as node_settings
from filbertlift_transport import clock


def serve(flags: dict[str, str | None]) -> int:
    """Runs a node until it is stopped; returns the exit status."""
    reactor: Any = default_reactor
    clock.use_monotonic_clock(reactor)
    logs.start_logs()
    try:
        settings = node_settings.NodeSettings.from_sources(flags, os.environ)
    except exceptions.SettingError as problem:
        print(f"filbertlift-node: {problem}", file=sys.stderr)
        return env.EXIT_USAGE
    node = nodes.Node.from_settings(reactor, settings)
    try:
        node.start()
    except error.CannotListenError as problem:
        print(f"filbertlift-node: {problem}", file=sys.stderr)
        return env.EXIT_FAILURE
    _install_signals(reactor, node)
    reactor.run(installSignalHandlers=False)
    return node.exit_status


def _install_signals(reactor: Any, node: nodes.Node) -> None:
    """Makes SIGTERM and SIGINT stop the node, and SIGUSR1 print the dump."""

    def stop() -> None:
        node.stop().addCallback(lambda _status: reactor.stop())

    def print_dump() -> None:
        print(json.dumps(dump.describe_state(node)), file=sys.stderr)

    def install(number: signal.Signals, action: Callable[[], None]) -> None:
        # callFromThread wakes the event loop, which a signal alone does not.
        signal.signal(number, lambda *_: reactor.callFromThread(action))

    install(signal.SIGTERM, stop)
    install(signal.SIGINT, stop)
    install(signal.SIGUSR1, print_dump)


def run() -> None:
    """Entry point of `filbertlift-node`."""
    command = commands.make_command(
        node_settings.TABLE, serve, "Runs beside a target and routes calls."
    )
    app = typer.Typer(add_completion=False)
    app.command()(command)
    try:
        app(standalone_mode=False)
    except typer.TyperException as problem:
        print(f"filbertlift-node: {problem}", file=sys.stderr)
        sys.exit(env.EXIT_USAGE)


if __name__ == "__main__":
    run()
