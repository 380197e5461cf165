"""The configuration stream as an operator reads and writes it."""

import asyncio
import contextlib
import time
import uuid
from dataclasses import dataclass
from enum import Enum

from dandelionarch.core.config import CONFIG_STREAM, ConfigFold, Verdict
from dandelionarch.core.parts import split
from dandelionarch.core.stream_copy import StreamCopy
from dandelionarch.daemon.logclient import LogClient
from dandelionarch.errors import (
    NoCheckpointError,
    OffsetTruncatedError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnreachableError,
)

READ_LIMIT = 200
READ_WAIT_MS = 1000
RETRY_S = 0.5


class Effect(Enum):
    """What is known of an append."""

    NONE = "none"
    UNKNOWN = "unknown"
    DECIDED = "decided"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a publication; `decision` is set if it is decided."""

    record_id: str
    effect: Effect
    decision: object = None


class ConfigLog:
    """Folds the configuration stream and publishes to it.

    Parameters
    ----------
    url : str
        URL of the log service.
    """

    def __init__(self, url):
        self._client = LogClient(url)
        self._copy = StreamCopy(ConfigFold())
        self.accepted = {}

    async def __aenter__(self):
        await self._client.start()
        return self

    async def __aexit__(self, *exc_info):
        await self._client.stop()

    @property
    def state(self):
        """Return the `ConfigState` after all entries read so far."""
        return self._copy.fold.state

    async def catch_up(self):
        """Read to the end of the stream and return the state.

        Raises
        ------
        PlatformUnavailableError
            If the log does not answer.
        NoCheckpointError
            If the log does not hold enough to know the state.
        """
        while await self._read(0):
            pass
        if self._copy.searching:
            raise NoCheckpointError(
                "the log starts after its first record and holds no checkpoint; "
                "a living daemon appends one within a quarter of the retention"
            )
        return self.state

    async def publish(self, pub, timeout_s):
        """Append a publication and wait for the verdict, at most `timeout_s` seconds.

        An append without a reply is repeated under the same id, which counts once.
        """
        record_id = uuid.uuid4().hex
        limit = time.monotonic() + timeout_s
        *first, last = split(record_id, pub.to_bytes())
        for entry in first:
            if await self._append(entry, limit) is not Effect.DECIDED:
                # Without its last part the publication can't take effect.
                return Outcome(record_id, Effect.NONE)
        effect = await self._append(last, limit, record_id)
        if effect is Effect.NONE:
            return Outcome(record_id, effect)
        return await self._verdict(record_id, limit)

    def winners(self, base_revision):
        """Return the accepted decisions after a revision, as far as known."""
        return [
            d
            for d in {**self.state.decisions, **self.accepted}.values()
            if d.verdict is Verdict.ACCEPTED and d.revision > base_revision
        ]

    async def _append(self, entry, limit, record_id=None):
        """Append until a reply comes or `record_id` shows in the log."""
        effect = Effect.NONE
        while True:
            left_s = limit - time.monotonic()
            try:
                async with asyncio.timeout(max(0.1, left_s)):
                    await self._client.append(CONFIG_STREAM, entry)
                return Effect.DECIDED
            except PlatformUnreachableError:
                pass
            except (PlatformUnavailableError, TimeoutError):
                effect = Effect.UNKNOWN
                with contextlib.suppress(PlatformError, TimeoutError):
                    async with asyncio.timeout(max(0.1, limit - time.monotonic())):
                        await self._read(0)
                if record_id in self.state.decisions:
                    return Effect.DECIDED
            if time.monotonic() + RETRY_S >= limit:
                return effect
            await asyncio.sleep(RETRY_S)

    async def _verdict(self, record_id, limit):
        while True:
            decision = self.state.decisions.get(record_id)
            if decision is not None:
                decision = self.accepted.get(record_id, decision)
                return Outcome(record_id, Effect.DECIDED, decision)
            left_s = limit - time.monotonic()
            if left_s <= 0:
                return Outcome(record_id, Effect.UNKNOWN)
            with contextlib.suppress(PlatformError, TimeoutError):
                async with asyncio.timeout(left_s):
                    if await self._read(min(READ_WAIT_MS, int(left_s * 1000))):
                        continue
            await asyncio.sleep(min(0.05, max(0.0, left_s)))

    async def _read(self, wait_ms):
        """Fold the next entries; return True if the stream may hold more."""
        copy = self._copy
        try:
            entries = await self._client.read(
                CONFIG_STREAM, copy.read_from, READ_LIMIT, wait_ms
            )
        except OffsetTruncatedError as exc:
            copy.on_truncated(exc.first_offset)
            return True
        for _, decision in copy.apply_entries(entries):
            if decision.verdict is Verdict.ACCEPTED:
                self.accepted[decision.record_id] = decision
        return bool(entries)
