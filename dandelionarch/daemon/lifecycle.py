"""Start and stop of a daemon, independent of its parts."""

import asyncio
import contextlib
import functools
import logging
import time
from abc import ABC, abstractmethod

from dandelionarch.core.directory import Directory
from dandelionarch.daemon.listening import close_listener
from dandelionarch.daemon.runtime import run_steps, serve_app, supervise
from dandelionarch.daemon.stopping import StopRequest
from dandelionarch.errors import StartError, StopError
from dandelionarch.ids import Incarnation
from dandelionarch.logs import event

log = logging.getLogger(__name__)

STOP_POLL_PERIOD_S = 0.02


def new_incarnation():
    """Return the incarnation of a process that starts now."""
    # The digits below a millisecond serve as the random part.
    return Incarnation(time.time_ns() // 1_000)


class DaemonLifecycle(ABC):
    """Owns a daemon's servers and tasks; subclasses build its parts.

    Subclasses must set `network`, `agent`, `ingress` and `http`.

    Parameters
    ----------
    vm : Vm
        The VM of this daemon.

    Attributes
    ----------
    stop_request : StopRequest
        Set it to stop the daemon.
    """

    def __init__(self, vm):
        self.vm = vm
        self.vm_id = vm.vm_id
        self.directory = Directory()
        self.directory.put_vm(vm)
        self.stop_request = StopRequest()
        self._servers = []
        self._tasks = []

    @abstractmethod
    def _start_steps(self):
        """Return the coroutines that open ports and pools, by description."""

    @abstractmethod
    def _stop_steps(self):
        """Return the coroutines that close ports and pools, by description."""

    @abstractmethod
    def _task_functions(self):
        """Return the coroutine functions that run until the daemon stops."""

    async def drain(self):
        """Notify the peers, refuse new work, and finish the work in flight."""
        if not self.stop_request.is_set():
            self.stop_request.set()
        event(log, "daemon_stopping", vm=self.vm_id, in_flight=self.agent.in_flight)
        await self._drain(
            functools.partial(self.stop_request.has_time_left, self._stop_timeout_s)
        )

    @property
    @abstractmethod
    def _stop_timeout_s(self):
        """Return how many seconds a stop waits for work in flight."""

    @abstractmethod
    async def _drain(self, has_time):
        """Drain this kind of daemon; stop waiting once `has_time()` is false."""

    def _working_parts(self):
        """Return the parts whose work, counted by `in_flight`, a stop waits for."""
        return (self.agent, self.http)

    async def run(self):
        """Serve until a stop is requested, then shut down gracefully.

        Raises
        ------
        ExceptionGroup
            Holds a `StartError` or `StopError` for each part that failed.
        """
        await self.start()
        event(log, "daemon_started", vm=self.vm_id, incarnation=self.vm.incarnation)
        await self.stop_request.wait()
        await self.drain()
        await self.stop()
        event(log, "daemon_stopped", vm=self.vm_id)

    async def start(self):
        """Open all ports and start all tasks; raise all failures together."""
        errors = await run_steps(self._start_steps(), StartError)
        if errors:
            with contextlib.suppress(ExceptionGroup):
                await self.stop()
            raise ExceptionGroup("daemon could not start", errors)
        for run in self._task_functions():
            self._tasks.append(asyncio.create_task(supervise(run)))

    async def _serve(self, app, host, port, protocol=None):
        self._servers.append(await serve_app(app, host, port, protocol))

    async def _finish_work(self, has_time):
        """Wait until all work is done and sent, while `has_time()` is true."""
        while self._has_work() and has_time():
            await asyncio.sleep(STOP_POLL_PERIOD_S)

    def _has_work(self):
        """Return True while work is in flight or answers wait in send buffers."""
        in_flight = any(part.in_flight for part in self._working_parts())
        return in_flight or self.network.unsent_bytes() > 0

    async def _close_callers(self, has_time):
        """Close the listeners, and callers' connections after their last answer."""
        await asyncio.gather(*map(close_listener, self._servers))
        for server in self._servers:
            await self.http.close_idle(server, has_time)
        if self.agent.in_flight or self.http.in_flight:
            event(
                log,
                "stop_timeout",
                logging.ERROR,
                in_flight=self.agent.in_flight + self.http.in_flight,
            )

    async def stop(self):
        """Close all ports and links and cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        # The links that close end attempts, which would be sent again over other links.
        self.ingress.stop()
        errors = await run_steps(self._stop_steps(), StopError)
        if errors:
            raise ExceptionGroup("daemon did not stop properly", errors)

    def _peer_address(self, vm_id):
        """Return the peer address (host, port) of a VM, or None if it is unknown."""
        vm = self.directory.vms.get(vm_id)
        return None if vm is None else (vm.host, vm.peer_port)
