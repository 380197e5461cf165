"""Entry point of `dandelion-standin`."""

import argparse
import asyncio
import signal
import sys

import uvloop
from aiohttp import web

from dandelionarch.logs import setup_logs
from dandelionarch.standin.log import LogStandin
from dandelionarch.standin.worker import WorkerStandin


def build_parser():
    """Return the parser with one subcommand per stand-in."""
    parser = argparse.ArgumentParser(
        prog="dandelion-standin",
        description="Stand-ins for the platform's log and for endpoints (tests only).",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for cls in (LogStandin, WorkerStandin):
        sub = commands.add_parser(cls.name, help=cls.__doc__.splitlines()[0])
        sub.add_argument("--host", default="127.0.0.1")
        sub.add_argument("--port", type=int, required=True)
        cls.add_arguments(sub)
        sub.set_defaults(standin=cls)
    return parser


async def serve(standin, host, port):
    """Run a stand-in until SIGTERM or SIGINT, then stop it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    runner = web.AppRunner(
        standin.app, access_log=None, shutdown_timeout=30, handler_cancellation=True
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    await standin.on_start(runner, site)
    await stop.wait()
    await standin.on_stop()
    await runner.cleanup()


def main(argv=None):
    """Run one stand-in; return the exit code."""
    args = build_parser().parse_args(argv)
    setup_logs("INFO")
    uvloop.run(serve(args.standin(args), args.host, args.port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
