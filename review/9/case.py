"""A departure that was acknowledged while the store was down is forgotten."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as standins  # noqa: E402

DRAIN_S = 2.5  # drainMs
STABILITY_S = 3.0  # stabilityWindowMs
STORE_DOWN_S = 4.5  # platform_down, for_s
NODES_DOWN_S = 1.0  # herd_kill; "killed at the same moment"
LATE_BEAT_S = 4.0  # "A heartbeat may arrive seconds late."
SERVES_ON_S = 14.0  # "at times many seconds"


class Caller:
    """A client that sends one request after the other until it is stopped."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._call_on, daemon=True)
        self.thread.start()

    def stop(self):
        """Stops after the current request."""
        self.stopped.set()
        self.thread.join(6)

    def _call_on(self):
        number = 0
        while not self.stopped.is_set():
            number += 1
            headers = {
                "Host": "shop.example",
                "Request-Id": f"c{number:06d}",
                "Request-Deadline": "1000",
            }
            path = f"/yards/safe/{number}"
            try:
                status = standins.ask(self.address, "GET", path, headers)[0]
            except OSError as error:
                status = repr(error)
            self.record.note("answer", headers["Request-Id"], status)
            time.sleep(0.03)


def wait_until(at):
    """Waits until a time of the script."""
    time.sleep(max(0.0, at - standins.now()))


def restart_all(nodes, record):
    """Kills all nodes at the same moment and starts them again."""
    for node in nodes:
        node.send(signal.SIGKILL)
    for node in nodes:
        node.process.wait()
    record.note("all nodes are killed")
    time.sleep(NODES_DOWN_S)
    for node in nodes:
        node.start()
    record.note("all nodes are started")


def play(scratch, record, nodes, has_trouble):
    """Plays the case; returns whether the rule was broken."""
    store = standins.Store(record)
    routes = {"slots": standins.make_route("yards")}
    names = ("yards", "confirm")
    store.put("op/config", standins.make_config(1, routes, names))
    machines = (
        ("confirm", "hamilton"),
        ("yards", "palmerston"),
        ("yards", "palmerston"),
    )
    standins.start_nodes(scratch, store, nodes, machines, "north-is")
    upstreams = [standins.Upstream(node, record) for node in nodes]
    standins.wait_until_ready(nodes)
    leaving = upstreams[1]
    caller = Caller(nodes[0].outbound, record)
    time.sleep(2.0)
    if len(leaving.runs) < 3:
        raise standins.CannotRunError("the upstream got no requests before")

    store_back_at = standins.now() + STORE_DOWN_S
    if has_trouble:
        store.mode = "busy"
        record.note("store is down")
    time.sleep(0.5)
    # Sent before the upstream leaves, and held up on its way.
    late_beat = leaving.make_beat()
    leaving.is_beating = False
    left_at = standins.now()
    notice = {"born": leaving.born}
    status = standins.report(nodes[1], "Leave", leaving.id, notice)
    record.note("departure notice answered", status)
    if status != 200:
        raise standins.CannotRunError("the departure was not acknowledged")
    time.sleep(0.5)
    if has_trouble:
        restart_all(nodes, record)
    started_at = standins.now()
    wait_until(left_at + LATE_BEAT_S)
    status = standins.report(nodes[1], "Heartbeat", leaving.id, late_beat)
    record.note("late heartbeat answered", status)
    wait_until(store_back_at)
    store.mode = "up"
    record.note("store is up")
    wait_until(left_at + SERVES_ON_S)
    caller.stop()

    judged_from = left_at + DRAIN_S
    if has_trouble:
        judged_from = max(store_back_at, started_at) + STABILITY_S
    late = [run for run in leaving.runs if run[1] > judged_from]
    others = [run for run in upstreams[2].runs if run[1] > judged_from]
    record.note("all machines in touch from", f"{judged_from:.3f}")
    record.note("runs after that at the upstream that left:", len(late))
    record.note("runs after that at the other upstream:", len(others))
    print(f"{len(late)} runs after the departure, {len(others)} at the other")
    if len(others) < 20:
        raise standins.CannotRunError("hardly any request was served")
    return bool(late)


standins.run_case(FOLDER, play)
