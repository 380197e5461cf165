"""Membership by gossip: probes, suspicion, refutation and dissemination of updates.

`tick` and the methods that handle events return the commands that the gossip task
carries out. A daemon probes one random member a second. If it does not reply, two
others probe it too, so that a one-way partition between two daemons is not mistaken
for a death. Records carry the process's incarnation and an edition, which only that
process raises; a higher edition refutes a suspicion of a lower one.
"""

import dataclasses

from dandelionarch.core import members as member_table
from dandelionarch.core.endpoint_details import (
    EndpointDetails,
    detail_messages,
    ended_states,
    service_slots,
    without_health,
)
from dandelionarch.core.member_events import (
    EndpointsLearnt,
    EndpointStateLearnt,
    IncarnationRaised,
    MemberChanged,
    MemberForgotten,
    PeerOffsets,
    SendDatagram,
)
from dandelionarch.core.member_exchange import TreeExchange, members_messages
from dandelionarch.core.members import ALIVE, DEAD, LEAVING, SUSPECT
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.probing import Prober
from dandelionarch.core.rejoin import Rejoin
from dandelionarch.core.world import EndpointState

# A probe starts on every second tick; the tick in between sends indirect probes.
TICK_PERIOD_S = 0.5
SUSPICION_S = 5.0
EXCHANGE_PERIOD_S = 30.0
# Regions may be partitioned for an hour and must still know each other's members when
# it ends.
DEAD_RETENTION_S = 7200.0
# A longer gap between ticks means that this process was paused. Missing replies then
# say nothing about other members.
PAUSE_THRESHOLD_S = 2.0
# Broadcasts are sent twice, as one datagram in a hundred may be lost.
BROADCAST_REPEATS = 2


class Membership:
    """One daemon's view of the fleet's members.

    Parameters
    ----------
    record : MemberRecord
        Record of this daemon.
    rng : random.Random
    seeds : iterable of (str, int)
        Gossip addresses to join by.
    exchange_type : type
        A subclass of `Exchange`.
    """

    def __init__(self, record, rng, seeds=(), exchange_type=TreeExchange):
        self.me = record
        self.rng = rng
        self.table = member_table.MemberTable(record.vm_id)
        self.table.put(record)
        self.exchange = exchange_type(self.table)
        self.details = EndpointDetails(self.table, record.vm_id)
        self.updates = member_table.UpdateQueue()
        self.prober = Prober(self)
        self.rejoin = Rejoin(self, seeds)
        self.suspects = {}
        self.false_suspicions = 0
        self._endpoints = ()
        self._pending_commands = []
        self._dead_since = {}
        self._broadcasts = []
        self._last_tick = None
        self._next_exchange = None
        self._has_ended = False

    def tick(self, now):
        """Carry out periodic work; call it every `TICK_PERIOD_S`."""
        if self._last_tick is None:
            self._next_exchange = now + self.rng.uniform(1.0, EXCHANGE_PERIOD_S)
        elif now - self._last_tick > PAUSE_THRESHOLD_S:
            self._resume(now - self._last_tick)
        self._last_tick = now
        silent = self.table.records.get(self.prober.tick(now))
        if silent is not None and silent.state in (ALIVE, LEAVING):
            self._suspect(silent, now)
        self._expire(now)
        self.rejoin.tick(now)
        self._broadcast()
        for address, query in self.details.due_queries(now):
            self.send(address, query)
        if now >= self._next_exchange:
            self._next_exchange = now + self.rng.uniform(0.9, 1.1) * EXCHANGE_PERIOD_S
            self.exchange_with(self.table.living.choose(self.rng))
        return self._commands()

    def on_message(self, address, msg, now):
        """Handle a message from a gossip address."""
        if not self._has_ended:
            getattr(self, f"_on_{type(msg).__name__.lower()}")(address, msg, now)
        return self._commands()

    def use_service(self, service, now):
        """Mark a service as in use, so that detail of its endpoints is fetched."""
        if self.details.mark_used(service, now):
            for address, query in self.details.due_queries(now):
                self.send(address, query)
        return self._commands()

    def set_offsets(self, offsets):
        """Set the stream offsets that probes carry: a dict of stream to offset."""
        self.prober.set_offsets(offsets)

    def set_endpoints(self, endpoints):
        """Set the endpoints on this daemon's VM: an iterable of EndpointRecord."""
        endpoints = tuple(sorted(endpoints, key=lambda e: e.endpoint_id))
        former = {e.endpoint_id: e for e in self._endpoints}
        if without_health(endpoints) == without_health(self._endpoints):
            self._endpoints = endpoints
            return []
        self._endpoints = endpoints
        self._update_me(
            endpoints_version=self.me.endpoints_version + 1,
            services=service_slots(endpoints),
        )
        ended = ended_states(former, endpoints)
        if ended:
            states = msgs.EndpointStates(self.me.vm_id, self.me.incarnation, ended)
            self._broadcasts.append([states, BROADCAST_REPEATS])
            self._broadcast()
        return self._commands()

    def announce_leaving(self):
        """Tell all members that this daemon takes no new work."""
        self._update_me(state=LEAVING)
        leaving = msgs.Members((self.me,), ())
        self._broadcasts.append([leaving, BROADCAST_REPEATS])
        self._broadcast()
        return self._commands()

    def announce_end(self):
        """Tell all members that this daemon has ended; ignore later messages."""
        self._update_me(state=DEAD)
        self._send_to_all(msgs.Members((), (member_table.verdict_of(self.me),)))
        self._has_ended = True
        return self._commands()

    def send(self, address, message):
        """Add a datagram to the commands."""
        self._pending_commands.append(SendDatagram(address, message))

    def exchange_with(self, vm_id):
        """Start an exchange of table differences with a member."""
        record = self.table.records.get(vm_id)
        if record is not None:
            for message in self.exchange.start():
                self.send(member_table.address_of(record), message)

    def _commands(self):
        out, self._pending_commands = self._pending_commands, []
        return out

    def _update_me(self, **changes):
        self.me = dataclasses.replace(self.me, edition=self.me.edition + 1, **changes)
        self.table.put(self.me)
        self.updates.add(self.me.vm_id, len(self.table.living))
        self._pending_commands.append(MemberChanged(member_table.vm_of(self.me)))

    def _send_to_all(self, message):
        for vm_id in list(self.table.living):
            self.send(member_table.address_of(self.table.records[vm_id]), message)

    def _broadcast(self):
        for pending in self._broadcasts:
            self._send_to_all(pending[0])
            pending[1] -= 1
        self._broadcasts = [b for b in self._broadcasts if b[1] > 0]

    def _resume(self, gap_s):
        """Handle a pause of this process, in which it could not receive replies.

        Drops the probe in progress and extends all suspicions by the pause.
        """
        self.prober.discard()
        self.suspects = {vm: due + gap_s for vm, due in self.suspects.items()}
        self.exchange_with(self.table.living.choose(self.rng))

    def _suspect(self, record, now):
        """Start the suspicion of a member; report it to others unless it leaves."""
        self.suspects.setdefault(record.vm_id, now + SUSPICION_S)
        if record.state == ALIVE:
            self._store(dataclasses.replace(record, state=SUSPECT), now)
            self.prober.probe(record.vm_id)

    def _expire(self, now):
        for vm_id, due in list(self.suspects.items()):
            if due <= now:
                record = self.table.records[vm_id]
                self._store(dataclasses.replace(record, state=DEAD), now)
        for vm_id, since in list(self._dead_since.items()):
            if now - since > DEAD_RETENTION_S:
                del self._dead_since[vm_id]
                self.table.remove(vm_id)
                self.details.forget(vm_id)
                self._pending_commands.append(MemberForgotten(vm_id))

    def _store(self, record, now):
        """Store a record that takes precedence over the known one."""
        known = self.table.records.get(record.vm_id)
        self.table.put(record)
        self.updates.add(record.vm_id, len(self.table.living))
        if record.state == SUSPECT:
            self.suspects.setdefault(record.vm_id, now + SUSPICION_S)
        elif record.vm_id in self.suspects:
            del self.suspects[record.vm_id]
            self.false_suspicions += record.state == ALIVE
        if record.state == DEAD:
            self._dead_since[record.vm_id] = now
        elif self._dead_since.pop(record.vm_id, None) is not None:
            self.rejoin.on_returned(record.vm_id)
        for service in self.details.on_member_changed(record):
            self._pending_commands.append(EndpointsLearnt(record.vm_id, service, ()))
        if known is None or member_table.vm_of(known) != member_table.vm_of(record):
            self._pending_commands.append(MemberChanged(member_table.vm_of(record)))

    def merge(self, records, verdicts, now):
        """Merge records and verdicts from another daemon."""
        for record in records:
            self._merge_record(record, record, now)
        for verdict in verdicts:
            known = self.table.records.get(verdict.vm_id)
            if known is not None and known.incarnation == verdict.incarnation:
                edition = max(known.edition, verdict.edition)
                record = dataclasses.replace(
                    known, edition=edition, state=verdict.state
                )
                self._merge_record(verdict, record, now)

    def _merge_record(self, report, record, now):
        """Store `record` if `report` takes precedence over the known record.

        `report` is the record or verdict that was received; `record` is derived from
        it.
        """
        if report.state not in member_table.STATE_RANK:
            return
        if report.vm_id == self.me.vm_id:
            self._on_own_record(report, record)
            return
        known = self.table.records.get(report.vm_id)
        if known is None:
            if record.state != DEAD:
                self._replace_at_address(record, now)
                self._store(record, now)
            return
        if member_table.precedence(report) <= member_table.precedence(known):
            return
        # A death without a known suspicion is verified by a probe: after a partition,
        # both sides consider each other's living members dead.
        same_edition = (report.incarnation, report.edition) == (
            known.incarnation,
            known.edition,
        )
        if report.state == DEAD and same_edition and known.state != SUSPECT:
            self.prober.verify(member_table.verdict_of(record))
            return
        if record.state != DEAD:
            self._replace_at_address(record, now)
        self._store(record, now)

    def _replace_at_address(self, record, now):
        """Mark the former VM at the address of a newer one as dead at once."""
        former = self.table.at_address(member_table.address_of(record))
        if former is None or former.vm_id in (record.vm_id, self.me.vm_id):
            return
        if former.incarnation < record.incarnation:
            self._store(dataclasses.replace(former, state=DEAD), now)

    def _on_own_record(self, report, record):
        if report.incarnation > self.me.incarnation:
            if member_table.address_of(record) == member_table.address_of(self.me):
                incarnation = report.incarnation + 1 + self.rng.randrange(1000)
                self._pending_commands.append(IncarnationRaised(incarnation))
                self._update_me(incarnation=incarnation)
            return
        is_false = report.state in (SUSPECT, DEAD) and report.edition >= self.me.edition
        if report.incarnation == self.me.incarnation and is_false:
            self.me = dataclasses.replace(self.me, edition=report.edition)
            self._update_me()

    def _check_sender(self, address, vm_id, incarnation, version):
        """Compare the sender of a message with its record, and send what differs.

        Returns
        -------
        tuple of str
            Members whose verdict must be sent to it: the sender itself if it is
            suspected or considered dead, otherwise none.
        """
        known = self.table.records.get(vm_id)
        if known is None or known.incarnation < incarnation:
            self.send(address, msgs.MemberQuery((vm_id,)))
            return ()
        if known.incarnation > incarnation:
            self.send(address, msgs.Members((known,), ()))
            return ()
        if version > known.endpoints_version:
            self.send(address, msgs.MemberQuery((vm_id,)))
        if known.state == DEAD:
            self.rejoin.on_message_from_dead(vm_id)
        return (vm_id,) if known.state in (SUSPECT, DEAD) else ()

    def _on_probe(self, address, msg, now):
        verdict_ids = self._check_sender(
            address, msg.vm_id, msg.incarnation, msg.endpoints_version
        )
        self.merge(msg.records, msg.verdicts, now)
        if msg.offsets:
            offsets = {o.stream: o.offset for o in msg.offsets}
            self._pending_commands.append(PeerOffsets(msg.vm_id, offsets))
        records, verdicts = self.prober.updates(verdict_ids)
        if msg.target != self.me.vm_id and self.me not in records:
            records = (self.me, *records)
        ack = msgs.ProbeAck(
            self.me.vm_id,
            self.me.incarnation,
            self.me.endpoints_version,
            msg.number,
            records,
            verdicts,
        )
        self.send(address, ack)

    def _on_probeack(self, address, msg, now):
        self.prober.on_ack(msg)
        known = self.table.records.get(msg.vm_id)
        if known is not None and known.state == LEAVING:
            self.suspects.pop(msg.vm_id, None)
        verdict_ids = self._check_sender(
            address, msg.vm_id, msg.incarnation, msg.endpoints_version
        )
        if verdict_ids:
            self.send(address, msgs.Members((), tuple(map(self._verdict, verdict_ids))))
        self.merge(msg.records, msg.verdicts, now)

    def _verdict(self, vm_id):
        return member_table.verdict_of(self.table.records[vm_id])

    def _on_proberequest(self, address, msg, now):
        self.prober.on_request(address, msg, now)

    def _on_join(self, address, msg, now):
        self.merge((msg.record,), (), now)
        known = self.table.records.get(msg.record.vm_id)
        newer = [known] if known not in (None, msg.record) else []
        self.send(address, msgs.Members((self.me, *newer), ()))
        living = [self.table.records[vm_id] for vm_id in self.table.living]
        for message in members_messages(living):
            self.send(address, message)

    def _on_members(self, address, msg, now):
        outdated = [r for r in msg.records if self.table.is_known_dead(r)]
        former_record = self.me
        self.merge(msg.records, msg.verdicts, now)
        if self.me is not former_record:
            self.send(address, msgs.Members((self.me,), ()))
        if outdated:
            verdicts = tuple(self._verdict(r.vm_id) for r in outdated)
            self.send(address, msgs.Members((), verdicts))

    def _on_treedigest(self, address, msg, now):
        for reply in self.exchange.on_digest(msg):
            self.send(address, reply)

    def _on_bucketkeys(self, address, msg, now):
        for reply in self.exchange.on_keys(msg):
            self.send(address, reply)

    def _on_memberquery(self, address, msg, now):
        known = map(self.table.records.get, msg.vm_ids)
        for message in members_messages([r for r in known if r is not None]):
            self.send(address, message)

    def _on_endpointquery(self, address, msg, now):
        for reply in detail_messages(self.me, self._endpoints, msg.services):
            self.send(address, reply)

    def _on_endpointdetail(self, address, msg, now):
        known = self.table.records.get(msg.vm_id)
        if known is None or known.incarnation != msg.incarnation:
            return
        endpoints = self.details.on_detail(msg)
        if endpoints is not None:
            self._pending_commands.append(
                EndpointsLearnt(msg.vm_id, msg.service, endpoints)
            )

    def _on_endpointstates(self, address, msg, now):
        known = self.table.records.get(msg.vm_id)
        if known is None or known.incarnation != msg.incarnation:
            return
        for s in msg.states:
            state = EndpointState(s.state)
            self._pending_commands.append(
                EndpointStateLearnt(msg.vm_id, s.endpoint_id, s.incarnation, state)
            )
