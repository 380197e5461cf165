"""Access to the configuration stream for the operators' commands."""

import asyncio
import contextlib
import time
import uuid
from dataclasses import dataclass
from enum import Enum

from dandelionarch.core.config import CONFIG_STREAM, ConfigFold, Verdict
from dandelionarch.core.entry_parts import split
from dandelionarch.core.stream_copy import StreamCopy
from dandelionarch.daemon.logclient import LogClient
from dandelionarch.errors import (
    NoCheckpointError,
    OffsetTruncatedError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnreachableError,
)

MAX_RECORDS_PER_READ = 200
READ_WAIT_MS = 1000
RETRY_DELAY_S = 0.5


class AppendStatus(Enum):
    """Whether a publication is in the log, as far as this command can tell."""

    NOT_APPENDED = "none"
    UNKNOWN = "unknown"
    APPENDED = "decided"


@dataclass(frozen=True, slots=True)
class PublishOutcome:
    """Result of publishing; `decision` is set if the status is APPENDED."""

    record_id: str
    status: AppendStatus
    decision: object = None


class ConfigLog:
    """Reads the configuration stream and publishes to it.

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
            If the retained part of the log is not enough to derive the state.
        """
        while await self._read_entries(0):
            pass
        if self._copy.is_searching:
            raise NoCheckpointError(
                "the log's first records are deleted and it holds no checkpoint; "
                "a running daemon appends one within a quarter of the retention"
            )
        return self.state

    async def publish(self, publication, timeout_s):
        """Append a publication and wait up to `timeout_s` seconds for the verdict.

        An append without a reply is retried with the same id, under which it is applied
        only once.
        """
        record_id = uuid.uuid4().hex
        deadline = time.monotonic() + timeout_s
        *initial_parts, last_part = split(record_id, publication.to_bytes())
        for entry in initial_parts:
            if await self._append(entry, deadline) is not AppendStatus.APPENDED:
                # The publication has no effect without its last part.
                return PublishOutcome(record_id, AppendStatus.NOT_APPENDED)
        status = await self._append(last_part, deadline, record_id)
        if status is AppendStatus.NOT_APPENDED:
            return PublishOutcome(record_id, status)
        return await self._wait_for_verdict(record_id, deadline)

    def accepted_since(self, base_revision):
        """Return the known accepted decisions after a revision."""
        return [
            d
            for d in {**self.state.decisions, **self.accepted}.values()
            if d.verdict is Verdict.ACCEPTED and d.revision > base_revision
        ]

    async def _append(self, entry, deadline, record_id=None):
        """Retry an append until it is confirmed or `record_id` is found in the log."""
        status = AppendStatus.NOT_APPENDED
        while True:
            remaining_s = deadline - time.monotonic()
            try:
                async with asyncio.timeout(max(0.1, remaining_s)):
                    await self._client.append(CONFIG_STREAM, entry)
                return AppendStatus.APPENDED
            except PlatformUnreachableError:
                pass
            except (PlatformUnavailableError, TimeoutError):
                status = AppendStatus.UNKNOWN
                with contextlib.suppress(PlatformError, TimeoutError):
                    async with asyncio.timeout(max(0.1, deadline - time.monotonic())):
                        await self._read_entries(0)
                if record_id in self.state.decisions:
                    return AppendStatus.APPENDED
            if time.monotonic() + RETRY_DELAY_S >= deadline:
                return status
            await asyncio.sleep(RETRY_DELAY_S)

    async def _wait_for_verdict(self, record_id, deadline):
        while True:
            decision = self.state.decisions.get(record_id)
            if decision is not None:
                decision = self.accepted.get(record_id, decision)
                return PublishOutcome(record_id, AppendStatus.APPENDED, decision)
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return PublishOutcome(record_id, AppendStatus.UNKNOWN)
            with contextlib.suppress(PlatformError, TimeoutError):
                async with asyncio.timeout(remaining_s):
                    if await self._read_entries(
                        min(READ_WAIT_MS, int(remaining_s * 1000))
                    ):
                        continue
            await asyncio.sleep(min(0.05, max(0.0, remaining_s)))

    async def _read_entries(self, wait_ms):
        """Apply the next entries; return True if the stream may hold more."""
        copy = self._copy
        try:
            entries = await self._client.read(
                CONFIG_STREAM, copy.read_from, MAX_RECORDS_PER_READ, wait_ms
            )
        except OffsetTruncatedError as exc:
            copy.on_truncated(exc.first_offset)
            return True
        for _, decision in copy.apply_entries(entries):
            if decision.verdict is Verdict.ACCEPTED:
                self.accepted[decision.record_id] = decision
        return bool(entries)
