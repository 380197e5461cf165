"""Differences between versions of the two lists, section by section."""

import io
from dataclasses import dataclass, field, replace

from dandelionarch.core.lists import (
    ALLOWANCE_SECTIONS,
    ALLOWANCES_FILE,
    PLAN_SECTIONS,
    PLANS_FILE,
    Lists,
    check_references,
    check_unique_keys,
    parse_section,
)
from dandelionarch.errors import ListError

# Attribute of `Lists` that holds the sections of a kind.
KIND_ATTRIBUTES = {
    "customer": "customers",
    "service": "services",
    "route": "routes",
    "crest": "crests",
    "plan": "plans",
    "allow": "allow",
}


@dataclass(frozen=True, slots=True)
class Difference:
    """Changes to a version of the lists.

    Attributes
    ----------
    set : dict
        Whole sections by title, each a dict of option to text.
    removed : tuple of str
        Titles of sections to remove.
    changed : dict
        By title, options to set, or to remove where the value is None.
    """

    set: dict = field(default_factory=dict)
    removed: tuple = ()
    changed: dict = field(default_factory=dict)

    @property
    def titles(self):
        """Return the titles of all sections that differ."""
        return [*self.set, *self.changed, *self.removed]

    def to_json(self):
        """Return the difference as JSON values."""
        return {
            "set": self.set,
            "removed": list(self.removed),
            "changed": self.changed,
        }

    @classmethod
    def from_json(cls, body):
        """Return the difference in JSON values.

        Raises
        ------
        ValueError
            If the values have another form.
        """
        diff = cls(body["set"], tuple(body["removed"]), body["changed"])
        sections = [*diff.set.values(), *diff.changed.values()]
        if not all(isinstance(title, str) for title in diff.removed):
            raise ValueError("removed titles must be text")
        for options in sections:
            for value in options.values():
                if value is not None and not isinstance(value, str):
                    raise ValueError("options must be text")
        return diff

    def lines(self):
        """Yield the difference as text, one line per change."""
        for title, options in self.set.items():
            yield f"set [{title}] " + " ".join(f"{k}={v}" for k, v in options.items())
        for title, options in self.changed.items():
            for name, value in options.items():
                change = f"{name}={value}" if value is not None else f"without {name}"
                yield f"change [{title}] {change}"
        for title in self.removed:
            yield f"remove [{title}]"


def parse_title(title):
    """Return (file, kind, key, model) of a section's title.

    Raises
    ------
    ListError
        If the kind is unknown or has another number of names.
    """
    kind, *names = title.split() or [""]
    for file, kinds in ((PLANS_FILE, PLAN_SECTIONS), (ALLOWANCES_FILE, None)):
        spec = (kinds or ALLOWANCE_SECTIONS).get(kind)
        if spec is not None:
            model, arity = spec
            if len(names) != arity:
                problem = f"expected {arity} name(s) after {kind}"
                raise ListError(file, title, "-", problem)
            return file, kind, names[0] if arity == 1 else tuple(names), model
    known = ", ".join(sorted([*PLAN_SECTIONS, *ALLOWANCE_SECTIONS]))
    raise ListError("difference", title, "-", f"unknown section; known: {known}")


def title_of(kind, key):
    """Return the title of a section."""
    return " ".join([kind, key] if isinstance(key, str) else [kind, *key])


def options_of(section):
    """Return the options that are set in a section, as text."""
    options = {}
    for name in section.model_fields_set:
        value = getattr(section, name)
        if value is not None:
            text = str(value).lower() if isinstance(value, bool) else str(value)
            options[name] = text
    return dict(sorted(options.items()))


class _Draft:
    """A version of the lists that is being edited; copies only the changed kinds."""

    def __init__(self, lists):
        self._lists = lists
        self._kinds = {}
        self.changed_sections = {}

    def section(self, kind, key):
        """Return the current section, or None."""
        sections = self._kinds.get(kind)
        if sections is None:
            sections = getattr(self._lists, KIND_ATTRIBUTES[kind])
        return sections.get(key)

    def put(self, kind, key, section):
        """Set a section, or remove it if None."""
        if kind not in self._kinds:
            self._kinds[kind] = dict(getattr(self._lists, KIND_ATTRIBUTES[kind]))
        if section is None:
            del self._kinds[kind][key]
        else:
            self._kinds[kind][key] = section
            self.changed_sections.setdefault(KIND_ATTRIBUTES[kind], {})[key] = section

    def build(self, check_all):
        """Return the checked `Lists`.

        Only changed sections are checked, unless `check_all` is True because sections
        were removed that others may refer to.
        """
        kinds = {
            KIND_ATTRIBUTES[kind]: sections for kind, sections in self._kinds.items()
        }
        lists = replace(self._lists, **kinds)
        if check_all:
            check_references(lists)
        else:
            known = {"services": lists.services, "plans": lists.plans}
            check_references(Lists(**{**self.changed_sections, **known}))
        if changed := self.changed_sections.get("customers"):
            check_unique_keys(lists.customers, changed)
        return lists


def amend(lists, diff):
    """Return `lists` with a difference applied; unchanged sections are not copied.

    Raises
    ------
    ListError
        With file, section, option and accepted range of the first bad entry.
    """
    draft = _Draft(lists)
    check_all = False
    for title in diff.removed:
        file, kind, key, _ = parse_title(title)
        if draft.section(kind, key) is None:
            raise ListError(file, title, "-", "section to remove does not exist")
        draft.put(kind, key, None)
        check_all = check_all or kind in ("plan", "service")
    for title, options in diff.set.items():
        file, kind, key, model = parse_title(title)
        draft.put(kind, key, parse_section(file, title, model, options))
    for title, changes in diff.changed.items():
        file, kind, key, model = parse_title(title)
        section = draft.section(kind, key)
        if section is None:
            raise ListError(file, title, "-", "section to change does not exist")
        options = options_of(section) | changes
        options = {k: v for k, v in options.items() if v is not None}
        draft.put(kind, key, parse_section(file, title, model, options))
    return draft.build(check_all)


def difference(old, new):
    """Return the `Difference` that turns `old` into `new`."""
    sets, removed, changed = {}, [], {}
    for kind, attribute in KIND_ATTRIBUTES.items():
        before, after = getattr(old, attribute), getattr(new, attribute)
        if before is after:
            continue
        removed += [title_of(kind, key) for key in before if key not in after]
        for key, section in after.items():
            known = before.get(key)
            if known is None:
                sets[title_of(kind, key)] = options_of(section)
            elif known is not section and (
                changes := _changes(options_of(known), options_of(section))
            ):
                changed[title_of(kind, key)] = changes
    return Difference(sets, tuple(removed), changed)


def _changes(before, after):
    changes = {k: v for k, v in after.items() if before.get(k) != v}
    changes.update({k: None for k in before if k not in after})
    return changes


def sections_of(lists):
    """Return all sections as a dict of title to options."""
    return difference(Lists(), lists).set


def to_text(lists, kinds):
    """Return the sections of some kinds as an INI file."""
    out = io.StringIO()
    for kind in kinds:
        for key, section in getattr(lists, KIND_ATTRIBUTES[kind]).items():
            out.write(f"[{title_of(kind, key)}]\n")
            for name, value in options_of(section).items():
                out.write(f"{name} = {value}\n")
            out.write("\n")
    return out.getvalue()
