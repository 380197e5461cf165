"""Customers' limits: the values of their plans, and the homes that grant tokens.

Each customer has a home daemon, which keeps an account per service. The ingresses that
the customer uses admit a part of the rate (own share) without the home and get the rest
from it in batches of tokens. The home also reserves concurrency for an ingress: a hold.
"""

from dataclasses import dataclass, field

from dandelionarch.core.crests import CrestCalendar
from dandelionarch.core.messages.limits import TokenGrant
from dandelionarch.core.rendezvous import HomeCache, rank

# An ingress's own share is the customer's rate, burst and concurrency over the divisor.
OWN_DIVISOR = 8
MAX_DIVISOR = 8192
# The daemons' views of the live members agree within this time, which follows from the
# suspicion time of the membership.
VIEW_SETTLE_S = 10.0
HOLD_LIFETIME_S = 10.0
RATE_HALF_LIFE_S = 4.0
DIVISOR_PERIOD_S = 1.0
ACCOUNT_RETENTION_S = 600.0
# More frequent requests for tokens would only add control traffic.
MIN_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class Allowance:
    """Limits of one customer at one service.

    `rate` is in requests/s, `burst` and `concurrency` are in requests.
    """

    rate: float
    burst: float
    concurrency: int


class LimitTable:
    """Limits of customers according to the accepted lists.

    Parameters
    ----------
    lists : Lists
    """

    def __init__(self, lists):
        self._lists = lists
        self.calendar = CrestCalendar(lists)

    def allowance(self, customer, service, period):
        """Return the `Allowance` of a period, or None if the plan has none.

        `period` is the start of a crest, to which the crest values apply, or 0.
        """
        section = self._lists.customers.get(customer)
        allow = section and self._lists.allow.get((section.plan, service))
        if allow is None:
            return None
        if not period:
            return Allowance(allow.rate, allow.burst, allow.concurrency)
        return Allowance(
            allow.crest_rate or allow.rate,
            allow.crest_burst or allow.burst,
            allow.crest_concurrency or allow.concurrency,
        )


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill at a rate up to a burst; a negative number is a debt."""

    tokens: float
    updated: float

    def refill(self, rate, burst, now):
        """Add the tokens of the time since the last update."""
        elapsed_s = max(0.0, now - self.updated)
        self.tokens = min(burst, self.tokens + rate * elapsed_s)
        self.updated = now


@dataclass(slots=True)
class HomeAccount:
    """Account at the home of one customer's use of a service in one period.

    `holds` maps the id of an ingress's VM to the concurrency reserved for it and the
    time at which the reservation expires.
    """

    bucket: TokenBucket
    divisor: float = OWN_DIVISOR
    holds: dict = field(default_factory=dict)
    used_per_s: float = 0.0
    used_at: float = 0.0
    adjusted_at: float = 0.0


class LimitHome:
    """Accounts of the customers whose home is this daemon.

    An account that may recently have had another home starts without tokens, so that
    tokens which that home has granted are not granted again.

    Parameters
    ----------
    vm_id : VmId
        This daemon's VM.
    now : float
        Time in seconds.
    """

    def __init__(self, vm_id, now):
        self.vm_id = vm_id
        self.accounts = {}
        self._table = None
        self._started = now
        self._placement = HomeCache({vm_id})
        self._removed_at = {}

    def set_table(self, table):
        """Apply the limits of newly accepted lists."""
        self._table = table

    def set_members(self, members, now):
        """Update the set of live VMs, among which customers have their homes."""
        members = frozenset(members) | {self.vm_id}
        gone = self._placement.members - members
        self._removed_at.update((vm_id, now) for vm_id in gone)
        self._placement.set_members(members)
        self._removed_at = {
            vm_id: at
            for vm_id, at in self._removed_at.items()
            if now - at < VIEW_SETTLE_S
        }

    def handle(self, msg, sender, now):
        """Handle a `TokenRequest`; return the `TokenGrant`, or None if none is due."""
        allowance = self._table and self._table.allowance(
            msg.customer, msg.service, msg.period
        )
        if allowance is None or self._placement.home(msg.customer) != self.vm_id:
            return self._grant(msg, 0, 0, OWN_DIVISOR, 1000)
        account = self._account(msg, allowance, now)
        bucket = account.bucket
        bucket.refill(allowance.rate, allowance.burst, now)
        bucket.tokens += msg.returned - msg.spent
        tokens = max(0, min(msg.wanted, int(bucket.tokens)))
        bucket.tokens -= tokens
        hold = self._reserve(account, sender, msg.hold, allowance, now)
        self._adjust(account, allowance, tokens + msg.spent - msg.returned, now)
        retry_ms = 0
        if tokens < msg.wanted:
            retry_s = max(MIN_RETRY_AFTER_S, (1 - bucket.tokens) / allowance.rate)
            retry_ms = int(1000 * retry_s)
        if not msg.wanted and not msg.hold and int(account.divisor) == OWN_DIVISOR:
            return None
        return self._grant(msg, tokens, hold, int(account.divisor), retry_ms)

    def expire(self, now):
        """Remove accounts that were not used for 10 min."""
        for key, account in list(self.accounts.items()):
            if now - account.bucket.updated > ACCOUNT_RETENTION_S:
                del self.accounts[key]

    def _grant(self, msg, tokens, hold, divisor, retry_ms):
        retry_ms = min(retry_ms, 600_000)
        return TokenGrant(
            msg.customer, msg.service, msg.period, tokens, hold, divisor, retry_ms
        )

    def _account(self, msg, allowance, now):
        key = (msg.customer, msg.service, msg.period)
        account = self.accounts.get(key)
        if account is None:
            full = not self._is_new_home(msg.customer, now, now - VIEW_SETTLE_S)
            bucket = TokenBucket(allowance.burst if full else 0.0, now)
            account = self.accounts[key] = HomeAccount(bucket, adjusted_at=now)
            account.used_at = now
        elif self._is_new_home(msg.customer, now, account.bucket.updated):
            account.bucket.tokens = min(0.0, account.bucket.tokens)
            account.bucket.updated = now
        return account

    def _is_new_home(self, customer, now, since):
        """Return True if another daemon may have been the home after `since`."""
        if now - self._started < VIEW_SETTLE_S and since < self._started:
            return len(self._placement.members) > 1
        gone = [vm_id for vm_id, at in self._removed_at.items() if at > since]
        return bool(gone) and rank(customer, [*gone, self.vm_id])[0] != self.vm_id

    def _reserve(self, account, sender, wanted, allowance, now):
        """Reserve concurrency for an ingress until it expires; return the amount."""
        account.holds.pop(sender, None)
        account.holds = {
            vm_id: (held, until)
            for vm_id, (held, until) in account.holds.items()
            if until > now
        }
        free = allowance.concurrency - sum(held for held, _ in account.holds.values())
        hold = max(0, min(wanted, free))
        if hold:
            account.holds[sender] = (hold, now + HOLD_LIFETIME_S)
        return hold

    def _adjust(self, account, allowance, used, now):
        """Raise the divisor while the fleet uses more than the rate.

        If every ingress uses its full own share, the total use is inversely
        proportional to the divisor, so the divisor is multiplied by the excess.
        """
        # 0.693 is ln 2, so that the decaying sum is a rate.
        elapsed_s = now - account.used_at
        account.used_per_s *= 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
        account.used_per_s += used * 0.693 / RATE_HALF_LIFE_S
        account.used_at = now
        since_s = now - account.adjusted_at
        if since_s < DIVISOR_PERIOD_S:
            return
        excess = account.used_per_s / allowance.rate
        if excess > 1.2 and account.bucket.tokens < 0:
            account.divisor = min(MAX_DIVISOR, account.divisor * min(8.0, excess))
        elif account.bucket.tokens > 0:
            decay = 0.5 ** (since_s / VIEW_SETTLE_S)
            account.divisor = max(OWN_DIVISOR, account.divisor * decay)
        account.adjusted_at = now
