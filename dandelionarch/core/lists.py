"""The two published lists: customers' plans, and the allowances of each plan."""

import configparser
from dataclasses import dataclass, field
from typing import Literal

import pydantic

from dandelionarch.core.crests import CrestCalendar
from dandelionarch.core.routes import Route, ServiceShare
from dandelionarch.errors import ListError
from dandelionarch.ids import CustomerId, RouteName, ServiceName

PLANS_FILE = "plans"
ALLOWANCES_FILE = "allowances"


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class CustomerSection(_Section):
    """`[customer NAME]` of the plans list."""

    key_digest: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    plan: str = pydantic.Field(min_length=1)


class ServiceSection(_Section):
    """`[service NAME]`: its floor as a number of endpoints or a percentage."""

    floor: str = pydantic.Field(pattern=r"^([0-9]{1,5}|([0-9]|[1-9][0-9]|100)%)$")


class RouteSection(_Section):
    """`[route NAME]`: the requests that form one kind of work of a service."""

    service: str
    path: str = pydantic.Field(pattern=r"^/")
    methods: str = pydantic.Field(
        default="GET", pattern=r"^[A-Z]+(\s*,\s*[A-Z]+)*$", max_length=80
    )
    kind: str = pydantic.Field(default="default", pattern=r"^[a-z0-9_-]{1,40}$")
    idempotent: bool = True
    budget_ms: int = pydantic.Field(default=2000, ge=10, le=600_000)


class CrestSection(_Section):
    """`[crest NAME]`: a demand peak that starts at known times."""

    service: str
    starts: str = pydantic.Field(min_length=1)
    lasts_s: int = pydantic.Field(ge=1, le=86_400)


class PlanSection(_Section):
    """`[plan NAME]`: its priority in load shedding; 0 is shed last."""

    priority: int = pydantic.Field(ge=0, le=9)


class AllowSection(_Section):
    """`[allow PLAN SERVICE]`: limits for each customer of a plan."""

    rate: float = pydantic.Field(gt=0, le=1_000_000)
    burst: int = pydantic.Field(default=10, ge=1, le=1_000_000)
    concurrency: int = pydantic.Field(default=100, ge=1, le=1_000_000)
    crest_rate: float | None = pydantic.Field(default=None, gt=0, le=1_000_000)
    crest_burst: int | None = pydantic.Field(default=None, ge=1, le=1_000_000)
    crest_concurrency: int | None = pydantic.Field(default=None, ge=1, le=1_000_000)


PLAN_SECTIONS = {"customer": (CustomerSection, 1)}
ALLOWANCE_SECTIONS = {
    "service": (ServiceSection, 1),
    "route": (RouteSection, 1),
    "crest": (CrestSection, 1),
    "plan": (PlanSection, 1),
    "allow": (AllowSection, 2),
}


@dataclass(frozen=True, slots=True)
class Floor:
    """Minimum healthy capacity of a service: a number or a share of endpoints."""

    amount: int
    unit: Literal["endpoints", "percent"]

    def count(self, announced):
        """Return the floor in endpoints if `announced` endpoints are announced."""
        if self.unit == "endpoints":
            return min(self.amount, announced)
        return -(-announced * self.amount // 100)


@dataclass(frozen=True)
class Lists:
    """Both lists, parsed and checked.

    Attributes map names to sections; the keys of `allow` are (plan, service).
    """

    customers: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    routes: dict = field(default_factory=dict)
    crests: dict = field(default_factory=dict)
    plans: dict = field(default_factory=dict)
    allow: dict = field(default_factory=dict)

    def floor(self, service):
        """Return the `Floor` of a service."""
        text = self.services[service].floor
        if text.endswith("%"):
            return Floor(int(text[:-1]), "percent")
        return Floor(int(text), "endpoints")


def routes_of(lists):
    """Yield the `Route` of each `[route]` section."""
    for name, section in lists.routes.items():
        yield Route(
            RouteName(name),
            (ServiceShare(ServiceName(section.service), 1),),
            section.path,
            frozenset(m.strip() for m in section.methods.split(",")),
            section.kind,
            section.idempotent,
            section.budget_ms,
        )


class CustomerKeys:
    """Finds a customer by the SHA-256 digest of the bearer key."""

    def __init__(self, lists):
        self._by_digest = {
            section.key_digest: CustomerId(name)
            for name, section in lists.customers.items()
        }

    def find(self, digest):
        """Return the customer of a hex digest or None.

        The lookup uses the digest, so its timing reveals nothing about a key.
        """
        return self._by_digest.get(digest)


def parse_lists(plans_text, allowances_text):
    """Parse and check both lists.

    Raises
    ------
    ListError
        With file, section, option and accepted range of the first bad entry.
    """
    sections = {"customer": {}}
    sections.update({kind: {} for kind in ALLOWANCE_SECTIONS})
    for file, text, kinds in (
        (PLANS_FILE, plans_text, PLAN_SECTIONS),
        (ALLOWANCES_FILE, allowances_text, ALLOWANCE_SECTIONS),
    ):
        for kind, name, section in _read_sections(file, text, kinds):
            sections[kind][name] = section
    lists = Lists(
        customers=sections["customer"],
        services=sections["service"],
        routes=sections["route"],
        crests=sections["crest"],
        plans=sections["plan"],
        allow=sections["allow"],
    )
    check_references(lists)
    check_unique_keys(lists.customers, lists.customers)
    return lists


def _read_sections(file, text, kinds):
    parser = configparser.RawConfigParser(default_section="")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as exc:
        raise ListError(file, "-", "-", str(exc).replace("\n", " ")) from exc
    for title in parser.sections():
        kind, *names = title.split()
        if kind not in kinds:
            known = ", ".join(sorted(kinds))
            raise ListError(file, title, "-", f"unknown section; known: {known}")
        model, arity = kinds[kind]
        if len(names) != arity:
            raise ListError(file, title, "-", f"expected {arity} name(s) after {kind}")
        name = names[0] if arity == 1 else tuple(names)
        yield kind, name, parse_section(file, title, model, dict(parser[title]))


def parse_section(file, title, model, options, error=ListError):
    """Return the checked section, or raise `error` with the first bad option."""
    try:
        return model(**options)
    except pydantic.ValidationError as exc:
        first = exc.errors()[0]
        option = str(first["loc"][0]) if first["loc"] else "-"
        got = options.get(option)
        problem = first["msg"] if got is None else f"{first['msg']} (got {got!r})"
        raise error(file, title, option, problem) from exc


def check_references(lists):
    """Raise `ListError` if a section names a service or plan that doesn't exist."""
    CrestCalendar(lists)
    for name, route in lists.routes.items():
        _check_section_exists(lists.services, route.service, f"route {name}", "service")
    for name, crest in lists.crests.items():
        _check_section_exists(lists.services, crest.service, f"crest {name}", "service")
    for plan, service in lists.allow:
        _check_section_exists(lists.plans, plan, f"allow {plan} {service}", "plan")
        _check_section_exists(
            lists.services, service, f"allow {plan} {service}", "service"
        )
    for name, customer in lists.customers.items():
        if customer.plan not in lists.plans:
            problem = (
                f"plan {customer.plan!r} has no [plan] section in {ALLOWANCES_FILE}"
            )
            raise ListError(PLANS_FILE, f"customer {name}", "plan", problem)


def check_unique_keys(customers, changed):
    """Raise `ListError` if a changed customer has the same key as another one.

    Parameters
    ----------
    customers, changed : dict of str to CustomerSection
    """
    owners = {section.key_digest: name for name, section in changed.items()}
    for name, section in customers.items():
        owner = owners.get(section.key_digest, name)
        if owner != name:
            problem = f"customer {owner} has the same key; each needs its own"
            raise ListError(PLANS_FILE, f"customer {name}", "key_digest", problem)


def _check_section_exists(known, name, section, option):
    if name not in known:
        problem = f"{name!r} has no section of its own"
        raise ListError(ALLOWANCES_FILE, section, option, problem)
