"""Measures the cost of orders: memory and time per key, and load of the log."""

import random
import resource
import time
import tracemalloc

from dandelionarch.core.issued_keys import IssuedOrders
from dandelionarch.core.orders import (
    PARTITIONS,
    AppendQueue,
    Claim,
    OrderFold,
    OrderResult,
    StoredAnswer,
    encode_items,
    key_digest,
)
from dandelionarch.core.streams import Record

NAME = "orders"
HELP = "memory, time and log load of orders at three sizes"

KEY_COUNTS = (10_000, 30_000, 100_000)
BATCH_SIZES = (1, 15, 50)
ANSWER = StoredAnswer(201, (("Content-Type", "application/json"),), b"x" * 120)
TARGET_REQUESTS_PER_S = 98_000
TARGET_ORDER_SHARE = 0.05
WINDOW_S = 3600.0


def make_orders(count, rng):
    """Yield the (claim, outcome) of `count` random orders."""
    for number in range(count):
        key = key_digest(f"customer-{number % 50_000}", f"{rng.getrandbits(128):032x}")
        body, claim_id = f"{rng.getrandbits(128):032x}", f"{rng.getrandbits(128):032x}"
        claim = Claim(key, body, claim_id, f"vm-{number % 890}", 1_796_354_981_373)
        yield claim, OrderResult(key, claim_id, ANSWER)


def measure_fold(count):
    """Return (bytes of memory, microseconds) per key that is claimed and ended."""
    orders = list(make_orders(count, random.Random(1)))
    records = [
        Record(2 * i, i / 100, "", encode_items([item]))
        for i, order in enumerate(orders)
        for item in order
    ]
    del orders
    tracemalloc.start()
    fold = OrderFold(0, WINDOW_S)
    for record in records:
        fold.apply(record)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fold = OrderFold(0, WINDOW_S)
    start_s = time.process_time()
    for record in records:
        fold.apply(record)
    cpu_s = time.process_time() - start_s
    return size / count, cpu_s / count * 1e6


def measure_issued_keys(count):
    """Return the bytes of memory per issued key that is claimed and ended."""
    orders = make_orders(count, random.Random(1))
    tracemalloc.start()
    table = IssuedOrders(WINDOW_S)
    for sequence, (claim, outcome) in zip(table.issue(count, 0.0), orders, strict=True):
        table.claim(claim, sequence, 1.0)
        table.record_outcome(outcome, sequence)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def record_bytes(batch_size):
    """Return the bytes in the log per order for its claim and its outcome."""
    orders = list(make_orders(batch_size, random.Random(1)))
    claims = encode_items([claim for claim, _ in orders])
    outcomes = encode_items([outcome for _, outcome in orders])
    return (len(claims) + len(outcomes)) / batch_size


def main(args=None):
    """Print the tables."""
    print("| keys in one partition | bytes per key | us per key |")
    print("|---|---|---|")
    for count in KEY_COUNTS:
        size, cpu_us = measure_fold(count)
        print(f"| {count} | {size:.0f} | {cpu_us:.1f} |")
    print("\n| issued keys in one home | bytes per key |")
    print("|---|---|")
    for count in KEY_COUNTS:
        print(f"| {count} | {measure_issued_keys(count):.0f} |")
    print("\n| orders per append | bytes in the log per order |")
    print("|---|---|")
    for size in BATCH_SIZES:
        print(f"| {size} | {record_bytes(size):.0f} |")
    orders_per_s = TARGET_REQUESTS_PER_S * TARGET_ORDER_SHARE
    max_appends_per_s = PARTITIONS / AppendQueue().period_s
    print(f"\nappends per second, one per claim: {orders_per_s:.0f}")
    print(f"appends per second, batched, at most: {max_appends_per_s:.0f}")
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory of this run: {peak_mb:.0f} MB")
    return 0


if __name__ == "__main__":
    main()
