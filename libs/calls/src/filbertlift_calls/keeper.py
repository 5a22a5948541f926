"""At most once: the record of every call id at the node beside its target.

The decisions rest on one property of links: a frame arrives within
`RETENTION_S` of its sending or never, because a link that is silent for 3 s is
closed at both ends.
"""

from collections import OrderedDict
import heapq
from typing import Final

import attrs

from filbertlift_calls import codes
from filbertlift_calls import exceptions
from filbertlift_calls import records
from filbertlift_core import model

# How long an id is held after the deadline of its call, in seconds.
RETENTION_S: Final = 30.0
# How long an id that was settled as absent is held. Its deadline is not known,
# so this covers a frame sent just before the question, twice over.
TOMBSTONE_S: Final = 2 * RETENTION_S
# Longer answers are not kept for repeats.
MAX_KEPT_BYTES: Final = 64 * 1024
# 200,000 answers of 64 KB would not fit the node's 256 MB; the oldest go first.
MAX_KEPT_TOTAL_BYTES: Final = 48 * 1024 * 1024
MAX_ENTRIES: Final = 200_000


_OPEN: Final = (records.CallState.QUEUED, records.CallState.RUNNING)


@attrs.define(eq=False)
class _Entry:
    state: records.CallState
    attempt: int
    fingerprint: int
    expires: float
    askers: int = 1
    code: str = codes.WITHDRAWN
    outcome: model.Outcome | None = None
    answer: records.KeptAnswer | None = None


@attrs.define(eq=False)
class Keeper:
    """The call ids of one process.

    Attributes:
        incarnation: of the process at its start. It doesn't change when the
            node refutes a suspicion, because the ids are still held then.
        max_entries: ids held at most.
        max_kept_total_bytes: memory of kept answers at most.
        kept_bytes: memory of kept answers now.
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
        """Returns a keeper that holds no id.

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
        """Decides whether a call that arrived may go on to admission."""
        entry = self._entries.get(call.call_id)
        if entry is not None and not _may_rerun(call, entry):
            return _repeat(call, entry)
        refusal = self._check_incarnation(call, entry is not None)
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
            ),
        )
        return records.Begun(call.call_id)

    def start(self, call_id: str) -> None:
        """Records that the call is about to be sent to the target.

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
        """Records that the call ran or may have run.

        Args:
            call_id: the id.
            outcome: DONE or UNKNOWN; see `drop` for NOT_RUN.
            answer: what was answered; None when it was streamed.
            now: seconds.

        Raises:
            KeeperError: if the id is not running here.
        """
        entry = self._entries.get(call_id)
        if entry is None or entry.state is not records.CallState.RUNNING:
            raise exceptions.KeeperError(f"call {call_id} is not running")
        if outcome is model.Outcome.NOT_RUN:
            raise exceptions.KeeperError(f"call {call_id} is not to be kept")
        entry.state = records.CallState.FINISHED
        entry.outcome = outcome
        entry.expires = max(entry.expires, now + RETENTION_S)
        if answer is not None:
            self._keep_answer(call_id, entry, answer)

    def drop(self, call_id: str, code: str, now: float) -> None:
        """Records that the call has certainly not run: shed, or target down.

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
        self, call_id: str, now: float
    ) -> (
        records.Withdrawn
        | records.AlreadyStarted
        | records.Finished
        | records.NotHeld
    ):
        """Takes back one asker's wish for a call.

        A call that another asker waits for goes on, so `AlreadyStarted` is
        the result although it may still be queued.
        """
        entry = self._entries.get(call_id)
        if entry is None:
            return records.NotHeld(call_id)
        if entry.state is records.CallState.FINISHED:
            assert entry.outcome is not None
            return records.Finished(call_id, entry.outcome, entry.answer)
        if entry.state is records.CallState.ABSENT:
            return records.Withdrawn(call_id)
        entry.askers -= 1
        if entry.state is records.CallState.RUNNING or entry.askers > 0:
            return records.AlreadyStarted(call_id)
        self.drop(call_id, codes.WITHDRAWN, now)
        return records.Withdrawn(call_id)

    def settle(
        self, inquiry: records.Inquiry, now: float
    ) -> records.Settlement:
        """Says what became of a call whose link was lost."""
        call_id = inquiry.call_id
        entry = self._entries.get(call_id)
        if entry is not None:
            return self._settle_held(inquiry, entry)
        if inquiry.incarnation != self.incarnation:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        if inquiry.age_s > RETENTION_S:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        # Without a tombstone a late frame could run after "absent" was told.
        if len(self._entries) >= self.max_entries:
            return records.Settlement(call_id, records.CallState.UNKNOWN)
        self._hold(
            call_id,
            _Entry(
                records.CallState.ABSENT, inquiry.attempt, 0, now + TOMBSTONE_S
            ),
        )
        return records.Settlement(call_id, records.CallState.ABSENT)

    def expire(self, now: float) -> int:
        """Forgets ids whose time is over; returns how many.

        A queued or running id is never forgotten.
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
        self, call: records.CallHead, held: bool
    ) -> records.Refused | None:
        """Refuses a call that may have run where this keeper can't know."""
        if call.incarnation == self.incarnation:
            return None
        if call.idempotent:
            return None
        if call.incarnation == records.NO_INCARNATION and (
            held or call.attempt == 1
        ):
            return None
        if call.attempt > 1:
            return records.Refused(
                call.call_id, codes.KEEPER_LOST, model.Outcome.UNKNOWN
            )
        return records.Refused(
            call.call_id, codes.INCARNATION, model.Outcome.NOT_RUN
        )

    def _settle_held(
        self, inquiry: records.Inquiry, entry: _Entry
    ) -> records.Settlement:
        if entry.state is records.CallState.ABSENT:
            if inquiry.incarnation != self.incarnation:
                return records.Settlement(
                    inquiry.call_id, records.CallState.UNKNOWN
                )
            entry.attempt = max(entry.attempt, inquiry.attempt)
        return records.Settlement(
            inquiry.call_id, entry.state, entry.outcome, entry.answer
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
        entry.askers = 1
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
    """Returns whether a known id may run, on a higher attempt only.

    The number tells a wanted repeat from a late frame of an attempt that was
    answered "not run".
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
        return records.Refused(call.call_id, entry.code, model.Outcome.NOT_RUN)
    # Also when refused below: a second copy of the frame must not run.
    entry.attempt = max(entry.attempt, call.attempt)
    if entry.fingerprint != call.fingerprint:
        return records.Refused(
            call.call_id, codes.KEY_REUSED, model.Outcome.NOT_RUN
        )
    if entry.state in _OPEN:
        entry.askers += 1
    return records.Repeat(
        call.call_id, entry.state, entry.outcome, entry.answer
    )
