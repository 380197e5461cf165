"""Differences between the revisions of a record."""

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core import record_delta
from dandelionarch.core.messages.registry import RecordDelta
from dandelionarch.core.record_delta import MAX_RECORDS, RecordHistory
from dandelionarch.errors import DeltaError

# A change of one route among many, with the frame of the compression around it.
MAX_SMALL_DELTA_BYTES = 1000


def history_of(*values):
    """Return a `RecordHistory` of records with the revisions 1, 2, ..."""
    history = RecordHistory()
    for revision, value in enumerate(values, 1):
        history.add(revision, value)
    return history


class TestRestore:
    """A difference leads to the same bytes as the whole record."""

    @given(st.lists(st.binary(max_size=200), min_size=2, max_size=6))
    def test_every_kept_revision_leads_to_the_newest(self, values):
        """Guards against a daemon that activates another record than the operator's."""
        sender = history_of(*values)
        for revision in range(len(values)):
            delta = sender.delta_since(revision)
            receiver = history_of(*values[:revision])
            assert receiver.restore(delta) == values[-1]

    def test_small_change_of_a_large_record_is_small(self):
        """Guards against copies of the whole configuration at each change."""
        old = random.Random(1).randbytes(250_000)
        new = old[:100_000] + b"one more route" + old[100_000:]
        delta = history_of(old, new).delta_since(1)
        assert len(delta.data) < MAX_SMALL_DELTA_BYTES
        assert history_of(old).restore(delta) == new

    def test_revision_that_is_not_kept_any_more(self):
        """Guards against memory that grows with each change, and against no answer."""
        values = [b"%d" % n for n in range(MAX_RECORDS + 2)]
        sender = history_of(*values)
        delta = sender.delta_since(1)
        assert delta.base == 0
        assert history_of(values[0]).restore(delta) == values[-1]


class TestDamage:
    """A difference that can't be applied raises an error."""

    def test_unknown_base(self):
        """Guards against a difference that is applied to another revision."""
        delta = history_of(b"one", b"two").delta_since(1)
        with pytest.raises(DeltaError, match="revision 1 is not known"):
            RecordHistory().restore(delta)

    def test_other_base_of_the_same_revision(self):
        """Guards against a record that is restored from different bytes."""
        old, new = b"abcdefgh" * 100, b"abcdefgh" * 100 + b"!"
        delta = history_of(old, new).delta_since(1)
        with pytest.raises(DeltaError):
            history_of(b"hgfedcba" * 100).restore(delta)

    @given(st.binary(max_size=100))
    def test_any_bytes(self, data):
        """Guards against another error than the one that callers handle."""
        with pytest.raises(DeltaError):
            RecordHistory().restore(RecordDelta(0, data, b"12345678"))

    def test_too_large(self, monkeypatch):
        """Guards against a small message that takes much memory."""
        delta = history_of(bytes(10_000)).delta_since(0)
        monkeypatch.setattr(record_delta, "MAX_RECORD_BYTES", 9_999)
        with pytest.raises(DeltaError, match="exceeds"):
            RecordHistory().restore(delta)

    def test_digest(self):
        """Guards against a record that was altered on the way."""
        delta = dataclasses.replace(history_of(b"one").delta_since(0), digest=b"")
        with pytest.raises(DeltaError, match="digest"):
            RecordHistory().restore(delta)
