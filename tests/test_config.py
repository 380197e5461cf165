"""Tests of publications, differences and verdicts."""

import pytest

from dandelionarch.core.amend import (
    Difference,
    amend,
    difference,
    sections_of,
    to_text,
)
from dandelionarch.core.config import ConfigFold, Publication, Verdict
from dandelionarch.core.lists import ALLOWANCE_SECTIONS, parse_lists
from dandelionarch.core.streams import Record
from dandelionarch.errors import ListError
from tests.support.fleet import ALLOWANCES, PLANS

LISTS = (PLANS, ALLOWANCES)


def apply(fold, *pubs):
    """Fold publications and return their decisions."""
    start = len(fold.state.decisions)
    return [
        fold.apply(Record(start + n, 0.0, f"r{start + n}", pub.to_bytes()))
        for n, pub in enumerate(pubs)
    ]


def amendment(base, **parts):
    return Publication(base, "ann", None, Difference(**parts))


class TestDifference:
    """Lists are amended section by section, without parsing the others again."""

    def test_amend_applies_a_difference(self):
        """Guards against a difference that does not result in its target lists."""
        old = parse_lists(*LISTS)
        new_text = ALLOWANCES.replace("rate = 1000", "rate = 7").replace(
            "[route read]", "[crest eve]\nservice=orders\nstarts=18:00\nlasts_s=60\n"
        )
        new_text = (
            new_text[: new_text.index("service = orders\npath = /orders\n")]
            + (new_text[new_text.index("[route create]") :])
        )
        new = parse_lists(PLANS, new_text)
        diff = difference(old, new)
        assert diff.removed == ("route read",)
        assert amend(old, diff) == new
        assert amend(old, diff).customers is old.customers

    def test_text_round_trip(self):
        """Guards against `show` output that publishes other lists."""
        lists = parse_lists(*LISTS)
        shown = to_text(lists, ["customer"]), to_text(lists, ALLOWANCE_SECTIONS)
        assert sections_of(parse_lists(*shown)) == sections_of(lists)

    @pytest.mark.parametrize(
        ("parts", "words"),
        [
            ({"removed": ("plan gold",)}, ["allow gold orders", "plan"]),
            ({"removed": ("plan tin",)}, ["allowances", "[plan tin]", "not exist"]),
            ({"changed": {"plan gold": {"priority": "12"}}}, ["priority", "9"]),
            ({"changed": {"plan tin": {"priority": "1"}}}, ["[plan tin]"]),
            ({"changed": {"customer shop": {"plan": "tin"}}}, ["[plan]", "tin"]),
            ({"changed": {"customer shop": {"plan": None}}}, ["plans", "plan"]),
            ({"set": {"planet x": {}}}, ["unknown section", "customer"]),
            ({"set": {"allow gold": {"rate": "1"}}}, ["expected 2 name(s)"]),
        ],
    )
    def test_error_names_the_bad_entry(self, parts, words):
        """Guards against partly applied amendments and unclear error messages."""
        lists = parse_lists(*LISTS)
        with pytest.raises(ListError) as caught:
            amend(lists, Difference(**parts))
        assert all(word in str(caught.value) for word in words), caught.value
        assert lists == parse_lists(*LISTS)


class TestVerdicts:
    """A publication is accepted iff its base revision is current at its offset."""

    def test_first_of_two_racing_publications_wins(self):
        """Guards against two operators overwriting each other's change."""
        fold = ConfigFold()
        published, winner, loser = apply(
            fold,
            Publication(0, "ann", LISTS),
            amendment(1, changed={"plan gold": {"priority": "1"}}),
            amendment(1, changed={"plan gold": {"priority": "2"}}),
        )
        assert [d.verdict for d in (published, winner)] == [Verdict.ACCEPTED] * 2
        assert loser.verdict is Verdict.LOST_RACE
        assert (fold.state.revision, fold.state.lists.plans["gold"].priority) == (2, 1)
        assert list(winner.difference.lines()) == ["change [plan gold] priority=1"]

    def test_bad_publication_changes_nothing(self):
        """Guards against a bad file or record that takes effect in part."""
        fold = ConfigFold()
        bad = ALLOWANCES.replace("priority = 0", "priority = 12")
        decisions = apply(
            fold,
            Publication(0, "ann", LISTS),
            Publication(1, "bob", (PLANS, bad)),
            amendment(1, set={"plan tin": {"priority": "3"}}, removed=("plan gold",)),
        )
        assert [d.verdict.value for d in decisions] == ["accepted", *["refused"] * 2]
        assert "[plan gold] priority" in decisions[1].reason
        junk = fold.apply(Record(9, 0.0, "junk", b"\x00junk"))
        assert (junk.verdict, fold.state.revision) == (Verdict.REFUSED, 1)
        assert fold.state.lists == parse_lists(*LISTS)

    def test_snapshot_keeps_lists_revision_and_history(self):
        """Guards against other verdicts at readers that start from a checkpoint."""
        fold, other = ConfigFold(), ConfigFold()
        apply(fold, Publication(0, "ann", LISTS), amendment(0, removed=("plan x",)))
        other.restore(fold.snapshot())
        assert other.state == fold.state
        change = amendment(1, changed={"route create": {"idempotent": "true"}})
        assert apply(other, change) == apply(fold, change)
        assert other.state.lists.routes["create"].idempotent


class TestCustomerKeys:
    """A key belongs to one customer."""

    def test_two_customers_with_one_key_are_refused(self):
        """Guards against requests that are counted for another customer."""
        twin = PLANS + PLANS.replace("customer shop", "customer club")
        with pytest.raises(ListError) as caught:
            parse_lists(twin, ALLOWANCES)
        assert caught.value.option == "key_digest"
        section = parse_lists(PLANS, ALLOWANCES).customers["shop"]
        digest = {"key_digest": section.key_digest, "plan": section.plan}
        with pytest.raises(ListError):
            amend(parse_lists(*LISTS), Difference({"customer club": digest}, (), {}))
