"""Customers' limits at an ingress: its own share and tokens granted by homes."""

import math
from dataclasses import dataclass
from enum import Enum

from dandelionarch.core.limits import OWN_DIVISOR, TokenBucket
from dandelionarch.core.messages.limits import TokenRequest

GRANT_LIFETIME_S = 10.0
DEMAND_WINDOW_S = 10.0
# A home that did not answer is not asked again for this time; requests beyond the own
# share are refused at once.
SILENT_HOME_BACKOFF_S = 1.0
DIVISOR_LIFETIME_S = 30.0
HOLD_RENEW_S = 4.0
# Shorter than the home's, so that two ingresses never use the same concurrency.
HOLD_LIFETIME_S = 9.0
ACCOUNT_RETENTION_S = 300.0
# Reports of own use per customer at its full rate, without reply; see `_sample_report`.
REPORTS_PER_S = 0.5
LOW_TOKENS_FACTOR = 4
HOLD_DENIED_BACKOFF_S = 0.2
PREFETCHES_PER_CALL = 5
# `Retry-After` if the plan has no allowance for the service.
NO_ALLOWANCE_RETRY_S = 60.0


class Step(Enum):
    """Decision on a request; `ASK` is for tokens of the customer's home."""

    ADMIT = "admit"
    REFUSE = "refuse"
    ASK = "ask"


@dataclass(frozen=True, slots=True)
class LimitVerdict:
    """A `Step` and the message to send to the home, if any.

    `ASK` always has a message, `ADMIT` sometimes. Pass `key` to
    `LimitShares.on_request_ended` when an admitted request ends.
    """

    step: Step
    key: tuple = ()
    retry_after_s: float = 0.0
    message: TokenRequest | None = None


class ShareAccount:
    """Account at an ingress of one customer's use of a service in one period."""

    __slots__ = (
        "allowance",
        "demand_per_s",
        "denied_until",
        "divisor",
        "divisor_at",
        "granted_tokens",
        "granted_until",
        "hold",
        "hold_at",
        "hold_denied_until",
        "in_flight",
        "own_bucket",
        "returned",
        "spent",
        "table",
        "used_at",
    )

    def __init__(self, allowance, table, now):
        self.allowance = allowance
        self.table = table
        self.divisor = OWN_DIVISOR
        self.divisor_at = now
        self.own_bucket = TokenBucket(self.own_burst, now)
        self.granted_tokens = 0
        self.granted_until = 0.0
        self.spent = 0
        self.returned = 0
        self.denied_until = 0.0
        self.in_flight = 0
        self.hold = 0
        self.hold_at = -math.inf
        self.hold_denied_until = 0.0
        self.demand_per_s = 0.0
        self.used_at = now

    @property
    def own_burst(self):
        """Return the burst of the own share in requests."""
        return max(1.0, self.allowance.burst / self.divisor)

    @property
    def own_concurrency(self):
        """Return the concurrency of the own share in requests."""
        return max(1, self.allowance.concurrency // self.divisor)

    @property
    def concurrency(self):
        """Return the number of requests that may run at the same time."""
        return max(self.own_concurrency, self.hold)

    def refresh(self, now):
        """Update tokens, grants, divisor and reserved concurrency to `now`."""
        if now - self.divisor_at > DIVISOR_LIFETIME_S:
            self.divisor = max(OWN_DIVISOR, self.divisor // 2)
            self.divisor_at = now
        self.own_bucket.refill(self.allowance.rate / self.divisor, self.own_burst, now)
        if self.granted_tokens and now > self.granted_until:
            self.returned += self.granted_tokens
            self.granted_tokens = 0
        if now - self.hold_at > HOLD_LIFETIME_S:
            self.hold = 0

    def count_use(self, now):
        """Count one request in the rate of the customer's demand."""
        # 0.693 is ln 2, so that the decaying sum is a rate.
        self.demand_per_s *= 0.5 ** ((now - self.used_at) / DEMAND_WINDOW_S)
        self.demand_per_s += 0.693 / DEMAND_WINDOW_S
        self.used_at = now


class LimitShares:
    """Decide at one ingress whether a customer's request is within the limits.

    Parameters
    ----------
    rng : random.Random
        Selects the requests with which own use is reported to the home.
    """

    def __init__(self, rng):
        # In order of last use, so that idle accounts come first.
        self.accounts = {}
        # Keys of accounts with granted tokens or reserved concurrency.
        self._with_grants = set()
        self._over_own_share = {}
        self._rng = rng
        self._table = None
        self._silent_until = {}

    def set_table(self, table):
        """Apply the limits of newly accepted lists; earlier use still counts."""
        self._table = table

    def admit(self, customer, service, now, utc_s, after_reply=False):
        """Return the `LimitVerdict` on a request.

        Parameters
        ----------
        now, utc_s : float
            Monotonic time, and the wall-clock time by which crests start, in seconds.
        after_reply : bool
            True after the home's reply; the home is then not asked again.
        """
        key = (customer, service, self._table.calendar.current(service, utc_s))
        account = self._account(key, now)
        if account is None:
            return LimitVerdict(Step.REFUSE, key, NO_ALLOWANCE_RETRY_S)
        account.refresh(now)
        if not after_reply:
            account.count_use(now)
        if account.in_flight < account.concurrency:
            if account.own_bucket.tokens >= 1:
                account.own_bucket.tokens -= 1
                account.spent += 1
                account.in_flight += 1
                message = self._sample_report(key, account)
                return LimitVerdict(Step.ADMIT, key, message=message)
            if account.granted_tokens:
                account.granted_tokens -= 1
                account.in_flight += 1
                return LimitVerdict(Step.ADMIT, key)
        return self._ask_or_refuse(key, account, now, after_reply)

    def on_grant(self, msg, now):
        """Handle a `TokenGrant` of the home."""
        account = self.accounts.get((msg.customer, msg.service, msg.period))
        if account is None:
            return
        account.granted_tokens += msg.tokens
        account.granted_until = max(account.granted_until, now + GRANT_LIFETIME_S)
        account.divisor, account.divisor_at = max(1, msg.divisor), now
        account.hold, account.hold_at = msg.hold, now
        if msg.hold <= account.in_flight >= account.own_concurrency:
            account.hold_denied_until = now + HOLD_DENIED_BACKOFF_S
        if account.granted_tokens or account.hold:
            self._with_grants.add((msg.customer, msg.service, msg.period))
        if msg.retry_ms and not msg.tokens:
            account.denied_until = now + msg.retry_ms / 1000

    def on_home_silent(self, home, msg, now):
        """Handle a home that did not answer.

        Own use in the message is reported again: if it is counted twice, the limit
        still holds, but not if it is never counted.
        """
        self._silent_until[home] = now + SILENT_HOME_BACKOFF_S
        account = self.accounts.get((msg.customer, msg.service, msg.period))
        if account is not None:
            account.denied_until = now + SILENT_HOME_BACKOFF_S
            account.spent += msg.spent

    def restore_unsent(self, msg):
        """Restore the use in a message that is not sent, as another is in flight."""
        account = self.accounts.get((msg.customer, msg.service, msg.period))
        if account is not None:
            account.spent += msg.spent
            account.returned += msg.returned

    def is_home_silent(self, home, now):
        """Return True for a second after a home did not answer."""
        return self._silent_until.get(home, 0.0) > now

    def on_request_ended(self, key):
        """Handle the end of an admitted request."""
        account = self.accounts.get(key)
        if account is not None and account.in_flight:
            account.in_flight -= 1

    def tick(self, now):
        """Return messages that return unused tokens and renew or free concurrency."""
        messages = []
        for key in list(self._with_grants):
            account = self.accounts.get(key)
            if account is not None:
                account.refresh(now)
                idle = account.in_flight < account.own_concurrency
                renew = account.hold and now - account.hold_at > HOLD_RENEW_S
                if account.returned or renew or (account.hold and idle):
                    account.hold = 0 if idle else account.hold
                    messages.append(self._request(key, account, 0))
            if account is None or not (account.hold or account.granted_tokens):
                self._with_grants.discard(key)
        self._forget_idle(now)
        return messages

    def prefetch(self, now, utc_s):
        """Return requests for the tokens of crests that start soon.

        They are only for customers that recently needed more than the own share at this
        ingress, and for a few in each call, which spreads the control traffic.
        """
        messages = []
        for customer, service, period in list(self._over_own_share):
            start = self._table.calendar.upcoming(service, utc_s)
            key = (customer, service, start)
            if start and not period and key not in self.accounts:
                lead_s = start - utc_s
                message = self._prefetch_request(key, lead_s, now)
                messages += [message] if message else []
            if len(messages) == PREFETCHES_PER_CALL:
                break
        return messages

    def _forget_idle(self, now):
        for key, account in list(self.accounts.items()):
            if now - account.used_at <= ACCOUNT_RETENTION_S or account.in_flight:
                break
            del self.accounts[key]
            self._over_own_share.pop(key, None)

    def _prefetch_request(self, key, lead_s, now):
        account = self._account(key, now)
        if account is None:
            return None
        account.granted_until = now + lead_s + GRANT_LIFETIME_S
        wanted = math.ceil(account.allowance.burst / 2)
        return self._request(key, account, wanted)

    def _account(self, key, now):
        account = self.accounts.pop(key, None)
        if account is None or account.table is not self._table:
            allowance = self._table.allowance(*key)
            if allowance is None:
                return None
            account = account or ShareAccount(allowance, self._table, now)
            account.allowance, account.table = allowance, self._table
        self.accounts[key] = account
        return account

    def _ask_or_refuse(self, key, account, now, after_reply):
        """Refuse a request at once if the home has just denied one, else ask it."""
        at_limit = account.in_flight >= account.concurrency
        until = account.hold_denied_until if at_limit else account.denied_until
        if after_reply or until > now:
            retry_s = max(1 / account.allowance.rate, until - now)
            return LimitVerdict(Step.REFUSE, key, retry_s)
        wanted = 0
        if account.own_bucket.tokens < 1 and not account.granted_tokens:
            max_wanted = max(1, int(account.allowance.burst / 2))
            wanted = min(
                max_wanted, math.ceil(max(1.0, account.demand_per_s * DEMAND_WINDOW_S))
            )
        self._over_own_share[key] = now
        return LimitVerdict(Step.ASK, key, message=self._request(key, account, wanted))

    def _request(self, key, account, wanted):
        spent, account.spent = account.spent, 0
        returned, account.returned = account.returned, 0
        hold = 0
        if account.in_flight >= account.own_concurrency:
            hold = min(account.allowance.concurrency, 2 * account.in_flight + 1)
        # The home reserves at most this from now on, even if its reply is lost.
        account.hold = min(account.hold, hold)
        return TokenRequest(*key, wanted, spent, returned, hold)

    def _sample_report(self, key, account):
        """Return a report of own use for a random sample of the requests, else None.

        The probability is inverse to the rate, so the number of reports does not grow
        with it. Use close to the own share is reported more often, as many ingresses
        that use their own shares may together exceed the rate.
        """
        chance = REPORTS_PER_S / account.allowance.rate
        if account.own_bucket.tokens < account.own_burst / 4:
            chance *= LOW_TOKENS_FACTOR
        if self._rng.random() >= chance:
            return None
        return self._request(key, account, 0)
