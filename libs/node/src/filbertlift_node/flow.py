"""One call at its entry: attempts, retries, hedges and the answer."""

from typing import TYPE_CHECKING
from typing import Any

import attrs

from filbertlift_calls import choice
from filbertlift_calls import codes
from filbertlift_calls import outcomes
from filbertlift_calls import progress as calls_progress
from filbertlift_calls import targets
from filbertlift_calls import views
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import routes
from filbertlift_core import model
from filbertlift_node import attempts
from filbertlift_node import replies
from filbertlift_node import settlements
from filbertlift_transport import server
from filbertlift_wire import messages

if TYPE_CHECKING:
    from filbertlift_node import entry as entries

# Time that a keeper has to confirm a withdrawal after the deadline.
CANCEL_GRACE_S = 0.2
# Longest wait for a newer version that a keeper answered with.
PULL_S = 1.0
# Routes may change more than once while a call is on its way.
MAX_REROUTES = 3

End = outcomes.AttemptEnd


@attrs.define(eq=False)
class Try:
    """One attempt of a flow.

    Attributes:
        service: what is known of the targets of its service.
        view: the target that it was sent to.
        sent_at: when, in seconds.
        attempt: what carries it; None while the link is being opened.
        is_over: whether its end was taken.
    """

    service: views.ServiceViews
    view: targets.TargetView
    sent_at: float
    attempt: attempts.Attempt | None = None
    incarnation: int = 0
    is_over: bool = False


@attrs.define(eq=False)
class Flow:
    """A call under way at its entry."""

    _entry: "entries.Entry"
    call: messages.Call
    route: routes.Route
    reply: server.Reply
    started_at: float
    progress: calls_progress.Progress
    _tries: list[Try] = attrs.field(factory=list)
    _retried: bool = False
    _reroutes: int = 0
    _streaming: Try | None = None
    _is_settling: bool = False
    _timer: Any = None
    _hedge_timer: Any = None
    _is_over: bool = False

    @classmethod
    def create(
        cls,
        entry: "entries.Entry",
        call: messages.Call,
        route: routes.Route,
        reply: server.Reply,
    ) -> "Flow":
        """Returns the flow of a call that was just routed."""
        now = entry.reactor.seconds()
        return cls(
            entry=entry,
            call=call,
            route=route,
            reply=reply,
            started_at=now,
            progress=calls_progress.Progress(
                call_id=call.call_id.decode(),
                fingerprint=int.from_bytes(call.fingerprint),
                idempotent=route.idempotent,
                keyed=call.keyed and not route.idempotent,
                is_repeat=call.keyed and call.attempt > 1,
                attempt=call.attempt,
                attempts_left=route.retries,
                deadline=now + call.deadline_ms / 1000,
                asker=call.asker,
            ),
        )

    def start(self) -> None:
        """Sends the first attempt and starts the timers."""
        reactor = self._entry.reactor
        self.reply.on_gone = self._abandon
        self._timer = reactor.callLater(
            self.call.deadline_ms / 1000, self._reach_deadline
        )
        self._send_next()
        may_hedge = self.route.idempotent and not self.call.keyed
        if self.route.hedge and may_hedge and not self._is_over:
            self._plan_hedge()

    @property
    def is_streaming(self) -> bool:
        """Whether a part of the answer was passed on."""
        return self._streaming is not None

    # Sending.

    def _send_next(self, last_code: str = codes.NO_TARGET) -> None:
        """Sends the next attempt.

        Args:
            last_code: why the attempt before ended; told to the caller when
                no other target is left.
        """
        service = self._entry.find_views(self.route.service)
        now = self._entry.reactor.seconds()
        view = self._choose(service, now)
        if view is None:
            self._finish_without(End.NOT_RUN, last_code)
            return
        service.note_sent(view, self.route.work_class, now)
        current = Try(service, view, now)
        self._tries.append(current)
        self._send(current)

    def _choose(
        self, service: views.ServiceViews, now: float
    ) -> targets.TargetView | None:
        entry = self._entry
        if self.call.keyed and not self.route.idempotent:
            key = self.call.call_id.decode()
            keyed = choice.choose_by_key(service, key, now)
            return keyed.view if keyed else None
        criteria = choice.Criteria(
            excluded=[item.view.target.address for item in self._tries],
            local_free=entry.relay.has_free_slot(),
            size=len(self.call.body) + 512,
        )
        return entry.choose(service, criteria, now, entry.rng)

    def _send(self, current: Try) -> None:
        entry = self._entry
        target = current.view.target
        if target.address == entry.address:
            self._send_here(current)
            return
        link = entry.links.get(target.address)
        if link is not None:
            self._send_over(current, link)
            return

        def proceed() -> None:
            if self._is_over or current.is_over:
                return
            link = entry.links.get(target.address)
            if link is None:
                self._end(current, outcomes.Attempt(End.LINK_LOST_UNSENT))
            else:
                self._send_over(current, link)

        entry.links.open(target.address, target.place.region, proceed)

    def _send_here(self, current: Try) -> None:
        keeper = self._entry.relay.keeper
        current.incarnation = keeper.incarnation
        current.attempt = self._entry.relay.accept(
            self._make_call(keeper.incarnation),
            self.route,
            self._make_listener(current),
        )

    def _send_over(self, current: Try, link: Any) -> None:
        current.incarnation = link.peer.incarnation
        attempt = self._entry.remote.send(
            link,
            self._make_call(link.peer.incarnation),
            self._make_listener(current),
            lambda: self._lose(current),
        )
        if attempt is None:
            self._end(current, outcomes.Attempt(End.LINK_LOST_UNSENT))
            return
        if not current.is_over:
            current.attempt = attempt

    def _make_call(self, incarnation: int) -> messages.Call:
        now = self._entry.reactor.seconds()
        progress = self.progress
        head = progress.send(incarnation, progress.deadline, now)
        return attrs.evolve(
            self.call,
            attempt=head.attempt,
            incarnation=head.incarnation,
            version=self.route.version,
            deadline_ms=max(1, int((progress.deadline - now) * 1000)),
        )

    def _make_listener(self, current: Try) -> attempts.Listener:
        return attempts.Listener(
            lambda answer: self._receive(current, answer),
            lambda chunk: self._receive_chunk(current, chunk),
        )

    # Hedging.

    def _plan_hedge(self) -> None:
        if not self._tries:
            return
        first = self._tries[0]
        median_s = first.service.get_median(first.view)
        if not median_s:
            return
        delay = max(views.MIN_LATENCY_S, views.SLOW_FACTOR * median_s)
        self._hedge_timer = self._entry.reactor.callLater(delay, self._hedge)

    def _hedge(self) -> None:
        entry = self._entry
        now = entry.reactor.seconds()
        if self._is_over or self.is_streaming or len(self._tries) != 1:
            return
        if not entry.hedge_budget.take(now):
            return
        service = entry.find_views(self.route.service)
        view = self._choose(service, now)
        if view is None or view is self._tries[0].view:
            return
        entry.metrics.hedges.inc()
        service.note_sent(view, self.route.work_class, now)
        current = Try(service, view, now)
        self._tries.append(current)
        self._send(current)

    # Answers.

    def _receive(self, current: Try, answer: messages.Answer) -> None:
        if current.is_over or self._is_over:
            return
        current.incarnation = answer.incarnation or current.incarnation
        if answer.outcome is model.Outcome.DONE:
            self._receive_done(current, answer)
            return
        end = (
            End.NOT_RUN
            if answer.outcome is model.Outcome.NOT_RUN
            else End.UNKNOWN
        )
        if answer.code == codes.STALE_ROUTE and self._reroute(current, answer):
            return
        self._end(
            current,
            outcomes.Attempt(
                end,
                answer.code,
                answer.status,
                answer.retry_after_ms / 1000,
                answer.retried,
            ),
        )

    def _receive_done(self, current: Try, answer: messages.Answer) -> None:
        now = self._entry.reactor.seconds()
        current.service.note_answer(
            current.view,
            self.route.work_class,
            now - current.sent_at,
            answer.queue,
            now,
        )
        current.is_over = True
        if answer.code == codes.NOT_KEPT:
            self._fail(
                outcomes.Answer(
                    model.Outcome.DONE, codes.NOT_KEPT, answer.status
                ),
                current,
            )
            return
        headers = (
            *answer.headers,
            messages.Header("Filbertlift-Outcome", "done"),
            messages.Header("Filbertlift-Code", codes.DONE),
            self._make_name(current),
        )
        self._drop_others(current)
        if not answer.more:
            self._close(model.Outcome.DONE)
            self.reply.send(answer.status, headers, answer.body)
            return
        self._streaming = current
        self._stop_timers()
        self.reply.on_drained = self._resume
        length = _find_length(answer.headers)
        self.reply.start(answer.status, headers, length)
        self.reply.write(answer.body)

    def _receive_chunk(self, current: Try, chunk: messages.Chunk) -> None:
        if self._streaming is not current or self._is_over:
            return
        if chunk.failed:
            # The caller must not take the part that it has for the whole.
            self._close(model.Outcome.UNKNOWN)
            self.reply.abort()
            return
        self.reply.write(chunk.body)
        if chunk.last:
            self._close(model.Outcome.DONE)
            self.reply.finish()
        elif self.reply.is_full and current.attempt is not None:
            current.attempt.pause()

    def _resume(self) -> None:
        if self._streaming is not None and self._streaming.attempt is not None:
            self._streaming.attempt.resume()

    # Ends of attempts.

    def _end(self, current: Try, attempt: outcomes.Attempt) -> None:
        """Takes the end of an attempt that brought no answer."""
        if current.is_over or self._is_over:
            return
        current.is_over = True
        self._note_failure(current, attempt)
        if any(not item.is_over for item in self._tries):
            # The other attempt of a hedged read decides.
            return
        now = self._entry.reactor.seconds()
        has_budget = self._entry.retry_budget.has_left(now)
        decision = self.progress.end_attempt(attempt, has_budget, now)
        if isinstance(decision, outcomes.Answer):
            self._fail(decision, current)
        elif isinstance(decision, outcomes.RetryElsewhere):
            self._retry(decision)
        elif isinstance(decision, outcomes.SettleFirst):
            self._is_settling = True
            settlements.settle(self._entry, self, current)

    def _retry(self, decision: outcomes.RetryElsewhere) -> None:
        entry = self._entry
        if decision.costs_budget:
            entry.retry_budget.take(entry.reactor.seconds())
        entry.metrics.retries.inc()
        self._send_next(decision.code)

    def take_settlement(self, current: Try, attempt: outcomes.Attempt) -> None:
        """Takes what a keeper said of an attempt whose link was lost."""
        self._reopen(current)
        self._end(current, attempt)

    def take_settled_answer(
        self, current: Try, answer: messages.Answer
    ) -> None:
        """Takes the answer that a keeper had kept."""
        self._reopen(current)
        self._receive(current, answer)

    def _reopen(self, current: Try) -> None:
        """Counts a settled attempt as under way again until its end."""
        self._is_settling = False
        now = self._entry.reactor.seconds()
        current.service.note_sent(current.view, self.route.work_class, now)
        current.is_over = False

    @property
    def is_over(self) -> bool:
        """Whether the caller has its answer or is gone."""
        return self._is_over

    def _lose(self, current: Try) -> None:
        """Takes the loss of the link that carried an attempt."""
        if self._streaming is current and not self._is_over:
            self._close(model.Outcome.UNKNOWN)
            self.reply.abort()
            return
        end = End.LINK_LOST_SENT
        if self.route.idempotent and not self.call.keyed:
            # The keeper remembers nothing of it, and it may run again.
            end = End.KEEPER_LOST
        self._end(current, outcomes.Attempt(end))

    def _reroute(self, current: Try, answer: messages.Answer) -> bool:
        """Routes the call again under the keeper's newer version."""
        entry = self._entry
        link = entry.links.get(current.view.target.address)
        if link is None or self._reroutes >= MAX_REROUTES:
            return False
        self._reroutes += 1
        current.is_over = True
        current.service.note_dropped(
            current.view, self.route.work_class, entry.reactor.seconds()
        )

        def proceed(_is_in_force: bool) -> None:
            if self._is_over:
                return
            call = self.call
            try:
                self.route = entry.find_route(
                    call.service, call.method, call.path, call.caller
                )
            except config_exceptions.RouteError:
                self._finish_without(End.NOT_RUN, codes.DENIED)
                return
            self.progress.idempotent = self.route.idempotent
            if entry.is_stale(self.route):
                self._finish_without(End.NOT_RUN, codes.STALE_VERSION)
                return
            self._send_next()

        entry.sources.pull_version(link, answer.version, PULL_S, proceed)
        return True

    def _note_failure(self, current: Try, attempt: outcomes.Attempt) -> None:
        service = current.service
        now = self._entry.reactor.seconds()
        if attempt.code in (codes.LEAVING, codes.DRAINING, codes.STALE_ROUTE):
            service.note_dropped(current.view, self.route.work_class, now)
        else:
            service.note_failure(current.view, self.route.work_class, now)

    # Ends of the call.

    def _reach_deadline(self) -> None:
        if self._is_over or self.is_streaming:
            return
        if self._is_settling:
            self._finish_without(End.DEADLINE_SENT, codes.TIMEOUT)
            return
        sent = [
            item for item in self._tries if not item.is_over and item.attempt
        ]
        if not sent:
            self._finish_without(End.DEADLINE_UNSENT, codes.EXPIRED)
            return
        # Only one withdrawal is waited for; the other attempt of a hedged
        # read may have run.
        self.progress.may_have_run |= len(sent) > 1
        self._timer = self._entry.reactor.callLater(
            CANCEL_GRACE_S, self._end_late, True
        )
        attempt = sent[-1].attempt
        assert attempt is not None
        attempt.cancel(self._confirm_cancel)

    def _confirm_cancel(self, ran: bool) -> None:
        self._stop_timers()
        self._end_late(ran)

    def _end_late(self, ran: bool) -> None:
        if self._is_over:
            return
        if ran:
            self._finish_without(End.DEADLINE_SENT, codes.TIMEOUT)
        else:
            self._finish_without(End.NOT_RUN, codes.EXPIRED)

    def _finish_without(self, end: outcomes.AttemptEnd, code: str) -> None:
        """Answers a call for which no attempt is under way any more."""
        self.progress.attempts_left = 0
        now = self._entry.reactor.seconds()
        decision = self.progress.end_attempt(
            outcomes.Attempt(end, code), False, now
        )
        if not isinstance(decision, outcomes.Answer):
            decision = outcomes.Answer(
                model.Outcome.UNKNOWN, code, codes.get_status(code)
            )
        self._fail(decision, self._tries[-1] if self._tries else None)

    def _fail(self, answer: outcomes.Answer, current: Try | None) -> None:
        self._close(answer.outcome)
        extra = (self._make_name(current),) if current else ()
        replies.send_error(
            self.reply, answer.outcome, answer.code, answer.retry_after_s, extra
        )

    def _abandon(self) -> None:
        """The caller is gone; what has not started is withdrawn."""
        for item in self._tries:
            if not item.is_over and item.attempt is not None:
                item.attempt.cancel(None)
        if self._streaming is not None and self._streaming.attempt:
            self._streaming.attempt.cancel(None)
        self._close(model.Outcome.UNKNOWN)

    def _drop_others(self, winner: Try) -> None:
        for item in self._tries:
            if item is not winner and not item.is_over and item.attempt:
                item.attempt.cancel(None)

    def _close(self, outcome: model.Outcome) -> None:
        self._is_over = True
        entry = self._entry
        now = entry.reactor.seconds()
        for item in self._tries:
            if not item.is_over:
                item.is_over = True
                item.service.note_dropped(item.view, self.route.work_class, now)
        entry.flows.discard(self)
        self._stop_timers()
        entry.metrics.outcomes[outcome].inc()
        entry.metrics.latency[self.route.work_class].observe(
            now - self.started_at
        )

    def _stop_timers(self) -> None:
        for timer in (self._timer, self._hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _make_name(self, current: Try) -> messages.Header:
        return messages.Header(
            "Filbertlift-Call",
            str(
                settlements.CallName(
                    self.progress.call_id,
                    current.view.target.address,
                    current.incarnation,
                    self.progress.fingerprint,
                )
            ),
        )


def _find_length(headers: tuple[messages.Header, ...]) -> int | None:
    for header in headers:
        if header.name.lower() == "content-length" and header.value.isdigit():
            return int(header.value)
    return None
