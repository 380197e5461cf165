"""Copies of the store's state between daemons, beside the store's own reads."""

import asyncio
import contextlib
import logging
import random

from dandelionarch.core.messages.registry import (
    ConfigNotice,
    StateAnswer,
    StateQuery,
)
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

PERIOD_S = 0.5
ASK_TIMEOUT_S = 0.5
# A daemon misses the notices of all others once in 3,000 times at this number,
# however many there are.
NOTICE_FANOUT = 8
# The daemon's own read brings the change within this time unless it is held up.
NOTICE_WAIT_S = 0.3


class StateCopies:
    """Asks a peer for what it has if this daemon's reads of the store are held up.

    The store may turn some daemons away while it serves others; one that starts then
    knows no peers, but they open links to it. A long read that began while the store
    was slow may miss a change; a peer's notice of a newer revision shows it.

    Parameters
    ----------
    network : PeerNetwork
    followers : sequence of Follower
        A copy is asked for while one of them is not available.
    state : object
        Has `revision`, `config_value` (the record in force), `entries()`, and takes
        what a peer has by `take_copy(answer, vm_id)`.
    rng : random.Random, optional
    """

    def __init__(self, network, followers, state, rng=None):
        self._network = network
        self._followers = followers
        self._state = state
        self._rng = rng or random.Random()
        self._asking = False
        network.subscribe(StateQuery, self._on_query)
        network.subscribe(ConfigNotice, self._on_notice)

    async def run(self):
        """Ask while the store is out of reach, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.8, 1.2))
            if all(follower.available for follower in self._followers):
                continue
            links = self._network.all_links()
            if links:
                await self._ask(self._rng.choice(links))

    def config_changed(self):
        """Tell some peers of the revision that has come into force here."""
        links = self._network.all_links()
        notice = ConfigNotice(self._state.revision)
        for link in self._rng.sample(links, min(NOTICE_FANOUT, len(links))):
            with contextlib.suppress(LinkError):
                link.send(notice)

    async def _on_notice(self, link, notice):
        if notice.revision <= self._state.revision:
            return
        await asyncio.sleep(NOTICE_WAIT_S)
        if notice.revision > self._state.revision and not self._asking:
            event(
                log,
                "config_behind",
                logging.WARNING,
                revision=self._state.revision,
                newer=notice.revision,
                vm=link.vm_id,
            )
            await self._ask(link)

    async def _ask(self, link):
        self._asking = True
        try:
            answer = await link.ask(StateQuery(self._state.revision), ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "copy_missing", vm=link.vm_id, detail=exc)
            return
        finally:
            self._asking = False
        self._state.take_copy(answer, link.vm_id)

    def _on_query(self, link, query):
        state = self._state
        value = state.config_value if state.revision > query.revision else b""
        return StateAnswer(value, state.entries())
