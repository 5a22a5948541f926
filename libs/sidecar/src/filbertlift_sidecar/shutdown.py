"""Order of the steps of a planned stop of a node.

New calls are served for a short notice, then refused. Every call that was
accepted has its deadline at `get_last_answer_at` at most, whatever its caller
and its route allow. What callers or peers have not taken when the grace period
is nearly over is cut off.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

# Time after SIGTERM during which calls of this host are still served, in
# seconds. Meanwhile two readiness checks, one per second, tell callers to go
# elsewhere. Later calls are refused, since they might not end before the
# process does.
LEAVE_NOTICE_S: Final = 2.6
# Time for which a leaving keeper still accepts calls of peers, which may not
# have learned of it yet, in seconds.
PEER_NOTICE_S: Final = 0.5
# Time before the end of the grace period at which the last calls are answered,
# in seconds.
ANSWER_MARGIN_S: Final = 0.8
# Time for the last answers to be sent, in seconds, on top of the delay of a
# late event loop.
SEND_TIME_S: Final = 0.3
# Share of the grace period that the margin may take on a late event loop. A
# larger one cuts calls that such a loop still answers at most times.
MAX_MARGIN_SHARE: Final = 1 / 6
# Time before the end of the grace period at which the node closes even if
# callers have not taken their answers or calls of peers still run, in seconds.
# The end of the process itself takes no time.
CLOSE_MARGIN_S: Final = 0.3
CHECK_INTERVAL_S: Final = 0.05
# Time after the ports are closed in which requests that are on their way still
# arrive and are answered, in seconds.
LAST_REQUESTS_S: Final = 0.15


@attrs.frozen
class StopTimes:
    """Times of the steps of a stop, in seconds.

    Attributes:
        refuse_peers_at: when new calls of peers are refused.
        refuse_callers_at: when new calls of this host are refused.
        last_answer_at: when every call has to be answered.
        close_at: when the node closes even if it is not idle.
    """

    refuse_peers_at: float
    refuse_callers_at: float
    last_answer_at: float
    close_at: float


def plan_times(signalled_at: float, grace_s: float, late_s: float) -> StopTimes:
    """Returns the times of the steps of a stop.

    Args:
        signalled_at: when the signal to stop was received, in seconds.
        grace_s: time from the signal until the process is killed, in seconds.
        late_s: delay with which steps are expected to run, in seconds.
    """
    extra_s = max(0.0, late_s - (ANSWER_MARGIN_S - SEND_TIME_S))
    most_s = max(0.0, MAX_MARGIN_SHARE * grace_s - ANSWER_MARGIN_S)
    margin_s = ANSWER_MARGIN_S + min(extra_s, most_s)
    answering_s = max(0.0, grace_s - margin_s)
    # Callers need as much time after the last answer as on a punctual loop.
    closing_s = grace_s - margin_s + (ANSWER_MARGIN_S - CLOSE_MARGIN_S)
    # With a short grace period there is no time for the whole notice.
    notice_s = min(LEAVE_NOTICE_S, answering_s / 2)
    return StopTimes(
        signalled_at + PEER_NOTICE_S,
        signalled_at + notice_s,
        signalled_at + answering_s,
        signalled_at + closing_s,
    )


@attrs.frozen
class StopActions:
    """What a node does in a planned stop, and what it waits for.

    Attributes:
        refuse_peers: refuses new calls of peers from now on.
        refuse_callers: refuses new calls of this host from now on.
        is_idle: returns whether no call is in progress.
        is_sent: returns whether callers and peers have taken all answers.
        stop_accepting: closes the ports, and connections without a call.
        refuse_partial: refuses requests that have arrived in part.
        is_settled: returns whether no connection has a request or bytes that
            the other side has not received.
        close: ends everything that is left.
    """

    refuse_peers: Callable[[], None]
    refuse_callers: Callable[[], None]
    is_idle: Callable[[], bool]
    is_sent: Callable[[], bool]
    stop_accepting: Callable[[], None]
    refuse_partial: Callable[[], None]
    is_settled: Callable[[], bool]
    close: Callable[[], None]


@attrs.define(eq=False)
class PlannedStop:
    """A stop in progress.

    Attributes:
        grace_s: time from SIGTERM until the process is killed, in seconds.
        max_late_s: longest delay of a step behind its time, in seconds.
    """

    reactor: Any
    actions: StopActions
    grace_s: float
    max_late_s: float = 0.0
    _times: StopTimes = StopTimes(0.0, 0.0, 0.0, 0.0)
    _check_at: float = 0.0

    def start(
        self, signalled_at: float | None = None, late_s: float = 0.0
    ) -> None:
        """Begins the stop.

        Args:
            signalled_at: when the signal to stop was received, in seconds; now
                by default.
            late_s: delay with which steps are expected to run, in seconds.
        """
        if signalled_at is None:
            signalled_at = self.reactor.seconds()
        self._times = plan_times(signalled_at, self.grace_s, late_s)
        self._call_at(self._times.refuse_peers_at, self.actions.refuse_peers)
        self._check_at = self._times.refuse_callers_at
        self._call_at(self._check_at, self._end_notice)

    def get_last_answer_at(self) -> float:
        """Returns when every call has to be answered, in seconds."""
        return self._times.last_answer_at

    def _call_at(self, at: float, function: Callable[[], None]) -> None:
        delay_s = max(0.0, at - self.reactor.seconds())
        self.reactor.callLater(delay_s, function)

    def _end_notice(self) -> None:
        self.actions.refuse_callers()
        self._check()

    def _check(self) -> None:
        self._note_delay()
        is_over = self.actions.is_idle() and self.actions.is_sent()
        left_s = self._close_at - self.reactor.seconds()
        if not is_over and left_s > LAST_REQUESTS_S:
            self._check_later(CHECK_INTERVAL_S, self._check)
            return
        self.actions.stop_accepting()
        linger_s = max(0.0, min(LAST_REQUESTS_S, left_s))
        self._check_later(linger_s, self._refuse_partial)

    def _refuse_partial(self) -> None:
        self.actions.refuse_partial()
        self._check_settled()

    def _check_settled(self) -> None:
        self._note_delay()
        is_late = self.reactor.seconds() >= self._close_at
        if is_late or self.actions.is_settled():
            # Timers run before sockets are read, so what has arrived meanwhile
            # is read once more.
            self.reactor.callLater(0, self.actions.close)
            return
        self._check_later(CHECK_INTERVAL_S, self._check_settled)

    @property
    def _close_at(self) -> float:
        return self._times.close_at

    def _check_later(self, delay_s: float, check: Callable[[], None]) -> None:
        self._check_at = self.reactor.seconds() + delay_s
        self.reactor.callLater(delay_s, check)

    def _note_delay(self) -> None:
        late_s = self.reactor.seconds() - self._check_at
        self.max_late_s = max(self.max_late_s, late_s)
