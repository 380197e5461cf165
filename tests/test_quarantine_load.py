"""A request that crashes endpoints comes again and again, beside harmless ones.

A service has dozens of endpoints behind as many agents, each linked to a part of the
others. A popular request is at work almost everywhere; other requests come once. Now
and then endpoints crash for other causes.
"""

import random

from dandelionarch.core.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from tests.support.simulation import Simulation

AGENTS = 60
LINKS = 20
SLOTS = 3
WORK_S = 0.25
CRASH_AFTER_S = 0.08
RESTART_S = 3.0
LINK_S = 0.002
# Time in which every agent has to know of the crash that decides.
KNOWN_WITHIN_S = 3.0
LATER_RUNS = 3
MAX_ATTEMPTS = 2
POPULAR = b"popular"
DEADLY = b"deadly"


class Agent:
    """An agent and its endpoint."""

    def __init__(self, number):
        self.number = number
        self.quarantine = Quarantine()
        self.peers = []
        self.running = {}
        self.up_at = 0.0


class Service(Simulation):
    """A service, and the callers of deadly, popular and other requests.

    Attributes
    ----------
    runs : list of float
        Times at which the deadly request has begun to run.
    refused : dict
        Number of refusals by kind of request.
    """

    def __init__(self, seed, deadly_per_s, popular_per_s, others_per_s, crashes_per_s):
        super().__init__()
        self.rng = random.Random(seed)
        self.agents = [Agent(number) for number in range(AGENTS)]
        for agent in self.agents:
            for peer in self.rng.sample(self.agents, LINKS // 2):
                if peer is not agent:
                    agent.peers.append(peer)
                    peer.peers.append(agent)
        self.runs, self.crashes = [], []
        self.requests = {POPULAR: 0, DEADLY: 0, b"other": 0}
        self.refused = dict(self.requests)
        for rate_per_s, action in (
            (deadly_per_s, lambda: self.send(DEADLY)),
            (popular_per_s, lambda: self.send(POPULAR)),
            (others_per_s, lambda: self.send(b"other-%d" % self.rng.getrandbits(60))),
            (crashes_per_s, lambda: self.crash(self.rng.choice(self.agents))),
        ):
            if rate_per_s:
                self.call_at(0.0, self.repeat, rate_per_s, action)

    def repeat(self, rate_per_s, action):
        """Call an action again and again at random times."""
        action()
        self.call_at(
            self.now + self.rng.expovariate(rate_per_s), self.repeat, rate_per_s, action
        )

    def send(self, fingerprint, attempt=1):
        """Send a request to a random agent whose endpoint has a free slot."""
        free = [a for a in self.agents if self.has_slot(a)]
        if not free:
            return
        agent = self.rng.choice(free)
        kind = fingerprint if fingerprint in self.requests else b"other"
        self.requests[kind] += attempt == 1
        if agent.quarantine.remaining_s(fingerprint, self.now):
            self.refused[kind] += 1
            return
        run = object()
        agent.running[run] = (fingerprint, attempt)
        if fingerprint == DEADLY:
            self.runs.append(self.now)
            self.call_at(self.now + CRASH_AFTER_S, self.kill, agent, run)
        else:
            self.call_at(self.now + WORK_S, self.answer, agent, run)

    def has_slot(self, agent):
        """Return True if an agent's endpoint can run one more request."""
        return self.now >= agent.up_at and len(agent.running) < SLOTS

    def kill(self, agent, run):
        """Crash an endpoint by a request that it still runs."""
        if run in agent.running:
            self.crash(agent)

    def crash(self, agent):
        """Crash an endpoint; its requests are sent to others."""
        if not agent.running or self.now < agent.up_at:
            return
        self.crashes.append(self.now)
        agent.up_at = self.now + RESTART_S
        broken, agent.running = list(agent.running.values()), {}
        crash_id = b"%08d" % len(self.crashes)
        fingerprints = {fingerprint for fingerprint, _ in broken}
        self.spread(
            agent, agent.quarantine.on_crash(crash_id, "s", fingerprints, self.now)
        )
        for fingerprint, attempt in broken:
            if attempt < MAX_ATTEMPTS:
                self.call_at(self.now + LINK_S, self.send, fingerprint, attempt + 1)

    def answer(self, agent, run):
        """End a run with an answer."""
        if run in agent.running:
            fingerprint, _ = agent.running.pop(run)
            self.spread(agent, agent.quarantine.on_answered(fingerprint, self.now))

    def spread(self, agent, news):
        """Send news to an agent's peers, which forward what is new to them."""
        for suspicion in news:
            for peer in agent.peers:
                self.call_at(self.now + LINK_S, self.receive, peer, suspicion)

    def receive(self, agent, suspicion):
        """Deliver a suspicion."""
        self.spread(agent, agent.quarantine.merge(suspicion, self.now))


class TestDeadlyRequest:
    """A request that crashes each endpoint comes again at any VM."""

    def play(self, seed):
        """Play a minute of a deadly request beside harmless ones."""
        return Service(
            seed, deadly_per_s=2, popular_per_s=30, others_per_s=60, crashes_per_s=0.2
        ).run(60.0)

    def test_few_endpoints_are_lost(self):
        """Guards against an endpoint lost for each time that the request comes.

        Without a quarantine, two requests a second crash four endpoints a second.
        """
        for seed in range(5):
            service = self.play(seed)
            decided_at = service.runs[CRASHES_TO_QUARANTINE - 1] + CRASH_AFTER_S
            later = [t for t in service.runs if t > decided_at + KNOWN_WITHIN_S]
            assert len(later) <= LATER_RUNS
            assert service.refused[DEADLY] > 50

    def test_harmless_requests_beside_it_are_served(self):
        """Guards against refusing the requests that ran beside the deadly one."""
        for seed in range(5):
            service = self.play(seed)
            assert service.refused[POPULAR] == 0
            assert service.refused[b"other"] == 0

    def test_agent_that_starts_later_refuses_it(self):
        """Guards against a VM that joins and knows nothing of the verdict."""
        service = self.play(1)
        joined = Quarantine()
        for suspicion in service.agents[0].quarantine.suspicions(service.now):
            joined.merge(suspicion, service.now)
        assert joined.remaining_s(DEADLY, service.now) > 0


class TestOtherCrashes:
    """Endpoints crash for causes that lie in no request."""

    def test_no_request_is_refused_in_a_wave_of_crashes(self):
        """Guards against refusing what was running when endpoints crashed.

        More than one endpoint crashes each second, and each takes up to three requests
        with it, the popular one mostly among them.
        """
        for seed in range(5):
            service = Service(
                seed, deadly_per_s=0, popular_per_s=60, others_per_s=60, crashes_per_s=4
            ).run(60.0)
            assert len(service.crashes) > 60
            assert service.refused == {POPULAR: 0, DEADLY: 0, b"other": 0}

    def test_rare_requests_are_served_in_a_wave_of_crashes(self):
        """Guards against a verdict on too few crashes while nothing is popular."""
        for seed in range(5):
            service = Service(
                seed, deadly_per_s=0, popular_per_s=0.5, others_per_s=5, crashes_per_s=5
            ).run(60.0)
            assert service.refused[POPULAR] == 0
            assert service.refused[b"other"] == 0
