"""Routes: who may call what, and how, compiled to dicts for fast look-up."""

from collections.abc import Mapping
from typing import Final

import attrs

from filbertlift_config import exceptions
from filbertlift_config import file
from filbertlift_config import page as paging
from filbertlift_config import section as sections
from filbertlift_config import snapshot as snapshots
from filbertlift_core import model

_DEFAULT_OPERATION: Final = sections.Operation("", "")


@attrs.frozen
class Route:
    """How to run one call.

    Attributes:
        service: service that has the records now.
        operation: path of the matching operation; empty for the defaults.
        work_class: class of work.
        idempotent: whether running the call twice does no harm.
        deadline_s: seconds that the caller waits by default.
        retries: further attempts after the first.
        hedge: whether a slow call is sent to a second target.
        max_age_s: age in seconds from which the version is stale.
        refuse_stale: whether calls are refused under a stale version.
        version: version in which the route last changed; the route is the same
            in all versions from this one to the version of the table.
    """

    service: str
    operation: str
    work_class: model.WorkClass
    idempotent: bool
    deadline_s: float
    retries: int
    hedge: bool
    max_age_s: float
    refuse_stale: bool
    version: int


@attrs.frozen
class ServicePolicy:
    """Limits of each target of a service.

    Attributes:
        slots: concurrent calls of a target.
        connections: connections of a target.
        queue: calls that can be queued for a target.
    """

    slots: int
    connections: int
    queue: int


@attrs.frozen
class _CompiledService:
    """One service, compiled for look-ups.

    Attributes:
        entry: hash and version of the section that it was compiled from.
        callers: names of the services and callers that may call it.
        records: service that has the records now, by path.
        record_depth: number of segments of the longest path in `records`.
        routes: route by method and path.
        route_depth: number of segments of the longest path in `routes`.
        default: route of calls that match no operation.
        policy: limits of a target.
    """

    entry: paging.Entry
    callers: frozenset[str]
    records: Mapping[str, str]
    record_depth: int
    routes: Mapping[tuple[str, str], Route]
    route_depth: int
    default: Route
    policy: ServicePolicy


@attrs.frozen(eq=False)
class RoutingTable:
    """All routes of one version.

    Attributes:
        version: the version that the table was compiled from.
    """

    version: int
    _services: Mapping[str, _CompiledService]

    def find(self, service: str, method: str, path: str, caller: str) -> Route:
        """Returns the route of a call.

        Args:
            service: service that the caller named.
            method: HTTP method.
            path: path below the service, without a query.
            caller: verified name of the caller.

        Raises:
            UnknownServiceError: if the version has no such service.
            CallerRefusedError: if the service that has the records now does
                not list the caller.
        """
        found = self._services.get(service)
        if found is None:
            raise exceptions.UnknownServiceError(f"no service {service!r}")
        since = found.default.version
        if found.record_depth:
            found, since = self._follow_records(found, path, since)
        if caller not in found.callers:
            raise exceptions.CallerRefusedError(
                f"{found.default.service} does not list {caller!r}"
            )
        route = _find_route(found, method, path)
        if since <= route.version:
            return route
        return attrs.evolve(route, version=since)

    def service_policy(self, service: str) -> ServicePolicy:
        """Returns the limits of a target of the service.

        Raises:
            UnknownServiceError: if the version has no such service.
        """
        found = self._services.get(service)
        if found is None:
            raise exceptions.UnknownServiceError(f"no service {service!r}")
        return found.policy

    def has_service(self, service: str) -> bool:
        """Returns whether the version has the service."""
        return service in self._services

    def _follow_records(
        self, found: _CompiledService, path: str, since: int
    ) -> tuple[_CompiledService, int]:
        """Returns the service that has the path now and since which version."""
        for _ in range(file.MAX_HAND_OVERS):
            moved_to = _find_moved_to(found, path)
            if moved_to is None:
                return found, since
            # The service exists, since the snapshot was verified.
            found = self._services[moved_to]
            since = max(since, found.default.version)
        if _find_moved_to(found, path) is None:
            return found, since
        raise exceptions.RouteError("too many hand-overs in a row")


def _find_moved_to(found: _CompiledService, path: str) -> str | None:
    if not found.record_depth:
        return None
    for prefix in list_prefixes(path, found.record_depth):
        moved_to = found.records.get(prefix)
        if moved_to is not None:
            return moved_to
    return None


def _find_route(found: _CompiledService, method: str, path: str) -> Route:
    if not found.routes:
        return found.default
    for prefix in list_prefixes(path, found.route_depth):
        route = found.routes.get((method, prefix))
        if route is not None:
            return route
    return found.default


def list_prefixes(path: str, depth: int) -> list[str]:
    """Returns the prefixes of a path in whole segments, longest first.

    Args:
        path: path that starts with a slash.
        depth: number of segments of the longest prefix.
    """
    parts = path.split("/", depth + 1)[1 : depth + 1]
    prefixes = ["/"]
    prefix = ""
    for part in parts:
        prefix = f"{prefix}/{part}"
        prefixes.append(prefix)
    prefixes.reverse()
    return prefixes


def compile_routes(
    snapshot: snapshots.Snapshot, previous: RoutingTable | None = None
) -> RoutingTable:
    """Returns the routes of a version.

    Args:
        snapshot: a verified version.
        previous: the table of an older version; its compiled services are
            reused if they have not changed.
    """
    older = previous._services if previous is not None else {}
    services = {}
    for page in snapshot.pages:
        for name, entry in page.list_live().items():
            section = snapshot.sections[name]
            if section.kind != "service":
                continue
            known = older.get(name)
            if known is not None and known.entry == entry:
                services[name] = known
                continue
            services[name] = _compile_service(section, entry)
    return RoutingTable(snapshot.version, services)


def _compile_service(
    section: sections.Section, entry: paging.Entry
) -> _CompiledService:
    version = entry.version
    return _CompiledService(
        entry=entry,
        callers=frozenset(section.callers),
        records={item.path: item.moved_to for item in section.records},
        record_depth=_measure_depth([item.path for item in section.records]),
        routes={
            (item.method, item.path): _make_route(section, item, version)
            for item in section.operations
        },
        route_depth=_measure_depth([item.path for item in section.operations]),
        default=_make_route(section, _DEFAULT_OPERATION, version),
        policy=ServicePolicy(section.slots, section.connections, section.queue),
    )


def _measure_depth(paths: list[str]) -> int:
    return max((path.count("/") for path in paths), default=0)


def _make_route(
    section: sections.Section, operation: sections.Operation, version: int
) -> Route:
    return Route(
        service=section.name,
        operation=operation.path,
        work_class=operation.work_class,
        idempotent=operation.idempotent,
        deadline_s=operation.deadline_ms / 1_000,
        retries=operation.retries,
        hedge=operation.hedge,
        max_age_s=section.freshness.max_age_ms / 1_000,
        refuse_stale=section.freshness.when_stale == "refuse",
        version=version,
    )
