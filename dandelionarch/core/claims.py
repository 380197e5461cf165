"""The agent's side of the fleet stream: its announcements and ejection claims.

An agent ejects an endpoint only between reading its claim back as accepted and writing
the `Readmit` of that claim. No clock is involved: however long an agent is paused, its
claims stay in the log and count as ejections.
"""

from dataclasses import dataclass
from enum import Enum

from dandelionarch.core import fleet_records as records
from dandelionarch.core.fleet import FleetVerdict


class ClaimState(Enum):
    """State of a claim of this agent."""

    PENDING = "pending"
    EJECTED = "ejected"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Command: append a fleet record."""

    record: object


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Command: report the log's verdict to the caller of `claim`."""

    endpoint_id: str
    number: int
    verdict: FleetVerdict


@dataclass(frozen=True, slots=True)
class StopEjecting:
    """Command: give the endpoint work again, because its ejection has ended."""

    endpoint_id: str
    incarnation: int
    reason: str


@dataclass(slots=True)
class OwnClaim:
    """A claim of this agent with its state."""

    record: records.EjectClaim
    state: ClaimState = ClaimState.PENDING


class ClaimHolder:
    """Announcements and claims of one VM incarnation.

    Its methods handle events and return the commands to carry out.

    Parameters
    ----------
    vm_id, incarnation, host, gossip_port
        As in `core.fleet_records.Announce`.
    """

    def __init__(self, vm_id, incarnation, host, gossip_port):
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.endpoints = ()
        self._host = host
        self._gossip_port = gossip_port
        self._version = 0
        self._number = 0
        self._claims = {}

    def ejected_endpoints(self):
        """Return the set of (endpoint id, incarnation) that are ejected now."""
        return {
            (c.record.endpoint_id, c.record.incarnation)
            for c in self._claims.values()
            if c.state is ClaimState.EJECTED
        }

    def announce(self, endpoints, read_to):
        """Return the commands that replace the announced endpoints by `endpoints`.

        Ejections of endpoints that are no longer announced end first, because the
        fold drops their claims when it reads the new announcement. `read_to` is the
        offset after the last record of the stream that was read.
        """
        removed = set(self.endpoints) - set(endpoints)
        removed_ids = {(e.endpoint_id, e.incarnation) for e in removed}

        def is_removed(own):
            return (own.record.endpoint_id, own.record.incarnation) in removed_ids

        commands = self._stop(is_removed, "not announced") + self._readmit(is_removed)
        self.endpoints = tuple(endpoints)
        self._version += 1
        record = records.Announce(
            self.vm_id,
            self.incarnation,
            self._version,
            read_to,
            self._host,
            self._gossip_port,
            self.endpoints,
        )
        return [*commands, AppendRecord(record)]

    def claim(self, endpoint_id, incarnation, service, score):
        """Request the ejection of an endpoint; return (claim number, commands)."""
        self._number += 1
        record = records.EjectClaim(
            self.vm_id,
            self.incarnation,
            self._version,
            self._number,
            endpoint_id,
            incarnation,
            service,
            score,
        )
        self._claims[self._number] = OwnClaim(record)
        return self._number, [AppendRecord(record)]

    def release(self, endpoint_id, incarnation):
        """End an endpoint's ejection, or withdraw its undecided claim."""
        return self._readmit(
            lambda c: (
                (c.record.endpoint_id, c.record.incarnation)
                == (endpoint_id, incarnation)
            )
        )

    def cancel_claim(self, number):
        """Withdraw a claim whose append was not confirmed in time."""
        return self._readmit(lambda c: c.record.number == number)

    def stop_all(self, reason):
        """End every ejection, for example when the floor cannot be known."""
        return self._stop(lambda c: True, reason) + self.unconfirmed_readmits()

    def stop_least_unhealthy(self, service, count, reason):
        """End the ejection of the `count` least unhealthy endpoints of a service."""
        candidates = sorted(
            (
                c
                for c in self._claims.values()
                if c.state is ClaimState.EJECTED and c.record.service == service
            ),
            key=lambda c: (c.record.score, c.record.endpoint_id),
        )
        numbers = {c.record.number for c in candidates[:count]}
        return self._stop(lambda c: c.record.number in numbers, reason)

    def unconfirmed_readmits(self):
        """Return the appends of all `Readmit` records not yet read back.

        They are repeated until they are read back, because a claim uses up headroom
        of its service until it is released.
        """
        return [
            AppendRecord(records.Readmit(self.vm_id, self.incarnation, number))
            for number, own in self._claims.items()
            if own.state is ClaimState.RELEASED
        ]

    def on_record(self, change):
        """Handle a record of the fleet stream after this VM's fold has applied it."""
        rec = change.record
        commands = []
        if isinstance(rec, records.EjectClaim) and self._is_own_record(
            rec.vm_incarnation, rec
        ):
            commands += self._on_claim_read(rec, change.verdict)
        elif isinstance(rec, records.Readmit) and self._is_own_record(
            rec.vm_incarnation, rec
        ):
            self._on_readmit_read(rec.number)
        elif self._is_own_withdrawal(change):
            commands += self._on_withdrawn()
        for claim in change.revoked:
            if self._is_own_record(claim.vm_incarnation, claim):
                commands += self._on_revoked(claim)
        return commands

    def resync(self, fold):
        """Compare the claims with a fold that was restored from a snapshot.

        The snapshot may cover records that this daemon has not read.
        """
        commands = []
        for number, own in list(self._claims.items()):
            held = fold.held_claim(own.record.endpoint_id, own.record.service)
            is_held = held is not None and held.claim == own.record
            if is_held and own.state is ClaimState.PENDING:
                verdict = FleetVerdict.ACCEPTED
                commands += self._on_claim_read(own.record, verdict)
            if is_held and held.revoked:
                commands += self._on_revoked(own.record)
            elif not is_held and own.state is ClaimState.EJECTED:
                commands += self._stop(lambda c, own=own: c is own, "claim is gone")
            elif not is_held and own.state is ClaimState.RELEASED:
                del self._claims[number]
        return commands

    def _is_own_withdrawal(self, change):
        return (
            isinstance(change.record, records.Withdraw)
            and change.record.vm_id == self.vm_id
            and change.verdict is FleetVerdict.ACCEPTED
        )

    def _is_own_record(self, vm_incarnation, rec):
        return rec.vm_id == self.vm_id and vm_incarnation == self.incarnation

    def _on_claim_read(self, rec, verdict):
        own = self._claims.get(rec.number)
        if own is None or own.state is not ClaimState.PENDING:
            if own is None and verdict is FleetVerdict.ACCEPTED:
                self._claims[rec.number] = OwnClaim(rec, ClaimState.RELEASED)
            return (
                self.unconfirmed_readmits() if verdict is FleetVerdict.ACCEPTED else []
            )
        if verdict is FleetVerdict.ACCEPTED:
            own.state = ClaimState.EJECTED
        else:
            del self._claims[rec.number]
        return [ClaimDecided(rec.endpoint_id, rec.number, verdict)]

    def _on_readmit_read(self, number):
        own = self._claims.get(number)
        if own is not None and own.state is ClaimState.RELEASED:
            del self._claims[number]

    def _on_withdrawn(self):
        commands = self._stop(lambda c: True, "withdrawn")
        self._claims = {
            n: c for n, c in self._claims.items() if c.state is ClaimState.PENDING
        }
        return commands

    def _on_revoked(self, claim):
        return self._stop(
            lambda c: c.record.number == claim.number, "revoked"
        ) + self._readmit(lambda c: c.record.number == claim.number)

    def _stop(self, predicate, reason):
        commands = []
        for own in self._claims.values():
            if own.state is ClaimState.EJECTED and predicate(own):
                own.state = ClaimState.RELEASED
                rec = own.record
                commands.append(StopEjecting(rec.endpoint_id, rec.incarnation, reason))
        return commands

    def _readmit(self, predicate):
        commands = []
        for number, own in self._claims.items():
            if predicate(own):
                own.state = ClaimState.RELEASED
                readmit = records.Readmit(self.vm_id, self.incarnation, number)
                commands.append(AppendRecord(readmit))
        return commands
