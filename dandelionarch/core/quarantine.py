"""Quarantine of requests that crash the endpoints that run them.

A request that comes again has a new id, so it is known by a digest of its content. Each
crash of an endpoint makes all requests that it ran suspects, most of them harmless. One
that is answered elsewhere is excused from the crashes so far; one that was present at
several crashes, and was never answered, is refused by all agents.

What agents know of a suspect is two sets that only grow, so that they agree in whatever
order they learn of crashes and excuses.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from dandelionarch.core.messages.request import Suspicion

DIGEST_BYTES = 16
# A harmless request is present at one crash by chance, and at two if its repeat meets
# the same deadly request again.
CRASHES_TO_QUARANTINE = 3
# A quarantine ends by itself, as the endpoints may have been mended. Each further crash
# doubles it.
QUARANTINE_S = 600.0
MAX_DOUBLINGS = 6
# For so long a crash counts, and the excuses of a suspect are remembered.
SUSPICION_S = 600.0
# An answer excuses a request from crashes that follow within this time. Popular
# requests are present at many crashes, and answered several times between two of them.
ANSWERED_S = 30.0
MAX_ANSWERED = 1024
MAX_SUSPECTS = 1024
MAX_CRASHES_PER_SUSPECT = 16


def request_fingerprint(method, host, target, credentials, body):
    """Return the digest of the content by which a request is known when it comes again.

    Parameters
    ----------
    method, host, target, credentials : str
        `credentials` is the value of the field `Authorization`, or empty.
    body : bytes
    """
    # No field of a request holds a line feed.
    fields = "\n".join((method, host, target, credentials, ""))
    mac = hashlib.blake2b(
        fields.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    )
    mac.update(body)
    return mac.digest()


@dataclass(slots=True)
class Suspect:
    """A request that was running on endpoints as they crashed.

    Attributes
    ----------
    service : ServiceName
    crashes : set of bytes
        Ids of the crashes.
    excused : set of bytes
        Those of the crashes from which an answer has excused the request.
    crashed_at : float
        Time of the latest crash in seconds.
    """

    service: str
    crashes: set = field(default_factory=set)
    excused: set = field(default_factory=set)
    crashed_at: float = float("-inf")

    @property
    def crash_count(self):
        """Return the number of crashes that count."""
        return len(self.crashes - self.excused)

    @property
    def ends_at(self):
        """Return the time at which the quarantine ends; -inf if there is none."""
        excess = self.crash_count - CRASHES_TO_QUARANTINE
        if excess < 0:
            return float("-inf")
        return self.crashed_at + QUARANTINE_S * 2 ** min(excess, MAX_DOUBLINGS)

    def add(self, crashes, excused):
        """Add ids to both sets; return True if this changed anything."""
        before = len(self.crashes) + len(self.excused)
        self.crashes |= set(crashes)
        self.excused |= set(excused) & self.crashes
        self._drop_excess()
        return len(self.crashes) + len(self.excused) != before

    def _drop_excess(self):
        excess = len(self.crashes) - MAX_CRASHES_PER_SUSPECT
        if excess > 0:
            dropped = sorted(self.crashes, key=lambda c: (c not in self.excused, c))
            self.crashes.difference_update(dropped[:excess])
            self.excused &= self.crashes


class Quarantine:
    """The suspects that one agent knows, and the verdict on each request.

    Times are in seconds on one monotonic clock.
    """

    def __init__(self):
        self._suspects = {}
        self._answered = OrderedDict()

    def remaining_s(self, fingerprint, now):
        """Return the seconds for which a request is refused, 0 if it is admitted."""
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else max(0.0, suspect.ends_at - now)

    def crashes_of(self, fingerprint):
        """Return the ids of the crashes that count against a request, in order."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        return tuple(sorted(suspect.crashes - suspect.excused))

    def on_crash(self, crash_id, service, fingerprints, now):
        """Handle a crash of an endpoint of this VM that ran these requests.

        Returns
        -------
        list of Suspicion
            What peers have to know.
        """
        changed = []
        for fingerprint in fingerprints:
            suspect = self._suspect(fingerprint, service, now)
            suspect.crashed_at = now
            if self._add(fingerprint, suspect, (crash_id,), (), now):
                changed.append(self._suspicion(fingerprint, now))
        return changed

    def on_answered(self, fingerprint, now):
        """Handle an answer that is not an error of the endpoint.

        Returns
        -------
        list of Suspicion
            What peers have to know.
        """
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.add((), suspect.crashes):
            return []
        return [self._suspicion(fingerprint, now)]

    def merge(self, suspicion, now):
        """Add what a peer knows of a suspect.

        Returns
        -------
        list of Suspicion
            What further peers have to know; empty if this is no news.
        """
        age_s = suspicion.age_ms / 1000
        fingerprint = suspicion.fingerprint
        if fingerprint not in self._suspects and age_s > SUSPICION_S:
            return []
        suspect = self._suspect(fingerprint, suspicion.service, now)
        suspect.crashed_at = max(suspect.crashed_at, now - age_s)
        crashes, excused = suspicion.crashes, suspicion.excused
        if not self._add(fingerprint, suspect, crashes, excused, now):
            return []
        return [self._suspicion(fingerprint, now)]

    def crashed_at(self, fingerprint):
        """Return the time of the latest crash of a suspect in seconds."""
        return self._suspects[fingerprint].crashed_at

    def suspicions(self, now):
        """Return what a peer that knows nothing has to know."""
        return [
            self._suspicion(fingerprint, now)
            for fingerprint, suspect in self._suspects.items()
            if suspect.crash_count
        ]

    def _suspect(self, fingerprint, service, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room(now)
            suspect = self._suspects[fingerprint] = Suspect(service)
        return suspect

    def _add(self, fingerprint, suspect, crashes, excused, now):
        answered_at = self._answered.get(fingerprint, float("-inf"))
        if suspect.crashed_at <= answered_at + ANSWERED_S:
            excused = (*excused, *suspect.crashes, *crashes)
        return suspect.add(crashes, excused)

    def _make_room(self, now):
        """Drop the suspects that are past, and one more if the table is full."""
        past = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now > max(suspect.crashed_at, suspect.ends_at) + SUSPICION_S
        ]
        for fingerprint in past:
            del self._suspects[fingerprint]
        if len(self._suspects) >= MAX_SUSPECTS:
            weakest = min(self._suspects, key=self._weight)
            del self._suspects[weakest]

    def _weight(self, fingerprint):
        suspect = self._suspects[fingerprint]
        is_quarantined = suspect.crash_count >= CRASHES_TO_QUARANTINE
        return is_quarantined, suspect.crashed_at

    def _suspicion(self, fingerprint, now):
        suspect = self._suspects[fingerprint]
        return Suspicion(
            fingerprint,
            suspect.service,
            tuple(sorted(suspect.crashes)),
            tuple(sorted(suspect.excused)),
            max(0, int((now - suspect.crashed_at) * 1000)),
        )
