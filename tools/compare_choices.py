"""Plays many entries and targets with each rule for the choice of a target.

Prints for each load and rule the share of calls in time, the mean and 99th
percentile of the time to an answer, and the shares of calls that went to
another data centre, to another region, and that were refused. The comparison in
docs/design/learned-speed.md comes from it.
"""

import heapq
import random
import sys

import attrs

from filbertlift_core import model
from filbertlift_mesh import backlog
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import expectation
from filbertlift_mesh import placement
from filbertlift_mesh import search
from filbertlift_mesh import speeds

ENTRIES = 40
PLACES = tuple(
    model.Place(f"r{region}", f"r{region}-{centre}")
    for region in range(2)
    for centre in range(2)
)
SPEEDS = (0.7, 0.7, 1.7, 0.6, 1.0, 1.4, 0.5, 1.0, 1.0, 1.5)
SLOTS = (5, 6, 8, 12, 18)
CLASSES = ((0.03, 0.15, 0.5), (0.1, 0.4, 0.4), (0.4, 1.2, 0.1))
DEADLINE_S = 2.5
SECONDS = 24.0
ROUTES = tuple(
    configuration.Route(
        f"r{mean}",
        "h",
        "/",
        configuration.CallKind.SAFE,
        DEADLINE_S,
        objective,
        2,
        1,
        (configuration.Share("a", 1.0),),
    )
    for mean, objective, _share in CLASSES
)
MEANS = {
    route.work_class: mean
    for route, (mean, _objective, _share) in zip(ROUTES, CLASSES, strict=True)
}


@attrs.define(eq=False)
class Target:
    """One target with its keeper."""

    record: directory.HostRecord
    speed: float
    knee: int
    slow: tuple[float, float]
    cold_at: float
    failing: float
    queue: backlog.Backlog
    learned: speeds.LearnedTarget | None
    moment_until: float = -1.0

    def get_factor(self, level, now):
        """Returns by how much a call takes longer that starts now."""
        factor = 1.0 / self.speed
        if level > self.knee:
            factor *= (level / self.knee) ** 1.6
        if now < self.moment_until:
            factor *= 2.5
        if self.slow[0] <= now < self.slow[1]:
            factor *= 4.5
        if self.cold_at <= now < self.cold_at + 3.0:
            factor *= 2.0
        return factor

    def get_busy(self):
        """Returns the calls that an answer reports."""
        busy = self.queue.busy
        if self.learned is not None:
            busy += max(0, self.learned.slots - self.queue.slots)
        return busy


@attrs.define(eq=False)
class Call:
    """A call of an entry."""

    entry: int
    route: configuration.Route
    arrived: float
    strategy: search.Search
    view: placement.TargetView | None = None
    ticket: backlog.Ticket | None = None
    level: int = 0
    refusals: int = 0
    attempts: int = 0


class Oracle(expectation.Expectation):
    """Knows the speeds and the present load of all targets."""

    targets: dict[model.Address, Target]

    def list_candidates(self, places, criteria, _now):
        """Returns all targets that are left."""
        listed = [
            view
            for view in places.views[criteria.service].values()
            if view.address not in criteria.excluded
        ]
        full = [view for view in listed if view.address in criteria.full]
        return full if criteria.only_full and full else listed

    def estimate_parts(self, _places, view, criteria, now):
        """Returns the expected wait and service time, in seconds."""
        target = self.targets[view.address]
        busy, slots = target.queue.busy, target.queue.slots
        usual = MEANS[criteria.work_class]
        time_s = 1.18 * usual * target.get_factor(min(busy + 1, slots), now)
        over = max(0, busy + 1 - slots)
        wait_s = over * 0.12 * target.get_factor(slots, now) / slots
        return wait_s + 0.4 * (target.failing > 0), time_s


class Play:
    """Entries in four data centres that call the targets of one service."""

    def __init__(self, load, rule, seed, count=20):
        self.rng = random.Random(seed)
        self.noise = random.Random(seed + 1)
        self.rule = rule
        self.targets = {}
        for number in range(count):
            target = self.make_target(number)
            self.targets[target.record.address] = target
        capacity = sum(
            min(t.knee, t.record.target.slots) * t.speed * (1 - t.failing)
            for t in self.targets.values()
        )
        mean = sum(mean * share for mean, _objective, share in CLASSES)
        # A tenth of the work is done again or slower than usual.
        self.rate = load * capacity / (1.3 * mean)
        self.entries = [self.make_entry(number) for number in range(ENTRIES)]
        self.calls = {}
        self.events = []
        self.asked = self.in_time = self.refused = self.failed = 0
        self.moved = [0, 0, 0, 0]
        self.took = []

    def make_target(self, number):
        """Returns a target; some have a knee, one fails, one is slow."""
        slots = self.rng.choice(SLOTS)
        record = directory.HostRecord(
            model.Address(f"10.0.0.{number}", 7000),
            1,
            1,
            PLACES[number % len(PLACES)],
            False,
            directory.TargetRecord(
                f"i-{number}", 1, "a", slots, directory.TargetState.READY
            ),
            True,
        )
        learned = None
        if self.rule in ("limit", "learned"):
            learned = speeds.LearnedTarget()
            learned.note_target(f"i-{number}", 1, slots, 0.0)
        knee = slots // 2 if number % 3 == 0 else 1_000
        if self.rule == "oracle":
            limit = min(knee, slots)
        else:
            limit = slots
        return Target(
            record,
            SPEEDS[number % len(SPEEDS)],
            knee,
            (8.0, 14.0) if number == 1 else (0.0, 0.0),
            16.0 if number == 2 else -10.0,
            0.4 if number == 7 else 0.0,
            backlog.Backlog(slots=limit),
            learned,
        )

    def make_entry(self, number):
        """Returns the placement of one entry; a quarter of them have 40%."""
        places = placement.Placement(
            PLACES[number % len(PLACES)],
            model.Address(f"10.0.1.{number}", 1),
            random.Random(number),
        )
        rng = random.Random(100 + number)
        if self.rule in ("choice", "learned"):
            places.learned = expectation.Expectation(rng)
        elif self.rule == "oracle":
            places.learned = Oracle(rng)
            places.learned.targets = self.targets
        places.update([target.record for target in self.targets.values()])
        return places

    def push(self, at, step, *args):
        """Schedules a step."""
        heapq.heappush(self.events, (at, self.rng.random(), step, args))

    def run(self):
        """Plays to the end."""
        self.push(0.0, self.arrive)
        self.push(0.0, self.poll)
        self.push(1.0, self.start_moments)
        while self.events:
            now, _, step, args = heapq.heappop(self.events)
            step(now, *args)
        return self

    def start_moments(self, now):
        """Starts moments of slow work at some targets."""
        if now > SECONDS:
            return
        for target in self.targets.values():
            if self.noise.random() < 0.15:
                target.moment_until = now + 0.6
        self.push(now + 0.6, self.start_moments)

    def arrive(self, now):
        """Starts a call at a random entry."""
        if now > SECONDS:
            return
        self.push(now + self.rng.expovariate(self.rate), self.arrive)
        self.asked += 1
        entry = self.rng.randrange(ENTRIES)
        if self.rng.random() < 0.2:
            entry -= entry % len(PLACES)
        route = self.rng.choices(ROUTES, [row[2] for row in CLASSES])[0]
        self.send(now, Call(entry, route, now, search.Search()))

    def send(self, now, call):
        """Makes an attempt."""
        left_s = call.arrived + DEADLINE_S - now
        choice = call.strategy.choose(
            self.entries[call.entry], call.route, "a", now
        )
        if choice is None or call.refusals >= 8 or left_s <= 0.02:
            self.refused += 1
            return
        call.view = choice.view
        choice.view.note_sent()
        wait_s = choice.limit_wait(left_s)
        self.push(now + self.get_way(call), self.offer, call, wait_s)

    def get_way(self, call):
        """Returns the time of one way, in seconds."""
        return 0.0005 + placement.ROUND_TRIP_S[call.view.distance] / 2

    def offer(self, now, call, max_wait_s):
        """Offers a call to the queue of its target."""
        target = self.targets[call.view.address]
        self.apply_limit(now, target)
        call.ticket = backlog.Ticket(
            "r",
            call.route.work_class,
            1,
            call.arrived + call.route.objective_s,
            call.arrived + DEADLINE_S,
        )
        self.calls[call.ticket] = call
        result = target.queue.offer(call.ticket, max_wait_s, now)
        if isinstance(result, backlog.Started):
            self.start(now, call, target)
        elif isinstance(result, backlog.Refused):
            self.refuse(now, call, target, result)

    def refuse(self, now, call, target, result):
        """Sends a refusal to the entry."""
        is_slow = result.reason is backlog.Refusal.SLOW
        wait_s = result.retry_after_s if is_slow else 0.0
        self.push(
            now + self.get_way(call),
            self.handle_refusal,
            call,
            target.get_busy(),
            is_slow,
            wait_s,
            self.read_mean(target, call, now),
        )

    def apply_limit(self, now, target):
        """Applies the learned limit."""
        if target.learned is not None:
            target.queue.slots = target.learned.read_limit(now)

    def start(self, now, call, target):
        """Starts a call at its target."""
        call.level = len(target.queue.running)
        spent = MEANS[call.route.work_class]
        spent *= self.noise.lognormvariate(-0.2, 0.63)
        if self.noise.random() < 1 / 30:
            spent = 7 * MEANS[call.route.work_class]
        spent *= target.get_factor(call.level, now)
        is_failure = self.noise.random() < target.failing
        spent = 0.002 if is_failure else spent
        self.push(now + spent, self.end, call, target, is_failure)

    def read_mean(self, target, call, now):
        """Returns the mean service time that an answer reports."""
        work_class = call.route.work_class
        if target.learned is not None:
            return target.learned.speed.read_time(work_class, now)
        mean = target.queue.means.get(work_class)
        return mean.value if mean is not None else None

    def end(self, now, call, target, is_failure):
        """Ends a run and starts the next ones."""
        target.queue.release(call.ticket, not is_failure, now)
        del self.calls[call.ticket]
        if target.learned is not None and not is_failure:
            target.learned.note_run(
                call.route.work_class,
                now - call.ticket.started_at,
                call.level,
                now,
            )
        self.start_waiting(now, target)
        self.push(
            now + self.get_way(call),
            self.receive,
            call,
            target.get_busy(),
            is_failure,
            self.read_mean(target, call, now),
        )

    def start_waiting(self, now, target):
        """Starts waiting calls in free slots."""
        self.apply_limit(now, target)
        ticket = target.queue.start_next(now)
        while ticket is not None:
            self.start(now, self.calls[ticket], target)
            ticket = target.queue.start_next(now)

    def note(self, now, call, busy, mean_s):
        """Records what an answer reports."""
        view = call.view
        view.note_end()
        view.note_load(busy, now)
        if mean_s:
            view.note_service(call.route.work_class, mean_s, now)

    def receive(self, now, call, busy, is_failure, mean_s):
        """Counts an answer, or makes a second attempt after a failure."""
        self.note(now, call, busy, mean_s)
        view = call.view
        view.note_wait(call.route.work_class, 0.0, now)
        view.note_result(is_failure, now)
        self.moved[view.distance] += 1
        if is_failure:
            call.attempts += 1
            if call.attempts < 2:
                self.send(now, call)
            else:
                self.failed += 1
            return
        self.in_time += now - call.arrived <= call.route.objective_s
        self.took.append(now - call.arrived)

    def handle_refusal(self, now, call, busy, is_slow, wait_s, mean_s):
        """Tries another target."""
        self.note(now, call, busy, mean_s)
        call.view.note_wait(call.route.work_class, wait_s, now)
        call.refusals += 1
        if is_slow:
            call.strategy.note_full(call.view.address)
        self.send(now, call)

    def poll(self, now):
        """Refuses calls that are late."""
        if now > SECONDS + 4:
            return
        self.push(now + 0.05, self.poll)
        for target in self.targets.values():
            for ticket in target.queue.drop_late(now):
                call = self.calls.pop(ticket)
                self.refuse(
                    now,
                    call,
                    target,
                    backlog.Refused(backlog.Refusal.LATE, 0.0),
                )
            self.start_waiting(now, target)


def describe(plays):
    """Returns the figures of some plays of one load and rule."""
    asked = sum(play.asked for play in plays)
    took = sorted(time_s for play in plays for time_s in play.took)
    sent = sum(sum(play.moved) for play in plays)
    return (
        f"{sum(play.in_time for play in plays) / asked:7.4f}"
        f" {sum(took) / len(took):6.3f} {took[int(0.99 * len(took))]:5.2f}"
        f" {sum(play.moved[2] for play in plays) / sent:6.3f}"
        f" {sum(play.moved[3] for play in plays) / sent:6.3f}"
        f" {sum(play.refused for play in plays) / asked:7.4f}"
        f" {sum(play.failed for play in plays) / asked:6.4f}"
    )


def main():
    """Prints a line for each load and rule."""
    seeds = range(1, 1 + int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    rules = sys.argv[2:] or ["slots", "limit", "choice", "learned", "oracle"]
    print("load rule    in-time   mean   p99 centre region refused failed")
    for load in (0.5, 0.75, 1.0):
        for rule in rules:
            plays = [Play(load, rule, seed).run() for seed in seeds]
            print(f"{load:4} {rule:8} {describe(plays)}", flush=True)


if __name__ == "__main__":
    main()
