"""Model of agents that eject endpoints over one log, for tests and measurements.

Every agent has a fold and a reading position of its own. Appends land late, in any
order, and may land more than once. Agents are paused, cut off from the log, crash
and are replaced.
"""

from dataclasses import dataclass, field

from dandelionarch.core import fleet_records as records
from dandelionarch.core.claims import AppendRecord, ClaimHolder
from dandelionarch.core.fleet import FleetFold, FleetVerdict
from dandelionarch.core.streams import Record

SERVICE = "orders"

# Steps that only a running agent can make.
AGENT_STEPS = frozenset({"claim", "release", "read", "announce", "repeat"})


class UncheckedFold(FleetFold):
    """Fold with the floor rule switched off."""

    def _keeps_floor(self, state, floor):
        return True


class IndependentHolder(ClaimHolder):
    """Baseline: ejects at once by the floor in this agent's own view.

    Its claim only tells the others of the ejection.
    """

    fold = None

    def claim(self, endpoint_id, incarnation, service, score):
        floor = self.fold.floor_count(service)
        known = self.fold.services.get(service)
        if floor is None or known is None:
            return 0, []
        away = set(known.claims) | {e for e, _ in self.ejected_endpoints()}
        if len(known.announced) - len(away) - 1 < floor:
            return 0, []
        number, commands = super().claim(endpoint_id, incarnation, service, score)
        own = self._claims[number]
        self._on_claim_read(own.record, FleetVerdict.ACCEPTED)
        return number, commands


@dataclass
class AgentModel:
    """One agent with its fold, its position in the log and its faults."""

    holder: ClaimHolder
    fold: FleetFold
    paused: bool = False
    cut_off: bool = False
    crashed: bool = False
    pending: list = field(default_factory=list)

    def act(self, commands):
        """Keep the appends among the commands until they land."""
        for command in commands:
            if isinstance(command, AppendRecord):
                self.pending.append(records.to_bytes(command.record))


class FloorModel:
    """Agents with two endpoints each of one service.

    Parameters
    ----------
    agents : int
    floor : int
        Floor in percent of the announced endpoints.
    fold_type, holder_type : type
        The rule under test, or a baseline.

    Attributes
    ----------
    worst_shortfall : int
        Most endpoints by which ejections that the log has not revoked left less
        than the floor at any moment.
    unclaimed : int
        Moments at which an announced endpoint was ejected without a held claim.
    """

    def __init__(self, agents, floor, fold_type=FleetFold, holder_type=ClaimHolder):
        self._fold_type = fold_type
        self._holder_type = holder_type
        self.log = []
        self.head = fold_type()
        self.agents = []
        self.worst_shortfall = 0
        self.unclaimed = 0
        self.accepted = 0
        self._revision = 0
        self.set_floor(0, floor)
        for index in range(agents):
            self.agents.append(self._start(index, 1))
            self.land(index, 0)
        for index in range(agents):
            self.read(index, len(self.log))

    def _start(self, index, incarnation):
        holder = self._holder_type(f"vm-{index}", incarnation, "127.0.0.1", 1)
        agent = AgentModel(holder, self._fold_type())
        holder.fold = agent.fold
        for record in self.log:
            agent.fold.apply(record)
        agent.act(holder.announce(self._endpoints(index), len(self.log)))
        return agent

    def _endpoints(self, index, count=2):
        return [
            records.AnnouncedEndpoint(f"e-{index}-{i}", 1, SERVICE)
            for i in range(count)
        ]

    def run(self, steps):
        """Make each (step name, agent, argument) and check after each."""
        for name, index, arg in steps:
            agent = self.agents[index]
            idle = agent.paused or agent.crashed
            if not (idle and name in AGENT_STEPS):
                getattr(self, name)(index, arg)
            self._check()

    def claim(self, index, arg):
        """Ask to eject an endpoint; `arg` is its score."""
        agent = self.agents[index]
        endpoint_id = f"e-{index}-{arg % 2}"
        agent.act(agent.holder.claim(endpoint_id, 1, SERVICE, float(arg))[1])

    def release(self, index, arg):
        """Stop ejecting an endpoint."""
        agent = self.agents[index]
        agent.act(agent.holder.release(f"e-{index}-{arg % 2}", 1))

    def announce(self, index, arg):
        """Announce one endpoint or both."""
        agent = self.agents[index]
        endpoints = self._endpoints(index, 1 + arg % 2)
        agent.act(agent.holder.announce(endpoints, agent.fold.next_offset))

    def repeat(self, index, arg):
        """Append the releases again that were not read back."""
        agent = self.agents[index]
        agent.act(agent.holder.unconfirmed_readmits())

    def land(self, index, arg):
        """Let one append under way take effect; odd `arg` lets it come again."""
        pending = self.agents[index].pending
        if pending:
            position = arg // 2 % len(pending)
            self._append(pending[position])
            if arg % 2 == 0:
                del pending[position]

    def read(self, index, arg):
        """Read up to `arg` records, unless the log is out of reach."""
        agent = self.agents[index]
        if agent.cut_off:
            return
        start = agent.fold.next_offset
        for record in self.log[start : start + arg]:
            change = agent.fold.apply(record)
            agent.act(agent.holder.on_record(change))
            rec = change.record
            withdrawn = isinstance(rec, records.Withdraw)
            if withdrawn and rec.vm_id == agent.holder.vm_id:
                self.announce(index, 1)

    def pause(self, index, arg):
        """Pause an agent, or wake it with the view that it had."""
        self.agents[index].paused = not self.agents[index].paused

    def cut(self, index, arg):
        """Cut an agent off from the log, or connect it again."""
        self.agents[index].cut_off = not self.agents[index].cut_off

    def withdraw(self, index, arg):
        """Withdraw a VM that the membership holds dead, rightly or not."""
        holder = self.agents[index].holder
        self._append(
            records.to_bytes(records.Withdraw(holder.vm_id, holder.incarnation))
        )

    def crash(self, index, arg):
        """Crash a VM, or replace one that has crashed."""
        agent = self.agents[index]
        if not agent.crashed:
            agent.crashed = True
            return
        late = agent.pending
        agent = self._start(index, agent.holder.incarnation + 1)
        agent.pending += late
        self.agents[index] = agent

    def set_floor(self, index, arg):
        """Append the floor of a new configuration revision, in percent."""
        self._revision += 1
        floors = ((SERVICE, arg, "percent"),)
        self._append(records.to_bytes(records.Floors(self._revision, floors)))

    def _append(self, data):
        record = Record(len(self.log), 0.0, f"r-{len(self.log)}", data)
        self.log.append(record)
        change = self.head.apply(record)
        claim = change.record
        accepted = change.verdict is FleetVerdict.ACCEPTED
        if accepted and isinstance(claim, records.EjectClaim):
            self.accepted += 1
            self._note(self.ejected() | {(claim.endpoint_id, claim.incarnation)})

    def ejected(self):
        """Return the announced endpoints that some running agent ejects."""
        state = self.head.services.get(SERVICE)
        announced = {} if state is None else state.announced
        live = {(endpoint_id, inc) for endpoint_id, (_, inc) in announced.items()}
        out = set()
        for agent in self.agents:
            if not agent.paused and not agent.crashed:
                out |= agent.holder.ejected_endpoints()
        return out & live

    def _check(self):
        ejected = self.ejected()
        state = self.head.services.get(SERVICE)
        held = {} if state is None else state.claims
        self.unclaimed += any(e not in held for e, _ in ejected)
        self._note({e for e in ejected if not (e[0] in held and held[e[0]].revoked)})

    def _note(self, ejected):
        state = self.head.services.get(SERVICE)
        if state is not None:
            left = len(state.announced) - len(ejected)
            shortfall = self.head.floor_count(SERVICE) - left
            self.worst_shortfall = max(self.worst_shortfall, shortfall)
