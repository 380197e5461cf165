"""Steps of the feature file that states the guarantees to operators."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from dandelionarch.core import fleet_records as fleet
from dandelionarch.core.amend import Difference
from dandelionarch.core.config import ConfigFold, Publication, Verdict
from dandelionarch.core.fleet import FleetFold, FleetVerdict
from dandelionarch.core.orders import (
    Claim,
    ClaimVerdict,
    OrderFold,
    OrderResult,
    StoredAnswer,
    encode_items,
)
from dandelionarch.core.streams import Record
from tests.support.fleet import ALLOWANCES, PLANS

scenarios("features/promises.feature")

SERVICE = "orders"


class Log:
    """Applies records to a fold at the next offset."""

    def __init__(self, fold):
        self.fold = fold
        self.offset = 0

    def add(self, data):
        """Fold one record and return what it changed."""
        record = Record(self.offset, 0.0, f"r{self.offset}", data)
        self.offset += 1
        return self.fold.apply(record)


@pytest.fixture
def context():
    """Return the results that steps pass to later steps."""
    return {}


def amend_plan(log, plan):
    """Publish an amendment of revision 1 that changes a customer's plan."""
    diff = Difference({}, (), {"customer shop": {"plan": plan}})
    return log.add(Publication(1, "operator", None, diff).to_bytes())


@given("the lists are published at revision 1", target_fixture="log")
def publish_lists():
    log = Log(ConfigFold())
    log.add(Publication(0, "operator", (PLANS, ALLOWANCES)).to_bytes())
    return log


@when("two operators amend revision 1, one after the other in the log")
def amend_twice(log, context):
    diffs = [Difference({}, (), {"allow gold orders": {"rate": rate}}) for rate in "57"]
    context["decisions"] = [
        log.add(Publication(1, "operator", None, diff).to_bytes()) for diff in diffs
    ]


@then("the first amendment is accepted as revision 2")
def check_first_is_accepted(log, context):
    assert context["decisions"][0].verdict is Verdict.ACCEPTED
    assert log.fold.state.revision == 2


@then("the second one lost the race and changed nothing")
def check_second_lost_race(log, context):
    assert context["decisions"][1].verdict is Verdict.LOST_RACE
    assert log.fold.state.lists.allow["gold", "orders"].rate == 5


@when("an operator gives a customer a plan that does not exist")
def set_unknown_plan(log, context):
    context["decisions"] = [amend_plan(log, "platinum")]


@then("the amendment is refused and revision 1 stays in force")
def check_refused(log, context):
    assert context["decisions"][0].verdict is Verdict.REFUSED
    assert log.fold.state.revision == 1
    assert log.fold.state.lists.customers["shop"].plan == "gold"


@given(
    parsers.parse(
        "a service with {count:d} endpoints and a floor of {floor:d} percent"
    ),
    target_fixture="log",
)
def make_service(count, floor):
    log = Log(FleetFold())
    log.add(fleet.to_bytes(fleet.Floors(1, ((SERVICE, floor, "percent"),))))
    for number in range(count):
        endpoint = fleet.AnnouncedEndpoint(f"e-{number}", 1, SERVICE)
        announce = fleet.Announce(
            f"vm-{number}", 1, 1, log.offset, "127.0.0.1", 7, (endpoint,)
        )
        log.add(fleet.to_bytes(announce))
    return log


@when("the agents of all endpoints claim their ejection")
def claim_all(log, context):
    context["count"] = len(log.fold.vms)
    changes = [
        log.add(
            fleet.to_bytes(
                fleet.EjectClaim(f"vm-{n}", 1, 1, 1, f"e-{n}", 1, SERVICE, 1.0 + n)
            )
        )
        for n in range(context["count"])
    ]
    context["ejected"] = {
        n for n, c in enumerate(changes) if c.verdict is FleetVerdict.ACCEPTED
    }


@then(parsers.parse("{count:d} endpoints are ejected"))
def check_ejected_count(context, count):
    assert len(context["ejected"]) == count


@when("a VM with a healthy endpoint is withdrawn")
def withdraw_healthy_vm(log, context):
    healthy = next(n for n in range(context["count"]) if n not in context["ejected"])
    change = log.add(fleet.to_bytes(fleet.Withdraw(f"vm-{healthy}", 1)))
    context["ejected"] -= {int(c.endpoint_id.split("-")[1]) for c in change.revoked}
    context["count"] -= 1


@then("the healthy endpoints are at least the floor")
def check_floor(log, context):
    healthy = context["count"] - len(context["ejected"])
    assert healthy >= log.fold.floor_count(SERVICE)


def claim(claim_id):
    """Return a claim on one key."""
    return Claim("aa", "bb", claim_id, "vm-1", 1)


@given("an order that was claimed and has run", target_fixture="log")
def run_order():
    log = Log(OrderFold(0))
    log.add(encode_items([claim("01")]))
    log.add(encode_items([OrderResult("aa", "01", StoredAnswer(201, (), b"done"))]))
    return log


@when("its key is claimed again through another ingress")
def claim_again(log, context):
    log.add(encode_items([claim("02")]))
    context["verdict"] = log.fold.verdict(claim("02"))


@then("the verdict on the second claim is that the order has run")
def check_verdict_is_ran(context):
    assert context["verdict"] is ClaimVerdict.RAN
