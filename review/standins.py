"""Stand-ins for the cases under `review/`: platform, upstreams and clients.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib import parse
import zlib

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 10_000, 32_000
_PICKED: set[int] = set()
ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE_COMMAND = ("target/app/run.py",)
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
CONFIG_S = 2.5
GRACE_S = 6
STABILITY_S = 3.0
# Start of the first upstreams, in Unix milliseconds.
BORN_MS = 1_700_000_000_000
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self._file = os.open(folder / "record.txt", flags, 0o644)
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._start

    def note(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{self.now():8.3f} {event} {pairs}\n"
        os.write(self._file, line.encode("utf-8", "replace"))


def pick_ports(count: int) -> int:
    """Returns the first of some consecutive free ports.

    They lie below those that the system gives to outgoing connections.
    """
    for _ in range(200):
        port = random.randrange(FIRST_PORT, LAST_PORT - count)
        numbers = range(port, port + count)
        if _PICKED.isdisjoint(numbers) and _are_free(numbers):
            _PICKED.update(numbers)
            return port
    raise CannotRunError("no free ports")


def _are_free(numbers: range) -> bool:
    try:
        with contextlib.ExitStack() as stack:
            for number in numbers:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    taken = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    taken.bind((HOST, number))
    except OSError:
        return False
    return True


# HTTP.


@dataclasses.dataclass
class Message:
    """A request or an answer; `headers` have lower-case names."""

    first: str
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a first line and headers; raises EOFError at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"{len(error.partial)} bytes") from error
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], until_end: bool
) -> bytes:
    """Reads the body that the headers declare."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def make_message(first: str, headers: dict[str, Any], body: bytes) -> bytes:
    """Returns a message with its length."""
    rows = {**headers, "Content-Length": len(body)}
    lines = [first, *(f"{name}: {value}" for name, value in rows.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def post(address: str, path: str, value: Any, limit_s: float) -> int:
    """Posts JSON; returns the status, or 0 without an answer in time."""

    async def run() -> int:
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                make_message(
                    f"POST {path} HTTP/1.1",
                    {"Host": address, "Content-Type": "application/json"},
                    json.dumps(value).encode(),
                )
            )
            first, headers = await read_head(reader)
            await read_body(reader, headers, True)
            return int(first.split()[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), limit_s)
    except (TimeoutError, OSError, EOFError):
        return 0


# The platform's store.


class Store:
    """The platform's metadata store, in memory.

    Attributes:
        outage: `busy` answers each call with status 503; empty for none.
    """

    def __init__(self, record: Record, port: int) -> None:
        self.address = f"{HOST}:{port}"
        self.outage = ""
        self._record = record
        self._port = port
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Condition()
        self._server: Any = None

    async def start(self) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item and wakes the watches."""
        self._revision += 1
        held = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self._revision,
            "created": held["created"] if held else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        async with self._changed:
            self._changed.notify_all()
        return self._revision

    async def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {"key": key, "rev": self._revision, "tombstone": True}
        )
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                target = first.split()[1]
                status, value = 503, {}
                if not self.outage:
                    status, value = await self._handle(target, body)
                if self.outage:
                    status, value = 503, {}
                writer.write(
                    make_message(
                        f"HTTP/1.1 {status} S",
                        {"Content-Type": "application/json"},
                        json.dumps(value).encode(),
                    )
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, target: str, body: bytes) -> tuple[int, Any]:
        path, _, text = target.partition("?")
        query = dict(parse.parse_qsl(text))
        if path == "/kv-key":
            item = self._items.get(query["key"])
            current = {"currentRev": self._revision}
            return (200, {**item, **current}) if item else (404, current)
        if path == "/kv-range":
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items,
                "truncated": False,
                "currentRev": self._revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._change(json.loads(body))
        if path == "/kv-lease":
            number = next(self._numbers)
            ttl_ms = json.loads(body)["ttlMs"]
            self._leases[number] = ttl_ms
            return 200, {"lease": number, "ttlMs": ttl_ms}
        if path.startswith("/kv-keep/"):
            is_held = int(path.rpartition("/")[2]) in self._leases
            return (200 if is_held else 404), {}
        if path.startswith("/kv-lease-end/"):
            self._leases.pop(int(path.rpartition("/")[2]), None)
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self._revision}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)

    async def _change(self, change: dict[str, Any]) -> tuple[int, Any]:
        for row in change["expectedRev"]:
            held = self._items.get(row["key"])
            if (held["rev"] if held else 0) != row["rev"]:
                return 412, {"items": [held] if held else []}
        for put in change["puts"]:
            if put["lease"] and put["lease"] not in self._leases:
                return 404, {}
        for put in change["puts"]:
            await self.put(
                put["key"], base64.b64decode(put["value"]), put["lease"]
            )
            self._record.note("store.put", key=put["key"])
        for key in change["remove"]:
            await self._remove(key)
        return 200, {"rev": self._revision}


# Upstreams.


@dataclasses.dataclass
class Run:
    """One request that an upstream began to work on."""

    at: float
    request_id: str
    path: str
    service: str
    upstream: str
    caller: str


def sign(upstream: str, request_id: str, body: bytes) -> str:
    """Returns the signature of an answer."""
    return f"{upstream}.{request_id}.{zlib.crc32(body):08x}"


@dataclasses.dataclass(eq=False)
class Upstream:
    """One incarnation of an upstream.

    The first part of a request's path after the prefix may hold `wMS`, the
    time of its work in milliseconds.

    Attributes:
        runs: the requests that it ran.
        spoil: called with the writer, the request's id and its whole answer
            in place of writing the answer; returns whether the connection
            stays open.
        late_beats: whether heartbeats stay on the way, until `deliver_late`.
        refuse_every: one request in this many is refused without being run; 0
            for none.
        on_refusal: called with the writer and the id of each of these.
    """

    record: Record
    name: str
    service: str
    port: int
    control: str
    slots: int
    born: int
    work_s: float = 0.02
    queue: int = 24
    runs: list[Run] = dataclasses.field(default_factory=list)
    spoil: Any = None
    late_beats: bool = False
    state: str = "ready"
    body_bytes: int = 300
    refuse_every: int = 0
    on_refusal: Any = None
    _arrivals: int = 0
    _sequence: int = 0
    _late: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    _server: Any = None
    _beats: Any = None
    _writers: set[Any] = dataclasses.field(default_factory=set)
    _free: Any = None
    _waiting: int = 0

    async def start(self, has_beats: bool = True) -> None:
        """Listens and sends heartbeats."""
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        if has_beats:
            self._beats = asyncio.create_task(self._send_beats())

    async def stop(self) -> None:
        """Ends at once, as a crash does."""
        await self.stop_beats()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.note("upstream.ended", upstream=self.name, born=self.born)

    async def stop_beats(self) -> None:
        """Sends no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def leave(self) -> int:
        """Sends the departure notice; returns the status of its answer."""
        await self.stop_beats()
        status = await post(
            self.control,
            f"/Instances.Leave/{self.name}",
            {"born": self.born},
            1.0,
        )
        self.record.note(
            "upstream.leave", upstream=self.name, born=self.born, answer=status
        )
        return status

    async def deliver_late(self) -> None:
        """Lets the heartbeats that are on the way arrive."""
        for beat in self._late:
            await self._deliver(beat, "late")
        self._late.clear()

    async def beat(self) -> None:
        """Sends one heartbeat."""
        self._sequence += 1
        beat = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "edin-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.late_beats:
            self.record.note(
                "upstream.beat-on-its-way",
                upstream=self.name,
                born=self.born,
                sequence=self._sequence,
            )
            self._late.append(beat)
            return
        await self._deliver(beat, "in time")

    async def _deliver(self, beat: dict[str, Any], how: str) -> None:
        status = await post(
            self.control, f"/Instances.Heartbeat/{self.name}", beat, 1.0
        )
        self.record.note(
            "upstream.beat",
            upstream=self.name,
            born=self.born,
            sequence=beat["sequence"],
            state=beat["state"],
            arrived=how.replace(" ", "-"),
            answer=status,
        )

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        body = await read_body(reader, headers, False)
        _method, path, _ = first.split()
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.name) != self.name:
            return await self._reject(writer, request_id, 421)
        if self._free.locked() and self._waiting >= self.queue:
            return await self._reject(writer, request_id, 503)
        self._arrivals += 1
        if self.refuse_every and self._arrivals % self.refuse_every == 0:
            if self.on_refusal is not None:
                self.on_refusal(writer, request_id)
            return await self._reject(writer, request_id, 503)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run = Run(
                self.record.now(),
                request_id,
                path,
                self.service,
                self.name,
                headers.get("caller-service", ""),
            )
            self.runs.append(run)
            self.record.note(
                "upstream.run",
                id=request_id,
                path=path,
                upstream=self.name,
                service=self.service,
                born=self.born,
                body=len(body),
            )
            await asyncio.sleep(_read_work(path, self.work_s))
        finally:
            self._free.release()
        content = f"{self.service} {request_id} ".encode().ljust(
            self.body_bytes, b"."
        )
        answer = make_message(
            "HTTP/1.1 200 OK",
            {
                "Request-Id": request_id,
                "Response-Signature": sign(self.name, request_id, content),
            },
            content,
        )
        if self.spoil is not None:
            keeps: bool = await self.spoil(writer, request_id, answer)
            return keeps
        writer.write(answer)
        await writer.drain()
        return True

    async def _reject(
        self, writer: asyncio.StreamWriter, request_id: str, status: int
    ) -> bool:
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        writer.write(make_message(f"HTTP/1.1 {status} No", headers, b"{}"))
        await writer.drain()
        self.record.note(
            "upstream.reject", id=request_id, upstream=self.name, status=status
        )
        return True


def _read_work(path: str, default_s: float) -> float:
    for part in path.split("/"):
        if part.startswith("w") and part[1:].isdigit():
            return int(part[1:]) / 1000
    return default_s


# Clients.


@dataclasses.dataclass
class Attempt:
    """One client attempt; status 0 means that no complete answer came."""

    request_id: str
    path: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    ended_at: float = 0.0
    end: str = ""

    @property
    def is_own(self) -> bool:
        """Whether a success bears the signature of the whole own answer."""
        signature = self.headers.get("response-signature", "")
        upstream = signature.partition(".")[0]
        return signature == sign(upstream, self.request_id, self.body)


class Client:
    """Sends requests to the `outbound` address of a node."""

    def __init__(self, record: Record, address: str, host: str) -> None:
        self._record = record
        self._address = address
        self._host = host
        self._ids = itertools.count(1)
        self._prefix = os.urandom(4).hex()
        self.attempts: list[Attempt] = []

    async def send(
        self,
        path: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
    ) -> Attempt:
        """Sends one request on a new connection and waits for its end."""
        request_id = f"{self._prefix}{next(self._ids):08x}"
        attempt = Attempt(request_id, path, self._record.now())
        self.attempts.append(attempt)
        self._record.note("client.sent", id=request_id, path=path)
        try:
            await asyncio.wait_for(
                self._exchange(attempt, deadline_ms, method, body),
                deadline_ms / 1000 + 0.5,
            )
            attempt.end = "answered"
        except TimeoutError:
            attempt.end = "gave-up"
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            attempt.status = 0
            attempt.end = f"closed-by-node:{type(error).__name__}"
        attempt.ended_at = self._record.now()
        self._record.note(
            "client.end",
            id=request_id,
            end=attempt.end,
            status=attempt.status,
            took=f"{attempt.ended_at - attempt.sent_at:.3f}",
            answered_id=attempt.headers.get("request-id", "-"),
            signature=attempt.headers.get("response-signature", "-"),
            own=attempt.is_own,
            body=attempt.body[:60],
        )
        return attempt

    async def _exchange(
        self, attempt: Attempt, deadline_ms: int, method: str, body: bytes
    ) -> None:
        host, _, port = self._address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(self._make_request(attempt, deadline_ms, method, body))
            first, headers = await read_head(reader)
            attempt.headers = headers
            attempt.body = await read_body(reader, headers, True)
            attempt.status = int(first.split()[1])
        finally:
            writer.close()

    def _make_request(
        self, attempt: Attempt, deadline_ms: int, method: str, body: bytes
    ) -> bytes:
        return make_message(
            f"{method} {attempt.path} HTTP/1.1",
            {
                "Host": self._host,
                "Request-Id": attempt.request_id,
                "Request-Deadline": deadline_ms,
            },
            body,
        )


class KeptClient(Client):
    """Sends its requests one after another on a kept connection."""

    _streams: Any = None

    async def _exchange(
        self, attempt: Attempt, deadline_ms: int, method: str, body: bytes
    ) -> None:
        if self._streams is None:
            host, _, port = self._address.partition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        # Kept only if the whole exchange succeeds.
        self._streams = None
        try:
            writer.write(self._make_request(attempt, deadline_ms, method, body))
            first, headers = await read_head(reader)
            attempt.headers = headers
            attempt.body = await read_body(reader, headers, True)
            attempt.status = int(first.split()[1])
        except BaseException:
            writer.close()
            raise
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._streams = reader, writer

    def close(self) -> None:
        """Closes the kept connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


# Nodes.


class Node:
    """One node: the program of the deploy file as a process of its own."""

    def __init__(
        self,
        record: Record,
        name: str,
        folder: pathlib.Path,
        service: str,
        store: str,
        zone: str = "edin-a",
    ) -> None:
        base = pick_ports(7)
        self.name = name
        self.outbound = f"{HOST}:{base + 2}"
        self.ready = f"{HOST}:{base + 3}"
        self.control = f"{HOST}:{base + 4}"
        self.app_port = base + 5
        self._record = record
        self._folder = folder
        self._process: Any = None
        self._path = folder / f"{name}.conf"
        rows = {
            "nodeName": name,
            "role": "node",
            "instanceClass": "sidecar",
            "serves": "sidecar",
            "ip": HOST,
            "zone": zone,
            "region": zone.partition("-")[0],
            "listen.inbound": f"{HOST}:{base + 6}",
            "listen.outbound": self.outbound,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "portRange": f"{base},{base + 1}",
            "seedNodes": "",
            "firstStart": "true",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds.drainMs": int(DRAIN_S * 1000),
            "bounds.configMs": int(CONFIG_S * 1000),
            "bounds.graceS": GRACE_S,
            "bounds.budgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.budgetSlack": 58,
            "appAddress": f"{HOST}:{self.app_port}",
            "service": service,
            "platform.address": store,
            "platform.form": "kv",
        }
        self._path.write_text(
            "".join(f"{key}={value}\n" for key, value in rows.items())
        )

    def start(self) -> None:
        """Starts the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FILBERTLIFT_NODE_FILE": str(self._path),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *NODE_COMMAND],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.note("node.start", node=self.name)

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self._record.note(
            "node.signal", node=self.name, signal=signal.Signals(number).name
        )
        self._process.send_signal(number)

    async def wait_end(self, limit_s: float) -> None:
        """Waits until the process has ended; kills it after the limit."""
        until = time.monotonic() + limit_s
        while self._process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self._process.poll() is None:
            self.signal(signal.SIGKILL)
            self._process.wait()
        self._record.note(
            "node.ended", node=self.name, status=self._process.returncode
        )

    @property
    def memory_mb(self) -> float:
        """Memory that the process holds now; 0 if it has ended."""
        try:
            path = pathlib.Path(f"/proc/{self._process.pid}/statm")
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGESIZE") / 1_048_576

    def kill(self) -> None:
        """Ends the process at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def read_log(self) -> str:
        """Returns what the process logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Waits until the readiness check is answered with 200."""
        until = time.monotonic() + limit_s
        host, _, port = self.ready.partition(":")
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    make_message("GET /ready HTTP/1.1", {"Host": host}, b"")
                )
                first, _headers = await read_head(reader)
                writer.close()
                if first.split()[1] == "200":
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} was not ready in {limit_s} s")


class Case:
    """The parts of one case."""

    def __init__(self, script: str) -> None:
        self.record = Record(pathlib.Path(script).resolve().parent)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record, pick_ports(1))
        self.nodes: list[Node] = []

    def add_node(self, name: str, service: str, zone: str = "edin-a") -> Node:
        """Adds a node, not started."""
        node = Node(
            self.record, name, self.folder, service, self.store.address, zone
        )
        self.nodes.append(node)
        return node

    async def start_all(
        self, services: list[str], slots: int, names: list[str] | None = None
    ) -> list[Upstream]:
        """Starts all nodes, then an upstream beside each; returns these."""
        names = names or [f"i-{node.name}" for node in self.nodes]
        upstreams = [
            Upstream(
                self.record,
                name,
                service,
                node.app_port,
                node.control,
                slots,
                BORN_MS,
            )
            for node, service, name in zip(
                self.nodes, services, names, strict=True
            )
        ]
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()
        for upstream in upstreams:
            await upstream.start()
        return upstreams

    async def publish(
        self, version: int, routes: dict[str, Any], services: list[str]
    ) -> float:
        """Writes a configuration; returns the time of its acknowledgement."""
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": {
                name: {"healthCheckPath": "/healthz", "maxConnections": 110}
                for name in services
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        await self.store.put("op/config", json.dumps(document).encode())
        self.record.note("operator.acknowledged", version=f"{version:08x}")
        return self.record.now()


def make_route(host: str, prefix: str, kind: str, **fields: Any) -> Any:
    """Returns a route of a configuration."""
    return {
        "hostname": host,
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "maxAttempts": 2,
        "priority": 1,
        **fields,
    }


async def wait_served(
    client: Client, path: str, is_served: Any, limit_s: float = 15.0
) -> None:
    """Sends probes until one is served as expected."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        attempt = await client.send(path, 1000)
        if attempt.status == 200 and is_served(attempt):
            return
        await asyncio.sleep(0.2)
    raise CannotRunError(f"{path} was not served in {limit_s} s")


def run_case(script: str, play: Any, limit_s: float = 110.0) -> None:
    """Plays a case and exits with its status.

    Args:
        script: path of the script of the case.
        play: coroutine function that gets the `Case` and returns the list of
            the breaches of the rule.
        limit_s: time limit, in seconds.
    """
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))
    case = Case(script)
    status = NOT_RUN
    try:
        breaches = asyncio.run(asyncio.wait_for(play(case), limit_s))
        status = BROKEN if breaches else HELD
        for breach in breaches:
            case.record.note("BROKEN", what=breach)
            print(breach)
    except (TimeoutError, CannotRunError, OSError) as error:
        case.record.note("not-run", error=repr(error))
        print(f"could not run: {error!r}")
    finally:
        for node in case.nodes:
            node.kill()
        for node in case.nodes:
            case.record.note("log", node=node.name)
            for line in node.read_log().splitlines()[-200:]:
                case.record.note("  " + line)
    case.record.note("exit", status=status, trouble=int(HAS_TROUBLE))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
