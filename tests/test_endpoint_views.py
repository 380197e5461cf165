"""What an ingress knows of endpoints and of its links to them."""

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
    """Links that are open; handlers are called by the test."""

    vm_id = "vm-a"

    def __init__(self):
        self.handlers = []

    def on_opened(self, handler):
        self.handlers.append(handler)

    def is_up(self, vm_id):
        return True


class TestLinkThatOpensAgain:
    """A VM that was out of reach gets work as soon as its link is open again."""

    def test_endpoint_is_a_candidate_at_once(self):
        """Guards against a VM that gets no work for seconds after it is back.

        Each request that met the closed link doubled the time for which the VM is left
        out, and only a reply to a request ended it.
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
        for handler in network.handlers:
            handler(Link())
        assert views.candidates("s")[0].link_up
