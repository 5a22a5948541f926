"""Tests of the start of the node on the users' platform."""

import pathlib
import runpy
import signal
import sys
import types

SCRIPT = pathlib.Path(__file__).parents[1] / "platform" / "run.py"


def test_a_node_that_is_starting_ignores_a_change_of_settings(monkeypatch):
    """Guards against a SIGHUP that ends a node before it has a handler."""
    handlers = []
    program = types.ModuleType("filbertlift_platform.program")
    program.run = lambda: handlers.append(signal.getsignal(signal.SIGHUP))
    package = types.ModuleType("filbertlift_platform")
    package.program = program
    monkeypatch.setitem(sys.modules, "filbertlift_platform", package)
    monkeypatch.setitem(sys.modules, program.__name__, program)
    before = signal.getsignal(signal.SIGHUP)
    try:
        runpy.run_path(str(SCRIPT))
    finally:
        signal.signal(signal.SIGHUP, before)
    assert handlers == [signal.SIG_IGN]
