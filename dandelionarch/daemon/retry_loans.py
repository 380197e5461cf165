"""Loans of attempts between ingresses that share a fleet's retry budget."""

import logging
import random

from dandelionarch.core.messages.loans import LoanAnswer, LoanQuery
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Failures cluster at a few ingresses, so most peers have not used their part.
MAX_PEERS_ASKED = 3
ASK_TIMEOUT_S = 0.05
# If the peers that were asked lend nothing, the whole fleet has probably used up its
# budget. For this time further attempts are refused without asking any peer.
PAUSE_AFTER_REFUSAL_S = 0.5


class RetryLoans:
    """Borrows a further attempt if this ingress's part of a budget is used up.

    Parameters
    ----------
    network : PeerNetwork
    budget_of : callable
        `budget_of(service)` returns this ingress's `FleetShareBudget`.
    rng : random.Random, optional
    """

    def __init__(self, network, budget_of, rng=None):
        self._network = network
        self._budget_of = budget_of
        self._rng = rng or random.Random()
        self._refused_until = {}
        network.subscribe(LoanQuery, self._on_loan_query)

    async def replenish(self, service, hedge=False):
        """Borrow one attempt from a peer if the budget of a service is used up.

        `hedge` says that it is for a second attempt beside a straggler, for which
        peers lend a smaller part.
        """
        now = self._network.now()
        budget = self._budget_of(service)
        key = (service, hedge)
        if not budget.is_spent(now, hedge) or now < self._refused_until.get(key, now):
            return
        links = self._network.all_links()
        for link in self._rng.sample(links, min(MAX_PEERS_ASKED, len(links))):
            if await self._ask_for_loan(link, LoanQuery(service, hedge)):
                budget.on_loan(self._network.now())
                return
        event(log, "retry_loan_refused", service=service, asked=MAX_PEERS_ASKED)
        self._refused_until[key] = now + PAUSE_AFTER_REFUSAL_S

    async def _ask_for_loan(self, link, query):
        """Return True if the peer has granted the loan."""
        try:
            answer = await link.ask(query, ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "retry_loan_missing", vm=link.vm_id, detail=exc)
            return False
        return answer.granted

    def _on_loan_query(self, link, query):
        budget = self._budget_of(query.service)
        return LoanAnswer(budget.lend(self._network.now(), query.hedge))
