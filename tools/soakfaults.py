"""Inject faults into a soak run from outside the forwarder processes."""

import asyncio
import collections
import random
import signal
import typing
from collections import abc

from standins import loopbackproxy
from tools import soakfleet

RESTART_S: typing.Final = (0.3, 3.0)
PAUSE_S: typing.Final = (0.2, 3.0)
STORE_FAULT_S: typing.Final = (0.3, 4.0)
LAPSE_S: typing.Final = (0.1, 1.5)
FAULT_GAP_S: typing.Final = (0.1, 1.2)
# The users' hosts serve for 3 s after announcing their end; the rest lets the longest
# flow of this test finish.
LEAVE_S: typing.Final = 6.5
MIN_FAULT_KINDS: typing.Final = 3
RESTORATION_SHARE: typing.Final = 0.5
# Early and short enough that a host that drains afterwards is checked within the run.
RESTORATION_START_S: typing.Final = (0.0, 1.0)
COPY_AGE_S: typing.Final = (0.5, 2.0)
RESTORATION_S: typing.Final = (0.3, 1.0)
LOST_CHANGES_MAX: typing.Final = 12
EVACUATION_SHARE: typing.Final = 0.5
EVACUATION_START_S: typing.Final = (0.0, 2.0)
# Longer than the time until an evacuation is in force, 3 s, so that it is checked.
EVACUATION_S: typing.Final = (5.0, 8.0)
# Hosts write again within 2 s of the store's return.
REWRITE_DELAY_S: typing.Final = (0.0, 1.0)


class FaultInjector:
    """Inject faults at random times; faults may overlap.

    Each run draws the kinds of fault that it injects, so that in some runs forwarders
    or the store stay undisturbed long enough for the bounds on changes to be checked.
    """

    def __init__(self, fleet: soakfleet.SoakFleet) -> None:
        self.fleet = fleet
        self.draw = fleet.draw
        # Generators of their own, so that the other faults of a seed stay the same.
        self.restoration_draw = random.Random(f"restoration-{fleet.seed}")
        self.evacuation_draw = random.Random(f"evacuation-{fleet.seed}")
        self.under_fault: set[str] = set()
        self.violations: list[str] = []
        self.log: list[str] = []

    async def inject(self, seconds: float) -> None:
        """Inject faults for some time and wait until all have ended."""
        kinds: list[abc.Callable[[], abc.Awaitable[None]]] = [
            self.kill,
            self.pause,
            self.end,
            self.harm_store,
            self.harm_store_of_one,
            self.drain_host,
            self.crash_host,
            self.silence_host,
            self.change_configuration,
            self.lapse_host,
            self.lose_history,
        ]
        chosen = self.draw.sample(kinds, self.draw.randint(MIN_FAULT_KINDS, len(kinds)))
        injected = []
        end = self.fleet.now() + seconds
        if self.restoration_draw.random() < RESTORATION_SHARE:
            injected.append(asyncio.ensure_future(self.restore_store()))
        if self.evacuation_draw.random() < EVACUATION_SHARE:
            injected.append(asyncio.ensure_future(self.evacuate_zone()))
        while self.fleet.now() < end:
            kind = self.draw.choice(chosen)
            self.log.append(f"{self.fleet.now():.2f} {kind.__name__}")
            injected.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.draw.uniform(*FAULT_GAP_S))
        await asyncio.gather(*injected)

    def pick_forwarder(self) -> str | None:
        """Return a random forwarder that no fault affects; None if it is the last."""
        running = [ip for ip in self.fleet.processes if ip not in self.under_fault]
        return self.draw.choice(running) if len(running) > 1 else None

    def record_disturbance(self, ip: str, start: float) -> None:
        """Record that a forwarder was disturbed from a time until now."""
        self.fleet.disturbances[ip].append(soakfleet.Span(start, self.fleet.now()))

    async def kill(self) -> None:
        """Kill a forwarder and restart it after a delay."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.under_fault.add(ip)
        self.fleet.processes[ip].kill()
        self.fleet.processes[ip].wait()
        await asyncio.sleep(self.draw.uniform(*RESTART_S))
        self.fleet.start_forwarder(ip)
        self.record_disturbance(ip, start)
        self.under_fault.discard(ip)

    async def pause(self) -> None:
        """Suspend a forwarder by SIGSTOP for a while, then resume it."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.under_fault.add(ip)
        self.fleet.processes[ip].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        self.fleet.processes[ip].send_signal(signal.SIGCONT)
        self.record_disturbance(ip, start)
        self.under_fault.discard(ip)

    async def end(self) -> None:
        """Stop a forwarder by SIGTERM and restart it once it has exited."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.under_fault.add(ip)
        process = self.fleet.processes[ip]
        process.terminate()
        status = await asyncio.to_thread(process.wait)
        # A forwarder that does not yet serve has no flows to lose, and the signal may
        # end the Python process directly, with another status.
        if status != 0 and self.fleet.has_served(ip):
            self.violations.append(f"forwarder {ip} exited with status {status}")
        self.fleet.start_forwarder(ip)
        self.record_disturbance(ip, start)
        self.under_fault.discard(ip)

    async def harm_store(self) -> None:
        """Make the store fail for all forwarders."""
        start = self.fleet.now()
        self.fleet.store.failure = self.draw.choice(("busy", "many", "silent"))
        self.fleet.store.changed.set()
        await asyncio.sleep(self.draw.uniform(*STORE_FAULT_S))
        self.fleet.store.failure = "none"
        self.fleet.store_disturbances.append(soakfleet.Span(start, self.fleet.now()))

    async def harm_store_of_one(self) -> None:
        """Disturb one forwarder's connections to the store."""
        ip = self.draw.choice(list(self.fleet.proxies))
        harms: tuple[loopbackproxy.Fault, ...] = (
            "delay",
            "silent",
            "silent back",
            "reset",
            "refuse",
        )
        start = self.fleet.now()
        self.fleet.proxies[ip].set_fault(self.draw.choice(harms))
        await asyncio.sleep(self.draw.uniform(*STORE_FAULT_S))
        self.fleet.proxies[ip].set_fault("none")
        self.record_disturbance(ip, start)

    def pick_host(self) -> str | None:
        """Return a random registered host that is not the last of its service."""
        hosts = self.fleet.hosts
        counts = collections.Counter(host.service for host in hosts.values())
        candidates = [
            name
            for name, host in hosts.items()
            if counts[host.service] > 1 and self.fleet.has_entry(name)
        ]
        return self.draw.choice(candidates) if candidates else None

    async def drain_host(self) -> None:
        """Replace a host: start a new one, then drain and stop the old one."""
        name = self.pick_host()
        if name is None:
            return
        host = self.fleet.hosts.pop(name)
        await self.fleet.start_host(host.service)
        self.fleet.register(name, host.service, "draining")
        self.fleet.announced_ends[name] = self.fleet.now()
        await asyncio.sleep(LEAVE_S)
        self.fleet.remove_entry(name)
        self.fleet.health_check_servers[name].close()
        if host.transport is not None:
            host.transport.close()

    async def crash_host(self) -> None:
        """Simulate a host's crash and restart, which lose its flows."""
        name = self.pick_host()
        if name is not None:
            self.fleet.hosts[name].flows.clear()

    async def silence_host(self) -> None:
        """Make a host unresponsive for a while."""
        name = self.pick_host()
        if name is None:
            return
        host = self.fleet.hosts[name]
        host.silent = True
        await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        host.silent = False

    async def lapse_host(self) -> None:
        """Let a host's entry lapse and restore it, as after an outage of the store."""
        name = self.pick_host()
        if name is None:
            return
        self.fleet.remove_entry(name)
        await asyncio.sleep(self.draw.uniform(*LAPSE_S))
        if name in self.fleet.hosts:
            self.fleet.register(name, self.fleet.hosts[name].service, "ready")

    async def change_configuration(self) -> None:
        """Write a new version of the configuration."""
        self.fleet.write_configuration()

    async def lose_history(self) -> None:
        """Make the store discard its history."""
        self.fleet.store.discard_history()

    async def evacuate_zone(self) -> None:
        """Evacuate the zone of the forwarders for some time."""
        zone = soakfleet.ZONES[-1]
        await asyncio.sleep(self.evacuation_draw.uniform(*EVACUATION_START_S))
        self.log.append(f"{self.fleet.now():.2f} evacuate {zone}")
        self.fleet.evacuate(zone)
        await asyncio.sleep(self.evacuation_draw.uniform(*EVACUATION_S))
        self.log.append(f"{self.fleet.now():.2f} end evacuation of {zone}")
        self.fleet.end_evacuation(zone)

    async def restore_store(self) -> None:
        """Let the store return from a copy that lacks changes, then drain a host."""
        draw = self.restoration_draw
        age_s = draw.uniform(*COPY_AGE_S)
        await asyncio.sleep(draw.uniform(*RESTORATION_START_S))
        copy = self.fleet.store.make_copy()
        for _ in range(draw.randint(0, LOST_CHANGES_MAX)):
            self.fleet.write_configuration()
        await asyncio.sleep(age_s)
        start = self.fleet.now()
        self.log.append(f"{start:.2f} restore_store, copy of {age_s:.2f} s before")
        self.fleet.store.failure = "busy"
        self.fleet.store.changed.set()
        await asyncio.sleep(draw.uniform(*RESTORATION_S))
        self.fleet.store.restore(copy)
        self.fleet.store.failure = "none"
        self.fleet.rewrite_configuration()
        await asyncio.sleep(draw.uniform(*REWRITE_DELAY_S))
        self.fleet.rewrite_evacuations()
        self.fleet.rewrite_entries()
        self.fleet.store_disturbances.append(soakfleet.Span(start, self.fleet.now()))
        await self.drain_host()
