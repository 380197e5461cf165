"""Entry point of the daemon on the users' platform."""

import asyncio
import os
import signal
import sys

from dandelionarch.daemon.registry_app import Platform, RegistryDaemon
from dandelionarch.daemon.runtime import run_daemon
from dandelionarch.daemon.settings import read_registry_settings, split_address
from dandelionarch.errors import DandelionError
from dandelionarch.logs import NonBlockingHandler, setup_logs
from dandelionarch.platform.config import OperatorConfig
from dandelionarch.platform.control import make_apps
from dandelionarch.platform.http_fields import PlatformCallers, PlatformDialect
from dandelionarch.platform.store import StoreClient

SETTINGS_PATH_VARIABLE = "DANDELIONARCH_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/dandelionarch/node.conf"
OPERATOR_TOPIC = "keyed.op"
REGISTRY_TOPIC = "keyed.fleet"


async def serve(settings):
    """Run the daemon until SIGTERM or SIGINT."""
    client = StoreClient(*split_address(settings.store.address))
    platform = Platform(
        client.topic(OPERATOR_TOPIC),
        OperatorConfig(),
        client.topic(REGISTRY_TOPIC),
        PlatformCallers(settings.endpoint.service),
        PlatformDialect(),
        make_apps,
    )
    daemon = RegistryDaemon(settings, platform)
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, daemon.stop_request.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await client.start()
    try:
        await daemon.run()
    finally:
        await client.stop()


def main():
    """Read the settings and run the daemon; return the exit code."""
    try:
        settings = read_registry_settings(
            os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)
        )
    except DandelionError as exc:
        print(f"dandelion-daemon: {exc}", file=sys.stderr)
        return exc.exit_code
    handler = NonBlockingHandler(sys.stdout.fileno())
    setup_logs(settings.logs.level, settings.logs.style, handler=handler)
    return run_daemon(serve(settings))
