"""Page that explains where a request would be sent now."""

from typing import Any
from urllib import parse

from filbertlift_mesh import directory
from filbertlift_mesh import explanation
from filbertlift_mesh import outcomes
from filbertlift_mesh import reasons
from filbertlift_sidecar import entry as entries

PATH = "/explain"


def answer_page(
    entry: entries.Entry, table: directory.Directory, target: str
) -> tuple[int, dict[str, Any]]:
    """Returns the status and content of the page for an HTTP target.

    Nothing is counted, reserved or sent.
    """
    query = dict(parse.parse_qsl(parse.urlsplit(target).query))
    host, path = query.get("host", ""), query.get("path", "")
    if not host or not path.startswith("/"):
        return 400, {"error": "host and path are needed"}
    page: dict[str, Any] = {
        "host": host,
        "path": path,
        "method": query.get("method", "GET"),
    }
    return 200, page | _explain(entry, table, host, path)


def _explain(
    entry: entries.Entry, table: directory.Directory, host: str, path: str
) -> dict[str, Any]:
    if entry.refusal:
        return {"answer": _describe_refusal(entry.refusal)}
    configuration = entry.configuration
    if configuration is None:
        return {"answer": _describe_refusal(reasons.NO_CONFIGURATION)}
    version = {"version": configuration.version}
    route = configuration.find_route(host.partition(":")[0], path)
    if route is None:
        answer = {"status": 404, "reason": reasons.NO_ROUTE}
        return {**version, "answer": answer}
    entry.refresh()
    now = entry.reactor.seconds()
    services = [
        {
            "weight": share.weight,
            **_describe(
                explanation.explain(
                    entry.placement, route, share.service, table, now
                )
            ),
        }
        for share in route.shares
        if share.weight > 0
    ]
    return {
        **version,
        "route": route.name,
        "class": route.work_class,
        "next_service": entry.round_robin.peek_service(route),
        "services": services,
    }


def _describe(found: explanation.Explanation) -> dict[str, Any]:
    return {
        "service": found.service,
        "candidates": [
            {
                "address": str(item.address),
                "target": item.target_id,
                "distance": item.distance.name.lower(),
                "cost_s": round(item.cost_s, 6),
                "wait_s": round(item.wait_s, 6),
                "service_s": round(item.service_s, 6),
                "room": round(item.room, 2),
                "age_s": None if item.age_s is None else round(item.age_s, 3),
            }
            for item in found.candidates
        ],
        "left_out": [
            {
                "address": str(item.address),
                "target": item.target_id,
                "reason": item.reason,
            }
            for item in found.left_out
        ],
        "if_refused": {
            "status": 503,
            "retry_after_s": found.retry_after_s,
        },
    }


def _describe_refusal(reason: str) -> dict[str, Any]:
    retry_s = outcomes.make_retry_after(entries.NOT_READY_RETRY_S)
    return {"status": 503, "reason": reason, "retry_after_s": retry_s}
