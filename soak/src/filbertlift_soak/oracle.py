"""Checks the guarantees against the records of callers and targets.

Unlike `filbertlift_harness.oracle`, which only compares outcomes with runs, it
also checks timeouts, routes, repeats and versions.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from filbertlift_mesh import configuration
from filbertlift_soak import records

# Statuses that state that a call has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Time after the route's timeout within which an answer may arrive, in seconds.
ANSWER_SLACK_S = 0.5
# A target may have this much more time than the caller waits, in seconds.
DEADLINE_SLACK_S = 0.5
# If a connection ends within this time after a call was sent on it, in seconds,
# the node may have closed it before the call arrived.
CLOSE_RACE_S = 0.2
# In the rest of the grace period after this share a node may itself answer a
# call whose target is at work, if it was sent within this time after SIGTERM,
# in seconds.
LAST_WORK_SHARE = 5 / 6
EARLY_CALL_S = 3.0
# An answer may come this much before the deadline of its call, in seconds.
DEADLINE_MARGIN_S = 0.05
# Two calls less than this apart, in seconds, may be handled under versions in
# either order.
ORDER_SLACK_S = 0.25


@attrs.frozen
class Guarantees:
    """Bounds of the guarantees and services of the routes; times in seconds.

    Attributes:
        startup_s: time within which a process may end by a signal, since it has
            not installed its handlers yet.
        recovery_s: time after a disturbance from which a host counts as
            undisturbed.
        config_s: time after which a version is in force on every host.
        drain_s: time after which a target that leaves gets no new calls.
        timeout_s: longest time that a caller waits, on every route.
        repeat_ratio: repeats allowed per call of a service.
        repeat_slack: further repeats allowed in each window.
        repeat_window_s: length of the window.
        services: services of each route, by the first part of its path.
        split_route: the route whose weights change.
        grace_s: time from SIGTERM until a node is killed.
    """

    startup_s: float
    recovery_s: float
    config_s: float
    drain_s: float
    timeout_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    services: Mapping[str, frozenset[str]]
    split_route: str = ""
    grace_s: float = 6.0


Check = Callable[[records.Journal, Guarantees], Iterator[str]]


def find_problems(
    journal: records.Journal, guarantees: Guarantees
) -> list[str]:
    """Returns one line for each broken guarantee."""
    checks: tuple[Check, ...] = (
        check_runs,
        check_at_most_once,
        check_answers,
        check_timeouts,
        check_routes,
        check_departures,
        check_repeats,
        check_stops,
        check_work_in_stops,
        check_exits,
        check_versions,
        check_version_order,
        check_weights,
    )
    return [line for check in checks for line in check(journal, guarantees)]


def check_runs(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that targets get only calls of callers, and get them unchanged."""
    for run in journal.runs:
        call = journal.calls.get(run.request_id)
        if call is None:
            yield f"unasked: {run.request_id} at {run.target_id}"
            continue
        expected = (call.method, call.path, call.body, call.caller)
        if (run.method, run.path, run.body, run.caller) != expected:
            yield f"changed: {run.request_id} at {run.target_id}"
        limit = call.sent_at + call.timeout_s + DEADLINE_SLACK_S
        since = call.sent_at - guarantees.recovery_s
        # A paused host reads the call late.
        is_undisturbed = journal.is_undisturbed(call.host, since, run.at)
        is_undisturbed = is_undisturbed and journal.is_undisturbed(
            run.host, since, run.at
        )
        if is_undisturbed and run.at + run.timeout_s > limit:
            yield f"deadline: {run.request_id} was given {run.timeout_s:.2f} s"


def check_at_most_once(
    journal: records.Journal, _guarantees: Guarantees
) -> Iterator[str]:
    """Checks that a call that is not idempotent runs at most once.

    It must not run at all if its caller was told that it has not run.
    """
    counts = collections.Counter(
        run.request_id for run in journal.runs if run.has_run
    )
    for call in journal.calls.values():
        if call.kind is not configuration.CallKind.UNSAFE:
            continue
        count = counts[call.request_id]
        if count > 1:
            yield f"twice: {call.request_id} ran {count} times"
        if count and call.status in NOT_RUN_STATUSES:
            yield f"refused: {call.request_id} got {call.status} and ran"


def check_answers(
    journal: records.Journal, _guarantees: Guarantees
) -> Iterator[str]:
    """Checks that each answer is a target's complete answer to that call."""
    answered = {
        (run.request_id, run.target_id): run.status
        for run in journal.runs
        if run.status
    }
    for call in journal.calls.values():
        if not call.status:
            continue
        if not call.signature:
            if call.status < 300:
                yield f"mixed: {call.request_id} success without a target"
            continue
        target_id = call.signature.split(".")[0]
        expected = records.sign(target_id, call.request_id, call.answer)
        if call.signature != expected:
            yield f"mixed: {call.request_id} got {call.signature}"
        elif answered.get((call.request_id, target_id)) != call.status:
            yield f"mixed: {call.request_id} {call.status} not of {target_id}"


def check_timeouts(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that an undisturbed host answers each call within its timeout."""
    for call in journal.calls.values():
        limit = (
            call.sent_at
            + min(guarantees.timeout_s, call.timeout_s)
            + ANSWER_SLACK_S
        )
        ended_at = float("inf") if call.ended_at is None else call.ended_at
        if ended_at <= limit:
            continue
        if journal.is_undisturbed(
            call.host, call.sent_at - guarantees.recovery_s, limit
        ):
            yield f"unanswered: {call.request_id} at {call.host}"


def check_routes(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that a call runs only at services of its route."""
    for run in journal.runs:
        allowed = guarantees.services.get(run.path.split("/")[1])
        if allowed is not None and run.service not in allowed:
            yield f"route: {run.request_id} ran at {run.service}"


def check_departures(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that targets get no calls `drain_s` after their departure."""
    for run in journal.runs:
        acknowledged_at = journal.departures.get(run.target_id)
        if acknowledged_at is None or not run.has_run:
            continue
        late_s = run.at - acknowledged_at
        if late_s > guarantees.drain_s:
            place = f"{run.target_id} {late_s:.1f} s after its departure"
            yield f"drain: {run.request_id} reached {place}"


def check_repeats(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that the repeats at a service stay within the shared budget."""
    first: dict[str, list[float]] = collections.defaultdict(list)
    repeated: dict[str, list[float]] = collections.defaultdict(list)
    seen: set[str] = set()
    for run in journal.runs:
        arrivals = repeated if run.request_id in seen else first
        arrivals[run.service].append(run.at)
        seen.add(run.request_id)
    window = guarantees.repeat_window_s
    for service, times in repeated.items():
        for start in times:
            extra = sum(start <= at < start + window for at in times)
            calls = sum(start <= at < start + window for at in first[service])
            if (
                extra
                > guarantees.repeat_ratio * calls + guarantees.repeat_slack
            ):
                yield f"budget: {extra} repeats for {calls} at {service}"
                break


def check_stops(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that the planned stop of a node cuts off no call."""
    ran = {run.request_id for run in journal.runs if run.has_run}
    for stop in journal.stops:
        for call in journal.calls.values():
            if call.host != stop.host or call.failure != "lost":
                continue
            ended_at = call.ended_at or 0.0
            if not stop.start <= ended_at <= stop.end + 1.0:
                continue
            may_be_unread = ended_at - call.sent_at <= CLOSE_RACE_S
            if call.request_id not in ran and may_be_unread:
                continue
            if journal.is_all_undisturbed(
                call.sent_at - guarantees.recovery_s, ended_at
            ):
                yield f"lost: {call.request_id} at the stop of {stop.host}"


def check_work_in_stops(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that a stopping node waits for a target that is at work.

    At the end of its grace period it may answer early calls itself.
    """
    for stop in journal.stops:
        last_at = stop.start + guarantees.grace_s * LAST_WORK_SHARE
        for call in journal.calls.values():
            if call.host != stop.host or not _is_failed_by_node(call):
                continue
            ended_at = call.ended_at or 0.0
            if not stop.start <= ended_at <= stop.end + 1.0:
                continue
            wait_s = min(guarantees.timeout_s, call.timeout_s)
            if ended_at - call.sent_at >= wait_s - DEADLINE_MARGIN_S:
                continue
            is_early = call.sent_at <= stop.start + EARLY_CALL_S
            if is_early and ended_at >= last_at:
                continue
            is_busy = any(
                run.at <= ended_at
                and (run.ended_at is None or run.ended_at > ended_at)
                for run in journal.iterate_runs(call.request_id)
            )
            if is_busy and journal.is_all_undisturbed(
                call.sent_at - guarantees.recovery_s, ended_at
            ):
                yield (
                    f"broken off: {call.request_id} got {call.status}"
                    f" at the stop of {stop.host}"
                )


def _is_failed_by_node(call: records.CallRecord) -> bool:
    """Returns whether a node itself told that a call may have run."""
    is_failure = call.status >= 500 and call.status not in NOT_RUN_STATUSES
    return is_failure and not call.signature


def check_exits(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that no node ends by itself."""
    for item in journal.exits:
        is_starting = item.age_s < guarantees.startup_s
        if item.status >= 0 or not is_starting:
            text = f"status {item.status} after {item.age_s:.1f} s"
            yield f"exit: {item.host} ended with {text}"


def check_versions(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that the newest version is in force on undisturbed hosts."""
    by_version = {item.version: item for item in journal.publications}
    for call in _list_marker_calls(journal):
        assert call.marker is not None and call.ended_at is not None
        since = call.sent_at - guarantees.recovery_s
        if not journal.is_undisturbed(call.host, since, call.ended_at):
            continue
        item = by_version[call.marker]
        is_added = call.sent_at > item.sent_at + guarantees.config_s
        is_removed = item.removed_at is not None
        if is_added and not is_removed and call.status == 404:
            yield f"config: {call.host} lacks version {call.marker}"
        if item.removed_at is None or call.status != 200:
            continue
        if call.sent_at > item.removed_at + guarantees.config_s:
            yield f"config: {call.host} still serves version {call.marker}"


def check_version_order(
    journal: records.Journal, _guarantees: Guarantees
) -> Iterator[str]:
    """Checks that a process never returns to an older version."""
    by_version = {item.version: item for item in journal.publications}
    served = [
        call for call in _list_marker_calls(journal) if call.status == 200
    ]
    for call in _list_marker_calls(journal):
        assert call.marker is not None and call.ended_at is not None
        removed_at = by_version[call.marker].removed_at
        if call.status != 404:
            continue
        if removed_at is not None and removed_at <= call.ended_at:
            continue
        started_at = _find_start(journal, call)
        for earlier in served:
            assert earlier.marker is not None and earlier.ended_at is not None
            if (
                earlier.host == call.host
                and earlier.marker >= call.marker
                and earlier.sent_at >= started_at
                and earlier.ended_at + ORDER_SLACK_S < call.sent_at
            ):
                yield f"regress: {call.host} lost version {call.marker}"
                break


def check_weights(
    journal: records.Journal, guarantees: Guarantees
) -> Iterator[str]:
    """Checks that a service without weight gets no calls."""
    publications = journal.publications
    ends = [*(item.sent_at for item in publications[1:]), float("inf")]
    for run in journal.runs:
        call = journal.calls.get(run.request_id)
        if call is None or run.path.split("/")[1] != guarantees.split_route:
            continue
        since = call.sent_at - guarantees.recovery_s
        if not journal.is_undisturbed(call.host, since, run.at):
            continue
        # Versions between the last one that is certainly in force and the
        # sending of the call may all be in force.
        allowed = {
            item.unweighted
            for item, end in zip(publications, ends, strict=False)
            if item.sent_at <= call.sent_at
            and end > call.sent_at - guarantees.config_s
        }
        if allowed == {run.service}:
            yield f"weights: {run.request_id} ran at {run.service}"


def _list_marker_calls(journal: records.Journal) -> list[records.CallRecord]:
    return [
        call
        for call in journal.calls.values()
        if call.marker is not None and call.ended_at is not None
    ]


def _find_start(journal: records.Journal, call: records.CallRecord) -> float:
    starts = journal.starts.get(call.host, [])
    return max((at for at in starts if at <= call.sent_at), default=0.0)
