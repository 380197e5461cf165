"""Publications in the log and the verdict that every reader reaches on them."""

import json
from dataclasses import dataclass, field
from enum import Enum

from dandelionarch.core.lists import Lists, parse_lists
from dandelionarch.core.streams import Fold
from dandelionarch.errors import ListError
from dandelionarch.ids import RecordId, Revision

CONFIG_STREAM = "config"


class Verdict(Enum):
    """What the log's order makes of a publication."""

    ACCEPTED = "accepted"
    LOST_RACE = "lost_race"
    REFUSED = "refused"
    REPEATED = "repeated"


@dataclass(frozen=True, slots=True)
class Publication:
    """A full version of both lists that amends `base_revision`."""

    record_id: RecordId
    base_revision: Revision
    author: str
    plans: str
    allowances: str

    def to_bytes(self):
        """Return the record's content."""
        body = {name: getattr(self, name) for name in self.__slots__}
        return json.dumps(body).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the publication in a record's content."""
        return cls(**json.loads(data))


@dataclass
class ConfigState:
    """The accepted configuration after a prefix of the log."""

    revision: Revision = Revision(0)
    lists: Lists = field(default_factory=Lists)
    verdicts: dict = field(default_factory=dict)

    def apply(self, pub):
        """Fold one publication; return its `Verdict`."""
        if pub.record_id in self.verdicts:
            return Verdict.REPEATED
        verdict = self._judge(pub)
        self.verdicts[pub.record_id] = verdict
        return verdict

    def _judge(self, pub):
        if pub.base_revision != self.revision:
            return Verdict.LOST_RACE
        try:
            self.lists = parse_lists(pub.plans, pub.allowances)
        except ListError:
            return Verdict.REFUSED
        self.revision = Revision(self.revision + 1)
        return Verdict.ACCEPTED


class ConfigFold(Fold):
    """The accepted configuration as a fold of the configuration stream."""

    stream = CONFIG_STREAM

    def __init__(self):
        self.state = ConfigState()
        self._last = None

    def apply(self, record):
        """Fold one publication and return its `Verdict`, or None if unreadable."""
        try:
            pub = Publication.from_bytes(record.data)
        except (ValueError, TypeError):
            return None
        verdict = self.state.apply(pub)
        if verdict is Verdict.ACCEPTED:
            self._last = pub
        return verdict

    def snapshot(self):
        """Return the last accepted publication and its revision."""
        last = self._last
        lists = [last.plans, last.allowances] if last else None
        return json.dumps([self.state.revision, lists]).encode()

    def restore(self, data):
        """Replace the state by a snapshot's."""
        revision, lists = json.loads(data)
        state = ConfigState(Revision(revision))
        if lists:
            state.lists = parse_lists(*lists)
            self._last = Publication(RecordId(""), Revision(0), "", *lists)
        self.state = state
