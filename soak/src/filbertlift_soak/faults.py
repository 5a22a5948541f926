"""Carries out the steps of a run without waiting for earlier ones to end."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
import signal
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_platform_fakes import store as stores
from filbertlift_soak import deployment
from filbertlift_soak import records
from filbertlift_soak import steps
from filbertlift_soak import writers
from filbertlift_standins import keyspace

# A step takes no host down if this many or fewer are up.
MIN_HOSTS_UP: Final = 2
SILENCE_INTERVAL_S: Final = 0.2
STORM_INTERVAL_S: Final = 0.25
# Time until a good version replaces an odd one, in seconds.
ODD_VERSION_S: Final = 0.7
# Share of the hosts that `kill_many` kills.
KILL_MANY_SHARE: Final = 0.5

# Share of the hosts that `roll` stops, and the time between two of these stops,
# in seconds; a stop takes longer, so that they overlap.
ROLL_SHARE: Final = 0.4
ROLL_GAP_S: Final = 0.7
# Rate, in bits per second, and delay, in seconds, of narrow links.
NARROW_BPS: Final = 7e6
NARROW_DELAY_S: Final = 0.02

# Time in which the port of a target that ended is closed, in seconds.
PORT_CLOSE_S: Final = 0.1
# Time for which a target that returns is down, in seconds.
RETURN_DELAY_S: Final = 0.3
# Time from the return of a target to its departure, in seconds.
RETURNED_S: Final = 0.6
# Time from the departure of a target to the end of its node, and from there to
# its late heartbeat, in seconds.
DEPARTED_S: Final = 0.7
LATE_BEAT_S: Final = 2.0
# Time for which that target serves longer than others, in seconds.
FURTHER_S: Final = 6.0
# Time for which a store is away before it comes back from a copy, and after
# which the operator writes the newest version again, in seconds.
RESTORE_AWAY_S: Final = 0.8
REWRITE_S: Final = 0.7
# Time for which a service has no weight, in seconds.
UNWEIGHTED_S: Final = 6.0

StepFunction = Callable[[deployment.Host, steps.Step], Any]


@attrs.define(eq=False)
class FaultInjector:
    """Carries out steps and records what they disturb.

    Attributes:
        publish: publishes the next version of the configuration.
        problems: broken guarantees that the steps themselves found.
        rng: selects the odd entries.
        publish_weights: publishes a version with other weights of the split
            route.
        publish_again: writes the newest version to the store again.
    """

    reactor: Any
    hosts: Sequence[deployment.Host]
    store: stores.StoreServer
    journal: records.Journal
    publish: Callable[[], None]
    problems: list[str] = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    publish_weights: Callable[[tuple[float, ...]], None] = lambda _weights: None
    publish_again: Callable[[], None] = lambda: None

    def start_step(self, step: steps.Step) -> None:
        """Starts a step."""
        host = self.hosts[step.host]
        function: StepFunction = getattr(self, f"_{step.name}")
        function(host, step)

    def end_faults(self) -> None:
        """Ends every fault, resumes paused nodes and starts targets again."""
        self.store.faults = stores.Faults()
        for host in self.hosts:
            host.peers.set_faults(part=False)
            self._set_link(host, 0.0, 0.0)
            host.store.set_faults(part=False)
            host.target.faults.word = ""
            host.target.faults.slowdown = 1.0
            if host.process.running and host.process.paused:
                host.process.resume()
            # The port of one that has just ended closes in the next turn.
            self._call_later(PORT_CLOSE_S, host.target.start)

    def _record_disturbance(self, host: str, seconds: float) -> None:
        now = self.reactor.seconds()
        self.journal.disturbances.append(
            records.Interval(host, now, now + seconds)
        )

    def _call_later(self, seconds: float, function: Any, *args: Any) -> None:
        self.reactor.callLater(seconds, function, *args)

    # Nodes.

    def _kill(self, host: deployment.Host, step: steps.Step) -> None:
        if not self._can_take_down(host):
            return
        host.is_down = True
        self._record_disturbance(host.name, step.seconds + deployment.STARTUP_S)
        host.kill()
        host.restart_later(step.seconds)
        if step.word == "again":
            self._call_later(step.seconds + 1.0, self._kill_again, host)

    def _kill_again(self, host: deployment.Host) -> None:
        if host.is_down or not host.process.running:
            return
        host.is_down = True
        self._record_disturbance(
            host.name, deployment.RESTART_DELAY_S + deployment.STARTUP_S
        )
        host.kill()
        host.restart_later(deployment.RESTART_DELAY_S)

    def _kill_many(self, host: deployment.Host, step: steps.Step) -> None:
        first = self.hosts.index(host)
        count = int(KILL_MANY_SHARE * len(self.hosts))
        for offset in range(count):
            chosen = self.hosts[(first + offset) % len(self.hosts)]
            self._kill(chosen, attrs.evolve(step, word=""))

    def _pause(self, host: deployment.Host, step: steps.Step) -> None:
        if not self._can_take_down(host):
            return
        self._record_disturbance(host.name, step.seconds)
        host.process.pause()
        self._call_later(step.seconds, self._resume, host, host.process.pid)

    def _resume(self, host: deployment.Host, pid: int) -> None:
        if host.process.running and host.process.pid == pid:
            host.process.resume()

    def _stop(self, host: deployment.Host, step: steps.Step) -> None:
        del step
        if not self._can_take_down(host):
            return
        host.is_down = True
        done = defer.Deferred.fromCoroutine(self._stop_and_start(host))
        done.addErrback(
            lambda reason: self.problems.append(
                f"stop of {host.name}: {reason.getErrorMessage()}"
            )
        )

    async def _stop_and_start(self, host: deployment.Host) -> None:
        start = self.reactor.seconds()
        ended = await host.stop_process()
        now = self.reactor.seconds()
        self.journal.stops.append(records.Interval(host.name, start, now))
        if not ended and self.journal.is_all_undisturbed(start, now):
            status = host.process.exit_status
            self.problems.append(
                f"stop of {host.name} did not end in time: status {status}"
            )
        host.restart_later(deployment.RESTART_DELAY_S)

    def _reload(self, host: deployment.Host, step: steps.Step) -> None:
        if not host.process.running:
            return
        host.write_settings(deployment.GRACE_S + step.seconds)
        host.process.send_signal(signal.SIGHUP)

    def _roll(self, host: deployment.Host, step: steps.Step) -> None:
        """Stops several hosts, one after another."""
        first = self.hosts.index(host)
        count = int(ROLL_SHARE * len(self.hosts))
        if step.word == "narrow":
            self._narrow_links(count * ROLL_GAP_S + deployment.GRACE_S)
        for number in range(count):
            chosen = self.hosts[(first + number) % len(self.hosts)]
            delay_s = number * ROLL_GAP_S
            if step.word == "reload":
                self._call_later(delay_s, self._reload_beside_version, chosen)
            self._call_later(delay_s, self._stop, chosen, step)

    def _reload_beside_version(self, host: deployment.Host) -> None:
        self.publish()
        if host.process.running:
            host.process.send_signal(signal.SIGHUP)

    def _narrow_links(self, seconds: float) -> None:
        """Limits the links of all hosts; this disturbs none of them."""
        for host in self.hosts:
            self._set_link(host, NARROW_DELAY_S, NARROW_BPS)
            self._call_later(seconds, self._set_link, host, 0.0, 0.0)

    def _set_link(
        self, host: deployment.Host, delay_s: float, rate_bps: float
    ) -> None:
        host.peers.set_faults(
            delay_out_s=delay_s,
            delay_in_s=delay_s,
            rate_out_bps=rate_bps,
            rate_in_bps=rate_bps,
        )

    def _can_take_down(self, host: deployment.Host) -> bool:
        if host.is_down or not host.process.running or host.process.paused:
            return False
        hosts_up = [other for other in self.hosts if not other.is_down]
        return len(hosts_up) > MIN_HOSTS_UP

    # The store.

    def _store_outage(self, host: deployment.Host, step: steps.Step) -> None:
        del host
        self._record_disturbance("", step.seconds)
        self.store.faults.outage = step.word
        self._call_later(step.seconds, self._end_outage)

    def _end_outage(self) -> None:
        self.store.faults.outage = ""

    def _store_slow(self, host: deployment.Host, step: steps.Step) -> None:
        del host
        self._record_disturbance("", step.seconds)
        self.store.faults.delay_s = step.seconds / 4
        self._call_later(step.seconds, self._end_slow)

    def _end_slow(self) -> None:
        self.store.faults.delay_s = 0.0

    def _store_lost(self, host: deployment.Host, step: steps.Step) -> None:
        del host
        self._record_disturbance("", step.seconds)
        self.store.faults.lost_share = 0.5
        self.store.faults.lost_delay_s = step.seconds / 2
        self._call_later(step.seconds, self._end_lost)

    def _end_lost(self) -> None:
        self.store.faults.lost_share = 0.0

    def _store_compact(self, host: deployment.Host, step: steps.Step) -> None:
        del host, step
        self.publish()
        self._record_disturbance("", 0.0)
        self.store.keys.compact_history()

    def _store_lapse(self, host: deployment.Host, step: steps.Step) -> None:
        del host, step
        self._record_disturbance("", 0.0)
        self.store.keys.end_all_leases()

    def _store_restore(self, host: deployment.Host, step: steps.Step) -> None:
        """The store is away and comes back from a copy of this moment.

        A version is published that it loses, and another one once it is back:
        at first the store then has fewer changes than the hosts know.
        """
        del host
        copy = self.store.keys.make_copy()
        self._call_later(step.seconds / 2, self.publish)
        self._call_later(step.seconds, self._start_restore, copy, step.word)

    def _start_restore(self, copy: keyspace.Copy, outage: str) -> None:
        self._record_disturbance("", RESTORE_AWAY_S + REWRITE_S)
        self.store.faults.outage = outage
        self._call_later(RESTORE_AWAY_S, self._end_restore, copy)

    def _end_restore(self, copy: keyspace.Copy) -> None:
        self.store.restore(copy)
        self._end_outage()
        self._call_later(REWRITE_S, self.publish_again)
        self._call_later(REWRITE_S + RESTORE_AWAY_S, self.publish)

    def _store_cut(self, host: deployment.Host, step: steps.Step) -> None:
        self._record_disturbance(host.name, step.seconds)
        if step.word == "part":
            host.store.set_faults(part=True)
            self._call_later(step.seconds, self._reconnect_store, host)
        else:
            until = self.reactor.seconds() + step.seconds
            self._silence(host.store, "both", until)

    def _reconnect_store(self, host: deployment.Host) -> None:
        host.store.set_faults(part=False)

    def _odd_entries(self, host: deployment.Host, step: steps.Step) -> None:
        del step
        peers = host.addresses["peers"]
        writers.write_odd_entries(self.store.keys, peers, self.rng)

    def _odd_version(self, host: deployment.Host, step: steps.Step) -> None:
        """Writes an odd version; a good one follows.

        A node that starts in between has none to read from the store.
        """
        del host, step
        self._record_disturbance("", ODD_VERSION_S)
        writers.write_odd_configuration(self.store.keys, self.rng)
        self._call_later(ODD_VERSION_S, self.publish)

    # Connections between nodes.

    def _links_delay(self, host: deployment.Host, step: steps.Step) -> None:
        self._record_disturbance(host.name, step.seconds)
        delay_s = step.seconds / 20
        host.peers.set_faults(delay_out_s=delay_s, delay_in_s=delay_s)
        self._call_later(step.seconds, self._end_delay, host)

    def _end_delay(self, host: deployment.Host) -> None:
        host.peers.set_faults(delay_out_s=0.0, delay_in_s=0.0)

    def _links_reset(self, host: deployment.Host, step: steps.Step) -> None:
        del step
        self._record_disturbance(host.name, 0.0)
        host.peers.set_faults(part=True)
        host.peers.set_faults(part=False)

    def _links_cut(self, host: deployment.Host, step: steps.Step) -> None:
        self._record_disturbance(host.name, step.seconds)
        host.peers.set_faults(part=True)
        self._call_later(step.seconds, self._reconnect_links, host)

    def _reconnect_links(self, host: deployment.Host) -> None:
        host.peers.set_faults(part=False)

    def _links_silent(self, host: deployment.Host, step: steps.Step) -> None:
        self._record_disturbance(host.name, step.seconds)
        until = self.reactor.seconds() + step.seconds
        self._silence(host.peers, step.word, until)

    def _silence(
        self, proxy: deployment.FaultProxy, word: str, until: float
    ) -> None:
        """Silences the open connections at intervals, as new ones are not."""
        proxy.set_faults(silence=word)
        if self.reactor.seconds() + SILENCE_INTERVAL_S < until:
            self._call_later(
                SILENCE_INTERVAL_S, self._silence, proxy, word, until
            )

    # Targets.

    def _target_slow(self, host: deployment.Host, step: steps.Step) -> None:
        host.target.faults.slowdown = 1.0 + 2.0 * step.seconds
        self._call_later(step.seconds, self._end_target_fault, host)

    def _target_fault(self, host: deployment.Host, step: steps.Step) -> None:
        host.target.faults.word = step.word
        self._call_later(step.seconds, self._end_target_fault, host)

    def _end_target_fault(self, host: deployment.Host) -> None:
        host.target.faults.word = ""
        host.target.faults.slowdown = 1.0

    def _target_repeat(self, host: deployment.Host, step: steps.Step) -> None:
        host.target.faults.word = "repeat"
        self._call_later(step.seconds, self._end_target_fault, host)

    def _target_drain(self, host: deployment.Host, step: steps.Step) -> None:
        del step
        host.target.drain(announce=True)

    def _target_leave(self, host: deployment.Host, step: steps.Step) -> None:
        del step
        host.target.drain(announce=False)

    def _target_crash(self, host: deployment.Host, step: steps.Step) -> None:
        self._record_disturbance(host.name, 0.0)
        host.target.crash()
        self._call_later(step.seconds, host.target.start)

    def _target_return(self, host: deployment.Host, step: steps.Step) -> None:
        """A target crashes, returns under its id and leaves.

        Its heartbeats since the return arrive after its departure.
        """
        if not host.target.is_ready:
            return
        self._record_disturbance(host.name, 0.0)
        host.target.crash()
        self._call_later(RETURN_DELAY_S, host.target.start_again)
        leaving_s = RETURN_DELAY_S + RETURNED_S
        self._call_later(leaving_s, host.target.drain, False)
        self._call_later(
            leaving_s + step.seconds / 2, host.target.deliver_heartbeats
        )

    def _target_forget(self, host: deployment.Host, step: steps.Step) -> None:
        """A target leaves with the store away, and its node is killed.

        A heartbeat from before the departure arrives after the store is back.
        """
        if not host.target.is_ready or not self._can_take_down(host):
            return
        kill = functools.partial(self._kill_again, host)
        self._forget_departure(host, step, kill)

    def _target_forget_all(
        self, host: deployment.Host, step: steps.Step
    ) -> None:
        """The same, but all nodes are killed at once."""
        if host.target.is_ready:
            self._forget_departure(host, step, self._kill_all)

    def _forget_departure(
        self,
        host: deployment.Host,
        step: steps.Step,
        kill: Callable[[], None],
    ) -> None:
        host.target.hold_heartbeats()
        self._store_outage(host, step)
        host.target.drain(False, FURTHER_S)
        self._call_later(DEPARTED_S, kill)
        self._call_later(
            DEPARTED_S + LATE_BEAT_S + step.seconds / 2,
            host.target.deliver_heartbeats,
        )

    def _kill_all(self) -> None:
        """Kills all nodes; targets that have left report nothing more.

        Without any copy of their departures, nothing else tells them from those
        that go on.
        """
        for host in self.hosts:
            host.target.stop_reporting()
            self._kill_again(host)

    # The operator.

    def _publish(self, host: deployment.Host, step: steps.Step) -> None:
        del host, step
        self.publish()

    def _weights(self, host: deployment.Host, step: steps.Step) -> None:
        """Weights with a great sum, then 1 and 0, then even ones again."""
        del host
        is_first = step.word == "first"
        self.publish_weights((950.0, 50.0) if is_first else (50.0, 950.0))
        weights = (1.0, 0.0) if is_first else (0.0, 1.0)
        self._call_later(step.seconds, self.publish_weights, weights)
        self._call_later(
            step.seconds + UNWEIGHTED_S, self.publish_weights, (1.0, 1.0)
        )

    def _storm(self, host: deployment.Host, step: steps.Step) -> None:
        del host
        for number in range(int(step.seconds / STORM_INTERVAL_S)):
            self._call_later(number * STORM_INTERVAL_S, self.publish)
