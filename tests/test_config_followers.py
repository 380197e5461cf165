"""A change of the configuration reaches all daemons, though only a few read the store.

The operator changes the configuration several times within seconds, in a fleet of 60
daemons in three data centres; the daemons that read the store may be lost, and daemons
start during a change.
"""

import asyncio

from dandelionarch.core.keyed_log import KeyedLog, Position
from dandelionarch.core.placement import FOLLOWERS_PER_DATA_CENTRE
from dandelionarch.daemon.follower import LONG_POLL_S, MAX_RETRY_DELAY_S
from dandelionarch.ids import Offset
from tests.support.config_fleet import Daemon, config_record, stop
from tests.support.memory_log import MemoryLog
from tests.support.virtual_loop import run_virtual

DATA_CENTRES = 3
DAEMONS_PER_DATA_CENTRE = 20
CHANGES = 5
# Every daemon has to apply a change within this time.
APPLY_LIMIT_S = 2.0
# Time between the store's answer to the first read of a daemon that starts and the
# moment at which the daemon has processed it.
START_DELAY_S = 0.3
# The store takes this long to write a large record.
APPEND_S = 1.1


class DelayedTopic(KeyedLog):
    """A topic whose newest records are processed after `START_DELAY_S`."""

    def __init__(self, topic):
        self._topic = topic

    async def newest(self):
        batch = await self._topic.newest()
        await asyncio.sleep(START_DELAY_S)
        return batch

    async def read(self, offset, wait_s):
        return await self._topic.read(offset, wait_s)

    async def append(self, record):
        return await self._topic.append(record)


class BusyLog(MemoryLog):
    """A topic whose appends take `APPEND_S`.

    An append answers only the reads that waited when it began.
    """

    async def append(self, record):
        waiting, self._record_appended = self._record_appended, asyncio.Event()
        await asyncio.sleep(APPEND_S)
        self._records.append(record)
        waiting.set()
        return Position(self._era, Offset(len(self._records) - 1))


async def start(topic):
    """Return a fleet whose daemons have all applied the first configuration."""
    fleet = {}
    await topic.append(config_record(1))
    for centre in range(DATA_CENTRES):
        for number in range(DAEMONS_PER_DATA_CENTRE):
            daemon = Daemon(fleet, topic, f"dc{centre}", number)
            daemon.join()
            daemon.start()
    await wait_for_revision(fleet, 1)
    return fleet


async def wait_for_revision(fleet, revision):
    """Wait until all daemons have applied a revision."""
    async with asyncio.timeout(APPLY_LIMIT_S):
        while any(daemon.revision < revision for daemon in fleet.values()):
            await asyncio.sleep(0.01)


class TestFollowers:
    """A few daemons read each change; all apply it in time."""

    def test_few_daemons_read_each_change(self):
        """Guards against a read by every daemon for every change.

        With 233 daemons, 25 changes in a row would cause 5,800 reads.
        """

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            reads = topic.reads
            for revision in range(2, 2 + CHANGES):
                await topic.append(config_record(revision))
                await wait_for_revision(fleet, revision)
            await stop(fleet)
            followers = DATA_CENTRES * FOLLOWERS_PER_DATA_CENTRE
            assert topic.reads - reads <= followers * (CHANGES + 1)

        run_virtual(main())

    def test_change_is_applied_after_the_loss_of_all_readers(self):
        """Guards against keeping an old configuration after all readers are lost."""

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            readers = [d for d in fleet.values() if not d.can_skip_reads()]
            assert len(readers) == DATA_CENTRES * FOLLOWERS_PER_DATA_CENTRE
            for daemon in readers:
                daemon.task.cancel()
                del fleet[daemon.vm_id]
            await topic.append(config_record(2))
            await wait_for_revision(fleet, 2)
            await stop(fleet)

        run_virtual(main())


class TestJoining:
    """A daemon that starts during a change applies it."""

    def test_change_during_the_start_is_applied(self):
        """Guards against an old configuration at a daemon that starts during a change.

        The change is appended after the daemon's first read and announced before the
        daemon's links open. Linked to enough readers, it reads no more itself.
        """

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            joiner = Daemon(fleet, DelayedTopic(topic), "dc0", DAEMONS_PER_DATA_CENTRE)
            joiner.start()
            await asyncio.sleep(START_DELAY_S / 3)
            await topic.append(config_record(2))
            await wait_for_revision(fleet, 2)
            joiner.join()
            assert joiner.can_skip_reads()
            assert joiner.revision < 2
            await wait_for_revision(fleet, 2)
            await stop(fleet)

        run_virtual(main())


class TestReadDuringAnAppend:
    """A read that begins during an append does not hold up the change."""

    def play(self, start_s):
        """Start a daemon `start_s` seconds into an append; return its revision.

        It has no peers. The revision is that of `APPLY_LIMIT_S` after the append.
        """

        async def main():
            topic, fleet = BusyLog(), {}
            await topic.append(config_record(1))
            daemon = Daemon(fleet, topic, "dc0", 0)
            daemon.join()
            appending = asyncio.create_task(topic.append(config_record(2)))
            await asyncio.sleep(start_s)
            daemon.start()
            await appending
            await asyncio.sleep(APPLY_LIMIT_S)
            await stop(fleet)
            return daemon.revision

        return run_virtual(main())

    def test_change_during_the_first_read_is_applied(self):
        """Guards against a long read that is answered only with the next change.

        The platform's store does not wake a read that begins while a record is written.
        """
        starts = [0.0, APPEND_S / 2, 0.9 * APPEND_S]
        assert [self.play(start_s) for start_s in starts] == [2, 2, 2]

    def test_change_as_the_store_returns_is_applied(self):
        """Guards against a long read that begins while the store is busy again.

        The operator writes at once, and the daemon's reads had become long before.
        """

        async def main():
            topic, fleet = BusyLog(), {}
            await topic.append(config_record(1))
            daemon = Daemon(fleet, topic, "dc0", 0)
            daemon.join()
            daemon.start()
            await asyncio.sleep(3 * LONG_POLL_S)
            topic.down = True
            await asyncio.sleep(2 * LONG_POLL_S)
            topic.down = False
            await topic.append(config_record(2))
            await asyncio.sleep(APPLY_LIMIT_S)
            await stop(fleet)
            return daemon.revision

        assert run_virtual(main()) == 2


class TestRestoredStore:
    """A store that comes back from an older copy gives offsets out again."""

    def play(self, lost, rewritten):
        """Play a return of the store that no daemon sees before the last change.

        The store loses `lost` of four revisions; the operator writes `rewritten`.
        """

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            for revision in range(2, 5):
                await topic.append(config_record(revision))
                await wait_for_revision(fleet, revision)
            topic.restore(lost)
            topic.down = True
            await asyncio.sleep(MAX_RETRY_DELAY_S)
            topic.down = False
            for revision in rewritten:
                await topic.append(config_record(revision))
            await asyncio.sleep(MAX_RETRY_DELAY_S)
            await wait_for_revision(fleet, rewritten[-1])
            await stop(fleet)

        run_virtual(main())

    def test_as_many_records_written_as_lost(self):
        """Guards against a reader that waits at an offset that was given out again.

        Revisions 3 and 4 are lost; 4 is written again and 5 follows. All readers come
        back to the end of the topic, where no record and no error awaits them.
        """
        self.play(lost=2, rewritten=[4, 5])

    def test_fewer_records_written_than_lost(self):
        """Guards against waiting at an offset that the topic does not have."""
        self.play(lost=3, rewritten=[4, 5])

    def test_more_records_written_than_lost(self):
        """Guards against going on after records that were never read."""
        self.play(lost=1, rewritten=[4, 5, 6])

    def test_two_returns(self):
        """Guards against a second return before a reader has seen the first."""

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            for revision in range(2, 5):
                await topic.append(config_record(revision))
                await wait_for_revision(fleet, revision)
            topic.restore(2)
            await topic.append(config_record(4))
            topic.restore(2)
            for revision in range(4, 7):
                await topic.append(config_record(revision))
            await asyncio.sleep(MAX_RETRY_DELAY_S)
            await wait_for_revision(fleet, 6)
            await stop(fleet)

        run_virtual(main())
