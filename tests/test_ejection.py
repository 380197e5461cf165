"""Ejection state machine: claims, hold times and readmission."""

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.ejection import (
    MAX_HOLD_S,
    MAX_TRIAL_FAILURES,
    MIN_HOLD_S,
    SUCCESSES_TO_RESTORE,
    ClaimEjection,
    Demote,
    Eject,
    Ejection,
    ReleaseEjection,
    Restore,
    State,
)

EJECTING = (State.EJECTED, State.TRIAL)


class FakeLog:
    """Fleet stream of one endpoint with delayed appends and delayed reads."""

    def __init__(self, machine):
        self.machine = machine
        self.pending, self.records, self.read = [], [], 0
        self.claimed = False
        self.unread_revocation = False

    def run(self, commands):
        for command in commands:
            if isinstance(command, ClaimEjection | ReleaseEjection):
                self.pending.append(command)

    def append(self, index):
        """Append one pending record; claims may arrive out of order."""
        if not self.pending:
            return
        # A release is repeated until it is read back, and no claim is made before.
        command = self.pending.pop(index % len(self.pending))
        if isinstance(command, ReleaseEjection):
            self.claimed = False
            self.records.append("released")
        else:
            self.records.append("repeated" if self.claimed else "accepted")
            self.claimed = True

    def revoke(self):
        if self.claimed:
            self.claimed = False
            self.unread_revocation = True
            self.records.append("revoked")

    def read_one(self, now):
        if self.read == len(self.records):
            return
        record = self.records[self.read]
        self.read += 1
        machine = self.machine
        if record == "accepted":
            self.run(machine.on_claim_accepted(now))
        elif record == "released":
            self.run(machine.on_released(now))
        elif record == "revoked":
            self.unread_revocation = False
            self.run(machine.on_claim_revoked(now))


def apply(log, machine, op, arg, now):
    """Apply one random event."""
    if op == "judge":
        log.run(machine.on_verdict(arg, arg % 2 == 0, arg % 4 == 0, now))
    elif op == "run" and machine.admits(True):
        machine.on_run_admitted(now)
        log.run(machine.on_run_ended(now, arg > 1, now))
    elif op == "append":
        log.append(arg)
    elif op == "read":
        log.read_one(now)
    elif op == "lost reply":
        log.run(machine.on_claim_refused(now))
    elif op == "revoke":
        log.revoke()
    elif op == "below floor":
        log.run(machine.on_below_floor(now))
    log.run(machine.tick(now))


OPS = st.sampled_from(
    ["judge", "run", "append", "read", "lost reply", "revoke", "below floor", "wait"]
)


def ejected_machine(now=0.0):
    """Return a state machine ejected by an accepted claim."""
    machine = Ejection("w", 1)
    assert machine.on_verdict(1.0, True, False, now) == [Demote()]
    assert machine.on_verdict(1.0, True, False, now) == [ClaimEjection("w", 1, 1.0)]
    assert machine.on_claim_accepted(now) == [Eject()]
    return machine


def machine_on_trial():
    """Return a state machine on trial after an ejection, and the time."""
    machine = ejected_machine()
    machine.tick(MIN_HOLD_S)
    assert machine.state is State.TRIAL
    return machine, MIN_HOLD_S


class TestClaims:
    """An endpoint is ejected only with a valid claim in the log."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.tuples(OPS, st.integers(0, 9), st.sampled_from([0.0, 0.5, 6.0, 400.0])),
            max_size=60,
        )
    )
    def test_ejected_only_between_claim_and_release(self, steps):
        """Guards against ejections below the floor that the log does not count."""
        machine, now = Ejection("w", 1), 0.0
        log = FakeLog(machine)
        for op, arg, delay_s in steps:
            now += delay_s
            apply(log, machine, op, arg, now)
            if machine.state in EJECTING:
                assert log.claimed or log.unread_revocation
            assert MIN_HOLD_S <= machine.hold_s <= MAX_HOLD_S

    def test_late_claim_behind_a_pending_release_is_not_used(self):
        """Guards against using a repeated claim that the pending release will end."""
        machine = ejected_machine()
        assert ReleaseEjection("w", 1) in machine.on_below_floor(1.0)
        assert machine.on_claim_accepted(2.0) == []
        assert machine.state is State.DEMOTED

    def test_no_claim_while_a_release_is_pending(self):
        """Guards against a release that arrives after a later claim."""
        machine = ejected_machine()
        machine.on_below_floor(1.0)
        assert machine.on_verdict(1.0, True, False, 20.0) == []
        machine.on_released(21.0)
        assert [type(c) for c in machine.on_verdict(1.0, True, False, 22.0)] == [
            ClaimEjection
        ]

    def test_claim_accepted_after_recovery_is_released(self):
        """Guards against a claim of a healthy endpoint that blocks other ejections."""
        machine = Ejection("w", 1)
        machine.on_verdict(1.0, True, False, 0.0)
        machine.on_verdict(1.0, True, False, 1.0)
        machine.on_claim_refused(2.0)
        for run in range(SUCCESSES_TO_RESTORE):
            machine.on_run_ended(run, True, 6.0)
        assert machine.on_claim_accepted(7.0) == [ReleaseEjection("w", 1)]
        assert machine.state is State.HEALTHY

    def test_only_demoted_without_peers_or_log(self):
        """Guards against a claim that is not confirmed or can't be read back."""
        machine = Ejection("w", 1)
        assert machine.on_verdict(1.0, False, False, 0.0) == [Demote()]
        assert machine.on_verdict(1.0, False, False, 1.0) == []
        machine = Ejection("w", 1)
        machine.log_available = False
        assert machine.on_verdict(1.0, True, False, 0.0) == [Demote()]
        assert machine.on_verdict(1.0, True, False, 1.0) == []
        assert machine.admits(idempotent=False)

    def test_claims_at_once_if_the_verdict_is_sure(self):
        """Guards against waiting for a second verdict on clear failures."""
        machine = Ejection("w", 1)
        commands = machine.on_verdict(1.0, True, True, 0.0)
        assert commands == [Demote(), ClaimEjection("w", 1, 1.0)]

    def test_refused_claim_is_repeated_only_while_unhealthy(self):
        """Guards against a demoted endpoint that never claims again."""
        machine = Ejection("w", 1)
        machine.on_verdict(1.0, True, False, 0.0)
        machine.on_verdict(1.0, True, False, 0.0)
        machine.on_claim_refused(0.1)
        assert machine.on_verdict(1.0, True, False, 5.0) == []
        assert machine.tick(15.0) == []
        assert [type(c) for c in machine.on_verdict(1.0, True, False, 16.0)] == [
            ClaimEjection
        ]


class TestTrialAfterEjection:
    """An ejected endpoint is readmitted after trials, one request at a time."""

    def test_restores_before_it_releases(self):
        """Guards against an ejection that lasts longer than its claim."""
        machine, now = machine_on_trial()
        for run in range(SUCCESSES_TO_RESTORE):
            assert not machine.admits(idempotent=False)
            assert machine.admits(idempotent=True)
            machine.on_run_admitted(run)
            assert not machine.admits(idempotent=True)
            commands = machine.on_run_ended(run, True, now)
        assert commands == [Restore(), ReleaseEjection("w", 1)]

    def test_failed_trial_lengthens_the_hold(self):
        """Guards against frequent trials of an endpoint that keeps failing."""
        machine, now = machine_on_trial()
        for run in range(MAX_TRIAL_FAILURES):
            machine.on_run_admitted(run)
            machine.on_run_ended(run, False, now)
        assert machine.state is State.EJECTED
        machine.tick(now + 2 * MIN_HOLD_S - 0.1)
        assert machine.state is State.EJECTED
        machine.tick(now + 2 * MIN_HOLD_S)
        assert machine.state is State.TRIAL

    def test_runs_from_before_the_ejection_do_not_count(self):
        """Guards against a second trial in flight after the end of an older run."""
        machine, now = machine_on_trial()
        machine.on_run_admitted("trial")
        machine.on_run_ended("older", True, now)
        assert not machine.admits(idempotent=True)

    def test_hold_decays_with_health(self):
        """Guards against a hold time that never becomes shorter again."""
        machine, now = Ejection("w", 1), 0.0
        for _ in range(10):
            machine.on_verdict(1.0, False, False, now)
            now += MAX_HOLD_S
            for run in range(SUCCESSES_TO_RESTORE):
                machine.on_run_ended(run, True, now)
        assert machine.hold_s == MAX_HOLD_S
        machine.on_verdict(1.0, False, False, now + 1200.0)
        assert machine.hold_s == MAX_HOLD_S / 2
