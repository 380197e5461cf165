"""Detection of gray failures of one endpoint from the runs that its agent sees.

A CUSUM test per kind of work raises a suspicion. The evidence of peers over the same
window then decides whether the cause is the endpoint itself or shared with them.
"""

import itertools
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from dandelionarch.core.evidence import Evidence, Run, Summary, median_baseline

# The alternative hypotheses of the tests: 3 times slower, 10% failures.
SLOW_LOG_RATIO = math.log(3.0)
FAILURE_SHARE = 0.10
FAILURE_RATIO = 4.0
MAX_FAILURE_SHARE = 0.9
MIN_FAILURE_SHARE = 0.005
# Single runs may take 30 times longer than usual; the cap limits their weight.
CAP_SPREADS = 2.5
# Reached by three consecutive runs at the cap, which is all the evidence of a hang that
# an endpoint with 3 slots gives before the first deadline. Three slow runs of a healthy
# endpoint look the same, so a claim for slowness needs a second verdict. Failures have
# no such harmless cause, so a claim for failures does not.
ALARM_NATS = 9.0
CONFIRM_NATS = 6.0
SUSPICION_PEERS = 5
BASELINE_PEERS = 3
MAX_ALARM_RUNS = 256
BASELINE_WINDOW_S = 30.0
BASELINE_PERIOD_S = 10.0
FIRST_BASELINE_S = 2.0
MIN_BASELINE_COUNT = 10
MIN_PEER_COUNT = 2
MIN_PEERS = 3
REQUERY_DELAY_S = 0.25
QUERY_TIMEOUT_S = 3.0


class RunEnd(Enum):
    """How a run at an endpoint ended."""

    OK = "ok"
    FAILED = "failed"
    CUT_SHORT = "cut_short"
    REFUSED = "refused"


class Purpose(Enum):
    """Use that a query makes of the peers' evidence."""

    SUSPICION = "suspicion"
    BASELINE = "baseline"


@dataclass(frozen=True, slots=True)
class QueryPeers:
    """Command: ask up to `count` random peers for summaries of kinds of work.

    `cap_logs` holds the natural logarithm of each kind's cap in seconds.
    """

    query_id: int
    purpose: Purpose
    kinds: tuple
    cap_logs: tuple
    window_s: float
    count: int


@dataclass(frozen=True, slots=True)
class UnhealthyVerdict:
    """Command: the endpoint is unhealthy.

    `score` increases with the severity. `confirmed_by_peers` is True if the comparison
    with peers supports the verdict, and `claim_at_once` if the evidence suffices for a
    claim without a second verdict.
    """

    kinds: tuple
    score: float
    confirmed_by_peers: bool
    claim_at_once: bool


@dataclass(slots=True)
class Cusum:
    """A cumulative sum in nats that never falls below zero.

    `since` is when it last left zero, in seconds. `samples` holds (kind, log
    service time or None, failed) of the runs since then.
    """

    total: float = 0.0
    since: float = 0.0
    samples: deque = field(default_factory=lambda: deque(maxlen=MAX_ALARM_RUNS))

    def add(self, nats, now, kind, log_s, failed):
        """Add one observation."""
        if self.total <= 0.0:
            self.since = now
            self.samples.clear()
        self.total = max(0.0, self.total + nats)
        self.samples.append((kind, log_s, failed))


@dataclass(slots=True)
class CusumTests:
    """CUSUM tests for slow and failing runs of one kind of work or of all."""

    slow: Cusum = field(default_factory=Cusum)
    failing: Cusum = field(default_factory=Cusum)

    def alarm(self):
        """Return the `Cusum` that has raised an alarm, or None."""
        if self.failing.total >= ALARM_NATS:
            return self.failing
        return self.slow if self.slow.total >= ALARM_NATS else None


@dataclass(slots=True)
class KindState:
    """Evidence and tests of one kind of work."""

    evidence: Evidence = field(default_factory=Evidence)
    baseline: object = None
    tests: CusumTests = field(default_factory=CusumTests)

    def cap_log(self):
        """Return the logarithm of the service time at the cap."""
        base = self.baseline
        if base is None:
            return math.inf
        return base.median_log + CAP_SPREADS * base.spread_log


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An alarm that awaits the evidence of peers; `raised_at` is in seconds."""

    query_id: int
    kinds: tuple
    alarm: Cusum
    raised_at: float


def slow_nats(baseline, log_s):
    """Return the log likelihood ratio of a log service time, limited by the cap."""
    spread = baseline.spread_log
    excess = (log_s - baseline.median_log) / spread
    shift = SLOW_LOG_RATIO / spread
    return shift * (max(-CAP_SPREADS, min(CAP_SPREADS, excess)) - shift / 2)


def failure_nats(failure_share, failures, successes):
    """Return the log likelihood ratio of numbers of failures and successes."""
    baseline_share = min(max(failure_share, MIN_FAILURE_SHARE), MAX_FAILURE_SHARE / 2)
    alternative_share = min(
        max(FAILURE_SHARE, FAILURE_RATIO * baseline_share), MAX_FAILURE_SHARE
    )
    return failures * math.log(
        alternative_share / baseline_share
    ) + successes * math.log((1 - alternative_share) / (1 - baseline_share))


class Detector:
    """Detect slow or failing service of one endpoint.

    Its events are `on_run_started`, `on_run_ended`, `tick` and `on_peer_replies`; all
    but the first return a list of `QueryPeers` and `UnhealthyVerdict`.
    """

    def __init__(self, now):
        self.kinds = {}
        self._tests = CusumTests()
        self._runs = {}
        self._counted_runs = set()
        self._suspicion = None
        self._query_ids = itertools.count(1)
        self._next_baseline_at = now + FIRST_BASELINE_S
        self._requery_at = None
        self._no_alarm_until = now

    def on_run_started(self, run_id, kind, warm, now):
        """Record a run that has got a slot.

        `warm` is False during the endpoint's warm-up, when service times are no
        evidence of slowness.
        """
        run = self._runs[run_id] = Run(kind, now, warm)
        self.kinds.setdefault(kind, KindState()).evidence.start(run)

    def on_run_ended(self, run_id, end, now):
        """Handle the end of a run."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return []
        if end is RunEnd.REFUSED:
            self.kinds[run.kind].evidence.drop(run)
            return []
        run.ended = now
        run.failed, run.cut_short = end is RunEnd.FAILED, end is RunEnd.CUT_SHORT
        self.kinds[run.kind].evidence.end(run, now)
        # The service time of a run that was cut short is unknown.
        if run.cut_short or (run.counted and not run.failed):
            return []
        return self._observe(run, now)

    def tick(self, now):
        """Handle the passing of time; call it about every 0.1 s."""
        commands = []
        for run in self._runs.values():
            if not run.counted and run.warm and self._reached_cap(run, now):
                commands += self._observe(run, now)
        if self._requery_at is not None and now >= self._requery_at:
            self._requery_at = None
            commands.append(self._query(self._suspicion, now))
        if now >= self._next_baseline_at:
            known = all(state.baseline for state in self.kinds.values())
            period_s = BASELINE_PERIOD_S if self.kinds and known else FIRST_BASELINE_S
            self._next_baseline_at = now + period_s
            commands += self._query_baselines()
        return commands

    def is_good(self, run_id, end, now):
        """Return whether a run that is about to end was good, or None if unknown.

        It is also None for a run that the tests counted before their last restart, as
        the last verdict was based on it.
        """
        run = self._runs.get(run_id)
        if run is None or end is RunEnd.REFUSED or run_id in self._counted_runs:
            return None
        if end is RunEnd.FAILED or (run.warm and self._reached_cap(run, now)):
            return False
        return None if end is RunEnd.CUT_SHORT else True

    def restart(self):
        """Restart the tests without a suspicion, as after a change of state."""
        self._suspicion = self._requery_at = None
        self._no_alarm_until = 0.0
        self._tests = CusumTests()
        self._counted_runs = {
            run_id for run_id, run in self._runs.items() if run.counted
        }
        for state in self.kinds.values():
            state.tests = CusumTests()

    def summary(self, kind, cap_log, window_s, now):
        """Return the `Summary` of a kind of work for a peer."""
        state = self.kinds.get(kind)
        if state is None:
            return Summary()
        return state.evidence.summary(now - window_s, now, cap_log)

    def on_peer_replies(self, query, replies, now):
        """Handle the replies to a query: one dict of `Summary` by kind per peer."""
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
        slow, log_s = 0.0, None
        if run.warm and not run.failed:
            log_s = run.log_s(now)
            slow = slow_nats(baseline, log_s)
        for tests in (state.tests, self._tests):
            tests.failing.add(failing, now, run.kind, log_s, run.failed)
            tests.slow.add(slow, now, run.kind, log_s, run.failed)
        return self._suspect(run.kind, now)

    def _suspect(self, kind, now):
        if self._suspicion is not None or now < self._no_alarm_until:
            return []
        kinds, alarm = (kind,), self.kinds[kind].tests.alarm()
        if alarm is None:
            kinds, alarm = tuple(self.kinds), self._tests.alarm()
        if alarm is None:
            return []
        query_id = next(self._query_ids)
        self._suspicion = Suspicion(query_id, kinds, alarm, now)
        return [self._query(self._suspicion, now)]

    def _query(self, suspicion, now):
        return QueryPeers(
            suspicion.query_id,
            Purpose.SUSPICION,
            suspicion.kinds,
            tuple(self.kinds[kind].cap_log() for kind in suspicion.kinds),
            now - suspicion.alarm.since,
            SUSPICION_PEERS,
        )

    def _reached_cap(self, run, now):
        return run.log_s(now) >= self.kinds[run.kind].cap_log()

    def _judge(self, suspicion, replies, now):
        peers = self._usable_summaries(suspicion, replies)
        if replies and not peers and now - suspicion.raised_at < QUERY_TIMEOUT_S:
            self._requery_at = now + REQUERY_DELAY_S
            return []
        self._suspicion = None
        score = self._severity(suspicion.alarm)
        if not peers:
            self.restart()
            return [UnhealthyVerdict(suspicion.kinds, score, False, False)]
        slow, failing = self._compare(suspicion.alarm, peers)
        if max(slow, failing) >= CONFIRM_NATS:
            self.restart()
            return [
                UnhealthyVerdict(suspicion.kinds, score, True, failing >= CONFIRM_NATS)
            ]
        # A shared cause can last: the alarm is kept, and the queries become rarer.
        lasted_s = now - suspicion.alarm.since
        self._no_alarm_until = now + max(REQUERY_DELAY_S, lasted_s / 2)
        return []

    def _compare(self, alarm, peers):
        """Return the nats of an alarm's runs compared with the peers' medians."""
        slow, failing = 0.0, 0.0
        for kind, summaries in peers.items():
            usual = self.kinds[kind].baseline.raise_to_medians(summaries)
            runs = [(log_s, failed) for k, log_s, failed in alarm.samples if k == kind]
            failures = sum(failed for _, failed in runs)
            share = usual.failure_share
            failing += failure_nats(share, failures, len(runs) - failures)
            logs = [log_s for log_s, _ in runs if log_s is not None]
            slow += sum(slow_nats(usual, log_s) for log_s in logs)
        return slow, failing

    def _severity(self, alarm):
        """Return 10 times the failure share plus the mean log of the slowdown."""
        excess = [
            max(0.0, log_s - self.kinds[kind].baseline.median_log)
            for kind, log_s, _ in alarm.samples
            if log_s is not None
        ]
        share = sum(failed for *_, failed in alarm.samples) / len(alarm.samples)
        return 10 * share + (sum(excess) / len(excess) if excess else 0.0)

    def _usable_summaries(self, suspicion, replies):
        """Return the usable summaries by kind, for kinds with enough of them."""
        min_count = min(MIN_PEERS, len(replies))
        usable = {}
        for kind in suspicion.kinds:
            summaries = [r[kind] for r in replies if r[kind].count >= MIN_PEER_COUNT]
            if summaries and len(summaries) >= min_count and self.kinds[kind].baseline:
                usable[kind] = summaries
        return usable

    def _query_baselines(self):
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
            summaries = [
                r[kind] for r in replies if r[kind].timed >= MIN_BASELINE_COUNT
            ]
            if not summaries and state.baseline is None:
                own = state.evidence.summary(now - query.window_s, now)
                summaries = [own] if own.timed >= MIN_BASELINE_COUNT else []
            state.baseline = median_baseline(summaries) or state.baseline
