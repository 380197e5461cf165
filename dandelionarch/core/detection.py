"""Detection of gray failures of one endpoint from the runs that its agent sees.

A CUSUM test per kind of work raises a suspicion; the evidence of peers over the
same window decides whether the endpoint or a shared cause is behind it.
"""

import itertools
import math
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from dandelionarch.core.evidence import Evidence, Run, Summary, median_baseline

# The alternatives that the test is built for: 3 times slower, 10% failures.
SLOW_LOG = math.log(3.0)
FAILURE_SHARE = 0.10
FAILURE_RATIO = 4.0
MAX_FAILURE_SHARE = 0.9
MIN_FAILURE_SHARE = 0.005
# Stragglers run 30 times longer; the cap limits each to the weight of one run.
CAP_SPREADS = 2.5
# Three runs in a row at the cap: all that an endpoint with 3 slots shows of a hang
# before the first deadline. Three stragglers look alike, so a claim needs more.
ALARM_NATS = 9.0
# Two more at the cap, without a usual one between them.
PERSIST_NATS = 6.0
CONFIRM_NATS = 6.0
QUERY_PEERS = 5
BASELINE_PEERS = 3
BASELINE_WINDOW_S = 30.0
BASELINE_PERIOD_S = 10.0
FIRST_BASELINE_S = 2.0
MIN_BASELINE_COUNT = 10
MIN_PEER_COUNT = 2
ENOUGH_PEERS = 3
REQUERY_S = 0.25
QUERY_LIMIT_S = 3.0


class RunEnd(Enum):
    """How a run at an endpoint ended."""

    OK = "ok"
    FAILED = "failed"
    CUT_SHORT = "cut_short"
    REFUSED = "refused"


class Purpose(Enum):
    """What the evidence of peers is wanted for."""

    SUSPICION = "suspicion"
    BASELINE = "baseline"


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Command: ask up to `count` random peers for summaries of kinds of work.

    `cap_logs` has the cap of each kind as a logarithm of seconds.
    """

    query_id: int
    purpose: Purpose
    kinds: tuple
    cap_logs: tuple
    window_s: float
    count: int


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Command: the endpoint is worse than its peers.

    `score` is higher the worse it is; `compared` is False without peers.
    """

    kinds: tuple
    score: float
    compared: bool


@dataclass(slots=True)
class Cusum:
    """A cumulative sum in nats that never falls below zero."""

    total: float = 0.0
    since: float = 0.0

    def add(self, nats, now):
        """Add one observation."""
        if self.total <= 0.0:
            self.since = now
        self.total = max(0.0, self.total + nats)


@dataclass(slots=True)
class Tests:
    """The two tests of a kind of work, or of all kinds together."""

    slow: Cusum = field(default_factory=Cusum)
    failing: Cusum = field(default_factory=Cusum)

    def alarm(self, threshold):
        """Return the `Cusum` that has reached the threshold, or None."""
        if self.failing.total >= threshold:
            return self.failing
        return self.slow if self.slow.total >= threshold else None


@dataclass(slots=True)
class KindState:
    """Evidence and tests of one kind of work."""

    evidence: Evidence = field(default_factory=Evidence)
    baseline: object = None
    tests: Tests = field(default_factory=Tests)

    def cap_log(self):
        """Return the logarithm of the service time at the cap."""
        base = self.baseline
        if base is None:
            return math.inf
        return base.median_log + CAP_SPREADS * base.spread_log


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An alarm that waits for the evidence of peers."""

    query_id: int
    kinds: tuple
    since: float
    raised: float


def slow_nats(baseline, log_s):
    """Return the log likelihood ratio of a capped log service time."""
    spread = baseline.spread_log
    excess = (log_s - baseline.median_log) / spread
    shift = SLOW_LOG / spread
    return shift * (max(-CAP_SPREADS, min(CAP_SPREADS, excess)) - shift / 2)


def failure_nats(failure_share, failures, successes):
    """Return the log likelihood ratio of failures and successes."""
    usual = min(max(failure_share, MIN_FAILURE_SHARE), MAX_FAILURE_SHARE / 2)
    raised = min(max(FAILURE_SHARE, FAILURE_RATIO * usual), MAX_FAILURE_SHARE)
    return failures * math.log(raised / usual) + successes * math.log(
        (1 - raised) / (1 - usual)
    )


def nats_against(own, peers):
    """Return (nats of slowness, nats of failures) against the peers' median."""
    usual = median_baseline(peers)
    share = median(p.failure_share for p in peers)
    failing = failure_nats(share, own.failures, own.count - own.failures)
    if usual is None or not own.timed:
        return 0.0, failing
    return own.timed * slow_nats(usual, own.median_log), failing


def severity(own, baseline):
    """Return how unhealthy an endpoint is.

    This is ten times the failure share plus the logarithm of the slowdown.
    """
    slowdown = own.median_log - baseline.median_log if own.timed else 0.0
    return 10 * own.failure_share + max(0.0, slowdown)


class Detector:
    """Judges one endpoint.

    Events are `run_started`, `run_ended`, `tick` and `peers_replied`; each returns
    a list of `QueryPeers` and `Confirmed`.
    """

    def __init__(self, now):
        self.kinds = {}
        self.threshold = ALARM_NATS
        self._tests = Tests()
        self._runs = {}
        self._settled = set()
        self._suspicion = None
        self._query_ids = itertools.count(1)
        self._baseline_due = now + FIRST_BASELINE_S
        self._requery_due = None

    def run_started(self, run_id, kind, warm, now):
        """Take note of a run; without `warm` its service time is no evidence."""
        run = self._runs[run_id] = Run(kind, now, warm)
        self.kinds.setdefault(kind, KindState()).evidence.start(run)

    def run_ended(self, run_id, end, now):
        """Handle the end of a run."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return []
        if end is RunEnd.REFUSED:
            self.kinds[run.kind].evidence.drop(run)
            return []
        run.ended = now
        run.failed, run.cut = end is RunEnd.FAILED, end is RunEnd.CUT_SHORT
        self.kinds[run.kind].evidence.end(run, now)
        # A run that was cut short would have taken longer by an unknown time.
        if run.cut or (run.counted and not run.failed):
            return []
        return self._observe(run, now)

    def tick(self, now):
        """Handle the passing of time; call it about every 0.1 s."""
        commands = []
        for run in self._runs.values():
            if not run.counted and run.warm and self._reached_cap(run, now):
                commands += self._observe(run, now)
        if self._requery_due is not None and now >= self._requery_due:
            self._requery_due = None
            commands.append(self._query(self._suspicion, now))
        if now >= self._baseline_due:
            self._baseline_due = now + BASELINE_PERIOD_S
            commands += self._refresh()
        return commands

    def is_good(self, run_id, end, now):
        """Return True or False for a run that is about to end, None if unclear.

        A run that the tests counted before their last restart is unclear too: the
        verdict rests on it already.
        """
        run = self._runs.get(run_id)
        if run is None or end is RunEnd.REFUSED or run_id in self._settled:
            return None
        if end is RunEnd.FAILED or (run.warm and self._reached_cap(run, now)):
            return False
        return None if end is RunEnd.CUT_SHORT else True

    def restart(self, threshold=None):
        """Forget suspicions, and use another threshold from now on if given."""
        self.threshold = threshold or self.threshold
        self._suspicion = self._requery_due = None
        self._tests = Tests()
        self._settled = {run_id for run_id, run in self._runs.items() if run.counted}
        for state in self.kinds.values():
            state.tests = Tests()

    def summary(self, kind, cap_log, window_s, now):
        """Return the `Summary` that a peer asks for."""
        state = self.kinds.get(kind)
        if state is None:
            return Summary()
        return state.evidence.summary(now - window_s, now, cap_log)

    def peers_replied(self, query, replies, now):
        """Handle the replies: one dict of `Summary` by kind per peer."""
        if query.purpose is Purpose.BASELINE:
            self._use_baselines(query, replies, now)
            return []
        suspicion = self._suspicion
        if suspicion is None or suspicion.query_id != query.query_id:
            return []
        return self._judge(suspicion, replies, now)

    def _observe(self, run, now):
        """Add a run to the tests of its kind and of all kinds."""
        state = self.kinds[run.kind]
        baseline = state.baseline
        run.counted = True
        if baseline is None:
            return []
        failing = failure_nats(baseline.failure_share, run.failed, not run.failed)
        slow = 0.0
        if run.warm and not run.failed:
            slow = slow_nats(baseline, run.log_s(now))
        for tests in (state.tests, self._tests):
            tests.failing.add(failing, now)
            tests.slow.add(slow, now)
        return self._suspect(run.kind, now)

    def _suspect(self, kind, now):
        if self._suspicion is not None:
            return []
        kinds, alarm = (kind,), self.kinds[kind].tests.alarm(self.threshold)
        if alarm is None:
            kinds, alarm = tuple(self.kinds), self._tests.alarm(self.threshold)
        if alarm is None:
            return []
        query_id = next(self._query_ids)
        self._suspicion = Suspicion(query_id, kinds, alarm.since, now)
        return [self._query(self._suspicion, now)]

    def _query(self, suspicion, now):
        return QueryPeers(
            suspicion.query_id,
            Purpose.SUSPICION,
            suspicion.kinds,
            tuple(self.kinds[kind].cap_log() for kind in suspicion.kinds),
            now - suspicion.since,
            QUERY_PEERS,
        )

    def _reached_cap(self, run, now):
        return run.log_s(now) >= self.kinds[run.kind].cap_log()

    def _judge(self, suspicion, replies, now):
        peers = self._comparable(suspicion, replies)
        if replies and not peers and now - suspicion.raised < QUERY_LIMIT_S:
            self._requery_due = now + REQUERY_S
            return []
        own = {
            kind: state.evidence.summary(suspicion.since, now, state.cap_log())
            for kind, state in self.kinds.items()
            if kind in suspicion.kinds
        }
        self._suspicion = None
        score = max(
            severity(own[kind], self.kinds[kind].baseline)
            for kind in own
            if self.kinds[kind].baseline
        )
        if not peers:
            self.restart()
            return [Confirmed(suspicion.kinds, score, False)]
        nats = [nats_against(own[kind], told) for kind, told in peers.items()]
        total = max(sum(n[0] for n in nats), sum(n[1] for n in nats))
        self.restart()
        if total >= CONFIRM_NATS:
            return [Confirmed(suspicion.kinds, score, True)]
        # A shared cause: test against what the peers show now.
        for kind, told in peers.items():
            state = self.kinds[kind]
            state.baseline = median_baseline(told) or state.baseline
        return []

    def _comparable(self, suspicion, replies):
        """Return the usable summaries by kind, for kinds with enough of them."""
        enough = min(ENOUGH_PEERS, len(replies))
        out = {}
        for kind in suspicion.kinds:
            told = [r[kind] for r in replies if r[kind].count >= MIN_PEER_COUNT]
            if told and len(told) >= enough and self.kinds[kind].baseline:
                out[kind] = told
        return out

    def _refresh(self):
        if not self.kinds:
            return []
        return [
            QueryPeers(
                next(self._query_ids),
                Purpose.BASELINE,
                tuple(self.kinds),
                (math.inf,) * len(self.kinds),
                BASELINE_WINDOW_S,
                BASELINE_PEERS,
            )
        ]

    def _use_baselines(self, query, replies, now):
        for kind in query.kinds:
            state = self.kinds[kind]
            told = [r[kind] for r in replies if r[kind].timed >= MIN_BASELINE_COUNT]
            if not told and state.baseline is None:
                own = state.evidence.summary(now - query.window_s, now)
                told = [own] if own.timed >= MIN_BASELINE_COUNT else []
            state.baseline = median_baseline(told) or state.baseline
