"""Comparison of two versions by pairs of runs with the same load and seed.

A difference within the spread of the pairs is not significant.
"""

import itertools
import math
import statistics
from dataclasses import dataclass

ALL_LOADS = "all"


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run of a load; shares are from 0 to 1.

    `worth` is the users' overall measure of a run, `violations` has the names of the
    violated guarantees.
    """

    load: str
    seed: int
    worth: float
    served: float
    refused: float
    violations: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Comparison:
    """Means over the pairs of a load; `error` is that of the mean difference."""

    load: str
    pairs: int
    before: float
    after: float
    error: float
    served_before: float
    served_after: float
    violations: tuple[str, ...]

    @property
    def difference(self):
        """Return the change of the mean worth."""
        return self.after - self.before


def pair_runs(before, after):
    """Yield (before, after) for each load and seed in both."""
    after_by_run = {(run.load, run.seed): run for run in after}
    for run in sorted(before, key=lambda r: (r.load, r.seed)):
        other = after_by_run.get((run.load, run.seed))
        if other is not None:
            yield run, other


def compare(pairs):
    """Yield a `Comparison` per load and one of all loads."""
    pairs = list(pairs)
    for load, group in itertools.groupby(pairs, key=lambda p: p[0].load):
        yield _comparison(load, list(group))
    if pairs:
        yield _comparison(ALL_LOADS, pairs)


def _comparison(load, pairs):
    differences = [after.worth - before.worth for before, after in pairs]
    error = math.nan
    if len(pairs) > 1:
        error = statistics.stdev(differences) / math.sqrt(len(pairs))
    return Comparison(
        load,
        len(pairs),
        statistics.mean(before.worth for before, _ in pairs),
        statistics.mean(after.worth for _, after in pairs),
        error,
        statistics.mean(before.served for before, _ in pairs),
        statistics.mean(after.served for _, after in pairs),
        tuple(sorted({name for _, after in pairs for name in after.violations})),
    )


def format_table(comparisons):
    """Yield the lines of a Markdown table."""
    yield "| load | pairs | worth | difference | served | violated |"
    yield "|---|---|---|---|---|---|"
    for row in comparisons:
        yield (
            f"| {row.load} | {row.pairs} | {row.before:.3f} to {row.after:.3f} "
            f"| {row.difference:+.3f} ± {row.error:.3f} "
            f"| {row.served_before:.3f} to {row.served_after:.3f} "
            f"| {', '.join(row.violations) or 'none'} |"
        )
