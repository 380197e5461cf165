"""Daemons fetch state from peers that their own reads of the store missed."""

import asyncio
import random

from dandelionarch.core.messages.registry import (
    ConfigNotice,
    RecordDelta,
    StateAnswer,
    StateQuery,
)
from dandelionarch.core.record_delta import RecordHistory
from dandelionarch.daemon import state_copy
from dandelionarch.daemon.state_copy import (
    MAX_FAR_NOTICES,
    MAX_NEAR_NOTICES,
    StateCopier,
)
from dandelionarch.errors import LinkDownError


class FakeLink:
    """Link to a peer that has a newer configuration."""

    def __init__(self, vm_id="vm-b"):
        self.vm_id = vm_id
        self.sent = []
        self.asked = []

    def send(self, msg):
        self.sent.append(msg)

    async def ask(self, msg, timeout_s):
        self.asked.append(msg)
        return StateAnswer(b"newer", ())


class FakeNetwork:
    """Network that stores the registered handlers."""

    def __init__(self, links=()):
        self.links = list(links)
        self.handlers = {}
        self.link_handlers = []

    def subscribe(self, msg_type, handler):
        self.handlers[msg_type] = handler

    def subscribe_link_opened(self, handler):
        self.link_handlers.append(handler)

    def all_links(self):
        return self.links


class State:
    """A daemon's state at revision 7."""

    def __init__(self):
        self.revision = 7
        self.store_era = 1
        self.store_checks = 0
        self.config_history = RecordHistory()
        self.config_history.add(6, b"six")
        self.config_history.add(7, b"seven")
        self.applied = []

    def entries(self):
        return ()

    def check_store(self):
        self.store_checks += 1

    def apply_peer_state(self, answer, vm_id):
        self.applied.append((answer.config, vm_id))


class TestNotices:
    """A notice brings a change to a daemon whose own read is delayed."""

    def deliver_notice(self, monkeypatch, revision, read_revision=None):
        """Deliver a notice of a revision; return (state, link).

        If `read_revision` is given, the daemon's own read returns it meanwhile.
        """
        monkeypatch.setattr(state_copy, "NOTICE_WAIT_S", 0.02)
        network, state, link = FakeNetwork(), State(), FakeLink()
        StateCopier(network, [], state)

        async def main():
            handling = network.handlers[ConfigNotice](link, ConfigNotice(revision))
            task = asyncio.ensure_future(handling)
            await asyncio.sleep(0)
            state.revision = read_revision or state.revision
            await task

        asyncio.run(main())
        return state, link

    def test_daemon_behind_asks_the_sender(self, monkeypatch):
        """Guards against an old configuration after a read that missed a change.

        On sengupta-lamps trouble-2, a long poll that began while the store was slow
        was answered 12 s after the change, with the next one.
        """
        state, link = self.deliver_notice(monkeypatch, 9)
        assert state.applied == [(b"newer", "vm-b")]
        assert link.asked == [StateQuery(7, accepts_delta=True)]

    def test_own_read_in_time_avoids_the_request(self, monkeypatch):
        """Guards against a request to a peer by every daemon at every change."""
        _, link = self.deliver_notice(monkeypatch, 9, read_revision=9)
        assert link.asked == []

    def test_older_notice_is_ignored(self, monkeypatch):
        """Guards against returning to the older revision of a slow peer."""
        _, link = self.deliver_notice(monkeypatch, 7)
        assert link.asked == []

    def test_notices_do_not_grow_with_the_fleet(self):
        """Guards against messages that grow with the square of the fleet."""
        links = [FakeLink(f"vm-{n}") for n in range(300)]
        near = {f"vm-{n}" for n in range(100)}
        copier = StateCopier(
            FakeNetwork(links), [], State(), random.Random(1), near.__contains__
        )
        copier.send_notices()
        are_near = [link.vm_id in near for link in links if link.sent]
        assert sum(len(link.sent) for link in links) == len(are_near)
        assert are_near.count(True) == MAX_NEAR_NOTICES
        assert are_near.count(False) == MAX_FAR_NOTICES

    def test_notice_during_a_question_is_followed_by_another(self):
        """Guards against missing a change announced while a peer is asked.

        Each peer announces a change once, and the one that is asked may have replied
        before it had the newer change.
        """

        class SlowLink(FakeLink):
            def __init__(self, vm_id, state, revision):
                super().__init__(vm_id)
                self._state, self._revision = state, revision

            async def ask(self, msg, timeout_s):
                self.asked.append(msg)
                await asyncio.sleep(0.01)
                self._state.revision = self._revision
                return StateAnswer(b"", ())

        network, state = FakeNetwork(), State()
        StateCopier(network, [], state, can_skip_reads=lambda: True)
        first, second = SlowLink("vm-b", state, 9), SlowLink("vm-c", state, 11)

        async def main():
            handle = network.handlers[ConfigNotice]
            await asyncio.gather(
                handle(first, ConfigNotice(9)), handle(second, ConfigNotice(11))
            )

        asyncio.run(main())
        assert [query.revision for query in first.asked + second.asked] == [7, 9]
        assert state.revision == 11

    def test_daemon_that_skips_reads_asks_at_once(self):
        """Guards against waiting for a read that this daemon does not make."""
        network, state, link = FakeNetwork(), State(), FakeLink()
        StateCopier(network, [], state, can_skip_reads=lambda: True)
        handle = network.handlers[ConfigNotice]
        asyncio.run(asyncio.wait_for(handle(link, ConfigNotice(9)), 0.1))
        assert state.applied == [(b"newer", "vm-b")]

    def test_store_is_read_if_the_sender_does_not_answer(self):
        """Guards against missing a change if the daemon that announced it is lost."""

        class UnreachableLink(FakeLink):
            async def ask(self, msg, timeout_s):
                raise LinkDownError("gone")

        class FollowerStub:
            reads = 0

            def read_soon(self):
                self.reads += 1

        network, follower = FakeNetwork(), FollowerStub()
        StateCopier(network, [follower], State(), can_skip_reads=lambda: True)
        asyncio.run(network.handlers[ConfigNotice](UnreachableLink(), ConfigNotice(9)))
        assert follower.reads == 1

    def test_answer_holds_only_a_newer_configuration(self):
        """Guards against sending the configuration to a daemon that has it."""
        network, state = FakeNetwork(), State()
        StateCopier(network, [], state)
        answer = network.handlers[StateQuery]
        reply = answer(FakeLink(), StateQuery(6, accepts_delta=True))
        assert reply.config == b""
        assert state.config_history.restore(reply.delta) == b"seven"
        reply = answer(FakeLink(), StateQuery(7, accepts_delta=True))
        assert reply.config == b""
        assert reply.delta == RecordDelta()

    def test_whole_record_for_a_daemon_that_accepts_no_difference(self):
        """Guards against an answer that a daemon of an earlier version can't read."""
        network = FakeNetwork()
        StateCopier(network, [], State())
        answer = network.handlers[StateQuery]
        assert answer(FakeLink(), StateQuery(6)).config == b"seven"
        assert answer(FakeLink(), StateQuery(6)).delta == RecordDelta()
        assert answer(FakeLink(), StateQuery(7)).config == b""

    def test_entries_are_sent_only_on_request(self):
        """Guards against sending the whole registry with every configuration."""
        network, state = FakeNetwork(), State()
        state.entries = lambda: ("entry",)
        StateCopier(network, [], state)
        answer = network.handlers[StateQuery]
        assert answer(FakeLink(), StateQuery(6)).entries == ()
        assert answer(FakeLink(), StateQuery(6, entries=True)).entries == ("entry",)


class TestStoreEra:
    """Daemons tell each other that the store has come back from an older copy."""

    def deliver_eras(self, state, *eras):
        """Deliver notices with these eras; return the number of checks."""
        network = FakeNetwork()
        StateCopier(network, [], state)
        for era in eras:
            notice = ConfigNotice(state.revision, era)
            asyncio.run(network.handlers[ConfigNotice](FakeLink(), notice))
        return state.store_checks

    def test_newer_era_has_the_store_read_once(self):
        """Guards against a read for each of the notices of a whole fleet."""
        assert self.deliver_eras(State(), 1, 2, 2, 1, 3, 3) == 2

    def test_first_read_is_not_repeated(self):
        """Guards against twice as many reads at the start of a fleet."""
        state = State()
        state.store_era = 0
        assert self.deliver_eras(state, 1) == 0

    def test_era_that_one_topic_shows_is_announced_once(self):
        """Guards against a topic whose reader rests, and a notice for each topic."""
        link, state = FakeLink(), State()
        copier = StateCopier(FakeNetwork([link]), [], state)
        state.store_era = 2
        copier.on_store_restored()
        copier.on_store_restored()
        assert link.sent == [ConfigNotice(7, 2)]
        assert state.store_checks == 1
