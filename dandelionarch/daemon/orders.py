"""Ingress side of orders: claims an order's key before the order is dispatched."""

import asyncio
import logging
import uuid
from dataclasses import dataclass, replace

from dandelionarch.core.ingress import Refuse
from dandelionarch.core.issued_keys import IssuedKey
from dandelionarch.core.messages import orders as msgs
from dandelionarch.core.messages.request import Header
from dandelionarch.core.orders import (
    MAX_STORED_ANSWER_BYTES,
    MAX_STORED_HEADER_BYTES,
    ClaimVerdict,
    body_digest,
    key_digest,
    partition_of,
)
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.world import VmState
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Minimum time that remains for the order itself when its claim is granted late.
DISPATCH_RESERVE_S = 0.05
REPLY_GRACE_S = 0.2
TAKEN_POLL_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class StoredReply:
    """The answer of an earlier run of the order, with the attributes of `Answer`."""

    status: int
    headers: tuple
    body: bytes
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A claim of this ingress and the VMs to ask for a verdict, preferred one first."""

    query: msgs.ClaimQuery
    homes: tuple


REFUSAL_OF_VERDICT = {
    ClaimVerdict.TAKEN: (Outcome.UNKNOWN, Reason.ORDER_IN_PROGRESS),
    ClaimVerdict.EXPIRED: (Outcome.UNKNOWN, Reason.ORDER_LOST),
    ClaimVerdict.UNAVAILABLE: (Outcome.UNKNOWN, Reason.PLATFORM_UNAVAILABLE),
    ClaimVerdict.CONFLICT: (Outcome.NOT_RUN, Reason.KEY_REUSED),
}


class OrderDispatcher:
    """Dispatches each order with an idempotency key at most once.

    Parameters
    ----------
    network : PeerNetwork
    homes : OrderHomes
    issuer : KeyIssuer
    ingress : Ingress
        Dispatches the orders that are granted.
    """

    def __init__(self, network, homes, issuer, ingress):
        self._network = network
        self._homes = homes
        self._issuer = issuer
        self._ingress = ingress
        self.in_flight = 0

    def issue_keys(self, count, customer):
        """Return `count` new keys for a customer, as text."""
        vm = self._homes.vm
        return [
            self._issuer.encode(IssuedKey(vm.vm_id, vm.incarnation, sequence), customer)
            for sequence in self._homes.issue_sequences(count)
        ]

    async def run(self, work, req, key, deadline):
        """Run an order once, or return the result of its earlier run.

        The order continues if its caller disconnects, so that a repeat with the same
        key finds the answer.

        Parameters
        ----------
        work, req, deadline
            As for `Ingress.run`; the body of `req` is whole.
        key : str
            The idempotency key.

        Returns
        -------
        Answer, StoredReply or Refuse
        """
        task = self._network.spawn(self._run(work, req, key, deadline))
        return await asyncio.shield(task)

    async def _run(self, work, req, key, deadline):
        self.in_flight += 1
        try:
            return await self._claim_and_run(work, req, key, deadline)
        finally:
            self.in_flight -= 1

    async def _claim_and_run(self, work, req, key, deadline):
        claim_req = self._claim_request(work, req, key)
        if claim_req is None:
            return self._refuse(ClaimVerdict.EXPIRED)
        verdict, reply = await self._claim(claim_req, deadline)
        event(
            log,
            "order_claim",
            request=work.request_id,
            verdict=verdict.value,
            key=claim_req.query.key,
            claim=claim_req.query.claim_id,
        )
        if verdict is ClaimVerdict.RAN:
            return self._stored(reply)
        if verdict is not ClaimVerdict.GRANTED:
            if verdict is ClaimVerdict.UNAVAILABLE:
                await self._send_outcome(claim_req, ran=False)
            return self._refuse(verdict)
        result = await self._ingress.run(work, req, deadline)
        await self._report(claim_req, result)
        return result

    def _claim_request(self, work, req, key):
        """Return the `ClaimRequest` of a key, or None if the key's issuer is gone."""
        digest = key_digest(work.customer, key)
        issued = self._issuer.parse(key, work.customer)
        sequence = 0
        if issued is not None:
            vm = self._homes.directory.vms.get(issued.vm_id)
            if vm is None or vm.incarnation != issued.incarnation:
                return None
            if vm.state is VmState.DEAD:
                return None
            sequence, homes = issued.sequence, (issued.vm_id,)
        else:
            homes = tuple(self._homes.homes_of(partition_of(digest)))
        query = msgs.ClaimQuery(
            digest,
            body_digest(req.method, req.target, req.body),
            uuid.uuid4().hex,
            self._homes.vm.vm_id,
            self._homes.vm.incarnation,
            sequence,
            0,
        )
        return ClaimRequest(query, homes)

    async def _claim(self, claim_req, deadline):
        """Return (verdict, reply), polling while another claim holds the key."""
        loop = asyncio.get_running_loop()
        while True:
            verdict, reply = await self._ask_homes(
                claim_req, deadline - DISPATCH_RESERVE_S
            )
            left_s = deadline - DISPATCH_RESERVE_S - loop.time()
            if verdict is ClaimVerdict.GRANTED and left_s <= 0:
                return ClaimVerdict.UNAVAILABLE, None
            if verdict is not ClaimVerdict.TAKEN or left_s <= TAKEN_POLL_PERIOD_S:
                return verdict, reply
            await asyncio.sleep(TAKEN_POLL_PERIOD_S)

    async def _ask_homes(self, claim_req, deadline):
        loop = asyncio.get_running_loop()
        for vm_id in claim_req.homes:
            left_s = deadline - loop.time()
            if left_s <= 0:
                break
            wait_ms = max(1, int(left_s * 1000))
            query = replace(claim_req.query, wait_ms=wait_ms)
            try:
                reply = await self._network.ask(vm_id, query, left_s + REPLY_GRACE_S)
            except LinkError as exc:
                event(
                    log,
                    "order_home_unreachable",
                    logging.WARNING,
                    vm=vm_id,
                    detail=str(exc),
                )
                continue
            return ClaimVerdict(reply.verdict), reply
        return ClaimVerdict.UNAVAILABLE, None

    async def _report(self, claim_req, result):
        """Send the order's outcome to its homes, if it is known."""
        if isinstance(result, Refuse):
            if result.outcome is Outcome.NOT_RUN:
                await self._send_outcome(claim_req, ran=False)
            return
        body = result.body if result.whole else None
        if body is not None and len(body) > MAX_STORED_ANSWER_BYTES:
            body = None
        headers = result.headers
        if sum(len(h.name) + len(h.value) for h in headers) > MAX_STORED_HEADER_BYTES:
            # An answer without all of its header fields is not the whole answer.
            headers, body = (), None
        await self._send_outcome(claim_req, True, result.status, headers, body)

    async def _send_outcome(self, claim_req, ran, status=0, headers=(), body=None):
        query = claim_req.query
        outcome = msgs.OrderOutcome(
            query.key,
            query.claim_id,
            query.sequence,
            ran,
            status,
            tuple(headers),
            body or b"",
            body is not None,
        )
        for vm_id in claim_req.homes:
            try:
                await self._network.send(vm_id, outcome)
                return
            except LinkError:
                continue
        event(log, "order_outcome_lost", logging.WARNING, key=query.key)

    def _stored(self, reply):
        if not reply.has_body:
            return self._refusal(Outcome.UNKNOWN, Reason.ORDER_ANSWER_TOO_LONG)
        headers = (*reply.headers, Header("Dandelion-Repeated", "1"))
        return StoredReply(reply.status, headers, reply.body)

    def _refuse(self, verdict):
        return self._refusal(*REFUSAL_OF_VERDICT[verdict])

    def _refusal(self, outcome, reason):
        return Refuse(outcome, reason, self._ingress.retry_after_s())
