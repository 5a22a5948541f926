"""Plays one target with each rule for its concurrency limit.

Prints for each kind of target and rule the share of calls in time, the mean and
99th percentile of the time to an answer, the mean limit and the share of calls
that were refused. The comparison in docs/design/learned-speed.md comes from it.
"""

import heapq
import math
import random
import sys

import attrs

from filbertlift_mesh import backlog
from filbertlift_mesh import speeds

CLASSES = (("short", 0.03, 0.5), ("middle", 0.1, 0.4), ("long", 0.4, 0.1))
OBJECTIVE_MEANS = 5.0
DEADLINE_S = 2.5


@attrs.frozen
class Kind:
    """One kind of target: its slots and how its times change."""

    name: str
    slots: int
    knee: int = 1_000
    growth: float = 0.0
    moments: bool = False
    slow: tuple[float, float, float] = (0.0, 0.0, 1.0)
    since: float = -10.0
    until: float = 1_000.0

    def get_factor(self, level, now, moment_until):
        """Returns by how much a call takes longer that starts now."""
        factor = 1.0
        if level > self.knee and self.since <= now < self.until:
            factor *= (level / self.knee) ** self.growth
        if now < moment_until:
            factor *= 2.5
        start, end, slowdown = self.slow
        return factor * (slowdown if start <= now < end else 1.0)


KINDS = (
    Kind("flat-6", 6),
    Kind("flat-18", 18),
    Kind("moments-6", 6, moments=True),
    Kind("moments-12", 12, moments=True),
    Kind("slow-6s", 8, slow=(20.0, 26.0, 4.5)),
    Kind("constant-3/6", 6, 3, 1.0),
    Kind("falls-3/6", 6, 3, 1.6),
    Kind("falls-6/12", 12, 6, 1.6, moments=True),
    Kind("mild-3/6", 6, 3, 0.5),
    Kind("ends-3/6", 6, 3, 1.6, until=20.0),
    Kind("begins-3/6", 6, 3, 1.6, since=30.0),
)


class Gradient:
    """Gradient limit on the time against the uncongested one."""

    def __init__(self, slots):
        self.slots = slots
        self.limit = float(slots)
        self.base = {}
        self.long = 0.0
        self.short = 0.0

    def note_run(self, work_class, spent, _level, _now):
        """Compares the recent times with the usual ones."""
        base = self.base.get(work_class, spent)
        self.base[work_class] = base + 0.02 * (spent - base)
        ratio = min(8.0, spent / base)
        self.short += 0.1 * (ratio - self.short)
        self.long += 0.01 * (ratio - self.long)
        gradient = max(0.5, min(1.0, 1.5 * self.long / self.short))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        self.limit += 0.2 * (min(self.slots, wanted) - self.limit)

    def read_limit(self, _now):
        """Returns the limit."""
        return max(1, min(self.slots, int(self.limit + 0.5)))


class Aimd:
    """Additive increase, decrease by a tenth on a time over twice the mean."""

    def __init__(self, slots):
        self.slots = slots
        self.limit = float(slots)
        self.means = {}

    def note_run(self, work_class, spent, _level, _now):
        """Compares a time with the mean of its class."""
        known = self.means.setdefault(work_class, spent)
        self.means[work_class] = known + 0.02 * (spent - known)
        if spent > 2.0 * known:
            self.limit = max(1.0, 0.9 * self.limit)
        else:
            self.limit = min(self.slots, self.limit + 1.0 / self.limit)

    def read_limit(self, _now):
        """Returns the limit."""
        return max(1, int(self.limit))


class Fixed:
    """A fixed limit: today's rule, or an oracle that knows the knee."""

    def __init__(self, limit):
        self.limit = limit

    def note_run(self, *_args):
        """Does nothing."""

    def read_limit(self, _now):
        """Returns the limit."""
        return self.limit


def make_learned(slots):
    """Returns the rule of the product."""
    learned = speeds.LearnedTarget()
    learned.note_target("t", 1, slots, 0.0)
    return learned


class Play:
    """One target under load, with a queue beside it."""

    def __init__(self, kind, rule, load, seed, seconds=60.0):
        self.kind, self.rule, self.seconds = kind, rule, seconds
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1)
        self.noise = random.Random(seed + 2)
        self.queue = backlog.Backlog(slots=kind.slots)
        best = max(
            k / kind.get_factor(k, -1.0, -2.0) for k in range(1, kind.slots + 1)
        )
        mean = sum(m * share for _, m, share in CLASSES)
        self.rate = load * best / (1.18 * mean)
        self.events = []
        self.moment_until = -1.0
        self.asked = self.in_time = self.refused = 0
        self.took = []
        self.limits = []

    def push(self, at, step, *args):
        """Schedules a step."""
        heapq.heappush(self.events, (at, self.rng.random(), step, args))

    def run(self):
        """Plays to the end."""
        self.push(0.0, self.arrive)
        self.push(0.0, self.poll)
        if self.kind.moments:
            self.push(1.0, self.moment)
        while self.events:
            now, _, step, args = heapq.heappop(self.events)
            step(now, *args)
            self.queue.slots = self.rule.read_limit(now)
            ticket = self.queue.start_next(now)
            while ticket is not None:
                self.start(now, ticket)
                ticket = self.queue.start_next(now)
        return self

    def moment(self, now):
        """Starts a moment of slow work at random."""
        if now < self.seconds:
            if self.noise.random() < 0.15:
                self.moment_until = now + 0.6
            self.push(now + 0.6, self.moment)

    def arrive(self, now):
        """Offers a call to the queue."""
        if now > self.seconds:
            return
        self.push(now + self.arrivals.expovariate(self.rate), self.arrive)
        name, mean, _share = self.arrivals.choices(
            CLASSES, [share for _name, _mean, share in CLASSES]
        )[0]
        ticket = backlog.Ticket(
            name, name, 1, now + 2 * mean + 0.2, now + DEADLINE_S
        )
        self.asked += 1
        result = self.queue.offer(ticket, DEADLINE_S, now)
        if isinstance(result, backlog.Started):
            self.start(now, ticket)
        elif isinstance(result, backlog.Refused):
            self.refused += 1

    def start(self, now, ticket):
        """Starts a call at the target."""
        mean = next(m for n, m, _ in CLASSES if n == ticket.work_class)
        spent = mean * self.noise.lognormvariate(-0.2, 0.63)
        if self.noise.random() < 1 / 30:
            spent = 7 * mean
        level = len(self.queue.running)
        spent *= self.kind.get_factor(level, now, self.moment_until)
        self.push(now + spent, self.end, ticket, level)

    def end(self, now, ticket, level):
        """Counts a call that ended."""
        self.queue.release(ticket, True, now)
        self.rule.note_run(
            ticket.work_class, now - ticket.started_at, level, now
        )
        self.took.append(now - ticket.offered_at)
        self.in_time += now <= ticket.objective_at

    def poll(self, now):
        """Refuses calls that are late."""
        if now > self.seconds + 5:
            return
        self.push(now + 0.05, self.poll)
        self.limits.append(self.rule.read_limit(now))
        self.refused += len(self.queue.drop_late(now))


def main():
    """Prints a line for each kind of target, load and rule."""
    seeds = range(1, 1 + int(sys.argv[1]) if len(sys.argv) > 1 else 5)
    loads = (0.6, 0.95, 1.3)
    print("target        load rule      in-time  mean   p99 limit refused")
    for kind in KINDS:
        for load in loads:
            oracle = kind.knee if kind.growth >= 1 else kind.slots
            for name, make in (
                ("slots", lambda k=kind: Fixed(k.slots)),
                ("oracle", lambda o=oracle: Fixed(o)),
                ("gradient", lambda k=kind: Gradient(k.slots)),
                ("aimd", lambda k=kind: Aimd(k.slots)),
                ("learned", lambda k=kind: make_learned(k.slots)),
            ):
                plays = [Play(kind, make(), load, s).run() for s in seeds]
                asked = sum(p.asked for p in plays)
                took = sorted(t for p in plays for t in p.took)
                limits = [x for p in plays for x in p.limits]
                print(
                    f"{kind.name:13} {load:4} {name:9}"
                    f" {sum(p.in_time for p in plays) / asked:7.3f}"
                    f" {sum(took) / len(took):6.3f}"
                    f" {took[int(0.99 * len(took))]:5.2f}"
                    f" {sum(limits) / len(limits):5.2f}"
                    f" {sum(p.refused for p in plays) / asked:6.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
