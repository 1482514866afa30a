"""One route takes the place of another; later copies go by the dropped one."""

import asyncio
import os
import pathlib
import random
import typing

from review import clients2, rig2

RECORD = pathlib.Path(__file__).parent / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGET = ("198.18.0.1", 8443)
SERVICES = ("booking", "booking-next")
STABLE_S = 4.0
CHANGES = 5
CHANGE_INTERVAL_S = 7.0
SLACK_S = 0.25  # `downgrade-slack-ms`.
CONNECTION_LIMIT = 40
USERS_PER_CLIENT = 35
WORK_MS = 10


class Version(typing.NamedTuple):
    """A version of the configuration: when it was acknowledged, and its service."""

    at: float
    service: str


def make_route(service: str) -> rig2.Route:
    """Return the route to a service; each has a name of its own."""
    return rig2.Route(f"slot-check-{service}", TARGET, service, "safe", 1500)


async def run_user(client: clients2.Client, rng: random.Random) -> None:
    """Open a flow again and again, and use each for some seconds."""
    loop = asyncio.get_running_loop()
    while True:
        flow = await client.open_flow(TARGET)
        if flow is None:
            await asyncio.sleep(0.02)
            continue
        ends_at = loop.time() + rng.uniform(1.0, 3.0)
        while loop.time() < ends_at:
            outcome, _, _ = await flow.request("slot-check", WORK_MS, 1.5)
            if outcome != "served" or not await flow.idle(rng.uniform(0.5, 1.0)):
                break
        else:
            flow.finish()


def find_regressions(
    deployment: rig2.Rig, versions: list[Version]
) -> list[dict[str, typing.Any]]:
    """Return the openings at an old service after the forwarder had used a newer one.

    An opening counts by the copy that the host took: by when its client sent it.
    """
    sent_at = {
        (line["flow"], line["copy"]): line["at"]
        for line in deployment.find_events("opening")
    }
    openings = deployment.find_events("opened")
    regressions = []
    for number, version in enumerate(versions[1:], 1):
        until = versions[number + 1].at if number + 1 < len(versions) else 1e9
        current = [line for line in openings if version.at <= line["at"] < until]
        effects: dict[str, float] = {}
        for line in current:
            if line["service"] == version.service:
                effects.setdefault(line["through"], line["at"])
        for line in current:
            seen_at = effects.get(line["through"])
            if line["service"] == version.service or seen_at is None:
                continue
            late_s = sent_at[line["flow"], line["copy"]] - seen_at
            if late_s > SLACK_S:
                regressions.append({**line, "late_s": round(late_s, 3)})
    return regressions


async def play() -> bool:
    """Return whether no forwarder went back to the service of an older version."""
    deployment = rig2.Rig(
        RECORD,
        {"riga-a": 2, "riga-b": 2},
        {service: {"riga-a": 1, "riga-b": 1} for service in SERVICES},
        [make_route(SERVICES[0])],
        connection_limit=CONNECTION_LIMIT,
    )
    rng = random.Random(23)
    try:
        await deployment.start()
        versions = [Version(0.0, SERVICES[0])]
        for zone in deployment.zones:
            for _ in range(2):
                client = await deployment.add_client(zone)
                for _ in range(USERS_PER_CLIENT):
                    deployment.start_task(run_user(client, rng))
        await asyncio.sleep(STABLE_S)
        for number in range(1, CHANGES + 1):
            await asyncio.sleep(CHANGE_INTERVAL_S)
            if HAS_TROUBLE:
                service = SERVICES[number % 2]
                deployment.routes = [make_route(service)]
                deployment.put_configuration(7 + 3 * number)
                at = deployment.find_events("configuration")[-1]["at"]
                versions.append(Version(at, service))
        await asyncio.sleep(CHANGE_INTERVAL_S)
        deployment.check_tasks()
        openings = deployment.find_events("opened")
        regressions = find_regressions(deployment, versions)
        for line in regressions:
            deployment.record("regression", opening=line)
        print(f"{len(openings)} flows opened, {len(regressions)} of them a regression")
        if not openings:
            raise rig2.CannotRun("no flow opened")
        return not regressions
    finally:
        deployment.close()


if __name__ == "__main__":
    raise SystemExit(rig2.run_case(play()))
