"""Measures the membership: cost, memory, detection and leaving."""

import argparse
import dataclasses
import random
import tracemalloc

from dandelionarch.core import fleet_records as records
from dandelionarch.core import members as member_records
from dandelionarch.core.directory import Directory
from dandelionarch.core.endpoint_details import detail_messages
from dandelionarch.core.endpoint_records import decode_endpoint
from dandelionarch.core.fleet import FleetFold
from dandelionarch.core.member_exchange import PlainExchange, TreeExchange
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.streams import Record
from dandelionarch.measure.virtual_fleet import KEY, Traffic, VirtualFleet
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import DatagramCodec

NAME = "membership"
HELP = "bytes, processor time, memory, detection and leaving by fleet size"

WORKERS_PER_DAEMON = 8.65
RESTARTS_PER_DAY = 2400
TARGET_DAEMONS = 890
DAY_S = 86_400
WARM_UP_S = 15.0
DOWN_S = 5.0
SERVICES_IN_USE = 3
LOSS_SHARE = 0.01


def churn(fleet, rng):
    """Restart single daemons at the target's rate, regardless of the fleet's size."""

    def restart():
        vm_id = rng.choice(sorted(fleet.daemons))
        index = int(vm_id.removeprefix("vm-"))
        fleet.leave(vm_id)
        fleet.timers.subscribe(
            2.0 + DOWN_S,
            lambda: fleet.start(vm_id, index, WORKERS_PER_DAEMON, seeds=fleet.seeds),
        )

    period_s = DAY_S / RESTARTS_PER_DAY
    fleet.timers.subscribe_every(period_s, restart, first_delay_s=1.0)


def use_random_services(fleet):
    """Let every daemon use some services, as requests of its callers would."""
    for daemon in fleet.daemons.values():
        known = sorted(
            {
                s.service
                for record in daemon.membership.table.records.values()
                for s in record.services
            }
        )
        for service in fleet.rng.sample(known, min(SERVICES_IN_USE, len(known))):
            daemon.membership.use_service(service, fleet.timers.now())


def measure_cost(count, seconds, exchange_type=TreeExchange):
    """Return (fleet, bytes/s, messages/s, share of a core), the rates per daemon."""
    fleet = VirtualFleet(
        count, workers=WORKERS_PER_DAEMON, wire=True, exchange_type=exchange_type
    )
    use_random_services(fleet)
    fleet.run(WARM_UP_S)
    fleet.traffic = Traffic()
    churn(fleet, random.Random(2))
    fleet.run(seconds)
    daemon_seconds = count * seconds
    traffic = fleet.traffic
    return (
        fleet,
        traffic.size / daemon_seconds,
        traffic.messages / daemon_seconds,
        traffic.cpu_s / daemon_seconds,
    )


def cost(args):
    """Print the cost by fleet size."""
    print("| daemons | sent bytes/s | datagrams/s | core | largest datagram |")
    print("|---|---|---|---|---|")
    rows = []
    for count in args.sizes:
        fleet, size, messages, core = measure_cost(count, args.seconds)
        largest = fleet.traffic.max_bytes
        print(f"| {count} | {size:.0f} | {messages:.2f} | {core:.3%} | {largest} |")
        rows.append((count, size, core))
    (n0, b0, c0), (n1, b1, c1) = rows[0], rows[-1]
    if n1 > n0:
        print(
            f"\nslope: {(b1 - b0) / (n1 - n0):.3f} bytes/s and "
            f"{(c1 - c0) / (n1 - n0):.2e} of a core per further daemon"
        )


def exchange(args):
    """Print the costs of both exchanges of member records at the largest size."""
    print("| exchange | sent bytes/s | of which for the exchange | core |")
    print("|---|---|---|---|")
    names = {"TreeDigest", "BucketKeys", "MemberQuery"}
    for cls in (TreeExchange, PlainExchange):
        fleet, size, _, core = measure_cost(args.sizes[-1], args.seconds, cls)
        exchange_bytes = sum(
            b for name, (_, b) in fleet.traffic.by_type.items() if name in names
        )
        exchange_bytes /= args.sizes[-1] * args.seconds
        print(f"| {cls.__name__} | {size:.0f} | {exchange_bytes:.0f} | {core:.3%} |")


def memory(args):
    """Print the memory of one daemon's tables at the largest size."""
    count = args.sizes[-1]
    source_fleet = VirtualFleet(count, workers=WORKERS_PER_DAEMON, joined=False)
    codec = DatagramCodec(Codec(), KEY)
    members, endpoints = [], []
    for daemon in source_fleet.daemons.values():
        me, own_endpoints = daemon.membership.me, daemon.membership._endpoints
        members.append(codec.pack(msgs.Members((me,), ())))
        services = [s.service for s in me.services]
        endpoints += map(codec.pack, detail_messages(me, own_endpoints, services))
    workers = sum(len(d.membership._endpoints) for d in source_fleet.daemons.values())
    print("| table | MB |")
    print("|---|---|")
    total = 0
    for name, build in (
        ("members", lambda: _member_table(codec, members)),
        (
            "directory with all endpoints",
            lambda: _directory(codec, members, endpoints),
        ),
        ("fleet stream's fold", lambda: _fold(source_fleet)),
    ):
        tracemalloc.start()
        loaded = build()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        total += size
        del loaded
        print(f"| {name} | {size / 1e6:.1f} |")
    print(f"| sum ({count} daemons, {workers} workers) | {total / 1e6:.1f} |")


def _member_table(codec, members):
    """Return a table of decoded records, as in a daemon."""
    table = member_records.MemberTable("vm-0")
    for data in members:
        table.put(codec.unpack(data).records[0])
    return table


def _directory(codec, members, endpoints):
    directory = Directory()
    for data in members:
        directory.put_vm(member_records.vm_of(codec.unpack(data).records[0]))
    for data in endpoints:
        for endpoint in codec.unpack(data).endpoints:
            directory.put_endpoint(decode_endpoint(endpoint))
    return directory


def _fold(source_fleet):
    fold = FleetFold()
    for offset, daemon in enumerate(source_fleet.daemons.values()):
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
    """Return the seconds until one, half and all of the others see a VM as dead."""
    fleet = VirtualFleet(count, seed=seed)
    fleet.run(3)
    fleet.kill("vm-1")
    killed = fleet.timers.now()
    times = []
    for required_count in (1, (count - 1) / 2, count - 1):
        if fleet.count_views("vm-1", "dead") < required_count:
            fleet.run_until(
                lambda n=required_count: fleet.count_views("vm-1", "dead") >= n, 60
            )
        times.append(fleet.timers.now() - killed)
    return times


def detection(args):
    """Print the time to detect a dead VM, and the false suspicions and deaths."""
    print("| daemons | runs | first sees it dead, s | half, s | all, s |")
    print("|---|---|---|---|---|")
    for count in args.sizes:
        runs = [death_times(count, seed) for seed in range(args.runs)]
        columns = " | ".join(mean_text(column) for column in zip(*runs, strict=True))
        print(f"| {count} | {args.runs} | {columns} |")
    print("\n| fault | daemons | seconds | wrong suspicions | wrong deaths |")
    print("|---|---|---|---|---|")
    count = args.sizes[-1]
    faults = {
        "1% datagram loss": {"loss": LOSS_SHARE},
        "one-way cut between two daemons": {},
        "both": {"loss": LOSS_SHARE},
    }
    for name, options in faults.items():
        fleet = VirtualFleet(count, **options)
        if name != "1% datagram loss":
            fleet.is_cut = lambda s, t: (s.vm_id, t.vm_id) == ("vm-1", "vm-2")
        fleet.run(args.seconds)
        states = [s for d in fleet.daemons.values() for *_, s in d.changes]
        suspicions = {
            (vm, round(at / 6))
            for d in fleet.daemons.values()
            for at, vm, s in d.changes
            if s == "suspect"
        }
        print(
            f"| {name} | {count} | {args.seconds} | {len(suspicions)} "
            f"| {states.count('dead')} |"
        )


def leaving(args):
    """Print the time until all others know of a leaving VM or draining endpoint."""
    print("| daemons | runs | leaving VM known to all, s | draining endpoint, s |")
    print("|---|---|---|---|")
    for count in args.sizes:
        left_s, drained_s = [], []
        for seed in range(args.runs):
            fleet = VirtualFleet(count, seed=seed, workers=3, loss=LOSS_SHARE)
            fleet.run(3)
            fleet.leave("vm-1", stop_after_s=60)
            required_count = count - 1
            left_s.append(
                fleet.run_until(
                    lambda f=fleet, n=required_count: (
                        f.count_views("vm-1", "leaving") == n
                    ),
                    60,
                    0.01,
                )
            )
            drained_s.append(_drain_time(fleet, count))
        print(
            f"| {count} | {args.runs} | {mean_text(left_s)} | {mean_text(drained_s)} |"
        )


def _drain_time(fleet, count):
    daemon = fleet.daemons["vm-2"]
    first, *rest = daemon.membership._endpoints
    for other in fleet.daemons.values():
        commands = other.membership.use_service(first.service, fleet.timers.now())
        fleet.execute(other, commands)
    fleet.run(3)
    for other in fleet.daemons.values():
        other.changes.clear()
    draining_endpoint = dataclasses.replace(first, state="draining")
    fleet.execute(daemon, daemon.membership.set_endpoints([draining_endpoint, *rest]))
    expected_change = (first.endpoint_id, "draining")

    def all_informed():
        informed = sum(
            any(change[1:] == expected_change for change in d.changes)
            or d.is_known_draining(first.endpoint_id, "vm-2", first.service)
            for d in fleet.daemons.values()
        )
        return informed >= count - 1

    return fleet.run_until(all_informed, 60, 0.01)


def reunion(args):
    """Print the time in which two separated regions rejoin, and its cost."""
    print(
        "| daemons | apart, s | all alive again, s | deaths within a region "
        "| datagrams/s per daemon |"
    )
    print("|---|---|---|---|---|")
    for count in args.sizes:
        fleet = VirtualFleet(count, seeds=())
        fleet.run(3)
        fleet.is_cut = lambda s, t: s.region != t.region
        fleet.run(args.seconds)
        for daemon in fleet.daemons.values():
            daemon.changes.clear()
        fleet.is_cut = lambda s, t: False
        fleet.traffic = Traffic()

        def is_whole(fleet=fleet, count=count):
            return all(
                sum(s == "alive" for vm, s in d.states.items() if vm != d.vm_id)
                == count - 1
                for d in fleet.daemons.values()
            )

        rejoin_s = fleet.run_until(is_whole, 300)
        deaths = sum(
            state == "dead" and fleet.daemons[vm_id].region == d.region
            for d in fleet.daemons.values()
            for _, vm_id, state in d.changes
        )
        rejoin_text = "over 300" if rejoin_s is None else f"{rejoin_s:.1f}"
        rate = fleet.traffic.messages / count / (rejoin_s or 300)
        print(
            f"| {count} | {args.seconds:.0f} | {rejoin_text} | {deaths} | {rate:.1f} |"
        )


def mean_text(values):
    """Return the mean and the largest of some values as text."""
    return f"{sum(values) / len(values):.2f} (worst {max(values):.2f})"


PARTS = {
    "cost": cost,
    "exchange": exchange,
    "memory": memory,
    "detection": detection,
    "leaving": leaving,
    "reunion": reunion,
}


def main(args=None):
    """Print the tables of the selected parts."""
    parser = argparse.ArgumentParser(prog=NAME, description=HELP)
    parser.add_argument("--part", choices=PARTS, action="append")
    parser.add_argument(
        "--sizes", type=int, nargs="+", default=[8, 40, 160, TARGET_DAEMONS]
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args(args)
    for name in options.part or PARTS:
        print(f"\n{name}\n", flush=True)
        PARTS[name](options)


if __name__ == "__main__":
    main()
