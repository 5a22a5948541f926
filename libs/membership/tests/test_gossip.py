"""Property test of membership: simulated nodes against a simple oracle.

Guards against tables that do not converge after faults and against old records
that replace newer ones.
"""

import collections
import heapq
import itertools
import random

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from filbertlift_core import model
from filbertlift_membership import gossip
from filbertlift_membership import members
from filbertlift_membership import probes
from filbertlift_membership import ranking

STEP_S = 0.1
SILENT_S = 3.0
ROSTER_S = 30.0
# Slowest repair: a lost batch is detected by the periodic digests on its link.
QUIET_S = 120.0
PLACES = (
    [model.Place("north", "north-1")] * 3
    + [model.Place("north", "north-2")] * 2
    + [model.Place("south", "south-1")] * 2
)
ADDRESSES = [
    model.Address(f"10.0.0.{number}", 7400) for number in range(len(PLACES))
]
LIVE = (model.MemberState.ALIVE, model.MemberState.LEAVING)


@attrs.define(eq=False)
class Host:
    """One node; `inbox` holds the messages that arrive while it is paused."""

    table: members.MemberTable
    prober: probes.Prober
    queue: gossip.GossipQueue
    topology: ranking.Topology
    is_paused: bool = False
    inbox: list = attrs.field(factory=list)
    # Highest incarnation that was DEAD in this table, by address.
    dead_incarnations: dict = attrs.field(
        factory=lambda: collections.defaultdict(int)
    )


class Simulation:
    """Hosts, links and messages in transit."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.hosts: dict[model.Address, Host] = {}
        self.sides = dict.fromkeys(ADDRESSES, 0)
        self.links: dict[frozenset, float] = {}
        self.in_transit: list = []
        self.count = itertools.count()
        for address in ADDRESSES:
            self.start(address)

    def start(self, address: model.Address, skew: int = 0) -> None:
        own = model.Member(
            address=address,
            place=PLACES[ADDRESSES.index(address)],
            service="archive",
            target=address,
            incarnation=1_000_000 + int(self.now * 1000) - skew,
            state=model.MemberState.ALIVE,
            status=address,
        )
        table = members.MemberTable.create(own)
        self.hosts[address] = Host(
            table=table,
            prober=probes.Prober.create(table, self.rng, self.now),
            queue=gossip.GossipQueue(),
            topology=ranking.Topology.create(table),
        )

    def kill(self, address: model.Address) -> None:
        del self.hosts[address]
        for pair in [pair for pair in self.links if address in pair]:
            self.drop_link(pair)

    def send(self, sender, receiver, deliver) -> None:
        for _ in range(1 + (self.rng.random() < self.loss / 4)):
            if self.rng.random() < self.loss:
                continue
            at = self.now + self.rng.uniform(0.0, 0.25)
            entry = (at, next(self.count), sender, receiver, deliver)
            heapq.heappush(self.in_transit, entry)

    def step(self) -> None:
        self.now += STEP_S
        self.update_links()
        while self.in_transit and self.in_transit[0][0] <= self.now:
            _, _, sender, receiver, deliver = heapq.heappop(self.in_transit)
            host = self.hosts.get(receiver)
            if host is None or self.sides[sender] != self.sides[receiver]:
                continue
            if host.is_paused:
                host.inbox.append(deliver)
            else:
                deliver(host)
        for address, host in self.hosts.items():
            if not host.is_paused:
                self.tick(address, host)

    def tick(self, address, host: Host) -> None:
        for dead in host.table.tick(self.now):
            host.queue.broadcast(dead)
        host.table.expire(self.now)
        self.carry_out(address, host.prober.tick(self.now))
        batches = host.queue.tick(self.now)
        for action in batches + host.queue.compare(host.table, self.now):
            self.send_over_link(address, action)

    def send_over_link(self, address, action) -> None:
        def deliver(host: Host) -> None:
            table, queue = host.table, host.queue
            if isinstance(action, gossip.SendDigest):
                gossip.receive_digest(table, queue, action.digests, address)
            else:
                gossip.receive_updates(
                    table, queue, action.members, address, self.now
                )

        if frozenset((address, action.to)) in self.links:
            self.send(address, action.to, deliver)

    def carry_out(self, address, actions) -> None:
        for action in actions:
            if isinstance(action, probes.MarkSuspect):
                host = self.hosts[address]
                changed = host.table.apply(action.member, self.now)
                if changed is not None:
                    host.queue.broadcast(changed)
            elif isinstance(action, probes.Reconnect):
                self.open_link(address, action.to)
            else:
                self.send_datagram(address, action)

    def send_datagram(self, address, action) -> None:
        to = action.to
        if isinstance(action, probes.SendPingRequest):
            to = action.via

        def deliver(host: Host) -> None:
            prober = host.prober
            if isinstance(action, probes.SendPing):
                found = prober.receive_ping(address, action.sequence, self.now)
            elif isinstance(action, probes.SendAck):
                found = prober.receive_ack(address, action.sequence, self.now)
            else:
                found = prober.receive_ping_request(
                    address, action.to, action.sequence, self.now
                )
            self.carry_out(to, found)

        self.send(address, to, deliver)

    def is_reachable(self, one, other) -> bool:
        if one not in self.hosts or other not in self.hosts:
            return False
        if self.hosts[one].is_paused or self.hosts[other].is_paused:
            return False
        return self.sides[one] == self.sides[other]

    def open_link(self, one, other) -> None:
        pair = frozenset((one, other))
        if pair in self.links or not self.is_reachable(one, other):
            return
        self.links[pair] = self.now
        self.hosts[one].queue.open_link(other)
        self.hosts[other].queue.open_link(one)

    def drop_link(self, pair: frozenset) -> None:
        del self.links[pair]
        for one, other in itertools.permutations(pair):
            if one in self.hosts:
                self.hosts[one].queue.close_link(other)

    def update_links(self) -> None:
        for address, host in self.hosts.items():
            wanted = host.topology.neighbours() + host.topology.gateway_links()
            for member in wanted:
                if member.address != address:
                    self.open_link(address, member.address)
            for member in host.topology.gateway_links():
                if frozenset((address, member.address)) not in self.links:
                    host.topology.mark_unreachable(member.address)
            self.read_roster(address, host)
        for pair in list(self.links):
            if self.is_reachable(*pair):
                self.links[pair] = self.now
            elif self.now - self.links[pair] >= SILENT_S:
                self.drop_link(pair)

    def read_roster(self, address, host: Host) -> None:
        """Opens a link to an address of the roster at the store.

        Nodes without a link do so, and each gateway does about every 30 s,
        because both sides of a long partition may have forgotten each other.
        """
        is_linked = any(address in pair for pair in self.links)
        is_due = self.rng.random() < STEP_S / ROSTER_S
        if not is_linked or (is_due and host.topology.is_gateway()):
            contact = self.rng.choice(ADDRESSES)
            if contact != address:
                self.open_link(address, contact)

    def check(self) -> None:
        for address, host in self.hosts.items():
            own = host.table.own
            assert host.table.members[address] == own and own.state in LIVE
            for record in host.table.members.values():
                dead = record.state == model.MemberState.DEAD
                last_dead = host.dead_incarnations[record.address]
                assert dead or record.incarnation > last_dead, (
                    "dead member is back with an old record"
                )
                if dead:
                    host.dead_incarnations[record.address] = record.incarnation

    def check_lists(self) -> None:
        for host in self.hosts.values():
            table = host.table
            records = table.members.values()
            fresh = members.MemberTable.create(table.own)
            for record in records:
                fresh.apply(record, 0.0)
            assert fresh.digest_by_data_centre() == (
                table.digest_by_data_centre()
            )
            assert set(table.targets_of("archive")) == {
                r for r in records if r.state == model.MemberState.ALIVE
            }
            assert list(host.topology.neighbours()) == (
                ranking.choose_neighbours(table.own, table.live())
            )
            for region in table.regions():
                assert list(host.topology.gateways(region)) == (
                    ranking.choose_gateways(region, table.live())
                )


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Kills, restarts, pauses, partitions and message loss in any order."""

    @stateful.initialize(seed=st.integers(0, 1 << 32))
    def create(self, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.advance(8)

    @stateful.rule(seconds=st.integers(1, 15))
    def advance(self, seconds: int) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.simulation.step()
            self.simulation.check()

    @stateful.rule(address=st.sampled_from(ADDRESSES))
    def kill(self, address) -> None:
        if address in self.simulation.hosts and len(self.simulation.hosts) > 2:
            self.simulation.kill(address)

    @stateful.rule(
        address=st.sampled_from(ADDRESSES), skew=st.sampled_from([0, 20_000])
    )
    def restart(self, address, skew: int) -> None:
        if address in self.simulation.hosts:
            self.simulation.kill(address)
        self.simulation.start(address, skew)

    @stateful.rule(address=st.sampled_from(ADDRESSES))
    def pause(self, address) -> None:
        if address in self.simulation.hosts:
            self.simulation.hosts[address].is_paused = True

    @stateful.rule(address=st.sampled_from(ADDRESSES))
    def resume(self, address) -> None:
        host = self.simulation.hosts.get(address)
        if host is None or not host.is_paused:
            return
        host.is_paused = False
        for deliver in host.inbox:
            deliver(host)
        host.inbox.clear()

    @stateful.rule(address=st.sampled_from(ADDRESSES))
    def leave(self, address) -> None:
        host = self.simulation.hosts.get(address)
        if host is not None and not host.is_paused:
            own = host.table.set_own_state(model.MemberState.LEAVING)
            host.queue.broadcast(own)

    @stateful.rule(sides=st.tuples(*[st.integers(0, 1)] * len(ADDRESSES)))
    def part(self, sides) -> None:
        self.simulation.sides = dict(zip(ADDRESSES, sides, strict=True))

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.5]))
    def set_loss(self, loss: float) -> None:
        self.simulation.loss = loss

    @stateful.invariant()
    def check_lists(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.check_lists()

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.loss = 0.0
        simulation.sides = dict.fromkeys(ADDRESSES, 0)
        for address in ADDRESSES:
            self.resume(address)
        self.advance(int(QUIET_S))
        actual = {host.table.own for host in simulation.hosts.values()}
        regions = {member.place.region for member in actual}
        for host in simulation.hosts.values():
            assert host.queue.is_synced or len(actual) == 1
            # Without a live node in a region, its members are not probed, so
            # they stay listed.
            listed = {
                member
                for member in host.table.live()
                if member.place.region in regions
            }
            assert listed == actual, f"table of {host.table.own.address}"


TestCluster = ClusterMachine.TestCase
# An example simulates several minutes, and another two at its end without
# faults.
TestCluster.settings = hypothesis.settings(
    max_examples=hypothesis.settings.default.max_examples // 3,
    stateful_step_count=25,
)
