"""An ingress's view of the endpoints and of its links to them."""

import asyncio

from dandelionarch.core.directory import Directory
from dandelionarch.core.world import Endpoint, EndpointState, Vm
from dandelionarch.daemon.endpoint_views import EndpointViews, IngressRules

VM = Vm("vm-b", "dc", "r", "h", 0, 0, 0, 0, 1)
ENDPOINT = Endpoint("w", "vm-b", "s", "h", 80, 3, 9, 1, state=EndpointState.READY)


class Link:
    """A link to the VM of the endpoint."""

    vm_id = VM.vm_id


class Network:
    """Open links; the test itself calls the callbacks."""

    vm_id = "vm-a"

    def __init__(self):
        self.callbacks = []

    def subscribe_link_opened(self, callback):
        self.callbacks.append(callback)

    def is_up(self, vm_id):
        return True


class TestReopenedLink:
    """A VM becomes a candidate again as soon as its link is reopened."""

    def test_endpoint_is_a_candidate_at_once(self):
        """Guards against a VM that gets no work for seconds after it is back.

        Each request on the closed link doubled the time for which the VM is excluded,
        and only a reply to a request ended the exclusion.
        """
        asyncio.run(self._reopen())

    async def _reopen(self):
        network, directory = Network(), Directory()
        directory.put_vm(VM)
        directory.put_endpoint(ENDPOINT)
        views = EndpointViews(network, directory, IngressRules(links_kept_open=True))
        for _ in range(4):
            views.on_link_failed(VM.vm_id)
        assert not views.candidates("s")[0].link_up
        for callback in network.callbacks:
            callback(Link())
        assert views.candidates("s")[0].link_up
