"""Changes of a large configuration reach all daemons over thin links.

Pattern: 1,400 routes are in force and the operator changes one after the other, as soon
as the store has acknowledged the last change. Most VMs have links of 5.5 Mbit/s, and a
few of each data centre are faster, so that they have each change first.
"""

import asyncio
import json
import random

from dandelionarch.core.keyed_log import KeyedRecord
from tests.support.config_fleet import Daemon, RevisionFormat, stop
from tests.support.memory_log import MemoryLog
from tests.support.virtual_loop import run_virtual

DATA_CENTRES = 3
DAEMONS_PER_DATA_CENTRE = 24
FAST_PER_DATA_CENTRE = 2
THIN_BYTES_PER_S = 5.5e6 / 8
FAST_BYTES_PER_S = 200e6 / 8
ROUTES = 1400
CHANGES = 10
# Time between two changes; the store takes this long to acknowledge one.
CHANGE_PERIOD_S = 1.1
# Every daemon has to apply a change within this time.
APPLY_LIMIT_S = 2.0


def make_route(rng):
    """Return the (name, fields) of a route."""
    host, prefix, name = (f"{rng.getrandbits(40):x}" for _ in range(3))
    return name, {
        "host": f"{host}.example",
        "path_prefix": f"/{prefix}/",
        "route_type": "safe",
        "service": "orders",
        "timeout_ms": 10000,
        "target_latency_ms": 4000,
        "priority": 2,
        "max_attempts": 3,
    }


def records(rng):
    """Yield the records of one configuration after the other, a route more each."""
    routes = dict(make_route(rng) for _ in range(ROUTES))
    for revision in range(1, CHANGES + 2):
        body = {"version": revision, "routes": routes}
        yield KeyedRecord(RevisionFormat.key, json.dumps(body).encode())
        name, fields = make_route(rng)
        routes[name] = fields


def start(topic):
    """Return the fleet."""
    fleet = {}
    for centre in range(DATA_CENTRES):
        for number in range(DAEMONS_PER_DATA_CENTRE):
            fast = number < FAST_PER_DATA_CENTRE
            bytes_per_s = FAST_BYTES_PER_S if fast else THIN_BYTES_PER_S
            daemon = Daemon(fleet, topic, f"dc{centre}", number, bytes_per_s)
            daemon.join()
            daemon.start()
    return fleet


async def play():
    """Make the changes.

    Returns
    -------
    list of int
        Number of daemons behind, `APPLY_LIMIT_S` after each change.
    """
    topic, behind, checks = MemoryLog(), [], []
    loop = asyncio.get_running_loop()
    contents = records(random.Random(1))
    await topic.append(next(contents))
    fleet = start(topic)

    def check(revision):
        behind.append(sum(d.revision < revision for d in fleet.values()))

    await asyncio.sleep(2 * APPLY_LIMIT_S)
    check(1)
    for revision, record in enumerate(contents, 2):
        await topic.append(record)
        checks.append(loop.call_later(APPLY_LIMIT_S, check, revision))
        await asyncio.sleep(CHANGE_PERIOD_S)
    await asyncio.sleep(APPLY_LIMIT_S)
    await stop(fleet)
    return behind


class TestLargeConfiguration:
    """Each of many changes of a large configuration is applied in time."""

    def test_changes_in_a_row_are_applied_by_all_daemons(self):
        """Guards against old configurations while copies of a large one fill the links.

        On sntal-cl-grown, daemons were up to 11 s behind after 1,400 routes were added.
        """
        behind = run_virtual(play())
        assert len(behind) == CHANGES + 1
        assert behind == [0] * len(behind)
