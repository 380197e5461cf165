"""Schedule by which followers append checkpoints of a stream to the log."""

from dataclasses import dataclass

STAGGER_S = 5.0
# Longer than a read, which shows whether an append without a reply took effect.
RETRY_DELAY_S = 30.0
# A checkpoint is due after the retention divided by this.
RETENTION_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class Retention:
    """How long the log retains a record: by age and, if not 0, by count."""

    age_s: float
    records: int = 0


class CheckpointSchedule:
    """Decides when this follower appends a checkpoint of one stream.

    A checkpoint is due a quarter of the retention after the last one. The follower
    of rank 0 appends it at once, each further one `STAGGER_S` later. A checkpoint
    that is read meanwhile ends the wait, so that normally only one is appended.
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
            Rank among all followers.
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
        if self._last_try is not None and now < self._last_try + RETRY_DELAY_S:
            return False
        self._last_try = now
        return True

    def on_checkpoint_part(self, now):
        """Restart the wait, because another follower is appending a checkpoint."""
        if self._due_since is not None:
            self._due_since = now

    def _needs_checkpoint(self, copy, log_now):
        if copy.checkpoint_time_s is None:
            return False
        age_s = log_now - copy.checkpoint_time_s
        if age_s >= self._retention.age_s / RETENTION_DIVISOR:
            return True
        count = copy.next_offset - copy.checkpoint_offset
        limit = self._retention.records
        return 0 < limit <= count * RETENTION_DIVISOR
