"""Command that shows where a node would send a request now."""

import json
from typing import Any
from urllib import parse

import attrs
from twisted.internet import defer

from filbertlift_cli import nodes
from filbertlift_cli import output
from filbertlift_core import env
from filbertlift_core import model


@attrs.frozen
class Query:
    """A request to explain.

    Attributes:
        node: address of the node's pages.
        host: value of the Host header.
        path: path of the request.
        method: method of the request.
        is_json: whether the page is printed as JSON.
    """

    node: model.Address
    host: str
    path: str
    method: str
    is_json: bool


@defer.inlineCallbacks
def print_explanation(reactor: Any, query: Query, out: output.Output) -> Any:
    """Prints where a request would be sent; returns the exit status."""
    fetch_page = nodes.make_page_fetcher(reactor)
    fields = {"host": query.host, "path": query.path, "method": query.method}
    path = f"/explain?{parse.urlencode(fields)}"
    page = yield fetch_page(query.node, path, nodes.PAGE_TIMEOUT_S)
    if query.is_json:
        out.print_line(json.dumps(page, indent=2, sort_keys=True))
        return env.EXIT_OK
    for line in describe(page):
        out.print_line(line)
    return env.EXIT_OK


def describe(page: dict[str, Any]) -> list[str]:
    """Returns the lines of a page as text."""
    lines = [f"{page['method']} {page['host']}{page['path']}"]
    if "version" in page:
        lines.append(f"version {page['version']}")
    if "answer" in page:
        return [*lines, f"answered by the node: {_join(page['answer'])}"]
    lines.append(f"route {page['route']}, class {page['class']}")
    lines.append(f"next service {page['next_service'] or 'chosen at random'}")
    for service in page["services"]:
        lines += _describe_service(service)
    return lines


def _describe_service(service: dict[str, Any]) -> list[str]:
    lines = [f"service {service['service']}, weight {service['weight']:g}"]
    lines += [_describe_candidate(item) for item in service["candidates"]]
    lines += [
        f"  {item['address']} {item['target']} left out: {item['reason']}"
        for item in service["left_out"]
    ]
    if not service["candidates"]:
        lines.append("  no target")
    return [*lines, f"  if refused: {_join(service['if_refused'])}"]


def _describe_candidate(item: dict[str, Any]) -> str:
    age = "never" if item["age_s"] is None else f"{item['age_s']:.1f} s ago"
    return (
        f"  {item['address']} {item['target']} {item['distance']}"
        f" cost {item['cost_s']:.3f} s, wait {item['wait_s']:.3f} s,"
        f" service {item['service_s']:.3f} s, room {item['room']:g},"
        f" reported {age}"
    )


def _join(fields: dict[str, Any]) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())
