"""Measures a node beside large request bodies: its memory and small calls.

Two nodes run as real processes, built by the `build` line of the deployment,
with the stand-ins of the review in place of the platform. Each number of
senders gives one line.
"""

import asyncio
import collections
import math
import os
import pathlib
import statistics
import sys
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review"))

import standins  # noqa: E402

HOSTNAME = "scans.example"
BODY_BYTES = 64_000_000
SENDERS = (0, 1, 3, 10, 30)
LOOKUPS = 8
LENGTH_S = 12.0
SAMPLE_INTERVAL_S = 0.005
PAUSE_S = 1.0
LARGE_DEADLINE_MS = 10_000
SMALL_DEADLINE_MS = 2_500


class Measurement:
    """One measurement with a number of senders of large bodies."""

    def __init__(self, case: standins.Case, senders: int) -> None:
        self.peaks_mb: dict[str, float] = {}
        self.ends: collections.Counter[str] = collections.Counter()
        self.large_s: list[float] = []
        self._case = case
        self._senders = senders
        self._is_over = False
        self._lookers: list[Any] = []

    async def play(self) -> list[str]:
        """Plays the load and prints a line of figures."""
        front = await self._start_nodes()
        tasks = [
            asyncio.create_task(self._sample(node)) for node in self._case.nodes
        ]
        for _ in range(LOOKUPS):
            client = standins.KeptClient(self._case.record, front, HOSTNAME)
            self._lookers.append(client)
            tasks.append(asyncio.create_task(self._look_up(client)))
        body = os.urandom(1_000) * (BODY_BYTES // 1_000)
        for number in range(self._senders):
            tasks.append(asyncio.create_task(self._send(front, number, body)))
        await asyncio.sleep(LENGTH_S)
        self._is_over = True
        await asyncio.gather(*tasks)
        print(self._describe(), flush=True)
        return []

    async def _start_nodes(self) -> Any:
        case = self._case
        await case.store.start()
        front = case.add_node("front-1", "front")
        case.add_node("archive-1", "archive")
        routes = {
            "scan": standins.make_route(
                HOSTNAME,
                "/scan/",
                "unsafe",
                service="archive",
                timeoutMs=LARGE_DEADLINE_MS,
                maxAttempts=1,
            ),
            "look": standins.make_route(
                HOSTNAME, "/look/", "safe", service="archive"
            ),
        }
        await case.publish(3, routes, ["front", "archive"])
        await case.start_all(["front", "archive"], 18)
        probe = standins.Client(case.record, front.outbound, HOSTNAME)
        await standins.wait_served(probe, "/look/x", lambda _attempt: True)
        await asyncio.sleep(standins.STABILITY_S)
        return front.outbound

    async def _sample(self, node: Any) -> None:
        while not self._is_over:
            peak_mb = self.peaks_mb.get(node.name, 0.0)
            self.peaks_mb[node.name] = max(peak_mb, node.memory_mb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _look_up(self, client: Any) -> None:
        number = 0
        while not self._is_over:
            number += 1
            attempt = await client.send(
                f"/look/w10/{number}", SMALL_DEADLINE_MS
            )
            if attempt.status != 200:
                await asyncio.sleep(PAUSE_S)
        client.close()

    async def _send(self, outbound: Any, sender: int, body: bytes) -> None:
        client = standins.Client(self._case.record, outbound, HOSTNAME)
        number = 0
        while not self._is_over:
            number += 1
            path = f"/scan/{sender}-{number}"
            attempt = await client.send(path, LARGE_DEADLINE_MS, "POST", body)
            self.ends[str(attempt.status) if attempt.status else "lost"] += 1
            if attempt.status == 200:
                self.large_s.append(attempt.ended_at - attempt.sent_at)
            await asyncio.sleep(PAUSE_S)

    def _describe(self) -> str:
        attempts = [item for one in self._lookers for item in one.attempts]
        served_ms = sorted(
            (attempt.ended_at - attempt.sent_at) * 1000
            for attempt in attempts
            if attempt.status == 200
        )
        p99_ms = served_ms[math.ceil(0.99 * len(served_ms)) - 1]
        median_s = statistics.median(self.large_s or [math.nan])
        fields = {
            "senders": self._senders,
            "peak_front_mb": f"{self.peaks_mb['front-1']:.0f}",
            "peak_archive_mb": f"{self.peaks_mb['archive-1']:.0f}",
            "small_sent": len(attempts),
            "small_failed": len(attempts) - len(served_ms),
            "small_p50_ms": f"{statistics.median(served_ms):.1f}",
            "small_p99_ms": f"{p99_ms:.1f}",
            **{f"large_{end}": self.ends[end] for end in sorted(self.ends)},
            "large_p50_s": f"{median_s:.2f}",
        }
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"measure=request-bodies {pairs}"


def main() -> None:
    """Measures each number of senders in turn, or those given."""
    counts = [int(text) for text in sys.argv[1:]] or SENDERS
    print(f"measure=machine load_1_min={os.getloadavg()[0]:.1f}", flush=True)
    for count in counts:
        measure(count)


def measure(senders: int) -> None:
    """Measures a number of senders in a new pair of nodes."""

    async def play(case: standins.Case) -> list[str]:
        return await Measurement(case, senders).play()

    with tempfile.TemporaryDirectory() as folder:
        script = pathlib.Path(folder, "measure_bodies.py")
        try:
            standins.run_case(str(script), play)
        except SystemExit as end:
            if end.code:
                raise


if __name__ == "__main__":
    main()
