"""Log of the work that the drain limit of a planned stop cuts off."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from filbertlift_core import env
from filbertlift_core import logs

if TYPE_CHECKING:
    from filbertlift_node import flow as flows
    from filbertlift_node import runs as call_runs


def log_cut_work(
    runs: Iterable["call_runs.Run"], entered: Iterable["flows.Flow"]
) -> int:
    """Logs every call that is cut off, once; returns the exit status.

    Args:
        runs: calls that wait or run beside the target of this node.
        entered: calls of this node's callers that have no whole answer.
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
    for flow in entered:
        call_id = flow.call.call_id.decode()
        if call_id in cut:
            continue
        cut.add(call_id)
        # The call may run on at its keeper, but its caller is cut off.
        logs.log_event(
            "drain.cut",
            call=call_id,
            role="entry",
            streaming=flow.is_streaming,
            work_class=flow.route.work_class.name,
        )
    return env.EXIT_DRAIN_CUT if cut else env.EXIT_OK
