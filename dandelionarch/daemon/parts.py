"""Starting, supervising and stopping the parts of a daemon."""

import asyncio
import logging
import sys
import uuid

import uvloop
from sanic import Sanic

log = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
# Stated for each route, as sanic would parse the handler's source to guess it, which
# takes 5 ms of a daemon's start.
ERROR_FORMAT = "json"


def run_daemon(coro):
    """Run a daemon's coroutine to its end and return the program's exit code."""
    try:
        uvloop.run(coro)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            print(f"dandelion-daemon: {exc}", file=sys.stderr)
        return max(getattr(exc, "exit_code", 1) for exc in group.exceptions)
    return 0


async def supervise(run):
    """Run a part's task until cancelled; begin it again if it fails.

    Without this a fault in one part would end its task for good, and the daemon
    would go on without, say, its membership.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("task_failed", extra={"task": run.__qualname__})
        await asyncio.sleep(RESTART_DELAY_S)


async def run_steps(steps, error):
    """Await every step and return the failures, each as an `error`.

    Parameters
    ----------
    steps : dict of str to coroutine
    error : type of DandelionError
    """
    errors = []
    for what, coro in steps.items():
        try:
            await coro
        except Exception as exc:
            failure = error(f"{what}: {exc}")
            failure.__cause__ = exc
            errors.append(failure)
    return errors


def new_app(name):
    """Return a sanic application; several of a name may be in one process."""
    app = Sanic(f"{name}-{uuid.uuid4().hex[:8]}", configure_logging=False)
    # Specialised protocol classes are shared by all applications of a process.
    app.config.TOUCHUP = False
    return app


async def serve_app(app, host, port, protocol=None):
    """Serve a sanic application and return its server."""
    server = await app.create_server(
        host,
        port,
        return_asyncio_server=True,
        access_log=False,
        protocol=protocol,
    )
    await server.startup()
    await server.start_serving()
    return server
