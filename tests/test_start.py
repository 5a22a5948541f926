"""Tests of the start of the node on the users' platform."""

import os
import pathlib
import runpy
import signal
import subprocess
import sys
import types

import pytest

from filbertlift_harness import ports

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


SETTINGS = """\
nodeName=host-1
ip=127.0.0.1
zone=north-1
region=north
listen.outbound=127.0.0.1:0
listen.ready=127.0.0.1:0
listen.control=127.0.0.1:0
portRange={first},{last}
heartbeatMs=1500
bounds.graceS=1
bounds.budgetRatio=0.2
bounds.budgetSlack=62
bounds.budgetWindowS=10
appAddress=127.0.0.1:9
service=a
platform.address=127.0.0.1:9
"""
# Runs a node that gets SIGTERM at the end of its start, before its loop runs.
STOPPED_AT_START = """\
import atexit, os, signal
from filbertlift_platform import program

atexit.register(print, "finalized", flush=True)
start = program.nodes.Node.start

def start_and_signal(node):
    start(node)
    os.kill(os.getpid(), signal.SIGTERM)

program.nodes.Node.start = start_and_signal
program.run()
"""


@pytest.fixture(name="ended", scope="module")
def run_stopped_node(tmp_path_factory):
    """A node as a process of its own that was stopped at its start."""
    path = tmp_path_factory.mktemp("node") / "node.conf"
    block = ports.PortPicker()
    first = block.pick().port
    path.write_text(SETTINGS.format(first=first, last=first + 1))
    ended = subprocess.run(
        [sys.executable, "-c", STOPPED_AT_START],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "FILBERTLIFT_NODE_FILE": str(path),
        },
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    block.close()
    return ended


def test_sigterm_just_after_the_ports_open_is_a_planned_stop(ended):
    """Guards against a default action that closes connections of callers."""
    assert ended.returncode == 0, ended.stderr
    assert "event=node.leaving" in ended.stdout
    assert "event=node.stop " in ended.stdout


def test_a_stopped_node_ends_without_finalizing(ended):
    """Guards against a process that outlives its grace period on a busy host.

    Its log is complete all the same.
    """
    assert ended.returncode == 0, ended.stderr
    assert "event=node.stop " in ended.stdout
    assert "finalized" not in ended.stdout
