"""Sends crowds of crafted requests to a node, and prints what it takes of them.

The connections of a crowd stay open after it has sent, so that the node holds
what it keeps for them. Usage: crowds.py FORM HOST:PORT PID [CONNECTIONS]
"""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import os
import pathlib
import selectors
import socket
import string
import sys
import time
from typing import Any
from typing import Final

import attrs

HOSTNAME: Final = "127.0.0.1"
HEAD_BYTES: Final = 16_384
BODY_BYTES: Final = 2_000_000
SEGMENT_BYTES: Final = 65_536
# Time without progress after which a crowd takes its bytes for unwanted, and
# the longest time for which it sends, in seconds.
STALL_S: Final = 1.0
SEND_LIMIT_S: Final = 8.0
ANSWER_LIMIT_S: Final = 10.0
# A node that has used no processor time for the first has handled what it got;
# it is waited for no longer than the second, in seconds.
QUIET_S: Final = 0.3
QUIET_LIMIT_S: Final = 8.0
QUIET_SAMPLES: Final = 5
# Share of a processor that a node uses at rest.
RESTING_SHARE: Final = 0.2
_LISTEN_STATE: Final = "0A"

Address = tuple[str, int]
Form = Callable[[str], bytes]


@attrs.frozen
class Usage:
    """What a process and the kernel hold.

    Attributes:
        peak_bytes: highest resident memory since its start.
        unread_bytes: received bytes that the kernel holds for its sockets.
        descriptors: open descriptors.
    """

    peak_bytes: int
    unread_bytes: int
    descriptors: int

    @property
    def memory_bytes(self) -> int:
        """Memory of the process and of its sockets."""
        return self.peak_bytes + self.unread_bytes


def read_usage(pid: int, address: Address) -> Usage:
    """Returns what a node and its connections of callers hold."""
    folder = pathlib.Path("/proc") / str(pid)
    peak_bytes = 0
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            peak_bytes = int(line.split()[1]) * 1024
    unread_bytes = 0
    for line in (folder / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].partition(":")[2], 16)
        if port == address[1] and fields[3] != _LISTEN_STATE:
            unread_bytes += int(fields[4].partition(":")[2], 16)
    descriptors = len(list((folder / "fd").iterdir()))
    return Usage(peak_bytes, unread_bytes, descriptors)


def _read_work(pid: int) -> tuple[float, bool]:
    """Returns the processor time of a process, and whether it wants more."""
    text = (pathlib.Path("/proc") / str(pid) / "stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK"), fields[0] == "R"


def wait_until_quiet(pid: int) -> None:
    """Waits until a node has handled what it was sent."""
    until = time.monotonic() + QUIET_LIMIT_S
    used_s, _is_running = _read_work(pid)
    while time.monotonic() < until:
        is_running = False
        before_s = used_s
        for _ in range(QUIET_SAMPLES):
            time.sleep(QUIET_S / QUIET_SAMPLES)
            used_s, is_runnable = _read_work(pid)
            is_running = is_running or is_runnable
        if used_s - before_s <= RESTING_SHARE * QUIET_S and not is_running:
            return


def make_lines(size: int) -> bytes:
    """Returns header lines of 6 bytes, all with distinct names."""
    letters = string.ascii_lowercase
    names = (a + b + c for a in letters for b in letters for c in letters)
    line_bytes = len("abc:\r\n")
    count = size // line_bytes
    return "".join(
        f"{name}:\r\n" for name, _ in zip(names, range(count), strict=False)
    ).encode()


def _make_start(method: str, path: str) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\n".encode()


def make_head(path: str) -> bytes:
    """Returns a whole request of very many header lines."""
    start = _make_start("GET", path) + b"Request-Deadline: 30000\r\n"
    return start + make_lines(HEAD_BYTES - len(start) - 200) + b"\r\n"


def make_partial_head(path: str) -> bytes:
    """Returns the same without its last byte."""
    return make_head(path)[:-1]


def make_pipeline(path: str) -> bytes:
    """Returns one segment of short requests."""
    request = _make_start("GET", path) + b"\r\n"
    return request * (SEGMENT_BYTES // len(request))


def make_small_pipeline(path: str) -> bytes:
    """Returns fewer of them, for a target that answers at once."""
    return (_make_start("GET", path) + b"\r\n") * 400


def make_long_ids(path: str) -> bytes:
    """Returns requests with distinct ids of 16 KB, for a quick target."""
    start = _make_start("GET", path)
    ids = (f"{number:08d}" + "x" * 16_000 for number in range(2_000))
    return b"".join(
        start + f"Request-Id: {text}\r\n\r\n".encode() for text in ids
    )


def make_few(path: str) -> bytes:
    """Returns a few requests whose answers are not read."""
    return (_make_start("GET", path) + b"\r\n") * 20


def _make_chunked(path: str) -> bytes:
    return _make_start("POST", path) + b"Transfer-Encoding: chunked\r\n\r\n"


def make_trailer(path: str) -> bytes:
    """Returns a chunked body with a trailer line that has no end."""
    return _make_chunked(path) + b"1\r\na\r\n0\r\nx: " + b"y" * BODY_BYTES


def make_trailers(path: str) -> bytes:
    """Returns a chunked body with very many short trailer lines."""
    return _make_chunked(path) + b"1\r\na\r\n0\r\n" + b"abc:\r\n" * 100_000


def make_chunks(path: str) -> bytes:
    """Returns a body of chunks of one byte, without its end."""
    return _make_chunked(path) + b"1\r\na\r\n" * (BODY_BYTES // 10)


def make_extensions(path: str) -> bytes:
    """Returns chunks with long extensions, without their end."""
    chunk = b"1;x=" + b"y" * 10_000 + b"\r\na\r\n"
    chunks = chunk * (BODY_BYTES // len(chunk))
    return _make_chunked(path) + chunks + b"1;x=" + b"y" * 100_000


def make_large_chunks(path: str) -> bytes:
    """Returns a body of large chunks, without its end."""
    chunk = b"%x\r\n%b\r\n" % (60_000, bytes(60_000))
    return _make_chunked(path) + chunk * (BODY_BYTES // 60_000)


def make_body(path: str) -> bytes:
    """Returns a large body without its last byte."""
    length = f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    return _make_start("POST", path) + length + bytes(BODY_BYTES - 1)


def make_small_body(path: str) -> bytes:
    """Returns a small body without its last byte."""
    size = 60_000
    length = f"Content-Length: {size}\r\n\r\n".encode()
    return _make_start("POST", path) + length + bytes(size - 1)


def make_tuned_body(path: str) -> bytes:
    """Returns a body read at full speed and bytes that are not read.

    The kernel widens the receive buffer of a connection that is read fast.
    """
    return make_body(path) + b"z" + make_body(path)


def make_nothing(_path: str) -> bytes:
    """Returns nothing, for connections that never send."""
    return b""


FORMS: Final[dict[str, Form]] = {
    "partial-heads": make_partial_head,
    "heads": make_head,
    "pipelines": make_pipeline,
    "without-ids": make_small_pipeline,
    "long-ids": make_long_ids,
    "answers": make_few,
    "trailer": make_trailer,
    "trailers": make_trailers,
    "chunks": make_chunks,
    "extensions": make_extensions,
    "large-chunks": make_large_chunks,
    "bodies": make_body,
    "small-bodies": make_small_body,
    "unread": make_tuned_body,
    "silent": make_nothing,
}


@attrs.define(eq=False)
class Crowd:
    """Open connections to a node."""

    _sockets: list[socket.socket] = attrs.field(factory=list)

    def send(self, address: Address, count: int, data: bytes) -> None:
        """Opens connections and sends the data on each, as far as it goes."""
        unsent: dict[socket.socket, memoryview] = {}
        for _ in range(count):
            connection = socket.create_connection(address, ANSWER_LIMIT_S)
            connection.setblocking(False)
            self._sockets.append(connection)
            if data:
                unsent[connection] = memoryview(data)
        until = time.monotonic() + SEND_LIMIT_S
        with selectors.DefaultSelector() as selector:
            for connection in unsent:
                selector.register(connection, selectors.EVENT_WRITE)
            while unsent and time.monotonic() < until:
                ready = selector.select(STALL_S)
                if not ready:
                    return
                for key, _events in ready:
                    self._send_part(key.fileobj, unsent, selector)

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()

    def _send_part(
        self,
        connection: Any,
        unsent: dict[socket.socket, memoryview],
        selector: selectors.BaseSelector,
    ) -> None:
        sent = len(unsent[connection])
        with contextlib.suppress(BlockingIOError):
            try:
                sent = connection.send(unsent[connection][:SEGMENT_BYTES])
            except ConnectionError:
                sent = len(unsent[connection])
            unsent[connection] = unsent[connection][sent:]
        if not unsent[connection]:
            del unsent[connection]
            selector.unregister(connection)


def connect(address: Address) -> socket.socket:
    """Returns the connection of an ordinary caller."""
    return socket.create_connection(address, ANSWER_LIMIT_S)


def exchange(connection: socket.socket, path: str, body: bytes = b"") -> int:
    """Sends an ordinary request; returns the status of its short answer.

    Raises:
        OSError: if there is no answer in time.
    """
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    text = (
        f"{length}Request-Id: {os.urandom(8).hex()}\r\nAccept: */*\r\n"
        "Request-Deadline: 8000\r\nUser-Agent: ordinary/1.0\r\n\r\n"
    )
    connection.sendall(_make_start(method, path) + text.encode() + body)
    status = connection.recv(SEGMENT_BYTES)[9:12]
    return int(status) if status.isdigit() else 0


def ask(address: Address, path: str, body: bytes = b"") -> int:
    """Sends an ordinary request; returns its status, 0 without an answer."""
    try:
        with connect(address) as connection:
            return exchange(connection, path, body)
    except OSError:
        return 0


def main(arguments: Sequence[str]) -> None:
    """Sends one crowd and prints what the node takes."""
    form, target, pid = arguments[:3]
    count = int(arguments[3]) if len(arguments) > 3 else 100
    host, _, port = target.rpartition(":")
    address = (host, int(port))
    path = os.environ.get("CROWD_PATH", "/")
    crowd = Crowd()
    print("before", read_usage(int(pid), address))
    crowd.send(address, count, FORMS[form](path))
    wait_until_quiet(int(pid))
    print("during", read_usage(int(pid), address), ask(address, path))
    crowd.close()
    time.sleep(1.0)
    print("after", read_usage(int(pid), address), ask(address, path))


if __name__ == "__main__":
    main(sys.argv[1:])
