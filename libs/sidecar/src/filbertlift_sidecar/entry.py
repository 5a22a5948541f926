"""Entry's side of calls: routes what callers send and follows each call."""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import configuration as configurations
from filbertlift_mesh import outcomes
from filbertlift_mesh import placement as placements
from filbertlift_mesh import reasons
from filbertlift_mesh import repeats
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exchange
from filbertlift_sidecar import flow
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper as keepers
from filbertlift_sidecar import metrics as node_metrics
from filbertlift_sidecar import remote as remotes
from filbertlift_transport import http
from filbertlift_transport import reply as replies

# A caller that names no deadline is taken to wait this long, in seconds.
DEFAULT_DEADLINE_S: Final = 30.0
# Time after which a caller is told to come back while this node knows no
# configuration or no target, in seconds.
NOT_READY_RETRY_S: Final = 0.5
# Headers that concern one connection only, besides those of the framing.
_HOP_HEADERS: Final = http.FRAMING_HEADERS | frozenset(
    ("expect", "te", "trailer", "proxy-authorization", "proxy-authenticate")
)


@attrs.define(eq=False)
class Entry:
    """Takes calls at this host and follows each until it is answered.

    Attributes:
        own_address: address of this node's links.
        caller_service: service of this host, told to targets.
        configuration: the version in force, None before the first.
        is_leaving: whether answers close their connection.
        refusal: why no further call is taken, or empty.
        flows: calls under way.
    """

    reactor: Any
    own_address: model.Address
    caller_service: str
    dialect: exchange.TargetDialect
    placement: placements.Placement
    budget: repeats.RepeatBudget
    keeper: keepers.Keeper
    remote: remotes.RemoteCalls
    events: eventlog.EventLog
    metrics: node_metrics.NodeMetrics
    refresh: Callable[[], None]
    configuration: configurations.Configuration | None = None
    splits: configurations.WeightedRoundRobin = attrs.field(
        factory=configurations.WeightedRoundRobin
    )
    is_leaving: bool = False
    refusal: str = ""
    flows: set[flow.Flow] = attrs.field(factory=set)

    def put_in_force(self, version: configurations.Configuration) -> None:
        """Routes every later call under a new version."""
        self.configuration = version
        self.splits.drop_changed_routes(version)

    def handle(self, request: http.Request, reply: replies.Reply) -> None:
        """Takes one request of a caller."""
        if self.is_leaving:
            reply.close_after()
        if self.refusal:
            self.refuse(reply, request, self.refusal, NOT_READY_RETRY_S)
            return
        if self.configuration is None:
            self.refuse(
                reply, request, reasons.NO_CONFIGURATION, NOT_READY_RETRY_S
            )
            return
        hostname = request.headers.get("host", "").partition(":")[0]
        route = self.configuration.find_route(hostname, request.path)
        if route is None:
            self._answer_unknown(request, reply, hostname)
            return
        now = self.reactor.seconds()
        self.refresh()
        service = self.splits.choose_service(route)
        self.budget.note_call(service, now)
        waits_s = self._read_deadline(request)
        flow.Flow(
            self,
            request,
            reply,
            route,
            service,
            self._make_headers(request),
            now,
            now + min(waits_s, route.timeout_s),
            now + waits_s,
            self.configuration.version,
        ).start()

    def refuse(
        self,
        reply: replies.Reply,
        request: http.Request,
        reason: str,
        retry_after_s: float,
        **facts: Any,
    ) -> None:
        """Tells a caller that its call has not run and when to return."""
        wait_s = outcomes.make_retry_after(retry_after_s)
        self.metrics.refused.labels(reason).inc()
        self.events.log_request(
            "entry.refused",
            id=self.find_id(request),
            reason=reason,
            retry_after_s=wait_s,
            **facts,
        )
        headers = (http.Header(self.dialect.retry_after, f"{wait_s:g}"),)
        self.answer(reply, request, 503, reason, headers)

    def answer(
        self,
        reply: replies.Reply,
        request: http.Request,
        status: int,
        reason: str,
        headers: tuple[http.Header, ...] = (),
    ) -> None:
        """Sends an answer of this node's own."""
        marks = self.dialect
        request_id = self.find_id(request)
        if request_id:
            headers = (*headers, http.Header(marks.request_id, request_id))
        body = http.make_error_body(f"FL-{status}", reason)
        content = http.Header("Content-Type", "application/json")
        reply.send(status, (content, *headers), body)

    def find_id(self, request: http.Request) -> str:
        """Returns the id that the caller gave its request, or empty text."""
        return request.headers.get(self.dialect.request_id.lower(), "")

    def submit(
        self,
        view: placements.TargetView,
        lane: str,
        call: frames.Call,
        on_answer: keepers.AnswerFunction,
        on_chunk: keepers.ChunkFunction,
    ) -> Callable[[], None]:
        """Sends a call to the node beside a target.

        Returns:
            A function that withdraws it.
        """
        if view.address == self.own_address:
            kept = self.keeper.submit(call, on_answer, on_chunk)
            return lambda: self.keeper.cancel(kept)
        sent = self.remote.submit(view.address, lane, call, on_answer, on_chunk)
        return lambda: self.remote.cancel(sent)

    def _answer_unknown(
        self, request: http.Request, reply: replies.Reply, hostname: str
    ) -> None:
        assert self.configuration is not None
        self.metrics.refused.labels(reasons.NO_ROUTE).inc()
        self.events.log_request(
            "entry.no-route",
            id=self.find_id(request),
            hostname=hostname,
            path=request.path,
            version=self.configuration.version,
        )
        self.answer(reply, request, 404, reasons.NO_ROUTE)

    def _read_deadline(self, request: http.Request) -> float:
        text = request.headers.get(self.dialect.deadline.lower(), "")
        try:
            waits_s = float(text) / 1000
        except ValueError:
            return DEFAULT_DEADLINE_S
        return waits_s if waits_s > 0 else DEFAULT_DEADLINE_S

    def _make_headers(self, request: http.Request) -> frames.Headers:
        marks = self.dialect
        own = {
            marks.deadline.lower(),
            marks.instance.lower(),
            marks.caller.lower(),
        }
        named = request.headers.get("connection", "")
        hop = {name.strip().lower() for name in named.split(",")} - {"host"}
        kept = [
            (name, value)
            for name, value in request.headers.items()
            if name not in _HOP_HEADERS and name not in own and name not in hop
        ]
        kept.append((marks.caller, self.caller_service))
        return tuple(kept)
