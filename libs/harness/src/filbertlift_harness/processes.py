"""Starts the processes of a run, sends them signals and stops them."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import pathlib
import signal
import sys
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import protocol

from filbertlift_harness import exceptions

# Time after SIGKILL within which the end of a process is reported, in seconds.
# After a stall of this process its timers fire before it learns of the end.
KILL_TIMEOUT_S: Final = 30.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """CPU time and memory that a process has used.

    Attributes:
        cpu_s: seconds of CPU since it started.
        rss_bytes: resident memory in bytes.
    """

    cpu_s: float
    rss_bytes: int


def parse_usage(stat: str, status: str) -> Usage:
    """Returns the usage from the texts of /proc/<pid>/stat and status."""
    # The command name may contain spaces and ")"; it ends at the last ")".
    fields = stat.rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S
    rss_kb = 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            rss_kb = int(line.split()[1])
    return Usage(cpu_s, rss_kb * 1024)


class _ExitProtocol(protocol.ProcessProtocol):
    """Fires a Deferred with the exit status when the process ends."""

    def __init__(self) -> None:
        self.ended: defer.Deferred[int] = defer.Deferred()

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        code = reason.value.exitCode
        self.ended.callback(-reason.value.signal if code is None else code)


class Process:
    """A Python module run as a child process.

    Attributes:
        name: name of the process and of its log file.
        module: module to run.
        flags: arguments of the command line.
        paused: whether the process is paused by SIGSTOP.
        exit_status: exit status, or the negative number of the signal that
            ended it; None until then.
        on_exit: called with the exit status when the process has ended; None
            if nothing is to be called.
    """

    def __init__(
        self,
        reactor: Any,
        name: str,
        module: str,
        flags: list[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.module = module
        self.flags = flags
        self.paused = False
        self.exit_status: int | None = None
        self.on_exit: Callable[[int], None] | None = None
        self._environment = dict(environment or {})
        self._reactor = reactor
        self._transport: Any = None
        self._exit_protocol = _ExitProtocol()

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._transport is not None and self.exit_status is None

    @property
    def pid(self) -> int:
        """The process id.

        Raises:
            HarnessError: if the process is not running.
        """
        if not self.running:
            raise exceptions.HarnessError(f"{self.name} is not running")
        return int(self._transport.pid)

    def start(self, folder: pathlib.Path) -> None:
        """Starts the process; its output is appended to <name>.log.

        Raises:
            HarnessError: if it is already running.
        """
        if self.running:
            raise exceptions.HarnessError(f"{self.name} is already running")
        self.exit_status, self.paused = None, False
        self._exit_protocol = _ExitProtocol()
        self._exit_protocol.ended.addCallback(self._record_exit)
        with (
            open(folder / f"{self.name}.log", "ab") as log,
            open(os.devnull, "rb") as devnull,
        ):
            self._transport = self._reactor.spawnProcess(
                self._exit_protocol,
                sys.executable,
                [sys.executable, "-m", self.module, *self.flags],
                env=os.environ
                | {"PYTHONPATH": os.pathsep.join(sys.path)}
                | self._environment,
                childFDs={
                    0: devnull.fileno(),
                    1: log.fileno(),
                    2: log.fileno(),
                },
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """Pauses the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Resumes a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self.paused = False

    def read_usage(self) -> Usage:
        """Returns the CPU time and memory of the process from /proc."""
        folder = pathlib.Path("/proc") / str(self.pid)
        stat = (folder / "stat").read_text()
        return parse_usage(stat, (folder / "status").read_text())

    async def wait_end(self, timeout_s: float) -> int:
        """Waits until the process has ended; returns its exit status.

        Raises:
            HarnessError: if it is still running after `timeout_s`.
        """
        if self.exit_status is not None:
            return self.exit_status
        waiter: defer.Deferred[None] = defer.Deferred()
        self._exit_protocol.ended.addCallback(_notify_waiter, waiter)
        waiter.addTimeout(timeout_s, self._reactor)
        try:
            await waiter
        except defer.TimeoutError as error:
            message = f"{self.name} is still running after {timeout_s:g} s"
            raise exceptions.HarnessError(message) from error
        if self.exit_status is None:
            raise exceptions.HarnessError(f"{self.name} has no exit status")
        return self.exit_status

    async def stop(self, timeout_s: float = 5.0) -> int:
        """Stops the process: with SIGTERM, then SIGKILL after `timeout_s`."""
        if not self.running:
            return self.exit_status or 0
        if self.paused:
            self.resume()
        self.send_signal(signal.SIGTERM)
        try:
            return await self.wait_end(timeout_s)
        except exceptions.HarnessError:
            self.kill()
        return await self.wait_end(KILL_TIMEOUT_S)

    def _record_exit(self, status: int) -> int:
        self.exit_status = status
        if self.on_exit is not None:
            self.on_exit(status)
        return status


def _notify_waiter(status: int, waiter: "defer.Deferred[None]") -> int:
    if not waiter.called:
        waiter.callback(None)
    return status
