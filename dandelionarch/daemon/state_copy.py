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
# Links within the data centre and to others over which a change is told. Most daemons
# learn of a change by notices alone: at 16 from as many others, one in ten million
# misses all of them.
NEAR_NOTICES = 16
FAR_NOTICES = 4
# The daemon's own read brings the change within this time unless it is held up.
NOTICE_WAIT_S = 0.3


class StateCopies:
    """Takes from peers what this daemon's own reads of the store do not bring.

    A few daemons follow the store; the others learn of a change by notices and ask
    the sender for it. The store may turn some daemons away while it serves others;
    one that starts then knows no peers, but they open links to it. A long read that
    began while the store was slow may miss a change; a notice shows that too.

    Parameters
    ----------
    network : PeerNetwork
    followers : sequence of Follower
        A copy is asked for while one of them is not available.
    state : object
        Has `revision`, `config_value` (the record in force), `entries()`, and takes
        what a peer has by `take_copy(answer, vm_id)`.
    rng : random.Random, optional
    near : callable, optional
        `near(vm_id)` returns True for VMs of the own data centre.
    rests : callable, optional
        Returns True while this daemon does not follow the store itself.
    """

    def __init__(
        self,
        network,
        followers,
        state,
        rng=None,
        near=lambda vm_id: True,
        rests=lambda: False,
    ):
        self._network = network
        self._followers = followers
        self._state = state
        self._rng = rng or random.Random()
        self._near = near
        self._rests = rests
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
                await self._ask(self._rng.choice(links), entries=True)

    def config_changed(self):
        """Tell some peers of the revision that has come into force here."""
        links = {link.vm_id: link for link in self._network.all_links()}
        near = [link for vm_id, link in links.items() if self._near(vm_id)]
        far = [link for vm_id, link in links.items() if not self._near(vm_id)]
        told = self._sample(near, NEAR_NOTICES) + self._sample(far, FAR_NOTICES)
        notice = ConfigNotice(self._state.revision)
        for link in told:
            with contextlib.suppress(LinkError):
                link.send(notice)

    def _sample(self, links, count):
        return self._rng.sample(links, min(count, len(links)))

    async def _on_notice(self, link, notice):
        if notice.revision <= self._state.revision:
            return
        if not self._rests():
            await asyncio.sleep(NOTICE_WAIT_S)
        if notice.revision > self._state.revision and not self._asking:
            event(
                log,
                "config_behind",
                revision=self._state.revision,
                newer=notice.revision,
                vm=link.vm_id,
            )
            await self._ask(link)
            if notice.revision > self._state.revision:
                # The sender can't be asked; the store can.
                for follower in self._followers:
                    follower.read_soon()

    async def _ask(self, link, entries=False):
        self._asking = True
        query = StateQuery(self._state.revision, entries)
        try:
            answer = await link.ask(query, ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "copy_missing", vm=link.vm_id, detail=exc)
            return
        finally:
            self._asking = False
        self._state.take_copy(answer, link.vm_id)

    def _on_query(self, link, query):
        state = self._state
        value = state.config_value if state.revision > query.revision else b""
        return StateAnswer(value, state.entries() if query.entries else ())
