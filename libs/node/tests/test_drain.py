"""Tests of logging the calls that a planned stop cuts off."""

from typing import Any

import fakes
import pytest

from filbertlift_core import env
from filbertlift_node import drain


def test_calls_cut_at_the_entry_are_logged_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against exit status 0 of a stop that cut off a caller.

    Only calls at the target of the node were checked, so a download from
    another keeper was cut off without a log line.
    """
    events: list[dict[str, Any]] = []
    monkeypatch.setattr(
        drain.logs, "log_event", lambda _event, **fields: events.append(fields)
    )
    fixture = fakes.make_entry([fakes.OTHER])
    link = fakes.FakeLink(fakes.make_member(fakes.OTHER))
    fixture.links.reachable[fakes.OTHER] = link
    fixture.call()
    flows = fixture.entry.flows
    assert len(flows) == 1
    assert drain.log_cut_calls([], flows) == env.EXIT_DRAIN_CUT
    assert [event["role"] for event in events] == ["entry"]
    assert drain.log_cut_calls([], []) == env.EXIT_OK
