"""Transfer of a stream's state between daemons, in parts."""

from dandelionarch.core.messages.streams import StreamPull, StreamState

STATE_PART_BYTES = 256 << 10
SNAPSHOT_RETENTION_S = 30.0
MAX_STATE_PARTS = 4096


class OutgoingState:
    """A snapshot that a daemon sends to peers in parts.

    It is kept while peers request parts of it, and for `SNAPSHOT_RETENTION_S` longer.
    """

    def __init__(self, copy):
        self._copy = copy
        self._as_of = 0
        self._data = b""
        self._last_used = 0.0

    def answer(self, pull, now):
        """Return the `StreamState` that a pull requests.

        A pull for an older state gets the first part of the kept snapshot, so the
        peer starts again.
        """
        if not self._as_of or (
            not pull.as_of and self._as_of != self._copy.next_offset
        ):
            self._data = self._copy.snapshot()
            self._as_of = self._copy.next_offset
        self._last_used = now
        parts = max(1, -(-len(self._data) // STATE_PART_BYTES))
        part = pull.part if pull.as_of == self._as_of and pull.part < parts else 0
        start = part * STATE_PART_BYTES
        return StreamState(
            pull.stream,
            self._as_of,
            part,
            parts,
            self._data[start : start + STATE_PART_BYTES],
        )

    def expire(self, now):
        """Drop the snapshot if no peer has requested it recently."""
        if self._as_of and now - self._last_used > SNAPSHOT_RETENTION_S:
            self._as_of, self._data = 0, b""


class IncomingState:
    """Parts of one state from one peer, in order."""

    def __init__(self):
        self._key = None
        self._parts = []

    def add(self, sender, state):
        """Add a part; return (complete data or None, next pull or None)."""
        key = (sender, state.as_of, state.parts)
        if state.parts > MAX_STATE_PARTS or state.part >= state.parts:
            return None, None
        if state.part == 0:
            self._key, self._parts = key, []
        if key != self._key or state.part != len(self._parts):
            return None, None
        self._parts.append(state.data)
        if len(self._parts) < state.parts:
            return None, StreamPull(state.stream, 0, state.as_of, len(self._parts))
        data = b"".join(self._parts)
        self._key, self._parts = None, []
        return data, None
