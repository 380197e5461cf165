"""Copies of the store's state between daemons, while the store is out of reach."""

import asyncio
import logging
import random

from dandelionarch.core.messages.registry import StateAnswer, StateQuery
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

PERIOD_S = 0.5
ASK_TIMEOUT_S = 0.5


class StateCopies:
    """Asks a peer for what it has while this daemon can't reach the store.

    The store may turn some daemons away while it serves others; one that starts then
    knows no peers, but they open links to it.

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
        network.subscribe(StateQuery, self._on_query)

    async def run(self):
        """Ask while the store is out of reach, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.8, 1.2))
            if all(follower.available for follower in self._followers):
                continue
            links = self._network.all_links()
            if links:
                await self._ask(self._rng.choice(links))

    async def _ask(self, link):
        try:
            answer = await link.ask(StateQuery(self._state.revision), ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "copy_missing", vm=link.vm_id, detail=exc)
            return
        self._state.take_copy(answer, link.vm_id)

    def _on_query(self, link, query):
        state = self._state
        value = state.config_value if state.revision > query.revision else b""
        return StateAnswer(value, state.entries())
