"""HTTP pages for operators: health, readiness, version, dump, metrics."""

from collections.abc import Callable
import json
from typing import Any

import attrs
import klein
from twisted.web import http
from twisted.web import server

from filbertlift_core import model

_JSON = "application/json"
_METRICS = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen
class PageSources:
    """Functions that return the contents of the pages.

    Attributes:
        describe_version: returns the version in force, the lifecycle state and
            readiness.
        describe_state: returns the full dump.
        render_metrics: returns the metrics as text.
    """

    describe_version: Callable[[], dict[str, Any]]
    describe_state: Callable[[], dict[str, Any]]
    render_metrics: Callable[[], bytes]


def make_app(sources: PageSources) -> klein.Klein:
    """Returns the application that serves the pages."""
    app = klein.Klein()

    def reply(request: Any, value: dict[str, Any], status: int = 200) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", _JSON)
        return json.dumps(value).encode()

    @app.route("/health", methods=["GET"])
    def get_health(request: Any) -> bytes:
        # An answer shows that the event loop runs. Readiness tells whether
        # calls are accepted.
        return reply(request, {"healthy": True})

    @app.route("/ready", methods=["GET"])
    def get_ready(request: Any) -> bytes:
        value = sources.describe_version()
        status = http.OK if value["ready"] else http.SERVICE_UNAVAILABLE
        return reply(request, value, status)

    @app.route("/version", methods=["GET"])
    def get_version(request: Any) -> bytes:
        return reply(request, sources.describe_version())

    @app.route("/dump", methods=["GET"])
    def get_dump(request: Any) -> bytes:
        return reply(request, sources.describe_state())

    @app.route("/metrics", methods=["GET"])
    def get_metrics(request: Any) -> bytes:
        request.setHeader("Content-Type", _METRICS)
        return sources.render_metrics()

    return app


def listen_pages(
    reactor: Any,
    address: model.Address,
    sources: PageSources,
) -> Any:
    """Starts serving the pages; returns the listening port."""
    site = server.Site(make_app(sources).resource())
    site.displayTracebacks = False
    site.noisy = False
    return reactor.listenTCP(address.port, site, interface=address.host)
