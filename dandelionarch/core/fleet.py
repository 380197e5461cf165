"""Fold of the `fleet` stream: announced endpoints, ejection claims and floors.

Floors are configured in another stream, and readers may be at different revisions of
it. This fold therefore takes floors only from `Floors` records in the fleet stream,
which are appended when an accepted revision changes a floor. So every reader reaches
the same verdict on a claim from the same prefix of this stream.
"""

import json
from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from enum import Enum

from dandelionarch.core import fleet_records as records
from dandelionarch.core.lists import Floor
from dandelionarch.core.streams import Fold
from dandelionarch.ids import Offset

FLEET_STREAM = "fleet"

# Withdrawals that are kept to reject late announcements: more than a day's worth at
# the target of 2,400 replacements a day.
MAX_WITHDRAWALS = 4096


class FleetVerdict(Enum):
    """Result of applying a fleet record in log order."""

    ACCEPTED = "accepted"
    OLD = "old"
    UNREAD_WITHDRAWAL = "unread_withdrawal"
    NOT_ANNOUNCED = "not_announced"
    ALREADY_CLAIMED = "already_claimed"
    NO_FLOOR = "no_floor"
    FLOOR = "floor"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class FleetChange:
    """Effect of one record: its verdict and the claims that it revoked."""

    record: object
    verdict: FleetVerdict
    revoked: tuple = ()


@dataclass(slots=True)
class HeldClaim:
    """An accepted claim that its agent has not released.

    A revoked claim still counts as an ejection when a new claim is judged, because
    its agent may not have read the revocation.
    """

    claim: records.EjectClaim
    revoked: bool = False


@dataclass(slots=True)
class AnnouncedVm:
    """The latest accepted announcement of a VM and the number of its last claim."""

    announce: records.Announce
    last_claim: int = 0


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Withdrawal of a VM incarnation at an offset of the stream."""

    incarnation: int
    version: int
    offset: Offset


@dataclass(slots=True)
class ServiceState:
    """Announced endpoints and held claims of one service, by endpoint id."""

    announced: dict = field(default_factory=dict)
    claims: dict = field(default_factory=dict)


class FleetFold(Fold):
    """Announced endpoints and accepted claims as a function of the stream.

    Attributes
    ----------
    vms : dict of VmId to AnnouncedVm
    services : dict of ServiceName to ServiceState
    floors : dict of ServiceName to Floor
    floors_revision : int
        Configuration revision of `floors`; 0 before the first `Floors` record.
    next_offset : Offset
        Offset after the last record that was folded.
    """

    stream = FLEET_STREAM

    def __init__(self):
        self._clear()

    def _clear(self):
        self.vms = {}
        self.services = {}
        self.floors = {}
        self.floors_revision = 0
        self.next_offset = Offset(0)
        self._withdrawals = OrderedDict()
        self._last_evicted_offset = Offset(-1)

    def apply(self, record):
        """Fold one record and return its `FleetChange`."""
        self.next_offset = Offset(record.offset + 1)
        try:
            rec = records.from_bytes(record.data)
        except ValueError:
            return FleetChange(None, FleetVerdict.INVALID)
        handler = getattr(self, f"_apply_{type(rec).__name__.lower()}")
        verdict, affected = handler(rec, record.offset)
        return FleetChange(rec, verdict, self._revoke(affected))

    def floor_count(self, service):
        """Return the floor of a service in endpoints, or None if none is known."""
        floor = self.floors.get(service)
        if floor is None:
            return None
        state = self.services.get(service)
        return floor.count(len(state.announced) if state else 0)

    def headroom(self, service):
        """Return how many more claims would be accepted; 0 if no floor is known."""
        floor = self.floor_count(service)
        state = self.services.get(service)
        if floor is None or state is None:
            return 0
        return max(0, len(state.announced) - len(state.claims) - floor)

    def held_claim(self, endpoint_id, service):
        """Return the `HeldClaim` on an endpoint or None."""
        state = self.services.get(service)
        return None if state is None else state.claims.get(endpoint_id)

    def newest_incarnation(self, vm_id):
        """Return the highest known incarnation of a VM, or 0."""
        known = self.vms.get(vm_id)
        if known is not None:
            return known.announce.incarnation
        withdrawal = self._withdrawals.get(vm_id)
        return 0 if withdrawal is None else withdrawal.incarnation

    def addresses(self):
        """Return (host, gossip port) of every announced VM."""
        return [(v.announce.host, v.announce.gossip_port) for v in self.vms.values()]

    def _service(self, service):
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceState()
        return state

    def _apply_announce(self, rec, offset):
        verdict = self._announce_verdict(rec)
        if verdict is not FleetVerdict.ACCEPTED:
            return verdict, ()
        known = self.vms.get(rec.vm_id)
        last_claim = 0
        affected = {e.service for e in rec.endpoints}
        if known is not None:
            affected |= {e.service for e in known.announce.endpoints}
            same_incarnation = known.announce.incarnation == rec.incarnation
            last_claim = known.last_claim if same_incarnation else 0
            self._drop_endpoints(
                known.announce, rec.endpoints if same_incarnation else ()
            )
        for e in rec.endpoints:
            owner = (rec.vm_id, e.incarnation)
            self._service(e.service).announced[e.endpoint_id] = owner
        self.vms[rec.vm_id] = AnnouncedVm(rec, last_claim)
        self._withdrawals.pop(rec.vm_id, None)
        return verdict, affected

    def _announce_verdict(self, rec):
        known = self.vms.get(rec.vm_id)
        key = (rec.incarnation, rec.version)
        if known is not None:
            newest = (known.announce.incarnation, known.announce.version)
            return FleetVerdict.ACCEPTED if key > newest else FleetVerdict.OLD
        # A withdrawal drops the VM's claims, and its agent ends its ejections when it
        # reads the withdrawal. An announcement written before that is refused, as it
        # would bring back endpoints that are ejected without a claim.
        withdrawal = self._withdrawals.get(rec.vm_id)
        if withdrawal is None:
            unread = rec.read_to <= self._last_evicted_offset
        elif key <= (withdrawal.incarnation, withdrawal.version):
            return FleetVerdict.OLD
        else:
            unread = rec.read_to <= withdrawal.offset
        return FleetVerdict.UNREAD_WITHDRAWAL if unread else FleetVerdict.ACCEPTED

    def _drop_endpoints(self, announce, keep):
        """Drop a VM's endpoints, and their claims except on endpoints in `keep`."""
        kept_endpoints = set(keep)
        for e in announce.endpoints:
            state = self._service(e.service)
            owner = state.announced.get(e.endpoint_id)
            if owner is not None and owner[0] == announce.vm_id:
                del state.announced[e.endpoint_id]
            held = state.claims.get(e.endpoint_id)
            is_own = held is not None and held.claim.vm_id == announce.vm_id
            if is_own and e not in kept_endpoints:
                del state.claims[e.endpoint_id]

    def _apply_withdraw(self, rec, offset):
        known = self.vms.get(rec.vm_id)
        if known is None or known.announce.incarnation > rec.incarnation:
            return FleetVerdict.OLD, ()
        self._drop_endpoints(known.announce, ())
        del self.vms[rec.vm_id]
        self._withdrawals[rec.vm_id] = Withdrawal(
            known.announce.incarnation, known.announce.version, offset
        )
        if len(self._withdrawals) > MAX_WITHDRAWALS:
            _, oldest = self._withdrawals.popitem(last=False)
            self._last_evicted_offset = max(self._last_evicted_offset, oldest.offset)
        return FleetVerdict.ACCEPTED, {e.service for e in known.announce.endpoints}

    def _apply_ejectclaim(self, rec, offset):
        verdict = self._claim_verdict(rec)
        vm = self.vms.get(rec.vm_id)
        if vm is not None and vm.announce.incarnation == rec.vm_incarnation:
            vm.last_claim = max(vm.last_claim, rec.number)
        if verdict is FleetVerdict.ACCEPTED:
            self._service(rec.service).claims[rec.endpoint_id] = HeldClaim(rec)
        return verdict, ()

    def _claim_verdict(self, rec):
        vm = self.vms.get(rec.vm_id)
        state = self.services.get(rec.service)
        if vm is None or vm.announce.incarnation != rec.vm_incarnation:
            return FleetVerdict.NOT_ANNOUNCED
        if rec.number <= vm.last_claim:
            return FleetVerdict.OLD
        if vm.announce.version < rec.version or state is None:
            return FleetVerdict.NOT_ANNOUNCED
        if state.announced.get(rec.endpoint_id) != (rec.vm_id, rec.incarnation):
            return FleetVerdict.NOT_ANNOUNCED
        if rec.endpoint_id in state.claims:
            return FleetVerdict.ALREADY_CLAIMED
        floor = self.floor_count(rec.service)
        if floor is None:
            return FleetVerdict.NO_FLOOR
        if not self._keeps_floor(state, floor):
            return FleetVerdict.FLOOR
        return FleetVerdict.ACCEPTED

    def _keeps_floor(self, state, floor):
        return len(state.announced) - len(state.claims) - 1 >= floor

    def _apply_readmit(self, rec, offset):
        vm = self.vms.get(rec.vm_id)
        if vm is None or vm.announce.incarnation != rec.vm_incarnation:
            return FleetVerdict.OLD, ()
        for e in vm.announce.endpoints:
            claims = self._service(e.service).claims
            held = claims.get(e.endpoint_id)
            if held is not None and held.claim.number == rec.number:
                del claims[e.endpoint_id]
                return FleetVerdict.ACCEPTED, ()
        return FleetVerdict.OLD, ()

    def _apply_floors(self, rec, offset):
        if rec.revision <= self.floors_revision:
            return FleetVerdict.OLD, ()
        self.floors_revision = rec.revision
        self.floors = {name: Floor(amount, unit) for name, amount, unit in rec.floors}
        return FleetVerdict.ACCEPTED, list(self.services)

    def _revoke(self, services):
        """Revoke the least unhealthy claims until each service has its floor."""
        revoked = []
        for service in sorted(services):
            state = self._service(service)
            floor = self.floor_count(service)
            if floor is None:
                floor = len(state.announced)
            active = [h for h in state.claims.values() if not h.revoked]
            active.sort(key=lambda h: (h.claim.score, h.claim.endpoint_id))
            missing = floor - (len(state.announced) - len(active))
            for held in active[: max(0, missing)]:
                held.revoked = True
                revoked.append(held.claim)
            if not state.announced and not state.claims:
                del self.services[service]
        return tuple(revoked)

    def snapshot(self):
        body = {
            "next": self.next_offset,
            "forgotten": self._last_evicted_offset,
            "revision": self.floors_revision,
            "floors": [[n, f.amount, f.unit] for n, f in self.floors.items()],
            "vms": [
                [records.to_bytes(v.announce).decode(), v.last_claim]
                for v in self.vms.values()
            ],
            "withdrawals": [
                [vm, *asdict(w).values()] for vm, w in self._withdrawals.items()
            ],
            "claims": [
                [records.to_bytes(h.claim).decode(), h.revoked]
                for _, state in sorted(self.services.items())
                for _, h in sorted(state.claims.items())
            ],
        }
        return json.dumps(body, separators=(",", ":")).encode()

    def restore(self, data):
        body = json.loads(data)
        self._clear()
        self.floors_revision = body["revision"]
        self.floors = {name: Floor(n, unit) for name, n, unit in body["floors"]}
        for text, last_claim in body["vms"]:
            announce = records.from_bytes(text)
            self._apply_announce(announce, 0)
            self.vms[announce.vm_id].last_claim = last_claim
        for text, revoked in body["claims"]:
            claim = records.from_bytes(text)
            claims = self._service(claim.service).claims
            claims[claim.endpoint_id] = HeldClaim(claim, revoked)
        for vm, *row in body["withdrawals"]:
            self._withdrawals[vm] = Withdrawal(*row)
        self._last_evicted_offset = Offset(body["forgotten"])
        self.next_offset = Offset(body["next"])
