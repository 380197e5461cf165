"""Daemons on stand-ins of the platform, all in the event loop of the test."""

import asyncio
import functools
import json

import aiohttp
import yarl
from aiohttp import web

from dandelionarch.daemon.registry_app import Platform, RegistryDaemon
from dandelionarch.daemon.settings import RegistrySettings, make_settings
from dandelionarch.platform.config import OperatorConfig
from dandelionarch.platform.control import make_apps
from dandelionarch.platform.http_fields import PlatformCallers, PlatformDialect
from dandelionarch.platform.main import OPERATOR_TOPIC, REGISTRY_TOPIC
from dandelionarch.platform.store import StoreClient
from tests.support.fleet import SHARED_KEY, free_ports
from tests.support.path import until
from tests.support.platform.store import StoreStandin
from tests.support.platform.worker import HEALTH_PATH, WorkerStandin

HOST = "shop.example"


def route(service="orders", kind="safe", prefix="/orders/", **fields):
    """Return a route in the format of the operator's configuration."""
    defaults = {
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2,
    }
    if "traffic_split" not in fields:
        defaults["service"] = service
    return defaults | fields


ROUTES = {
    "read": route(),
    "order": route(kind="unsafe", prefix="/place/"),
}


def config(version, routes=None):
    """Return a configuration in the operator's format."""
    services = {"health_path": HEALTH_PATH, "max_connections": 330}
    body = {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": {"orders": services, "stock": services},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 26,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(body).encode()


class PlatformFleet:
    """A store, daemons and workers, with at most one worker per daemon's VM."""

    def __init__(self):
        self.store = StoreStandin()
        self.daemons = {}
        self.workers = {}
        self._clients = []
        self._runner = None
        self.store_port = free_ports(1)[0]

    async def __aenter__(self):
        self._runner = web.AppRunner(
            self.store.app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.store_port).start()
        return self

    async def __aexit__(self, *exc):
        for daemon in self.daemons.values():
            await daemon.stop()
        for client in self._clients:
            await client.stop()
        for worker in self.workers.values():
            worker.stop()
        await self._runner.cleanup()

    async def configure(self, version=1, routes=None):
        """Write a configuration and wait until all daemons have activated it."""
        await self.store.put(OPERATOR_TOPIC, "config", config(version, routes))
        for daemon in self.daemons.values():
            await until(
                lambda daemon=daemon: daemon.routing.revision == version,
                "configuration in force",
            )

    async def daemon(
        self,
        vm,
        service="orders",
        data_centre="dc-1",
        endpoint_address="",
        kill_after_s=30.0,
    ):
        """Start a daemon; `endpoint_address` is the HOST:PORT of a running endpoint."""
        callers, reports, readiness, peer = free_ports(4)
        settings = make_settings(
            RegistrySettings,
            daemon={"vm": vm, "data_centre": data_centre, "shared_key": SHARED_KEY},
            listen={
                "callers": f"127.0.0.1:{callers}",
                "reports": f"127.0.0.1:{reports}",
                "readiness": f"127.0.0.1:{readiness}",
                "peer_port": peer,
            },
            stop={"drain_s": 0.1, "kill_after_s": kill_after_s},
            endpoint={"service": service, "address": endpoint_address},
            store={"address": f"127.0.0.1:{self.store_port}"},
        )
        client = StoreClient("127.0.0.1", self.store_port)
        await client.start()
        self._clients.append(client)
        platform = Platform(
            client.topic(OPERATOR_TOPIC),
            OperatorConfig(),
            client.topic(REGISTRY_TOPIC),
            PlatformCallers(service),
            PlatformDialect(),
            make_apps,
        )
        daemon = RegistryDaemon(settings, platform)
        await daemon.start()
        self.daemons[vm] = daemon
        return daemon

    async def worker(
        self, vm, handle=None, service="orders", session=None, **report_fields
    ):
        """Start a worker on a daemon's VM and send one report of it."""
        worker = WorkerStandin(f"i-{vm}", handle)
        await worker.start()
        self.workers[worker.instance] = worker
        status = await self.report(
            session, vm, worker, service=service, **report_fields
        )
        assert status == 200
        for daemon in self.daemons.values():
            await until(
                lambda daemon=daemon: worker.instance in daemon.directory.endpoints,
                "worker known",
            )
        return worker

    async def report(
        self, session, vm, worker, service="orders", state="ready", sequence=1
    ):
        """Send a report of a worker to the daemon of its VM; return the status."""
        body = {
            "address": f"127.0.0.1:{worker.port}",
            "born": worker.born_ms,
            "info": {"service": service, "version": "v1", "zone": "z", "slots": 3},
            "status": {"state": state, "sequence": sequence, "cold_left_ms": 0},
        }
        host, port = self.daemons[vm].settings.listen.reports_address
        url = f"http://{host}:{port}/-/instances/{worker.instance}"
        async with session.put(url, json=body) as resp:
            return resp.status

    def url(self, vm, path="/orders/1"):
        """Return the URL of a path at the port that a daemon opens for callers."""
        host, port = self.daemons[vm].settings.listen.callers_address
        return f"http://{host}:{port}{path}"

    async def wait_for_links(self):
        """Wait until every daemon has a link to every other one."""
        for daemon in self.daemons.values():
            for vm in self.daemons:
                await until(
                    lambda daemon=daemon, vm=vm: daemon.network.is_up(vm), "link up"
                )


def caller_headers(request_id, deadline_ms=2000):
    """Return the header fields of a caller's request."""
    return {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Request-Deadline": str(deadline_ms),
    }


def platform_test(func):
    """Run an asynchronous test method with a fleet and a caller's session."""

    @functools.wraps(func)
    def test(self):
        async def main():
            async with PlatformFleet() as fleet:
                async with aiohttp.ClientSession() as session:
                    await func(self, fleet, session)

        asyncio.run(main())

    # Otherwise pytest takes the parameters of the wrapped method for fixtures.
    del test.__wrapped__
    return test


async def ask(session, fleet, vm, path="/orders/1", request_id="r-1", **kwargs):
    """Send a request and return (status, headers, body)."""
    method = kwargs.pop("method", "GET")
    deadline_ms = kwargs.pop("deadline_ms", 2000)
    fields = caller_headers(request_id, deadline_ms) | kwargs.pop("fields", {})
    url = yarl.URL(fleet.url(vm, path), encoded=True)
    async with session.request(method, url, headers=fields, **kwargs) as resp:
        return resp.status, resp.headers, await resp.read()
