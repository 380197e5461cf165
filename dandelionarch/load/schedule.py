"""Start times of the requests of a load."""

import datetime
import heapq
import itertools
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """A constant rate in requests/s for some seconds."""

    rate: float
    duration_s: float

    @classmethod
    def parse(cls, text):
        """Parse `RATE:SECONDS`."""
        rate, duration_s = (float(part) for part in text.split(":"))
        if not (0 <= rate <= 1e6 and 0 < duration_s <= 1e6):
            raise ValueError(text)
        return cls(rate, duration_s)


@dataclass(frozen=True, slots=True)
class Crest:
    """Peak of requests at a fixed time, sent at once or evenly over some seconds."""

    start_s: float
    count: int
    duration_s: float

    @classmethod
    def parse(cls, text, now=None):
        """Parse `START,COUNT,SECONDS`.

        START is a number of seconds from the start of the load, or a time of day in UTC
        as HH:MM:SS, of which the next occurrence after `now` is taken.
        """
        start, count, duration_s = text.split(",")
        start_s = _seconds_until(start, now) if ":" in start else float(start)
        crest = cls(start_s, int(count), float(duration_s))
        if crest.start_s < 0 or crest.count < 1 or crest.duration_s < 0:
            raise ValueError(text)
        return crest

    def start_times(self):
        """Yield the start time of each request in seconds after the load's start."""
        for i in range(self.count):
            yield self.start_s + self.duration_s * i / self.count


def step_start_times(steps, rng=None):
    """Yield the start times of consecutive steps; with `rng`, intervals are random."""
    start_s = 0.0
    for step in steps:
        if rng is None:
            for i in range(round(step.rate * step.duration_s)):
                yield start_s + i / step.rate
        elif step.rate:
            time_s = start_s + rng.expovariate(step.rate)
            while time_s < start_s + step.duration_s:
                yield time_s
                time_s += rng.expovariate(step.rate)
        start_s += step.duration_s


def start_times(steps, crests, max_count, rng=None):
    """Yield the first `max_count` start times of all steps and crests in order."""
    streams = [step_start_times(steps, rng), *(crest.start_times() for crest in crests)]
    return itertools.islice(heapq.merge(*streams), max_count)


def _seconds_until(time_of_day, now):
    now = now or datetime.datetime.now(datetime.UTC)
    at = datetime.time.fromisoformat(time_of_day)
    start = datetime.datetime.combine(now.date(), at, tzinfo=datetime.UTC)
    if start < now:
        start += datetime.timedelta(days=1)
    return (start - now).total_seconds()
