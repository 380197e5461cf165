"""Schedule of withdrawals, by which usually one daemon withdraws a dead VM."""

from dataclasses import dataclass

from dandelionarch.core import rendezvous

# A VM that the membership has considered dead for this long is withdrawn.
WITHDRAW_DELAY_S = 60.0
# Additional wait per rendezvous rank; an append and its read-back usually take less.
STAGGER_S = 2.0
MAX_DELAY_S = 3600.0
# Delay before a withdrawal that was not read back is repeated.
REPEAT_DELAY_S = 10.0
# A daemon to which more than three quarters of the announced VMs seem dead is
# probably cut off itself; the loss of a region leaves half of them.
MIN_LIVING_SHARE = 0.25
# Ranking costs a hash per living VM; further missing VMs wait for the next call.
RANKS_PER_CALL = 10


def stagger_s(key, own_id, living):
    """Return this daemon's wait by its rank for a key; the first one waits 0 s."""
    order = rendezvous.rank(key, {*living, own_id})
    return STAGGER_S * order.index(own_id)


@dataclass(slots=True)
class MissingVm:
    """Time since which a VM is missing, and time at which to withdraw it."""

    missing_since: float
    withdraw_at: float | None = None


class WithdrawalSchedule:
    """Decides when this daemon withdraws announced VMs that are considered dead.

    Two regions that can't reach each other but both reach the log consider each other
    dead and withdraw each other's VMs. Each time a VM announces itself again after a
    withdrawal, the delay of its next withdrawal is doubled, up to `MAX_DELAY_S`.

    Parameters
    ----------
    own_id : str
        This daemon's VM.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._missing = {}
        self._return_counts = {}
        self._withdrawn = {}

    def on_withdrawal(self, vm_id, incarnation):
        """Handle a withdrawal that was read from the stream."""
        self._withdrawn[vm_id] = incarnation
        self._missing.pop(vm_id, None)

    def on_announcement(self, vm_id, incarnation):
        """Handle an announcement that was read from the stream."""
        self._missing.pop(vm_id, None)
        withdrawn = self._withdrawn.pop(vm_id, None)
        if withdrawn == incarnation:
            self._return_counts[vm_id] = self._return_counts.get(vm_id, 0) + 1
        else:
            self._return_counts.pop(vm_id, None)

    def vms_to_withdraw(self, announced, living, now):
        """Return the announced VMs that this daemon should withdraw now.

        Parameters
        ----------
        announced : iterable of str
        living : set of str
            VMs that the membership does not consider dead.
        now : float
            Seconds.
        """
        announced = set(announced)
        missing = announced - living
        self._missing = {v: m for v, m in self._missing.items() if v in missing}
        for vm_id in missing:
            self._missing.setdefault(vm_id, MissingVm(now))
        if len(announced) - len(missing) < MIN_LIVING_SHARE * len(announced):
            return []
        ranked = 0
        to_withdraw = []
        for vm_id in sorted(missing):
            entry = self._missing[vm_id]
            delay_s = min(
                WITHDRAW_DELAY_S * 2 ** self._return_counts.get(vm_id, 0), MAX_DELAY_S
            )
            delay_over = (
                entry.withdraw_at is None and now - entry.missing_since >= delay_s
            )
            if delay_over and ranked < RANKS_PER_CALL:
                ranked += 1
                entry.withdraw_at = now + stagger_s(vm_id, self._own_id, living)
            if entry.withdraw_at is not None and now >= entry.withdraw_at:
                to_withdraw.append(vm_id)
                entry.withdraw_at = now + REPEAT_DELAY_S
        return to_withdraw
