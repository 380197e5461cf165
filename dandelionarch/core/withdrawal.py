"""When a daemon appends a shared fact to the fleet stream, so that about one does."""

from dataclasses import dataclass

from dandelionarch.core import rendezvous

# A VM that the membership holds dead for this long is withdrawn.
WITHDRAW_DELAY_S = 60.0
# Each next daemon by rendezvous rank waits this much longer: longer than an append
# and its reading back usually take.
STAGGER_S = 2.0
MAX_DELAY_S = 3600.0
# A withdrawal that was not read back is repeated.
REPEAT_S = 10.0
# A daemon that holds more than three quarters of the announced VMs dead is probably
# cut off itself; the loss of a region leaves half of them.
MIN_LIVING_SHARE = 0.25
# Ranks cost a hash per living VM; more missing VMs wait for the next call.
RANKS_PER_CALL = 10


def stagger_s(key, own_id, living):
    """Return how long this daemon waits after the first one by rank."""
    order = rendezvous.rank(key, {*living, own_id})
    return STAGGER_S * order.index(own_id)


@dataclass(slots=True)
class MissingVm:
    """Since when a VM is missing, and when this daemon withdraws it."""

    since: float
    due: float | None = None


class Withdrawals:
    """Announced VMs that are missing, and since when.

    Two regions that are apart but both reach the log hold each other dead. A VM that
    announces itself again after a withdrawal therefore doubles the delay of its next
    one, up to an hour.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._missing = {}
        self._return_counts = {}
        self._withdrawn = {}

    def on_withdrawal(self, vm_id, incarnation):
        """Note a withdrawal that was read."""
        self._withdrawn[vm_id] = incarnation
        self._missing.pop(vm_id, None)

    def on_announcement(self, vm_id, incarnation):
        """Note an announcement that was read: the VM lives, at least in the log."""
        self._missing.pop(vm_id, None)
        before = self._withdrawn.pop(vm_id, None)
        if before == incarnation:
            self._return_counts[vm_id] = self._return_counts.get(vm_id, 0) + 1
        else:
            self._return_counts.pop(vm_id, None)

    def vms_to_withdraw(self, announced, living, now):
        """Return the announced VMs that this daemon should withdraw now.

        Parameters
        ----------
        announced : iterable of str
        living : set of str
            VMs that the membership does not hold dead.
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
        due = []
        for vm_id in sorted(missing):
            entry = self._missing[vm_id]
            delay_s = min(
                WITHDRAW_DELAY_S * 2 ** self._return_counts.get(vm_id, 0), MAX_DELAY_S
            )
            overdue = entry.due is None and now - entry.since >= delay_s
            if overdue and ranked < RANKS_PER_CALL:
                ranked += 1
                entry.due = now + stagger_s(vm_id, self._own_id, living)
            if entry.due is not None and now >= entry.due:
                due.append(vm_id)
                entry.due = now + REPEAT_S
        return due
