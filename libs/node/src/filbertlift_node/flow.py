"""A call at its entry: attempts, retries, hedging and the answer."""

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
from filbertlift_transport import http
from filbertlift_transport import server
from filbertlift_wire import messages

if TYPE_CHECKING:
    from filbertlift_node import entry as entries

# Time to wait for a keeper to confirm a withdrawal after the deadline, in
# seconds.
CANCEL_GRACE_S = 0.2
# Maximum wait for the newer version that a keeper answered with, in seconds.
PULL_TIMEOUT_S = 1.0
# Limit of reroutes per call; routes may change repeatedly during a call.
MAX_REROUTES = 3

End = outcomes.AttemptEnd


@attrs.define(eq=False)
class FlowAttempt:
    """An attempt of a flow, with the target that it was sent to.

    Attributes:
        service: views of the targets of the service.
        view: the target that the attempt was sent to.
        sent_at: time at which it was sent, in seconds.
        attempt: handle for pausing and cancelling; None while the link is
            being opened.
        incarnation: incarnation of the keeper, 0 if not known yet.
        is_over: whether the end of the attempt was handled.
    """

    service: views.ServiceViews
    view: targets.TargetView
    sent_at: float
    attempt: attempts.Attempt | None = None
    incarnation: int = 0
    is_over: bool = False


@attrs.define(eq=False)
class Flow:
    """A call at its entry, until it is answered.

    Unlike `filbertlift_sidecar.flow`, it can ask the keeper for the outcome
    after the loss of a link.
    """

    _entry: "entries.Entry"
    call: messages.Call
    route: routes.Route
    reply: server.Reply
    started_at: float
    progress: calls_progress.Progress
    _attempts: list[FlowAttempt] = attrs.field(factory=list)
    _retried: bool = False
    _reroutes: int = 0
    _streaming: FlowAttempt | None = None
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
        """Returns the flow of a routed call; nothing is sent yet."""
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
        self.reply.on_gone = self._handle_caller_gone
        self._timer = reactor.callLater(
            self.call.deadline_ms / 1000, self._handle_deadline
        )
        self._send_next()
        may_hedge = self.route.idempotent and not self.call.keyed
        if self.route.hedge and may_hedge and not self._is_over:
            self._schedule_hedge()

    @property
    def is_streaming(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self._streaming is not None

    # Sending.

    def _send_next(self, last_code: str = codes.NO_TARGET) -> None:
        """Sends the next attempt.

        Args:
            last_code: code of the previous attempt, sent to the caller if no
                other target is left.
        """
        service = self._entry.find_views(self.route.service)
        now = self._entry.reactor.seconds()
        view = self._choose(service, now)
        if view is None:
            self._finish_unanswered(End.NOT_RUN, last_code)
            return
        service.note_sent(view, self.route.work_class, now)
        current = FlowAttempt(service, view, now)
        self._attempts.append(current)
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
            excluded=[item.view.target.address for item in self._attempts],
            local_free=entry.relay.has_free_slot(),
            size=len(self.call.body) + 512,
        )
        return entry.choose(service, criteria, now, entry.rng)

    def _send(self, current: FlowAttempt) -> None:
        entry = self._entry
        target = current.view.target
        if target.address == entry.address:
            self._send_local(current)
            return
        link = entry.links.get(target.address)
        if link is not None:
            self._send_remote(current, link)
            return

        def proceed() -> None:
            if self._is_over or current.is_over:
                return
            link = entry.links.get(target.address)
            if link is None:
                self._end_attempt(
                    current, outcomes.Attempt(End.LINK_LOST_UNSENT)
                )
            else:
                self._send_remote(current, link)

        entry.links.open(target.address, target.place.region, proceed)

    def _send_local(self, current: FlowAttempt) -> None:
        keeper = self._entry.relay.keeper
        current.incarnation = keeper.incarnation
        current.attempt = self._entry.relay.accept(
            self._make_call(keeper.incarnation),
            self.route,
            self._make_listener(current),
        )

    def _send_remote(self, current: FlowAttempt, link: Any) -> None:
        current.incarnation = link.peer.incarnation
        attempt = self._entry.remote.send(
            link,
            self._make_call(link.peer.incarnation),
            self._make_listener(current),
            lambda: self._handle_link_loss(current),
        )
        if attempt is None:
            self._end_attempt(current, outcomes.Attempt(End.LINK_LOST_UNSENT))
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

    def _make_listener(self, current: FlowAttempt) -> attempts.Listener:
        return attempts.Listener(
            lambda answer: self._receive(current, answer),
            lambda chunk: self._receive_chunk(current, chunk),
        )

    # Hedging.

    def _schedule_hedge(self) -> None:
        if not self._attempts:
            return
        first = self._attempts[0]
        median_s = first.service.get_median(first.view)
        if not median_s:
            return
        delay = max(views.MIN_LATENCY_S, views.SLOW_FACTOR * median_s)
        self._hedge_timer = self._entry.reactor.callLater(delay, self._hedge)

    def _hedge(self) -> None:
        entry = self._entry
        now = entry.reactor.seconds()
        if self._is_over or self.is_streaming or len(self._attempts) != 1:
            return
        if not entry.hedge_budget.take(now):
            return
        service = entry.find_views(self.route.service)
        view = self._choose(service, now)
        if view is None or view is self._attempts[0].view:
            return
        entry.metrics.hedges.inc()
        service.note_sent(view, self.route.work_class, now)
        current = FlowAttempt(service, view, now)
        self._attempts.append(current)
        self._send(current)

    # Answers.

    def _receive(self, current: FlowAttempt, answer: messages.Answer) -> None:
        if current.is_over or self._is_over:
            return
        current.incarnation = answer.incarnation or current.incarnation
        is_done = answer.outcome is model.Outcome.DONE
        if is_done and not _has_valid_status(answer):
            lost = outcomes.Attempt(
                End.UNKNOWN,
                codes.TARGET_LOST,
                codes.get_status(codes.TARGET_LOST),
            )
            self._end_attempt(current, lost)
            return
        if is_done:
            self._receive_done(current, answer)
            return
        end = (
            End.NOT_RUN
            if answer.outcome is model.Outcome.NOT_RUN
            else End.UNKNOWN
        )
        if answer.code == codes.STALE_ROUTE and self._reroute(current, answer):
            return
        self._end_attempt(
            current,
            outcomes.Attempt(
                end,
                answer.code,
                answer.status,
                answer.retry_after_ms / 1000,
                answer.retried,
            ),
        )

    def _receive_done(
        self, current: FlowAttempt, answer: messages.Answer
    ) -> None:
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
            self._send_error(
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
            self._make_call_header(current),
        )
        self._cancel_others(current)
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

    def _receive_chunk(
        self, current: FlowAttempt, chunk: messages.Chunk
    ) -> None:
        if self._streaming is not current or self._is_over:
            return
        if chunk.failed:
            # Aborts the connection, so that the caller can't mistake the
            # partial body for a complete one.
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

    def _end_attempt(
        self, current: FlowAttempt, attempt: outcomes.Attempt
    ) -> None:
        """Handles an attempt that ended without an answer of the target."""
        if current.is_over or self._is_over:
            return
        current.is_over = True
        self._note_failure(current, attempt)
        if any(not item.is_over for item in self._attempts):
            # The other attempt of a hedged read is still open.
            return
        now = self._entry.reactor.seconds()
        has_budget = self._entry.retry_budget.has_left(now)
        decision = self.progress.end_attempt(attempt, has_budget, now)
        if isinstance(decision, outcomes.Answer):
            self._send_error(decision, current)
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

    def receive_settlement(
        self, current: FlowAttempt, attempt: outcomes.Attempt
    ) -> None:
        """Handles the settlement of an attempt whose link was lost."""
        self._reopen(current)
        self._end_attempt(current, attempt)

    def receive_settled_answer(
        self, current: FlowAttempt, answer: messages.Answer
    ) -> None:
        """Handles a kept answer that the keeper returned with a settlement."""
        self._reopen(current)
        self._receive(current, answer)

    def _reopen(self, current: FlowAttempt) -> None:
        """Marks a settled attempt as open, so that its end can be handled."""
        self._is_settling = False
        now = self._entry.reactor.seconds()
        current.service.note_sent(current.view, self.route.work_class, now)
        current.is_over = False

    @property
    def is_over(self) -> bool:
        """Whether the caller was answered or has disconnected."""
        return self._is_over

    def _handle_link_loss(self, current: FlowAttempt) -> None:
        """Handles the loss of the link of an attempt."""
        if self._streaming is current and not self._is_over:
            self._close(model.Outcome.UNKNOWN)
            self.reply.abort()
            return
        end = End.LINK_LOST_SENT
        if self.route.idempotent and not self.call.keyed:
            # The keeper holds no id for such a call, which may run again.
            end = End.KEEPER_LOST
        self._end_attempt(current, outcomes.Attempt(end))

    def _reroute(self, current: FlowAttempt, answer: messages.Answer) -> bool:
        """Routes the call again under the newer version of the keeper.

        Returns:
            False if the link is lost or the limit of reroutes is reached.
        """
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
                self._finish_unanswered(End.NOT_RUN, codes.DENIED)
                return
            self.progress.idempotent = self.route.idempotent
            if entry.is_stale(self.route):
                self._finish_unanswered(End.NOT_RUN, codes.STALE_VERSION)
                return
            self._send_next()

        entry.sources.pull_version(
            link, answer.version, PULL_TIMEOUT_S, proceed
        )
        return True

    def _note_failure(
        self, current: FlowAttempt, attempt: outcomes.Attempt
    ) -> None:
        service = current.service
        now = self._entry.reactor.seconds()
        if attempt.code in (codes.LEAVING, codes.DRAINING, codes.STALE_ROUTE):
            service.note_dropped(current.view, self.route.work_class, now)
        else:
            service.note_failure(current.view, self.route.work_class, now)

    # Ends of the call.

    def expire(self) -> None:
        """Ends the call now, as at its deadline.

        Its caller hears within `CANCEL_GRACE_S` what became of it, unless it
        has the head of a streamed answer.
        """
        if self._is_over or self.is_streaming:
            return
        self._stop_timers()
        self._handle_deadline()

    def _handle_deadline(self) -> None:
        if self._is_over or self.is_streaming:
            return
        if self._is_settling:
            self._finish_unanswered(End.DEADLINE_SENT, codes.TIMEOUT)
            return
        sent = [
            item for item in self._attempts if not item.is_over and item.attempt
        ]
        if not sent:
            self._finish_unanswered(End.DEADLINE_UNSENT, codes.EXPIRED)
            return
        # Only the last withdrawal is confirmed; the other attempt of a hedged
        # read may have run.
        self.progress.may_have_run |= len(sent) > 1
        self._timer = self._entry.reactor.callLater(
            CANCEL_GRACE_S, self._finish_expired, True
        )
        attempt = sent[-1].attempt
        assert attempt is not None
        attempt.cancel(self._handle_cancelled)

    def _handle_cancelled(self, ran: bool) -> None:
        self._stop_timers()
        self._finish_expired(ran)

    def _finish_expired(self, ran: bool) -> None:
        if self._is_over:
            return
        if ran:
            self._finish_unanswered(End.DEADLINE_SENT, codes.TIMEOUT)
        else:
            self._finish_unanswered(End.NOT_RUN, codes.EXPIRED)

    def _finish_unanswered(self, end: outcomes.AttemptEnd, code: str) -> None:
        """Answers a call that will get no answer from an attempt."""
        self.progress.attempts_left = 0
        now = self._entry.reactor.seconds()
        decision = self.progress.end_attempt(
            outcomes.Attempt(end, code), False, now
        )
        if not isinstance(decision, outcomes.Answer):
            decision = outcomes.Answer(
                model.Outcome.UNKNOWN, code, codes.get_status(code)
            )
        self._send_error(
            decision, self._attempts[-1] if self._attempts else None
        )

    def _send_error(
        self, answer: outcomes.Answer, current: FlowAttempt | None
    ) -> None:
        self._close(answer.outcome)
        extra = (self._make_call_header(current),) if current else ()
        replies.send_error(
            self.reply, answer.outcome, answer.code, answer.retry_after_s, extra
        )

    def _handle_caller_gone(self) -> None:
        """Withdraws the attempts after the caller has disconnected."""
        for item in self._attempts:
            if not item.is_over and item.attempt is not None:
                item.attempt.cancel(None)
        if self._streaming is not None and self._streaming.attempt:
            self._streaming.attempt.cancel(None)
        self._close(model.Outcome.UNKNOWN)

    def _cancel_others(self, winner: FlowAttempt) -> None:
        for item in self._attempts:
            if item is not winner and not item.is_over and item.attempt:
                item.attempt.cancel(None)

    def _close(self, outcome: model.Outcome) -> None:
        self._is_over = True
        entry = self._entry
        now = entry.reactor.seconds()
        for item in self._attempts:
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

    def _make_call_header(self, current: FlowAttempt) -> messages.Header:
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


def _has_valid_status(answer: messages.Answer) -> bool:
    """Returns whether the status of an answer can end a request."""
    is_kept = answer.code != codes.NOT_KEPT
    return not is_kept or http.is_final_status(answer.status)


def _find_length(headers: tuple[messages.Header, ...]) -> int | None:
    for header in headers:
        if header.name.lower() == "content-length":
            return http.parse_length(header.value)
    return None
