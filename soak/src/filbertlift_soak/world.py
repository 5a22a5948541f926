"""One run: hosts, store, callers, operator, and the series of steps."""

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
RATE: Final = 60.0
PROBE_S: Final = 0.1
# Newest versions whose own routes are in force.
MARKERS: Final = 3
VERSION_STEP: Final = 3
TERMS: Final = oracle.Terms(
    touch_s=3.0,
    config_s=2.5,
    drain_s=2.5,
    timeout_s=TIMEOUT_S,
    repeat_ratio=0.2,
    repeat_slack=20.0,
    repeat_window_s=10.0,
    services={
        "look": frozenset(("desk",)),
        "book": frozenset(("issue",)),
        "load": frozenset(("archive",)),
        "both": frozenset(("desk", "archive")),
        "check": frozenset(("archive",)),
    },
)
Kind = configuration.CallKind
KINDS: Final = (
    callers.Kind("look", Kind.SAFE, "w40/b300", 0, 2.0, 4.0),
    callers.Kind("look", Kind.SAFE, "w20/b300/inner", 0, 2.0, 2.0),
    callers.Kind("book", Kind.UNSAFE, "w60/b500", 900, 2.0, 3.0),
    callers.Kind("load", Kind.DOWNLOAD, "w30/b90000", 0, 2.5, 1.0),
    callers.Kind("both", Kind.SAFE, "w30/b300", 0, 2.0, 1.0),
)
CHECK: Final = callers.Kind("check", Kind.SAFE, "w10/b100", 0, 0.8, 0.0)
MARKER: Final = callers.Kind("", Kind.SAFE, "w1/b10", 0, 1.2, 0.0)
START_S: Final = 20.0
SETTLE_S: Final = 3.5
CLEAN_S: Final = 4.0
# After every fault has ended nearly all calls must be answered.
CLEAN_SHARE: Final = 0.97
STOP_S: Final = 2.0


@attrs.define(eq=False)
class World:
    """Everything of a run but its verdict.

    Attributes:
        hosts: the hosts.
        journal: what callers and targets saw.
        problems: broken promises that were noticed on the way.
    """

    reactor: Any
    folder: pathlib.Path
    seed: int
    count: int
    journal: records.Journal = attrs.field(factory=records.Journal)
    problems: list[str] = attrs.field(factory=list)
    hosts: list[deployment.Host] = attrs.field(factory=list)
    _store: stores.StoreServer = attrs.field(init=False)
    _callers: callers.Callers = attrs.field(init=False)
    _versions: Any = attrs.field(factory=lambda: itertools.count(1))
    _probe: Any = None
    _probed: int = 0

    def __attrs_post_init__(self) -> None:
        """Builds the parts; nothing is started."""
        rng = random.Random(f"world/{self.seed}")
        keys = keyspace.Keyspace(self.reactor)
        self._store = stores.StoreServer(self.reactor, keys, rng)
        picker = ports.PortPicker()
        address = picker.pick()
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
        """Carries out the steps; returns every broken promise."""
        disturber = faults.Disturber(
            self.reactor,
            self.hosts,
            self._store,
            self.journal,
            self.publish,
            self.problems,
        )
        await self._start()
        start = self.reactor.seconds()
        for step in plan:
            await self._sleep(start + step.at_s - self.reactor.seconds())
            print(step, flush=True)
            disturber.carry_out(step)
        await self._sleep(steps.LONGEST_S)
        disturber.heal()
        await self._check_recovery()
        return self.problems + oracle.find_problems(self.journal, TERMS)

    async def close(self) -> None:
        """Ends every process of the run."""
        self._stop_calls()
        for host in self.hosts:
            host.is_down = False
            host.target.crash()
        await deployment.wait_all_ended(self.hosts, STOP_S)
        self._callers.close()

    def _kill_nodes(self) -> None:
        """Leaves no node behind when the run itself is stopped."""
        for host in self.hosts:
            host.kill()

    def publish(self) -> None:
        """Writes the next version, with a route of its own."""
        now = self.reactor.seconds()
        version = next(self._versions) * VERSION_STEP
        publications = self.journal.publications
        publications.append(records.Publication(version, now))
        for old in publications[:-MARKERS]:
            if old.removed_at is None:
                old.removed_at = now
        value = documents.encode_configuration(
            version,
            [*_make_routes(), *map(_make_marker, publications[-MARKERS:])],
            SERVICES,
        )
        self._store.keys.change(
            (), [keyspace.Put(names.CONFIGURATION_KEY, value)], ()
        )

    async def _start(self) -> None:
        self.publish()
        for host in self.hosts:
            host.start()
        await self._wait_served(START_S)
        self._callers.start(KINDS, RATE)
        self._probe = task.LoopingCall(self._send_marker)
        self._probe.clock = self.reactor
        self._probe.start(PROBE_S)

    async def _wait_served(self, limit_s: float) -> bool:
        """Waits until every host answers a call of each kind."""
        until = self.reactor.seconds() + limit_s
        while self.reactor.seconds() < until:
            sent = [
                self._callers.send(origin, kind)
                for origin in self._callers.origins
                for kind in KINDS
            ]
            await self._sleep(1.0)
            if all(record.status == 200 for record in sent):
                return True
        return False

    def _stop_calls(self) -> None:
        self._callers.stop()
        if self._probe is not None and self._probe.running:
            self._probe.stop()

    async def _check_recovery(self) -> None:
        await self._sleep(SETTLE_S)
        start = self.reactor.seconds()
        self.publish()
        await self._sleep(CLEAN_S)
        self._stop_calls()
        # The verdict needs the end of every call.
        await self._sleep(
            max(kind.waits_s for kind in KINDS) + callers.PATIENCE_S
        )
        late = [
            call
            for call in self.journal.calls.values()
            if start <= call.sent_at <= start + CLEAN_S and call.marker is None
        ]
        served = sum(call.status == 200 for call in late)
        if served < CLEAN_SHARE * len(late):
            self.problems.append(
                f"recovery: {served} of {len(late)} calls were answered"
            )

    def _send_marker(self) -> None:
        """Asks one host after another for a route of a late version."""
        self._probed += 1
        origin = self._callers.origins[self._probed % len(self.hosts)]
        recent = self.journal.publications[-2 * MARKERS :]
        item = recent[self._probed % len(recent)]
        kind = attrs.evolve(MARKER, route=f"v{item.version}")
        self._callers.send(origin, kind, marker=item.version)

    def _call_inner(
        self, origin: callers.Origin, run: records.RunRecord, on_end: Any
    ) -> None:
        left_s = run.at + run.waits_s - self.reactor.seconds()
        if left_s <= 0:
            on_end(0)
            return
        kind = attrs.evolve(CHECK, waits_s=min(CHECK.waits_s, left_s))
        self._callers.send(origin, kind, lambda record: on_end(record.status))

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, max(0.0, seconds), lambda: None)


def _make_routes() -> list[configuration.Route]:
    kinds = {kind.route: kind.kind for kind in (*KINDS, CHECK)}
    return [
        _make_route(name, kinds[name], sorted(services))
        for name, services in TERMS.services.items()
    ]


def _make_marker(item: records.Publication) -> configuration.Route:
    return _make_route(f"v{item.version}", Kind.SAFE, ["desk"])


def _make_route(
    name: str, kind: configuration.CallKind, services: list[str]
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
        tuple(configuration.Share(service, 1.0) for service in services),
    )


def run_world(
    reactor: Any,
    folder: pathlib.Path,
    seed: int,
    step_count: int,
    host_count: int,
) -> "defer.Deferred[list[str]]":
    """Runs one seed; the result fires with every broken promise."""

    async def run() -> list[str]:
        plan = steps.draw_steps(random.Random(seed), step_count, host_count)
        world = World(reactor, folder, seed, host_count)
        try:
            return await world.run(plan)
        finally:
            await world.close()
            print(summarize(world.journal), flush=True)

    return defer.Deferred.fromCoroutine(run())


def summarize(journal: records.Journal) -> str:
    """Returns a line about the calls of a run."""
    calls = [c for c in journal.calls.values() if c.marker is None]
    served = sum(call.status == 200 for call in calls)
    refused = sum(call.status in oracle.PROMISES for call in calls)
    return (
        f"calls={len(calls)} served={served} refused={refused}"
        f" failed={len(calls) - served - refused} runs={len(journal.runs)}"
        f" versions={len(journal.publications)} stops={len(journal.stops)}"
        f" departures={len(journal.drains)}"
    )
