"""A fleet of daemons and workers in the event loop of a test."""

import argparse
import asyncio
import contextlib
import functools
import re

import aiohttp
from aiohttp import web

from dandelionarch.core.config import CONFIG_STREAM, Publication
from dandelionarch.core.world import Endpoint
from dandelionarch.daemon.app import Daemon
from dandelionarch.daemon.settings import Settings, make_settings
from dandelionarch.standin.log import LogStandin
from dandelionarch.standin.main import build_parser
from dandelionarch.standin.worker import WorkerStandin
from tests.support.fleet import (
    ALLOWANCES,
    CUSTOMER_KEY,
    PLANS,
    SHARED_KEY,
    free_ports,
)

AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
EXTRA_ROUTES = """
[route replace]
service = orders
path = /orders
methods = PUT
kind = replace
idempotent = false
budget_ms = 3000

[route amend]
service = orders
path = /orders
methods = PATCH
kind = amend
idempotent = true
budget_ms = 3000

[route head]
service = orders
path = /orders
methods = HEAD
kind = read
budget_ms = 3000
"""


async def two_daemons(fleet, **limits):
    """Start an ingress, "vm-a", and a second daemon for the workers, "vm-b"."""
    await fleet.daemon("vm-a", **limits)
    return await fleet.daemon("vm-b", **limits)


async def until(check, condition, limit_s=10.0):
    """Wait until `check()` is true; `condition` describes it in the error."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + limit_s
    while not check():
        if loop.time() > limit:
            raise AssertionError(f"condition not met within {limit_s} s: {condition}")
        await asyncio.sleep(0.01)


class LoopFleet:
    """Runs a log stand-in, daemons and workers in the test's event loop."""

    def __init__(self):
        self.daemons = {}
        self.workers = {}
        self.ports = {}
        self._runners = []
        self._servers = []
        # A connection that is collected after the loop has closed raises an error,
        # which may hit the code that runs at that moment.
        self._writers = set()
        self._log_port = free_ports(1)[0]

    async def __aenter__(self):
        args = build_parser().parse_args(["log", "--port", str(self._log_port)])
        self.log = LogStandin(args)
        await self.serve(self.log.app, self._log_port)
        return self

    async def __aexit__(self, *exc):
        for daemon in self.daemons.values():
            await daemon.stop()
        for runner in self._runners:
            await runner.cleanup()
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.close()

    async def serve(self, app, port):
        """Serve an aiohttp application until the end of the test."""
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self._runners.append(runner)

    async def daemon(self, vm, **limits):
        """Start a daemon that is announced to all others at once."""
        ingress, peer, gossip, admin = free_ports(4)
        section = {
            "vm": vm,
            "data_centre": "dc-1",
            "ingress_port": ingress,
            "peer_port": peer,
            "gossip_port": gossip,
            "admin_port": admin,
            "shared_key": SHARED_KEY,
            "log_url": f"http://127.0.0.1:{self._log_port}",
        }
        daemon = Daemon(make_settings(Settings, daemon=section, limits=limits))
        await daemon.start()
        if not self.daemons:
            lists = (PLANS, ALLOWANCES + EXTRA_ROUTES)
            pub = Publication(0, "test", lists)
            await daemon.streams.append(CONFIG_STREAM, pub.to_bytes())
        self.daemons[vm] = daemon
        for receiver in self.daemons.values():
            for announced in self.daemons.values():
                receiver.directory.put_vm(announced.vm)
        await until(lambda: daemon.active_config.lists, "configuration in force")
        return daemon

    async def worker(self, endpoint, vm, **options):
        """Start a worker stand-in beside a daemon."""
        port = free_ports(1)[0]
        parser = argparse.ArgumentParser()
        WorkerStandin.add_arguments(parser)
        parser.set_defaults(host="127.0.0.1", port=port)
        args = parser.parse_args(
            ["--endpoint", endpoint, "--service", "orders", "--daemon", "-"]
        )
        vars(args).update(options)
        worker = WorkerStandin(args)
        await self.serve(worker.app, port)
        self.workers[endpoint] = worker
        self.ports[endpoint] = port
        self.announce(endpoint, vm, port, slots=args.slots)
        return worker

    def announce(self, endpoint, vm, port, slots=3):
        """Announce an endpoint to every daemon."""
        record = Endpoint(
            endpoint, vm, "orders", "127.0.0.1", port, slots, 330, incarnation=1
        )
        for daemon in self.daemons.values():
            daemon.directory.put_endpoint(record)

    def url(self, vm, path="/orders/1"):
        """Return the URL of a path at a daemon's ingress."""
        return f"http://127.0.0.1:{self.daemons[vm].settings.daemon.ingress_port}{path}"

    async def raw_worker(self, endpoint, vm, handle):
        """Announce a worker that answers each request by `handle(reader, writer, n)`.

        `n` counts the requests from 0.

        Returns
        -------
        list of str
            The request lines that have arrived so far, in lower case.
        """
        requests = []

        async def serve(reader, writer):
            self._writers.add(writer)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                    match = re.search(r"content-length: (\d+)", head)
                    await reader.readexactly(int(match[1]) if match else 0)
                    requests.append(head.split("\r\n")[0])
                    await handle(reader, writer, len(requests) - 1)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        self.announce(endpoint, vm, server.sockets[0].getsockname()[1])
        return requests


def fleet_test(func):
    """Decorate an asynchronous test method to run with a fleet and a session."""

    @functools.wraps(func)
    def test(self):
        async def main():
            async with LoopFleet() as fleet:
                async with aiohttp.ClientSession(headers=AUTH) as session:
                    await func(self, fleet, session)

        asyncio.run(main())

    # Otherwise pytest would take the wrapped method's parameters for fixtures.
    del test.__wrapped__
    return test
