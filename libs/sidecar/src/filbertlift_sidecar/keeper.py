"""Keeper: queues calls for the target on this host and runs them.

A call that is not idempotent runs at most once. Only this node sends calls to
the target, so it decides when a call starts and knows for certain which calls
have not run.
"""

from collections.abc import Callable
import math
from typing import Any
from typing import Final

import attrs

from filbertlift_mesh import announcements
from filbertlift_mesh import backlog as backlogs
from filbertlift_mesh import directory
from filbertlift_mesh import outcomes
from filbertlift_mesh import reasons
from filbertlift_mesh import speeds
from filbertlift_sidecar import answers
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exchange
from filbertlift_sidecar import frames
from filbertlift_transport import http
from filbertlift_transport import memory

# Interval at which waiting calls that can no longer be served in time are
# refused, in seconds.
POLL_INTERVAL_S: Final = 0.02
# Time for which a target gets no calls after it refused a connection, in
# seconds; waiting calls are refused, so that they can run elsewhere.
TARGET_DOWN_S: Final = 0.5
# Time after its deadline at which a run that has not ended loses its slot, in
# seconds.
RUN_GRACE_S: Final = 1.0
# Statuses of answers that would tell a caller that its call has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))

# Begins the reason of an answer that the target signed and that is a failure.
TARGET_PREFIX: Final = "target-"

MICROSECONDS: Final = 1_000_000

# Called once a keeper no longer holds the body of a call.
BodyReleaseFunction = Callable[[], None]
RunFunction = Callable[[str, bool, float], None]
AnswerFunction = Callable[[frames.Answer], None]
ChunkFunction = Callable[[frames.Chunk], None]
AttemptEnd = outcomes.AttemptEnd
# Ends of attempts whose answers are passed on, also before they are complete.
STREAMED_ENDS: Final = (AttemptEnd.ANSWERED, AttemptEnd.FAILED)


def ignore_run(_work_class: str, _is_failure: bool, _elapsed_s: float) -> None:
    """Does nothing with the end of a run."""


def ignore_body_release() -> None:
    """Does nothing, for calls whose body is accounted for elsewhere."""


@attrs.frozen
class SentCall:
    """Controls of a call that was submitted to a keeper.

    Attributes:
        withdraw: withdraws the call; nothing more is reported. Returns whether
            it has certainly not run.
        pause: stops or resumes the reading of its streamed answer at the
            target.
    """

    withdraw: Callable[[], bool]
    pause: Callable[[bool], None]


@attrs.define(eq=False)
class KeptCall:
    """A call that waits or runs at this keeper.

    Attributes:
        call: the call as it was sent.
        ticket: its entry in the backlog.
        on_answer: called with its end, or with the head of a streamed answer.
        on_chunk: called with each further part of a streamed answer.
        on_body_released: called once its body is no longer held.
        is_over: whether its end was reported or nothing waits for it any more.
        is_backlogged: returns whether streamed data waits to be passed on.
        target_id: target that it was sent to, empty before that.
        is_streaming: whether the head of a streamed answer was reported.
        is_failure: whether the answer is a failure.
        is_run: whether the target ran it, as far as known.
        is_cut: whether its run did not end by itself.
        is_paused: whether its caller does not take more of the answer now.
        connection: connection that carries it while it runs.
        run_timer: stops the run when it is overdue.
        level: calls that ran when it started, with itself.
    """

    call: frames.Call
    ticket: backlogs.Ticket
    on_answer: AnswerFunction
    on_chunk: ChunkFunction
    is_backlogged: exchange.BacklogFunction = exchange.never_backlogged
    on_body_released: BodyReleaseFunction = ignore_body_release
    is_over: bool = False
    target_id: str = ""
    is_streaming: bool = False
    is_failure: bool = False
    is_run: bool = True
    is_cut: bool = True
    is_paused: bool = False
    connection: exchange.TargetConnection | None = None
    run_timer: Any = None
    level: int = 0

    def release_body(self) -> None:
        """Drops the body, which is not needed any more."""
        if self.call.body:
            self.call = attrs.evolve(self.call, body=b"")
        on_released = self.on_body_released
        self.on_body_released = ignore_body_release
        on_released()


@attrs.define(eq=False)
class Keeper:
    """Queues calls for the target on this host and runs them in its slots.

    Unlike `filbertlift_calls.keeper`, which only records the state of calls, it
    runs them, as `filbertlift_node.relay` does, and doesn't remember them
    afterwards.

    Attributes:
        target: state of the target.
        pool: connections to the target.
        backlog: slots and waiting calls.
        end_at: when every run has to end, in seconds; no limit unless this
            node leaves.
        on_run: called with the class of work of each run at its end, whether
            it failed, and its time in seconds so far.
        learned: learned speed and limit of the target; None if the slots that
            it reports are the limit.
    """

    reactor: Any
    target: announcements.LocalTarget
    pool: exchange.TargetPool
    log: eventlog.EventLog
    backlog: backlogs.Backlog = attrs.field(factory=backlogs.Backlog)
    end_at: float = math.inf
    on_run: RunFunction = ignore_run
    learned: speeds.LearnedTarget | None = None
    _waiting: dict[backlogs.Ticket, KeptCall] = attrs.field(factory=dict)
    _running: dict[backlogs.Ticket, KeptCall] = attrs.field(factory=dict)
    _down_until: float = float("-inf")
    _poll_timer: Any = None

    @property
    def in_flight(self) -> int:
        """Number of calls that wait or run at this keeper."""
        return len(self._waiting) + len(self._running)

    def submit(
        self,
        call: frames.Call,
        on_answer: AnswerFunction,
        on_chunk: ChunkFunction,
        is_backlogged: exchange.BacklogFunction = exchange.never_backlogged,
        on_body_released: BodyReleaseFunction = ignore_body_release,
    ) -> KeptCall:
        """Starts, queues or refuses a call.

        `on_answer` is called with the end of the call, possibly before this
        method returns. The target is not read while `is_backlogged` returns
        that the data of a streamed answer waits to be passed on.
        """
        now = self.reactor.seconds()
        ticket = backlogs.Ticket(
            call.request_id,
            call.work_class,
            call.priority,
            now + call.objective_ms / 1000,
            min(now + call.left_ms / 1000, self.end_at),
            organisation=self._read_organisation(call),
        )
        kept = KeptCall(
            call, ticket, on_answer, on_chunk, is_backlogged, on_body_released
        )
        reason = self._find_refusal(call, now)
        if reason:
            self._refuse(kept, reason, 0.0)
            return kept
        self._apply_limit(now)
        result = self.backlog.offer(ticket, call.max_wait_ms / 1000, now)
        if isinstance(result, backlogs.Refused):
            reason = self._explain_refusal(result.reason.value)
            self._refuse(kept, reason, result.retry_after_s)
        elif isinstance(result, backlogs.Waiting):
            self._waiting[ticket] = kept
            self._schedule_poll()
            # Slots are free if the calls that wait have too little time left.
            self._start_waiting(now)
        else:
            self._start(kept, now)
        return kept

    def cancel(self, kept: KeptCall) -> bool:
        """Withdraws a call whose caller is gone or has been answered.

        A waiting call is removed. A run is stopped only if it is idempotent, or
        if the target cannot run it yet since it does not have the whole body.

        Returns:
            Whether it was waiting, and so has certainly not run.
        """
        if kept.is_over:
            return False
        kept.is_over = True
        now = self.reactor.seconds()
        self.log.log_request(
            "keeper.withdrawn",
            id=kept.call.request_id,
            target=kept.target_id,
            ran=kept.ticket.started_at is not None,
            age_s=now - kept.ticket.offered_at,
            stops=kept.call.is_idempotent,
        )
        if self.backlog.withdraw(kept.ticket):
            del self._waiting[kept.ticket]
            kept.release_body()
            return True
        if kept.call.is_idempotent or kept.call.body:
            self._stop_run(kept)
        return False

    def pause(self, kept: KeptCall, is_paused: bool) -> None:
        """Stops or resumes the reading of a streamed answer."""
        kept.is_paused = is_paused

    def refresh_target(self) -> None:
        """Applies the current slots and state of the target."""
        now = self.reactor.seconds()
        usable = self.target.get_usable(now)
        if usable is None:
            self.refuse_waiting(reasons.TARGET_LEAVING)
            return
        if self.learned is None:
            self.backlog.slots = usable.slots
        else:
            self.learned.note_target(
                usable.target_id, usable.born_ms, usable.slots, now
            )
        self._start_waiting(now)

    def refuse_waiting(self, reason: str) -> None:
        """Refuses every waiting call, so that it can run elsewhere."""
        for ticket in self.backlog.clear():
            self._refuse(self._waiting.pop(ticket), reason, 0.0)

    def leave(self, end_at: float) -> None:
        """Runs only calls that should end by a time in seconds.

        The other waiting calls are refused, so that they can run elsewhere.
        """
        self.end_at = end_at
        for ticket in self._waiting:
            ticket.deadline = min(ticket.deadline, end_at)

    def close(self) -> None:
        """Stops timers and connections."""
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()
        for kept in self._running.values():
            if kept.run_timer is not None and kept.run_timer.active():
                kept.run_timer.cancel()
        self.pool.close()

    def _find_refusal(self, call: frames.Call, now: float) -> str:
        if now < self._down_until:
            return reasons.TARGET_DOWN
        usable = self.target.get_usable(now)
        if usable is None:
            return reasons.NO_TARGET
        if usable.service != call.service:
            return reasons.OTHER_SERVICE
        return ""

    def _read_organisation(self, call: frames.Call) -> str:
        """Returns the organisation that the entry of a call has found.

        Headers of callers have names in lower case.
        """
        name = self.pool.dialect.tenant
        for key, value in reversed(call.headers):
            if key == name:
                return value
        return ""

    def _explain_refusal(self, reason: str) -> str:
        is_leaving = math.isfinite(self.end_at)
        return reasons.LEAVING if is_leaving else reason

    def _start(self, kept: KeptCall, now: float) -> None:
        usable = self.target.get_usable(now)
        if usable is None:
            self.backlog.release(kept.ticket, False, now)
            self._refuse(kept, reasons.TARGET_LEAVING, 0.0)
            return
        self._running[kept.ticket] = kept
        kept.level = len(self._running)
        kept.target_id = usable.target_id
        limit_s = max(0.0, kept.ticket.deadline - now) + RUN_GRACE_S
        kept.run_timer = self.reactor.callLater(
            limit_s, self._stop_overdue_run, kept
        )
        request = self._make_request(kept, usable, now)
        kept.connection = self.pool.send(
            request,
            exchange.ExchangeEvents(
                lambda answer: self._receive_answer(kept, answer),
                lambda data, is_last: self._receive_data(kept, data, is_last),
                lambda reason, is_sent: self._receive_failure(
                    kept, reason, is_sent
                ),
                lambda: kept.is_paused or kept.is_backlogged(),
                kept.release_body,
            ),
        )

    def _make_request(
        self, kept: KeptCall, target: directory.TargetRecord, now: float
    ) -> answers.TargetRequest:
        call = kept.call
        dialect = self.pool.dialect
        left_ms = max(1, int((kept.ticket.deadline - now) * 1000))
        lines = [f"{call.method} {call.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in call.headers]
        lines.append(f"{dialect.deadline}: {left_ms}")
        lines.append(f"{dialect.instance}: {target.target_id}")
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(call.body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
        body = call.body
        if len(body) <= memory.SMALL_BODY_BYTES:
            data, body = data + body, b""
        return answers.TargetRequest(
            call.request_id,
            data,
            call.method == "HEAD",
            not call.is_idempotent,
            body,
        )

    def _receive_answer(
        self, kept: KeptCall, answer: answers.TargetAnswer
    ) -> None:
        end, reason = classify_answer(answer, self.pool.dialect)
        kept.is_run = end is not AttemptEnd.SHED
        kept.is_cut = answer.more
        kept.is_failure = answer.status >= 500 and reason.startswith(
            TARGET_PREFIX
        )
        if answer.more and end not in STREAMED_ENDS:
            self._stop_run(kept)
            self._report(kept, end, reason)
            return
        if answer.more:
            kept.is_streaming = True
            self._send_answer(kept, end, reason, answer, 0.0)
            return
        now = self.reactor.seconds()
        assert kept.ticket.started_at is not None
        is_sample = end is AttemptEnd.ANSWERED
        elapsed_s = now - kept.ticket.started_at if is_sample else 0.0
        self._end_run(kept, is_sample)
        if end is AttemptEnd.SHED:
            self.log.log_request(
                "keeper.shed",
                id=kept.call.request_id,
                target=kept.target_id,
                status=answer.status,
                running=len(self._running),
                slots=self.backlog.slots,
            )
            if self.learned is not None and reason == reasons.TARGET_REFUSED:
                self.learned.note_rejection(len(self._running), now)
                self._apply_limit(now)
        self._send_answer(kept, end, reason, answer, elapsed_s)
        self._start_waiting(now)

    def _receive_data(self, kept: KeptCall, data: bytes, is_last: bool) -> None:
        if is_last:
            kept.is_cut = False
            self._end_run(kept, not kept.is_failure)
        if not kept.is_over:
            kept.is_over = is_last
            kept.on_chunk(frames.Chunk(kept.call.stream, data, is_last, False))
        if is_last:
            self._start_waiting(self.reactor.seconds())

    def _receive_failure(
        self, kept: KeptCall, reason: str, is_sent: bool
    ) -> None:
        now = self.reactor.seconds()
        kept.is_run = False
        self._end_run(kept, False)
        self.log.log_request(
            "keeper.target-lost",
            id=kept.call.request_id,
            target=kept.target_id,
            reason=reason,
            sent=is_sent,
        )
        if not is_sent:
            self._down_until = now + TARGET_DOWN_S
            self.refuse_waiting(reasons.TARGET_DOWN)
        if kept.is_streaming:
            if not kept.is_over:
                kept.is_over = True
                kept.on_chunk(frames.Chunk(kept.call.stream, b"", True, True))
        else:
            end = AttemptEnd.BROKEN if is_sent else AttemptEnd.NOT_RUN
            self._report(kept, end, reason)
        self._start_waiting(now)

    def _stop_overdue_run(self, kept: KeptCall) -> None:
        """Frees the slot of an overdue run, without reporting its end.

        The entry has answered the caller by then, unless it streams the answer.
        Timers run before sockets are read, so the answer may wait there.
        """
        kept.run_timer = self.reactor.callLater(0, self._give_up_run, kept)

    def _give_up_run(self, kept: KeptCall) -> None:
        kept.is_over = True
        self._stop_run(kept)

    def _stop_run(self, kept: KeptCall) -> None:
        if kept.ticket not in self._running:
            return
        if kept.connection is not None:
            kept.connection.drop()
        self._end_run(kept, False)
        self._start_waiting(self.reactor.seconds())

    def _end_run(self, kept: KeptCall, is_sample: bool) -> None:
        if self._running.pop(kept.ticket, None) is None:
            return
        kept.release_body()
        if kept.run_timer is not None and kept.run_timer.active():
            kept.run_timer.cancel()
        now = self.reactor.seconds()
        if kept.is_run:
            self._note_run(kept.ticket, kept, now)
        self._learn_run(kept, is_sample, now)
        self.backlog.release(kept.ticket, is_sample, now)

    def _note_run(
        self, ticket: backlogs.Ticket, kept: KeptCall, now: float
    ) -> None:
        """Reports the end of a run.

        A run that was stopped took longer than its time so far, which says
        something only if that is longer than usual.
        """
        if ticket.started_at is None:
            return
        elapsed_s = now - ticket.started_at
        mean = self.backlog.means.get(ticket.work_class)
        if kept.is_cut and mean is not None and elapsed_s < mean.value:
            return
        self.on_run(ticket.work_class, kept.is_failure, elapsed_s)

    def _learn_run(self, kept: KeptCall, is_sample: bool, now: float) -> None:
        """Records a run that ended; failures say nothing of the speed."""
        started_at = kept.ticket.started_at
        if self.learned is None or started_at is None or kept.is_streaming:
            return
        work_class, spent_s = kept.call.work_class, now - started_at
        if is_sample:
            self.learned.note_run(work_class, spent_s, kept.level, now)
        elif kept.is_over:
            self.learned.speed.note_unfinished(work_class, spent_s, now)

    def _apply_limit(self, now: float) -> None:
        """Applies the learned limit, which may change with time."""
        if self.learned is None:
            return
        limit = self.learned.read_limit(now)
        if limit == self.backlog.slots:
            return
        self.log.log_request(
            "keeper.limit",
            limit=limit,
            before=self.backlog.slots,
            slots=self.learned.slots,
            reason=self.learned.reason,
            speed=self.learned.speed.read_speed(now),
        )
        self.backlog.slots = limit

    def _start_waiting(self, now: float) -> None:
        self._apply_limit(now)
        if now < self._down_until:
            return
        ticket = self.backlog.start_next(now)
        while ticket is not None:
            self._start(self._waiting.pop(ticket), now)
            ticket = self.backlog.start_next(now)

    def _refuse(
        self, kept: KeptCall, reason: str, retry_after_s: float
    ) -> None:
        if not kept.is_over:
            self.log.log_request(
                "keeper.refused",
                id=kept.call.request_id,
                reason=reason,
                service=kept.call.service,
                running=len(self._running),
                waiting=len(self._waiting),
                slots=self.backlog.slots,
                left_s=kept.ticket.deadline - self.reactor.seconds(),
                retry_after_s=retry_after_s,
            )
        self._report(kept, AttemptEnd.NOT_RUN, reason, retry_after_s)

    def _report(
        self,
        kept: KeptCall,
        end: AttemptEnd,
        reason: str,
        retry_after_s: float = 0.0,
    ) -> None:
        kept.release_body()
        if kept.is_over:
            return
        kept.is_over = True
        kept.on_answer(
            frames.Answer(
                kept.call.stream,
                end,
                reason,
                busy=self._get_busy(),
                retry_after_ms=int(retry_after_s * 1000),
                target_id=kept.target_id,
                mean_us=self._get_mean_us(kept),
            )
        )

    def _get_busy(self) -> int:
        """Returns the calls here; slots that may not be used count as calls.

        Other nodes know only the slots that the target reports.
        """
        if self.learned is None:
            return self.backlog.busy
        withheld = self.learned.slots - self.backlog.slots
        return self.backlog.busy + max(0, withheld)

    def _get_mean_us(self, kept: KeptCall) -> int:
        if self.learned is not None:
            learned_s = self.learned.speed.read_time(
                kept.call.work_class, self.reactor.seconds()
            )
            if learned_s is not None:
                return int(learned_s * MICROSECONDS)
        mean = self.backlog.means.get(kept.call.work_class)
        return int(mean.value * MICROSECONDS) if mean is not None else 0

    def _send_answer(
        self,
        kept: KeptCall,
        end: AttemptEnd,
        reason: str,
        answer: answers.TargetAnswer,
        elapsed_s: float,
    ) -> None:
        if kept.is_over:
            return
        kept.is_over = not answer.more
        kept.on_answer(
            frames.Answer(
                kept.call.stream,
                end,
                reason,
                answer.status,
                answer.headers,
                answer.body,
                -1 if answer.length is None else answer.length,
                answer.more,
                self._get_busy(),
                int(elapsed_s * MICROSECONDS),
                0,
                kept.target_id,
                int(
                    (kept.ticket.started_at - kept.ticket.offered_at)
                    * MICROSECONDS
                )
                if kept.ticket.started_at is not None
                else 0,
                self._get_mean_us(kept),
            )
        )

    def _schedule_poll(self) -> None:
        if self._poll_timer is None or not self._poll_timer.active():
            self._poll_timer = self.reactor.callLater(
                POLL_INTERVAL_S, self._poll
            )

    def _poll(self) -> None:
        now = self.reactor.seconds()
        for ticket in self.backlog.drop_late(now):
            reason = self._explain_refusal(reasons.TOO_LATE)
            self._refuse(self._waiting.pop(ticket), reason, 0.0)
        if self.target.get_usable(now) is None:
            self.refuse_waiting(reasons.TARGET_LEAVING)
        else:
            self._start_waiting(now)
        if self._waiting:
            self._schedule_poll()


def classify_answer(
    answer: answers.TargetAnswer, dialect: answers.TargetDialect
) -> tuple[AttemptEnd, str]:
    """Returns how an attempt with this answer of a target ended, and why."""
    if answer.status == dialect.misdirected_status:
        return AttemptEnd.SHED, reasons.OTHER_TARGET
    if answers.is_refusal(answer, dialect):
        return AttemptEnd.SHED, reasons.TARGET_REFUSED
    names = {name.lower() for name, _value in answer.headers}
    if dialect.signature.lower() not in names:
        return AttemptEnd.BROKEN, f"unsigned-{answer.status}"
    if answer.status in NOT_RUN_STATUSES:
        # If the status were forwarded, it would tell the caller that its call
        # has not run.
        return AttemptEnd.BROKEN, f"{TARGET_PREFIX}{answer.status}"
    if answer.status >= 500:
        return AttemptEnd.FAILED, f"{TARGET_PREFIX}{answer.status}"
    return AttemptEnd.ANSWERED, "ok"


def strip_framing(headers: frames.Headers) -> list[http.Header]:
    """Returns the headers of a target's answer without those of framing."""
    return [
        http.Header(name, value)
        for name, value in headers
        if name.lower() not in http.FRAMING_HEADERS
    ]
