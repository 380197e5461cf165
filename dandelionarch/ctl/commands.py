"""Subcommands of `dandelionctl`, thin objects over the library."""

import json
import uuid
from abc import ABC, abstractmethod
from pathlib import Path

import aiohttp

from dandelionarch.core.config import CONFIG_STREAM, ConfigFold, Publication, Verdict
from dandelionarch.core.copy import StreamCopy
from dandelionarch.core.lists import parse_lists
from dandelionarch.core.parts import split
from dandelionarch.daemon.logclient import LogClient
from dandelionarch.errors import DandelionError, ListError
from dandelionarch.ids import RecordId

EXIT_LOST_RACE = 3


class DaemonUnreachableError(DandelionError):
    """The daemon's admin port did not answer."""

    exit_code = 4


class Command(ABC):
    """One subcommand."""

    name: str
    help: str

    def add_arguments(self, parser):
        """Add the command's own options."""

    @abstractmethod
    async def run(self, args):
        """Run the command and return the exit code."""


def _read(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ListError(path, "-", "-", str(exc)) from exc


async def read_config(client):
    """Fold the configuration stream and return (state, next offset)."""
    copy = StreamCopy(ConfigFold())
    while entries := await client.read(CONFIG_STREAM, copy.read_from):
        copy.feed(entries)
    return copy.fold.state, copy.next


class Check(Command):
    """Check both lists without publishing them."""

    name = "check"
    help = "check both lists without publishing them"

    def add_arguments(self, parser):
        parser.add_argument("plans", help="INI file of customers and their plans")
        parser.add_argument("allowances", help="INI file of services, routes, limits")

    async def run(self, args):
        lists = parse_lists(_read(args.plans), _read(args.allowances))
        print(f"ok: {len(lists.customers)} customers, {len(lists.routes)} routes")
        return 0


class Publish(Check):
    """Publish both lists and wait for the verdict."""

    name = "publish"
    help = "publish both lists and wait for the log's verdict"

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument("--log", required=True, help="URL of the log service")
        parser.add_argument("--author", default="operator")

    async def run(self, args):
        plans, allowances = _read(args.plans), _read(args.allowances)
        parse_lists(plans, allowances)
        client = LogClient(args.log)
        await client.start()
        try:
            state, _ = await read_config(client)
            record_id = RecordId(uuid.uuid4().hex)
            pub = Publication(record_id, state.revision, args.author, plans, allowances)
            for entry in split(record_id, pub.to_bytes()):
                await client.append(CONFIG_STREAM, entry)
            state, _ = await read_config(client)
        finally:
            await client.stop()
        verdict = state.verdicts[record_id]
        print(f"{verdict.value}: revision {state.revision} (record {record_id})")
        return 0 if verdict is Verdict.ACCEPTED else EXIT_LOST_RACE


class AdminCommand(Command):
    """A command that shows what one daemon's admin port answers."""

    def add_arguments(self, parser):
        parser.add_argument(
            "--daemon", required=True, help="admin address of a daemon, HOST:PORT"
        )

    async def fetch(self, args, path):
        """Return the JSON that the admin port answers."""
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(f"http://{args.daemon}{path}") as resp:
                    return await resp.json()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise DaemonUnreachableError(f"{args.daemon}: {exc}") from exc


class Status(AdminCommand):
    """Show a daemon's view of the fleet."""

    name = "status"
    help = "show a daemon's view of the fleet"

    async def run(self, args):
        print(json.dumps(await self.fetch(args, "/status"), indent=2))
        return 0


class Explain(AdminCommand):
    """Show why a request went where it did."""

    name = "explain"
    help = "show why a request went where it did"

    def add_arguments(self, parser):
        super().add_arguments(parser)
        parser.add_argument("request_id", help="value of Dandelion-Request-Id")

    async def run(self, args):
        events = await self.fetch(args, f"/explain/{args.request_id}")
        for fields in events:
            name = fields.pop("event")
            print(name, " ".join(f"{k}={v}" for k, v in fields.items()))
        return 0 if events else 1


COMMANDS = (Check(), Publish(), Status(), Explain())
