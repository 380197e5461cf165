"""Limits task: gets customers' tokens from their home daemons and sheds load."""

import asyncio
import contextlib
import logging
import time

from dandelionarch.core.limit_share import LimitShares, Step
from dandelionarch.core.limits import LimitHome, LimitTable
from dandelionarch.core.messages.limits import TokenGrant, TokenRequest
from dandelionarch.core.outcome import Reason
from dandelionarch.core.rendezvous import HomeCache
from dandelionarch.core.shedding import LoadShedder
from dandelionarch.core.world import Vm
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# The limits may delay a request by 3 ms at the 99th percentile, which is enough for one
# exchange between data centres. A home that doesn't answer is given up after this time.
GRANT_TIMEOUT_S = 0.05
TICK_PERIOD_S = 1.0
# Simultaneous requests of a customer share exchanges, each of which asks for more
# concurrency than the one before, so a request may have to wait for several.
MAX_EXCHANGES = 6


class Limits:
    """Decides whether a request at this ingress is admitted, shed or over the limit.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    state : ActiveConfig
        Its `lists` are the accepted ones.
    rng : random.Random
    """

    def __init__(self, network, directory, state, rng):
        self._network = network
        self._directory = directory
        self._state = state
        self._rng = rng
        self._lists = None
        self._priorities = []
        self._exchanges = {}
        self._pending_replies = {}
        self._shares = LimitShares(rng)
        self._home = None
        self.shedder = LoadShedder()
        network.subscribe(TokenRequest, self._on_request)
        network.subscribe(TokenGrant, self._on_grant)
        directory.subscribe_changes(self._on_change)
        self._placement = HomeCache({network.vm_id})

    async def run(self):
        """Return unused tokens and renew others every second until cancelled."""
        while True:
            await asyncio.sleep(TICK_PERIOD_S)
            if not self._use_new_lists():
                continue
            now = self._network.now()
            for msg in self._shares.tick(now) + self._shares.prefetch(now, time.time()):
                self._send_to_home(msg)
            self._home.expire(now)

    async def admit(self, work):
        """Decide on a request.

        Returns
        -------
        key : tuple or None
            To be passed to `finish` when the request has ended; None if it is refused.
        reason : Reason or None
            Why the request is refused.
        retry_after_s : float
            Seconds until a retry may succeed.
        """
        self._use_new_lists()
        now = self._network.now()
        if self.shedder.should_shed(
            work.service, work.priority, self._priorities, now, self._rng
        ):
            return None, Reason.SHED, 0.0
        verdict = self._decide(work)
        for remaining in reversed(range(MAX_EXCHANGES)):
            if verdict.step is not Step.ASK:
                break
            shared = await self._ask(verdict)
            verdict = self._decide(work, after_reply=not shared or not remaining)
        if verdict.step is Step.REFUSE:
            return None, Reason.OVER_LIMIT, verdict.retry_after_s
        if verdict.message is not None:
            self._send_to_home(verdict.message)
        return verdict.key, None, 0.0

    def finish(self, key):
        """Record the end of an admitted request."""
        self._shares.on_request_ended(key)

    def _use_new_lists(self):
        """Apply the accepted lists if they are new; return False if there are none."""
        lists = self._state.lists
        if lists is not None and lists is not self._lists:
            self._lists = lists
            self._priorities = sorted({p.priority for p in lists.plans.values()})
            table = LimitTable(lists)
            self._shares.set_table(table)
            if self._home is None:
                self._home = LimitHome(self._network.vm_id, self._network.now())
                self._home.set_members(self._placement.members, self._network.now())
            self._home.set_table(table)
        return lists is not None

    def _on_change(self, member):
        if not isinstance(member, Vm):
            return
        living = {vm.vm_id for vm in self._directory.live_vms()}
        self._placement.set_members(living | {self._network.vm_id})
        if self._home is not None:
            self._home.set_members(living, self._network.now())

    def on_load_report(self, load):
        """Update the load shedder with an agent's `LoadReport`."""
        endpoint = self._directory.endpoints.get(load.endpoint_id)
        if endpoint is not None and load.slots:
            per_slot = (load.running + load.queued) / load.slots
            self.shedder.observe(endpoint.service, per_slot, self._network.now())

    def _decide(self, work, after_reply=False):
        return self._shares.admit(
            work.customer, work.service, self._network.now(), time.time(), after_reply
        )

    async def _ask(self, verdict):
        """Ask the home, or wait for its reply to another request of the customer.

        Returns
        -------
        bool
            True in the second case; the reply may not suffice for all requests.
        """
        fut = self._exchanges.get(verdict.key)
        shared = fut is not None
        if shared:
            self._shares.restore_unsent(verdict.message)
        else:
            fut = self._network.spawn(self._exchange(verdict.key, verdict.message))
            self._exchanges[verdict.key] = fut
            fut.add_done_callback(lambda _: self._exchanges.pop(verdict.key, None))
        await asyncio.shield(fut)
        return shared

    async def _exchange(self, key, msg):
        home = self._placement.home(key[0])
        if self._shares.is_home_silent(home, self._network.now()):
            self._shares.on_home_silent(home, msg, self._network.now())
            return
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[key] = reply
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                await self._network.send(home, msg)
                await reply
        except (LinkError, TimeoutError) as exc:
            self._shares.on_home_silent(home, msg, self._network.now())
            event(log, "limit_home_silent", vm=home, error=type(exc).__name__)
        finally:
            self._pending_replies.pop(key, None)

    def _send_to_home(self, msg):
        async def send():
            with contextlib.suppress(LinkError):
                await self._network.send(self._placement.home(msg.customer), msg)

        self._network.spawn(send())

    def _on_request(self, link, msg):
        if self._home is None:
            return
        grant = self._home.handle(msg, link.vm_id, self._network.now())
        if grant is not None:
            with contextlib.suppress(LinkError):
                link.send(grant)

    def _on_grant(self, link, msg):
        self._shares.on_grant(msg, self._network.now())
        reply = self._pending_replies.get((msg.customer, msg.service, msg.period))
        if reply is not None and not reply.done():
            reply.set_result(None)
