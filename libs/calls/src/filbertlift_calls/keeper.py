"""At-most-once execution: the call ids held by the node beside a target.

The keeper relies on one property of links: a frame arrives within
`MAX_FRAME_LIFETIME_S` after it was sent or not at all, because both ends close
a link that is silent for 3 s.
"""

from collections import OrderedDict
import heapq
from typing import Final

import attrs

from filbertlift_calls import codes
from filbertlift_calls import exceptions
from filbertlift_calls import records
from filbertlift_core import model

# A frame arrives within this time after it was sent or not at all, in seconds.
MAX_FRAME_LIFETIME_S: Final = 15.0
# Time that an id is held after the deadline of its call, in seconds.
RETENTION_S: Final = 30.0
# Time that an id settled as absent is held, in seconds. The deadline of its
# call is not known, so this is twice `RETENTION_S`, which covers a frame sent
# just before the inquiry.
TOMBSTONE_S: Final = 2 * RETENTION_S
# Larger answers are not kept for repeats.
MAX_KEPT_BYTES: Final = 64 * 1024
# Limits memory: 200,000 answers of 64 KB would exceed the node's 256 MB. The
# oldest answers are dropped first.
MAX_KEPT_TOTAL_BYTES: Final = 48 * 1024 * 1024
MAX_ENTRIES: Final = 200_000


_OPEN: Final = (records.CallState.QUEUED, records.CallState.RUNNING)


@attrs.define(eq=False)
class _Entry:
    state: records.CallState
    attempt: int
    fingerprint: int
    expires: float
    askers: set[str]
    code: str = codes.WITHDRAWN
    # False if an earlier attempt may have run: in an earlier process, or in
    # this one for an idempotent call that was forgotten or runs again.
    excludes_earlier_runs: bool = True
    outcome: model.Outcome | None = None
    answer: records.KeptAnswer | None = None


@attrs.define(eq=False)
class Keeper:
    """The call ids held by one process.

    It records what became of each call and sends nothing to the target, while
    `keeper` of the library `sidecar` runs the calls and holds none after its
    end.

    Attributes:
        incarnation: incarnation of the process at its start. It does not change
            when the node refutes a suspicion, because the ids are kept then.
        max_entries: maximum number of ids held.
        max_kept_total_bytes: maximum memory of kept answers.
        kept_bytes: current memory of kept answers.
    """

    incarnation: int
    max_entries: int
    max_kept_total_bytes: int
    kept_bytes: int = 0
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _expiries: list[tuple[float, str]] = attrs.field(factory=list)
    _kept: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)

    @classmethod
    def create(
        cls,
        incarnation: int,
        max_entries: int = MAX_ENTRIES,
        max_kept_total_bytes: int = MAX_KEPT_TOTAL_BYTES,
    ) -> "Keeper":
        """Returns a keeper that holds no ids.

        Raises:
            KeeperError: if the incarnation or a limit is not positive.
        """
        if min(incarnation, max_entries, max_kept_total_bytes) <= 0:
            raise exceptions.KeeperError("incarnation and limits must be > 0")
        return cls(incarnation, max_entries, max_kept_total_bytes)

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self, call: records.CallHead, now: float
    ) -> records.Begun | records.Repeat | records.Refused:
        """Decides whether a call that arrived may proceed to admission."""
        entry = self._entries.get(call.call_id)
        if entry is not None and not _may_rerun(call, entry):
            return _repeat(call, entry)
        refusal = self._check_incarnation(call, entry)
        if refusal is not None:
            return refusal
        if entry is not None:
            self._requeue(call, entry, now)
            return records.Begun(call.call_id)
        if len(self._entries) >= self.max_entries:
            return records.Refused(
                call.call_id, codes.KEEPER_FULL, model.Outcome.NOT_RUN
            )
        self._hold(
            call.call_id,
            _Entry(
                records.CallState.QUEUED,
                call.attempt,
                call.fingerprint,
                max(call.deadline, now) + RETENTION_S,
                {call.asker},
                excludes_earlier_runs=call.attempt == 1 or not call.idempotent,
            ),
        )
        return records.Begun(call.call_id)

    def start(self, call_id: str) -> None:
        """Records that a call is about to be sent to the target.

        Raises:
            KeeperError: if the id is not queued here.
        """
        entry = self._entries.get(call_id)
        if entry is None or entry.state is not records.CallState.QUEUED:
            raise exceptions.KeeperError(f"call {call_id} is not queued")
        entry.state = records.CallState.RUNNING

    def finish(
        self,
        call_id: str,
        outcome: model.Outcome,
        answer: records.KeptAnswer | None,
        now: float,
    ) -> None:
        """Records that a call ran or may have run.

        Args:
            call_id: id of the call.
            outcome: DONE or UNKNOWN; see `drop` for NOT_RUN.
            answer: the answer; None if it was streamed.
            now: current time, in seconds.

        Raises:
            KeeperError: if the id is not running here.
        """
        entry = self._entries.get(call_id)
        if entry is None or entry.state is not records.CallState.RUNNING:
            raise exceptions.KeeperError(f"call {call_id} is not running")
        if outcome is model.Outcome.NOT_RUN:
            raise exceptions.KeeperError(
                f"call {call_id} can't be finished with outcome NOT_RUN"
            )
        entry.state = records.CallState.FINISHED
        entry.outcome = outcome
        entry.expires = max(entry.expires, now + RETENTION_S)
        if answer is not None:
            self._keep_answer(call_id, entry, answer)

    def drop(self, call_id: str, code: str, now: float) -> None:
        """Records that a call did not run: it was shed or the target was down.

        Raises:
            KeeperError: if the id is neither queued nor running here.
        """
        entry = self._entries.get(call_id)
        if entry is None or entry.state not in _OPEN:
            raise exceptions.KeeperError(f"call {call_id} is not open")
        entry.state = records.CallState.ABSENT
        entry.code = code
        entry.expires = max(entry.expires, now + RETENTION_S)

    def withdraw(
        self, call_id: str, asker: str, now: float
    ) -> (
        records.Withdrawn
        | records.AlreadyStarted
        | records.Finished
        | records.NotHeld
    ):
        """Withdraws a call on behalf of one asker.

        A call that another asker waits for is not withdrawn; the result is
        `AlreadyStarted`, although the call may still be queued. The result is
        `NotHeld` if the asker's own frame has not arrived; the asker then has
        to settle the call.
        """
        entry = self._entries.get(call_id)
        if entry is None or asker not in entry.askers:
            return records.NotHeld(call_id)
        if entry.state is records.CallState.FINISHED:
            assert entry.outcome is not None
            return records.Finished(call_id, entry.outcome, entry.answer)
        if entry.state is records.CallState.ABSENT:
            return records.Withdrawn(call_id)
        if entry.state is records.CallState.RUNNING or len(entry.askers) > 1:
            return records.AlreadyStarted(call_id)
        self.drop(call_id, codes.WITHDRAWN, now)
        return records.Withdrawn(call_id)

    def settle(
        self, inquiry: records.Inquiry, now: float
    ) -> records.Settlement:
        """Returns the state of a call whose link was lost."""
        call_id = inquiry.call_id
        entry = self._entries.get(call_id)
        if entry is not None:
            return self._settle_held(inquiry, entry, now)
        if inquiry.incarnation != self.incarnation:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        # The inquiry may be delayed too, and the id forgotten in the meantime.
        if inquiry.age_s > RETENTION_S - MAX_FRAME_LIFETIME_S:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        # Without a tombstone, a late frame could run after the asker was told
        # that the call is absent.
        if len(self._entries) >= self.max_entries:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        self._hold(
            call_id,
            _Entry(
                records.CallState.ABSENT,
                inquiry.attempt,
                inquiry.fingerprint,
                now + TOMBSTONE_S,
                {inquiry.asker},
                codes.ABSENT,
                excludes_earlier_runs=inquiry.attempt == 1,
            ),
        )
        return records.Settlement(
            call_id, records.CallState.ABSENT, codes.ABSENT
        )

    def expire(self, now: float) -> int:
        """Forgets expired ids and returns their number.

        The id of a queued or running call is never forgotten.
        """
        forgotten = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, call_id = heapq.heappop(self._expiries)
            entry = self._entries[call_id]
            if entry.state in _OPEN:
                entry.expires = max(entry.expires, now + RETENTION_S)
            if entry.expires > now:
                heapq.heappush(self._expiries, (entry.expires, call_id))
                continue
            del self._entries[call_id]
            self._drop_answer(call_id, entry)
            forgotten += 1
        return forgotten

    def _check_incarnation(
        self, call: records.CallHead, entry: _Entry | None
    ) -> records.Refused | None:
        """Refuses a call if this keeper can't exclude an earlier run."""
        if call.incarnation == self.incarnation:
            return None
        if call.idempotent:
            return None
        is_safe = call.attempt == 1
        if entry is not None:
            is_safe = entry.excludes_earlier_runs
        if call.incarnation == records.NO_INCARNATION and is_safe:
            return None
        if call.attempt > 1:
            return records.Refused(
                call.call_id, codes.KEEPER_LOST, model.Outcome.UNKNOWN
            )
        return records.Refused(
            call.call_id, codes.INCARNATION, model.Outcome.NOT_RUN
        )

    def _settle_held(
        self, inquiry: records.Inquiry, entry: _Entry, now: float
    ) -> records.Settlement:
        """Returns the settlement of a held id.

        A tombstone proves absence only for the incarnation that holds it. If
        the id is held for another request, the one inquired about was refused
        or will be when its frame arrives.
        """
        call_id = inquiry.call_id
        is_absent = entry.state is records.CallState.ABSENT
        if is_absent or entry.fingerprint != inquiry.fingerprint:
            is_last = is_absent and entry.attempt == inquiry.attempt
            is_safe = entry.excludes_earlier_runs or is_last
            if inquiry.incarnation != self.incarnation or not is_safe:
                return records.Settlement(call_id, records.CallState.UNKNOWN)
            entry.attempt = max(entry.attempt, inquiry.attempt)
            entry.expires = max(entry.expires, now + RETENTION_S)
            code = entry.code if is_absent else codes.KEY_REUSED
            code = code if entry.excludes_earlier_runs else codes.ABSENT
            return records.Settlement(call_id, records.CallState.ABSENT, code)
        entry.askers.add(inquiry.asker)
        return records.Settlement(
            call_id, entry.state, "", entry.outcome, entry.answer
        )

    def _hold(self, call_id: str, entry: _Entry) -> None:
        self._entries[call_id] = entry
        heapq.heappush(self._expiries, (entry.expires, call_id))

    def _requeue(
        self, call: records.CallHead, entry: _Entry, now: float
    ) -> None:
        entry.state = records.CallState.QUEUED
        entry.attempt = call.attempt
        entry.fingerprint = call.fingerprint
        entry.excludes_earlier_runs = (
            entry.excludes_earlier_runs and not call.idempotent
        )
        entry.askers = {call.asker}
        entry.outcome = None
        entry.expires = max(entry.expires, call.deadline + RETENTION_S, now)

    def _keep_answer(
        self, call_id: str, entry: _Entry, answer: records.KeptAnswer
    ) -> None:
        size = answer.count_bytes()
        if size > min(MAX_KEPT_BYTES, self.max_kept_total_bytes):
            return
        entry.answer = answer
        self.kept_bytes += size
        self._kept[call_id] = entry
        while self.kept_bytes > self.max_kept_total_bytes:
            self._drop_answer(*next(iter(self._kept.items())))

    def _drop_answer(self, call_id: str, entry: _Entry) -> None:
        if entry.answer is None:
            return
        del self._kept[call_id]
        self.kept_bytes -= entry.answer.count_bytes()
        entry.answer = None


def _may_rerun(call: records.CallHead, entry: _Entry) -> bool:
    """Returns whether a call with a known id may run.

    It may run only with a higher attempt number, which distinguishes an
    intended repeat from a late frame of an attempt that was answered with
    NOT_RUN.
    """
    if call.attempt <= entry.attempt:
        return False
    if entry.state is records.CallState.ABSENT:
        return True
    return (
        call.idempotent
        and entry.state is records.CallState.FINISHED
        and entry.answer is None
        and entry.fingerprint == call.fingerprint
    )


def _repeat(
    call: records.CallHead, entry: _Entry
) -> records.Repeat | records.Refused:
    if entry.state is records.CallState.ABSENT:
        if not entry.excludes_earlier_runs:
            return records.Refused(
                call.call_id, codes.KEEPER_LOST, model.Outcome.UNKNOWN
            )
        return records.Refused(call.call_id, entry.code, model.Outcome.NOT_RUN)
    # Set even if the call is refused below: a second copy of the frame must not
    # run.
    entry.attempt = max(entry.attempt, call.attempt)
    if entry.fingerprint != call.fingerprint:
        return records.Refused(
            call.call_id, codes.KEY_REUSED, model.Outcome.NOT_RUN
        )
    entry.askers.add(call.asker)
    return records.Repeat(
        call.call_id, entry.state, entry.outcome, entry.answer
    )
