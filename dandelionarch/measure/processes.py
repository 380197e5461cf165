"""Starts and stops the programs as separate processes on the loopback address."""

import asyncio
import contextlib
import hashlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import time

import aiohttp

SHARED_KEY = "0123456789abcdef-test"
START_TIMEOUT_S = 20.0
CUSTOMER_KEY = "key-of-shop"
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 331

DAEMON_SETTINGS = """\
[daemon]
vm = {vm}
data_centre = {data_centre}
ingress_port = {ingress}
peer_port = {peer}
gossip_port = {gossip}
admin_port = {admin}
seeds = {seeds}
shared_key = {key}
log_url = http://127.0.0.1:{log}
"""

PLANS = f"""\
[customer shop]
key_digest = {hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()}
plan = gold
"""

ALLOWANCES = """\
[service orders]
floor = 50%

[route read]
service = orders
path = /orders
methods = GET
kind = read
budget_ms = 3000

[route create]
service = orders
path = /orders
methods = POST
kind = create
idempotent = false
budget_ms = 3000

[plan gold]
priority = 0

[allow gold orders]
rate = 1000
burst = 1000
"""


def _port_numbers():
    """Yield port numbers below the range of the kernel's ephemeral ports.

    Each process starts at another number, so that concurrent runs rarely collide.
    """
    size = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_PROCESS
    for number in itertools.count(start):
        yield FIRST_PORT + number % size


_PORTS = _port_numbers()


def free_ports(count):
    """Return distinct loopback ports that are free for TCP and UDP."""
    return list(itertools.islice(filter(_is_free, _PORTS), count))


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class DaemonProcess:
    """Ports and process of one daemon."""

    def __init__(self, vm, data_centre):
        self.vm = vm
        self.data_centre = data_centre
        self.ingress, self.peer, self.gossip, self.admin = free_ports(4)
        self.process = None


class Fleet:
    """A log stand-in, daemons and workers as separate processes.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    """

    def __init__(self, directory):
        self.directory = directory
        self.daemons = {}
        self.workers = {}
        self.log_port, self.log_control_port = free_ports(2)
        self.log_process = None
        self.processes = []

    def start_log(self, *options):
        """Start the log stand-in and wait until it listens.

        On a busy machine, a publication could otherwise fail because the log does
        not listen yet.
        """
        self.log_process = self._start(
            "log",
            "standin",
            "log",
            "--port",
            str(self.log_port),
            "--control-port",
            str(self.log_control_port),
            *options,
        )
        wait_until_listening(self.log_port)
        return self.log_process

    def start_daemon(self, vm, data_centre="dc-1", seeds=(), extra=""):
        """Start one daemon; `seeds` are the names of daemons already started."""
        path = self.write_settings(vm, data_centre, seeds, extra)
        daemon = self.daemons[vm]
        daemon.process = self._start(vm, "daemon", str(path))
        return daemon

    def write_settings(self, vm, data_centre="dc-1", seeds=(), extra=""):
        """Write the settings of one daemon and return their path."""
        daemon = self.daemons.get(vm) or DaemonProcess(vm, data_centre)
        self.daemons[vm] = daemon
        path = self.directory / f"{vm}.ini"
        path.write_text(
            DAEMON_SETTINGS.format(
                vm=vm,
                data_centre=data_centre,
                ingress=daemon.ingress,
                peer=daemon.peer,
                gossip=daemon.gossip,
                admin=daemon.admin,
                seeds=",".join(f"127.0.0.1:{self.daemons[s].peer}" for s in seeds),
                key=SHARED_KEY,
                log=self.log_port,
            )
            + extra
        )
        return path

    def start_worker(self, endpoint, service, vm, *options):
        """Start a worker of a daemon; return its port."""
        port = free_ports(1)[0]
        process = self._start(
            endpoint,
            "standin",
            "worker",
            "--port",
            str(port),
            "--endpoint",
            endpoint,
            "--service",
            service,
            "--daemon",
            f"127.0.0.1:{self.daemons[vm].admin}",
            *options,
        )
        self.workers[endpoint] = (port, process)
        return port

    def publish(self, plans=PLANS, allowances=ALLOWANCES):
        """Publish both lists by `dandelionctl` and return the finished process."""
        for name, text in (("plans.ini", plans), ("allowances.ini", allowances)):
            (self.directory / name).write_text(text)
        return self.ctl("publish", "plans.ini", "allowances.ini", "--log", self.log_url)

    @property
    def log_url(self):
        """Return the URL of the log stand-in."""
        return f"http://127.0.0.1:{self.log_port}"

    def ctl(self, *args):
        """Run `dandelionctl` and return the finished process."""
        return subprocess.run(
            [sys.executable, "-m", "dandelionarch.ctl.main", *args],
            cwd=self.directory,
            env=_environment(),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def start_ctl(self, *args):
        """Start `dandelionctl` and return the running process."""
        process = subprocess.Popen(
            [sys.executable, "-m", "dandelionarch.ctl.main", *args],
            cwd=self.directory,
            env=_environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process

    def start_load(self, ports, route, rate, duration_s):
        """Start `dandelion-load` with one route through several daemons."""
        targets = [f"--target=http://127.0.0.1:{port}" for port in ports]
        return self._start(
            "load",
            "load",
            *targets,
            *("--customer", f"shop={CUSTOMER_KEY}"),
            *("--route", route),
            *("--step", f"{rate}:{duration_s}"),
            *("--records", str(self.directory / "load.jsonl")),
        )

    async def set_log_faults(self, session, **faults):
        """Set the faults of the log stand-in; without arguments, clear all."""
        url = f"http://127.0.0.1:{self.log_control_port}/standin/faults"
        async with session.post(url, json=faults) as resp:
            assert resp.status == 200, await resp.text()

    def log_lines(self, name):
        """Return the log lines that a process has written."""
        return (self.directory / f"{name}.log").read_text().splitlines()

    def stop(self):
        """Kill every process that this fleet has started, by its id."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()

    def _start(self, name, program, *args):
        with open(self.directory / f"{name}.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", f"dandelionarch.{program}.main", *args],
                env=_environment(),
                stdout=out,
                stderr=out,
            )
        self.processes.append(process)
        return process

    async def wait_until(self, check, description):
        """Wait until the coroutine function `check` returns a true value; return it.

        Raises
        ------
        TimeoutError
            After `START_TIMEOUT_S`, with the `description` of what was waited for.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                if result := await check():
                    return result
            await asyncio.sleep(0.05)
        raise TimeoutError(f"timed out after {START_TIMEOUT_S} s: {description}")

    async def status(self, session, vm):
        """Return the status of one daemon."""
        url = f"http://127.0.0.1:{self.daemons[vm].admin}/status"
        async with session.get(url) as resp:
            return await resp.json()

    async def wait_until_ready(self, session, endpoints, revision=1):
        """Wait until every daemon knows the endpoints and the revision."""

        async def check():
            for vm in self.daemons:
                status = await self.status(session, vm)
                if status["revision"] < revision:
                    return False
                if not set(endpoints) <= set(status["endpoints"]):
                    return False
            return True

        await self.wait_until(check, "daemons know endpoints and configuration")


def _environment():
    root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    return {**os.environ, "PYTHONPATH": root}


def wait_until_listening(port):
    """Wait until a port of the loopback address accepts connections."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f"port {port} does not listen after {START_TIMEOUT_S} s")
