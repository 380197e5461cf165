"""Daemons as separate processes, started with the command of the deploy file."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

from aiohttp import web

from tests.support.platform.store import OPERATOR_TOPIC, StoreStandin

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
HEALTH_PATH = "/health"
START_TIMEOUT_S = 20.0
METRICS_PORT = 9464
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
# Bounds of a small deployment, from the sheet of kintaat-fi.
FIELDS = {
    "region": "fi-south",
    "bounds.budget_ratio": "0.2",
    "bounds.budget_slack": "56",
    "bounds.budget_window_s": "10",
    "bounds.grace_s": "6",
}


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


def route(service, prefix, kind, **fields):
    """Return a route as the operator writes it."""
    defaults = {
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return defaults | fields


def free_port(host):
    """Return a port of a loopback address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_hosts(count):
    """Return loopback addresses on which the port of the metrics is free."""
    while True:
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        hosts = [f"{net}.{number + 10}" for number in range(count)]
        try:
            for host in hosts:
                with socket.socket() as sock:
                    sock.bind((host, METRICS_PORT))
        except OSError:
            continue
        return hosts


class Daemon:
    """One VM: the addresses of its daemon, and the daemon's process."""

    def __init__(self, name, host, zone, service, directory, store):
        self.name = name
        self.host = host
        self.service = service
        self.callers_port = free_port(host)
        self.reports_port = free_port(host)
        self.ready_port = free_port(host)
        self.peer_port = free_port(host)
        self.app_port = free_port(host)
        self.process = None
        self._log_path = directory / f"{name}.log"
        self._settings_path = directory / f"{name}.conf"
        self._role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = self._role["daemon"]
        fields = FIELDS | {
            "node_name": name,
            "zone": zone,
            "ip": host,
            "listen_addrs.outbound": f"{host}:{self.callers_port}",
            "listen_addrs.control": f"{host}:{self.reports_port}",
            "listen_addrs.ready": f"{host}:{self.ready_port}",
            "internal_ports.0": str(self.peer_port),
            "app_addr": f"{host}:{self.app_port}",
            "service": service,
            "platform.address": store,
        }
        self._settings_path.write_text(self._fill(fields))

    def _fill(self, fields):
        """Return the settings template with its fields filled in."""
        text = (ROOT / self._role["template"]).read_text()

        def section(match):
            return match[2] if fields.get(match[1]) else ""

        text = re.sub(r"{{#([\w.]+)}}\n(.*?){{/\1}}\n", section, text, flags=re.DOTALL)
        return re.sub(r"{{([\w.]+)}}", lambda match: fields[match[1]], text)

    def start(self):
        """Start the daemon's process."""
        env = {n: os.environ[n] for n in PASSED_VARIABLES if n in os.environ}
        env |= self._role["env"]
        env["DANDELIONARCH_BOOT"] = str(self._settings_path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the daemon's process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the daemon's process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return True if the daemon says that callers may send requests."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    def log_text(self):
        """Return what the daemon has written so far."""
        return self._log_path.read_text(errors="replace")


class Fleet:
    """A store stand-in and the daemons of some VMs; ends all that it started."""

    def __init__(self, services, routes, zones=("espoo",)):
        self._services = services
        self._routes = routes
        self._zones = zones
        self.store = StoreStandin()
        self.daemons = []
        self.version = 0
        self._runner = None
        self._directory = tempfile.TemporaryDirectory(prefix="dandelionarch-review-")

    async def __aenter__(self):
        hosts = free_hosts(len(self._services) + 1)
        store_port = free_port(hosts[0])
        self._runner = web.AppRunner(
            self.store.app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, hosts[0], store_port).start()
        directory = Path(self._directory.name)
        for number, service in enumerate(self._services):
            zone = self._zones[number % len(self._zones)]
            daemon = Daemon(
                f"sidecar-{zone}-{number}",
                hosts[number + 1],
                zone,
                service,
                directory,
                f"{hosts[0]}:{store_port}",
            )
            self.daemons.append(daemon)
            daemon.start()
        await self.publish(self._routes)
        return self

    async def __aexit__(self, *exc):
        for daemon in self.daemons:
            daemon.kill()
        await self._runner.cleanup()
        self._directory.cleanup()

    async def publish(self, routes):
        """Write the next version of the configuration to the store."""
        self.version += 1
        options = {"health_path": HEALTH_PATH, "max_connections": 330}
        body = {
            "version": self.version,
            "routes": routes,
            "services": {name: options for name in set(self._services)},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        value = json.dumps(body).encode()
        await self.store.put(OPERATOR_TOPIC, "config", value)

    async def wait_until_ready(self, daemons=None):
        """Wait until the daemons are ready.

        Raises
        ------
        CannotRunError
            If one is not ready in time.
        """
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        for daemon in daemons or self.daemons:
            while not await daemon.is_ready():
                if asyncio.get_running_loop().time() > deadline:
                    raise CannotRunError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
