"""A target beside a node: slots, heartbeats, leaving, and faults."""

from collections import deque
from collections.abc import Callable
import itertools
import random
import time
from typing import Any
from typing import Final

import attrs
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_platform import names
from filbertlift_platform_fakes import documents
from filbertlift_soak import records
from filbertlift_standins import web
from filbertlift_transport import client

QUEUE: Final = 8
# A target that had no acknowledgement tries again after this, in seconds.
RETRY_S: Final = 0.3
# It serves this much longer than it must once its departure is known.
EXTRA_S: Final = 0.7
# And it waits this long for the acknowledgement at most.
UNHEARD_S: Final = 4.0
# Its successor at the same address starts after this, in seconds.
SUCCESSOR_S: Final = 0.5

# What a run may be told to do besides answering, as parts of the path.
WORK_PREFIX: Final = "w"
BYTES_PREFIX: Final = "b"
INNER_PART: Final = "inner"


@attrs.define
class Faults:
    """What is wrong with a target; all can change at run time.

    Attributes:
        slowdown: factor on the time of work.
        word: empty for none, or what happens to some of the requests.
        share: the share of the requests that it happens to.
    """

    slowdown: float = 1.0
    word: str = ""
    share: float = 0.4


@attrs.frozen
class TargetSpec:
    """What does not change with a target's incarnations.

    Attributes:
        host: name of the host.
        service: service of the target.
        address: where it listens.
        control: where the node beside it takes its reports.
        slots: requests that it runs at once.
        beat_interval_s: interval of heartbeats, in seconds.
        drain_s: it serves this long after its departure is known, in seconds.
    """

    host: str
    service: str
    address: model.Address
    control: model.Address
    slots: int
    beat_interval_s: float
    drain_s: float


CallFunction = Callable[[records.RunRecord, Callable[[int], None]], None]


@attrs.define(eq=False)
class _Run:
    record: records.RunRecord
    exchange: web.Exchange
    is_over: bool = False
    timer: Any = None


@attrs.define(eq=False)
class Target:
    """One target, through its incarnations.

    Attributes:
        call_inner: makes a call that a run needs; reports its status.
        record: what it says of itself, None while it is down.
        faults: what is wrong with it.
    """

    reactor: Any
    spec: TargetSpec
    journal: records.Journal
    rng: random.Random
    call_inner: CallFunction
    record: directory.TargetRecord | None = None
    faults: Faults = attrs.field(factory=Faults)
    _sequence: Any = None
    _server: web.Server | None = None
    _port: Any = None
    _beats: task.LoopingCall | None = None
    _running: set[_Run] = attrs.field(factory=set)
    _waiting: deque[_Run] = attrs.field(factory=deque)
    _numbers: Any = attrs.field(factory=itertools.count)

    def start(self) -> None:
        """Starts a new incarnation; raises CannotListenError."""
        if self.record is not None:
            return
        self._server = web.Server(self._handle)
        self._port = web.listen(self.reactor, self.spec.address, self._server)
        number = next(self._numbers)
        self.record = directory.TargetRecord(
            f"{self.spec.host}-{number}",
            int(time.time() * 1000),
            self.spec.service,
            self.spec.slots,
            directory.TargetState.READY,
        )
        self._sequence = itertools.count(1)
        self._beats = task.LoopingCall(self._beat)
        self._beats.clock = self.reactor
        self._beats.start(self.spec.beat_interval_s)

    def crash(self) -> None:
        """Ends without a word."""
        if self.record is None:
            return
        self.record = None
        assert self._beats is not None and self._server is not None
        self._beats.stop()
        self._port.stopListening()
        self._server.abort_connections()
        for run in [*self._running, *self._waiting]:
            self._stop(run)
        self._waiting.clear()

    def drain(self, announces: bool) -> None:
        """Says that it leaves, serves on for a while and ends.

        Args:
            announces: whether it reports a drain before its last word.
        """
        if self.record is None:
            return
        if announces:
            self.record = attrs.evolve(
                self.record, state=directory.TargetState.DRAINING
            )
            self._beat()
        else:
            self._say_farewell(self.record)
        self.reactor.callLater(UNHEARD_S, self._end, self.record.target_id)

    def _beat(self) -> None:
        record = self.record
        if record is None or record.state is directory.TargetState.LEFT:
            return
        path = names.HEARTBEAT_PATH + record.target_id
        body = documents.encode_heartbeat(
            record, self.spec.address, next(self._sequence)
        )
        is_drain = record.state is directory.TargetState.DRAINING
        self._report(path, body, record, is_drain, self._beat)

    def _say_farewell(self, record: directory.TargetRecord) -> None:
        self._report(
            names.LEAVE_PATH + record.target_id,
            documents.encode_departure(record),
            record,
            True,
            lambda: self._say_farewell(record),
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
            if status == [200] and is_departure:
                self._note_acknowledged(record.target_id)

        def fail(_failure: client.ClientFailure) -> None:
            pool.close()
            if is_departure and self._is_present(record.target_id):
                self.reactor.callLater(RETRY_S, repeat)

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

    def _note_acknowledged(self, target_id: str) -> None:
        if target_id in self.journal.drains:
            return
        self.journal.drains[target_id] = self.reactor.seconds()
        self.reactor.callLater(
            self.spec.drain_s + EXTRA_S, self._end, target_id
        )

    def _is_present(self, target_id: str) -> bool:
        return self.record is not None and self.record.target_id == target_id

    def _end(self, target_id: str) -> None:
        if self._is_present(target_id):
            self.crash()
            self.reactor.callLater(SUCCESSOR_S, self.start)

    # Requests.

    def _handle(self, exchange: web.Exchange) -> None:
        record = self.record
        request = exchange.request
        if record is None:
            exchange.abort()
            return
        marks = names.DIALECT
        headers = request.headers
        run = _Run(
            records.RunRecord(
                headers.get(marks.request_id.lower(), ""),
                self.spec.host,
                record.target_id,
                record.service,
                request.method,
                request.path,
                request.body,
                headers.get(marks.caller.lower(), ""),
                float(headers.get(marks.deadline.lower(), 0)) / 1000,
                self.reactor.seconds(),
            ),
            exchange,
        )
        self.journal.runs.append(run.record)
        if headers.get(marks.instance.lower()) != record.target_id:
            self._turn_away(run, marks.misdirected_status)
        elif self._draws("shed") or len(self._waiting) >= QUEUE:
            self._turn_away(run, 503)
        elif len(self._running) >= self.spec.slots:
            self._waiting.append(run)
            exchange.on_lost = lambda: self._stop(run)
        else:
            self._start(run)

    def _draws(self, word: str) -> bool:
        is_set = self.faults.word == word
        return is_set and self.rng.random() < self.faults.share

    def _turn_away(self, run: _Run, status: int) -> None:
        run.record.has_run = False
        marks = names.DIALECT
        run.exchange.respond(
            status,
            headers={
                marks.not_run: "1",
                marks.request_id: run.record.request_id,
            },
        )

    def _start(self, run: _Run) -> None:
        self._running.add(run)
        run.exchange.on_lost = lambda: self._stop(run)
        if self._draws("mute"):
            return
        parts = run.record.path.split("/")
        work_s = _read_number(parts, WORK_PREFIX) / 1000 * self.faults.slowdown
        if INNER_PART in parts:
            self.call_inner(
                run.record, lambda status: self._end_inner(run, status)
            )
            return
        limit_s = run.record.waits_s
        if work_s > limit_s:
            run.timer = self.reactor.callLater(limit_s, self._answer, run, 504)
        else:
            run.timer = self.reactor.callLater(work_s, self._answer, run, 200)

    def _end_inner(self, run: _Run, status: int) -> None:
        if not run.is_over:
            self._answer(run, 200 if status == 200 else 500)

    def _answer(self, run: _Run, status: int) -> None:
        self._stop(run)
        if self._draws("error"):
            status = 500
        record = run.record
        if self._draws("lose"):
            run.exchange.abort()
            return
        length = _read_number(record.path.split("/"), BYTES_PREFIX)
        body = records.make_body(record.request_id, length)
        if self._draws("garble"):
            run.exchange.begin(status, len(body) + 9, self._mark(record, body))
            run.exchange.write(body)
            run.exchange.abort()
            return
        record.status = status
        run.exchange.respond(status, body, self._mark(record, body))
        if self._draws("extra"):
            run.exchange.connection.send(_make_extra(record, body))

    def _mark(self, record: records.RunRecord, body: bytes) -> dict[str, str]:
        marks = names.DIALECT
        signature = records.sign(record.target_id, record.request_id, body)
        return {
            marks.request_id: record.request_id,
            marks.signature: signature,
        }

    def _stop(self, run: _Run) -> None:
        if run.is_over:
            return
        run.is_over = True
        run.exchange.on_lost = None
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if run in self._waiting:
            self._waiting.remove(run)
            run.record.has_run = False
        self._running.discard(run)
        if self._waiting and self.record is not None:
            self._start(self._waiting.popleft())


def _read_number(parts: list[str], prefix: str) -> int:
    for part in parts:
        if part[:1] == prefix and part[1:].isdigit():
            return int(part[1:])
    return 0


def _make_extra(record: records.RunRecord, body: bytes) -> bytes:
    """Returns a second answer to a request that was answered."""
    marks = names.DIALECT
    signature = records.sign(record.target_id, record.request_id, body)
    head = (
        f"HTTP/1.1 200 OK\r\n{marks.request_id}: {record.request_id}\r\n"
        f"{marks.signature}: {signature}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
