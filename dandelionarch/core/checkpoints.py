"""When a follower appends a checkpoint of a stream to the log."""

from dataclasses import dataclass

STAGGER_S = 5.0
# An append whose result is unknown shows in the log within a read.
RETRY_S = 30.0
RETENTION_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class Retention:
    """How long the log keeps a record: by age and, if not 0, by count."""

    age_s: float
    records: int = 0


class CheckpointSchedule:
    """Decides for one stream whether this follower's turn has come.

    A checkpoint is due a quarter of the retention after the last one. The follower
    of rank 0 appends at once, each further one a stagger later, and seeing another's
    checkpoint ends the wait, so that one append is the normal case.
    """

    def __init__(self, retention):
        self._retention = retention
        self._due_since = None
        self._last_try = None

    def take_turn(self, copy, rank, log_now, now):
        """Return True if this follower must append a checkpoint now.

        Parameters
        ----------
        copy : StreamCopy
        rank : int
            Place among all followers.
        log_now : float
            The log service's clock in seconds.
        now : float
            Local monotonic time in seconds.
        """
        if not self._needs_checkpoint(copy, log_now):
            self._due_since = self._last_try = None
            return False
        if self._due_since is None:
            self._due_since = now
        if now < self._due_since + rank * STAGGER_S:
            return False
        if self._last_try is not None and now < self._last_try + RETRY_S:
            return False
        self._last_try = now
        return True

    def on_checkpoint_part(self, now):
        """Restart the stagger: another follower is appending a checkpoint."""
        if self._due_since is not None:
            self._due_since = now

    def _needs_checkpoint(self, copy, log_now):
        if copy.checkpoint_time_s is None:
            return False
        age_s = log_now - copy.checkpoint_time_s
        if age_s >= self._retention.age_s / RETENTION_DIVISOR:
            return True
        count = copy.next - copy.checkpoint_offset
        limit = self._retention.records
        return 0 < limit <= count * RETENTION_DIVISOR
