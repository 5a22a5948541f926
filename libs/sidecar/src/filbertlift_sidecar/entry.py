"""Entry for the calls of this host: routes each call and tracks it."""

from collections.abc import Callable
import math
import secrets
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import accounts
from filbertlift_mesh import admissions
from filbertlift_mesh import configuration as configurations
from filbertlift_mesh import outcomes
from filbertlift_mesh import patience as patiences
from filbertlift_mesh import placement as placements
from filbertlift_mesh import reasons
from filbertlift_mesh import repeats
from filbertlift_mesh import search
from filbertlift_mesh import shedding as sheddings
from filbertlift_mesh import tenants
from filbertlift_sidecar import answers
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import flow
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper as keepers
from filbertlift_sidecar import metrics as node_metrics
from filbertlift_sidecar import remote as remotes
from filbertlift_transport import http
from filbertlift_transport import reply as replies

# Deadline of a call without a valid deadline header, in seconds.
DEFAULT_DEADLINE_S: Final = 30.0
# Limit for the deadline of a caller, in seconds; a longer one is shortened.
MAX_DEADLINE_S: Final = 86_400.0
# Retry time that a caller is told while this node has no configuration or
# refuses all calls, in seconds.
NOT_READY_RETRY_S: Final = 0.5
# Time from the start of the node in which the first version is expected, in
# seconds. It arrives within half a second, unless the store does not answer.
STARTUP_S: Final = 1.5
# Longest time for which a call waits for the first version, in seconds, and the
# number of calls that may wait.
MAX_HOLD_S: Final = 0.5
MAX_HELD_CALLS: Final = 1_000
# Length of the key of the digests of callers' keys, in bytes.
SECRET_BYTES: Final = 32
# Organisation of calls that need no key.
NO_ORGANISATION: Final = tenants.Organisation("")
# Admits a request of an organisation; None if it has no quota.
AdmitFunction = Callable[
    [tenants.Organisation], accounts.Token | admissions.Refused | None
]
# Hop-by-hop headers, which are not forwarded.
_HOP_HEADERS: Final = http.FRAMING_HEADERS | frozenset(
    ("expect", "te", "trailer", "proxy-authorization", "proxy-authenticate")
)


@attrs.define(eq=False)
class HeldCall:
    """A request that arrived before the first version.

    Attributes:
        request: the request.
        reply: reply to its caller.
        arrived_at: when it arrived, in seconds.
        timer: ends the wait.
    """

    request: http.Request
    reply: replies.Reply
    arrived_at: float
    timer: Any = None


@attrs.define(eq=False)
class Entry:
    """Accepts the calls of this host and tracks each until it is answered.

    Unlike `filbertlift_node.entry`, it verifies no tokens: each call is sent to
    its target in the name of the service of this host.

    Attributes:
        own_address: address at which peers reach this node.
        caller_service: service of this host, sent to targets in a header.
        refresh: updates the placement before a target is chosen.
        round_robin: distributes the calls of a route over its services.
        configuration: the version in force, None before the first.
        patience: deadlines of callers, which show returning ones.
        shedding: lack of capacity by service and class.
        is_leaving: whether each answer closes its connection.
        last_answer_at: when every call has to be answered, in seconds; no
            limit unless this node leaves.
        refusal: reason with which all new calls are refused, or empty.
        flows: calls in progress.
        held: calls that wait for the first version.
        keys: organisations by their keys; None if calls need no keys.
        has_organisations: whether callers of this deployment may send keys.
            Targets then get neither these nor an organisation that a caller
            names, also under a version without organisations.
        admit: admits the requests of organisations.
        shortest_runs: shortest service times of the targets of services.
    """

    reactor: Any
    own_address: model.Address
    caller_service: str
    dialect: answers.TargetDialect
    placement: placements.Placement
    budget: repeats.RepeatBudget
    keeper: keepers.Keeper
    remote: remotes.RemoteCalls
    log: eventlog.EventLog
    metrics: node_metrics.NodeMetrics
    refresh: Callable[[], None]
    round_robin: configurations.WeightedRoundRobin
    configuration: configurations.Configuration | None = None
    is_leaving: bool = False
    last_answer_at: float = math.inf
    refusal: str = ""
    flows: set[flow.Flow] = attrs.field(factory=set)
    held: set["HeldCall"] = attrs.field(factory=set)
    keys: tenants.KeyTable | None = None
    has_organisations: bool = False
    shedding: sheddings.Shedding = attrs.field(factory=sheddings.Shedding)
    admit: AdmitFunction = lambda _organisation: None
    shortest_runs: search.ShortestRuns = attrs.field(
        factory=search.ShortestRuns
    )
    patience: patiences.Patience = attrs.field(
        default=attrs.Factory(
            lambda self: patiences.Patience(self.reactor.seconds()),
            takes_self=True,
        )
    )
    _secret: bytes = attrs.field(
        factory=lambda: secrets.token_bytes(SECRET_BYTES), repr=False
    )

    def put_in_force(self, version: configurations.Configuration) -> None:
        """Routes new calls by a new version of the configuration."""
        is_first = self.configuration is None
        self.configuration = version
        found = version.tenants
        self.keys = (
            tenants.KeyTable.from_tenants(found.entries, self._secret)
            if found is not None
            else None
        )
        names = version.list_route_names()
        self.round_robin.drop_other_routes(names)
        self.patience.drop_other_routes(names)
        self.shedding.drop_other_services(set(version.services))
        self.shortest_runs.clear()
        if is_first:
            self._route_held_calls()

    def handle(self, request: http.Request, reply: replies.Reply) -> None:
        """Handles one request of a caller."""
        if self.is_leaving:
            reply.close_after()
        if self.refusal:
            self.refuse(reply, request, self.refusal, NOT_READY_RETRY_S)
            return
        if self.configuration is None:
            self._hold(request, reply)
            return
        self._route(request, reply, self.reactor.seconds())

    def leave(self, last_answer_at: float) -> None:
        """Ends all calls, and those still to come, by a time in seconds.

        Their connections close after the answers.
        """
        self.is_leaving = True
        self.last_answer_at = last_answer_at
        for call in list(self.flows):
            call.reply.close_after()
            call.limit(last_answer_at)

    def note_failure(self, route: configurations.Route, now: float) -> None:
        """Records that a call failed; its caller may return."""
        self.patience.get_route(route.name).note_failure(now)

    def note_refusal(
        self,
        route: configurations.Route,
        refused: patiences.RefusedCall,
        now: float,
    ) -> None:
        """Records that a call was refused; its caller may return."""
        self.patience.get_route(route.name).note_refusal(refused, now)

    def _route(
        self, request: http.Request, reply: replies.Reply, arrived_at: float
    ) -> None:
        """Starts the call of a request."""
        assert self.configuration is not None
        hostname = request.headers.get("host", "").partition(":")[0]
        route = self.configuration.find_route(hostname, request.path)
        if route is None:
            self._answer_no_route(request, reply, hostname)
            return
        organisation = self._find_organisation(request, route)
        if organisation is None:
            self._answer_unknown_key(request, reply, route)
            return
        deadline_s = self._read_deadline(request)
        caller_wait_s = DEFAULT_DEADLINE_S if deadline_s is None else deadline_s
        now = self.reactor.seconds()
        if arrived_at + caller_wait_s <= now:
            self.refuse(reply, request, reasons.TOO_LATE, 0.0)
            return
        token = self.admit(organisation)
        if isinstance(token, admissions.Refused):
            self.refuse(
                reply,
                request,
                reasons.OVER_QUOTA,
                token.retry_after_s,
                429,
                organisation=organisation.name,
            )
            return
        waited_s = 0.0
        if deadline_s is not None:
            known = self.patience.get_route(route.name)
            waited_s = known.estimate_wait(deadline_s, now, hash(request.path))
        self.refresh()
        service = self.round_robin.choose_service(route)
        self.budget.note_call(service, now)
        priority = organisation.priority
        if priority is None:
            priority = route.priority
        flow.Flow(
            self,
            request,
            reply,
            route,
            service,
            self._make_headers(request, organisation),
            arrived_at,
            min(
                arrived_at + min(caller_wait_s, route.timeout_s),
                self.last_answer_at,
            ),
            self.configuration.version,
            waited_s,
            priority,
            arrived_at + caller_wait_s,
            token,
            organisation.name,
        ).start()

    def _hold(self, request: http.Request, reply: replies.Reply) -> None:
        """Lets a request wait for the first version, which is on its way.

        A refused caller would return later than the version arrives.
        """
        now = self.reactor.seconds()
        left_s = self.patience.started_at + STARTUP_S - now
        if left_s <= 0 or len(self.held) >= MAX_HELD_CALLS:
            self._refuse_unrouted(request, reply)
            return
        call = HeldCall(request, reply, now)
        call.timer = self.reactor.callLater(
            min(left_s, MAX_HOLD_S), self._give_up_held_call, call
        )
        reply.on_gone = lambda: self._forget_held_call(call)
        self.held.add(call)

    def _route_held_calls(self) -> None:
        held, self.held = self.held, set()
        for call in sorted(held, key=lambda item: item.arrived_at):
            call.timer.cancel()
            call.reply.on_gone = None
            self._route(call.request, call.reply, call.arrived_at)

    def _forget_held_call(self, call: "HeldCall") -> None:
        self.held.discard(call)
        if call.timer.active():
            call.timer.cancel()

    def _give_up_held_call(self, call: "HeldCall") -> None:
        self.held.discard(call)
        call.reply.on_gone = None
        self._refuse_unrouted(call.request, call.reply)

    def _refuse_unrouted(
        self, request: http.Request, reply: replies.Reply
    ) -> None:
        self.refuse(reply, request, reasons.NO_CONFIGURATION, NOT_READY_RETRY_S)

    def refuse(
        self,
        reply: replies.Reply,
        request: http.Request,
        reason: str,
        retry_after_s: float,
        status: int = 503,
        **fields: Any,
    ) -> None:
        """Tells a caller that its call has not run and when to retry."""
        wait_s = outcomes.make_retry_after(retry_after_s)
        self.metrics.refused.labels(reason).inc()
        self.log.log_request(
            "entry.refused",
            id=self.find_id(request),
            reason=reason,
            retry_after_s=wait_s,
            **fields,
        )
        headers = (http.Header(self.dialect.retry_after, f"{wait_s:g}"),)
        self.answer(reply, request, status, reason, headers)

    def answer(
        self,
        reply: replies.Reply,
        request: http.Request,
        status: int,
        reason: str,
        headers: tuple[http.Header, ...] = (),
    ) -> None:
        """Sends an answer that this node makes itself."""
        dialect = self.dialect
        request_id = self.find_id(request)
        if request_id:
            headers = (*headers, http.Header(dialect.request_id, request_id))
        body = http.make_error_body(f"FL-{status}", reason)
        content = http.Header("Content-Type", "application/json")
        reply.send(status, (content, *headers), body)

    def find_id(self, request: http.Request) -> str:
        """Returns the request id that the caller set, or an empty string."""
        return request.headers.get(self.dialect.request_id.lower(), "")

    def submit(
        self,
        view: placements.TargetView,
        lane: str,
        call: frames.Call,
        on_answer: keepers.AnswerFunction,
        on_chunk: keepers.ChunkFunction,
    ) -> keepers.SentCall:
        """Sends a call to the keeper of a target."""
        if view.address == self.own_address:
            kept = self.keeper.submit(call, on_answer, on_chunk)
            return keepers.SentCall(
                lambda: self.keeper.cancel(kept),
                lambda is_paused: self.keeper.pause(kept, is_paused),
            )
        sent = self.remote.submit(view.address, lane, call, on_answer, on_chunk)
        return keepers.SentCall(
            lambda: self.remote.cancel(sent),
            lambda is_paused: self.remote.pause(sent, is_paused),
        )

    def _answer_no_route(
        self, request: http.Request, reply: replies.Reply, hostname: str
    ) -> None:
        assert self.configuration is not None
        self.metrics.refused.labels(reasons.NO_ROUTE).inc()
        self.log.log_request(
            "entry.no-route",
            id=self.find_id(request),
            hostname=hostname,
            path=request.path,
            version=self.configuration.version,
        )
        self.answer(reply, request, 404, reasons.NO_ROUTE)

    def _find_organisation(
        self, request: http.Request, route: configurations.Route
    ) -> tenants.Organisation | None:
        """Returns the organisation of a call, None if its key is unknown.

        A call that needs no key belongs to an organisation without a name.
        """
        if self.keys is None or route.is_public:
            return NO_ORGANISATION
        text = request.headers.get(self.dialect.api_key.lower(), "")
        return self.keys.find(text.strip(" \t"))

    def _answer_unknown_key(
        self,
        request: http.Request,
        reply: replies.Reply,
        route: configurations.Route,
    ) -> None:
        assert self.configuration is not None
        self.metrics.refused.labels(reasons.UNKNOWN_KEY).inc()
        self.log.log_request(
            "entry.unknown-key",
            id=self.find_id(request),
            route=route.name,
            version=self.configuration.version,
        )
        self.answer(reply, request, 401, reasons.UNKNOWN_KEY)

    def _read_deadline(self, request: http.Request) -> float | None:
        """Returns how long the caller waits, in seconds; None if unknown.

        A target that calls another service with less than a millisecond left
        sends 0, which is no missing deadline.
        """
        text = request.headers.get(self.dialect.deadline.lower(), "")
        try:
            caller_wait_s = float(text) / 1000
        except ValueError:
            return None
        if math.isnan(caller_wait_s):
            return None
        return min(caller_wait_s, MAX_DEADLINE_S)

    def _make_headers(
        self, request: http.Request, organisation: tenants.Organisation
    ) -> frames.Headers:
        dialect = self.dialect
        own_headers = {
            dialect.deadline.lower(),
            dialect.instance.lower(),
            dialect.caller.lower(),
        }
        if self.keys is not None or self.has_organisations:
            own_headers |= {dialect.tenant.lower(), dialect.api_key.lower()}
        connection_header = request.headers.get("connection", "")
        connection_options = {
            name.strip().lower() for name in connection_header.split(",")
        } - {"host"}
        kept = [
            (name, value)
            for name, value in request.headers.items()
            if name not in _HOP_HEADERS
            and name not in own_headers
            and name not in connection_options
        ]
        kept.append((dialect.caller, self.caller_service))
        if organisation.name:
            kept.append((dialect.tenant, organisation.name))
        return tuple(kept)
