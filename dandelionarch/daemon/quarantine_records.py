"""Quarantines that a VM keeps in its registry entry, for daemons that start later.

Daemons that run tell each other of suspects. If all of them end at the same moment, the
verdicts would be forgotten, and the same requests would crash endpoints again.
"""

import time

from dandelionarch.core.messages.registry import QuarantineRecord
from dandelionarch.core.messages.request import Suspicion

# Records of one VM; other VMs on which a request has crashed keep it as well.
MAX_RECORDS = 16
# Suspects of crashes on one VM that may be put into quarantine later.
MAX_SUSPECTS = 128


class QuarantineRecords:
    """The quarantines of requests that have crashed endpoints of one VM.

    Parameters
    ----------
    vm_id : VmId
    quarantine : Quarantine
    now : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    on_change : callable
        Called without arguments when `records` returns other requests or crashes.
    """

    def __init__(self, vm_id, quarantine, now):
        self.on_change = lambda: None
        self._vm_id = vm_id
        self._quarantine = quarantine
        self._now = now
        self._suspects = {}
        self._published = ()

    def records(self):
        """Return a `QuarantineRecord` for each request that is refused now."""
        now, now_ms = self._now(), _unix_ms()
        records = []
        for fingerprint, service in self._suspects.items():
            if self._quarantine.remaining_s(fingerprint, now):
                age_s = now - self._quarantine.crashed_at(fingerprint)
                crashed_at_ms = max(0, now_ms - int(age_s * 1000))
                crashes = self._quarantine.crashes_of(fingerprint)
                records.append(
                    QuarantineRecord(fingerprint, service, crashes, crashed_at_ms)
                )
        return tuple(records[-MAX_RECORDS:])

    def add_suspects(self, service, fingerprints):
        """Add requests that were present at a crash on this VM."""
        for fingerprint in fingerprints:
            self._suspects.pop(fingerprint, None)
            self._suspects[fingerprint] = service
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[self._weakest()]

    def _weakest(self):
        now = self._now()
        return min(
            self._suspects, key=lambda f: self._quarantine.remaining_s(f, now) > 0
        )

    def merge(self, vm_id, records):
        """Add the records in the entry of a VM, or of an earlier process on this one.

        Returns
        -------
        list of Suspicion
            What this daemon did not know.
        """
        now, now_ms = self._now(), _unix_ms()
        news = []
        for record in records:
            age_ms = max(0, now_ms - record.crashed_at_ms)
            suspicion = Suspicion(
                record.fingerprint, record.service, record.crashes, (), age_ms
            )
            news += self._quarantine.merge(suspicion, now)
            if vm_id == self._vm_id:
                self.add_suspects(record.service, (record.fingerprint,))
        return news

    def publish_changes(self):
        """Call `on_change` if other requests or crashes are to be kept than before."""
        published = tuple((r.fingerprint, r.crashes) for r in self.records())
        if published != self._published:
            self._published = published
            self.on_change()


def _unix_ms():
    return int(time.time() * 1000)
