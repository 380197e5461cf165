"""Health of the endpoints in the model, with a stand-in for the fleet stream."""

from dandelionarch.core.detection import QueryPeers, RunEnd
from dandelionarch.core.ejection import ClaimEjection, Eject, ReleaseEjection
from dandelionarch.core.health import EndpointHealth
from dandelionarch.core.lists import Floor
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import Health
from dandelionarch.measure.options import NoDetector

TICK_PERIOD_S = 0.1
QUERY_TIMEOUT_S = 0.5
DEFAULT_FLOOR = Floor(50, "percent")


class FleetLog:
    """Stand-in for the fleet stream and its fold of ejection claims.

    A record takes effect `delay_s` after its append, and its writer reads it after
    another `delay_s`. While `available` is False, appends fail.
    """

    def __init__(self, timers, announced, floor=DEFAULT_FLOOR, delay_s=0.05):
        self.available = True
        self.claimed = set()
        self.refused = 0
        self._timers = timers
        self._announced = announced
        self._floor = floor.count(announced)
        self._delay_s = delay_s

    def claim(self, endpoint_id, callback):
        """Append a claim; call `callback(accepted)` once its writer has read it."""
        self._call_later(lambda: self._fold_claim(endpoint_id, callback))

    def release(self, endpoint_id, callback):
        """Append a release; call `callback()` once its writer has read it."""
        self._call_later(lambda: self._fold_release(endpoint_id, callback))

    def _fold_claim(self, endpoint_id, callback):
        if not self.available:
            callback(False)
            return
        remaining = self._announced - len(self.claimed) - 1
        accepted = endpoint_id in self.claimed or remaining >= self._floor
        if accepted:
            self.claimed.add(endpoint_id)
        else:
            self.refused += 1
        self._call_later(lambda: callback(accepted))

    def _fold_release(self, endpoint_id, callback):
        if not self.available:
            self._call_later(lambda: self._fold_release(endpoint_id, callback))
            return
        self.claimed.discard(endpoint_id)
        self._call_later(callback)

    def _call_later(self, callback):
        self._timers.subscribe(self._delay_s, callback)


class AgentHealth(NoDetector):
    """Connects `EndpointHealth` to the model's network and log.

    `history` lists the changes of health as (time in seconds, `Health`).
    """

    def __init__(self, agent):
        super().__init__(agent)
        self.timers = agent.model.timers
        endpoint = agent.endpoint
        self.state = EndpointHealth(endpoint.endpoint_id, 1, self.timers.now())
        self.history = []
        self.timers.subscribe_every(TICK_PERIOD_S, self._tick)

    @property
    def health(self):
        """Return the health that is sent with replies."""
        return self.state.health

    def refusal(self, attempt, now):
        """Refuse all attempts while ejected, and all but one at a time on trial."""
        if not self.state.admits(attempt.work.idempotent):
            return Reason.EJECTED
        self.state.on_run_admitted(id(attempt))
        return None

    def on_start(self, attempt, now):
        """Pass the start of a run to the state machine."""
        warm = self.agent.worker.warmup(now) >= 1.0
        self.state.on_run_started(id(attempt), attempt.work.kind, warm, now)

    def on_finish(self, attempt, service_s, reason, now):
        """Pass the end of a run to the state machine."""
        run_ends = {
            None: RunEnd.OK,
            Reason.DEADLINE: RunEnd.CUT_SHORT,
            Reason.CANCELLED: RunEnd.CUT_SHORT,
            Reason.QUEUE_FULL: RunEnd.REFUSED,
            Reason.TOO_LATE: RunEnd.REFUSED,
        }
        end = run_ends.get(reason, RunEnd.FAILED)
        self._execute(self.state.on_run_ended(id(attempt), end, now))

    def summaries(self, query):
        """Return the summaries that a peer has queried."""
        now = self.timers.now()
        return {
            kind: self.state.summary(kind, cap_log, query.window_s, now)
            for kind, cap_log in zip(query.kinds, query.cap_logs, strict=True)
        }

    def _tick(self):
        self._execute(self.state.tick(self.timers.now()))

    def _execute(self, commands):
        for command in commands:
            self._execute_command(command)
        now, health = self.timers.now(), self.state.health
        before = self.history[-1][1] if self.history else Health.HEALTHY
        if before is not health:
            self.history.append((now, health))

    def _execute_command(self, command):
        log, now = self.agent.model.log, self.timers.now
        endpoint_id = self.agent.endpoint.endpoint_id
        if isinstance(command, QueryPeers):
            self._query(command)
        elif isinstance(command, ClaimEjection):
            log.claim(endpoint_id, self._on_claim_read)
        elif isinstance(command, ReleaseEjection):
            log.release(
                endpoint_id, lambda: self._execute(self.state.on_released(now()))
            )
        elif isinstance(command, Eject):
            self.agent.refuse_queued(Reason.EJECTED)

    def _on_claim_read(self, accepted):
        now = self.timers.now()
        handler = (
            self.state.on_claim_accepted if accepted else self.state.on_claim_refused
        )
        self._execute(handler(now))

    def _query(self, query):
        model, agent = self.agent.model, self.agent
        others = [a for a in model.agents if a is not agent]
        peers = model.rng.sample(others, min(query.count, len(others)))
        replies = []
        finished = []

        def finish():
            if not finished:
                finished.append(True)
                self._execute(
                    self.state.on_peer_replies(query, replies, self.timers.now())
                )

        def reply(reply_summaries):
            replies.append(reply_summaries)
            if len(replies) == len(peers):
                finish()

        def answer_query(peer):
            reply_summaries = peer.detector.summaries(query)
            model.network.send(peer.vm_id, agent.vm_id, reply, reply_summaries)

        for peer in peers:
            model.network.send(agent.vm_id, peer.vm_id, answer_query, peer)
        self.timers.subscribe(QUERY_TIMEOUT_S, finish)
