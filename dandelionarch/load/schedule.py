"""When each request of a load is due."""

import datetime
import heapq
import itertools
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """A rate in requests/s that is kept for some seconds."""

    rate: float
    lasts_s: float

    @classmethod
    def parse(cls, text):
        """Return the step of `RATE:SECONDS`."""
        rate, lasts_s = (float(part) for part in text.split(":"))
        if not (0 <= rate <= 1e6 and 0 < lasts_s <= 1e6):
            raise ValueError(text)
        return cls(rate, lasts_s)


@dataclass(frozen=True, slots=True)
class Crest:
    """Requests that start together, or evenly over some seconds, at a fixed time."""

    start_s: float
    count: int
    lasts_s: float

    @classmethod
    def parse(cls, text, now=None):
        """Return the crest of `START,COUNT,SECONDS`.

        START is a number of seconds from the start of the load, or a time of day
        in UTC as HH:MM:SS, counted from `now`.
        """
        start, count, lasts_s = text.split(",")
        start_s = _until(start, now) if ":" in start else float(start)
        crest = cls(start_s, int(count), float(lasts_s))
        if crest.start_s < 0 or crest.count < 1 or crest.lasts_s < 0:
            raise ValueError(text)
        return crest

    def times(self):
        """Yield the start of each request in seconds from the start of the load."""
        for i in range(self.count):
            yield self.start_s + self.lasts_s * i / self.count


def steady(steps, rng=None):
    """Yield start times of consecutive steps, even or, with `rng`, random ones."""
    begin = 0.0
    for step in steps:
        if rng is None:
            for i in range(round(step.rate * step.lasts_s)):
                yield begin + i / step.rate
        elif step.rate:
            at = begin + rng.expovariate(step.rate)
            while at < begin + step.lasts_s:
                yield at
                at += rng.expovariate(step.rate)
        begin += step.lasts_s


def schedule(steps, crests, limit, rng=None):
    """Yield at most `limit` start times in order."""
    streams = [steady(steps, rng), *(crest.times() for crest in crests)]
    return itertools.islice(heapq.merge(*streams), limit)


def _until(time_of_day, now):
    now = now or datetime.datetime.now(datetime.UTC)
    at = datetime.time.fromisoformat(time_of_day)
    start = datetime.datetime.combine(now.date(), at, tzinfo=datetime.UTC)
    if start < now:
        start += datetime.timedelta(days=1)
    return (start - now).total_seconds()
