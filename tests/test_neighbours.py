"""Tests of the choice of links in a fleet of hundreds of VMs.

Scenario: 233 VMs in six data centres start at once; later, VMs restart, are cut off, or
a whole data centre is lost. A link between every two VMs would make 27,000 links, and
each change of a gate would be sent to all VMs.
"""

import collections

import pytest

from dandelionarch.core.directory import Directory
from dandelionarch.core.neighbours import (
    FAR_PER_SERVICE,
    MAX_CANDIDATES_FACTOR,
    MIN_PER_SERVICE,
    NEAR_PER_SERVICE,
    Neighbours,
)
from dandelionarch.core.world import Endpoint, EndpointState, Vm, VmState

# Endpoints per data centre, as in a fleet of 233 VMs.
LARGE_CENTRE = {"orders": 21, "calendar": 12, "reminders": 6}
SMALL_CENTRE = {"orders": 3, "calendar": 2, "reminders": 2}
CENTRES = tuple(f"dc-{n}" for n in range(6))


def fleet(services, centres=CENTRES):
    """Return the VMs and endpoints of a fleet."""
    vms, endpoints = [], []
    for centre in centres:
        for service, count in services.items():
            for n in range(count):
                vm_id = f"{centre}-{service}-{n}"
                vms.append(Vm(vm_id, centre, "r", "h", 0, 0, 0, 0, 1))
                endpoints.append(
                    Endpoint(f"i-{vm_id}", vm_id, service, "h", 80, 2, 330, 1)
                )
    return vms, endpoints


def directory_of(vms, endpoints):
    """Return a directory that knows a fleet."""
    directory = Directory()
    for vm in vms:
        directory.put_vm(vm)
    for endpoint in endpoints:
        directory.put_endpoint(endpoint)
    return directory


def all_chosen(vms, endpoints):
    """Return the ids chosen by each VM, by VM id."""
    directory = directory_of(vms, endpoints)
    return {vm.vm_id: Neighbours(vm, directory).choose() for vm in vms}


class TestChoice:
    """Links per VM are bounded, and every endpoint is chosen by many VMs."""

    def test_small_fleet_is_linked_as_a_whole(self):
        """Guards against unlinked endpoints in a fleet where links cost little."""
        vms, endpoints = fleet(SMALL_CENTRE, CENTRES[:4])
        for vm_id, chosen in all_chosen(vms, endpoints).items():
            assert chosen == {vm.vm_id for vm in vms} - {vm_id}

    def test_links_do_not_grow_with_the_fleet(self):
        """Guards against a full mesh, whose traffic grows with the fleet's square."""
        vms, endpoints = fleet(LARGE_CENTRE)
        links = collections.defaultdict(set)
        for vm_id, chosen in all_chosen(vms, endpoints).items():
            for other in chosen:
                links[vm_id].add(other)
                links[other].add(vm_id)
        most_chosen = len(LARGE_CENTRE) * (NEAR_PER_SERVICE + FAR_PER_SERVICE)
        mean = sum(map(len, links.values())) / len(vms)
        assert mean <= 1.5 * most_chosen
        assert max(map(len, links.values())) <= 2 * most_chosen

    def test_each_endpoint_is_chosen_by_many_vms(self):
        """Guards against an endpoint to which no VM sends work."""
        vms, endpoints = fleet(LARGE_CENTRE)
        chosen_by = collections.Counter(
            other for chosen in all_chosen(vms, endpoints).values() for other in chosen
        )
        assert min(chosen_by[vm.vm_id] for vm in vms) >= MIN_PER_SERVICE

    def test_each_service_has_near_and_far_endpoints(self):
        """Guards against a demand peak that no other data centre can help with."""
        vms, endpoints = fleet(LARGE_CENTRE)
        service_of = {e.vm_id: e.service for e in endpoints}
        centre_of = {vm.vm_id: vm.data_centre for vm in vms}
        for vm_id, chosen in all_chosen(vms, endpoints).items():
            for service, count in LARGE_CENTRE.items():
                found = [other for other in chosen if service_of[other] == service]
                near = [o for o in found if centre_of[o] == centre_of[vm_id]]
                assert len(near) >= min(count - 1, NEAR_PER_SERVICE)
                assert len(found) - len(near) >= FAR_PER_SERVICE
                assert len(found) >= MIN_PER_SERVICE


class TestChanges:
    """VMs that can't be reached or have left are replaced."""

    @pytest.fixture
    def chooser(self):
        """Return the choice of one VM of a large fleet, and its directory."""
        vms, endpoints = fleet(LARGE_CENTRE)
        directory = directory_of(vms, endpoints)
        return Neighbours(vms[0], directory), directory

    def test_unreachable_vms_stay_chosen_and_others_are_added(self, chooser):
        """Guards against losing a service, and against dropping VMs that return."""
        neighbours, _ = chooser
        before = neighbours.choose()
        cut = frozenset(sorted(before)[: len(before) // 3])
        after = neighbours.choose(cut)
        assert cut < after
        assert len(after - cut) >= len(before) - len(cut)
        assert neighbours.choose() == before

    def test_daemon_that_is_cut_off_does_not_dial_the_fleet(self, chooser):
        """Guards against hundreds of connection attempts a second from one daemon."""
        neighbours, directory = chooser
        before = neighbours.choose()
        after = neighbours.choose(frozenset(directory.vms))
        assert len(after) <= 2 * MAX_CANDIDATES_FACTOR * len(before)

    def test_vms_of_a_lost_data_centre_are_replaced(self, chooser):
        """Guards against a choice of VMs that have left."""
        neighbours, directory = chooser
        lost = neighbours.choose() - {None}
        for vm_id in [v for v in lost if not v.startswith("dc-0")]:
            vm = directory.vms[vm_id]
            directory.put_vm(
                Vm(vm_id, vm.data_centre, "r", "h", 0, 0, 0, 0, 1, VmState.LEAVING)
            )
        assert not any(v in lost for v in neighbours.choose() if v[:4] != "dc-0")
        assert len(neighbours.choose()) >= len(LARGE_CENTRE) * MIN_PER_SERVICE

    def test_vm_whose_endpoint_drains_is_replaced(self, chooser):
        """Guards against counting endpoints that take no work."""
        neighbours, directory = chooser
        first = next(v for v in sorted(neighbours.choose()) if "dc-0-orders" in v)
        directory.set_endpoint_state(f"i-{first}", 1, EndpointState.DRAINING)
        assert first not in neighbours.choose()

    def test_changes_of_health_do_not_change_links(self, chooser):
        """Guards against ranking the fleet again at each message about a gate."""
        neighbours, directory = chooser
        before = neighbours.choose()
        for endpoint_id in list(directory.endpoints):
            directory.set_health(endpoint_id, "trial")
        assert neighbours.choose() is before
