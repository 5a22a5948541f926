"""Logging of the calls that are cut off at the drain limit of a stop."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from filbertlift_core import env
from filbertlift_core import logs

if TYPE_CHECKING:
    from filbertlift_node import flow as flows
    from filbertlift_node import runs as call_runs


def log_cut_calls(
    runs: Iterable["call_runs.Run"], entry_flows: Iterable["flows.Flow"]
) -> int:
    """Logs every call that is cut off; returns the exit status.

    A call that is in both arguments is logged once, with the role keeper.

    Args:
        runs: calls that are queued or running at the target of this node.
        entry_flows: calls of this node's callers that are not fully answered.
    """
    cut = {run.ticket.call_id for run in runs}
    for run in runs:
        logs.log_event(
            "drain.cut",
            call=run.ticket.call_id,
            role="keeper",
            started=run.is_started,
            work_class=run.ticket.work_class.name,
        )
    for flow in entry_flows:
        call_id = flow.call.call_id.decode()
        if call_id in cut:
            continue
        cut.add(call_id)
        # The keeper may finish the call, but the caller is cut off.
        logs.log_event(
            "drain.cut",
            call=call_id,
            role="entry",
            streaming=flow.is_streaming,
            work_class=flow.route.work_class.name,
        )
    return env.EXIT_DRAIN_CUT if cut else env.EXIT_OK
