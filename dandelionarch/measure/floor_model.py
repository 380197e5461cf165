"""Model of agents that eject endpoints by claims in one log.

Every agent has its own fold and its own position in the log. Appends take effect late,
in any order and possibly more than once. Agents are paused, lose their connection to
the log, crash and are replaced.

Tests and measurements use the model.
"""

from dataclasses import dataclass, field

from dandelionarch.core import fleet_records as records
from dandelionarch.core.claims import AppendRecord, ClaimHolder
from dandelionarch.core.fleet import FleetFold, FleetVerdict
from dandelionarch.core.streams import Record

SERVICE = "orders"

# Steps that an agent can only take while it runs.
AGENT_STEPS = frozenset({"claim", "release", "read", "announce", "retry_releases"})


class UncheckedFold(FleetFold):
    """Baseline: fold without the floor rule."""

    def _keeps_floor(self, state, floor):
        return True


class IndependentHolder(ClaimHolder):
    """Baseline: ejects at once if the agent's own view of the floor allows it.

    Its claim only announces the ejection to the other agents.
    """

    fold = None

    def claim(self, endpoint_id, incarnation, service, score):
        floor = self.fold.floor_count(service)
        state = self.fold.services.get(service)
        if floor is None or state is None:
            return 0, []
        ejected_ids = set(state.claims) | {e for e, _ in self.ejected_endpoints()}
        if len(state.announced) - len(ejected_ids) - 1 < floor:
            return 0, []
        number, commands = super().claim(endpoint_id, incarnation, service, score)
        own_claim = self._claims[number]
        self._on_claim_read(own_claim.record, FleetVerdict.ACCEPTED)
        return number, commands


@dataclass
class AgentModel:
    """One agent with its fold, its position in the log and its active faults."""

    holder: ClaimHolder
    fold: FleetFold
    paused: bool = False
    disconnected: bool = False
    crashed: bool = False
    pending: list = field(default_factory=list)

    def queue_appends(self, commands):
        """Queue the appends among the commands, which take effect later."""
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
        Classes of the rule under test or of a baseline.

    Attributes
    ----------
    worst_shortfall : int
        Largest number of endpoints by which the floor was violated at any moment.
        Ejections that the log has revoked do not count.
    unclaimed_moments : int
        Number of moments at which an announced endpoint was ejected without a claim
        in force.
    """

    def __init__(self, agents, floor, fold_type=FleetFold, holder_type=ClaimHolder):
        self._fold_type = fold_type
        self._holder_type = holder_type
        self.log = []
        self.log_fold = fold_type()
        self.agents = []
        self.worst_shortfall = 0
        self.unclaimed_moments = 0
        self.accepted_claims = 0
        self._revision = 0
        self.set_floor(0, floor)
        for index in range(agents):
            self.agents.append(self._start_agent(index, 1))
            self.apply_append(index, 0)
        for index in range(agents):
            self.read(index, len(self.log))

    def _start_agent(self, index, incarnation):
        holder = self._holder_type(f"vm-{index}", incarnation, "127.0.0.1", 1)
        agent = AgentModel(holder, self._fold_type())
        holder.fold = agent.fold
        for record in self.log:
            agent.fold.apply(record)
        agent.queue_appends(holder.announce(self._endpoints(index), len(self.log)))
        return agent

    def _endpoints(self, index, count=2):
        return [
            records.AnnouncedEndpoint(f"e-{index}-{i}", 1, SERVICE)
            for i in range(count)
        ]

    def run(self, steps):
        """Take each step (name, agent, argument) and check the state after it."""
        for name, index, arg in steps:
            agent = self.agents[index]
            is_inactive = agent.paused or agent.crashed
            if not (is_inactive and name in AGENT_STEPS):
                getattr(self, name)(index, arg)
            self._check_state()

    def claim(self, index, arg):
        """Claim the ejection of an endpoint; `arg` is its score."""
        agent = self.agents[index]
        endpoint_id = f"e-{index}-{arg % 2}"
        agent.queue_appends(agent.holder.claim(endpoint_id, 1, SERVICE, float(arg))[1])

    def release(self, index, arg):
        """Stop ejecting an endpoint."""
        agent = self.agents[index]
        agent.queue_appends(agent.holder.release(f"e-{index}-{arg % 2}", 1))

    def announce(self, index, arg):
        """Announce one endpoint or both."""
        agent = self.agents[index]
        endpoints = self._endpoints(index, 1 + arg % 2)
        agent.queue_appends(agent.holder.announce(endpoints, agent.fold.next_offset))

    def retry_releases(self, index, arg):
        """Repeat the appends that the agent has not yet read in the log."""
        agent = self.agents[index]
        agent.queue_appends(agent.holder.unconfirmed_readmits())

    def apply_append(self, index, arg):
        """Apply a pending append; with an odd `arg` it stays pending and may repeat."""
        pending = self.agents[index].pending
        if pending:
            position = arg // 2 % len(pending)
            self._append(pending[position])
            if arg % 2 == 0:
                del pending[position]

    def read(self, index, arg):
        """Read up to `arg` records if the agent can reach the log."""
        agent = self.agents[index]
        if agent.disconnected:
            return
        start = agent.fold.next_offset
        for record in self.log[start : start + arg]:
            change = agent.fold.apply(record)
            agent.queue_appends(agent.holder.on_record(change))
            rec = change.record
            is_withdrawal = isinstance(rec, records.Withdraw)
            if is_withdrawal and rec.vm_id == agent.holder.vm_id:
                self.announce(index, 1)

    def toggle_pause(self, index, arg):
        """Pause an agent, or resume it with the state that it had."""
        self.agents[index].paused = not self.agents[index].paused

    def toggle_log_access(self, index, arg):
        """Disconnect an agent from the log, or reconnect it."""
        self.agents[index].disconnected = not self.agents[index].disconnected

    def withdraw(self, index, arg):
        """Withdraw a VM that the membership considers dead, rightly or wrongly."""
        holder = self.agents[index].holder
        self._append(
            records.to_bytes(records.Withdraw(holder.vm_id, holder.incarnation))
        )

    def crash_or_replace(self, index, arg):
        """Crash a VM, or replace one that has crashed."""
        agent = self.agents[index]
        if not agent.crashed:
            agent.crashed = True
            return
        pending = agent.pending
        agent = self._start_agent(index, agent.holder.incarnation + 1)
        agent.pending += pending
        self.agents[index] = agent

    def set_floor(self, index, arg):
        """Append the floor of a new configuration revision, in percent."""
        self._revision += 1
        floors = ((SERVICE, arg, "percent"),)
        self._append(records.to_bytes(records.Floors(self._revision, floors)))

    def _append(self, data):
        record = Record(len(self.log), 0.0, f"r-{len(self.log)}", data)
        self.log.append(record)
        change = self.log_fold.apply(record)
        claim = change.record
        accepted = change.verdict is FleetVerdict.ACCEPTED
        if accepted and isinstance(claim, records.EjectClaim):
            self.accepted_claims += 1
            self._record_shortfall(
                self.ejected() | {(claim.endpoint_id, claim.incarnation)}
            )

    def ejected(self):
        """Return the announced endpoints that are ejected by a running agent."""
        state = self.log_fold.services.get(SERVICE)
        announced = {} if state is None else state.announced
        live = {(endpoint_id, inc) for endpoint_id, (_, inc) in announced.items()}
        endpoints = set()
        for agent in self.agents:
            if not agent.paused and not agent.crashed:
                endpoints |= agent.holder.ejected_endpoints()
        return endpoints & live

    def _check_state(self):
        ejected = self.ejected()
        state = self.log_fold.services.get(SERVICE)
        claims = {} if state is None else state.claims
        self.unclaimed_moments += any(e not in claims for e, _ in ejected)
        self._record_shortfall(
            {e for e in ejected if not (e[0] in claims and claims[e[0]].revoked)}
        )

    def _record_shortfall(self, ejected):
        state = self.log_fold.services.get(SERVICE)
        if state is not None:
            remaining = len(state.announced) - len(ejected)
            shortfall = self.log_fold.floor_count(SERVICE) - remaining
            self.worst_shortfall = max(self.worst_shortfall, shortfall)
