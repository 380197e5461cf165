"""Fleet service: announcements, withdrawals and ejection claims in the fleet stream."""

import asyncio
import logging

from dandelionarch.core import fleet_records as records
from dandelionarch.core.claims import (
    AppendRecord,
    ClaimDecided,
    ClaimHolder,
    StopEjecting,
)
from dandelionarch.core.fleet import FLEET_STREAM, FleetFold, FleetVerdict
from dandelionarch.core.withdrawal import WithdrawalSchedule, stagger_s
from dandelionarch.core.world import Endpoint, EndpointState, VmState
from dandelionarch.errors import PlatformError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

TICK_PERIOD_S = 0.2
# Changes of endpoints within this time are announced in one record.
ANNOUNCE_DEBOUNCE_S = 0.4
# Period for appending announcements, readmissions and floors again until read back.
REPEAT_PERIOD_S = 5.0
CLAIM_TIMEOUT_S = 10.0
WITHDRAW_TIMEOUT_S = 2.0
SERVING_STATES = (EndpointState.READY, EndpointState.STARTING)


class FleetService:
    """Announces this VM, withdraws dead VMs, and claims ejections of its endpoints.

    Parameters
    ----------
    streams : StreamService
    directory : Directory
    vm : Vm
        The VM of this daemon.
    accepted_lists : callable
        Returns (revision, lists) of the accepted configuration, or None if there is
        none yet.

    Attributes
    ----------
    fold : FleetFold
        State of the fleet stream.
    """

    def __init__(self, streams, directory, vm, accepted_lists):
        self.fold = FleetFold()
        self._streams = streams
        self._directory = directory
        self._vm = vm
        self._accepted_lists = accepted_lists
        self._claim_holder = self._new_holder(vm.incarnation)
        self._withdrawals = WithdrawalSchedule(vm.vm_id)
        self._revoke_callbacks = []
        self._pending_claims = {}
        self._append_queue = asyncio.Queue()
        self._changed_at = 0.0
        self._announced_at = float("-inf")
        self._repeated_at = float("-inf")
        # Revision of the floors to append, and the loop time of the next append.
        self._floors_due = (0, 0.0)
        # Accepted and appended revision whose floors were found to be equal.
        self._floors_checked = None
        self._leaving = False
        streams.add_fold(self.fold)
        streams.subscribe_applied(FLEET_STREAM, self._on_applied)
        streams.subscribe_restored(FLEET_STREAM, self._on_restored)
        directory.subscribe_changes(self._on_directory_change)

    def _new_holder(self, incarnation):
        vm = self._vm
        return ClaimHolder(vm.vm_id, incarnation, vm.host, vm.gossip_port)

    async def claim(self, endpoint_id, incarnation, service, score):
        """Claim the ejection of an endpoint on this VM.

        Returns
        -------
        bool
            True once the claim has been read back as accepted. The endpoint may then
            stay ejected until `release`, or until the callbacks of
            `subscribe_revoked` are called. New claims are not accepted while the log
            is unavailable.
        """
        if (endpoint_id, incarnation) in self._claim_holder.ejected_endpoints():
            return True
        if self._leaving or not (self._streams.ready and self._streams.available):
            return False
        number, commands = self._claim_holder.claim(
            endpoint_id, incarnation, service, score
        )
        fut = asyncio.get_running_loop().create_future()
        self._pending_claims[number] = fut
        self._execute(commands)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                verdict = await fut
        except TimeoutError:
            self._execute(self._claim_holder.cancel_claim(number))
            verdict = None
        finally:
            self._pending_claims.pop(number, None)
        event(
            log,
            "ejection_claim",
            endpoint=endpoint_id,
            service=service,
            verdict=verdict.value if verdict else "unknown",
            headroom=self.fold.headroom(service),
        )
        # A revocation may have been read before this coroutine resumed.
        return (endpoint_id, incarnation) in self._claim_holder.ejected_endpoints()

    async def release(self, endpoint_id, incarnation):
        """Release a claim after the endpoint's ejection has ended.

        The record is appended again until it has been read back.
        """
        self._execute(self._claim_holder.release(endpoint_id, incarnation))

    def subscribe_revoked(self, callback):
        """Call `callback(endpoint_id, incarnation)` when an ejection must end.

        The callback must end the ejection before it returns.
        """
        self._revoke_callbacks.append(callback)

    def use_incarnation(self, incarnation):
        """Change to another incarnation; end the ejections of the present one.

        This is necessary if a former process on this VM, whose clock was ahead, had a
        higher incarnation.
        """
        self._execute(self._claim_holder.stop_all("incarnation raised"))
        self._claim_holder = self._new_holder(incarnation)

    def headroom(self):
        """Return how many more claims would be accepted, by service."""
        return {s: self.fold.headroom(s) for s in sorted(self.fold.services)}

    def ejected_endpoint_ids(self):
        """Return the ids of all endpoints of the fleet with an accepted claim."""
        return sorted(e for s in self.fold.services.values() for e in s.claims)

    async def run(self):
        """Announce, repeat, withdraw and append records until cancelled."""
        writer = asyncio.create_task(self._append_records())
        try:
            while True:
                await asyncio.sleep(TICK_PERIOD_S)
                if self._streams.ready:
                    self._tick(asyncio.get_running_loop().time())
        finally:
            writer.cancel()

    async def leave(self):
        """Withdraw this VM from the fleet stream, if the log answers in time."""
        self._leaving = True
        self._execute(self._claim_holder.stop_all("leaving"))
        record = records.Withdraw(self._vm.vm_id, self._claim_holder.incarnation)
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self._streams.append(FLEET_STREAM, records.to_bytes(record))
        except (TimeoutError, PlatformError) as exc:
            event(log, "withdraw_unknown", logging.WARNING, detail=str(exc))

    def _tick(self, now):
        if not self._streams.available:
            self._enforce_floors_locally()
            return
        if not self._leaving and now - self._changed_at >= ANNOUNCE_DEBOUNCE_S:
            self._announce(now)
        if now - self._repeated_at >= REPEAT_PERIOD_S:
            self._repeated_at = now
            self._execute(self._claim_holder.unconfirmed_readmits())
        self._withdraw_dead(now)
        self._publish_floors(now)

    def _own_endpoints(self):
        return tuple(
            records.AnnouncedEndpoint(e.endpoint_id, e.incarnation, e.service)
            for e in sorted(
                self._directory.endpoints_of_vm(self._vm.vm_id),
                key=lambda e: e.endpoint_id,
            )
            if e.state in SERVING_STATES
        )

    def _announce(self, now):
        """Announce this VM if the stream's state of it differs."""
        newest = self.fold.newest_incarnation(self._vm.vm_id)
        if newest > self._claim_holder.incarnation:
            # A former process had a clock ahead of this one's, so announcements of
            # this process would count as older.
            self.use_incarnation(newest + 1)
        endpoints = self._own_endpoints()
        known = self.fold.vms.get(self._vm.vm_id)
        announced = known and (known.announce.incarnation, known.announce.endpoints)
        if announced == (self._claim_holder.incarnation, endpoints):
            return
        is_unchanged = endpoints == self._claim_holder.endpoints
        if is_unchanged and now - self._announced_at < REPEAT_PERIOD_S:
            return
        self._announced_at = now
        self._execute(self._claim_holder.announce(endpoints, self.fold.next_offset))

    def _living_vm_ids(self):
        return {
            vm.vm_id
            for vm in self._directory.vms.values()
            if vm.state is not VmState.DEAD
        }

    def _withdraw_dead(self, now):
        dead_vm_ids = self._withdrawals.vms_to_withdraw(
            self.fold.vms, self._living_vm_ids(), now
        )
        for vm_id in dead_vm_ids:
            incarnation = self.fold.vms[vm_id].announce.incarnation
            event(log, "vm_withdrawn", vm=vm_id, incarnation=incarnation)
            self._append_queue.put_nowait(records.Withdraw(vm_id, incarnation))

    def _publish_floors(self, now):
        """Append the floors of the accepted configuration if they have changed."""
        accepted = self._accepted_lists()
        if accepted is None or accepted[0] <= self.fold.floors_revision:
            return
        revision, lists = accepted
        if self._floors_checked == (revision, self.fold.floors_revision):
            return
        floors = tuple(
            (name, floor.amount, floor.unit)
            for name in sorted(lists.services)
            for floor in [lists.floor(name)]
        )
        in_stream = {(name, f.amount, f.unit) for name, f in self.fold.floors.items()}
        if set(floors) == in_stream:
            self._floors_checked = (revision, self.fold.floors_revision)
            return
        if self._floors_due[0] != revision:
            wait_s = stagger_s(
                f"floors-{revision}", self._vm.vm_id, self._living_vm_ids()
            )
            self._floors_due = (revision, now + wait_s)
        if now >= self._floors_due[1]:
            self._floors_due = (revision, now + REPEAT_PERIOD_S)
            self._append_queue.put_nowait(records.Floors(revision, floors))

    def _enforce_floors_locally(self):
        """End own ejections below a floor while the log is unavailable.

        Withdrawals can't be appended then, so the directory determines the living VMs.
        """
        living = self._living_vm_ids()
        for service, state in self.fold.services.items():
            floor = self.fold.floor_count(service)
            living_endpoints = {
                e for e, (vm_id, _) in state.announced.items() if vm_id in living
            }
            missing = (
                floor - len(living_endpoints - set(state.claims))
                if floor is not None
                else 0
            )
            if missing > 0:
                commands = self._claim_holder.stop_least_unhealthy(
                    service, missing, "log unavailable"
                )
                self._execute(commands)

    def _execute(self, commands):
        for command in commands:
            if isinstance(command, AppendRecord):
                self._append_queue.put_nowait(command.record)
            elif isinstance(command, StopEjecting):
                event(
                    log,
                    "ejection_revoked",
                    endpoint=command.endpoint_id,
                    reason=command.reason,
                )
                for callback in self._revoke_callbacks:
                    callback(command.endpoint_id, command.incarnation)
            elif isinstance(command, ClaimDecided):
                fut = self._pending_claims.get(command.number)
                if fut is not None and not fut.done():
                    fut.set_result(command.verdict)

    async def _append_records(self):
        """Append queued records one at a time, in order."""
        while True:
            record = await self._append_queue.get()
            try:
                await self._streams.append(FLEET_STREAM, records.to_bytes(record))
            except PlatformError as exc:
                # Records that are not read back are appended again by later ticks.
                event(
                    log,
                    "fleet_append_unknown",
                    logging.WARNING,
                    record=type(record).__name__,
                    detail=str(exc),
                )

    def _on_applied(self, record, change):
        rec = change.record
        if change.verdict is FleetVerdict.ACCEPTED:
            if isinstance(rec, records.Withdraw):
                self._withdrawals.on_withdrawal(rec.vm_id, rec.incarnation)
                if rec.vm_id == self._vm.vm_id:
                    self._announced_at = float("-inf")
            elif isinstance(rec, records.Announce):
                self._withdrawals.on_announcement(rec.vm_id, rec.incarnation)
        self._execute(self._claim_holder.on_record(change))

    def _on_restored(self):
        self._execute(self._claim_holder.resync(self.fold))

    def _on_directory_change(self, changed):
        if isinstance(changed, Endpoint) and changed.vm_id == self._vm.vm_id:
            self._changed_at = asyncio.get_running_loop().time()
