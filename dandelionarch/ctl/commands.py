"""Subcommands that call a daemon's admin port, and the list of all subcommands."""

import json

import aiohttp

from dandelionarch.ctl.base import Command
from dandelionarch.ctl.publishing import Amend, Check, History, Publish, Show
from dandelionarch.errors import DandelionError

ADMIN_TIMEOUT_S = 5.0


class DaemonUnreachableError(DandelionError):
    """The daemon's admin port did not answer."""

    exit_code = 4


class DaemonRefusedError(DandelionError):
    """The daemon rejected a request."""


class AdminCommand(Command):
    """A command that calls the admin port of one daemon."""

    def add_arguments(self, parser):
        parser.add_argument(
            "--daemon", required=True, help="admin address of a daemon, HOST:PORT"
        )

    async def fetch(self, args, path, method="GET"):
        """Return the JSON body of the admin port's answer."""
        timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
        url = f"http://{args.daemon}{path}"
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(method, url) as resp:
                    body = await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = str(exc) or type(exc).__name__
            raise DaemonUnreachableError(f"{args.daemon}: {detail}") from exc
        if resp.status >= 400:
            raise DaemonRefusedError(f"{args.daemon}: {body.get('error', resp.status)}")
        return body


class Status(AdminCommand):
    """Show a daemon's view of the fleet."""

    name = "status"
    help = "show a daemon's view of the fleet"
    epilog = "example: dandelionctl status --daemon 10.0.0.7:7003"

    async def run(self, args):
        print(json.dumps(await self.fetch(args, "/status"), indent=2))
        return 0


class Explain(AdminCommand):
    """Show how a request was routed, and why."""

    name = "explain"
    help = "show how a request was routed, and why"
    epilog = (
        "Use the daemon that received the request. It keeps the latest requests only.\n"
        "exit codes: 0 found, 1 unknown to this daemon, 4 daemon unreachable"
    )

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument("request_id", help="value of Dandelion-Request-Id")

    async def run(self, args):
        events = await self.fetch(args, f"/explain/{args.request_id}")
        for fields in events:
            name = fields.pop("event")
            print(name, " ".join(f"{k}={v}" for k, v in fields.items()))
        return 0 if events else 1


class Drain(AdminCommand):
    """Make a daemon leave, or one of its workers take no new work."""

    name = "drain"
    help = "make a daemon leave gracefully, or drain one of its workers"
    epilog = (
        "examples:\n"
        "  dandelionctl drain --daemon 10.0.0.7:7003\n"
        "  dandelionctl drain --daemon 10.0.0.7:7003 --endpoint orders-4\n"
        "A daemon refuses new work, finishes requests in flight and stops. A worker\n"
        "gets no new work until it is restarted."
    )

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument(
            "--endpoint", help="worker on the daemon's VM; the daemon keeps running"
        )

    async def run(self, args):
        path = f"/drain/{args.endpoint}" if args.endpoint else "/drain"
        body = await self.fetch(args, path, "POST")
        print(f"draining: {body.get('endpoint') or 'daemon of ' + body['vm']}")
        return 0


COMMANDS = (
    Check(),
    Publish(),
    Amend(),
    Show(),
    History(),
    Status(),
    Explain(),
    Drain(),
)
