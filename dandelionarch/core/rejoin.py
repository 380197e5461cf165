"""Contact with daemons that are not known living members: seeds and dead members.

Seeds come from the settings. If none is reachable, a daemon joins through VMs that are
announced in the fleet stream. Members that are considered dead are probed from time to
time, so that regions find each other again after a partition.
"""

from dandelionarch.core import members as member_table
from dandelionarch.core.messages.members import Join

JOIN_PERIOD_S = 1.0
SEED_PERIOD_S = 30.0
DEAD_PROBE_PERIOD_S = 10.0
# A message from a member considered dead suggests that other dead ones may be back and
# should be probed. The limit per tick keeps regions from probing all members at once
# after a partition.
PROBES_PER_TICK = 3
# A region that returns has hundreds of members; one exchange covers many of them.
RETURN_EXCHANGE_PERIOD_S = 2.0
# A new member receives all records in one burst of datagrams, some of which may be
# lost; these early exchanges supply the lost ones.
CATCH_UP_DELAYS_S = (1.0, 3.0, 8.0)


class Rejoin:
    """Schedule of contacts with addresses outside the living members.

    Parameters
    ----------
    membership : Membership
    seeds : iterable of (str, int)
        Gossip addresses from the settings.
    """

    def __init__(self, membership, seeds):
        self._membership = membership
        self._seeds = [tuple(s) for s in seeds]
        self._fallback = []
        self._next_join = None
        self._next_dead_probe = None
        self._catch_up = []
        self._joined = False
        self._join_count = 0
        self._returned_member = None
        self._last_return_exchange = float("-inf")
        self._probes_left = 0

    def set_fallback(self, addresses):
        """Set the gossip addresses that are announced in the fleet stream."""
        self._fallback = [tuple(a) for a in addresses]

    def tick(self, now):
        """Send the messages that are due."""
        if self._next_join is None:
            self._next_join = now
            self._next_dead_probe = now + self._membership.rng.uniform(
                0, DEAD_PROBE_PERIOD_S
            )
        self._probes_left = PROBES_PER_TICK
        is_alone = not len(self._membership.table.living)
        if now >= self._next_join:
            self._next_join = now + (JOIN_PERIOD_S if is_alone else SEED_PERIOD_S)
            self._join()
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_PERIOD_S
            self._probe_dead(1)
        if not is_alone and not self._joined:
            self._joined = True
            self._catch_up = [now + delay_s for delay_s in CATCH_UP_DELAYS_S]
        if (
            self._returned_member is not None
            and now - self._last_return_exchange >= RETURN_EXCHANGE_PERIOD_S
        ):
            self._last_return_exchange = now
            self._membership.exchange_with(self._returned_member)
            self._returned_member = None
        if self._catch_up and now >= self._catch_up[0]:
            self._catch_up.pop(0)
            self._exchange()

    def on_returned(self, vm_id):
        """Handle a member that is no longer considered dead."""
        self._returned_member = vm_id

    def on_message_from_dead(self, vm_id):
        """Handle a message from a member that is still considered dead."""
        count = min(PROBES_PER_TICK, self._probes_left)
        self._probes_left -= count
        self._probe_dead(count)

    def _join(self):
        """Send `Join` to one seed and one announced VM that are not living members."""
        self._join_count += 1
        for addresses in (self._seeds, self._fallback):
            others = [a for a in addresses if self._is_unknown_address(a)]
            if others:
                address = others[self._join_count % len(others)]
                self._membership.send(address, Join(self._membership.me))

    def _is_unknown_address(self, address):
        me = member_table.address_of(self._membership.me)
        return address != me and self._membership.table.at_address(address) is None

    def _probe_dead(self, count):
        for vm_id in self._membership.table.dead.sample(self._membership.rng, count):
            self._membership.prober.probe(vm_id)

    def _exchange(self):
        membership = self._membership
        membership.exchange_with(membership.table.living.choose(membership.rng))
