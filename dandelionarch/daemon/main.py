"""Entry point of `dandelion-daemon`."""

import argparse
import asyncio
import signal
import sys

from dandelionarch.daemon.app import Daemon
from dandelionarch.daemon.runtime import run_daemon
from dandelionarch.daemon.settings import read_settings
from dandelionarch.errors import DandelionError
from dandelionarch.logs import setup_logs


async def serve(settings):
    """Run a daemon until SIGTERM or SIGINT requests a stop."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, daemon.stop_request.set)
    await daemon.run()


def main(argv=None):
    """Run the command line and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="dandelion-daemon", description="Proxy daemon of one endpoint VM."
    )
    parser.add_argument("settings", help="settings file in INI format")
    args = parser.parse_args(argv)
    try:
        settings = read_settings(args.settings)
    except DandelionError as exc:
        print(f"dandelion-daemon: {exc}", file=sys.stderr)
        return exc.exit_code
    setup_logs(settings.logs.level, settings.logs.style)
    return run_daemon(serve(settings))


if __name__ == "__main__":
    sys.exit(main())
