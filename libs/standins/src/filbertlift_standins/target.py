"""Stand-in for a target: works, sheds, drains and records its runs."""

from collections import Counter
from collections import deque
import time
from typing import Any

import attrs
from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_standins import content
from filbertlift_standins import web
from filbertlift_standins import work as works

SHED_HEADER = "Filbertlift-Shed"
_SHED = {SHED_HEADER: "1", "Retry-After": "1"}


@attrs.define
class Faults:
    """Faults and delays of a target; all can be changed at run time.

    Attributes:
        slowdown: factor on the time of work.
        cold_s: seconds after start during which work takes longer.
        cold_factor: factor on the time of work while cold.
        draining: whether the health page says that the target is draining.
        hang: whether work never ends.
        load_lag_s: age of the reported load, in seconds.
        load_factor: factor on the reported load.
        connect_ms: time added to the first request of a connection.
        probe_ms: time that the health page takes.
    """

    slowdown: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 3.0
    draining: bool = False
    hang: bool = False
    load_lag_s: float = 0.0
    load_factor: float = 1.0
    connect_ms: float = 0.0
    probe_ms: float = 0.0


class Target:
    """Slots, runs and load of a target."""

    def __init__(
        self,
        clock: Any,
        name: str,
        slots: int,
        connections: int,
        work_times: list[works.WorkTime],
        faults: Faults,
        journal: works.Journal = works.ignore_event,
    ) -> None:
        self.clock = clock
        self.faults = faults
        self.counters: Counter[str] = Counter()
        self.runs: dict[str, works.Run] = {}
        self.running = 0
        self._name = name
        self._journal = journal
        self._slots = slots
        self._connections = connections
        self._work_times = sorted(work_times, key=lambda w: -len(w.prefix))
        self._started_at = clock.seconds()
        self._loads: deque[tuple[float, int]] = deque([(0.0, 0)], maxlen=9999)

    def handle(self, exchange: web.Exchange) -> None:
        """Serves a page of the target, or starts work."""
        path = exchange.request.path
        if not path.startswith("/-/"):
            self._admit(exchange)
        elif path == "/-/health":
            self.counters["probes"] += 1
            delay_s = self.faults.probe_ms / 1000
            self.clock.callLater(delay_s, self._respond_health, exchange)
        elif path == "/-/load":
            exchange.respond_json(self.report_load())
        elif path == "/-/runs":
            runs = {key: attrs.asdict(run) for key, run in self.runs.items()}
            exchange.respond_json(runs)
        elif path == "/-/counters":
            running = {"running": self.running}
            exchange.respond_json(dict(self.counters) | running)
        elif path == "/-/faults":
            web.handle_faults(exchange, self.faults, lambda: None)
        else:
            exchange.respond(404)

    def report_load(self) -> dict[str, Any]:
        """Returns the load with the lag and the factor of the faults."""
        measured_at = self.clock.seconds() - self.faults.load_lag_s
        past = [load for at, load in self._loads if at <= measured_at]
        load = past[-1] if past else 0
        running = load * self.faults.load_factor
        return {"running": running, "slots": self._slots}

    def _respond_health(self, exchange: web.Exchange) -> None:
        if not self.faults.draining:
            exchange.respond(200, b"ok\n")
            return
        exchange.respond(503, b"draining\n", {"Connection": "close"})
        exchange.connection.close()

    def _admit(self, exchange: web.Exchange) -> None:
        self.counters["requests"] += 1
        if exchange.connection.position > self._connections:
            self.counters["shed_connections"] += 1
            exchange.respond(503, headers=_SHED | {"Connection": "close"})
            exchange.connection.close()
            return
        if self.running >= self._slots:
            self.counters["shed_slots"] += 1
            exchange.respond(503, headers=_SHED)
            return
        try:
            work_s = self._compute_work_s(exchange)
            length = int(exchange.request.get_number("bytes", 0))
        except ValueError:
            exchange.respond(400)
            return
        self._start(exchange, work_s, length)

    def _compute_work_s(self, exchange: web.Exchange) -> float:
        request = exchange.request
        work_ms = 0.0
        for entry in self._work_times:
            same_method = entry.method == request.method
            if same_method and request.path.startswith(entry.prefix):
                work_ms = entry.work_ms
                break
        work_ms = float(request.headers.get("work-ms", work_ms))
        age_s = self.clock.seconds() - self._started_at
        if age_s < self.faults.cold_s:
            work_ms *= self.faults.cold_factor
        work_ms *= self.faults.slowdown
        if exchange.connection.served == 1:
            work_ms += self.faults.connect_ms
        return work_ms / 1000

    def _start(
        self, exchange: web.Exchange, work_s: float, length: int
    ) -> None:
        request = exchange.request
        request_id = request.headers.get("request-id", "none")
        run = self.runs.setdefault(request_id, works.Run(request.path))
        run.started += 1
        self._journal("start", request_id)
        run.times.append(time.time())
        run.calls.append(request.headers.get("filbertlift-call", ""))
        work = works.Work(exchange, run, request_id, work_s)
        exchange.on_lost = lambda: self._cancel(work)
        self._record_load(1)
        if self.faults.hang:
            return
        if length:
            headers = {"Request-Id": request_id, "Target-Name": self._name}
            exchange.begin(200, length, headers)
            works.Download(self.clock, work, length, self.finish).start()
            return
        deadline_ms = request.headers.get("filbertlift-deadline-ms", "")
        if deadline_ms.isdigit() and int(deadline_ms) < work_s * 1000:
            after_s = int(deadline_ms) / 1000
            work.timer = self.clock.callLater(after_s, self._expire, work)
            return
        work.timer = self.clock.callLater(work_s, self._respond, work)

    def _record_load(self, change: int) -> None:
        self.running += change
        self._loads.append((self.clock.seconds(), self.running))

    def _stop(self, work: works.Work) -> None:
        work.stopped = True
        if work.timer is not None and work.timer.active():
            work.timer.cancel()
        self._record_load(-1)

    def _cancel(self, work: works.Work) -> None:
        if work.stopped:
            return
        self._stop(work)
        work.run.cancelled += 1
        self._journal("cancel", work.request_id)
        self.counters["cancelled"] += 1

    def _expire(self, work: works.Work) -> None:
        self._stop(work)
        work.run.cancelled += 1
        self._journal("cancel", work.request_id)
        self.counters["expired"] += 1
        work.exchange.respond(504)

    def _respond(self, work: works.Work) -> None:
        request = work.exchange.request
        body = content.make_body(self._name, work.request_id, request.body)
        headers = {"Request-Id": work.request_id, "Target-Name": self._name}
        work.exchange.begin(200, len(body), headers)
        work.exchange.write(body)
        self.finish(work)

    def finish(self, work: works.Work) -> None:
        """Ends work whose response was written."""
        self._stop(work)
        work.run.finished += 1
        self._journal("finish", work.request_id)
        self.counters["finished"] += 1
        work.exchange.finish()


def main(
    listen: str = typer.Option(..., help="IP:PORT of the target."),
    name: str = typer.Option("target", help="Name given in each answer."),
    slots: int = typer.Option(6, help="Pieces of work at a time."),
    connections: int = typer.Option(130, help="Connections at a time."),
    work: list[str] = typer.Option([], help="Such as 'GET /slots=5', in ms."),
    faults: str = typer.Option("{}", help="JSON as for POST /-/faults."),
    journal: str = typer.Option(
        "", help="File to which each run is appended; survives a kill."
    ),
) -> None:
    """Runs the target stand-in until it is stopped."""
    reactor: Any = default_reactor
    record = Faults()
    try:
        web.update_record(record, web.parse_json(faults.encode()))
        work_times = [works.WorkTime.parse(entry) for entry in work]
        address = model.Address.parse(listen)
    except (ValueError, exceptions.ModelError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(env.EXIT_USAGE) from error
    writer = works.make_journal(journal) if journal else works.ignore_event
    target = Target(
        reactor, name, slots, connections, work_times, record, writer
    )
    web.listen(reactor, address, web.Server(target.handle))
    reactor.run()


def run() -> None:
    """Entry point of `filbertlift-target-standin`."""
    typer.run(main)


if __name__ == "__main__":
    run()
