"""Configurations: routes, services and limits of clients.

Routes are found by host name and path prefix and lead to weighted services; the
routes of `filbertlift_config.routes` are found by service and operation and
also check the caller.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random
from typing import Final

import attrs

from filbertlift_mesh import exceptions
from filbertlift_mesh import tenants as organisations

# Number of positions at which the round robin of a route may start. Weights in
# whole percent repeat within half of it.
MAX_SKIPPED_CALLS: Final = 200


class CallKind(enum.Enum):
    """Kind of the calls of a route.

    Calls of all kinds but `UNSAFE` are idempotent. Answers to `DOWNLOAD` calls
    are large.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


@attrs.frozen
class Share:
    """A service of a route and its weight among the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Handling of the calls with one host name and path prefix.

    Attributes:
        name: name of the route, for logs.
        hostname: value of the Host header, without a port.
        prefix: path prefix; begins and ends with a slash.
        kind: kind of the calls.
        timeout_s: longest time that a caller waits for an answer, in seconds.
        objective_s: time within which an answer has its full value, in seconds.
        max_attempts: highest number of targets that one call is sent to.
        priority: rank of the calls; 0 is the highest.
        shares: the services that calls are distributed over.
        is_public: whether its calls need no key.
    """

    name: str
    hostname: str
    prefix: str
    kind: CallKind
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    shares: tuple[Share, ...]
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is not CallKind.UNSAFE

    @property
    def work_class(self) -> str:
        """Name shared by routes whose calls should take similar times."""
        return f"{self.kind.value}-{self.objective_s:g}-{self.priority}"


@attrs.frozen
class ServicePolicy:
    """Settings of a service.

    Attributes:
        health_path: path of the health check of its targets.
        max_connections: highest number of connections that a target accepts.
    """

    health_path: str
    max_connections: int


@attrs.frozen
class ClientLimits:
    """Limits for requests of clients; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Configuration:
    """One complete and validated version of the configuration.

    Attributes:
        version: number of the version; a later version has a greater number.
        routes: routes by host name in lower case, then by prefix.
        services: services by name.
        limits: limits for requests of clients.
        tenants: organisations; None if calls need no keys. Without any entry,
            every key is unknown.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, ServicePolicy]
    limits: ClientLimits
    tenants: organisations.Tenants | None = None

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServicePolicy],
        limits: ClientLimits,
        tenants: organisations.Tenants | None = None,
    ) -> "Configuration":
        """Returns a validated configuration.

        Raises:
            ConfigurationError: if a route is invalid; names the first one.
        """
        table: dict[str, dict[str, Route]] = {}
        for route in routes:
            _check_route(route, services)
            prefixes = table.setdefault(route.hostname.lower(), {})
            if route.prefix in prefixes:
                raise exceptions.ConfigurationError(
                    f"routes {prefixes[route.prefix].name} and {route.name}"
                    " have the same host name and prefix"
                )
            prefixes[route.prefix] = route
        return cls(version, table, services, limits, tenants)

    def list_route_names(self) -> set[str]:
        """Returns the names of all routes."""
        return {
            route.name
            for prefixes in self.routes.values()
            for route in prefixes.values()
        }

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        prefixes = self.routes.get(hostname.lower())
        if prefixes is None:
            return None
        bare = path.partition("?")[0]
        end = bare.rfind("/")
        while end >= 0:
            route = prefixes.get(bare[: end + 1])
            if route is not None:
                return route
            end = bare.rfind("/", 0, end)
        return None


def _check_route(route: Route, services: Mapping[str, ServicePolicy]) -> None:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise exceptions.ConfigurationError(
            f"route {route.name}: prefix {route.prefix!r} does not begin and"
            " end with a slash"
        )
    if route.timeout_s <= 0 or route.max_attempts < 1:
        raise exceptions.ConfigurationError(
            f"route {route.name}: timeout or number of attempts is not positive"
        )
    if not any(share.weight > 0 for share in route.shares):
        raise exceptions.ConfigurationError(
            f"route {route.name}: no service has a positive weight"
        )
    for share in route.shares:
        if share.service not in services:
            raise exceptions.ConfigurationError(
                f"route {route.name}: unknown service {share.service!r}"
            )


@attrs.define(eq=False)
class _Rotation:
    """Round robin over one list of weighted services.

    Attributes:
        shares: the services and their weights, in the units of `balances`.
        balances: weight that each service is due, by its name.
    """

    shares: tuple[Share, ...]
    balances: dict[str, float]

    @classmethod
    def from_shares(cls, shares: tuple[Share, ...]) -> "_Rotation":
        """Returns a rotation at its beginning."""
        return cls(
            shares,
            {share.service: 0.0 for share in shares if share.weight > 0},
        )

    def choose_service(self) -> str:
        """Returns the next service; one without weight is never chosen."""
        balances = self.balances
        total = 0.0
        for share in self.shares:
            if share.weight > 0:
                balances[share.service] += share.weight
                total += share.weight
        service = max(balances, key=balances.__getitem__)
        balances[service] -= total
        return service


@attrs.define(eq=False)
class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route.

    A few consecutive calls already match the weights closely, while a random
    choice needs hundreds of calls for that. A route whose services or weights
    change starts over, since balances in the old weights mean nothing in the
    new ones.

    Attributes:
        rng: source of the position at which a route starts. If all nodes
            started at the same one, their first calls would all go to the
            service with the greatest weight.
    """

    rng: random.Random
    _rotations: dict[str, _Rotation] = attrs.field(factory=dict)

    def choose_service(self, route: Route) -> str:
        """Returns the service of the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        rotation = self._rotations.get(route.name)
        if rotation is None or rotation.shares != route.shares:
            rotation = _Rotation.from_shares(route.shares)
            for _ in range(self.rng.randrange(MAX_SKIPPED_CALLS)):
                rotation.choose_service()
            self._rotations[route.name] = rotation
        return rotation.choose_service()

    def peek_service(self, route: Route) -> str | None:
        """Returns the service of the next call without counting it.

        It is None before the first call of the route, whose service is random.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        rotation = self._rotations.get(route.name)
        if rotation is None or rotation.shares != route.shares:
            return None
        copied = attrs.evolve(rotation, balances=dict(rotation.balances))
        return copied.choose_service()

    def drop_other_routes(self, names: Collection[str]) -> None:
        """Drops the balances of routes that are not among these."""
        for name in self._rotations.keys() - set(names):
            del self._rotations[name]
