"""The keeper's side of a call: runs it on the target beside this node."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet import task

from filbertlift_calls import admission as admissions
from filbertlift_calls import codes
from filbertlift_calls import keeper as keepers
from filbertlift_calls import records
from filbertlift_calls import tickets
from filbertlift_config import routes
from filbertlift_core import model
from filbertlift_node import attempts
from filbertlift_node import runs
from filbertlift_transport import client
from filbertlift_wire import messages

# Interval at which expired calls are removed from the queue, in seconds.
POLL_INTERVAL_S = 0.05
# Interval at which ids are forgotten after their retention, in seconds.
EXPIRE_INTERVAL_S = 1.0
# A target sets this header on a refusal that it sent without running the call.
SHED_HEADER = "filbertlift-shed"
# Status of a target that stopped working on a call at its deadline.
GATEWAY_TIMEOUT = 504
# Negative service times are not added to the mean of the admission.
UNKNOWN_SERVICE_TIME_S = -1.0


@attrs.define(eq=False)
class Relay:
    """The calls that run or wait at one target.

    It runs calls as `filbertlift_sidecar.keeper` does, but also records some in
    `filbertlift_calls.keeper`, so that entries can ask for their outcome.

    Attributes:
        keeper: ids of the calls that are not idempotent or have a key.
        admission: slots and queue of the target.
        refusal: code with which new calls are refused, None if they are
            accepted.
        version: returns the version in force.
        shed: number of calls that were dropped without having run.
    """

    _reactor: Any
    _pool: client.HttpPool
    keeper: keepers.Keeper
    admission: admissions.Admission
    version: Callable[[], int]
    refusal: str | None = codes.NOT_READY
    shed: int = 0
    _runs: dict[str, runs.Run] = attrs.field(factory=dict)
    _loops: list[task.LoopingCall] = attrs.field(factory=list)

    def start(self) -> None:
        """Starts the timers."""
        for interval, function in (
            (POLL_INTERVAL_S, self._poll),
            (EXPIRE_INTERVAL_S, self._expire),
        ):
            loop = task.LoopingCall(function)
            loop.clock = self._reactor
            loop.start(interval, now=False)
            self._loops.append(loop)

    def close(self) -> None:
        """Stops the timers and closes idle connections to the target."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        self._pool.close()

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._runs)

    @property
    def queue(self) -> int:
        """Number of queued short calls, as reported in answers."""
        counts = self.admission.policy.order.counts
        return counts[model.WorkClass.CHECK] + counts[model.WorkClass.COUNTER]

    def has_free_slot(self) -> bool:
        """Returns whether a short call would start immediately."""
        admission = self.admission
        return (
            self.refusal is None
            and admission.paused is None
            and sum(admission.running) < admission.slots
            and not self.queue
        )

    def list_runs(self) -> list[runs.Run]:
        """Returns the calls that are queued or running."""
        return list(self._runs.values())

    def accept(
        self,
        call: messages.Call,
        route: routes.Route,
        listener: attempts.Listener,
    ) -> runs.Asker | None:
        """Accepts or refuses a call that was routed to this node.

        A refusal is sent to the listener as an answer.

        Returns:
            A handle of the attempt, or None if the listener has received the
            whole answer.
        """
        if self.refusal is not None:
            self.refuse(listener, self.refusal)
            return None
        now = self._reactor.seconds()
        deadline = now + call.deadline_ms / 1000
        call_id = call.call_id.decode()
        # An idempotent call without a key may run again, so its id is not
        # held.
        is_id_held = call.keyed or not route.idempotent
        if is_id_held:
            known = self._begin(call, call_id, route, deadline, listener, now)
            if isinstance(known, runs.Run):
                return runs.Asker(self, known, listener, call.asker)
            if known is not None:
                return None
        elif call_id in self._runs:
            # The second attempt of a hedged call reached the same keeper.
            self.refuse(listener, codes.WITHDRAWN)
            return None
        ticket = tickets.Ticket(
            call_id, call.caller, route.work_class, deadline
        )
        run = runs.Run(self, call, route, ticket, is_id_held, [listener])
        self._runs[call_id] = run
        result = self.admission.offer(ticket, now)
        if isinstance(result, tickets.Start):
            self._start(run, now)
        elif isinstance(result, tickets.Shed):
            self._drop(run, result.code, result.retry_after_s)
        return (
            None if run.is_over else runs.Asker(self, run, listener, call.asker)
        )

    def refuse(
        self,
        listener: attempts.Listener,
        code: str,
        outcome: model.Outcome = model.Outcome.NOT_RUN,
    ) -> None:
        """Answers a call that this node does not run."""
        listener.on_answer(self._make_local_answer(outcome, code))

    def settle(self, inquiry: records.Inquiry) -> records.Settlement:
        """Returns the state of a call whose link was lost."""
        return self.keeper.settle(inquiry, self._reactor.seconds())

    def withdraw(self, asker: runs.Asker) -> bool:
        """Withdraws a call for one asker; returns whether it may have run."""
        run = asker.run
        if run.is_over:
            return True
        if run.is_started:
            self._remove_asker(run, asker.listener)
            return True
        if run.is_id_held:
            result = self.keeper.withdraw(
                run.ticket.call_id, asker.name, self._reactor.seconds()
            )
            if not isinstance(result, records.Withdrawn):
                # Another asker still waits for it.
                run.listeners.remove(asker.listener)
                return True
        self.admission.withdraw(run.ticket.call_id)
        self._end(run)
        return False

    def _remove_asker(self, run: runs.Run, listener: attempts.Listener) -> None:
        """Removes an asker from a call that has started.

        An idempotent call without a remaining asker is cancelled. Any other
        call continues, so that its outcome can be reported later.
        """
        run.listeners[run.listeners.index(listener)] = attempts.NULL_LISTENER
        run.resume()
        if any(item is not attempts.NULL_LISTENER for item in run.listeners):
            return
        if not run.route.idempotent or run.client_call is None:
            return
        run.client_call.cancel()
        self._record_unknown(run)
        self._release(run, UNKNOWN_SERVICE_TIME_S)

    def answer(self, run: runs.Run, body: bytes, more: bool) -> None:
        """Sends the target's answer to the listeners.

        Only the first listener receives an answer that is streamed.
        """
        answer = self._make_answer(
            model.Outcome.DONE, codes.DONE, run.status, run.headers, body, more
        )
        if more:
            run.listeners[0].on_answer(answer)
            return
        for listener in run.listeners:
            listener.on_answer(answer)

    def finish(self, run: runs.Run) -> None:
        """Ends a run whose answer is complete."""
        now = self._reactor.seconds()
        if run.status == 503 and _is_shed(run.headers):
            self._release(run, UNKNOWN_SERVICE_TIME_S)
            self._drop(run, codes.QUEUE_FULL, 0.0)
            return
        if run.status == GATEWAY_TIMEOUT and not run.is_streaming:
            # The target stopped at the deadline; it may have run the call.
            self._end_unknown(run, codes.TIMEOUT)
            return
        body = run.take_body()
        if run.is_id_held:
            kept = None
            if not run.is_streaming:
                kept = records.KeptAnswer(
                    model.Outcome.DONE,
                    codes.DONE,
                    run.status,
                    run.headers,
                    body,
                )
            self.keeper.finish(
                run.ticket.call_id, model.Outcome.DONE, kept, now
            )
        if run.is_streaming:
            run.end_stream(failed=False)
            self._send_not_kept(run)
        else:
            self.answer(run, body, more=False)
        self._release(run, now - run.started_at)

    def fail(self, run: runs.Run, failure: client.ClientFailure) -> None:
        """Ends a run whose connection to the target failed."""
        if not failure.sent:
            self._release(run, UNKNOWN_SERVICE_TIME_S)
            self._drop(run, codes.TARGET_DOWN, 0.0)
            return
        self._end_unknown(run, codes.TARGET_LOST)

    def _end_unknown(self, run: runs.Run, code: str) -> None:
        """Ends a run with an unknown outcome."""
        self._record_unknown(run)
        if run.is_streaming:
            run.end_stream(failed=True)
        answer = self._make_local_answer(model.Outcome.UNKNOWN, code)
        for listener in run.listeners[int(run.is_streaming) :]:
            listener.on_answer(answer)
        self._release(run, UNKNOWN_SERVICE_TIME_S)

    def set_policy(self, policy: routes.ServicePolicy) -> None:
        """Applies the slots, queue and connections of the configuration."""
        self._pool.set_max_connections(policy.connections)
        self.admission.queue_limit = policy.queue
        if self.admission.slots != policy.slots:
            now = self._reactor.seconds()
            self.apply_results(self.admission.set_slots(policy.slots, now))

    def pause(self, code: str) -> None:
        """Stops starting calls; queued calls are dropped as not run."""
        self.admission.pause(code)
        self.apply_results(self.admission.clear(code))

    def resume(self) -> None:
        """Starts calls again."""
        self.apply_results(self.admission.resume(self._reactor.seconds()))

    def apply_results(
        self, results: Iterable[tickets.Start | tickets.Drop]
    ) -> None:
        """Starts and drops calls as the admission decided."""
        now = self._reactor.seconds()
        for result in results:
            run = self._runs.get(result.ticket.call_id)
            if run is None:
                continue
            if isinstance(result, tickets.Start):
                self._start(run, now)
            else:
                self._drop(run, result.code, 0.0)

    def _begin(
        self,
        call: messages.Call,
        call_id: str,
        route: routes.Route,
        deadline: float,
        listener: attempts.Listener,
        now: float,
    ) -> runs.Run | bool | None:
        """Registers a call with the keeper.

        Returns:
            None for a new id, the run that the listener was added to, or True
            if the listener was answered.
        """
        head = records.CallHead(
            call_id=call_id,
            incarnation=call.incarnation,
            attempt=call.attempt,
            fingerprint=int.from_bytes(call.fingerprint),
            idempotent=route.idempotent,
            deadline=deadline,
            asker=call.asker,
        )
        result = self.keeper.begin(head, now)
        if isinstance(result, records.Begun):
            return None
        if isinstance(result, records.Refused):
            self.refuse(listener, result.code, result.outcome)
            return True
        run = self._runs.get(call_id)
        if run is not None:
            run.listeners.append(listener)
            return run
        listener.on_answer(self._make_kept_answer(result))
        return True

    def _start(self, run: runs.Run, now: float) -> None:
        if run.is_id_held:
            self.keeper.start(run.ticket.call_id)
        run.is_started = True
        run.started_at = now
        call = run.call
        # A deadline of 0 could be taken for none.
        remaining_ms = max(1, int((run.ticket.deadline - now) * 1000))
        headers = (
            *call.headers,
            messages.Header("Filbertlift-Caller", call.caller),
            messages.Header("Filbertlift-Call", run.ticket.call_id),
            messages.Header("Filbertlift-Depth", str(call.depth + 1)),
            messages.Header("Filbertlift-Deadline-Ms", str(remaining_ms)),
        )
        run.client_call = self._pool.request(
            call.method,
            call.path,
            headers,
            call.body,
            client.ClientEvents(
                run.receive_head,
                run.receive_data,
                run.receive_end,
                run.receive_failure,
            ),
        )

    def _drop(self, run: runs.Run, code: str, retry_after_s: float) -> None:
        """Ends a run that the target did not execute."""
        self.shed += 1
        if run.is_id_held:
            self.keeper.drop(run.ticket.call_id, code, self._reactor.seconds())
        self._end(run)
        answer = self._make_local_answer(
            model.Outcome.NOT_RUN, code, retry_after_s
        )
        for listener in run.listeners:
            listener.on_answer(answer)

    def _record_unknown(self, run: runs.Run) -> None:
        if run.is_id_held:
            self.keeper.finish(
                run.ticket.call_id,
                model.Outcome.UNKNOWN,
                None,
                self._reactor.seconds(),
            )

    def _release(self, run: runs.Run, service_s: float) -> None:
        self._end(run)
        self.apply_results(
            self.admission.release(
                run.ticket, service_s, self._reactor.seconds()
            )
        )

    def _end(self, run: runs.Run) -> None:
        run.is_over = True
        run.client_call = None
        self._runs.pop(run.ticket.call_id, None)

    def _send_not_kept(self, run: runs.Run) -> None:
        answer = self._make_local_answer(model.Outcome.DONE, codes.NOT_KEPT)
        for listener in run.listeners[1:]:
            listener.on_answer(answer)

    def _make_kept_answer(self, repeat: records.Repeat) -> messages.Answer:
        kept = repeat.answer
        outcome = repeat.outcome or model.Outcome.UNKNOWN
        if kept is None:
            code = (
                codes.NOT_KEPT
                if outcome is model.Outcome.DONE
                else codes.TARGET_LOST
            )
            return self._make_local_answer(outcome, code)
        return self._make_answer(
            outcome, kept.code, kept.status, kept.headers, kept.body
        )

    def _make_local_answer(
        self, outcome: model.Outcome, code: str, retry_after_s: float = 0.0
    ) -> messages.Answer:
        """Returns an answer that does not come from the target."""
        return self._make_answer(
            outcome,
            code,
            codes.get_status(code),
            retry_after_s=retry_after_s,
        )

    def _make_answer(
        self,
        outcome: model.Outcome,
        code: str,
        status: int,
        headers: tuple[messages.Header, ...] = (),
        body: bytes = b"",
        more: bool = False,
        retry_after_s: float = 0.0,
    ) -> messages.Answer:
        return messages.Answer(
            stream=0,
            outcome=outcome,
            code=code,
            status=status,
            headers=headers,
            queue=self.queue,
            version=self.version(),
            retry_after_ms=int(retry_after_s * 1000),
            retried=False,
            incarnation=self.keeper.incarnation,
            more=more,
            body=body,
        )

    def _poll(self) -> None:
        self.apply_results(self.admission.poll(self._reactor.seconds()))

    def _expire(self) -> None:
        self.keeper.expire(self._reactor.seconds())


def _is_shed(headers: Iterable[messages.Header]) -> bool:
    return any(header.name.lower() == SHED_HEADER for header in headers)
