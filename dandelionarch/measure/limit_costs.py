"""Measures the overshoot of customers' limits and the control traffic for them."""

import argparse
import heapq
import random

from dandelionarch.core.limit_share import LimitShares, Step
from dandelionarch.core.limits import LimitHome, LimitTable
from dandelionarch.core.lists import parse_lists
from dandelionarch.core.rendezvous import rank
from dandelionarch.measure.blocking import print_table
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.framing import Frame, FrameKind, FrameWriter

NAME = "limits"
HELP = "overshoot of limits, and control traffic at the target load"

RATE, BURST, CONCURRENCY = 20.0, 40, 40
DAEMON_COUNT, CUSTOMER_COUNT, REQUESTS_PER_S = 890, 50_000, 110
TCP_IP_HEADER_BYTES = 40
SERVICE_S = 0.1
SETTLING_TIME_S = 60.0
ALLOWANCES = f"""
[service orders]
floor = 50%
[plan gold]
priority = 0
[allow gold orders]
rate = {RATE}
burst = {BURST}
concurrency = {CONCURRENCY}
crest_rate = {RATE * 10}
crest_burst = {BURST * 10}
crest_concurrency = {CONCURRENCY * 10}
[crest evening]
service = orders
starts = 18:00
lasts_s = 3600
"""
CREST_UTC_S = 18 * 3600.0


def make_limit_table(customers):
    """Return the limits of a number of customers of one plan."""
    plans = "".join(
        f"[customer c{i}]\nkey_digest = {i:064x}\nplan = gold\n"
        for i in range(customers)
    )
    return LimitTable(parse_lists(plans, ALLOWANCES))


class Traffic:
    """Counts frames and their bytes as sent by the links."""

    def __init__(self):
        self._codec = Codec()
        self._writer = FrameWriter(b"k" * 32)
        self.frames = 0
        self.bytes = 0

    def add(self, msg):
        """Count one message."""
        channel, payload = self._codec.encode(msg)
        frame = Frame(channel, FrameKind.ONE_WAY, 0, payload)
        self.bytes += len(self._writer.pack(frame))
        self.frames += 1


class Fleet:
    """Ingresses, and the home daemons of the customers' limits."""

    def __init__(self, ingresses, homes, limits, seed, settle=True):
        rng = random.Random(seed)
        self.vms = [f"vm-{i}" for i in range(homes)]
        self.limits, self.settle = limits, settle
        self.homes, self.shares = {}, []
        self.traffic = Traffic()
        self.home_vms = {}
        for _ in range(ingresses):
            shares = LimitShares(rng)
            shares.set_table(limits)
            self.shares.append(shares)
        self.home_up = True

    def home(self, customer):
        """Return the home daemon of a customer."""
        vm = self.home_vms.get(customer)
        if vm is None:
            vm = self.home_vms[customer] = rank(customer, self.vms)[0]
        if vm not in self.homes:
            home = self.homes[vm] = LimitHome(vm, -100.0)
            home.set_table(self.limits)
        return self.homes[vm]

    def request(self, index, customer, now, utc_s):
        """Admit or refuse a request at an ingress; return the final verdict."""
        shares = self.shares[index]
        verdict = shares.admit(customer, "orders", now, utc_s)
        if verdict.message is not None:
            is_answered = self.send(index, verdict.message, now)
            if verdict.step is Step.ASK:
                if not is_answered:
                    shares.on_home_silent("home", verdict.message, now)
                verdict = shares.admit(customer, "orders", now, utc_s, after_reply=True)
        return verdict

    def send(self, index, msg, now):
        """Send a message to the home and handle its reply; return True on success."""
        if not self.settle and not msg.wanted:
            return True
        self.traffic.add(msg)
        if not self.home_up:
            return False
        grant = self._reply_of_home(msg, index, now)
        if grant is not None:
            self.traffic.add(grant)
            self.shares[index].on_grant(grant, now)
        return True

    def _reply_of_home(self, msg, index, now):
        """Return the reply of a customer's home to a message."""
        return self.home(msg.customer).handle(msg, f"in-{index}", now)


def run_arrivals(fleet, arrivals, utc_s):
    """Run (time, ingress, customer) arrivals; yield the times of admitted ones."""
    running, next_tick = [], 1.0
    for now, index, customer in arrivals:
        while running and running[0][0] <= now:
            _, ended_index, key = heapq.heappop(running)
            fleet.shares[ended_index].on_request_ended(key)
        if now >= next_tick:
            next_tick += 1.0
            for i, shares in enumerate(fleet.shares):
                for msg in shares.tick(now):
                    fleet.send(i, msg, now)
        verdict = fleet.request(index, customer, now, utc_s)
        if verdict.step is Step.ADMIT:
            heapq.heappush(running, (now + SERVICE_S, index, verdict.key))
            yield now


def steady_arrivals(rng, per_s, seconds, ingresses, customer):
    """Yield arrivals at a rate, each at a random ingress for `customer(rng)`."""
    now = 0.0
    while now < seconds:
        now += rng.expovariate(per_s)
        index = rng.randrange(ingresses)
        yield now, index, customer(rng)


def overshoot(ingresses, factor, home_up, settle, seed):
    """Return the ratio of admitted requests to the limit: first 10 s, after 60 s."""
    fleet = Fleet(ingresses, 6, make_limit_table(1), seed, settle)
    fleet.home_up = home_up
    arrivals = steady_arrivals(
        random.Random(seed), factor * RATE, 120.0, ingresses, lambda rng: "c0"
    )
    times = list(run_arrivals(fleet, arrivals, 0.0))
    first = sum(t < 10 for t in times) / (RATE * 10 + BURST)
    later = sum(t >= SETTLING_TIME_S for t in times) / (RATE * (120 - SETTLING_TIME_S))
    return first, later


def print_overshoot(seed):
    """Print the overshoot by the number of ingresses used by a customer."""
    rows = []
    for ingresses in (1, 8, 64, DAEMON_COUNT):
        factor = max(3.0, 1.2 * ingresses / 8)
        for name, home_up, settle in (
            ("home answers", True, True),
            ("no settlement of own use", True, False),
            ("home silent", False, True),
        ):
            first, later = overshoot(ingresses, factor, home_up, settle, seed)
            rows.append(
                [
                    str(ingresses),
                    f"{factor:.1f}",
                    name,
                    f"{first:.2f}",
                    f"{later:.2f}",
                    f"{1 + ingresses / 8:.2f}",
                ]
            )
    print_table(
        (
            "ingresses",
            "demand / rate",
            "case",
            "admitted / (rate x 10 s + burst)",
            "admitted / rate after 60 s",
            "bound",
        ),
        rows,
    )


def access_patterns(rng):
    """Return functions that choose a request's customer, by distribution."""
    local = [f"c{i}" for i in range(round(CUSTOMER_COUNT / DAEMON_COUNT))]
    weights = [1 / (i + 1) for i in range(CUSTOMER_COUNT)]
    names = [f"c{i}" for i in range(CUSTOMER_COUNT)]
    zipf_draws = rng.choices(names, weights, k=200_000)
    return {
        "each customer at all ingresses": lambda r: f"c{r.randrange(CUSTOMER_COUNT)}",
        "each customer at one ingress": lambda r: r.choice(local),
        "few busy customers (Zipf)": lambda r: r.choice(zipf_draws),
    }


def print_traffic(seed, seconds):
    """Print the control traffic per second of one daemon at the target load.

    One ingress runs with all homes. On average, a daemon in its role as a home sends
    as much as its ingress receives.
    """
    limits, rows = make_limit_table(CUSTOMER_COUNT), []
    for name, customer in access_patterns(random.Random(seed)).items():
        for crest, per_s in ((False, REQUESTS_PER_S), (True, 10 * REQUESTS_PER_S)):
            fleet = Fleet(1, DAEMON_COUNT, limits, seed)
            utc_s = CREST_UTC_S if crest else 0.0
            arrivals = steady_arrivals(random.Random(seed), per_s, seconds, 1, customer)
            arrivals = list(arrivals)
            admitted = sum(1 for _ in run_arrivals(fleet, arrivals, utc_s))
            traffic = fleet.traffic
            wire_bytes = traffic.bytes + traffic.frames * TCP_IP_HEADER_BYTES
            rows.append(
                [
                    name,
                    "tenfold, crest" if crest else "ordinary",
                    f"{admitted / len(arrivals):.1%}",
                    f"{traffic.frames / seconds:.1f}",
                    f"{traffic.bytes / seconds:.0f}",
                    f"{wire_bytes / seconds:.0f}",
                ]
            )
    print_table(
        (
            "customers",
            "demand",
            "admitted",
            "frames/s",
            "bytes/s",
            "with TCP/IP headers",
        ),
        rows,
    )


def main(args=None):
    """Print the overshoot and the control traffic."""
    parser = argparse.ArgumentParser(prog=NAME, description=HELP)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args(args)
    print_overshoot(args.seed)
    print()
    print_traffic(args.seed, args.seconds)


if __name__ == "__main__":
    main()
