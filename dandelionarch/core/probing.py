"""Probes: one random member a second, directly and then through two others."""

import dataclasses
from dataclasses import dataclass

from dandelionarch.core import members as member_table
from dandelionarch.core.members import ALIVE, LEAVING
from dandelionarch.core.messages import members as msgs

INDIRECT_PROBES = 2
RELAY_RETENTION_S = 3.0
OFFSETS_PER_PROBE = 6
UPDATES_BUDGET_BYTES = 700


@dataclass(slots=True)
class PendingProbe:
    """This daemon's probe in progress."""

    number: int
    target: str
    answered: bool = False


class Prober:
    """This daemon's probe in progress, and probes on behalf of other daemons.

    Parameters
    ----------
    membership : Membership
    """

    def __init__(self, membership):
        self._membership = membership
        self._offsets = {}
        self._offset_start = 0
        self._last_number = 0
        self._pending = None
        self._start_next = True
        self._relays = {}
        self._reported_dead = {}

    def tick(self, now):
        """Do one half of a probe; return a member that did not reply, or None.

        The first half sends a direct probe, the second one indirect probes.
        """
        silent = None
        if self._start_next:
            silent = self._finish_probe()
            self._start()
        else:
            self._send_indirect_probes()
        self._start_next = not self._start_next
        for number, (_, _, sent) in list(self._relays.items()):
            if now - sent > RELAY_RETENTION_S:
                del self._relays[number]
        return silent

    def discard(self):
        """Abandon the probe in progress."""
        self._pending = None

    def verify(self, verdict):
        """Probe a member next that another daemon considers dead.

        The probe carries that verdict, so that a living member can refute it.
        """
        self._reported_dead[verdict.vm_id] = verdict

    def set_offsets(self, offsets):
        """Set the stream offsets that probes carry."""
        self._offsets = dict(offsets)

    def probe(self, vm_id, number=0):
        """Send a probe to a member, with its verdict unless it is alive."""
        record = self._membership.table.records[vm_id]
        first = (vm_id,) if record.state != ALIVE else ()
        records, verdicts = self.updates(first)
        report = self._reported_dead.pop(vm_id, None)
        if report is not None:
            verdicts = (report, *verdicts)
        me = self._membership.me
        message = msgs.Probe(
            me.vm_id,
            me.incarnation,
            me.endpoints_version,
            number,
            vm_id,
            self._offsets_to_send(),
            records,
            verdicts,
        )
        self._membership.send(member_table.address_of(record), message)

    def updates(self, first):
        """Return (records, verdicts) to send, the verdicts on `first` first."""
        return self._membership.updates.take(
            self._membership.table.records, UPDATES_BUDGET_BYTES, first
        )

    def on_ack(self, msg):
        """Handle a reply to this daemon's probe or to one for another daemon."""
        relay = self._relays.pop(msg.number, None)
        if relay is not None:
            requester, number, _ = relay
            self._membership.send(requester, dataclasses.replace(msg, number=number))
        pending = self._pending
        if pending is not None and pending.number == msg.number:
            pending.answered = pending.target == msg.vm_id

    def on_request(self, address, msg, now):
        """Probe a member for another daemon, which gets the reply."""
        if msg.target in self._membership.table.records:
            number = self._next_number()
            self._relays[number] = (address, msg.number, now)
            self.probe(msg.target, number)

    def _next_number(self):
        self._last_number += 1
        return self._last_number

    def _offsets_to_send(self):
        """Return the offsets of `config`, `fleet` and a rotating choice of others."""
        first = [s for s in ("config", "fleet") if s in self._offsets]
        rest = sorted(set(self._offsets) - set(first))
        room = OFFSETS_PER_PROBE - len(first)
        if len(rest) > room:
            start = self._offset_start % len(rest)
            rest = (rest[start:] + rest[:start])[:room]
            self._offset_start += room
        return tuple(msgs.StreamOffset(s, self._offsets[s]) for s in first + rest)

    def _start(self):
        target = self._choose_reported_dead()
        if target is None:
            target = self._membership.table.living.choose(self._membership.rng)
        if target is not None:
            self._pending = PendingProbe(self._next_number(), target)
            self.probe(target, self._pending.number)

    def _choose_reported_dead(self):
        """Return a random member whose reported death is not refuted, or None.

        The choice is random so that members that learn of the same deaths do not all
        probe in the same order.
        """
        records = self._membership.table.records
        self._reported_dead = {
            vm_id: verdict
            for vm_id, verdict in self._reported_dead.items()
            if vm_id in records
            and records[vm_id].state in (ALIVE, LEAVING)
            and records[vm_id].edition <= verdict.edition
        }
        if not self._reported_dead:
            return None
        return self._membership.rng.choice(list(self._reported_dead))

    def _send_indirect_probes(self):
        pending = self._pending
        if pending is None or pending.answered:
            return
        request = msgs.ProbeRequest(
            self._membership.me.vm_id, pending.number, pending.target
        )
        helpers = self._membership.table.living.sample(
            self._membership.rng, INDIRECT_PROBES + 1
        )
        for vm_id in [h for h in helpers if h != pending.target][:INDIRECT_PROBES]:
            self._membership.send(
                member_table.address_of(self._membership.table.records[vm_id]), request
            )

    def _finish_probe(self):
        pending, self._pending = self._pending, None
        if pending is None or pending.answered:
            return None
        return pending.target
