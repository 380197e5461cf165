"""Loans of further attempts between ingresses that share a fleet's retry budget."""

import logging
import random

from dandelionarch.core.messages.loans import LoanAnswer, LoanQuery
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Failures come in clusters, so most peers have their part unused.
PEERS_ASKED = 3
ASK_TIMEOUT_S = 0.05
# While the whole fleet is short, requests are refused without asking.
PAUSE_S = 0.5


class RetryLoans:
    """Borrows a further attempt where this ingress's part of a budget is used up.

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
        network.subscribe(LoanQuery, self._on_query)

    async def replenish(self, service, hedge=False):
        """Have one further attempt at hand, if a peer has one to lend.

        With `hedge` it is for a straggler, for which peers lend less.
        """
        now = self._network.now()
        budget = self._budget_of(service)
        kind = (service, hedge)
        if not budget.is_spent(now, hedge) or now < self._refused_until.get(kind, now):
            return
        links = self._network.all_links()
        for link in self._rng.sample(links, min(PEERS_ASKED, len(links))):
            if await self._granted(link, LoanQuery(service, hedge)):
                budget.on_loan(self._network.now())
                return
        event(log, "retry_loan_refused", service=service, asked=PEERS_ASKED)
        self._refused_until[kind] = now + PAUSE_S

    async def _granted(self, link, query):
        try:
            answer = await link.ask(query, ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "retry_loan_missing", vm=link.vm_id, detail=exc)
            return False
        return answer.granted

    def _on_query(self, link, query):
        budget = self._budget_of(query.service)
        return LoanAnswer(budget.lend(self._network.now(), query.hedge))
