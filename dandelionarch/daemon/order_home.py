"""Home side of orders: decides on claims of keys, by partitions of the log.

Keys that were issued by this daemon are decided in its memory.
"""

import asyncio
import logging
from collections import OrderedDict

from dandelionarch.core.issued_keys import IssuedOrders
from dandelionarch.core.messages import orders as msgs
from dandelionarch.core.messages.request import Header
from dandelionarch.core.orders import (
    PARTITIONS,
    AppendQueue,
    Claim,
    ClaimRelease,
    ClaimVerdict,
    EraMark,
    OrderFold,
    OrderResult,
    StoredAnswer,
    decode_items,
    encode_items,
    partition_of,
    stream_name,
)
from dandelionarch.core.rendezvous import HomeRanks
from dandelionarch.core.streams import Record
from dandelionarch.core.world import Vm
from dandelionarch.errors import OffsetTruncatedError, PlatformError
from dandelionarch.ids import RecordId
from dandelionarch.logs import event

log = logging.getLogger(__name__)

READ_WAIT_MS = 2000
READ_TIMEOUT_S = 3.0
MAX_RECORDS_PER_READ = 1000
LOG_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
# A single failed append is often a lost reply; two in a row mean an outage.
FAILED_APPENDS_FOR_OUTAGE = 2
UPDATE_PERIOD_S = 1.0
# The second home follows the partition too, so that it can take over at once.
HOMES_PER_PARTITION = 2
MAX_RECENT_ANSWERS = 1000
PROBE_PERIOD_S = 1.0


class PartitionHome:
    """Follows one partition's stream and appends claims to it, in two tasks."""

    def __init__(self, partition, client, window_s):
        self.fold = OrderFold(partition, window_s)
        self.queue = AppendQueue()
        self._client = client
        self._answers = OrderedDict()
        self._next_offset = 0
        self._era = client.era
        self._has_gap = False
        self._caught_up = False
        self._available = True
        self._failed_appends = 0
        self._probe_after = 0.0
        self._state_changed = asyncio.Condition()
        self._has_items = asyncio.Event()
        self._tasks = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._append()),
        ]

    async def stop(self):
        """Cancel both tasks; waiting claims get no verdict."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def claim(self, claim, wait_s):
        """Return (verdict, answer) within `wait_s` seconds."""
        verdict = None
        try:
            async with asyncio.timeout(wait_s):
                async with self._state_changed:
                    while not self._is_final(verdict := self._try_claim(claim)):
                        await self._state_changed.wait()
                if verdict is ClaimVerdict.RAN:
                    return await self._with_answer(claim)
        except TimeoutError:
            pass
        finally:
            self.queue.drop_claim(claim.claim_id)
        return verdict or ClaimVerdict.UNAVAILABLE, None

    def end_claim(self, item):
        """Append the outcome of a claim."""
        self.queue.add(item)
        self._has_items.set()

    def _try_claim(self, claim):
        """Return the verdict on a claim, or None while it waits for the log."""
        if not self.fold.is_marked(self._client.era):
            return self._begin_claim(EraMark(self._client.era))
        verdict = self.fold.verdict(claim)
        if verdict is ClaimVerdict.TAKEN:
            holder, _ = self.fold.holder(claim.key)
            return verdict if self._known_answer(holder) is None else ClaimVerdict.RAN
        if verdict is not None:
            return verdict
        return self._begin_claim(claim)

    def _begin_claim(self, item):
        """Append an item without which there is no verdict, unless the log is away.

        It is the claim, or the mark that tells all homes that claims may be missing.
        """
        now = asyncio.get_running_loop().time()
        if not self._available and now < self._probe_after:
            return ClaimVerdict.UNAVAILABLE
        if self._caught_up:
            self.queue.add(item)
            self._has_items.set()
        return None

    def _is_final(self, verdict):
        # During an outage nothing new becomes known of a key that is taken.
        if verdict is ClaimVerdict.TAKEN:
            return not self._available
        return verdict is not None

    def _known_answer(self, claim_id):
        return self.queue.pending_answer(claim_id) or self._answers.get(claim_id)

    async def _with_answer(self, claim):
        """Return (verdict, answer) of an order that has run.

        The answer is read from the log if it is not in memory.
        """
        claim_id, offset = self.fold.holder(claim.key)
        answer = self._known_answer(claim_id)
        if answer is None:
            try:
                records = await self._client.read(self.fold.stream, offset, limit=1)
            except PlatformError:
                return ClaimVerdict.UNAVAILABLE, None
            for item in (i for r in records for i in decode_items(r.data)):
                if isinstance(item, OrderResult) and item.claim_id == claim_id:
                    answer = item.answer
        return ClaimVerdict.RAN, answer

    def _keep_answer(self, item):
        """Keep the answers of the latest orders, which are most likely repeated."""
        self._answers[item.claim_id] = item.answer
        if len(self._answers) > MAX_RECENT_ANSWERS:
            self._answers.popitem(last=False)

    async def _follow(self):
        while True:
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    records = await self._client.read(
                        self.fold.stream,
                        self._next_offset,
                        limit=MAX_RECORDS_PER_READ,
                        wait_ms=READ_WAIT_MS if self._caught_up else 0,
                    )
                if self._client.era == self._era:
                    await self._apply(records)
                else:
                    await self._on_restored()
            except OffsetTruncatedError as exc:
                self._skip_to(exc.first_offset)
            except (PlatformError, TimeoutError):
                await self._set_available(False)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _on_restored(self):
        """Read the stream again, as offsets of an earlier era stand for other records.

        What was read before stays known: applying a record again has no effect.
        """
        self._era = self._client.era
        self._next_offset = 0
        self._caught_up = False
        async with self._state_changed:
            self._state_changed.notify_all()

    def _skip_to(self, first_offset):
        """Continue after records that the log's retention has removed unread."""
        self._has_gap = self._next_offset > 0
        self._next_offset = first_offset

    async def _apply(self, records):
        if records and self._has_gap:
            self._has_gap = False
            self.fold.on_history_lost(records[0].time_s)
        for record in records:
            self._next_offset = record.offset + 1
            record_with_id = Record(
                record.offset, record.time_s, RecordId(""), record.data
            )
            for item in self.fold.apply(record_with_id):
                if self.queue.confirm(item):
                    # The append took effect; only its reply was lost.
                    self._failed_appends = 0
                if isinstance(item, OrderResult):
                    self._keep_answer(item)
        # A reply with fewer records than the limit reaches the end of the stream.
        caught_up = self._caught_up or len(records) < MAX_RECORDS_PER_READ
        changed = records or caught_up != self._caught_up or not self._available
        self._caught_up = caught_up
        self._available = self._failed_appends < FAILED_APPENDS_FOR_OUTAGE
        if changed:
            async with self._state_changed:
                self._state_changed.notify_all()

    async def _append(self):
        loop = asyncio.get_running_loop()
        while True:
            if not len(self.queue):
                self._has_items.clear()
                await self._has_items.wait()
            items = self.queue.next_batch(loop.time())
            if not items:
                await asyncio.sleep(self.queue.period_s / 5)
                continue
            try:
                async with asyncio.timeout(LOG_TIMEOUT_S):
                    await self._client.append(self.fold.stream, encode_items(items))
                self._failed_appends = 0
                if not self._available:
                    await self._set_available(True)
            except (PlatformError, TimeoutError) as exc:
                self._failed_appends += 1
                event(
                    log,
                    "claim_append_in_doubt",
                    logging.WARNING,
                    stream=self.fold.stream,
                    items=len(items),
                    error=type(exc).__name__,
                )
                self.queue.delay_append(loop.time(), RETRY_DELAY_S)
                if self._failed_appends >= FAILED_APPENDS_FOR_OUTAGE:
                    await self._set_available(False)

    async def _set_available(self, available):
        if not available:
            # After this time claims are appended again, to detect the log's recovery.
            self._probe_after = asyncio.get_running_loop().time() + PROBE_PERIOD_S
        if available != self._available:
            self._available = available
            event(log, "order_log", stream=self.fold.stream, available=available)
        async with self._state_changed:
            self._state_changed.notify_all()


class OrderHomes:
    """Answers claims for the partitions and the issued keys of this VM.

    Parameters
    ----------
    client : LogClient
    network : PeerNetwork
    directory : Directory
    vm : Vm
        This daemon's VM.
    window_s : float
        Seconds for which a key is remembered.
    """

    def __init__(self, client, network, directory, vm, window_s):
        self.issued = IssuedOrders(window_s)
        self._client = client
        self.directory = directory
        self.vm = vm
        self._window_s = window_s
        self._partitions = {}
        self._ranks = HomeRanks(
            map(stream_name, range(PARTITIONS)), HOMES_PER_PARTITION
        )
        self._members_changed = True
        directory.subscribe_changes(self._on_change)
        network.subscribe(msgs.ClaimQuery, self._on_query)
        network.subscribe(msgs.OrderOutcome, self._on_outcome)

    async def run(self):
        """Follow the partitions whose home is this VM, until cancelled."""
        try:
            while True:
                await self._update_partitions()
                await asyncio.sleep(UPDATE_PERIOD_S)
        finally:
            for home in self._partitions.values():
                await home.stop()

    def homes_of(self, partition):
        """Return the homes of a partition, the preferred one first."""
        if self._members_changed:
            self._members_changed = False
            self._ranks.set_members(vm.vm_id for vm in self.directory.live_vms())
        return self._ranks.homes(stream_name(partition))

    def issue_sequences(self, count):
        """Return the sequence numbers of new keys."""
        return self.issued.issue(count, asyncio.get_running_loop().time())

    def _on_change(self, member):
        self._members_changed = self._members_changed or isinstance(member, Vm)

    async def _update_partitions(self):
        for partition in range(PARTITIONS):
            if self.vm.vm_id in self.homes_of(partition):
                self._partition_home(partition)
            elif (home := self._partitions.get(partition)) and not len(home.queue):
                del self._partitions[partition]
                await home.stop()

    def _partition_home(self, partition):
        home = self._partitions.get(partition)
        if home is None:
            home = PartitionHome(partition, self._client, self._window_s)
            self._partitions[partition] = home
        return home

    async def _on_query(self, link, query):
        claim = Claim(
            query.key, query.body, query.claim_id, query.vm_id, query.incarnation
        )
        if query.sequence:
            now = asyncio.get_running_loop().time()
            verdict, answer = self.issued.claim(claim, query.sequence, now)
        else:
            home = self._partition_home(partition_of(query.key))
            verdict, answer = await home.claim(claim, query.wait_ms / 1000)
        event(
            log,
            "claim",
            key=query.key,
            claim=query.claim_id,
            claimant=query.vm_id,
            verdict=verdict.value,
        )
        if answer is None:
            return msgs.ClaimReply(verdict.value, 0, (), b"", False)
        headers = tuple(Header(name, value) for name, value in answer.headers)
        body = answer.body
        return msgs.ClaimReply(
            verdict.value, answer.status, headers, body or b"", body is not None
        )

    def _on_outcome(self, link, msg):
        if msg.ran:
            headers = tuple((h.name, h.value) for h in msg.headers)
            body = msg.body if msg.has_body else None
            item = OrderResult(
                msg.key, msg.claim_id, StoredAnswer(msg.status, headers, body)
            )
        else:
            item = ClaimRelease(msg.key, msg.claim_id)
        if msg.sequence:
            self.issued.record_outcome(item, msg.sequence)
        else:
            self._partition_home(partition_of(msg.key)).end_claim(item)
