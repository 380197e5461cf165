"""Fleet service: this daemon's part in the fleet stream."""

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

TICK_S = 0.2
# Endpoints that change within this time are announced in one record.
BURST_S = 0.4
REPEAT_S = 5.0
CLAIM_TIMEOUT_S = 10.0
WITHDRAW_TIMEOUT_S = 2.0
SERVING = (EndpointState.READY, EndpointState.STARTING)


class FleetService:
    """Announces this VM, withdraws dead ones, and answers ejection claims.

    Parameters
    ----------
    streams : StreamService
    directory : Directory
    vm : Vm
        This daemon.
    floors : callable
        Returns (revision, lists) of the accepted configuration, or None before there
        is one.
    """

    def __init__(self, streams, directory, vm, floors):
        self.fold = FleetFold()
        self._streams = streams
        self._directory = directory
        self._vm = vm
        self._floors = floors
        self._holder = self._new_holder(vm.incarnation)
        self._withdrawals = WithdrawalSchedule(vm.vm_id)
        self._revoke_callbacks = []
        self._waiting = {}
        self._queue = asyncio.Queue()
        self._changed_at = 0.0
        self._announced_at = float("-inf")
        self._repeated_at = float("-inf")
        self._floors_seen = (0, 0.0)
        self._floors_same = None
        self._leaving = False
        streams.add_fold(self.fold)
        streams.on_applied(FLEET_STREAM, self._on_applied)
        streams.on_restored(FLEET_STREAM, self._on_restored)
        directory.on_change(self._on_directory_change)

    def _new_holder(self, incarnation):
        vm = self._vm
        return ClaimHolder(vm.vm_id, incarnation, vm.host, vm.gossip_port)

    async def claim(self, endpoint_id, incarnation, service, score):
        """Ask the fleet for the ejection of an endpoint beside this daemon.

        Returns
        -------
        bool
            True once the claim has been read back as accepted. The endpoint may then
            be ejected until `release`, or until the revocation callback is called.
            Always False while the log is unavailable.
        """
        if (endpoint_id, incarnation) in self._holder.ejected_endpoints():
            return True
        if self._leaving or not (self._streams.ready and self._streams.available):
            return False
        number, commands = self._holder.claim(endpoint_id, incarnation, service, score)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        self._carry_out(commands)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                verdict = await fut
        except TimeoutError:
            self._carry_out(self._holder.cancel_claim(number))
            verdict = None
        finally:
            self._waiting.pop(number, None)
        event(
            log,
            "ejection_claim",
            endpoint=endpoint_id,
            service=service,
            verdict=verdict.value if verdict else "unknown",
            headroom=self.fold.headroom(service),
        )
        # A revocation may have been read since, before this coroutine went on.
        return (endpoint_id, incarnation) in self._holder.ejected_endpoints()

    async def release(self, endpoint_id, incarnation):
        """Release a claim; call it after the endpoint is no longer ejected.

        The record is repeated until it has been read back.
        """
        self._carry_out(self._holder.release(endpoint_id, incarnation))

    def on_revoke(self, callback):
        """Call `callback(endpoint_id, incarnation)` when an ejection must end.

        The callback has to end it before it returns.
        """
        self._revoke_callbacks.append(callback)

    def use_incarnation(self, incarnation):
        """Go on as another incarnation, because of a former process's clock."""
        self._carry_out(self._holder.stop_all("incarnation raised"))
        self._holder = self._new_holder(incarnation)

    def headroom(self):
        """Return the claims that would still be accepted, by service."""
        return {s: self.fold.headroom(s) for s in sorted(self.fold.services)}

    def ejected(self):
        """Return the endpoints of the fleet that a claim in the log ejects."""
        return sorted(e for s in self.fold.services.values() for e in s.claims)

    async def run(self):
        """Do this daemon's part until cancelled."""
        writer = asyncio.create_task(self._write())
        try:
            while True:
                await asyncio.sleep(TICK_S)
                if self._streams.ready:
                    self._tick(asyncio.get_running_loop().time())
        finally:
            writer.cancel()

    async def leave(self):
        """Withdraw this VM from the fleet stream, if the log answers in time."""
        self._leaving = True
        self._carry_out(self._holder.stop_all("leaving"))
        record = records.Withdraw(self._vm.vm_id, self._holder.incarnation)
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self._streams.append(FLEET_STREAM, records.to_bytes(record))
        except (TimeoutError, PlatformError) as exc:
            event(log, "withdraw_unknown", logging.WARNING, detail=str(exc))

    def _tick(self, now):
        if not self._streams.available:
            self._keep_floor_alone()
            return
        if not self._leaving and now - self._changed_at >= BURST_S:
            self._announce(now)
        if now - self._repeated_at >= REPEAT_S:
            self._repeated_at = now
            self._carry_out(self._holder.unconfirmed_readmits())
        self._withdraw_dead(now)
        self._publish_floors(now)

    def _own_endpoints(self):
        return tuple(
            records.AnnouncedEndpoint(e.endpoint_id, e.incarnation, e.service)
            for e in sorted(
                self._directory.endpoints_of_vm(self._vm.vm_id),
                key=lambda e: e.endpoint_id,
            )
            if e.state in SERVING
        )

    def _announce(self, now):
        """Announce this VM if the stream says something else of it."""
        newest = self.fold.newest_incarnation(self._vm.vm_id)
        if newest > self._holder.incarnation:
            # A former process had a clock ahead of this one's; what this process
            # announces would be taken for the older.
            self.use_incarnation(newest + 1)
        endpoints = self._own_endpoints()
        known = self.fold.vms.get(self._vm.vm_id)
        told = known and (known.announce.incarnation, known.announce.endpoints)
        if told == (self._holder.incarnation, endpoints):
            return
        same = endpoints == self._holder.endpoints
        if same and now - self._announced_at < REPEAT_S:
            return
        self._announced_at = now
        self._carry_out(self._holder.announce(endpoints, self.fold.next_offset))

    def _living(self):
        return {
            vm.vm_id
            for vm in self._directory.vms.values()
            if vm.state is not VmState.DEAD
        }

    def _withdraw_dead(self, now):
        due = self._withdrawals.vms_to_withdraw(self.fold.vms, self._living(), now)
        for vm_id in due:
            incarnation = self.fold.vms[vm_id].announce.incarnation
            event(log, "vm_withdrawn", vm=vm_id, incarnation=incarnation)
            self._queue.put_nowait(records.Withdraw(vm_id, incarnation))

    def _publish_floors(self, now):
        """Append the floors if an accepted revision has changed them."""
        in_force = self._floors()
        if in_force is None or in_force[0] <= self.fold.floors_revision:
            return
        revision, lists = in_force
        if self._floors_same == (revision, self.fold.floors_revision):
            return
        floors = tuple(
            (name, floor.amount, floor.unit)
            for name in sorted(lists.services)
            for floor in [lists.floor(name)]
        )
        told = {(name, f.amount, f.unit) for name, f in self.fold.floors.items()}
        if set(floors) == told:
            self._floors_same = (revision, self.fold.floors_revision)
            return
        if self._floors_seen[0] != revision:
            wait_s = stagger_s(f"floors-{revision}", self._vm.vm_id, self._living())
            self._floors_seen = (revision, now + wait_s)
        if now >= self._floors_seen[1]:
            self._floors_seen = (revision, now + REPEAT_S)
            self._queue.put_nowait(records.Floors(revision, floors))

    def _keep_floor_alone(self):
        """End ejections by the own view while no withdrawal can be appended."""
        living = self._living()
        for service, state in self.fold.services.items():
            floor = self.fold.floor_count(service)
            up = {e for e, (vm_id, _) in state.announced.items() if vm_id in living}
            short = floor - len(up - set(state.claims)) if floor is not None else 0
            if short > 0:
                stopped = self._holder.stop_least_unhealthy(
                    service, short, "log unavailable"
                )
                self._carry_out(stopped)

    def _carry_out(self, commands):
        for command in commands:
            if isinstance(command, AppendRecord):
                self._queue.put_nowait(command.record)
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
                fut = self._waiting.get(command.number)
                if fut is not None and not fut.done():
                    fut.set_result(command.verdict)

    async def _write(self):
        """Append records one after the other, in the order of their writing."""
        while True:
            record = await self._queue.get()
            try:
                await self._streams.append(FLEET_STREAM, records.to_bytes(record))
            except PlatformError as exc:
                # What is not read back is written again by the next ticks.
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
        self._carry_out(self._holder.on_record(change))

    def _on_restored(self):
        self._carry_out(self._holder.resync(self.fold))

    def _on_directory_change(self, thing):
        if isinstance(thing, Endpoint) and thing.vm_id == self._vm.vm_id:
            self._changed_at = asyncio.get_running_loop().time()
