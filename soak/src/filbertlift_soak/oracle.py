"""The promises, checked on what callers and targets saw."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from filbertlift_mesh import configuration
from filbertlift_soak import records

# Statuses that promise that a call has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
# An answer may come this much after the route's timeout, in seconds.
LATE_S = 0.5
# A target may be given this much more time than the caller waits, in seconds.
DEADLINE_SLACK_S = 0.5
# A connection that ends sooner after its call was sent may have crossed it.
CROSSING_S = 0.2
# Two calls closer than this may be handled under versions in either order.
ORDER_SLACK_S = 0.25


@attrs.frozen
class Terms:
    """Bounds of the promises, and what the routes allow; times in seconds.

    Attributes:
        touch_s: a host counts as calm this long after a disturbance.
        config_s: a version is in force everywhere after this time.
        drain_s: a target that leaves gets no new work after this time.
        timeout_s: longest time that a caller is kept waiting, for all routes.
        repeat_ratio: repeats allowed for each call of a service.
        repeat_slack: repeats allowed in a window besides.
        repeat_window_s: length of the window.
        services: by the first part of the path, the services of a route.
    """

    touch_s: float
    config_s: float
    drain_s: float
    timeout_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    services: Mapping[str, frozenset[str]]


Check = Callable[[records.Journal, Terms], Iterator[str]]


def find_problems(journal: records.Journal, terms: Terms) -> list[str]:
    """Returns a line for each broken promise."""
    checks: tuple[Check, ...] = (
        check_runs,
        check_at_most_once,
        check_answers,
        check_ends,
        check_routes,
        check_departures,
        check_repeats,
        check_stops,
        check_versions,
        check_order_of_versions,
    )
    return [line for check in checks for line in check(journal, terms)]


def check_runs(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A target runs only what a caller sent, as it was sent."""
    for run in journal.runs:
        call = journal.calls.get(run.request_id)
        if call is None:
            yield f"unasked: {run.request_id} at {run.target_id}"
            continue
        asked = (call.method, call.path, call.body, call.caller)
        if (run.method, run.path, run.body, run.caller) != asked:
            yield f"changed: {run.request_id} at {run.target_id}"
        limit = call.sent_at + call.waits_s + DEADLINE_SLACK_S
        since = call.sent_at - terms.touch_s
        # A host that stood still read the call late.
        is_calm = journal.is_calm(call.host, since, run.at)
        is_calm = is_calm and journal.is_calm(run.host, since, run.at)
        if is_calm and run.at + run.waits_s > limit:
            yield f"deadline: {run.request_id} was given {run.waits_s:.2f} s"


def check_at_most_once(
    journal: records.Journal, _terms: Terms
) -> Iterator[str]:
    """What may run once runs once, and not after it was said not to."""
    counts = collections.Counter(
        run.request_id for run in journal.runs if run.has_run
    )
    for call in journal.calls.values():
        if call.kind is not configuration.CallKind.UNSAFE:
            continue
        count = counts[call.request_id]
        if count > 1:
            yield f"twice: {call.request_id} ran {count} times"
        if count and call.status in PROMISES:
            yield f"refused: {call.request_id} got {call.status} and ran"


def check_answers(journal: records.Journal, _terms: Terms) -> Iterator[str]:
    """An answer is a target's whole answer to the caller's own call."""
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


def check_ends(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A calm host answers every call by its route's timeout."""
    for call in journal.calls.values():
        limit = call.sent_at + min(terms.timeout_s, call.waits_s) + LATE_S
        ended_at = float("inf") if call.ended_at is None else call.ended_at
        if ended_at <= limit:
            continue
        if journal.is_calm(call.host, call.sent_at - terms.touch_s, limit):
            yield f"unanswered: {call.request_id} at {call.host}"


def check_routes(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A call runs only at a service of its route."""
    for run in journal.runs:
        allowed = terms.services.get(run.path.split("/")[1])
        if allowed is not None and run.service not in allowed:
            yield f"route: {run.request_id} ran at {run.service}"


def check_departures(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A target gets no work long after its departure was acknowledged."""
    for run in journal.runs:
        acknowledged_at = journal.drains.get(run.target_id)
        if acknowledged_at is None or not run.has_run:
            continue
        late_s = run.at - acknowledged_at
        if late_s > terms.drain_s:
            place = f"{run.target_id} {late_s:.1f} s after its departure"
            yield f"drain: {run.request_id} reached {place}"


def check_repeats(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """Repeats at a service stay within the budget that all nodes share."""
    first: dict[str, list[float]] = collections.defaultdict(list)
    repeated: dict[str, list[float]] = collections.defaultdict(list)
    seen: set[str] = set()
    for run in journal.runs:
        table = repeated if run.request_id in seen else first
        table[run.service].append(run.at)
        seen.add(run.request_id)
    window = terms.repeat_window_s
    for service, times in repeated.items():
        for start in times:
            extra = sum(start <= at < start + window for at in times)
            calls = sum(start <= at < start + window for at in first[service])
            if extra > terms.repeat_ratio * calls + terms.repeat_slack:
                yield f"budget: {extra} repeats for {calls} at {service}"
                break


def check_stops(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A planned stop breaks off no call."""
    ran = {run.request_id for run in journal.runs if run.has_run}
    for stop in journal.stops:
        for call in journal.calls.values():
            if call.host != stop.host or call.failure != "lost":
                continue
            ended_at = call.ended_at or 0.0
            if not stop.start <= ended_at <= stop.end + 1.0:
                continue
            crossed = ended_at - call.sent_at <= CROSSING_S
            if call.request_id not in ran and crossed:
                continue
            if journal.is_all_calm(call.sent_at - terms.touch_s, ended_at):
                yield f"lost: {call.request_id} at the stop of {stop.host}"


def check_versions(journal: records.Journal, terms: Terms) -> Iterator[str]:
    """A calm host handles calls under the newest version."""
    by_version = {item.version: item for item in journal.publications}
    for call in _list_markers(journal):
        assert call.marker is not None and call.ended_at is not None
        since = call.sent_at - terms.touch_s
        if not journal.is_calm(call.host, since, call.ended_at):
            continue
        item = by_version[call.marker]
        is_added = call.sent_at > item.sent_at + terms.config_s
        is_removed = item.removed_at is not None
        if is_added and not is_removed and call.status == 404:
            yield f"config: {call.host} lacks version {call.marker}"
        if item.removed_at is None or call.status != 200:
            continue
        if call.sent_at > item.removed_at + terms.config_s:
            yield f"config: {call.host} still serves version {call.marker}"


def check_order_of_versions(
    journal: records.Journal, _terms: Terms
) -> Iterator[str]:
    """A process never returns to an older version."""
    by_version = {item.version: item for item in journal.publications}
    served = [call for call in _list_markers(journal) if call.status == 200]
    for call in _list_markers(journal):
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


def _list_markers(journal: records.Journal) -> list[records.CallRecord]:
    return [
        call
        for call in journal.calls.values()
        if call.marker is not None and call.ended_at is not None
    ]


def _find_start(journal: records.Journal, call: records.CallRecord) -> float:
    starts = journal.starts.get(call.host, [])
    return max((at for at in starts if at <= call.sent_at), default=0.0)
