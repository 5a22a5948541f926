"""One run: hosts, store, callers, operator and the series of steps."""

import itertools
import pathlib
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import model
from filbertlift_harness import ports
from filbertlift_mesh import configuration
from filbertlift_platform import names
from filbertlift_platform_fakes import documents
from filbertlift_platform_fakes import store as stores
from filbertlift_soak import callers
from filbertlift_soak import deployment
from filbertlift_soak import faults
from filbertlift_soak import oracle
from filbertlift_soak import records
from filbertlift_soak import steps
from filbertlift_soak import target as targets
from filbertlift_standins import keyspace
from filbertlift_standins import web

SERVICES: Final = ("desk", "issue", "archive")
# Routes are found by the host name under which callers reach the nodes.
HOSTNAME: Final = ports.HOST
TIMEOUT_S: Final = 1.5
CALLS_PER_S: Final = 60.0
MARKER_INTERVAL_S: Final = 0.1
# Each version adds a marker route of its own, which shows whether the version
# is in force. Only this many of the newest versions have marker routes.
MARKER_ROUTES: Final = 3
VERSION_STEP: Final = 3
GUARANTEES: Final = oracle.Guarantees(
    startup_s=deployment.STARTUP_S,
    recovery_s=3.0,
    config_s=2.5,
    drain_s=2.5,
    timeout_s=TIMEOUT_S,
    repeat_ratio=0.2,
    repeat_slack=20.0,
    repeat_window_s=10.0,
    grace_s=deployment.GRACE_S,
    split_route="both",
    services={
        "look": frozenset(("desk",)),
        "book": frozenset(("issue",)),
        "load": frozenset(("archive",)),
        "both": frozenset(("desk", "archive")),
        "check": frozenset(("archive",)),
    },
)
Kind = configuration.CallKind
# Weights of the split route, for its services in alphabetical order.
EVEN_WEIGHTS: Final = (1.0, 1.0)
TEMPLATES: Final = (
    callers.CallTemplate("look", Kind.SAFE, "w40/b300", 0, 2.0, 4.0),
    callers.CallTemplate("look", Kind.SAFE, "w20/b300/inner", 0, 2.0, 2.0),
    callers.CallTemplate("book", Kind.UNSAFE, "w60/b500", 900, 2.0, 3.0),
    callers.CallTemplate("load", Kind.DOWNLOAD, "w30/b90000", 0, 2.5, 1.0),
    callers.CallTemplate("both", Kind.SAFE, "w30/b300", 0, 2.0, 1.0),
)
CHECK: Final = callers.CallTemplate("check", Kind.SAFE, "w10/b100", 0, 0.8, 0.0)
MARKER: Final = callers.CallTemplate("", Kind.SAFE, "w1/b10", 0, 1.2, 0.0)
START_TIMEOUT_S: Final = 20.0
SETTLING_TIME_S: Final = 3.5
RECOVERY_CHECK_S: Final = 4.0
# Time after which targets that leave have ended in any case, in seconds.
MAX_LEAVING_S: Final = 12.0
# Least share of the calls that must succeed after all faults have ended.
MIN_SERVED_SHARE: Final = 0.97
STOP_TIMEOUT_S: Final = 2.0
# Interval at which the run checks that its own reactor turns, and the delay
# that counts as a disturbance of all hosts, in seconds. Callers, targets and
# the store run in this process: a call that it has recorded, but not sent yet,
# looks late at its node.
STALL_CHECK_S: Final = 0.1
MAX_STALL_S: Final = 0.3


@attrs.define(eq=False)
class World:
    """The parts of a run.

    Attributes:
        folder: folder of settings and logs.
        seed: seed of all random choices but the steps.
        count: number of hosts.
        journal: records of callers and targets.
        problems: broken guarantees that were found during the run.
        hosts: the hosts.
    """

    reactor: Any
    folder: pathlib.Path
    seed: int
    count: int
    journal: records.Journal = attrs.field(factory=records.Journal)
    problems: list[str] = attrs.field(factory=list)
    hosts: list[deployment.Host] = attrs.field(factory=list)
    # Reserves the ports as long as it exists: those of a target that crashed or
    # a node that was killed are free for a while, and other runs may pick them.
    _picker: ports.PortPicker = attrs.field(factory=ports.PortPicker)
    _store: stores.StoreServer = attrs.field(init=False)
    _callers: callers.Callers = attrs.field(init=False)
    _publication_numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    _marker_calls: Any = None
    _stall_check: Any = None
    _checked_at: float = 0.0
    _markers_sent: int = 0
    _weights: tuple[float, ...] = EVEN_WEIGHTS
    _published: bytes = b""

    def __attrs_post_init__(self) -> None:
        """Builds the parts; nothing is started."""
        rng = random.Random(f"world/{self.seed}")
        keys = keyspace.Keyspace(self.reactor)
        self._store = stores.StoreServer(self.reactor, keys, rng)
        address = self._picker.pick()
        web.listen(self.reactor, address, web.Server(self._store.handle))

        def make_target(
            spec: targets.TargetSpec, outbound: model.Address
        ) -> targets.Target:
            origin = callers.Origin(spec.host, spec.service, outbound)

            def call_inner(run: records.RunRecord, on_end: Any) -> None:
                self._call_inner(origin, run, on_end)

            return targets.Target(
                self.reactor, spec, self.journal, rng, call_inner
            )

        self.hosts = deployment.make_hosts(
            self.reactor,
            self.folder,
            list(SERVICES),
            self.count,
            address,
            self.journal,
            make_target,
            self._picker,
        )
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", self._kill_nodes
        )
        self._callers = callers.Callers(
            self.reactor,
            self.journal,
            [
                callers.Origin(
                    host.name, host.service, host.addresses["outbound"]
                )
                for host in self.hosts
            ],
            rng,
        )

    async def run(self, plan: list[steps.Step]) -> list[str]:
        """Carries out the steps; returns one line for each broken guarantee."""
        injector = faults.FaultInjector(
            self.reactor,
            self.hosts,
            self._store,
            self.journal,
            self.publish,
            self.problems,
            random.Random(f"writer/{self.seed}"),
            self.publish_weights,
            self.publish_again,
        )
        await self._start()
        start = self.reactor.seconds()
        self._start_stall_check()
        for step in plan:
            await self._sleep(start + step.at_s - self.reactor.seconds())
            print(step, flush=True)
            injector.start_step(step)
        await self._sleep(steps.MAX_DURATION_S)
        injector.end_faults()
        await self._check_recovery()
        return self.problems + oracle.find_problems(self.journal, GUARANTEES)

    async def close(self) -> None:
        """Ends every process of the run."""
        self._stop_calls()
        if self._stall_check is not None:
            self._stall_check.stop()
        for host in self.hosts:
            host.is_down = False
            host.target.crash()
        await deployment.stop_all(self.hosts, STOP_TIMEOUT_S)
        self._callers.close()
        self._picker.close()

    def _start_stall_check(self) -> None:
        self._checked_at = self.reactor.seconds()
        self._stall_check = task.LoopingCall(self._check_stall)
        self._stall_check.clock = self.reactor
        self._stall_check.start(STALL_CHECK_S, now=False)

    def _check_stall(self) -> None:
        """Records for how long this process itself did not run."""
        now = self.reactor.seconds()
        since, self._checked_at = self._checked_at, now
        stalled_s = now - since - STALL_CHECK_S
        if stalled_s > MAX_STALL_S:
            print(f"stall: {stalled_s:.2f} s before {now:.2f}", flush=True)
            self.journal.disturbances.append(records.Interval("", since, now))

    def _kill_nodes(self) -> None:
        """Kills the nodes when the run itself is stopped."""
        for host in self.hosts:
            host.process.on_exit = None
            host.kill()

    def publish_weights(self, weights: tuple[float, ...]) -> None:
        """Publishes a version with other weights of the split route."""
        self._weights = weights
        self.publish()

    def publish(self) -> None:
        """Publishes the next version, with a marker route of its own."""
        now = self.reactor.seconds()
        version = next(self._publication_numbers) * VERSION_STEP
        publications = self.journal.publications
        services = sorted(GUARANTEES.services[GUARANTEES.split_route])
        unweighted = [
            service
            for service, weight in zip(services, self._weights, strict=True)
            if not weight
        ]
        publications.append(
            records.Publication(version, now, None, "".join(unweighted))
        )
        for old in publications[:-MARKER_ROUTES]:
            if old.removed_at is None:
                old.removed_at = now
        value = documents.encode_configuration(
            version,
            [
                *_make_routes(self._weights),
                *map(_make_marker_route, publications[-MARKER_ROUTES:]),
            ],
            SERVICES,
        )
        self._published = value
        self.publish_again()

    def publish_again(self) -> None:
        """Writes the newest version, which the store may have lost."""
        put = keyspace.Put(names.CONFIGURATION_KEY, self._published)
        self._store.keys.change((), [put], ())

    async def _start(self) -> None:
        self.publish()
        for host in self.hosts:
            host.start()
        await self._wait_until_served(START_TIMEOUT_S)
        self._callers.start(TEMPLATES, CALLS_PER_S)
        self._marker_calls = task.LoopingCall(self._send_marker)
        self._marker_calls.clock = self.reactor
        self._marker_calls.start(MARKER_INTERVAL_S)

    async def _wait_until_served(self, limit_s: float) -> bool:
        """Waits until every host answers a call of each template."""
        until = self.reactor.seconds() + limit_s
        while self.reactor.seconds() < until:
            sent = [
                self._callers.send(origin, template)
                for origin in self._callers.origins
                for template in TEMPLATES
            ]
            await self._sleep(1.0)
            if all(record.status == 200 for record in sent):
                return True
        return False

    def _stop_calls(self) -> None:
        self._callers.stop()
        if self._marker_calls is not None and self._marker_calls.running:
            self._marker_calls.stop()

    async def _wait_for_targets(self) -> None:
        """Waits until a successor runs in place of each target that leaves."""
        until = self.reactor.seconds() + MAX_LEAVING_S
        while self.reactor.seconds() < until:
            if all(host.target.is_ready for host in self.hosts):
                return
            await self._sleep(STALL_CHECK_S)

    async def _check_recovery(self) -> None:
        await self._wait_for_targets()
        await self._sleep(SETTLING_TIME_S)
        start = self.reactor.seconds()
        self.publish_weights(EVEN_WEIGHTS)
        await self._sleep(RECOVERY_CHECK_S)
        self._stop_calls()
        # The checks need the end of every call.
        await self._sleep(
            max(template.timeout_s for template in TEMPLATES)
            + callers.CALLER_GRACE_S
        )
        calls = [
            call
            for call in self.journal.calls.values()
            if start <= call.sent_at <= start + RECOVERY_CHECK_S
            and call.marker is None
        ]
        served = sum(call.status == 200 for call in calls)
        if served < MIN_SERVED_SHARE * len(calls):
            self.problems.append(
                f"recovery: {served} of {len(calls)} calls were answered"
            )

    def _send_marker(self) -> None:
        """Calls the marker route of a recent version at the next host."""
        self._markers_sent += 1
        origin = self._callers.origins[self._markers_sent % len(self.hosts)]
        recent = self.journal.publications[-2 * MARKER_ROUTES :]
        item = recent[self._markers_sent % len(recent)]
        template = attrs.evolve(MARKER, route=f"v{item.version}")
        self._callers.send(origin, template, marker=item.version)

    def _call_inner(
        self, origin: callers.Origin, run: records.RunRecord, on_end: Any
    ) -> None:
        left_s = run.at + run.timeout_s - self.reactor.seconds()
        if left_s <= 0:
            on_end(0)
            return
        template = attrs.evolve(CHECK, timeout_s=min(CHECK.timeout_s, left_s))
        self._callers.send(
            origin, template, lambda record: on_end(record.status)
        )

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, max(0.0, seconds), lambda: None)


def _make_routes(
    split_weights: tuple[float, ...],
) -> list[configuration.Route]:
    kinds = {template.route: template.kind for template in (*TEMPLATES, CHECK)}
    return [
        _make_route(
            name,
            kinds[name],
            sorted(services),
            split_weights if name == GUARANTEES.split_route else (1.0,),
        )
        for name, services in GUARANTEES.services.items()
    ]


def _make_marker_route(item: records.Publication) -> configuration.Route:
    return _make_route(f"v{item.version}", Kind.SAFE, ["desk"], (1.0,))


def _make_route(
    name: str,
    kind: configuration.CallKind,
    services: list[str],
    weights: tuple[float, ...],
) -> configuration.Route:
    return configuration.Route(
        name,
        HOSTNAME,
        f"/{name}/",
        kind,
        TIMEOUT_S,
        0.5,
        2,
        0 if name == "check" else 1,
        tuple(map(configuration.Share, services, weights)),
    )


def run_world(
    reactor: Any,
    folder: pathlib.Path,
    seed: int,
    step_count: int,
    odd_count: int,
    host_count: int,
    late_count: int,
    roll_count: int = 0,
    forget_count: int = 0,
    restore_count: int = 0,
) -> "defer.Deferred[list[str]]":
    """Runs one seed; the result has one line for each broken guarantee."""

    async def run() -> list[str]:
        plan = steps.draw_steps(
            random.Random(seed),
            step_count,
            odd_count,
            host_count,
            late_count,
            roll_count,
            forget_count,
            restore_count,
        )
        world = World(reactor, folder, seed, host_count)
        try:
            return await world.run(plan)
        finally:
            await world.close()
            print(summarise(world.journal), flush=True)

    return defer.Deferred.fromCoroutine(run())


def summarise(journal: records.Journal) -> str:
    """Returns one line with the totals of a run."""
    calls = [c for c in journal.calls.values() if c.marker is None]
    served = sum(call.status == 200 for call in calls)
    refused = sum(call.status in oracle.NOT_RUN_STATUSES for call in calls)
    return (
        f"calls={len(calls)} served={served} refused={refused}"
        f" failed={len(calls) - served - refused} runs={len(journal.runs)}"
        f" versions={len(journal.publications)} stops={len(journal.stops)}"
        f" departures={len(journal.departures)}"
    )
