"""State machine test of an entry and its keepers.

The calls of one entry go to keepers over a network that loses links. Targets
answer, fail, refuse and close connections, in any order. The test guards
against an unsafe call that runs twice, and against an unsafe call that runs
although its caller was told that it has not run.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import announcements
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import outcomes
from filbertlift_mesh import placement
from filbertlift_mesh import reasons
from filbertlift_mesh import repeats
from filbertlift_sidecar import answers
from filbertlift_sidecar import entry as entries
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper as keepers
from filbertlift_sidecar import metrics
from filbertlift_transport import http

DIALECT = answers.TargetDialect(
    "X-Id", "X-Mark", "X-Not-Run", "X-Instance", "X-Deadline", "X-Caller"
)
PLACE = model.Place("north", "n-1")
OWN = model.Address("10.0.0.1", 7000)
KEEPERS = 3
NOT_RUN_STATUSES = (429, 503)
AttemptEnd = outcomes.AttemptEnd


class Reply:
    """Reply to one caller; keeps its status."""

    def __init__(self):
        self.status = None
        self.on_gone = None
        self.is_over = False

    def send(self, status, _headers, _body):
        assert not self.is_over
        self.status, self.is_over = status, True

    def close_after(self):
        """Does nothing, since there is no connection."""


class Pool:
    """Outstanding requests at one target, answered by the state machine."""

    def __init__(self, runs):
        self.dialect = DIALECT
        self.open = []
        self._runs = runs

    def send(self, request, events):
        self._runs.append(request.request_id)
        connection = Connection(self)
        self.open.append((request, events, connection))
        return connection

    def take(self, number):
        return self.open.pop(number % len(self.open))

    def close(self):
        """Does nothing, since there are no connections."""


class Connection:
    """Connection to a target; dropping it ends its request."""

    def __init__(self, pool):
        self._pool = pool

    def drop(self):
        self._pool.open = [x for x in self._pool.open if x[2] is not self]


class Network:
    """Carries calls to the keepers; a lost link loses the calls on it."""

    def __init__(self, clock, nodes):
        self.clock = clock
        self.nodes = nodes
        self.calls = {}
        self.number = 0

    def submit(self, address, _lane, call, on_answer, on_chunk):
        self.number += 1
        number = self.number
        self.calls[number] = [address, call, on_answer, on_chunk, None]
        self.clock.callLater(0.001, self._arrive, number)
        return number

    def cancel(self, number):
        pending = self.calls.pop(number, None)
        if pending is not None and pending[4] is not None:
            self.nodes[pending[0]].cancel(pending[4])

    def lose(self, address):
        for number, pending in list(self.calls.items()):
            if pending[0] != address:
                continue
            del self.calls[number]
            if pending[4] is not None:
                self.nodes[address].cancel(pending[4])
            end = AttemptEnd.BROKEN
            pending[2](frames.Answer(0, end, reasons.LINK_PREFIX + "lost"))

    def _arrive(self, number):
        pending = self.calls.get(number)
        if pending is None:
            return

        def answer(found):
            self.clock.callLater(0.001, self._return, number, found)

        pending[4] = self.nodes[pending[0]].submit(
            pending[1], answer, pending[3]
        )

    def _return(self, number, found):
        pending = self.calls.pop(number, None)
        if pending is not None:
            pending[2](found)


class CallMachine(stateful.RuleBasedStateMachine):
    """An entry, three keepers with one slot each, and their targets."""

    def __init__(self):
        super().__init__()
        self.clock = task.Clock()
        self.runs = []
        self.replies = {}
        self.is_unsafe = {}
        self.nodes = {}
        self.pools = {}
        self.beat_count = 0
        log = eventlog.EventLog(self.clock.seconds, lambda _data: True)
        for number in range(2, 2 + KEEPERS):
            address = model.Address(f"10.0.0.{number}", 7000)
            pool = Pool(self.runs)
            local = announcements.LocalTarget(f"t:{number}", 1.0)
            self.pools[address] = pool
            self.nodes[address] = keepers.Keeper(self.clock, local, pool, log)
        self.network = Network(self.clock, self.nodes)
        self.target_placement = placement.Placement(
            PLACE, OWN, random.Random(1)
        )
        self.entry = entries.Entry(
            self.clock,
            OWN,
            "origin",
            DIALECT,
            self.target_placement,
            repeats.RepeatBudget(repeats.RepeatPolicy()),
            None,
            self.network,
            log,
            metrics.NodeMetrics.create(),
            lambda: None,
            configuration.WeightedRoundRobin(random.Random(1)),
        )
        self.entry.put_in_force(
            configuration.Configuration.from_routes(
                1,
                [make_route("safe"), make_route("unsafe")],
                {"a": configuration.ServicePolicy("/", 9)},
                configuration.ClientLimits(),
            )
        )
        self.send_heartbeats()

    def make_record(self, address, state=directory.TargetState.READY):
        return directory.TargetRecord(f"i-{address.host}", 1, "a", 1, state)

    @stateful.rule()
    def send_heartbeats(self):
        """Every target sends a heartbeat, which is ignored once it has left."""
        self.beat_count += 1
        records = []
        for address, node in self.nodes.items():
            target = self.make_record(address)
            node.target.note_beat(
                announcements.Heartbeat(
                    target, node.target.address, self.beat_count
                ),
                self.clock.seconds(),
            )
            node.refresh_target()
            records.append(
                directory.HostRecord(
                    address, 1, 1, PLACE, False, node.target.current, True
                )
            )
        self.target_placement.update(records)

    @stateful.rule(is_unsafe=strategies.booleans())
    def call(self, is_unsafe):
        number = len(self.replies)
        request_id = f"r-{number}"
        reply = Reply()
        self.replies[request_id] = reply
        self.is_unsafe[request_id] = is_unsafe
        path = "/unsafe/1" if is_unsafe else "/safe/1"
        request = http.Request(
            "POST",
            path,
            {"host": "h", "x-id": request_id, "x-deadline": "900"},
            b"",
            OWN,
        )
        self.entry.handle(request, reply)

    @stateful.rule(seconds=strategies.sampled_from([0.001, 0.02, 0.2, 1.0]))
    def wait(self, seconds):
        for _ in range(10):
            self.clock.advance(seconds / 10)

    @stateful.rule(
        which=strategies.integers(0, 9),
        status=strategies.sampled_from([200, 404, 500, 503]),
        marks=strategies.sampled_from([("X-Mark",), ("X-Not-Run",), ()]),
    )
    def answer(self, which, status, marks):
        """A target sends a complete answer with any of the marking headers."""
        pool = list(self.pools.values())[which % KEEPERS]
        if not pool.open:
            return
        request, events, _connection = pool.take(which)
        if "X-Not-Run" in marks:
            self.runs.remove(request.request_id)
        headers = tuple((name, "1") for name in marks)
        events.on_answer(answers.TargetAnswer(status, headers, b"x", 1, False))

    @stateful.rule(which=strategies.integers(0, 9), sent=strategies.booleans())
    def break_off(self, which, sent):
        """A target's connection is lost, or could not be opened."""
        pool = list(self.pools.values())[which % KEEPERS]
        if not pool.open:
            return
        request, events, _connection = pool.take(which)
        if not sent:
            self.runs.remove(request.request_id)
        events.on_failure("lost", sent)

    @stateful.rule(which=strategies.integers(0, 9))
    def lose_link(self, which):
        self.network.lose(list(self.nodes)[which % KEEPERS])

    @stateful.rule(which=strategies.integers(0, 9))
    def leave(self, which):
        """A target sends a departure notice."""
        address = list(self.nodes)[which % KEEPERS]
        node = self.nodes[address]
        node.target.note_departure(
            announcements.Departure(f"i-{address.host}", 1), 1_000
        )
        node.refresh_target()

    @stateful.rule(which=strategies.integers(0, 9))
    def lose_caller(self, which):
        if not self.replies:
            return
        reply = list(self.replies.values())[which % len(self.replies)]
        if not reply.is_over and reply.on_gone is not None:
            reply.is_over = True
            reply.on_gone()

    @stateful.invariant()
    def unsafe_calls_run_at_most_once(self):
        for request_id, is_unsafe in self.is_unsafe.items():
            if is_unsafe:
                assert self.runs.count(request_id) <= 1

    @stateful.invariant()
    def refused_calls_have_not_run(self):
        for request_id, reply in self.replies.items():
            if self.is_unsafe[request_id] and reply.status in NOT_RUN_STATUSES:
                assert request_id not in self.runs

    def teardown(self):
        """Every call is answered by its deadline."""
        for _ in range(40):
            self.clock.advance(0.1)
        assert all(reply.is_over for reply in self.replies.values())
        assert not self.entry.flows
        self.refused_calls_have_not_run()
        self.unsafe_calls_run_at_most_once()


def make_route(kind):
    return configuration.Route(
        kind,
        "h",
        f"/{kind}/",
        configuration.CallKind(kind),
        0.8,
        0.3,
        2,
        1,
        (configuration.Share("a", 1.0),),
    )


TestCalls = CallMachine.TestCase
TestCalls.settings = hypothesis.settings(stateful_step_count=40)
