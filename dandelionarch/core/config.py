"""Configuration publications in the log and the decisions on them."""

import json
import zlib
from dataclasses import dataclass, field, replace
from enum import Enum

from dandelionarch.core.amend import Difference, amend, difference, sections_of
from dandelionarch.core.lists import Lists, parse_lists
from dandelionarch.core.streams import Fold
from dandelionarch.errors import ListError, PublicationError
from dandelionarch.ids import Offset, RecordId, Revision

CONFIG_STREAM = "config"
MAX_DECISIONS = 1000
# Of larger differences, the history keeps only the number of sections.
MAX_DIFFERENCE_SECTIONS = 50
MAX_PUBLICATION_BYTES = 64 << 20


class Verdict(Enum):
    """Result of applying a publication in log order."""

    ACCEPTED = "accepted"
    LOST_RACE = "lost_race"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Publication:
    """A new version of the lists that amends `base_revision`.

    Attributes
    ----------
    lists : tuple of str or None
        Full texts of plans and allowances.
    difference : Difference or None
        Sections and options to change, if the lists are not given in full.
    """

    base_revision: Revision
    author: str
    lists: tuple | None = None
    difference: Difference | None = None

    def to_bytes(self):
        """Return the record's content."""
        body = {"base_revision": self.base_revision, "author": self.author}
        if self.lists is not None:
            body["lists"] = list(self.lists)
        else:
            body["difference"] = self.difference.to_json()
        return zlib.compress(json.dumps(body).encode())

    @classmethod
    def from_bytes(cls, data):
        """Return the publication in a record's content.

        Raises
        ------
        PublicationError
            If the content is not a publication.
        """
        try:
            inflater = zlib.decompressobj()
            body = json.loads(inflater.decompress(data, MAX_PUBLICATION_BYTES))
            base, author = int(body["base_revision"]), str(body["author"])
            if "lists" in body:
                plans, allowances = body["lists"]
                return cls(Revision(base), author, (str(plans), str(allowances)))
            diff = Difference.from_json(body["difference"])
        except (zlib.error, ValueError, KeyError, TypeError, AttributeError) as exc:
            raise PublicationError(f"not a publication: {exc}") from exc
        return cls(Revision(base), author, None, diff)

    def apply_to(self, lists):
        """Return the lists after this publication, or raise `ListError`."""
        if self.lists is not None:
            return parse_lists(*self.lists)
        return amend(lists, self.difference)


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on one publication, the same for every reader.

    `revision` is the revision in force after it. `changes` counts the sections that
    differ, even if `difference` is no longer kept.
    """

    record_id: RecordId
    offset: Offset
    time_s: float
    verdict: Verdict
    revision: Revision
    base_revision: Revision
    author: str
    reason: str = ""
    changes: int = 0
    difference: Difference | None = None

    def to_json(self):
        """Return the decision as JSON values."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["verdict"] = self.verdict.value
        body["difference"] = self.difference and self.difference.to_json()
        return body

    @classmethod
    def from_json(cls, body):
        """Return the decision in JSON values."""
        diff = body["difference"] and Difference.from_json(body["difference"])
        return cls(**{**body, "verdict": Verdict(body["verdict"]), "difference": diff})


@dataclass
class ConfigState:
    """The accepted configuration and the latest decisions by record id."""

    revision: Revision = Revision(0)
    lists: Lists = field(default_factory=Lists)
    decisions: dict = field(default_factory=dict)


class ConfigFold(Fold):
    """The accepted configuration as a fold of the configuration stream."""

    stream = CONFIG_STREAM

    def __init__(self):
        self.state = ConfigState()

    def apply(self, record):
        """Fold one publication and return its `Decision`."""
        try:
            pub = Publication.from_bytes(record.data)
        except PublicationError as exc:
            pub = Publication(Revision(-1), "?")
            decision = self._decision(record, pub, Verdict.REFUSED, str(exc))
        else:
            decision = self._decide(record, pub)
        self._store_decision(decision)
        return decision

    def snapshot(self):
        """Return the accepted lists and the decisions."""
        state = self.state
        body = {
            "revision": state.revision,
            "sections": sections_of(state.lists),
            "decisions": [d.to_json() for d in state.decisions.values()],
        }
        return json.dumps(body).encode()

    def restore(self, data):
        """Replace the state by a snapshot's."""
        body = json.loads(data)
        try:
            lists = amend(Lists(), Difference(set=body["sections"]))
        except ListError as exc:
            raise ValueError(str(exc)) from exc
        decisions = [Decision.from_json(d) for d in body["decisions"]]
        self.state = ConfigState(
            Revision(body["revision"]), lists, {d.record_id: d for d in decisions}
        )

    def _decide(self, record, pub):
        state = self.state
        if pub.base_revision != state.revision:
            reason = f"based on revision {pub.base_revision}, not on {state.revision}"
            return self._decision(record, pub, Verdict.LOST_RACE, reason)
        try:
            lists = pub.apply_to(state.lists)
        except ListError as exc:
            return self._decision(record, pub, Verdict.REFUSED, str(exc))
        diff = pub.difference or difference(state.lists, lists)
        state.lists = lists
        state.revision = Revision(state.revision + 1)
        return self._decision(record, pub, Verdict.ACCEPTED, "", diff)

    def _decision(self, record, pub, verdict, reason, diff=None):
        return Decision(
            record.record_id,
            record.offset,
            record.time_s,
            verdict,
            self.state.revision,
            pub.base_revision,
            pub.author,
            reason,
            len(diff.titles) if diff else 0,
            diff,
        )

    def _store_decision(self, decision):
        if decision.changes > MAX_DIFFERENCE_SECTIONS:
            decision = replace(decision, difference=None)
        decisions = self.state.decisions
        decisions[decision.record_id] = decision
        if len(decisions) > MAX_DECISIONS:
            del decisions[next(iter(decisions))]
