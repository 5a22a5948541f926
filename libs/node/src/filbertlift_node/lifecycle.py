"""The lifecycle of a node, a state machine from joining to stopped."""

from collections.abc import Callable
from typing import Protocol

import attrs
import automat

from filbertlift_core import logs


@attrs.define
class LifecycleHooks:
    """Records the lifecycle state and reports changes to the node.

    Attributes:
        state: name of the current state.
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
        """Reports that a version at or above the floor is in force."""

    def suspend(self) -> None:
        """Reports that the node was declared dead by others."""

    def leave(self) -> None:
        """Begins a planned stop."""

    def refuse(self) -> None:
        """Ends the notice period; new calls are refused from now on."""

    def finish(self) -> None:
        """Reports that no call is left or the drain limit has passed."""


# Rows of state, input and next state. Other inputs do not change the state.
_TRANSITIONS = (
    ("joining", "confirm", "ready"),
    # Without a confirmed version, the node must refuse calls during the notice.
    ("joining", "leave", "draining"),
    ("ready", "suspend", "joining"),
    ("ready", "leave", "leaving"),
    ("leaving", "refuse", "draining"),
    ("leaving", "finish", "stopped"),
    ("draining", "finish", "stopped"),
)
_STATES = ("joining", "ready", "leaving", "draining", "stopped")
_INPUTS = ("confirm", "suspend", "leave", "refuse", "finish")


def _make_enter_action(
    state: str,
) -> Callable[[Lifecycle, LifecycleHooks], None]:
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
            upon.to(states[target])(_make_enter_action(target))
    return builder.build()


make_lifecycle = _build_machine()
