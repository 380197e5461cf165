"""Copies the store's state between daemons, in addition to their own reads."""

import asyncio
import contextlib
import logging
import random
from dataclasses import dataclass

from dandelionarch.core.keyed_log import NO_ERA
from dandelionarch.core.messages.registry import (
    ConfigNotice,
    RecordDelta,
    StateAnswer,
    StateQuery,
)
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

ASK_PERIOD_S = 0.5
ASK_TIMEOUT_S = 0.5
# Recipients of a change notice inside and outside the data centre. Most daemons learn
# of a change by notices alone. If each daemon of a data centre sends 16, the chance to
# miss all of them is e**-16, about one in ten million.
MAX_NEAR_NOTICES = 16
MAX_FAR_NOTICES = 4
# The daemon's own read returns the change within this time unless it is delayed.
NOTICE_WAIT_S = 0.3


@dataclass(frozen=True, slots=True)
class Announcement:
    """A revision that a peer has announced, and the link to that peer."""

    revision: int
    link: object


NOTHING_ANNOUNCED = Announcement(0, None)


class StateCopier:
    """Fetches from peers the state that this daemon's own reads of the store miss.

    A few daemons follow the store; the others learn of a change by notices and ask
    the sender for it. The store may refuse some daemons while it serves others; a
    daemon that starts meanwhile knows no peers, but they open links to it. A long poll
    that began while the store was slow may miss a change; a notice reveals that too.

    Parameters
    ----------
    network : PeerNetwork
    followers : sequence of Follower
        Peers are asked for a copy while one of these is not available.
    state : object
        Has `revision`, `store_era`, `config_history` (a `RecordHistory`), `entries()`,
        `apply_peer_state(answer, vm_id)`, and `check_store()`, which has the store read
        soon.
    rng : random.Random, optional
    is_near : callable, optional
        `is_near(vm_id)` returns True for VMs in this daemon's data centre.
    can_skip_reads : callable, optional
        Returns True while this daemon does not follow the store itself.
    """

    def __init__(
        self,
        network,
        followers,
        state,
        rng=None,
        is_near=lambda vm_id: True,
        can_skip_reads=lambda: False,
    ):
        self._network = network
        self._followers = followers
        self._state = state
        self._rng = rng or random.Random()
        self._is_near = is_near
        self._can_skip_reads = can_skip_reads
        self._is_asking = False
        self._announced = NOTHING_ANNOUNCED
        self._told_era = self._heard_era = NO_ERA
        network.subscribe(StateQuery, self._on_query)
        network.subscribe(ConfigNotice, self._on_notice)
        network.subscribe_link_opened(self._send_notice)

    async def run(self):
        """Ask random peers for their state while the store is unreachable."""
        while True:
            await asyncio.sleep(ASK_PERIOD_S * self._rng.uniform(0.8, 1.2))
            if all(follower.available for follower in self._followers):
                continue
            links = self._network.all_links()
            if links:
                await self._request_state(self._rng.choice(links), entries=True)
                await self._catch_up()

    def send_notices(self):
        """Announce revision and era to a random sample of peers."""
        links = {link.vm_id: link for link in self._network.all_links()}
        near = [link for vm_id, link in links.items() if self._is_near(vm_id)]
        far = [link for vm_id, link in links.items() if not self._is_near(vm_id)]
        recipients = self._sample(near, MAX_NEAR_NOTICES) + self._sample(
            far, MAX_FAR_NOTICES
        )
        for link in recipients:
            self._send_notice(link)

    def on_store_restored(self):
        """Have all topics read, and tell peers, once for each era of the store."""
        if self._state.store_era > self._told_era:
            self._told_era = self._state.store_era
            self._state.check_store()
            self.send_notices()

    def _send_notice(self, link):
        """Announce revision and era over one link.

        A link that opens needs this as well, as changes that were announced before are
        not announced again.
        """
        with contextlib.suppress(LinkError):
            link.send(ConfigNotice(self._state.revision, self._state.store_era))

    def _sample(self, links, count):
        return self._rng.sample(links, min(count, len(links)))

    def _on_era(self, era, vm_id):
        """Read the store if a peer has seen an era that this daemon has not.

        The peer's word proves nothing of this daemon's own reads and writes; the era of
        the store's reply does. A daemon that has read nothing yet reads in any case.
        """
        known = self._state.store_era
        if known == NO_ERA or era <= max(known, self._heard_era):
            return
        self._heard_era = era
        event(log, "era_behind", era=known, newer=era, vm=vm_id)
        self._state.check_store()

    async def _on_notice(self, link, notice):
        self._on_era(notice.store_era, link.vm_id)
        if notice.revision <= self._state.revision:
            return
        if not self._can_skip_reads():
            await asyncio.sleep(NOTICE_WAIT_S)
        if notice.revision <= self._state.revision:
            return
        event(
            log,
            "config_behind",
            revision=self._state.revision,
            newer=notice.revision,
            vm=link.vm_id,
            asks=not self._is_asking,
        )
        if notice.revision > self._announced.revision:
            self._announced = Announcement(notice.revision, link)
        if not self._is_asking:
            await self._catch_up()

    async def _catch_up(self):
        """Ask for the newest announced revision until this daemon has it.

        A notice that arrives during a question is answered by the next question, as
        the peer that is asked may have replied before it had that revision.
        """
        while self._announced.revision > self._state.revision:
            announced, self._announced = self._announced, NOTHING_ANNOUNCED
            await self._request_state(announced.link)
            if announced.revision > self._state.revision:
                # The sender did not provide the change, so read it from the store.
                for follower in self._followers:
                    follower.read_soon()

    async def _request_state(self, link, entries=False):
        self._is_asking = True
        query = StateQuery(self._state.revision, entries, accepts_delta=True)
        try:
            answer = await link.ask(query, ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "copy_missing", vm=link.vm_id, detail=exc)
            return
        finally:
            self._is_asking = False
        self._state.apply_peer_state(answer, link.vm_id)

    def _on_query(self, link, query):
        state = self._state
        entries = state.entries() if query.entries else ()
        config, delta = b"", RecordDelta()
        if state.revision > query.revision and query.accepts_delta:
            delta = state.config_history.delta_since(query.revision)
        elif state.revision > query.revision:
            config = state.config_history.newest
        return StateAnswer(config, entries, delta)
