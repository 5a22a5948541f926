"""Property test of distribution: simulated replicas against an oracle.

Guards against versions that go back or lack a witness, against stale routes
that count as fresh, and against versions that do not reach every node.
"""

import bisect
import heapq
import itertools
import random

import attrs
from hypothesis import event
from hypothesis import stateful
from hypothesis import strategies as st

from filbertlift_core import model
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import replica as replicas
from filbertlift_distribution import spread

STEP_S = 0.1
SILENT_S = 3.0
HEARTBEAT_S = 1.0
QUIET_S = 15.0
# Time until a lost node is listed as DEAD.
DEAD_S = 4.0
ADDRESSES = [model.Address(f"10.0.0.{number}", 7400) for number in range(7)]
HOST = st.sampled_from(ADDRESSES)
# Each node chooses the next three and is chosen by the other three.
CHOSEN = {
    address: [ADDRESSES[(i + step) % 7] for step in (1, 2, 3)]
    for i, address in enumerate(ADDRESSES)
}
GATEWAYS = (ADDRESSES[0], ADDRESSES[3])
# Method that receives each action, and its arguments.
RECEIVERS = {
    spread.SendNotice: lambda a: ("receive_notice", a.version, a.root, 0.0),
    spread.SendFetch: lambda a: ("receive_fetch", a.base_version),
    spread.SendUpdate: lambda a: ("receive_update", a.snapshot),
    floors.SendAskFloor: lambda a: ("receive_ask_floor",),
    replicas.SendReport: lambda a: ("receive_report", a.version),
    replicas.SendReported: lambda a: ("receive_reported", a.version),
    replicas.SendFloor: lambda a: ("receive_floor", a.version),
}


@attrs.frozen
class Snapshot:
    version: int
    root: str


@attrs.define
class LinkEnd:
    """One end of a connection; both ends have the same number."""

    number: int
    last_received_at: float
    next_heartbeat_at: float
    delay: freshness.LinkDelay = attrs.field(factory=freshness.LinkDelay)


@attrs.define(eq=False)
class Host:
    replica: replicas.Replica
    started_at: float
    is_paused: bool = False
    was_floor_known: bool = False
    neighbours: list = attrs.field(factory=list)
    ends: dict = attrs.field(factory=dict)
    inbox: list = attrs.field(factory=list)


class Simulation:
    """Hosts, connections, messages in transit, the store and the oracle."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.is_store_up = True
        self.published = [0.0]
        self.hosts: dict[model.Address, Host] = {}
        self.sides = dict.fromkeys(ADDRESSES, 0)
        self.silent: set[int] = set()
        self.in_transit: list = []
        self.count = itertools.count(1)
        # Highest version that each address had in force, and the versions
        # that killed nodes had recorded for it, with the time of the kill.
        self.highest = dict.fromkeys(ADDRESSES, 0)
        self.lost: list = []
        # Hosts that knew that version when the address was last killed.
        self.witnesses: dict = {}
        for address in ADDRESSES:
            self.start(address)

    # Faults.

    def start(self, address) -> None:
        replica = replicas.Replica.create(self.rng, self.now)
        self.hosts[address] = Host(replica, self.now)

    def kill(self, address) -> None:
        self.witnesses[address] = self.find_witnesses(address)
        host = self.hosts.pop(address)
        for other in ADDRESSES:
            known = self.floor_at(host, other)
            self.lost.append((self.now, address, other, known))
        for other in list(host.ends):
            if other in self.hosts and self.is_reachable(address, other):
                self.close(other, address)

    def find_witnesses(self, address) -> list[Host]:
        peers = [self.hosts[p] for p in CHOSEN[address] if p in self.hosts]
        highest = self.highest[address]
        return [p for p in peers if self.floor_at(p, address) >= highest]

    def floor_at(self, host: Host, address) -> int:
        table = host.replica.floor_table
        return max(table.floor_of(address), host.replica.state.held_version)

    def update_neighbours(self) -> None:
        """Informs each node which of its neighbours are not DEAD."""
        recent = {
            peer for at, peer, _, _ in self.lost if self.now - at < DEAD_S
        }
        for address, host in self.hosts.items():
            chosen = CHOSEN[address]
            listed = [p for p in chosen if p in self.hosts or p in recent]
            if host.neighbours != listed and not host.is_paused:
                host.neighbours = listed
                found = host.replica.set_neighbours(listed, self.now)
                self.run(address, found)

    # Connections and messages.

    def is_reachable(self, one, other) -> bool:
        return self.sides[one] == self.sides[other]

    def is_running(self, address) -> bool:
        return address in self.hosts and not self.hosts[address].is_paused

    def update_links(self) -> None:
        for address, host in self.hosts.items():
            if host.is_paused:
                continue
            for other, end in list(host.ends.items()):
                if self.now - end.last_received_at > SILENT_S:
                    self.close(address, other)
                elif self.is_running(other) and self.is_reachable(
                    address, other
                ):
                    far = self.hosts[other].ends.get(address)
                    if far is None or far.number != end.number:
                        self.close(address, other)
        for one, chosen in CHOSEN.items():
            for other in chosen:
                self.open(one, other)

    def open(self, one, other) -> None:
        if not (self.is_running(one) and self.is_running(other)):
            return
        if not self.is_reachable(one, other) or other in self.hosts[one].ends:
            return
        if one in self.hosts[other].ends:
            return
        number = next(self.count)
        for address, peer in ((one, other), (other, one)):
            host = self.hosts[address]
            host.ends[peer] = LinkEnd(number, self.now, self.now)
            self.run(address, host.replica.open_link(peer, self.now))

    def close(self, address, peer) -> None:
        host = self.hosts[address]
        if host.ends.pop(peer, None) is not None:
            self.run(address, host.replica.close_link(peer, self.now))

    def send(self, sender, receiver, deliver) -> None:
        end = self.hosts[sender].ends.get(receiver)
        if end is None or end.number in self.silent:
            return
        for _ in range(1 + (self.rng.random() < self.loss)):
            if self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.0, 0.4)
                entry = (at, next(self.count), sender, receiver, end.number)
                heapq.heappush(self.in_transit, (*entry, deliver))

    def step(self) -> None:
        self.now += STEP_S
        self.update_neighbours()
        self.update_links()
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, sender, receiver, number, deliver = heapq.heappop(
                self.in_transit
            )
            if self.is_reachable(sender, receiver):
                self.deliver(sender, receiver, number, deliver)
        for address in list(self.hosts):
            if self.is_running(address):
                self.tick(address)

    def deliver(self, sender, receiver, number, deliver) -> None:
        host = self.hosts.get(receiver)
        end = host.ends.get(sender) if host else None
        if host is None or end is None or end.number != number:
            return
        if host.is_paused:
            host.inbox.append((sender, number, deliver))
            return
        end.last_received_at = self.now
        self.run(receiver, deliver(host.replica))

    def resume(self, address) -> None:
        host = self.hosts[address]
        host.is_paused = False
        inbox, host.inbox = host.inbox, []
        for sender, number, deliver in inbox:
            self.deliver(sender, address, number, deliver)

    def tick(self, address) -> None:
        host = self.hosts[address]
        self.run(address, host.replica.tick(self.now))
        for peer, end in host.ends.items():
            if self.now >= end.next_heartbeat_at:
                end.next_heartbeat_at = self.now + HEARTBEAT_S
                self.send_heartbeat(address, peer, end)
        if address in GATEWAYS and self.rng.random() < STEP_S:
            self.read_store(address)

    def send_heartbeat(self, address, peer, end: LinkEnd) -> None:
        replica = self.hosts[address].replica
        version = replica.state.version
        age = replica.tracker.age(self.now)
        stamp = end.delay.stamp(self.now)

        def deliver(other):
            far = self.hosts[peer].ends[address]
            transit = far.delay.receive(stamp, self.now)
            return other.receive_heartbeat(
                address, version, age, self.now, transit
            )

        self.send(address, peer, deliver)

    def read_store(self, address) -> None:
        if not self.is_store_up or self.sides[address] != 0:
            return
        replica = self.hosts[address].replica
        sent_at = self.now - self.rng.uniform(0.0, 2.0)
        version = self.head_at(sent_at)
        if version == 0 or sent_at < self.hosts[address].started_at:
            return
        age = self.now - sent_at
        if version > replica.state.held_version:
            found = replica.receive_snapshot(
                Snapshot(version, f"root-{version}"), age, self.now
            )
        else:
            found = replica.receive_head(version, age, self.now)
        self.run(address, found)

    def run(self, address, actions) -> None:
        for action in actions:
            if isinstance(action, replicas.PutInForce):
                self.check_in_force(address, action.snapshot)
            elif isinstance(action, replicas.ReadHead):
                self.read_store(address)
            else:
                name, *fields = RECEIVERS[type(action)](action)
                self.send(
                    address,
                    action.to,
                    lambda other, name=name, fields=fields: getattr(
                        other, name
                    )(address, *fields, self.now),
                )

    # Oracle.

    def head_at(self, time: float) -> int:
        return max(bisect.bisect_right(self.published, time) - 1, 0)

    def check_in_force(self, address, snapshot) -> None:
        version = snapshot.version
        assert snapshot.root == f"root-{version}"
        self.check_floor(address, self.hosts[address])
        assert version >= self.highest[address], "older version put in force"
        self.highest[address] = version
        if not self.hosts[address].neighbours:
            return
        known = [
            self.floor_at(self.hosts[peer], address)
            for peer in CHOSEN[address]
            if peer in self.hosts
        ]
        # A killed peer counts until the silence on its link is detected.
        known += [
            floor
            for at, peer, host, floor in self.lost
            if host == address
            and peer in CHOSEN[address]
            and self.now - at <= SILENT_S + STEP_S
        ]
        assert max(known, default=0) >= version, "no witness has the version"

    def check(self) -> None:
        for address, host in self.hosts.items():
            replica = host.replica
            self.check_floor(address, host)
            age = replica.tracker.age(self.now)
            if age < self.now and replica.state.in_force is not None:
                head = self.head_at(self.now - age)
                assert head <= replica.state.version, "stale version is fresh"

    def check_floor(self, address, host: Host) -> None:
        """Checks that a start is lower only if every witness was lost."""
        if host.was_floor_known or not host.replica.state.is_floor_known:
            return
        host.was_floor_known = True
        floor = host.replica.state.floor
        if floor >= self.highest[address]:
            return
        witnesses = self.witnesses.get(address, [])
        assert not any(p in witnesses for p in self.hosts.values()), (
            "floor below a live witness"
        )
        assert host.replica.floor_search._head is None, "floor below the head"
        event("every witness was lost")
        self.highest[address] = floor


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Publications and faults in any order."""

    @stateful.initialize(seed=st.integers(0, 1 << 32))
    def create(self, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.publish()
        self.advance(50)

    @stateful.rule(steps=st.integers(1, 40))
    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.simulation.step()
            self.simulation.check()

    @stateful.rule()
    def publish(self) -> None:
        if self.simulation.is_store_up:
            self.simulation.published.append(self.simulation.now)

    @stateful.rule(address=HOST)
    def kill(self, address) -> None:
        if len(self.simulation.hosts) > 3 and address in self.simulation.hosts:
            self.simulation.kill(address)

    @stateful.rule(address=HOST)
    def restart(self, address) -> None:
        if address in self.simulation.hosts:
            self.simulation.kill(address)
        self.simulation.start(address)

    @stateful.rule(address=HOST)
    def pause(self, address) -> None:
        if address in self.simulation.hosts:
            self.simulation.hosts[address].is_paused = True

    @stateful.rule(address=HOST)
    def resume(self, address) -> None:
        if address in self.simulation.hosts and not self.simulation.is_running(
            address
        ):
            self.simulation.resume(address)

    @stateful.rule(sides=st.tuples(*[st.integers(0, 1)] * len(ADDRESSES)))
    def part(self, sides) -> None:
        self.simulation.sides = dict(zip(ADDRESSES, sides, strict=True))

    @stateful.rule(address=HOST)
    def silence(self, address) -> None:
        if address in self.simulation.hosts:
            ends = self.simulation.hosts[address].ends.values()
            self.simulation.silent.update(end.number for end in ends)

    @stateful.rule(is_up=st.booleans())
    def set_store(self, is_up: bool) -> None:
        self.simulation.is_store_up = is_up

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.5]))
    def set_loss(self, loss: float) -> None:
        self.simulation.loss = loss

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.loss = 0.0
        simulation.sides = dict.fromkeys(ADDRESSES, 0)
        for address in ADDRESSES:
            if address not in simulation.hosts:
                simulation.start(address)
            self.resume(address)
        self.advance(int(QUIET_S / STEP_S))
        self.check_spread()
        simulation.is_store_up = True
        self.advance(int(QUIET_S / STEP_S))
        newest = len(simulation.published) - 1
        for address, host in simulation.hosts.items():
            assert host.replica.state.version == newest, address
            assert not host.replica.tracker.is_stale(QUIET_S, simulation.now)

    def check_spread(self) -> None:
        """Checks that without the store all reach the newest version held."""
        states = [host.replica.state for host in self.simulation.hosts.values()]
        held = max(state.held_version for state in states)
        for state in states:
            assert state.is_floor_known
            assert state.version == held or state.floor > held


TestReplica = ReplicaMachine.TestCase
