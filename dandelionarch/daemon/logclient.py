"""Client of the platform's log service."""

import base64
import logging
import time
from email.utils import parsedate_to_datetime

import aiohttp

from dandelionarch.core.messages.streams import LogEntry
from dandelionarch.core.orders import FIRST_ERA
from dandelionarch.errors import (
    OffsetTruncatedError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnreachableError,
    RecordTooLargeError,
)
from dandelionarch.ids import Offset, StoreEra
from dandelionarch.logs import event

log = logging.getLogger(__name__)

MAX_RECORD_BYTES = 256 << 10
APPEND_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 5.0
# Header field with the number of the log's history. It rises each time the log comes
# back from an older copy of its records; a log that never does need not send it.
LOG_ERA = "Log-Era"


class LogClient:
    """Appends to and reads from the streams of one log service.

    Parameters
    ----------
    url : str

    Attributes
    ----------
    log_time_s : float
        Unix time of the log service at its last reply, from the HTTP Date header.
    era : StoreEra
        Highest era of the log service's replies.
    """

    def __init__(self, url):
        self._url = url.rstrip("/")
        self._session = None
        self.log_time_s = 0.0
        self.era = StoreEra(FIRST_ERA)

    async def start(self):
        """Open the connection pool."""
        self._session = aiohttp.ClientSession()

    async def stop(self):
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def append(self, stream, data):
        """Append a record and return its offset.

        Raises
        ------
        RecordTooLargeError
            If the record is larger than `MAX_RECORD_BYTES`; nothing was appended.
        PlatformUnreachableError
            If no connection could be made; nothing was appended.
        PlatformUnavailableError
            If no reply came; the append may or may not have taken effect.
        """
        if len(data) > MAX_RECORD_BYTES:
            raise RecordTooLargeError(f"record of {len(data)} bytes is too large")
        body = await self._call(
            "POST", stream, APPEND_TIMEOUT_S, data=data, params=None
        )
        return Offset(body["offset"])

    async def read(self, stream, start, limit=1000, wait_ms=0):
        """Return up to `limit` records from offset `start` on.

        If there are none yet, the log service waits up to `wait_ms` for the first.

        Raises
        ------
        OffsetTruncatedError
            If the log no longer retains the record at `start`.
        PlatformUnavailableError
            If no reply came.
        """
        params = {"from": start, "limit": limit, "wait_ms": wait_ms}
        timeout_s = READ_TIMEOUT_S + wait_ms / 1000
        body = await self._call("GET", stream, timeout_s, params=params, data=None)
        try:
            return [
                LogEntry(Offset(r["offset"]), r["time"], base64.b64decode(r["data"]))
                for r in body["records"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            raise PlatformUnavailableError(f"log service: bad reply: {exc}") from exc

    async def _call(self, method, stream, timeout_s, **kwargs):
        url = f"{self._url}/streams/{stream}/records"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, timeout=timeout, **kwargs
            ) as resp:
                self.log_time_s = _reply_time_s(resp)
                self._on_era(StoreEra(int(resp.headers.get(LOG_ERA, FIRST_ERA))))
                if resp.status == 410:
                    body = await resp.json()
                    raise OffsetTruncatedError(body["first_offset"])
                if resp.status >= 500:
                    raise PlatformUnavailableError(f"log service: {resp.status}")
                if resp.status != 200:
                    raise PlatformError(f"log service: {resp.status}")
                return await resp.json()
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnreachableError(f"log service: {exc}") from exc
        except ValueError as exc:
            raise PlatformUnavailableError(f"log service: bad reply: {exc}") from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            detail = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(f"log service: {detail}") from exc

    def _on_era(self, era):
        if era > self.era:
            event(log, "log_restored", logging.ERROR, era=era, previous=self.era)
            self.era = era


def _reply_time_s(resp):
    try:
        return parsedate_to_datetime(resp.headers["Date"]).timestamp()
    except (KeyError, ValueError):
        return time.time()
