"""Helpers that run a daemon: its event loop, tasks, start steps and HTTP servers."""

import asyncio
import logging
import sys
import uuid

import uvloop
from sanic import Sanic

log = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0
# Set explicitly for each route. Otherwise sanic parses the handler's source to guess
# the format, which takes 5 ms of a daemon's start.
ERROR_FORMAT = "json"


def run_daemon(coro):
    """Run a daemon's coroutine and return the program's exit code."""
    try:
        uvloop.run(coro)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            print(f"dandelion-daemon: {exc}", file=sys.stderr)
        return max(getattr(exc, "exit_code", 1) for exc in group.exceptions)
    return 0


async def supervise(run):
    """Run a part's task until cancelled; restart it if it fails.

    Without this, an exception in one part would end its task permanently, and the
    daemon would continue without, for example, its membership.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("task_failed", extra={"task": run.__qualname__})
        await asyncio.sleep(RESTART_DELAY_S)


async def run_steps(steps, error):
    """Await every step and return a list of failures as `error` instances.

    Parameters
    ----------
    steps : dict of str to coroutine
        Steps by the description that error messages show.
    error : type of DandelionError
    """
    errors = []
    for step, coro in steps.items():
        try:
            await coro
        except Exception as exc:
            step_error = error(f"{step}: {exc}")
            step_error.__cause__ = exc
            errors.append(step_error)
    return errors


def new_app(name):
    """Return a sanic application; a process may have several of the same name."""
    app = Sanic(f"{name}-{uuid.uuid4().hex[:8]}", configure_logging=False)
    # Sanic's touch-up rewrites protocol classes, which all applications of a process
    # share.
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
