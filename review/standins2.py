"""Stand-ins for the platform's store, upstreams and clients, on loopback.

They follow the users' pages. The store and the upstreams run as threads of the
script; the nodes are processes of the deploy file.
"""

import base64
from http import server as http_server
import http.client
import json
import os
import pathlib
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
CANNOT_RUN = 2
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
START = time.monotonic()


def now():
    """Returns the time since the script started, in seconds."""
    return time.monotonic() - START


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def note(self, *parts):
        """Writes a line with the time."""
        text = " ".join(str(part) for part in parts)
        with self._lock:
            self._file.write(f"{now():8.3f} {text}\n")
            self._file.flush()


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores connections that the other side broke off."""


def make_handler(handle):
    """Returns the class of handlers that pass each request on.

    Args:
        handle: called with the handler of a connection and the body.
    """

    class Handler(http_server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1
        disable_nagle_algorithm = True

        def log_message(self, *_args):
            """Logs nothing."""

        def read(self):
            """Reads the body of a request and passes it on."""
            size = int(self.headers.get("Content-Length", 0))
            handle(self, self.rfile.read(size))

    for method in ("GET", "HEAD", "POST", "PUT", "DELETE"):
        setattr(Handler, f"do_{method}", Handler.read)
    return Handler


def format_address(address):
    """Returns an address as text."""
    return f"{address[0]}:{address[1]}"


class Store:
    """The platform's metadata store.

    Attributes:
        mode: "up", "busy" (503) or "silent" (no answer).
    """

    def __init__(self, record):
        self.mode = "up"
        self.rev = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = threading.Condition()
        self.record = record
        handler = make_handler(self._handle)
        self.server = _Server(("127.0.0.1", 0), handler)
        self.address = format_address(self.server.server_address)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _handle(self, exchange, body):
        if self.mode == "silent":
            while self.mode == "silent":
                time.sleep(0.02)
            exchange.close_connection = True
            return
        status, answer = 503, {}
        if self.mode == "up":
            status, answer = self.handle(exchange.path, body)
        data = json.dumps(answer).encode()
        exchange.send_response(status)
        exchange.send_header("Content-Type", "application/json")
        exchange.send_header("Content-Length", str(len(data)))
        exchange.end_headers()
        exchange.wfile.write(data)

    def put(self, key, value, lease=0):
        """Writes an item, as the operator does."""
        with self.changed:
            self._put(key, value, lease)
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.rev += 1
        created = self.items.get(key, {}).get("created", self.rev)
        text = base64.b64encode(value).decode()
        item = {
            "key": key,
            "value": text,
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key):
        if key in self.items:
            del self.items[key]
            self.rev += 1
            self.events.append({"key": key, "rev": self.rev, "tombstone": True})

    def _expire(self):
        for lease, (end, _ttl) in list(self.leases.items()):
            if time.monotonic() > end:
                self._drop_lease(lease)

    def _drop_lease(self, lease):
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self._remove(key)

    def handle(self, path, body):
        """Returns the status and the answer of a call."""
        parts = parse.urlsplit(path)
        query = dict(parse.parse_qsl(parts.query))
        name, _, ident = parts.path[1:].partition("/")
        calls = {
            "kv-key": lambda: self._get(query),
            "kv-range": lambda: self._list(query),
            "kv-watch": lambda: self._watch(query),
            "kv-txn": lambda: self._transact(json.loads(body)),
            "kv-lease": lambda: self._grant(json.loads(body)["ttlMs"]),
            "kv-keep": lambda: self._keep(int(ident)),
            "kv-lease-end": lambda: self._end(int(ident)),
        }
        call = calls.get(name)
        if call is None:
            return 404, {}
        with self.changed:
            self._expire()
            return call()

    def _get(self, query):
        item = self.items.get(query["key"])
        if item is None:
            return 404, {"currentRev": self.rev}
        return 200, {**item, "currentRev": self.rev}

    def _list(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return 200, {
            "items": [self.items[key] for key in keys[:500]],
            "truncated": len(keys) > 500,
            "currentRev": self.rev,
        }

    def _grant(self, ttl_ms):
        self.rev += 1
        self.leases[self.rev] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"lease": self.rev, "ttlMs": ttl_ms}

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {}

    def _end(self, lease):
        if lease not in self.leases:
            return 404, {}
        self._drop_lease(lease)
        return 200, {}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["rev"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if found or left <= 0 or self.mode != "up":
                return 200, {"events": found, "currentRev": self.rev}
            self.changed.wait(min(left, 0.1))

    def _transact(self, change):
        for row in change.get("expectedRev", ()):
            held = self.items.get(row["key"], {}).get("rev", 0)
            if held != row["rev"]:
                keys = [row["key"] for row in change["expectedRev"]]
                return 412, {
                    "items": [self.items[k] for k in keys if k in self.items]
                }
        for put in change.get("puts", ()):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in change.get("puts", ()):
            self._put(
                put["key"], base64.b64decode(put["value"]), put.get("lease", 0)
            )
        for key in change.get("remove", ()):
            self._remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.rev}


def make_config(version, routes, services, **more):
    """Returns the value of the operator's configuration.

    Args:
        version: number of the version.
        routes: routes by name.
        services: names of the services.
        more: further fields.
    """
    policy = {"healthCheckPath": "/healthz", "maxConnections": 130}
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": routes,
            "services": dict.fromkeys(services, policy),
            "limits": LIMITS,
            **more,
        }
    ).encode()


def make_route(service, kind="safe", timeout_ms=5000, attempts=2, **more):
    """Returns a route to a service."""
    return {
        "hostname": "shop.example",
        "prefix": f"/{service}/{kind}/",
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": attempts,
        "service": service,
        **more,
    }


def find_free_ports(host, count):
    """Returns the first of several consecutive free ports of an address."""
    for base in range(20000 + os.getpid() % 5000, 60000, count + 3):
        sockets = []
        try:
            for port in range(base, base + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    made = socket.socket(socket.AF_INET, kind)
                    sockets.append(made)
                    made.bind((host, port))
        except OSError:
            continue
        finally:
            for made in sockets:
                made.close()
        return base
    sys.exit(CANNOT_RUN)


class Node:
    """One machine: the process of the deploy file and its settings."""

    def __init__(self, folder, number, service, zone, region, store, **more):
        # Scripts that run at the same time do not share addresses.
        self.host = f"127.{1 + os.getpid() % 250}.{40 + number}.1"
        base = find_free_ports(self.host, 20)
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.outbound = (self.host, base)
        self.ready = (self.host, base + 1)
        self.control = (self.host, base + 2)
        self.app = (self.host, base + 3)
        self.process = None
        self.settings = {
            "nodeName": self.name,
            "role": "node",
            "instanceClass": "sidecar",
            "serves": "sidecar",
            "ip": self.host,
            "zone": zone,
            "region": region,
            "listen.inbound": f"{self.host}:{base + 4}",
            "listen.outbound": f"{self.host}:{base}",
            "listen.ready": f"{self.host}:{base + 1}",
            "listen.control": f"{self.host}:{base + 2}",
            "portRange": f"{base + 5},{base + 15}",
            "seedNodes": "",
            "firstStart": "true",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1500",
            "contracts": "base,drain,config,cost,retry,recover,platform",
            "bounds.graceS": "6",
            "bounds.budgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "62",
            "appAddress": f"{self.host}:{base + 3}",
            "service": service,
            "platform.address": store.address,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            **more,
        }
        self.path = pathlib.Path(folder) / f"{self.name}.conf"
        self.log = (pathlib.Path(folder) / f"{self.name}.log").open("ab")
        self.write_settings()

    def write_settings(self):
        """Writes the settings file."""
        lines = [f"{name}={value}" for name, value in self.settings.items()]
        self.path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Starts the process with the command of the deploy file."""
        self.process = subprocess.Popen(
            ["python3", "target/app/run.py"],
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            stdin=subprocess.DEVNULL,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "FILBERTLIFT_NODE_FILE": str(self.path),
            },
        )

    def kill(self):
        """Kills the process."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def send(self, number):
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self):
        """Returns whether the node answers a readiness check with 200."""
        try:
            return ask(self.ready, "GET", "/ready", timeout=1.0)[0] == 200
        except OSError:
            return False


def ask(address, method, path, headers=(), body=None, timeout=5.0):
    """Sends one request on a new connection; returns status, headers, body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


def report(node, call, target_id, body, timeout=1.0):
    """Sends a heartbeat or a departure notice; returns its status or 0."""
    try:
        return ask(
            node.control,
            "POST",
            f"/Instances.{call}/{target_id}",
            {"Content-Type": "application/json"},
            json.dumps(body),
            timeout,
        )[0]
    except OSError:
        return 0


class Upstream:
    """An upstream that answers each request after its work.

    Attributes:
        runs: request ids and times of all runs.
    """

    def __init__(self, node, record, work_s=0.02, slots=6, target_id=None):
        self.node = node
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.id = target_id or f"i-{node.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_beating = True
        self.runs = []
        self.lock = threading.Lock()
        self.is_stopped = False
        handler = make_handler(self.handle)
        self.server = _Server(node.app, handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def handle(self, exchange, body):
        """Runs one request."""
        request_id = exchange.headers.get("Request-Id", "")
        wanted = exchange.headers.get("Target-Instance")
        if not request_id or (wanted and wanted != self.id):
            status = 400 if not request_id else 421
            self.answer(exchange, status, b"", {"Not-Executed": "1"})
            return
        with self.lock:
            self.runs.append((request_id, now()))
        self.record.note("run", self.id, request_id, exchange.path, len(body))
        time.sleep(self.work_s)
        self.answer(exchange, 200, f"{self.id} {request_id}".encode())

    def answer(self, exchange, status, body, headers=()):
        """Sends an answer."""
        exchange.send_response(status)
        exchange.send_header(
            "Request-Id", exchange.headers.get("Request-Id", "")
        )
        for name, value in dict(headers).items():
            exchange.send_header(name, value)
        if status < 400:
            exchange.send_header("Response-Signature", "s.1")
        exchange.send_header("Content-Length", str(len(body)))
        exchange.end_headers()
        exchange.wfile.write(body)

    def make_beat(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.node.service,
            "address": format_address(self.node.app),
            "zone": self.node.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def _beat(self):
        while not self.is_stopped:
            status = 0
            if self.is_beating:
                status = report(
                    self.node, "Heartbeat", self.id, self.make_beat()
                )
            time.sleep(1.5 if status == 200 else 0.3)

    def stop(self):
        """Ends the upstream."""
        self.is_stopped = True
        self.server.shutdown()
        self.server.server_close()


def wait_for(condition, timeout_s, what):
    """Waits for a condition; the case cannot run without it."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    print("cannot run:", what)
    raise CannotRunError(what)


class CannotRunError(Exception):
    """The case cannot run."""


def start_nodes(scratch, store, nodes, machines, region, **settings):
    """Starts a node on each machine.

    Args:
        scratch: folder for settings files and logs.
        store: the platform's store.
        nodes: list that the nodes are added to.
        machines: service and zone of each machine.
        region: their region.
        settings: further settings of the nodes.
    """
    for number, (service, zone) in enumerate(machines, 1):
        node = Node(scratch, number, service, zone, region, store, **settings)
        nodes.append(node)
        node.start()


def wait_until_ready(nodes):
    """Waits until all nodes are ready and know one another's upstreams."""
    wait_for(
        lambda: all(node.is_ready() for node in nodes), 20, "nodes not ready"
    )
    time.sleep(4.0)


def _end_nodes(nodes):
    for node in nodes:
        if node.process is not None and node.process.poll() is None:
            node.send(signal.SIGCONT)
            node.kill()


def _keep_logs(scratch):
    target = os.environ.get("KEEP_LOGS")
    if not target:
        return
    for path in pathlib.Path(scratch).glob("*.log"):
        (pathlib.Path(target) / path.name).write_bytes(path.read_bytes())


def run_case(folder, play):
    """Runs a case; exits with 0, 1 or 2.

    Args:
        folder: folder of the case, which gets the record.
        play: plays the case and returns whether the rule was broken; called
            with a scratch folder, the record, the list of nodes that are ended
            afterwards, and whether the disruption takes place.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    nodes = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = 1 if play(scratch, record, nodes, has_trouble) else 0
        except CannotRunError as error:
            record.note("cannot run:", error)
            code = CANNOT_RUN
        except Exception as error:
            record.note("cannot run:", repr(error))
            print("cannot run:", repr(error))
            code = CANNOT_RUN
        finally:
            _end_nodes(nodes)
            _keep_logs(scratch)
    record.note("exit", code)
    sys.stdout.flush()
    os._exit(code)
