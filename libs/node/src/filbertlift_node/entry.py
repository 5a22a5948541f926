"""The entry's side of calls: verifies, routes and starts each request."""

from collections.abc import Callable
import hashlib
import os
import random
import time
from typing import Any

import attrs

from filbertlift_calls import budgets
from filbertlift_calls import choice
from filbertlift_calls import codes
from filbertlift_calls import targets
from filbertlift_calls import views
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import routes
from filbertlift_config import tokens
from filbertlift_core import env
from filbertlift_core import model
from filbertlift_node import flow as call_flows
from filbertlift_node import links as link_tables
from filbertlift_node import metrics as node_metrics
from filbertlift_node import relay as relays
from filbertlift_node import remote as remotes
from filbertlift_node import replies
from filbertlift_node import settlements
from filbertlift_transport import server
from filbertlift_wire import messages

# Maximum deadline of a call, in seconds.
MAX_DEADLINE_S = 3600.0
# Limit of the bytes per second that the calls of one node send to other
# regions. All traffic of a region shares 30 Mbit/s.
LINK_BYTES_PER_S = 250_000.0
# Headers of the caller that are not passed on to the target.
_REMOVED_HEADERS = frozenset(
    ("authorization", "host", "expect", "content-length", "transfer-encoding")
)
_REMOVED_PREFIX = "filbertlift-"


@attrs.frozen
class EntrySources:
    """Functions of the node that the entry uses.

    Attributes:
        list_targets: returns the live members with a target of a service.
        find_member: returns the member with a link address, None if unknown.
        age_s: returns the age of the version in force, in seconds.
        pull_version: see `VersionExchange.pull_version`.
    """

    list_targets: Callable[[str], tuple[model.Member, ...]]
    find_member: Callable[[model.Address], model.Member | None]
    age_s: Callable[[], float]
    pull_version: Callable[[Any, int, float, Callable[[bool], None]], None]


@attrs.define(eq=False)
class Entry:
    """Accepts and routes the calls of callers.

    It verifies the token of each caller and takes the service from the path,
    while `filbertlift_sidecar.entry` checks no tokens and finds the service by
    host name and path prefix.

    Attributes:
        table: routing table in force, None before the first version.
        verifier: verifier of callers' tokens in the same version.
        refusal: code with which new calls are refused, None if they are
            accepted.
        flows: calls that are not answered yet.
    """

    reactor: Any
    place: model.Place
    address: model.Address
    sources: EntrySources
    links: link_tables.LinkTable
    remote: remotes.RemoteCalls
    relay: relays.Relay
    metrics: node_metrics.NodeMetrics
    rng: random.Random
    choose: choice.Choose
    retry_budget: budgets.RetryBudget
    hedge_budget: budgets.HedgeBudget
    link_budget: budgets.LinkBudget
    table: routes.RoutingTable | None = None
    verifier: tokens.TokenVerifier | None = None
    refusal: str | None = codes.NOT_READY
    flows: set[call_flows.Flow] = attrs.field(factory=set)
    _services: dict[str, views.ServiceViews] = attrs.field(factory=dict)
    _id_prefix: str = attrs.field(factory=lambda: os.urandom(8).hex())
    _last_id: int = 0

    @classmethod
    def create(
        cls,
        reactor: Any,
        own: model.Member,
        sources: EntrySources,
        link_table: link_tables.LinkTable,
        remote_calls: remotes.RemoteCalls,
        relay: relays.Relay,
        metrics: node_metrics.NodeMetrics,
        rng: random.Random,
        policy: str,
    ) -> "Entry":
        """Returns the entry of a node without a version."""
        now = reactor.seconds()
        is_fifo = policy == "fifo"
        return cls(
            reactor=reactor,
            place=own.place,
            address=own.address,
            sources=sources,
            links=link_table,
            remote=remote_calls,
            relay=relay,
            metrics=metrics,
            rng=rng,
            choose=choice.make_round_robin() if is_fifo else choice.choose,
            retry_budget=budgets.RetryBudget.create(now),
            hedge_budget=budgets.HedgeBudget.create(now),
            link_budget=budgets.LinkBudget.create(LINK_BYTES_PER_S, now),
        )

    def put_in_force(
        self, table: routes.RoutingTable, verifier: tokens.TokenVerifier
    ) -> None:
        """Routes all later calls under a new version."""
        self.table = table
        self.verifier = verifier
        for name, service in self._services.items():
            if table.has_service(name):
                service.slots = table.service_policy(name).slots

    def refresh_targets(self) -> None:
        """Updates the targets after a change of the member table."""
        now = self.reactor.seconds()
        for name, service in self._services.items():
            service.update(self._list_targets(name), now)

    def find_views(self, name: str) -> views.ServiceViews:
        """Returns the views of the targets of a service."""
        found = self._services.get(name)
        if found is not None:
            return found
        assert self.table is not None
        found = views.ServiceViews(
            place=self.place,
            local=self.address,
            slots=self.table.service_policy(name).slots,
            link_budget=self.link_budget,
        )
        found.update(self._list_targets(name), self.reactor.seconds())
        self._services[name] = found
        return found

    def list_views(self) -> dict[str, views.ServiceViews]:
        """Returns the views of each service that was called, by name."""
        return self._services

    def handle(self, request: server.Request, reply: server.Reply) -> None:
        """Handles a request of a caller."""
        if request.path.startswith(settlements.OUTCOME_PATH):
            settlements.answer_outcome(self, request.path, reply)
            return
        if self.refusal is not None:
            self._refuse_temporarily(request, reply, self.refusal)
            return
        service, path = split_path(request.path)
        try:
            caller = self._verify(request)
            route = self.find_route(service, request.method, path, caller)
        except config_exceptions.ConfigError as error:
            self.refuse(reply, replies.find_code(error), error.message)
            return
        if self.is_stale(route):
            self._refuse_temporarily(request, reply, codes.STALE_VERSION)
            return
        headers = request.headers
        depth = read_number(headers.get("filbertlift-depth"), 0)
        if depth >= env.MAX_CALL_DEPTH:
            self.refuse(reply, codes.TOO_DEEP)
            return
        call = self._make_call(request, service, path, caller, route, depth)
        self.retry_budget.note_call()
        self.hedge_budget.note_call()
        flow = call_flows.Flow.create(self, call, route, reply)
        self.flows.add(flow)
        flow.start()

    def find_route(
        self, service: str, method: str, path: str, caller: str
    ) -> routes.Route:
        """Returns the route in force.

        Raises:
            RouteError: if the service is unknown or refuses the caller.
        """
        assert self.table is not None
        return self.table.find(service, method, path.partition("?")[0], caller)

    def is_stale(self, route: routes.Route) -> bool:
        """Returns whether the version in force is too old for a route."""
        return route.refuse_stale and self.sources.age_s() > route.max_age_s

    def refuse(self, reply: server.Reply, code: str, message: str = "") -> None:
        """Answers a call with the outcome NOT_RUN."""
        self.metrics.outcomes[model.Outcome.NOT_RUN].inc()
        replies.send_error(
            reply, model.Outcome.NOT_RUN, code, 1.0, message=message
        )

    def _refuse_temporarily(
        self, request: server.Request, reply: server.Reply, code: str
    ) -> None:
        """Refuses a call because of the current state of this node.

        The outcome of a repeat is UNKNOWN, because only the keeper knows
        whether an earlier attempt ran.
        """
        headers = request.headers
        number = read_number(headers.get("filbertlift-attempt"), 1)
        if "idempotency-key" not in headers or number <= 1:
            self.refuse(reply, code)
            return
        self.metrics.outcomes[model.Outcome.UNKNOWN].inc()
        replies.send_error(reply, model.Outcome.UNKNOWN, code, None)

    def _verify(self, request: server.Request) -> str:
        assert self.verifier is not None
        text = request.headers.get("authorization", "")
        if not text.startswith("Bearer "):
            raise config_exceptions.TokenError("no bearer token")
        return self.verifier.verify(text[7:], time.time())

    def _make_call(
        self,
        request: server.Request,
        service: str,
        path: str,
        caller: str,
        route: routes.Route,
        depth: int,
    ) -> messages.Call:
        headers = request.headers
        key = headers.get("idempotency-key")
        self._last_id += 1
        own_id = f"{self._id_prefix}{self._last_id:x}"
        deadline_ms = read_number(
            headers.get("filbertlift-deadline-ms"),
            int(route.deadline_s * 1000),
        )
        return messages.Call(
            stream=0,
            call_id=(
                make_keyed_id(caller, service, key) if key else own_id
            ).encode(),
            caller=caller,
            token=headers["authorization"][7:],
            service=service,
            method=request.method,
            path=path,
            headers=tuple(
                messages.Header(name, value)
                for name, value in headers.items()
                if name not in _REMOVED_HEADERS
                and not name.startswith(_REMOVED_PREFIX)
            ),
            deadline_ms=min(deadline_ms, int(MAX_DEADLINE_S * 1000)),
            version=route.version,
            depth=depth,
            attempt=max(1, read_number(headers.get("filbertlift-attempt"), 1)),
            incarnation=0,
            keyed=bool(key),
            fingerprint=make_fingerprint(request, path) if key else b"",
            asker=own_id,
            more=False,
            body=request.body,
        )

    def _list_targets(self, name: str) -> list[targets.Target]:
        return [
            targets.Target(member.address, member.incarnation, member.place)
            for member in self.sources.list_targets(name)
        ]


def make_keyed_id(caller: str, service: str, key: str) -> str:
    """Returns the id of a call with an idempotency key.

    A repeat gets the same id at any entry.
    """
    text = "\0".join((caller, service, key))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def split_path(path: str) -> tuple[str, str]:
    """Splits `/<service>/<path>` into the service and the path below it."""
    _, _, rest = path.partition("/")
    service, separator, below = rest.partition("/")
    if separator:
        return service, f"/{below}"
    name, separator, query = service.partition("?")
    return name, f"/?{query}" if separator else "/"


def read_number(text: str | None, default: int) -> int:
    """Returns a number of up to nine digits, or the default."""
    if text is None or not text.isascii() or not text.isdigit():
        return default
    return int(text) if len(text) <= 9 else default


def make_fingerprint(request: server.Request, path: str) -> bytes:
    """Returns a hash that detects a key reused for another request."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f"{request.method} {path}\0".encode())
    digest.update(request.body)
    return digest.digest()
