"""A departure is forgotten if it arrives before the first heartbeat."""

import asyncio

import standins

HOSTNAME = "fees.example"
WORK_MS = 140
INTERVAL_S = 0.05
# The upstream crashes and is back after this pause.
DOWN_S = 0.5
# It is told to leave this long after its new start.
LEAVE_AFTER_S = 2.0
# Its heartbeats since then arrive this long after it left; the oldest of them
# is 3.5 s late.
LATE_S = 1.5
# It serves on for `drainMs` after the acknowledgement, and many seconds longer.
SERVES_ON_S = 6.5


async def play(case: standins.Case) -> list[str]:
    """Plays the case; returns the breaches of DRAIN."""
    await case.store.start()
    front = case.add_node("front-1", "front")
    case.add_node("archive-1", "archive")
    case.add_node("archive-2", "archive")
    routes = {
        "fee": standins.make_route(
            HOSTNAME, "/fee/", "unsafe", service="archive", maxAttempts=1
        ),
    }
    await case.publish(3, routes, ["front", "archive"])
    upstreams = await case.start_all(
        ["front", "archive", "archive"], 6, ["i-front", "i-kept", "i-leaving"]
    )
    old = upstreams[2]
    client = standins.Client(case.record, front.outbound, HOSTNAME)
    await standins.wait_served(
        client,
        "/fee/x",
        lambda attempt: attempt.headers["response-signature"].startswith(
            "i-leaving"
        ),
    )
    is_over = False

    async def send_all() -> None:
        number = 0
        while not is_over:
            number += 1
            path = f"/fee/w{WORK_MS}/{number}"
            await client.send(path, 3000, "POST", b"fee")
            await asyncio.sleep(INTERVAL_S)

    load = [asyncio.create_task(send_all()) for _ in range(3)]
    await asyncio.sleep(standins.STABILITY_S + 1.0)
    gone = old
    if standins.HAS_TROUBLE:
        await old.stop()
        await asyncio.sleep(DOWN_S)
        # The same id, a later start, and a sequence that starts anew.
        gone = standins.Upstream(
            case.record,
            old.name,
            old.service,
            old.port,
            old.control,
            6,
            standins.BORN_MS + 60_000,
        )
        gone.late_beats = True
        await gone.start()
        await asyncio.sleep(LEAVE_AFTER_S)
    if await gone.leave() != 200:
        raise standins.CannotRunError("the departure was not acknowledged")
    acknowledged_at = case.record.now()
    await asyncio.sleep(LATE_S)
    await gone.deliver_late()
    await asyncio.sleep(SERVES_ON_S - LATE_S)
    await gone.stop()
    await asyncio.sleep(0.5)
    is_over = True
    await asyncio.gather(*load)
    ran = {run.request_id for run in gone.runs}
    lost = [
        attempt
        for attempt in client.attempts
        if attempt.status == 502 and attempt.request_id in ran
    ]
    print(f"answered 502 as the upstream ended: {len(lost)}")
    bound = acknowledged_at + standins.DRAIN_S
    late = [run for run in gone.runs if run.at > bound]
    return [
        f"DRAIN: request {run.request_id} reached {run.upstream}"
        f" {run.at - acknowledged_at:.2f} s after the acknowledgement of its"
        " departure"
        for run in late
    ]


if __name__ == "__main__":
    standins.run_case(__file__, play)
