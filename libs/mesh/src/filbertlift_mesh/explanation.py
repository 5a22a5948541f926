"""Explains where a call would be sent now, without sending it.

The costs come from the functions that decide for real calls. A real call
compares only some of the candidates, and their costs get a random part.
"""

from collections.abc import Collection
import math

import attrs

from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import outcomes
from filbertlift_mesh import placement


@attrs.frozen
class Candidate:
    """A target that the call may be sent to.

    Attributes:
        address: address of its host.
        target_id: id of the target.
        distance: distance from this host.
        cost_s: what targets are compared by: the expected time, failures and
            paid bytes, in seconds.
        wait_s: expected wait for a slot, in seconds.
        service_s: expected service time, in seconds.
        room: slots less the calls that run or wait there, as estimated; below
            zero if calls wait.
        age_s: age of the last report of its load, in seconds; None if there is
            none.
    """

    address: model.Address
    target_id: str
    distance: placement.Distance
    cost_s: float
    wait_s: float
    service_s: float
    room: float
    age_s: float | None


@attrs.frozen
class LeftOut:
    """A target of the service that the call is not sent to.

    Attributes:
        address: address of its host.
        target_id: id of the target.
        reason: why it is left out.
    """

    address: model.Address
    target_id: str
    reason: str


@attrs.frozen
class Explanation:
    """Where a call to a service would be sent now.

    Attributes:
        service: the service.
        candidates: targets that it may be sent to, the cheapest first.
        left_out: the other targets of the service.
        retry_after_s: retry time that the caller would be told if the call
            were refused, in seconds.
    """

    service: str
    candidates: tuple[Candidate, ...]
    left_out: tuple[LeftOut, ...]
    retry_after_s: float


def explain(
    places: placement.Placement,
    route: configuration.Route,
    service: str,
    table: directory.Directory,
    now: float,
) -> Explanation:
    """Explains a call on a route to one of its services."""
    criteria = placement.make_criteria(route, service)
    views = places.views.get(service, {})
    allowed = places.peek_targets(service, views, now)
    listed = places.list_all(criteria, allowed, now)
    ranked = sorted(
        listed,
        key=lambda view: (
            places.estimate_cost(view, criteria, now)
            * (1.0 + places.get_margin(view, criteria))
        ),
    )
    left_out = _list_left_out(
        places, service, table, {view.address for view in listed}, now
    )
    return Explanation(
        service,
        tuple(_describe(places, view, criteria, now) for view in ranked),
        left_out,
        outcomes.make_retry_after(places.estimate_retry(service, now)),
    )


def _list_left_out(
    places: placement.Placement,
    service: str,
    table: directory.Directory,
    chosen: Collection[model.Address],
    now: float,
) -> tuple[LeftOut, ...]:
    """Returns the other targets of a service that any host announces."""
    silent = table.list_silent(now)
    silent_addresses = {record.address for record in silent}
    left_out: list[LeftOut] = []
    for record in (table.own, *table.list_live(now), *silent):
        target = record.target
        if target is None or target.service != service:
            continue
        if record.address in chosen:
            continue
        is_silent = record.address in silent_addresses
        reason = _find_reason(places, record, target, is_silent, now)
        left_out.append(LeftOut(record.address, target.target_id, reason))
    return tuple(left_out)


def _find_reason(
    places: placement.Placement,
    record: directory.HostRecord,
    target: directory.TargetRecord,
    is_silent: bool,
    now: float,
) -> str:
    if is_silent:
        return "host-silent"
    if record.is_leaving:
        return "host-leaving"
    if target.state is not directory.TargetState.READY:
        return f"target-{target.state.name.lower()}"
    avoided_s = places.get_avoided_s(record.address, now)
    if avoided_s:
        return f"unreachable, avoided for {avoided_s:.1f} s"
    if record.address in places.views.get(target.service, {}):
        return "release gets no calls now"
    return "not listed yet"


def _describe(
    places: placement.Placement,
    view: placement.TargetView,
    criteria: placement.Criteria,
    now: float,
) -> Candidate:
    wait_s, service_s = places.estimate_parts(view, criteria, now)
    age_s = now - view.reported_at
    return Candidate(
        view.address,
        view.target.target_id,
        view.distance,
        places.estimate_cost(view, criteria, now),
        wait_s,
        service_s,
        places.estimate_room(view, criteria, now),
        age_s if math.isfinite(age_s) else None,
    )
