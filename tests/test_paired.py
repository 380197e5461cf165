"""Paired comparison of benchmark runs, and reading of their reports."""

import json
import math

import pytest

from dandelionarch.measure.paired import RunResult, compare, format_table, pair_runs
from dandelionarch.platform.bench import main, read_reports


def run(load, seed, worth, violations=()):
    """Return a run in which all other values are fixed."""
    return RunResult(load, seed, worth, 0.9, 0.0, violations)


class TestPairs:
    """Only runs of the same load and seed are compared."""

    def test_unmatched_runs_are_left_out(self):
        """Guards against a difference that is due to different seeds."""
        before = [run("calm", 1, 0.5), run("calm", 2, 0.6)]
        after = [run("calm", 2, 0.7), run("crest", 1, 0.9)]
        (row, _) = compare(pair_runs(before, after))
        assert (row.pairs, row.load) == (1, "calm")
        assert row.difference == pytest.approx(0.1)
        assert math.isnan(row.error)

    def test_error_is_that_of_the_differences(self):
        """Guards against a consistent gain hidden by the spread between seeds."""
        before = [run("calm", n, 0.1 * n) for n in range(5)]
        after = [run("calm", n, 0.1 * n + 0.02) for n in range(5)]
        (row, total) = compare(pair_runs(before, after))
        assert row.difference == pytest.approx(0.02)
        assert row.error == pytest.approx(0.0, abs=1e-9)
        assert total.pairs == 5

    def test_violations_are_shown(self):
        """Guards against a table that shows a gain but not the violations behind it."""
        after = [run("calm", 1, 0.9, ("BUDGET",))]
        lines = list(format_table(compare(pair_runs([run("calm", 1, 0.5)], after))))
        assert all("BUDGET" in line for line in lines[2:])


class TestReports:
    """Reports are read in the format that the benchmark writes."""

    def test_table_of_two_directories(self, tmp_path, capsys):
        """Guards against comparing the wrong files."""
        for name, worth in (("before", 0.4), ("after", 0.5)):
            directory = tmp_path / name
            directory.mkdir()
            report = {"G": worth, "served": 0.8, "refused": 0.1, "breaks": {}}
            (directory / "trouble-1-7.json").write_text(json.dumps(report))
        (result,) = read_reports(tmp_path / "after")
        assert result == RunResult("trouble-1", 7, 0.5, 0.8, 0.1)
        assert main(["compare", str(tmp_path / "before"), str(tmp_path / "after")]) == 0
        assert "| trouble-1 | 1 | 0.400 to 0.500 | +0.100" in capsys.readouterr().out
