"""Stateful test of keeper, admission and outcomes against an oracle.

Guards against calls that run twice and against answers with a wrong outcome.
Two entries call two hosts over links that delay, reorder, duplicate and lose
frames, and any process may restart at any time.
"""

from collections.abc import Callable
import functools
import math
from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from filbertlift_calls import admission
from filbertlift_calls import attempts
from filbertlift_calls import codes
from filbertlift_calls import keeper
from filbertlift_calls import outcomes
from filbertlift_calls import progress
from filbertlift_calls import records
from filbertlift_calls import tickets
from filbertlift_core import model

NOT_RUN = model.Outcome.NOT_RUN
ANY = st.integers(0, 1_000)
PAIR = st.integers(0, 1)


@attrs.define(eq=False)
class Request:
    """One request of a caller at its entry."""

    call: progress.Progress
    client_attempt: int
    work: model.WorkClass
    entry: int
    host: int


Asker = tuple[Request, int]


@attrs.define(eq=False)
class Work:
    """One call that was sent to the target."""

    call_id: str
    attempt: int
    fingerprint: int
    idempotent: bool
    ran: bool = False


@attrs.define(eq=False)
class Host:
    """A node with its keeper and the target beside it."""

    index: int
    incarnation: int
    keeper: keeper.Keeper
    admission: admission.Admission
    heads: dict[str, records.CallHead] = attrs.field(factory=dict)
    askers: dict[str, list[Asker]] = attrs.field(factory=dict)
    started: dict[str, tickets.Ticket] = attrs.field(factory=dict)
    waiting: dict[str, tickets.Ticket] = attrs.field(factory=dict)
    work: dict[str, Work] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Frame:
    """A message in transit; it is lost if the receiving process restarts."""

    sent_at: float
    is_live: Callable[[], bool]
    deliver: Callable[[], None]


class Oracle:
    """Records runs at the targets and checks the answers about them."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}
        self.ran: set[tuple[str, int]] = set()
        self.not_run_up_to: dict[tuple[str, int], float] = {}

    def run(self, work: Work) -> None:
        runs = self.runs[work.call_id] = self.runs.get(work.call_id, 0) + 1
        assert work.idempotent or runs == 1, "ran twice"
        request = (work.call_id, work.fingerprint)
        not_run_up_to = self.not_run_up_to.get(request, 0)
        assert work.attempt > not_run_up_to, "ran after NOT_RUN was answered"
        self.ran.add(request)

    def record_answer(self, request: Request, answer: outcomes.Answer) -> None:
        key = (request.call.call_id, request.call.fingerprint)
        if answer.outcome is model.Outcome.DONE:
            assert key in self.ran, "answered DONE, but it did not run"
        if answer.outcome is not NOT_RUN:
            return
        assert key not in self.ran, "answered NOT_RUN, but it ran"
        last = request.client_attempt if request.call.keyed else 1e9
        self.not_run_up_to[key] = max(self.not_run_up_to.get(key, 0), last)


class CallMachine(stateful.RuleBasedStateMachine):
    """Entries, links, hosts and targets; see the module docstring."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.serial = 0
        self.oracle = Oracle()
        self.frames: list[Frame] = []
        self.requests: list[Request] = []
        self.keyed: list[Request] = []
        self.orphans: list[Work] = []
        self.hosts = [self.make_host(0), self.make_host(1)]

    def make_host(self, index: int) -> Host:
        self.serial += 1
        return Host(
            index,
            self.serial,
            keeper.Keeper.create(self.serial),
            admission.make_priority_admission(index + 1, queue_limit=3),
        )

    def clock(self, host: Host) -> float:
        """Returns the time at a host; node clocks are not synchronised."""
        return self.now + 1_000.0 * host.index

    # Entry.

    def call_new(self, request: Request) -> None:
        self.requests.append(request)
        if request.call.keyed:
            self.keyed.append(request)
        self.send_call(request)

    def send_call(self, request: Request) -> None:
        host = self.hosts[request.host]
        deadline = request.call.deadline + 1_000.0 * host.index
        head = request.call.send(host.incarnation, deadline, self.now)
        self.send_to_host(host, lambda: self.take_call(host, head, request))

    def send_to_host(self, host: Host, deliver: Callable[[], None]) -> None:
        self.frames.append(
            Frame(self.now, lambda: self.hosts[host.index] is host, deliver)
        )

    def reply(self, asker: Asker, attempt: outcomes.Attempt) -> None:
        request, number = asker

        def deliver() -> None:
            if request.call.attempt == number:
                self.end_attempt(request, attempt)

        self.frames.append(
            Frame(self.now, lambda: request in self.requests, deliver)
        )

    def end_attempt(self, request: Request, attempt: outcomes.Attempt) -> None:
        if request not in self.requests:
            return
        decision = request.call.end_attempt(attempt, True, self.now)
        if isinstance(decision, outcomes.Answer):
            self.requests.remove(request)
            self.oracle.record_answer(request, decision)
        elif isinstance(decision, outcomes.SettleFirst):
            self.send_settle(request)
        elif isinstance(decision, outcomes.RetryElsewhere):
            request.host = 1 - request.host
            self.send_call(request)

    def send_settle(self, request: Request) -> None:
        """Sends an inquiry over a new link, which may reach a new process."""
        host = self.hosts[request.host]
        asker = (request, request.call.attempt)

        def deliver() -> None:
            settlement = host.keeper.settle(inquiry, self.clock(host))
            attempt = attempts.read_settlement(settlement)
            if attempt is None:
                host.askers[inquiry.call_id].append(asker)
                return
            self.check_answer(request, settlement.answer)
            self.reply(asker, attempt)

        inquiry = request.call.make_inquiry(self.now)
        self.send_to_host(host, deliver)

    # Host.

    def take_call(
        self, host: Host, head: records.CallHead, request: Request
    ) -> None:
        asker = (request, head.attempt)
        now = self.clock(host)
        result = host.keeper.begin(head, now)
        if isinstance(result, records.Refused):
            self.reply(asker, attempts.read_refusal(result))
        elif isinstance(result, records.Repeat):
            if result.state is records.CallState.FINISHED:
                self.reply_finished(asker, result.outcome, result.answer)
            else:
                host.askers[head.call_id].append(asker)
        else:
            host.heads[head.call_id] = head
            host.askers[head.call_id] = [asker]
            ticket = tickets.Ticket(
                head.call_id, "c", request.work, head.deadline
            )
            self.admit(host, host.admission.offer(ticket, now))

    def reply_finished(
        self, asker: Asker, outcome: Any, answer: records.KeptAnswer | None
    ) -> None:
        self.check_answer(asker[0], answer)
        self.reply(asker, attempts.read_finished(outcome, answer))

    def check_answer(
        self, request: Request, answer: records.KeptAnswer | None
    ) -> None:
        expected = f"{request.call.call_id}/{request.call.fingerprint}".encode()
        is_own = answer is None or answer.body == expected
        assert is_own, "answered with the answer of another call"

    def admit(self, host: Host, result: Any) -> None:
        ticket = result.ticket
        call_id = ticket.call_id
        if isinstance(result, tickets.Queued):
            host.waiting[call_id] = ticket
            return
        host.waiting.pop(call_id, None)
        if isinstance(result, tickets.Start):
            self.check_start(host, ticket)
            host.keeper.start(call_id)
            host.started[call_id] = ticket
            head = host.heads[call_id]
            host.work[call_id] = Work(
                call_id, head.attempt, head.fingerprint, head.idempotent
            )
            return
        self.drop(host, call_id, result.code)

    def check_start(self, host: Host, ticket: tickets.Ticket) -> None:
        running = [t.work_class for t in host.started.values()]
        assert len(running) < host.admission.slots, "exceeded the slots"
        assert ticket.deadline > self.clock(host), "started after its deadline"
        assert host.admission.paused is None, "started while draining"
        ahead = [t.work_class for t in host.waiting.values()]
        assert min(ahead, default=9) >= ticket.work_class, "wrong priority"
        if ticket.work_class is model.WorkClass.LONG:
            count = running.count(model.WorkClass.LONG)
            assert host.admission.slots == 1 or count + 1 < host.admission.slots

    def drop(self, host: Host, call_id: str, code: str) -> None:
        host.keeper.drop(call_id, code, self.clock(host))
        for asker in host.askers.pop(call_id):
            self.reply(
                asker, outcomes.Attempt(outcomes.AttemptEnd.NOT_RUN, code)
            )

    def end_work(self, host: Host, work: Work, code: str) -> None:
        """Ends a running call: done, lost, or known not to have run."""
        call_id = work.call_id
        now = self.clock(host)
        del host.work[call_id]
        if code == codes.TARGET_DOWN:
            self.drop(host, call_id, code)
        else:
            is_done = code == codes.DONE
            outcome = model.Outcome.DONE if is_done else model.Outcome.UNKNOWN
            body = f"{call_id}/{work.fingerprint}".encode()
            answer = records.KeptAnswer(outcome, code, 200, body=body)
            host.keeper.finish(call_id, outcome, answer, now)
            for asker in host.askers.pop(call_id):
                self.reply_finished(asker, outcome, answer)
        ticket = host.started.pop(call_id)
        for result in host.admission.release(ticket, 0.05, now):
            self.admit(host, result)

    # Rules.

    @stateful.rule(
        nodes=st.tuples(PAIR, PAIR),
        work=st.sampled_from(model.WorkClass),
        kind=st.tuples(st.sampled_from([False, False, True]), st.booleans()),
        budget_s=st.sampled_from([1.0, 10.0, 60.0]),
        sent=st.sampled_from([True, True, True, False]),
    )
    def start_call(
        self,
        nodes: tuple[int, int],
        work: model.WorkClass,
        kind: tuple[bool, bool],
        budget_s: float,
        sent: bool,
    ) -> None:
        self.serial += 1
        number, end = self.serial, self.now + budget_s
        call = progress.Progress(
            f"call-{number}", number, *kind, False, 1, 1, end, str(number)
        )
        request = Request(call, 1, work, *nodes)
        self.call_new(request)
        if not sent:
            self.frames.pop()
            lost = outcomes.AttemptEnd.LINK_LOST_UNSENT
            self.end_attempt(request, outcomes.Attempt(lost))

    @stateful.precondition(lambda self: self.keyed)
    @stateful.rule(pick=ANY, entry=PAIR, other=st.sampled_from([0, 0, 0, 1]))
    def repeat_call(self, pick: int, entry: int, other: int) -> None:
        """Repeats a keyed call, in some cases with a different body."""
        first = self.keyed[pick % len(self.keyed)]
        call = first.call
        attempt = 1 + max(
            request.client_attempt
            for request in self.keyed
            if request.call.call_id == call.call_id
        )
        repeat = attrs.evolve(
            call,
            fingerprint=call.fingerprint + 1_000_000 * other,
            is_repeat=True,
            attempt=attempt,
            deadline=self.now + 10.0,
            asker=f"{call.call_id}/{attempt}",
        )
        self.call_new(Request(repeat, attempt, first.work, entry, first.host))

    @stateful.precondition(lambda self: self.frames)
    @stateful.rule(pick=ANY, keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        """Delivers any frame; one that is kept may be delivered again."""
        place = pick % len(self.frames)
        frame = self.frames[place]
        if not keep:
            del self.frames[place]
        if (
            frame.is_live()
            and self.now - frame.sent_at <= keeper.MAX_FRAME_LIFETIME_S
        ):
            frame.deliver()

    @stateful.precondition(lambda self: self.frames)
    @stateful.rule()
    def deliver_oldest(self) -> None:
        self.deliver(0, False)

    @stateful.precondition(lambda self: self.frames)
    @stateful.rule()
    def deliver_newest(self) -> None:
        """Models a new link whose frames arrive before those of the old one."""
        self.deliver(-1, False)

    @stateful.rule(entry=PAIR, host=PAIR)
    def break_link(self, entry: int, host: int) -> None:
        """Models a silent link; its frames may still arrive late."""
        for request in list(self.requests):
            if (request.entry, request.host) == (entry, host):
                end = outcomes.AttemptEnd.LINK_LOST_SENT
                self.end_attempt(request, outcomes.Attempt(end))

    @stateful.precondition(lambda self: self.keyed)
    @stateful.rule(pick=ANY)
    def ask_later(self, pick: int) -> None:
        """Settles a call that ended as UNKNOWN at any time, without an age."""
        request = self.keyed[pick % len(self.keyed)]
        host = self.hosts[request.host]
        call = attrs.evolve(request.call, attempts_left=0)
        inquiry = attrs.evolve(call.make_inquiry(self.now), age_s=math.inf)
        settlement = host.keeper.settle(inquiry, self.clock(host))
        attempt = attempts.read_settlement(settlement)
        if attempt is not None:
            decision = call.end_attempt(attempt, True, self.now)
            assert isinstance(decision, outcomes.Answer)
            self.oracle.record_answer(request, decision)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(pick=ANY, at_once=st.booleans())
    def withdraw(self, pick: int, at_once: bool) -> None:
        request = self.requests[pick % len(self.requests)]
        host = self.hosts[request.host]
        if host.incarnation != request.call.incarnation:
            return
        asker = (request, request.call.attempt)
        self.send_to_host(
            host, functools.partial(self.take_cancel, host, asker)
        )
        if at_once:
            self.deliver_newest()

    def take_cancel(self, host: Host, asker: Asker) -> None:
        call_id = asker[0].call.call_id
        name = asker[0].call.asker
        result = host.keeper.withdraw(call_id, name, self.clock(host))
        if not isinstance(result, records.Withdrawn):
            return
        if call_id in host.waiting:
            assert host.admission.withdraw(call_id)
            del host.waiting[call_id]
            waiting = {request for request, _ in host.askers.pop(call_id)}
            assert waiting <= {asker[0]}, "withdrew the call of another asker"
        end = outcomes.AttemptEnd.NOT_RUN
        self.reply(asker, outcomes.Attempt(end, codes.WITHDRAWN))

    @stateful.precondition(lambda self: any(h.work for h in self.hosts))
    @stateful.rule(pick=ANY, action=st.integers(0, 5))
    def step_target(self, pick: int, action: int) -> None:
        choices = [(h, w) for h in self.hosts for w in h.work.values()]
        node, work = choices[pick % len(choices)]
        if action <= 2 and not work.ran:
            work.ran = True
            self.oracle.run(work)
        elif work.ran and action <= 4:
            self.end_work(node, work, codes.DONE)
        elif not work.ran and action == 3:
            self.end_work(node, work, codes.TARGET_DOWN)
        else:
            self.orphans += [] if work.ran else [work]
            self.end_work(node, work, codes.TARGET_LOST)

    @stateful.precondition(lambda self: self.orphans)
    @stateful.rule()
    def run_orphan(self) -> None:
        """Runs a call at the target after its connection was lost."""
        self.oracle.run(self.orphans.pop())

    @stateful.rule(
        index=PAIR,
        pick=ANY,
        kind=st.sampled_from(
            ["host", "target", "entry", "drain", "resume", "slots", "lose"]
        ),
    )
    def inject_fault(self, index: int, pick: int, kind: str) -> None:
        """Injects faults in a single rule, so that most steps advance calls."""
        node = self.hosts[index]
        results: list[Any] = []
        if kind == "host":
            self.restart_host(node)
        elif kind == "target":
            self.restart_target(node)
        elif kind == "entry":
            self.requests = [r for r in self.requests if r.entry != index]
        elif kind == "drain":
            node.admission.pause(codes.DRAINING)
            results += node.admission.clear(codes.DRAINING)
        elif kind == "resume":
            results += node.admission.resume(self.clock(node))
        elif kind == "slots":
            results += node.admission.set_slots(1 + pick % 4, self.clock(node))
        elif self.frames:
            del self.frames[pick % len(self.frames)]
        for result in results:
            self.admit(node, result)

    def restart_host(self, host: Host) -> None:
        """Restarts a node; its target may still run the calls it was sent."""
        self.orphans += [w for w in host.work.values() if not w.ran]
        self.hosts[host.index] = self.make_host(host.index)

    def restart_target(self, host: Host) -> None:
        for work in list(host.work.values()):
            if work.call_id in host.work:
                self.end_work(host, work, codes.TARGET_LOST)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 6.0, 35.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        for node in self.hosts:
            for result in node.admission.poll(self.clock(node)):
                self.admit(node, result)
            node.keeper.expire(self.clock(node))
        for request in list(self.requests):
            if request.call.deadline <= self.now:
                end = outcomes.AttemptEnd.DEADLINE_SENT
                self.end_attempt(request, outcomes.Attempt(end))

    @stateful.invariant()
    def check_queues(self) -> None:
        for node in self.hosts:
            load = node.admission.get_load()
            assert sum(load.running) == len(node.started)
            assert sum(load.queued) == len(node.waiting)


TestCalls = CallMachine.TestCase
