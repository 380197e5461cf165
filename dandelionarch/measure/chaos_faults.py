"""Random faults of a chaos run, which its seed determines before the run."""

import asyncio
import contextlib
import random
import signal
import time
from dataclasses import dataclass

import aiohttp

GRAY_FAULTS = (
    {"slow": 8.0},
    {"errors": 0.5},
    {"hang": True},
    {"slow": 6.0, "flap_s": 3.0},
    {"prefix": "/orders", "slow": 8.0},
)
PAUSE_S = 9.0
CUT_S = 6.0
OUTAGE_S = 8.0
GRAY_S = 12.0
KINDS = (
    "kill",
    "pause",
    "stop",
    "cut",
    "mute",
    "log_outage",
    "log_lost",
    "gray",
    "gray",
    "drain",
    "race",
)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault at a time in seconds after the start of the run."""

    at_s: float
    kind: str
    target: str
    other: str


def plan_faults(seed, duration_s, vms, endpoints, count):
    """Return the faults of a run in order of time, at least one of each kind."""
    rng = random.Random(seed)
    kinds = list(KINDS) + rng.choices(KINDS, k=max(0, count - len(KINDS)))
    rng.shuffle(kinds)
    times = sorted(rng.uniform(2.0, duration_s) for _ in kinds)
    faults = []
    for at_s, kind in zip(times, kinds, strict=True):
        pool = endpoints if kind in ("gray", "drain") else vms
        target, other = rng.sample(pool, 2)
        faults.append(PlannedFault(round(at_s, 1), kind, target, other))
    return faults


class FaultRunner:
    """Injects the planned faults into a fleet of processes.

    Parameters
    ----------
    fleet : Fleet
    evidence : Evidence
    restart : callable
        `restart(vm)` starts the daemon of a VM again.
    seed : int
        Seed of the run; it determines the values within the faults as well.
    """

    def __init__(self, fleet, evidence, restart, seed):
        self._fleet = fleet
        self._evidence = evidence
        self._restart = restart
        self._rng = random.Random(seed + 1)
        self._session = None
        self._reserved = set()

    async def run(self, faults):
        """Inject every fault at its time and wait until all are over."""
        start_s = time.monotonic()
        tasks = []
        async with aiohttp.ClientSession() as session:
            self._session = session
            for fault in faults:
                await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
                tasks.append(asyncio.create_task(self._inject(fault)))
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    raise result

    async def _inject(self, fault):
        await getattr(self, f"_{fault.kind}")(fault)

    @contextlib.contextmanager
    def _reserve_daemon(self, vm):
        """Reserve a VM's daemon; yield False if another fault has reserved it."""
        if vm in self._reserved:
            yield False
            return
        self._reserved.add(vm)
        try:
            yield True
        finally:
            self._reserved.discard(vm)

    async def _kill(self, fault):
        with self._reserve_daemon(fault.target) as reserved:
            if reserved:
                self._fleet.daemons[fault.target].process.kill()
                await asyncio.sleep(self._rng.uniform(0.5, 3.0))
                self._restart(fault.target)
                await asyncio.sleep(3.0)

    async def _stop(self, fault):
        with self._reserve_daemon(fault.target) as reserved:
            if reserved:
                process = self._fleet.daemons[fault.target].process
                process.send_signal(signal.SIGTERM)
                while process.poll() is None:
                    await asyncio.sleep(0.05)
                self._restart(fault.target)
                await asyncio.sleep(3.0)

    async def _pause(self, fault):
        with self._reserve_daemon(fault.target) as reserved:
            if reserved:
                process = self._fleet.daemons[fault.target].process
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(PAUSE_S)
                process.send_signal(signal.SIGCONT)

    async def _cut(self, fault):
        await self._post_admin(fault.target, "/faults", {"cut": [fault.other]})
        await asyncio.sleep(CUT_S)
        await self._post_admin(fault.target, "/faults", {})

    async def _mute(self, fault):
        await self._post_admin(fault.target, "/faults", {"mute": [fault.other]})

    async def _log_outage(self, fault):
        outage = self._rng.choice(("refuse", "hang"))
        await self._fleet.set_log_faults(self._session, outage=outage)
        await asyncio.sleep(OUTAGE_S)
        await self._fleet.set_log_faults(self._session)

    async def _log_lost(self, fault):
        await self._fleet.set_log_faults(self._session, lost_share=0.5)
        await asyncio.sleep(OUTAGE_S / 2)
        await self._fleet.set_log_faults(self._session)

    async def _gray(self, fault):
        await self._post_worker(
            fault.target, "/standin/faults", self._rng.choice(GRAY_FAULTS)
        )
        await asyncio.sleep(GRAY_S)
        await self._post_worker(fault.target, "/standin/faults", {})

    async def _drain(self, fault):
        await self._post_worker(fault.target, "/standin/drain", {})
        self._evidence.drain_starts.setdefault(fault.target, time.time())

    async def _race(self, fault):
        """Let two operators amend the same revision at the same time."""
        racers = [
            self._fleet.start_ctl(
                "amend",
                "--log",
                self._fleet.log_url,
                "--set",
                f"crest evening:lasts_s={self._rng.randint(60, 3600)}",
            )
            for _ in range(2)
        ]
        for racer in racers:
            while racer.poll() is None:
                await asyncio.sleep(0.05)
            output = racer.stdout.read()
            accepted = output.startswith("accepted")
            base = _revision_in(output) - 1 if accepted else -1
            self._evidence.publications.append((base, accepted))

    async def _post_admin(self, vm, path, body):
        await self._post(self._fleet.daemons[vm].admin, path, body)

    async def _post_worker(self, endpoint, path, body):
        await self._post(self._fleet.workers[endpoint][0], path, body)

    async def _post(self, port, path, body):
        timeout = aiohttp.ClientTimeout(total=2.0)
        # Another fault may have taken the target down.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            url = f"http://127.0.0.1:{port}{path}"
            async with self._session.post(url, json=body, timeout=timeout) as resp:
                await resp.read()


def _revision_in(output):
    """Return the revision in the output of `dandelionctl`."""
    words = output.replace(":", " ").replace(",", " ").split()
    return int(words[words.index("revision") + 1])
