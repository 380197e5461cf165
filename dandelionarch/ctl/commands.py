"""All subcommands; those that talk to a daemon's admin port are defined here."""

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
    """The daemon did not do what it was asked."""


class AdminCommand(Command):
    """A command that asks one daemon's admin port."""

    def add_arguments(self, parser):
        parser.add_argument(
            "--daemon", required=True, help="admin address of a daemon, HOST:PORT"
        )

    async def fetch(self, args, path, method="GET"):
        """Return the JSON that the admin port answers."""
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
    """Show why a request went where it did."""

    name = "explain"
    help = "show why a request went where it did"
    epilog = (
        "Ask the daemon that the caller reached. It keeps the latest requests only.\n"
        "exit codes: 0 found, 1 not known to this daemon, 4 daemon not reached"
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
    """Tell a daemon to leave, or one of its workers to take no new work."""

    name = "drain"
    help = "tell a daemon to leave gracefully, or one of its workers to drain"
    epilog = (
        "examples:\n"
        "  dandelionctl drain --daemon 10.0.0.7:7003\n"
        "  dandelionctl drain --daemon 10.0.0.7:7003 --endpoint orders-4\n"
        "A daemon refuses new work, finishes what is in flight and stops. A worker\n"
        "gets no new work until it is restarted."
    )

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument(
            "--endpoint", help="worker beside the daemon; the daemon itself stays"
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
