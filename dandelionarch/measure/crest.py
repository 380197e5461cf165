"""Measures the service at a crest: demand rises tenfold within 2 s, beyond capacity.

Eight workers with three slots each serve three plans. Refused callers return after the
time in `Retry-After`. The results are compared with an omniscient scheduler, which
knows all arrivals and mean costs, but not the service times of single requests. It
serves the highest plan first, within a plan the cheapest kind, and leaves no slot idle.
"""

import argparse
from collections import Counter, deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from dandelionarch.core import selection
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.retries import RetryAfterSchedule, RetryBudget
from dandelionarch.core.shedding import LoadShedder
from dandelionarch.measure.blocking import (
    PLAIN_OPTIONS,
    PROCESSES,
    SLOTS,
    WORKERS,
    NoRedirects,
    fifo_queue,
    make_cost_queue,
    mean_service_s,
    print_table,
    unbounded_fifo_queue,
    without_queue_rule,
    without_stage,
)
from dandelionarch.measure.model import Model
from dandelionarch.measure.options import (
    FreeRetries,
    NoDetector,
    NoHedging,
    Options,
    UniformReturns,
    crest_rate,
)
from dandelionarch.measure.workers import Kind

NAME = "crest"
HELP = "service at a crest, by plan"

PLANS = {"gold": 0.2, "silver": 0.3, "bronze": 0.5}
KINDS = tuple(
    Kind(f"{plan}/{work}", median_s, share=share * work_share, priority=priority)
    for priority, (plan, share) in enumerate(PLANS.items())
    for work, median_s, work_share in (("remind", 0.04, 0.95), ("digest", 0.3, 0.05))
)
GOLD = tuple(
    replace(k, share=k.share / PLANS["gold"] if k.priority == 0 else 0.0) for k in KINDS
)
DEMANDS = {
    "1.5x": (1.5, KINDS),
    "3x": (3.0, KINDS),
    "2x, gold only": (2.0, GOLD),
}
CREST_FACTOR = 10.0
CREST_START_S, CREST_DURATION_S = 15.0, 12.0
BIN_S = 0.1
CALLER_ROUND_TRIP_S = 0.016


class Shedding:
    """Sheds load at each ingress of a model based on the reports of agents."""

    def __init__(self):
        self._shedders = {}

    def __call__(self, ingress, work, now):
        shedder, last_report_s = self._shedders.setdefault(
            ingress.vm_id, (LoadShedder(), Counter())
        )
        for endpoint_id, (reported_s, load, _) in ingress.loads.items():
            if reported_s > last_report_s[endpoint_id]:
                last_report_s[endpoint_id] = reported_s
                per_slot = (load.running + load.queued) / load.slots
                shedder.observe("service", per_slot, reported_s)
        if shedder.should_shed("service", work.priority, (0, 1, 2), now, ingress.rng):
            return Reason.SHED
        return None


def no_shedding(ingress, work, now):
    """Admit every request."""
    return None


class FreeRedirects(FreeRetries):
    """Retries, and redirects from busy endpoints, without a budget."""

    def reserve(self, now):
        return lambda: None


class FixedReturns:
    """Asks every refused caller to return after 2 s."""

    def on_answer(self, now):
        """Ignore an answer."""

    def retry_after_s(self, now, rng, min_s):
        """Return 2.0, whatever the load."""
        return 2.0


BASELINE_OPTIONS = {
    "make_retries": FreeRetries,
    "make_returns": UniformReturns,
    "admit": no_shedding,
}
ROWS = {
    "random, FIFO": {
        **PLAIN_OPTIONS,
        **BASELINE_OPTIONS,
        "make_policy": selection.RandomChoice,
    },
    "round robin, FIFO": {
        **PLAIN_OPTIONS,
        **BASELINE_OPTIONS,
        "make_policy": selection.RoundRobin,
    },
    "plain two choices, FIFO": {
        **PLAIN_OPTIONS,
        **BASELINE_OPTIONS,
        "make_policy": selection.PlainTwoChoices,
    },
    "plain two choices, unbounded FIFO": {
        **PLAIN_OPTIONS,
        **BASELINE_OPTIONS,
        "make_policy": selection.PlainTwoChoices,
        "make_queue": unbounded_fifo_queue,
    },
    "all rules": {},
    "FIFO queue": {"make_queue": fifo_queue},
    "no plans in the queue": without_queue_rule("priorities"),
    "no refusal of late work": without_queue_rule("refuse_late"),
    "no shortest first": without_queue_rule("shortest_first"),
    "no slot closed to long work": without_queue_rule("short_slot"),
    "no ageing": without_queue_rule("ageing"),
    "no shedding": {"admit": no_shedding},
    "no shedding, no plans in the queue": {
        **without_queue_rule("priorities"),
        "admit": no_shedding,
    },
    "no retry budget": {"make_retries": FreeRedirects},
    "no second attempt beside stragglers": {"make_hedging": NoHedging},
    "no redirect from busy endpoints": {"make_retries": NoRedirects},
    "returns within 1 to 3 s": {"make_returns": UniformReturns},
    "returns after 2 s": {"make_returns": FixedReturns},
    "no ageing of reports": without_stage("age_reports"),
    "no stage for full endpoints": without_stage("not_full"),
    "no preference for near ones": without_stage("near_first"),
}


class ReturningCallers:
    """Repeats requests after their `Retry-After` and records the times."""

    def __init__(self):
        self.model = None
        self.times = []
        self._returned = Counter()

    def __call__(self, ingress, kind, retry_after_s):
        timers = self.model.timers
        now = timers.now()
        if now < CREST_START_S or len(self.times) > 20_000:
            return

        def send_again():
            self.times.append(timers.now())
            ingress.start_request(kind)

        timers.subscribe(retry_after_s, send_again)


def build(demand, seed, **changes):
    """Return (model, callers, capacity in requests/s) for one of `DEMANDS`."""
    load, kinds = DEMANDS[demand]
    capacity = WORKERS * SLOTS / mean_service_s(kinds)
    rate = crest_rate(
        load * capacity / CREST_FACTOR,
        CREST_FACTOR,
        CREST_START_S,
        duration_s=CREST_DURATION_S,
    )
    callers = ReturningCallers()
    options = Options(
        workers=WORKERS,
        slots=SLOTS,
        kinds=kinds,
        rate=rate,
        seed=seed,
        make_queue=make_cost_queue,
        make_retries=RetryBudget,
        make_returns=RetryAfterSchedule,
        make_detector=NoDetector,
        admit=Shedding(),
        on_refused=callers,
    )
    model = Model(replace(options, **changes))
    callers.model = model
    return model, callers, capacity


def run_omniscient_scheduler(arrivals, start_s, end_s):
    """Return (answerable requests by plan, their total work in seconds).

    Parameters
    ----------
    arrivals : list of (float, str)
        Time in seconds and name of the kind of each request.
    """
    costs = {k.name: mean_service_s((k,)) for k in KINDS}
    budget_s = KINDS[0].budget_s
    queues, served, busy_s = {kind.name: deque() for kind in KINDS}, Counter(), 0.0
    arrivals = deque(sorted(arrivals))
    for step in range(int((end_s + budget_s - start_s) / BIN_S)):
        now = start_s + (step + 1) * BIN_S
        while arrivals and arrivals[0][0] < now:
            arrival_s, kind = arrivals.popleft()
            queues[kind].append([arrival_s, costs[kind]])
        remaining_s = WORKERS * SLOTS * BIN_S
        for kind, queue in queues.items():
            while queue and remaining_s > 0:
                if queue[0][0] + budget_s < now:
                    queue.popleft()
                    continue
                used_s = min(remaining_s, queue[0][1])
                remaining_s -= used_s
                busy_s += used_s
                queue[0][1] -= used_s
                if queue[0][1] <= 1e-9:
                    queue.popleft()
                    served[kind.split("/")[0]] += 1
    return served, busy_s


def percentile(values, share):
    """Return a percentile of some values, 0 if there are none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def measure(demand, seed, changes):
    """Return the metrics of one run."""
    model, callers, capacity = build(demand, seed, **changes)
    end_s = CREST_START_S + CREST_DURATION_S
    model.run(end_s + 25.0)
    crest_results = [r for r in model.results if CREST_START_S <= r.started_s < end_s]
    costs = {k.name: mean_service_s((k,)) for k in KINDS}
    work_s = sum(costs[r.kind] for r in crest_results if r.outcome is Outcome.ANSWER)
    possible_counts, possible_work_s = run_omniscient_scheduler(
        [(r.started_s, r.kind) for r in crest_results], CREST_START_S, end_s
    )
    answered_counts = Counter(
        r.kind.split("/")[0] for r in crest_results if r.outcome is Outcome.ANSWER
    )
    refusals = [
        1000 * (r.latency_s - CALLER_ROUND_TRIP_S)
        for r in crest_results
        if r.outcome is Outcome.NOT_RUN
    ]
    returns_per_s = Counter(int(t) for t in callers.times if t >= end_s)
    return {
        "goodput": work_s / possible_work_s,
        **{
            plan: answered_counts[plan] / max(1, possible_counts[plan])
            for plan in PLANS
        },
        "offered": Counter(r.kind.split("/")[0] for r in crest_results),
        "answered": answered_counts,
        "refused_p50": percentile(refusals, 0.5),
        "refused_p99": percentile(refusals, 0.99),
        "long": sum(
            r.outcome is Outcome.ANSWER for r in crest_results if "digest" in r.kind
        )
        / max(1, sum("digest" in r.kind for r in crest_results)),
        "unknown": sum(r.outcome is Outcome.UNKNOWN for r in crest_results)
        / len(crest_results),
        "tries": sum(r.attempts for r in model.results) / len(model.results),
        "tries_admitted": sum(r.attempts for r in model.results)
        / sum(r.attempts > 0 for r in model.results),
        "wave": max(returns_per_s.values(), default=0) / capacity,
    }


def row(task):
    """Return one row of the table, the mean over several seeds."""
    name, demand, seeds = task
    runs = [measure(demand, seed, ROWS[name]) for seed in range(1, seeds + 1)]

    def mean(key):
        return sum(run[key] for run in runs) / len(runs)

    def plan_share(plan):
        offered = sum(run["offered"][plan] for run in runs)
        return sum(run["answered"][plan] for run in runs) / max(1, offered)

    return [
        name,
        demand,
        f"{mean('goodput'):.0%}",
        f"{mean('gold'):.0%}",
        *(f"{plan_share(plan):.0%}" for plan in PLANS),
        f"{mean('long'):.0%}",
        f"{mean('refused_p50'):.1f}",
        f"{mean('refused_p99'):.0f}",
        f"{mean('unknown'):.2%}",
        f"{mean('tries'):.2f}",
        f"{mean('tries_admitted'):.2f}",
        f"{mean('wave'):.2f}",
    ]


HEADER = (
    "policy",
    "demand",
    "goodput of possible",
    "gold of possible",
    "gold answered",
    "silver answered",
    "bronze answered",
    "long answered",
    "refusal p50 ms",
    "p99",
    "unknown",
    "tries per request",
    "per admitted",
    "second wave",
)


def main(args=None):
    """Print a row per policy and demand."""
    parser = argparse.ArgumentParser(description=HELP)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rows", default="", help="only rows whose names contain this")
    parser.add_argument("--demand", choices=DEMANDS, help="only this demand")
    args = parser.parse_args(args)
    demands = [args.demand] if args.demand else DEMANDS
    names = [n for n in ROWS if args.rows in n]
    tasks = [(n, demand, args.seeds) for demand in demands for n in names]
    with ProcessPoolExecutor(PROCESSES) as pool:
        print_table(HEADER, pool.map(row, tasks))


if __name__ == "__main__":
    main()
