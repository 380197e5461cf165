"""Scenarios with gray failures, and scenarios without that must eject nobody."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionarch.core.selection import RandomChoice, RoundRobin, TwoChoices
from dandelionarch.core.world import Health
from dandelionarch.measure.agent_health import AgentHealth, FleetLog
from dandelionarch.measure.baselines import FixedCount
from dandelionarch.measure.model import Model
from dandelionarch.measure.options import Options, crest_rate, steady_rate
from dandelionarch.measure.workers import Fault, Kind

# Internal lookups, and orders, which must not run twice.
KINDS = (
    Kind("lookup", 0.08, share=0.7),
    Kind("order", 0.16, share=0.3, idempotent=False),
)
RATE_PER_WORKER = 12.5
SIZES = (8, 11)
FAULT_START_S = 25.0
FAULT_WATCH_S = 40.0
WINDOW_S = 3.0
MAX_QUIET_REQUESTS = 1

DANDELION = {"make_detector": AgentHealth, "make_log": FleetLog}
POLICIES = {
    "random": {"make_policy": RandomChoice},
    "round robin": {"make_policy": RoundRobin},
    "two choices": {"make_policy": TwoChoices},
    "fixed count": {"make_filter": FixedCount},
    "dandelionarch": DANDELION,
}

FAULTS = {
    "3 times slower": {"slow": 3.0},
    "10 times slower": {"slow": 10.0},
    "20% errors": {"error_share": 0.2},
    "50% errors": {"error_share": 0.5},
    "one kind 10 times slower": {"slow": 10.0, "kind": "lookup"},
    "hangs, healthy to probes": {"hang": True},
    "flapping, period 2 s": {"slow": 10.0, "flap_period_s": 2.0},
    "flapping, period 10 s": {"slow": 10.0, "flap_period_s": 10.0},
    "flapping, period 60 s": {"slow": 10.0, "flap_period_s": 60.0},
    "reachable one way": None,
}
# Faults that show the use of single rules only.
RULE_FAULTS = {
    "rarer kind 3 times slower": {"slow": 3.0, "kind": "order"},
    "50% errors, log unavailable": {"error_share": 0.5},
}


def build_model(policy, workers, seed, **options):
    """Return a model of one service under a policy of `POLICIES`."""
    values = {
        "workers": workers,
        "kinds": KINDS,
        "rate": steady_rate(RATE_PER_WORKER * workers),
        "seed": seed,
        **POLICIES[policy],
        **options,
    }
    return Model(Options(**values))


def cut_incoming(model, agent):
    """Lose all messages that others send to an agent's VM."""
    other_vm_ids = [a.vm_id for a in model.agents if a is not agent]
    model.network.cuts.update((vm_id, agent.vm_id) for vm_id in other_vm_ids)


def seconds_until_quiet(times, start_s, end_s):
    """Return the seconds from `start_s` until almost no work arrives, or None.

    This is the case if at most one request, 3% of the fair share, arrives within the
    next 3 s.
    """
    times = [t for t in times if t >= start_s]
    for time_s in [start_s, *times]:
        if time_s + WINDOW_S > end_s:
            return None
        if sum(time_s < t <= time_s + WINDOW_S for t in times) <= MAX_QUIET_REQUESTS:
            return time_s - start_s
    return None


def detection_s(policy, fault, workers, seed):
    """Return the seconds until a failing worker gets almost no new work."""
    model = build_model(policy, workers, seed)
    agent = model.agents[random.Random(seed).randrange(workers)]
    end_s = FAULT_START_S + FAULT_WATCH_S
    if fault in RULE_FAULTS:
        return _rule_detection_s(model, agent, fault)
    if FAULTS[fault] is None:
        model.timers.subscribe(FAULT_START_S, lambda: cut_incoming(model, agent))
        model.run(end_s)
        times = agent.remote_dispatch_times_s
    else:
        agent.worker.faults.append(Fault(start_s=FAULT_START_S, **FAULTS[fault]))
        model.run(end_s)
        times = agent.start_times_s
    return seconds_until_quiet(times, FAULT_START_S, end_s)


def _rule_detection_s(model, agent, fault):
    """Return the seconds until a worker with one of `RULE_FAULTS` gets almost no work.

    If the log is unavailable, return the work that the failing worker still gets
    within 30 s, as the seconds in which a healthy worker gets as much.
    """
    fault_options, end_s = RULE_FAULTS[fault], FAULT_START_S + FAULT_WATCH_S
    agent.worker.faults.append(Fault(start_s=FAULT_START_S, **fault_options))
    if "log" in fault:
        model.log.available = False
        model.run(end_s)
        late_starts = [
            t for t in agent.start_times_s if FAULT_START_S <= t < FAULT_START_S + 30.0
        ]
        return len(late_starts) / RATE_PER_WORKER
    model.run(end_s)
    return seconds_until_quiet(agent.start_times_s, FAULT_START_S, end_s)


@dataclass(frozen=True)
class HealthyRun:
    """A run without failing workers; `prepare(model)` modifies the model."""

    duration_s: float = 600.0
    options: Callable = lambda workers: {}
    prepare: Callable = lambda model: None


def crest_options(workers):
    """Return options with a tenfold rise of the rate within 2 s, after 20 s."""
    return {"rate": crest_rate(RATE_PER_WORKER * workers, 10.0, 20.0, duration_s=20.0)}


def slow_all(model):
    """Slow all workers 3 times during the crest, as a shared database would."""
    for agent in model.agents:
        agent.worker.faults.append(Fault(start_s=21.0, end_s=40.0, slow=3.0))


def hang_all(model):
    """Let all workers hang for 20 s."""
    for agent in model.agents:
        agent.worker.faults.append(Fault(start_s=30.0, end_s=50.0, hang=True))


def set_misreport(model):
    """Let a quarter of the workers report that they are idle."""
    for agent in model.agents[::4]:
        agent.worker.misreport = 0.0


def add_one_way_delay(model):
    """Delay messages from one data centre to the others by 30 ms."""
    far_vm_ids = {a.vm_id for a in model.agents[::4]}
    for vm_id in model.vms:
        for other in far_vm_ids - {vm_id}:
            if vm_id not in far_vm_ids:
                model.network.extra_s[other, vm_id] = 0.03


def schedule_rolling_restarts(model):
    """Restart one worker every 30 s, which is cold for 20 s."""
    for number, agent in enumerate(model.agents):
        model.timers.subscribe_every(
            30.0 * len(model.agents),
            lambda worker=agent.worker: restart_cold(model, worker),
            first_delay_s=30.0 * (number + 1),
        )


def restart_cold(model, worker):
    """Restart a worker, which is cold for 20 s."""
    worker.started_s, worker.cold_s = model.timers.now(), 20.0


HEALTHY_RUNS = {
    "quiet": HealthyRun(),
    "crest": HealthyRun(60.0, crest_options),
    "crest, all 3 times slower": HealthyRun(60.0, crest_options, slow_all),
    "all hang for 20 s": HealthyRun(60.0, prepare=hang_all),
    "3% stragglers": HealthyRun(
        options=lambda workers: {"worker_options": {"straggler_share": 0.03}}
    ),
    "misleading load reports": HealthyRun(prepare=set_misreport),
    "data centre far from one side": HealthyRun(prepare=add_one_way_delay),
    "cold starts": HealthyRun(prepare=schedule_rolling_restarts),
}


@dataclass(slots=True)
class FalseCounts:
    """Ejections and demotions of healthy workers, and worker-hours simulated."""

    ejections: int = 0
    demotions: int = 0
    worker_hours: float = 0.0
    health_changes: list = field(default_factory=list)


def false_ejections(policy, name, workers, seed):
    """Run a scenario without failing workers and return the `FalseCounts`."""
    scenario = HEALTHY_RUNS[name]
    model = build_model(policy, workers, seed, **scenario.options(workers))
    scenario.prepare(model)
    model.run(scenario.duration_s)
    counts = FalseCounts(worker_hours=workers * scenario.duration_s / 3600)
    for agent in model.agents:
        before = Health.HEALTHY
        for now, health in getattr(agent.detector, "history", ()):
            counts.ejections += health is Health.EJECTED and before is Health.DEMOTED
            counts.demotions += health is Health.DEMOTED
            counts.health_changes.append(
                (now, agent.endpoint.endpoint_id, health.value)
            )
            before = health
    for ingress in model.ingresses:
        counts.ejections += len(getattr(ingress.filter, "ejections", ()))
    return counts
