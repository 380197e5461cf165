"""Measurement of the membership: cost, memory, detection and leaving."""

import argparse
import dataclasses
import random
import tracemalloc

from dandelionarch.core import fleet_records as records
from dandelionarch.core import members as table_of
from dandelionarch.core.details import endpoint_of
from dandelionarch.core.directory import Directory
from dandelionarch.core.exchange import PlainExchange, TreeExchange
from dandelionarch.core.fleet import FleetFold
from dandelionarch.core.streams import Record
from dandelionarch.measure.virtual_fleet import Traffic, VirtualFleet

NAME = "membership"
HELP = "bytes, processor time, memory, detection and leaving by fleet size"

WORKERS_PER_DAEMON = 8.65
RESTARTS_PER_DAY = 2400
TARGET_DAEMONS = 890
DAY_S = 86_400
WARM_UP_S = 15.0
DOWN_S = 5.0
SERVICES_IN_USE = 3
LOSS = 0.01


def churn(fleet, rng):
    """Restart daemons one by one at the target's rate, whatever the fleet's size."""
    per_s = RESTARTS_PER_DAY / DAY_S

    def restart():
        vm_id = rng.choice(sorted(fleet.daemons))
        if fleet.daemons[vm_id].running:
            index = int(vm_id.removeprefix("vm-"))
            fleet.leave(vm_id)
            fleet.timers.subscribe(
                2.0 + DOWN_S,
                lambda: fleet.start(
                    vm_id, index, WORKERS_PER_DAEMON, seeds=fleet.seeds
                ),
            )
        fleet.timers.subscribe(rng.expovariate(per_s), restart)

    fleet.timers.subscribe(rng.expovariate(per_s), restart)


def use_services(fleet):
    """Let every daemon use a few services, as its callers' requests do."""
    for daemon in fleet.daemons.values():
        known = sorted(
            {
                s.service
                for record in daemon.membership.table.records.values()
                for s in record.services
            }
        )
        for service in fleet.rng.sample(known, min(SERVICES_IN_USE, len(known))):
            daemon.membership.use(service, fleet.timers.now())


def measure_cost(count, seconds, exchange_type=TreeExchange):
    """Return (fleet, per-daemon bytes/s, messages/s, share of a core)."""
    fleet = VirtualFleet(
        count, workers=WORKERS_PER_DAEMON, wire=True, exchange_type=exchange_type
    )
    use_services(fleet)
    fleet.run(WARM_UP_S)
    fleet.traffic = Traffic()
    churn(fleet, random.Random(2))
    fleet.run(seconds)
    per = count * seconds
    traffic = fleet.traffic
    return fleet, traffic.size / per, traffic.messages / per, traffic.cpu_s / per


def cost(args):
    """Print cost by fleet size."""
    print("| daemons | sent bytes/s | datagrams/s | core | largest datagram |")
    print("|---|---|---|---|---|")
    rows = []
    for count in args.sizes:
        fleet, size, messages, core = measure_cost(count, args.seconds)
        largest = fleet.traffic.largest
        print(f"| {count} | {size:.0f} | {messages:.2f} | {core:.3%} | {largest} |")
        rows.append((count, size, core))
    (n0, b0, c0), (n1, b1, c1) = rows[0], rows[-1]
    if n1 > n0:
        print(
            f"\nslope: {(b1 - b0) / (n1 - n0):.3f} bytes/s and "
            f"{(c1 - c0) / (n1 - n0):.2e} of a core per further daemon"
        )


def exchange(args):
    """Print both forms of the difference exchange at the largest size."""
    print("| exchange | sent bytes/s | of which for the exchange | core |")
    print("|---|---|---|---|")
    names = {"TreeDigest", "BucketKeys", "MemberQuery"}
    for cls in (TreeExchange, PlainExchange):
        fleet, size, _, core = measure_cost(args.sizes[-1], args.seconds, cls)
        own = sum(b for name, (_, b) in fleet.traffic.by_type.items() if name in names)
        own /= args.sizes[-1] * args.seconds
        print(f"| {cls.__name__} | {size:.0f} | {own:.0f} | {core:.3%} |")


def memory(args):
    """Print the memory of one daemon's tables at the largest size."""
    count = args.sizes[-1]
    donor = VirtualFleet(count, workers=WORKERS_PER_DAEMON, joined=False)
    members = [d.membership.me for d in donor.daemons.values()]
    endpoints = [e for d in donor.daemons.values() for e in d.membership._endpoints]
    print("| table | MB |")
    print("|---|---|")
    total = 0
    for name, build in (
        ("members", lambda: _member_table(members)),
        ("directory with all endpoints", lambda: _directory(members, endpoints)),
        ("fleet stream's fold", lambda: _fold(donor)),
    ):
        tracemalloc.start()
        kept = build()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        total += size
        del kept
        print(f"| {name} | {size / 1e6:.1f} |")
    print(f"| sum ({count} daemons, {len(endpoints)} workers) | {total / 1e6:.1f} |")


def _member_table(members):
    table = table_of.MemberTable("vm-0")
    for record in members:
        table.put(dataclasses.replace(record, vm_id=str(record.vm_id)))
    return table


def _directory(members, endpoints):
    directory = Directory()
    for record in members:
        directory.put_vm(table_of.vm_of(record))
    for endpoint in endpoints:
        directory.put_endpoint(endpoint_of(endpoint))
    return directory


def _fold(donor):
    fold = FleetFold()
    for offset, daemon in enumerate(donor.daemons.values()):
        me = daemon.membership.me
        own = tuple(
            records.AnnouncedEndpoint(e.endpoint_id, e.incarnation, e.service)
            for e in daemon.membership._endpoints
        )
        announce = records.Announce(
            me.vm_id, me.incarnation, 1, offset, me.host, me.gossip_port, own
        )
        data = records.to_bytes(announce)
        fold.apply(Record(offset, 0.0, str(offset), data))
    return fold


def death_times(count, seed):
    """Return the seconds until one, half and all of the others hold a VM dead."""
    fleet = VirtualFleet(count, seed=seed)
    fleet.run(3)
    fleet.kill("vm-1")
    killed = fleet.timers.now()
    times = []
    for need in (1, (count - 1) / 2, count - 1):
        if fleet.held("vm-1", "dead") < need:
            fleet.run_until(lambda n=need: fleet.held("vm-1", "dead") >= n, 60)
        times.append(fleet.timers.now() - killed)
    return times


def detection(args):
    """Print how fast a dead VM is found, and wrong suspicions and deaths."""
    print("| daemons | runs | first holds it dead, s | half, s | all, s |")
    print("|---|---|---|---|---|")
    for count in args.sizes:
        runs = [death_times(count, seed) for seed in range(args.runs)]
        columns = " | ".join(mean(column) for column in zip(*runs, strict=True))
        print(f"| {count} | {args.runs} | {columns} |")
    print("\n| fault | daemons | seconds | wrong suspicions | wrong deaths |")
    print("|---|---|---|---|---|")
    count = args.sizes[-1]
    faults = {
        "1% datagram loss": {"loss": LOSS},
        "one-way cut between two daemons": {},
        "both": {"loss": LOSS},
    }
    for name, options in faults.items():
        fleet = VirtualFleet(count, **options)
        if name != "1% datagram loss":
            fleet.cut = lambda s, t: (s.vm_id, t.vm_id) == ("vm-1", "vm-2")
        fleet.run(args.seconds)
        said = [s for d in fleet.daemons.values() for *_, s in d.changes]
        accused = {
            (vm, round(at / 6))
            for d in fleet.daemons.values()
            for at, vm, s in d.changes
            if s == "suspect"
        }
        print(
            f"| {name} | {count} | {args.seconds} | {len(accused)} "
            f"| {said.count('dead')} |"
        )


def leaving(args):
    """Print the time until all others know that a VM or an endpoint takes no work."""
    print("| daemons | runs | leaving VM known to all, s | draining endpoint, s |")
    print("|---|---|---|---|")
    for count in args.sizes:
        left, drained = [], []
        for seed in range(args.runs):
            fleet = VirtualFleet(count, seed=seed, workers=3, loss=LOSS)
            fleet.run(3)
            fleet.leave("vm-1", stop_after_s=60)
            need = count - 1
            left.append(
                fleet.run_until(
                    lambda f=fleet, n=need: f.held("vm-1", "leaving") == n, 60, 0.01
                )
            )
            drained.append(_drain_time(fleet, count))
        print(f"| {count} | {args.runs} | {mean(left)} | {mean(drained)} |")


def _drain_time(fleet, count):
    daemon = fleet.daemons["vm-2"]
    first, *rest = daemon.membership._endpoints
    for other in fleet.daemons.values():
        other.changes.clear()
    drained = dataclasses.replace(first, state="draining")
    fleet.carry_out(daemon, daemon.membership.set_endpoints([drained, *rest]))
    wanted = (first.endpoint_id, "draining")

    def all_know():
        told = sum(
            any(change[1:] == wanted for change in d.changes)
            or d.draining(first.endpoint_id, "vm-2", first.service)
            for d in fleet.daemons.values()
        )
        return told >= count - 1

    return fleet.run_until(all_know, 60, 0.01)


def mean(values):
    """Return mean and largest of some seconds as text."""
    return f"{sum(values) / len(values):.2f} (worst {max(values):.2f})"


PARTS = {
    "cost": cost,
    "exchange": exchange,
    "memory": memory,
    "detection": detection,
    "leaving": leaving,
}


def main(args=None):
    """Print the tables of the chosen parts."""
    parser = argparse.ArgumentParser(prog=NAME, description=HELP)
    parser.add_argument("--part", choices=PARTS, action="append")
    parser.add_argument(
        "--sizes", type=int, nargs="+", default=[8, 40, 160, TARGET_DAEMONS]
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--runs", type=int, default=5)
    chosen = parser.parse_args(args)
    for name in chosen.part or PARTS:
        print(f"\n{name}\n", flush=True)
        PARTS[name](chosen)


if __name__ == "__main__":
    main()
