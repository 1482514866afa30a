"""The only forwarder of a zone is killed; the others reset flows to its live hosts."""

import asyncio
import pathlib
import random

from review.second import clients, rig

FOLDER = pathlib.Path(__file__).parent
ROUTE = rig.Route(
    "pattern-sheet", ("198.18.0.2", 8443), "pattern-library", "download", 8000
)
ZONE = "cutting-room"
STABLE_S = 4.0
KILLS = 17
DOWN_S = 3.5
UP_S = 2.0
WORK_MS = 260
FLOWS_PER_FORWARDER = 2
FLOW_AGE_S = 40.0  # Flows over 60 s are not counted.


async def keep_flow(
    deployment: rig.Rig, client: clients.Client, ip: str, rng: random.Random
) -> None:
    """Keep a flow through a forwarder to a host of the zone; send requests on it."""
    places = {host.name: host.zone for host in deployment.hosts}
    loop = asyncio.get_running_loop()
    while True:
        flow = await client.open_flow(ROUTE.target)
        if flow is None:
            continue
        if flow.last_ip != ip:
            flow.finish()
            await asyncio.sleep(0.01)
            continue
        ends_at = loop.time() + FLOW_AGE_S
        while loop.time() < ends_at:
            outcome, _, answer = await flow.request(ROUTE.name, WORK_MS, 8.0)
            if outcome != "served":
                break
            if places[answer.split()[1]] != ZONE:
                flow.finish()
                break
            if not await flow.idle(rng.uniform(0.7, 1.7)):
                break
        else:
            flow.finish()


async def play(has_trouble: bool) -> bool:
    """Return whether no open flow of a live host was reset by the system."""
    deployment = rig.Rig(
        FOLDER,
        {"hall-a": 3, "hall-b": 2, ZONE: 1, "dispatch-office": 2},
        {
            "pattern-library": {
                "hall-a": 1,
                "hall-b": 1,
                ZONE: 1,
                "dispatch-office": 1,
            }
        },
        [ROUTE],
    )
    rng = random.Random(11)
    try:
        await deployment.start()
        for ip, zone in deployment.forwarders.items():
            if zone == ZONE:
                continue
            for _ in range(FLOWS_PER_FORWARDER):
                client = await deployment.add_client(zone)
                deployment.start_task(keep_flow(deployment, client, ip, rng))
        await asyncio.sleep(STABLE_S + 1)
        victim = next(ip for ip, zone in deployment.forwarders.items() if zone == ZONE)
        for _ in range(KILLS):
            if has_trouble:
                deployment.kill_forwarder(victim)
            await asyncio.sleep(DOWN_S)
            if has_trouble:
                deployment.start_forwarder(victim)
            await asyncio.sleep(UP_S)
        deployment.check_tasks()
        resets = deployment.find_events("reset by system")
        answers = deployment.find_events("answered")
        print(f"{len(answers)} requests answered, {len(resets)} open flows reset")
        if not answers:
            raise rig.CannotRun("no request was answered")
        return not resets
    finally:
        deployment.close()


if __name__ == "__main__":
    raise SystemExit(rig.run_case(FOLDER, play))
