"""A service without weight still gets requests after a change of weights."""

import asyncio

import standins

HOSTNAME = "desk.example"
# Requests by the first version, then by the second one.
BEFORE, AFTER = 9, 300
FIRST = [
    {"service": "stable", "weight": 950},
    {"service": "canary", "weight": 50},
]
SECOND = [
    {"service": "stable", "weight": 1},
    {"service": "canary", "weight": 0},
]


async def play(case: standins.Case) -> list[str]:
    """Plays the case; returns the breaches of CONFIG."""
    await case.store.start()
    services = ["front", "stable", "canary"]
    for service in services:
        case.add_node(f"{service}-1", service)

    async def publish(version: int, split: list[dict[str, object]]) -> float:
        route = standins.make_route(
            HOSTNAME, "/desk/", "safe", trafficSplit=split
        )
        probe = standins.make_route(
            HOSTNAME, f"/probe{version}/", "safe", service="front"
        )
        return await case.publish(
            version, {"desk": route, f"probe{version}": probe}, services
        )

    split = FIRST if standins.HAS_TROUBLE else SECOND
    acknowledged_at = await publish(3, split)
    upstreams = await case.start_all(services, 18)
    client = standins.Client(case.record, case.nodes[0].outbound, HOSTNAME)
    await standins.wait_served(client, "/probe3/x", lambda _attempt: True)
    await asyncio.sleep(standins.STABILITY_S)
    for number in range(BEFORE):
        await client.send(f"/desk/{number}", 2500)
    if standins.HAS_TROUBLE:
        acknowledged_at = await publish(7, SECOND)
        await asyncio.sleep(standins.CONFIG_S + 1.0)
        await standins.wait_served(client, "/probe7/x", lambda _attempt: True)
    client.attempts.clear()
    for number in range(AFTER):
        await client.send(f"/desk/{number}", 2500)
    sent = {attempt.request_id: attempt for attempt in client.attempts}
    old = [
        run
        for run in upstreams[2].runs
        if run.request_id in sent
        and sent[run.request_id].sent_at > acknowledged_at + standins.CONFIG_S
    ]
    return [
        f"CONFIG: request {run.request_id}, sent"
        f" {sent[run.request_id].sent_at - acknowledged_at:.2f} s after the"
        " acknowledgement of a version that gives canary no weight, was run by"
        f" {run.upstream}"
        for run in old
    ]


if __name__ == "__main__":
    standins.run_case(__file__, play)
