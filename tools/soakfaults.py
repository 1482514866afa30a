"""Faults that a soak run injects from outside the forwarder processes."""

import asyncio
import collections
import signal
import typing
from collections import abc

from standins import loopbackproxy
from tools import soakfleet

RESTART_S: typing.Final = (0.3, 3.0)
PAUSE_S: typing.Final = (0.2, 3.0)
STORE_HARM_S: typing.Final = (0.3, 4.0)
LAPSE_S: typing.Final = (0.1, 1.5)
FAULT_GAP_S: typing.Final = (0.1, 1.2)
# The users' hosts serve for 3 s after the notice, and the longest flow here after that.
LEAVE_S: typing.Final = 6.5
KINDS_MIN: typing.Final = 3


class Faults:
    """Plays faults at random times; they overlap.

    Each run draws the kinds of fault that it plays, so that some runs leave machines
    or the store alone for long enough to judge the bounds that hold then.
    """

    def __init__(self, fleet: soakfleet.SoakFleet) -> None:
        self.fleet = fleet
        self.draw = fleet.draw
        self.stopping: set[str] = set()
        self.violations: list[str] = []
        self.log: list[str] = []

    async def play(self, seconds: float) -> None:
        """Play faults for some time and wait for the last one to end."""
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
        chosen = self.draw.sample(kinds, self.draw.randint(KINDS_MIN, len(kinds)))
        playing = []
        end = self.fleet.now() + seconds
        while self.fleet.now() < end:
            kind = self.draw.choice(chosen)
            self.log.append(f"{self.fleet.now():.2f} {kind.__name__}")
            playing.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self.draw.uniform(*FAULT_GAP_S))
        await asyncio.gather(*playing)

    def pick_forwarder(self) -> str | None:
        """Return a running forwarder that is left alone, but never the last."""
        running = [ip for ip in self.fleet.processes if ip not in self.stopping]
        return self.draw.choice(running) if len(running) > 1 else None

    def note_harm(self, ip: str, start: float) -> None:
        """Note that a forwarder was disturbed from a time until now."""
        self.fleet.harms[ip].append(soakfleet.Span(start, self.fleet.now()))

    async def kill(self) -> None:
        """Kill a forwarder and start it again."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.stopping.add(ip)
        self.fleet.processes[ip].kill()
        self.fleet.processes[ip].wait()
        await asyncio.sleep(self.draw.uniform(*RESTART_S))
        self.fleet.start_forwarder(ip)
        self.note_harm(ip, start)
        self.stopping.discard(ip)

    async def pause(self) -> None:
        """Stop a forwarder for a while and let it go on."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.stopping.add(ip)
        self.fleet.processes[ip].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        self.fleet.processes[ip].send_signal(signal.SIGCONT)
        self.note_harm(ip, start)
        self.stopping.discard(ip)

    async def end(self) -> None:
        """Ask a forwarder to stop, and start it again when it has."""
        ip = self.pick_forwarder()
        if ip is None:
            return
        start = self.fleet.now()
        self.stopping.add(ip)
        process = self.fleet.processes[ip]
        process.terminate()
        status = await asyncio.to_thread(process.wait)
        # Before it serves, no flow can be cut, and Python ends by the signal itself.
        if status != 0 and self.fleet.has_served(ip):
            self.violations.append(f"forwarder {ip} ended with status {status}")
        self.fleet.start_forwarder(ip)
        self.note_harm(ip, start)
        self.stopping.discard(ip)

    async def harm_store(self) -> None:
        """Let the store fail for all."""
        start = self.fleet.now()
        self.fleet.store.failure = self.draw.choice(("busy", "many", "silent"))
        self.fleet.store.changed.set()
        await asyncio.sleep(self.draw.uniform(*STORE_HARM_S))
        self.fleet.store.failure = "none"
        self.fleet.store_harms.append(soakfleet.Span(start, self.fleet.now()))

    async def harm_store_of_one(self) -> None:
        """Harm one forwarder's connections to the store."""
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
        await asyncio.sleep(self.draw.uniform(*STORE_HARM_S))
        self.fleet.proxies[ip].set_fault("none")
        self.note_harm(ip, start)

    def pick_host(self) -> str | None:
        """Return a registered host, but never the last one of its service."""
        hosts = self.fleet.hosts
        counts = collections.Counter(host.service for host in hosts.values())
        spare = [
            name
            for name, host in hosts.items()
            if counts[host.service] > 1 and self.fleet.has_entry(name)
        ]
        return self.draw.choice(spare) if spare else None

    async def drain_host(self) -> None:
        """Replace a host: the new one starts first, the old one announces its end."""
        name = self.pick_host()
        if name is None:
            return
        host = self.fleet.hosts.pop(name)
        await self.fleet.start_host(host.service)
        self.fleet.register(name, host.service, "draining")
        self.fleet.ended[name] = self.fleet.now()
        await asyncio.sleep(LEAVE_S)
        self.fleet.remove_entry(name)
        self.fleet.checks[name].close()
        if host.transport is not None:
            host.transport.close()

    async def crash_host(self) -> None:
        """Crash a host; it starts again with nothing of before."""
        name = self.pick_host()
        if name is not None:
            self.fleet.hosts[name].flows.clear()

    async def silence_host(self) -> None:
        """Cut a host off for a while."""
        name = self.pick_host()
        if name is None:
            return
        host = self.fleet.hosts[name]
        host.silent = True
        await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        host.silent = False

    async def lapse_host(self) -> None:
        """Let an entry lapse and come back, as after an outage of the store."""
        name = self.pick_host()
        if name is None:
            return
        self.fleet.remove_entry(name)
        await asyncio.sleep(self.draw.uniform(*LAPSE_S))
        if name in self.fleet.hosts:
            self.fleet.register(name, self.fleet.hosts[name].service, "ready")

    async def change_configuration(self) -> None:
        """Write a new version."""
        self.fleet.configure()

    async def lose_history(self) -> None:
        """Let the store forget its history."""
        self.fleet.store.discard_history()
