"""Crests: scheduled demand peaks, which start at fixed UTC instants."""

import re
from dataclasses import dataclass
from datetime import UTC, datetime

from dandelionarch.errors import ListError

DAY_S = 86_400
CREST_LEAD_S = 30.0

_TIME_OF_DAY = re.compile(r"^([01][0-9]|2[0-3]):([0-5][0-9])(?::([0-5][0-9]))?$")


def parse_start(text):
    """Return (True, second of the day) or (False, epoch second) of one start.

    Raises
    ------
    ValueError
        If the text is neither a time of day nor an ISO instant.
    """
    match = _TIME_OF_DAY.match(text)
    if match:
        hours, minutes, seconds = (int(part or 0) for part in match.groups())
        return True, hours * 3600 + minutes * 60 + seconds
    instant = datetime.fromisoformat(text)
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=UTC)
    return False, int(instant.timestamp())


@dataclass(frozen=True, slots=True)
class CrestWindow:
    """One start of a crest, daily or once, and its duration.

    `start` is a second of the day if `daily`, else an epoch second.
    """

    daily: bool
    start: int
    lasts_s: int

    def start_at(self, utc_s, lead_s=0.0):
        """Return the start (epoch s) of the crest at this instant, or None.

        The crest counts from `lead_s` seconds before its start.
        """
        start = self.start
        if self.daily:
            start += (utc_s + lead_s - start) // DAY_S * DAY_S
        if start - lead_s <= utc_s < start + self.lasts_s:
            return int(start)
        return None


class CrestCalendar:
    """Crests of all services by time.

    Parameters
    ----------
    lists : Lists
        The accepted lists.

    Raises
    ------
    ListError
        If a start can't be read.
    """

    def __init__(self, lists):
        self._windows = {}
        for name, section in lists.crests.items():
            windows = self._windows.setdefault(section.service, [])
            for text in section.starts.split(","):
                windows.append(self._window(name, section, text.strip()))

    @staticmethod
    def _window(name, section, text):
        try:
            daily, start = parse_start(text)
        except ValueError as exc:
            problem = f"{text!r} is neither HH:MM[:SS] nor an ISO instant (UTC)"
            raise ListError("allowances", f"crest {name}", "starts", problem) from exc
        return CrestWindow(daily, start, section.lasts_s)

    def current(self, service, utc_s):
        """Return the start (epoch s) of the service's crest now; 0 if there is none."""
        return self._find(service, utc_s, 0.0)

    def upcoming(self, service, utc_s):
        """Return the start of the crest that begins within 30 s; 0 if none does."""
        if self.current(service, utc_s):
            return 0
        return self._find(service, utc_s, CREST_LEAD_S)

    def services(self):
        """Return the services that have crests."""
        return self._windows.keys()

    def _find(self, service, utc_s, lead_s):
        starts = (
            window.start_at(utc_s, lead_s) for window in self._windows.get(service, ())
        )
        return max((start for start in starts if start is not None), default=0)
