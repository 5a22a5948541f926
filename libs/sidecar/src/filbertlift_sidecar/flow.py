"""One call at its entry: its attempts, repeats, hedge and answer."""

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import attrs

from filbertlift_mesh import accounts
from filbertlift_mesh import configuration
from filbertlift_mesh import outcomes
from filbertlift_mesh import patience
from filbertlift_mesh import placement
from filbertlift_mesh import reasons
from filbertlift_mesh import search
from filbertlift_mesh import shedding
from filbertlift_sidecar import frames
from filbertlift_sidecar import keeper
from filbertlift_sidecar import remote
from filbertlift_transport import http
from filbertlift_transport import memory
from filbertlift_transport import reply as replies

if TYPE_CHECKING:
    from filbertlift_sidecar import entry as entries

AttemptEnd = outcomes.AttemptEnd
Step = outcomes.Step
# An idempotent call is hedged, that is sent to a second target, when the first
# has not answered within this multiple of the expected time.
HEDGE_FACTOR: Final = 4.0
# Highest share of the time left that is reserved for the delays of nodes.
MAX_DELAY_SHARE: Final = 0.25
# Shortest delay before a hedge, in seconds.
MIN_HEDGE_DELAY_S: Final = 0.3


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call.

    Attributes:
        view: the target that was chosen.
        is_hedge: whether it was sent while an earlier one was outstanding.
        sent_at: when it was sent, in seconds.
        sent: controls of the call; None before it was submitted.
        is_over: whether it has ended.
    """

    view: placement.TargetView
    is_hedge: bool
    sent_at: float
    sent: keeper.SentCall | None = None
    is_over: bool = False


@attrs.define(eq=False)
class Flow:
    """A call in progress at its entry.

    Unlike `filbertlift_node.flow`, it first searches several targets for a free
    slot, and it never asks for the outcome of a call whose link was lost.

    Attributes:
        entry: the entry that accepted the call.
        request: request of the caller.
        reply: reply to the caller.
        route: route of the call.
        service: service that the call was routed to.
        headers: headers for the target.
        started_at: when the call arrived, in seconds.
        deadline: when it is answered in any case, in seconds.
        version: version of the configuration that routed it.
        waited_s: how long its caller had waited before, in earlier attempts, in
            seconds.
        priority: rank of the call; 0 is the highest.
        caller_deadline: when its caller gives up, in seconds.
        token: admission of the call; None if its caller has no quota.
        organisation: name of the caller's organisation, empty if unknown.
        sent: attempts that may have reached a target.
        refusals: attempts that have certainly not run.
        is_over: whether the call has ended.
    """

    entry: "entries.Entry"
    request: http.Request
    reply: replies.Reply
    route: configuration.Route
    service: str
    headers: frames.Headers
    started_at: float
    deadline: float
    version: int
    waited_s: float = 0.0
    priority: int = 0
    caller_deadline: float = 0.0
    token: accounts.Token | None = None
    organisation: str = ""
    sent: int = 0
    refusals: int = 0
    is_over: bool = False
    _is_streaming: bool = False
    _is_paused: bool = False
    _attempts: list[Attempt] = attrs.field(factory=list)
    _search: search.Search = attrs.field(factory=search.Search)
    _retry_after_s: float = 0.0
    _last_reason: str = reasons.NO_TARGET
    _timer: Any = None
    _hedge_timer: Any = None

    def start(self) -> None:
        """Makes the first attempt."""
        self.entry.flows.add(self)
        self.reply.on_gone = self._handle_caller_gone
        left_s = max(0.0, self.deadline - self._now())
        self._timer = self.entry.reactor.callLater(left_s, self._time_out)
        now = self._now()
        pressure = self._get_pressure()
        if pressure.take_shed(now, self.entry.placement.rng):
            self._last_reason = reasons.OVERLOADED
            self._refuse()
            return
        self._start_attempt()

    def limit(self, deadline: float) -> None:
        """Ends the call by a time in seconds, if it would end later."""
        if self.is_over or self.deadline <= deadline:
            return
        self.deadline = deadline
        left_s = max(0.0, deadline - self._now())
        if self._timer is not None and self._timer.active():
            self._timer.reset(left_s)

    def _now(self) -> float:
        now: float = self.entry.reactor.seconds()
        return now

    def _get_pressure(self) -> shedding.ClassPressure:
        return self.entry.shedding.get_class(
            self.service,
            self.route.work_class,
            self.waited_s > 0,
            self.organisation,
        )

    # Attempts.

    def _start_attempt(self, is_hedge: bool = False) -> None:
        now = self._now()
        choice = self._search.choose(
            self.entry.placement, self.route, self.service, now
        )
        if choice is None:
            if not is_hedge:
                self._refuse()
            return
        view = choice.view
        attempt = Attempt(view, is_hedge, now)
        self._attempts.append(attempt)
        self.sent += 1
        view.note_sent()
        if not is_hedge:
            self._schedule_hedge(view, now)
        sent = self.entry.submit(
            view,
            self._get_lane(),
            self._make_call(now, choice),
            lambda answer: self._receive(attempt, answer),
            lambda chunk: self._receive_chunk(attempt, chunk),
        )
        if not attempt.is_over:
            attempt.sent = sent

    def _make_call(self, now: float, choice: search.Choice) -> frames.Call:
        left_s = max(0.001, self.deadline - now)
        is_download = self.route.kind is configuration.CallKind.DOWNLOAD
        # Part of the overhead of a download is the transfer of its answer.
        delay_s = 0.0 if is_download else choice.view.get_delay(now)
        left_s -= min(delay_s, MAX_DELAY_SHARE * left_s)
        since = self.started_at - self.waited_s
        objective_s = since + self.route.objective_s - now
        request = self.request
        return frames.Call(
            0,
            self.entry.find_id(request),
            self.service,
            request.method,
            request.path,
            self.headers,
            request.body,
            int(left_s * 1000),
            int(objective_s * 1000),
            int(choice.limit_wait(left_s) * 1000),
            self.route.work_class,
            self.priority,
            self.route.is_idempotent,
        )

    def _get_lane(self) -> str:
        if self.route.kind is configuration.CallKind.DOWNLOAD:
            return remote.BULK
        if len(self.request.body) > memory.SMALL_BODY_BYTES:
            return remote.BULK
        return remote.SMALL

    def _schedule_hedge(self, view: placement.TargetView, now: float) -> None:
        if not self.route.is_idempotent or self.route.max_attempts < 2:
            return
        if self._hedge_timer is not None:
            return
        criteria = placement.make_criteria(self.route, self.service)
        expected_s = self.entry.placement.estimate_cost(view, criteria, now)
        delay_s = max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * expected_s)
        if now + delay_s + expected_s < self.deadline:
            self._hedge_timer = self.entry.reactor.callLater(
                delay_s, self._hedge
            )

    def _hedge(self) -> None:
        self._hedge_timer = None
        if self.is_over or self._is_streaming or len(self._attempts) != 1:
            return
        if self.sent >= self.route.max_attempts:
            return
        now = self._now()
        if not self.entry.budget.take(self.service, now):
            return
        first = self._attempts[0]
        self.entry.log.log_request(
            "entry.hedge",
            id=self.entry.find_id(self.request),
            silent=first.view.address,
            waited_s=now - self.started_at,
        )
        self._start_attempt(is_hedge=True)

    def _hedge_elsewhere(self, now: float) -> None:
        """Hedges at another target if the host of the first one is silent."""
        is_silent = all(
            self.entry.placement.is_avoided(item.view.address, now)
            for item in self._attempts
        )
        if is_silent and self.refusals < outcomes.MAX_REFUSALS:
            self._start_attempt(is_hedge=True)

    # Results of attempts.

    def _receive(self, attempt: Attempt, answer: frames.Answer) -> None:
        now = self._now()
        end = AttemptEnd(answer.end)
        self._note_answer(attempt, answer, end, now)
        if self.is_over:
            return
        if answer.more and end is AttemptEnd.ANSWERED:
            self._begin_stream(attempt, answer)
            return
        self._attempts.remove(attempt)
        self._last_reason = answer.reason
        if end in (AttemptEnd.NOT_RUN, AttemptEnd.SHED):
            self._note_refusal(attempt, answer)
        if self._attempts and end is not AttemptEnd.ANSWERED:
            # The other attempt may still be answered.
            self._withdraw(attempt)
            if attempt.is_hedge and end is AttemptEnd.NOT_RUN:
                self._hedge_elsewhere(now)
            return
        if attempt.is_hedge and end is AttemptEnd.ANSWERED:
            # The first target was slower than the hedge, or does not answer
            # at all.
            for other in self._attempts:
                other.view.note_result(True, now)
        progress = outcomes.CallProgress(
            self.route,
            self.sent,
            self.refusals,
            self.deadline - now,
            self.entry.shortest_runs.read(
                self.entry.placement, self.route, self.service, now
            ),
        )
        step = outcomes.decide_step(end, progress)
        self._take_step(step, attempt, answer, now)

    def _take_step(
        self, step: Step, attempt: Attempt, answer: frames.Answer, now: float
    ) -> None:
        if step is Step.REPEAT and not self.entry.budget.take(
            self.service, now
        ):
            step = outcomes.decide_without_repeat(AttemptEnd(answer.end))
        if step is Step.RELAY and answer.more:
            self._begin_stream(attempt, answer)
            return
        self._withdraw(attempt)
        if step is Step.RELAY:
            self._relay(answer)
        elif step is Step.FAIL:
            self._fail(502, answer.reason)
        elif step is Step.REFUSE:
            self._refuse()
        else:
            self.entry.log.log_request(
                "entry.again",
                id=self.entry.find_id(self.request),
                step=step.name.lower(),
                reason=answer.reason,
                target=answer.target_id,
                sent=self.sent,
                left_s=self.deadline - now,
            )
            self._start_attempt()

    def _note_answer(
        self,
        attempt: Attempt,
        answer: frames.Answer,
        end: AttemptEnd,
        now: float,
    ) -> None:
        view = attempt.view
        entry_placement = self.entry.placement
        if not answer.more and not attempt.is_over:
            attempt.is_over = True
            view.note_end()
        if answer.reason.startswith(reasons.LINK_PREFIX):
            entry_placement.avoid(view.address, now)
            return
        entry_placement.note_reached(view.address)
        view.note_load(answer.busy, now)
        is_refused = answer.reason == reasons.WAIT_TOO_LONG
        reported_wait_s = answer.retry_after_ms / 1000 if is_refused else 0.0
        view.note_wait(self.route.work_class, reported_wait_s, now)
        if answer.mean_us:
            mean_s = answer.mean_us / keeper.MICROSECONDS
            view.note_service(self.route.work_class, mean_s, now)
        if end is AttemptEnd.NOT_RUN:
            if answer.reason in reasons.STALE_RECORD:
                entry_placement.avoid(view.address, now)
            return
        view.note_result(end is not AttemptEnd.ANSWERED, now)
        if end is AttemptEnd.ANSWERED:
            size_bytes = max(answer.length, len(answer.body))
            entry_placement.note_answer(self.route.work_class, size_bytes)
        if answer.service_us:
            service_s = answer.service_us / keeper.MICROSECONDS
            wait_s = answer.wait_us / keeper.MICROSECONDS
            is_download = self.route.kind is configuration.CallKind.DOWNLOAD
            overhead_s = now - attempt.sent_at - service_s - wait_s
            view.note_overhead(is_download, max(0.0, overhead_s), now)

    def _note_refusal(self, attempt: Attempt, answer: frames.Answer) -> None:
        self.sent -= 1
        self.refusals += 1
        self._retry_after_s = answer.retry_after_ms / 1000
        if answer.reason == reasons.WAIT_TOO_LONG:
            self._search.note_full(attempt.view.address)

    def _begin_stream(self, attempt: Attempt, answer: frames.Answer) -> None:
        self._is_streaming = True
        self._withdraw_others(attempt)
        length = answer.length if answer.length >= 0 else None
        self.reply.start(
            answer.status, keeper.strip_framing(answer.headers), length
        )
        self.reply.write(answer.body)
        self._pause_if_full(attempt)

    def _receive_chunk(self, attempt: Attempt, chunk: frames.Chunk) -> None:
        if chunk.is_last and not attempt.is_over:
            attempt.is_over = True
            attempt.view.note_end()
        if self.is_over:
            return
        self.reply.write(chunk.body)
        if not chunk.is_last:
            self._pause_if_full(attempt)
            return
        self._attempts.remove(attempt)
        self._end("cut" if chunk.failed else "ok", 0)
        if chunk.failed:
            self.reply.abort()
        else:
            self.reply.finish()

    def _pause_if_full(self, attempt: Attempt) -> None:
        """Stops the target's answer until the caller has taken what it has.

        An answer without end would otherwise fill the memory of this node.
        """
        if self._is_paused or attempt.sent is None or not self.reply.is_full:
            return
        self._is_paused = True
        self.reply.on_drained = lambda: self._resume(attempt)
        attempt.sent.pause(True)

    def _resume(self, attempt: Attempt) -> None:
        self.reply.on_drained = None
        self._is_paused = False
        if not self.is_over and attempt.sent is not None:
            attempt.sent.pause(False)

    # End of the call.

    def _relay(self, answer: frames.Answer) -> None:
        self._end(answer.reason, answer.status, answer)
        self.reply.send(
            answer.status, keeper.strip_framing(answer.headers), answer.body
        )

    def _refuse(self) -> None:
        if self.sent:
            # An earlier attempt may have run, which a refusal would deny.
            self._fail(502, self._last_reason)
            return
        now = self._now()
        wait_s = self._make_retry_after(now)
        self._end(self._last_reason, 503)
        self.entry.note_refusal(
            self.route,
            patience.RefusedCall(
                hash(self.request.path),
                self.started_at - self.waited_s,
                self.caller_deadline,
                now + wait_s,
            ),
            now,
        )
        self.entry.refuse(
            self.reply,
            self.request,
            self._last_reason,
            wait_s,
            service=self.service,
            version=self.version,
            refusals=self.refusals,
            waited_s=now - self.started_at,
        )

    def _make_retry_after(self, now: float) -> float:
        places = self.entry.placement
        pressure = self._get_pressure()
        targets = len(places.views.get(self.service, {}))
        if shedding.shows_shortage(self._last_reason, self.refusals, targets):
            pressure.note_refused(now)
        wait_s = max(
            self._retry_after_s, places.estimate_retry(self.service, now)
        )
        spread_s = outcomes.spread_retry(
            wait_s,
            self.caller_deadline - now,
            pressure.get_refused_share(now),
            places.rng,
        )
        return outcomes.make_retry_after(spread_s)

    def _fail(self, status: int, reason: str) -> None:
        addresses = ",".join(str(item.view.address) for item in self._attempts)
        self._end(reason, status)
        self.entry.note_failure(self.route, self._now())
        self.entry.log.log_request(
            "entry.failed",
            id=self.entry.find_id(self.request),
            status=status,
            reason=reason,
            service=self.service,
            version=self.version,
            sent=self.sent,
            outstanding=addresses,
            waited_s=self._now() - self.started_at,
        )
        self.entry.answer(self.reply, self.request, status, reason)

    def _time_out(self) -> None:
        """Ends the call once the bytes that have arrived are read.

        Timers run before sockets are read, so the answer may wait there.
        """
        self._timer = self.entry.reactor.callLater(0, self._give_up)

    def _give_up(self) -> None:
        if self.is_over:
            return
        if self._is_streaming:
            self._end("cut-at-deadline", 0)
            self.reply.abort()
            return
        is_cut = self.deadline >= self.entry.last_answer_at
        for attempt in self._attempts:
            self._withdraw(attempt)
        if not self.sent:
            self._last_reason = reasons.LEAVING if is_cut else reasons.TOO_LATE
            self._refuse()
            return
        self._fail(504, reasons.LEAVING if is_cut else reasons.TIMEOUT)

    def _handle_caller_gone(self) -> None:
        if self.is_over:
            return
        self.entry.log.log_request(
            "entry.caller-gone",
            id=self.entry.find_id(self.request),
            sent=self.sent,
            waited_s=self._now() - self.started_at,
        )
        self._end(reasons.CALLER_GONE, 0)

    def _end(
        self, reason: str, status: int, answer: frames.Answer | None = None
    ) -> None:
        self.is_over = True
        self.entry.flows.discard(self)
        for timer in (self._timer, self._hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._withdraw_others(None)
        if self.token is not None and self.sent == 0:
            self.token.give_back()
        # The reply refers to this call in a cycle, which would keep the body
        # until the next garbage collection.
        if self.request.body:
            self.request = attrs.evolve(self.request, body=b"")
        elapsed_s = self._now() - self.started_at
        self.entry.metrics.note_call(reason, status, elapsed_s)
        if answer is not None and status < 500:
            self.entry.log.log_routine(
                "entry.answered",
                id=self.entry.find_id(self.request),
                status=status,
                route=self.route.name,
                version=self.version,
                service=self.service,
                target=answer.target_id,
                sent=self.sent,
                refusals=self.refusals,
                waited_s=answer.wait_us / keeper.MICROSECONDS,
                ran_s=answer.service_us / keeper.MICROSECONDS,
                took_s=elapsed_s,
            )

    def _withdraw_others(self, kept: Attempt | None) -> None:
        for attempt in self._attempts:
            if attempt is not kept:
                self._withdraw(attempt)
        self._attempts = [kept] if kept is not None else []

    def _withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt that has not ended, without a result.

        An attempt that has certainly not run no longer counts as sent.
        """
        if attempt.is_over:
            return
        attempt.is_over = True
        attempt.view.note_end()
        if attempt.sent is not None and attempt.sent.withdraw():
            self.sent -= 1
