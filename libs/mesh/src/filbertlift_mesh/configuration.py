"""The configuration in force: routes, services and limits of clients."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import attrs

from filbertlift_mesh import exceptions


class CallKind(enum.Enum):
    """What may be done with a call of a route."""

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
    """Where calls of one host name and path prefix go.

    Attributes:
        name: name of the route, for logs.
        hostname: value of the Host header, without a port.
        prefix: begins and ends with a slash.
        kind: whether a call may run more than once.
        timeout_s: longest time that a caller is kept waiting, in seconds.
        objective_s: time within which an answer has its full value, in seconds.
        max_attempts: targets that one call may be sent to.
        priority: rank of the call; 0 is the highest.
        shares: the services that calls are distributed over.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is not CallKind.UNSAFE

    @property
    def work_class(self) -> str:
        """Calls with the same text are expected to take similar times."""
        return f"{self.kind.value}-{self.objective_s:g}-{self.priority}"


@attrs.frozen
class ServicePolicy:
    """What the operator says of a service.

    Attributes:
        health_path: path of the health check of its targets.
        max_connections: connections that one target accepts.
    """

    health_path: str
    max_connections: int


@attrs.frozen
class ClientLimits:
    """What a client may send; sizes in bytes, times in seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Configuration:
    """One version, complete and checked.

    Attributes:
        version: number of the version; a later one is greater.
        routes: by host name and prefix.
        services: by name.
        limits: limits of clients.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, ServicePolicy]
    limits: ClientLimits

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServicePolicy],
        limits: ClientLimits,
    ) -> "Configuration":
        """Returns a checked configuration.

        Raises:
            ConfigurationError: names the first route that cannot be used.
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
        return cls(version, table, services, limits)

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        prefixes = self.routes.get(hostname.lower())
        if prefixes is None:
            return None
        plain = path.partition("?")[0]
        end = plain.rfind("/")
        while end >= 0:
            route = prefixes.get(plain[: end + 1])
            if route is not None:
                return route
            end = plain.rfind("/", 0, end)
        return None


def _check_route(route: Route, services: Mapping[str, ServicePolicy]) -> None:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise exceptions.ConfigurationError(
            f"route {route.name}: prefix {route.prefix!r} lacks a slash"
        )
    if route.timeout_s <= 0 or route.max_attempts < 1:
        raise exceptions.ConfigurationError(
            f"route {route.name}: no timeout or no attempt"
        )
    if not any(share.weight > 0 for share in route.shares):
        raise exceptions.ConfigurationError(
            f"route {route.name}: no service has a weight"
        )
    for share in route.shares:
        if share.service not in services:
            raise exceptions.ConfigurationError(
                f"route {route.name}: unknown service {share.service!r}"
            )


@attrs.define(eq=False)
class SplitCounter:
    """Smooth weighted round robin over the services of each route.

    Any few calls in a row come close to the weights, which a random draw
    reaches only over hundreds of calls.
    """

    _credits: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def choose_service(self, route: Route) -> str:
        """Returns the service of the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        standing = self._credits.get(route.name)
        if standing is None or len(standing) != len(route.shares):
            standing = {share.service: 0.0 for share in route.shares}
            self._credits[route.name] = standing
        total = 0.0
        for share in route.shares:
            standing[share.service] = (
                standing.get(share.service, 0.0) + share.weight
            )
            total += share.weight
        service = max(
            (share.service for share in route.shares),
            key=lambda name: standing[name],
        )
        standing[service] -= total
        return service

    def keep_routes(self, configuration: Configuration) -> None:
        """Forgets the counters of routes whose services changed."""
        shares = {
            route.name: {share.service for share in route.shares}
            for prefixes in configuration.routes.values()
            for route in prefixes.values()
        }
        for name, standing in list(self._credits.items()):
            if shares.get(name) != set(standing):
                del self._credits[name]
