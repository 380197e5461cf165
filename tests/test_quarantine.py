"""The verdict on requests that are present when endpoints crash."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core import quarantine
from dandelionarch.core.messages.request import Suspicions
from dandelionarch.core.quarantine import (
    ANSWERED_S,
    CRASHES_TO_QUARANTINE,
    MAX_SUSPECTS,
    QUARANTINE_S,
    Quarantine,
    request_fingerprint,
)
from dandelionarch.wire.codec import Codec

DEADLY = b"d" * 16
OTHER = b"o" * 16


def crash(agent, count, fingerprints=(DEADLY,), first=0, now=0.0):
    """Let endpoints crash; return what peers have to know of the last crash."""
    for number in range(first, first + count):
        news = agent.on_crash(b"c%07d" % number, "s", fingerprints, now)
    return news


class TestFingerprint:
    """A request is known again by its content, and by nothing else."""

    def fingerprint(self, **fields):
        """Return the digest of a request with some fields changed."""
        defaults = {
            "method": "POST",
            "host": "shop.example",
            "target": "/a/b?c",
            "credentials": "",
            "body": b"x",
        }
        return request_fingerprint(**(defaults | fields))

    def test_each_part_counts(self):
        """Guards against refusing harmless requests that resemble a deadly one."""
        changed = [
            self.fingerprint(),
            self.fingerprint(method="PUT"),
            self.fingerprint(host="shop.example/"),
            self.fingerprint(target="/a/b"),
            self.fingerprint(credentials="Bearer k"),
            self.fingerprint(body=b"xx"),
            self.fingerprint(target="/a/b?cx", body=b""),
        ]
        assert len(set(changed)) == len(changed)
        assert self.fingerprint() == self.fingerprint()


class TestVerdict:
    """Several crashes without an answer put a request into quarantine."""

    def test_request_that_crashes_each_endpoint_is_refused(self):
        """Guards against a request that crashes one endpoint after the other."""
        agent = Quarantine()
        crash(agent, CRASHES_TO_QUARANTINE - 1)
        assert agent.remaining_s(DEADLY, 0.0) == 0
        crash(agent, 1, first=CRASHES_TO_QUARANTINE)
        assert agent.remaining_s(DEADLY, 0.0) == QUARANTINE_S
        assert agent.remaining_s(OTHER, 0.0) == 0

    def test_request_that_is_answered_is_excused(self):
        """Guards against refusing a harmless request that was there each time."""
        agent = Quarantine()
        crash(agent, 20, (DEADLY, OTHER))
        agent.on_answered(OTHER, 1.0)
        assert agent.remaining_s(OTHER, 1.0) == 0
        assert agent.remaining_s(DEADLY, 1.0) > 0

    def test_popular_request_is_excused_beforehand(self):
        """Guards against refusing a popular request until one of its runs ends."""
        agent = Quarantine()
        agent.on_answered(OTHER, 0.0)
        crash(agent, 20, (OTHER,), now=ANSWERED_S - 1)
        assert agent.remaining_s(OTHER, ANSWERED_S) == 0

    def test_old_answer_does_not_excuse(self):
        """Guards against a request that a new version of the service can't bear."""
        agent = Quarantine()
        agent.on_answered(DEADLY, 0.0)
        now = 2 * ANSWERED_S
        crash(agent, CRASHES_TO_QUARANTINE, now=now)
        assert agent.remaining_s(DEADLY, now) > 0

    def test_quarantine_ends_and_doubles(self):
        """Guards against a verdict for ever, and against crashes at each return."""
        agent = Quarantine()
        crash(agent, CRASHES_TO_QUARANTINE)
        now = QUARANTINE_S + 1
        assert agent.remaining_s(DEADLY, now) == 0
        crash(agent, 1, first=9, now=now)
        assert agent.remaining_s(DEADLY, now) == 2 * QUARANTINE_S

    def test_table_is_bounded_and_keeps_the_quarantined(self):
        """Guards against unbounded memory: a caller may send any number of bodies."""
        agent = Quarantine()
        crash(agent, CRASHES_TO_QUARANTINE)
        for number in range(2 * MAX_SUSPECTS):
            crash(agent, 1, (b"%016d" % number,), first=100 + number, now=1.0)
        assert len(agent._suspects) <= MAX_SUSPECTS
        assert agent.remaining_s(DEADLY, 1.0) > 0

    def test_crashes_of_one_suspect_are_bounded(self):
        """Guards against messages that grow with each crash near a popular request."""
        agent = Quarantine()
        agent.on_answered(OTHER, 0.0)
        crash(agent, 1000, (OTHER,), now=1.0)
        suspicion = agent.on_crash(b"last", "s", [OTHER], 1.0)
        assert len(suspicion) <= 1
        assert all(
            len(s.crashes) <= quarantine.MAX_CRASHES_PER_SUSPECT for s in suspicion
        )


class TestAgreement:
    """Agents agree, in whatever order they learn of crashes and answers."""

    def test_verdict_survives_its_encoding(self):
        """Guards against a verdict that a daemon that starts later doesn't get."""
        first, second, codec = Quarantine(), Quarantine(), Codec()
        crash(first, CRASHES_TO_QUARANTINE)
        sent = Suspicions(tuple(first.suspicions(5.0)))
        received = codec.decode(*codec.encode(sent))
        assert received == sent
        for suspicion in received.suspicions:
            second.merge(suspicion, 1000.0)
        assert second.remaining_s(DEADLY, 1000.0) == QUARANTINE_S - 5.0

    def test_news_is_forwarded_once(self):
        """Guards against suspicions that go round for ever."""
        first, second = Quarantine(), Quarantine()
        (news,) = crash(first, 1)
        assert second.merge(news, 0.0)
        assert not second.merge(news, 0.0)
        assert not first.merge(news, 0.0)

    def test_excuse_is_not_undone_by_an_old_message(self):
        """Guards against a harmless request that is refused after all."""
        agent, late = Quarantine(), Quarantine()
        crash(late, CRASHES_TO_QUARANTINE, (OTHER,))
        old = late.suspicions(0.0)
        for suspicion in old:
            agent.merge(suspicion, 0.0)
        agent.on_answered(OTHER, 1.0)
        for suspicion in old:
            agent.merge(suspicion, 100.0)
        assert agent.remaining_s(OTHER, 100.0) == 0

    @given(
        st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=20), st.data()
    )
    def test_order_does_not_matter(self, steps, data):
        """Guards against two agents with different verdicts on one request."""
        agents = [Quarantine() for _ in range(4)]
        sent = []
        for number, (index, is_crash) in enumerate(steps):
            now = 100.0 * number
            if is_crash:
                sent += agents[index].on_crash(b"%08d" % number, "s", [DEADLY], now)
            else:
                sent += agents[index].on_answered(DEADLY, now)
        verdicts = []
        for _ in range(2):
            receiver = Quarantine()
            for suspicion in data.draw(st.permutations(sent)):
                receiver.merge(suspicion, 100.0 * len(steps))
            verdicts.append(receiver.crashes_of(DEADLY))
        assert verdicts[0] == verdicts[1]
