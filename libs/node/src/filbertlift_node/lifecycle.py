"""Lifecycle of the node, from joining to stopped."""

from collections.abc import Callable
from typing import Protocol

import attrs
import automat

from filbertlift_core import logs


@attrs.define
class LifecycleHooks:
    """What the node does on a change of its lifecycle.

    Attributes:
        state: name of the current state, for pages and logs.
        on_change: called with the name of each new state.
    """

    on_change: Callable[[str], None]
    state: str = "joining"

    def enter(self, state: str) -> None:
        """Records and reports a new state."""
        self.state = state
        logs.log_event("lifecycle", state=state)
        self.on_change(state)


class Lifecycle(Protocol):
    """Inputs of the lifecycle."""

    def confirm(self) -> None:
        """A version at or above the floor is in force."""

    def suspend(self) -> None:
        """The node was declared dead and has to confirm its version."""

    def leave(self) -> None:
        """A planned stop begins."""

    def refuse(self) -> None:
        """The notice time is over; new calls are refused."""

    def finish(self) -> None:
        """No work is left, or the drain limit has passed."""


# Each row: state, input, next state. Any other input leaves the state alone.
_TRANSITIONS = (
    ("joining", "confirm", "ready"),
    # Without a confirmed version, no call may be taken during the notice.
    ("joining", "leave", "draining"),
    ("ready", "suspend", "joining"),
    ("ready", "leave", "leaving"),
    ("leaving", "refuse", "draining"),
    ("leaving", "finish", "stopped"),
    ("draining", "finish", "stopped"),
)
_STATES = ("joining", "ready", "leaving", "draining", "stopped")
_INPUTS = ("confirm", "suspend", "leave", "refuse", "finish")


def _make_entry(state: str) -> Callable[[Lifecycle, LifecycleHooks], None]:
    def enter(_machine: Lifecycle, hooks: LifecycleHooks) -> None:
        hooks.enter(state)

    return enter


def _build_machine() -> Callable[[LifecycleHooks], Lifecycle]:
    builder = automat.TypeMachineBuilder(Lifecycle, LifecycleHooks)
    states = {name: builder.state(name) for name in _STATES}
    targets = {(source, event): to for source, event, to in _TRANSITIONS}
    for name, state in states.items():
        for event in _INPUTS:
            upon = state.upon(getattr(Lifecycle, event))
            target = targets.get((name, event))
            if target is None:
                upon.loop().returns(None)
                continue
            upon.to(states[target])(_make_entry(target))
    return builder.build()


make_lifecycle = _build_machine()
