"""Target stand-in of a host: slots, heartbeats, departures and faults."""

from collections import deque
from collections.abc import Callable
import itertools
import random
import time
from typing import Any
from typing import Final
import weakref

import attrs
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_platform import names
from filbertlift_platform_fakes import documents
from filbertlift_soak import records
from filbertlift_standins import web
from filbertlift_transport import client

MAX_WAITING: Final = 8
# Time after which a failed report is repeated, in seconds.
REPORT_RETRY_S: Final = 0.3
# Time beyond `drain_s` for which a target serves, in seconds.
DRAIN_MARGIN_S: Final = 0.7
# Time after which a target ends even without an acknowledgement, in seconds.
ACK_TIMEOUT_S: Final = 4.0
# Time from the end of an incarnation to the start of the next one at the same
# address, in seconds.
SUCCESSOR_DELAY_S: Final = 0.5

# Parts of the path that tell the target what to do: milliseconds of work, bytes
# of the answer, and a call to another service.
WORK_PREFIX: Final = "w"
BYTES_PREFIX: Final = "b"
INNER_CALL: Final = "inner"


@attrs.define
class Faults:
    """Faults of a target; all can be changed at run time.

    Attributes:
        slowdown: factor by which work takes longer.
        word: `shed` to refuse requests, `error` for status 500, `lose` for no
            answer on a closed connection, `garble` for a truncated answer,
            `extra` for a second answer, `mute` for no answer, `repeat` to
            refuse requests and to write the refusal again later, while the
            next request of the connection runs; empty for none.
        share: share of the requests that the fault affects.
    """

    slowdown: float = 1.0
    word: str = ""
    share: float = 0.4


@attrs.frozen
class TargetSpec:
    """Properties that all incarnations of a target share.

    Attributes:
        host: name of the host.
        service: service of the target.
        address: address at which it listens.
        control: address at which the node on the host accepts its reports.
        slots: requests that it runs at once.
        beat_interval_s: interval of heartbeats, in seconds.
        drain_s: time for which it must serve after its departure was
            acknowledged, in seconds.
        release: version of its software.
    """

    host: str
    service: str
    address: model.Address
    control: model.Address
    slots: int
    beat_interval_s: float
    drain_s: float
    release: str = ""


CallFunction = Callable[[records.RunRecord, Callable[[int], None]], None]


@attrs.define(eq=False)
class _Run:
    """A request that waits for a slot or runs."""

    record: records.RunRecord
    exchange: web.Exchange
    is_over: bool = False
    timer: Any = None


@attrs.define(eq=False)
class Target:
    """One target and its incarnations.

    Attributes:
        call_inner: makes a call that a request needs; reports its status.
        record: record that it reports to the node; None while it is down.
        faults: current faults.
    """

    reactor: Any
    spec: TargetSpec
    journal: records.Journal
    rng: random.Random
    call_inner: CallFunction
    record: directory.TargetRecord | None = None
    faults: Faults = attrs.field(factory=Faults)
    # Heartbeats that are on their way; None if they arrive at once.
    _held_beats: list[Callable[[], None]] | None = None
    _sequence: Any = None
    _server: web.Server | None = None
    _port: Any = None
    _heartbeats: task.LoopingCall | None = None
    _last_sequence: int = 0
    # Whether the incarnation sends no further heartbeats.
    _is_silent: bool = False
    _running: set[_Run] = attrs.field(factory=set)
    _waiting: deque[_Run] = attrs.field(factory=deque)
    # The last refusal on each open connection.
    _refusals: Any = attrs.field(factory=weakref.WeakKeyDictionary)
    _last_id: str = ""
    _is_leaving: bool = False
    _further_s: float = 0.0
    _incarnations: Any = attrs.field(factory=itertools.count)

    @property
    def is_ready(self) -> bool:
        """Whether an incarnation runs and has not begun to leave."""
        record = self.record
        return (
            record is not None
            and record.state is directory.TargetState.READY
            and not self._is_leaving
        )

    def start(self) -> None:
        """Starts a new incarnation with a new id; raises CannotListenError."""
        if self.record is None:
            number = next(self._incarnations)
            self._start(f"{self.spec.host}-{number}")

    def start_again(self) -> None:
        """Starts an incarnation with the last id, whose heartbeats are late."""
        if self.record is None:
            self._held_beats = []
            self._start(self._last_id)

    def hold_heartbeats(self) -> None:
        """Delays the heartbeats from now on, the first of them sent at once."""
        self._held_beats = []
        self._send_heartbeat()

    def deliver_heartbeats(self) -> None:
        """Lets the heartbeats that are on their way arrive."""
        held, self._held_beats = self._held_beats, None
        for report in held or []:
            report()

    def _start(self, target_id: str) -> None:
        self._last_id = target_id
        self._is_leaving = False
        self._is_silent = False
        self._server = web.Server(self._handle_request)
        self._port = web.listen(self.reactor, self.spec.address, self._server)
        self.record = directory.TargetRecord(
            target_id,
            int(time.time() * 1000),
            self.spec.service,
            self.spec.slots,
            directory.TargetState.READY,
            self.spec.release,
        )
        self._sequence = itertools.count(1)
        self._heartbeats = task.LoopingCall(self._send_heartbeat)
        self._heartbeats.clock = self.reactor
        self._heartbeats.start(self.spec.beat_interval_s)

    def crash(self) -> None:
        """Ends the incarnation without notice."""
        if self.record is None:
            return
        self.record = None
        assert self._heartbeats is not None and self._server is not None
        self._heartbeats.stop()
        self._port.stopListening()
        self._server.abort_connections()
        for run in [*self._running, *self._waiting]:
            self._end_run(run)
        self._waiting.clear()

    def stop_reporting(self) -> None:
        """Sends no further heartbeats if it has sent its departure notice."""
        record = self.record
        if record is not None and record.state is directory.TargetState.READY:
            self._is_silent = self._is_leaving

    def drain(self, announce: bool, further_s: float = 0.0) -> None:
        """Reports its departure, serves for a while and ends.

        Args:
            announce: whether it reports the state draining instead of sending a
                departure notice.
            further_s: time for which it serves longer than others, in seconds.
        """
        if self.record is None:
            return
        self._is_leaving = True
        self._further_s = further_s
        if announce:
            self.record = attrs.evolve(
                self.record, state=directory.TargetState.DRAINING
            )
            self._send_heartbeat()
        else:
            self._send_departure(self.record)
        self.reactor.callLater(
            ACK_TIMEOUT_S + further_s,
            self._end_incarnation,
            self.record.target_id,
        )

    def _send_heartbeat(self) -> None:
        record = self.record
        if record is None or self._is_silent:
            return
        sequence = self._last_sequence = next(self._sequence)
        path = names.HEARTBEAT_PATH + record.target_id
        body = documents.encode_heartbeat(record, self.spec.address, sequence)
        is_drain = record.state is directory.TargetState.DRAINING

        def repeat() -> None:
            if is_drain or sequence == self._last_sequence:
                self._send_heartbeat()

        def report() -> None:
            self._report(path, body, record, is_drain, repeat)

        if self._held_beats is None:
            report()
        else:
            self._held_beats.append(report)

    def _send_departure(self, record: directory.TargetRecord) -> None:
        self._report(
            names.LEAVE_PATH + record.target_id,
            documents.encode_departure(record),
            record,
            True,
            lambda: self._send_departure(record),
        )

    def _report(
        self,
        path: str,
        body: bytes,
        record: directory.TargetRecord,
        is_departure: bool,
        repeat: Callable[[], None],
    ) -> None:
        pool = client.HttpPool.from_address(self.reactor, self.spec.control, 1)
        status: list[int] = []

        def end() -> None:
            pool.close()
            if status != [200]:
                retry()
            elif is_departure:
                self._record_departure(record.target_id)

        def fail(_failure: client.ClientFailure) -> None:
            pool.close()
            retry()

        def retry() -> None:
            if self._is_current(record.target_id):
                self.reactor.callLater(REPORT_RETRY_S, repeat)

        pool.request(
            "POST",
            path,
            (),
            body,
            client.ClientEvents(
                lambda code, _headers, _length: status.append(code),
                lambda _data: None,
                end,
                fail,
            ),
        )

    def _record_departure(self, target_id: str) -> None:
        if target_id in self.journal.departures:
            return
        self.journal.departures[target_id] = self.reactor.seconds()
        self.reactor.callLater(
            self.spec.drain_s + DRAIN_MARGIN_S + self._further_s,
            self._end_incarnation,
            target_id,
        )

    def _is_current(self, target_id: str) -> bool:
        return self.record is not None and self.record.target_id == target_id

    def _end_incarnation(self, target_id: str) -> None:
        if self._is_current(target_id):
            self.crash()
            self.reactor.callLater(SUCCESSOR_DELAY_S, self.start)

    # Requests.

    def _handle_request(self, exchange: web.Exchange) -> None:
        record = self.record
        request = exchange.request
        if record is None:
            exchange.abort()
            return
        dialect = names.DIALECT
        headers = request.headers
        run = _Run(
            records.RunRecord(
                headers.get(dialect.request_id.lower(), ""),
                self.spec.host,
                record.target_id,
                record.service,
                request.method,
                request.path,
                request.body,
                headers.get(dialect.caller.lower(), ""),
                float(headers.get(dialect.deadline.lower(), 0)) / 1000,
                self.reactor.seconds(),
            ),
            exchange,
        )
        self.journal.runs.append(run.record)
        if headers.get(dialect.instance.lower()) != record.target_id:
            self._refuse(run, dialect.misdirected_status)
        elif self._draw_refusal() or len(self._waiting) >= MAX_WAITING:
            self._refuse(run, 503)
        elif len(self._running) >= self.spec.slots:
            self._waiting.append(run)
            exchange.on_lost = lambda: self._end_run(run)
        else:
            self._start_run(run)

    def _draw_fault(self, word: str) -> bool:
        is_set = self.faults.word == word
        return is_set and self.rng.random() < self.faults.share

    def _draw_refusal(self) -> bool:
        return self._draw_fault("shed") or self._draw_fault("repeat")

    def _repeat_refusal(self, run: _Run) -> None:
        """Writes the last refusal on this connection again, or does nothing."""
        connection = run.exchange.connection
        refused_id = self._refusals.pop(connection, None)
        if refused_id is not None:
            has_id = self.rng.random() < 0.5
            connection.send(_make_refusal(refused_id if has_id else ""))

    def _refuse(self, run: _Run, status: int) -> None:
        run.record.has_run = False
        self._refusals[run.exchange.connection] = run.record.request_id
        dialect = names.DIALECT
        run.exchange.respond(
            status,
            headers={
                dialect.not_run: "1",
                dialect.request_id: run.record.request_id,
            },
        )

    def _start_run(self, run: _Run) -> None:
        self._running.add(run)
        run.exchange.on_lost = lambda: self._end_run(run)
        if self.faults.word == "repeat":
            self._repeat_refusal(run)
        if self._draw_fault("mute"):
            return
        parts = run.record.path.split("/")
        work_s = _read_number(parts, WORK_PREFIX) / 1000 * self.faults.slowdown
        if INNER_CALL in parts:
            self.call_inner(
                run.record, lambda status: self._end_inner_call(run, status)
            )
            return
        limit_s = run.record.timeout_s
        if work_s > limit_s:
            run.timer = self.reactor.callLater(limit_s, self._respond, run, 504)
        else:
            run.timer = self.reactor.callLater(work_s, self._respond, run, 200)

    def _end_inner_call(self, run: _Run, status: int) -> None:
        if not run.is_over:
            self._respond(run, 200 if status == 200 else 500)

    def _respond(self, run: _Run, status: int) -> None:
        self._end_run(run)
        if self._draw_fault("error"):
            status = 500
        record = run.record
        if self._draw_fault("lose"):
            run.exchange.abort()
            return
        length = _read_number(record.path.split("/"), BYTES_PREFIX)
        body = records.make_body(record.request_id, length)
        if self._draw_fault("garble"):
            run.exchange.begin(
                status, len(body) + 9, self._make_headers(record, body)
            )
            run.exchange.write(body)
            run.exchange.abort()
            return
        record.status = status
        run.exchange.respond(status, body, self._make_headers(record, body))
        if self._draw_fault("extra"):
            run.exchange.connection.send(_make_second_answer(record, body))

    def _make_headers(
        self, record: records.RunRecord, body: bytes
    ) -> dict[str, str]:
        dialect = names.DIALECT
        signature = records.sign(record.target_id, record.request_id, body)
        return {
            dialect.request_id: record.request_id,
            dialect.signature: signature,
        }

    def _end_run(self, run: _Run) -> None:
        if run.is_over:
            return
        run.is_over = True
        run.record.ended_at = self.reactor.seconds()
        run.exchange.on_lost = None
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if run in self._waiting:
            self._waiting.remove(run)
            run.record.has_run = False
        self._running.discard(run)
        if self._waiting and self.record is not None:
            self._start_run(self._waiting.popleft())


def _read_number(parts: list[str], prefix: str) -> int:
    for part in parts:
        if part[:1] == prefix and part[1:].isdigit():
            return int(part[1:])
    return 0


def _make_second_answer(record: records.RunRecord, body: bytes) -> bytes:
    """Returns a second answer to a request that has been answered."""
    dialect = names.DIALECT
    signature = records.sign(record.target_id, record.request_id, body)
    head = (
        f"HTTP/1.1 200 OK\r\n{dialect.request_id}: {record.request_id}\r\n"
        f"{dialect.signature}: {signature}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _make_refusal(request_id: str) -> bytes:
    """Returns a refusal, without an id if that is empty."""
    dialect = names.DIALECT
    id_line = f"{dialect.request_id}: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 503 Service Unavailable\r\n{id_line}"
        f"{dialect.not_run}: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()
