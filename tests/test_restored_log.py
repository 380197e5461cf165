"""The log service comes back from an older copy of its records."""

from dandelionarch.core.config import CONFIG_STREAM, Publication
from tests.support.path import ALLOWANCES, EXTRA_ROUTES, PLANS, fleet_test, until


class TestConfiguration:
    """A publication after the return is put in force."""

    @fleet_test
    async def test_publication_after_the_return_is_in_force(self, fleet, session):
        """Guards against daemons that wait at an offset that was given out again.

        The log loses the second publication. The operator publishes once more, on the
        revision that the log holds; the record gets the offset of the lost one.
        """
        daemon = await fleet.daemon("vm-a")
        await self.publish_route(daemon, "first")
        await self.wait_for_route(daemon, "first")
        fleet.log.restore(lost=1)
        await self.publish_route(daemon, "second")
        await self.wait_for_route(daemon, "second")

    async def publish_route(self, daemon, name):
        """Publish, on revision 1, the fleet's lists with a further route."""
        route = f"[route {name}]\nservice = orders\npath = /{name}\nmethods = GET\n"
        allowances = f"{ALLOWANCES}{EXTRA_ROUTES}\n{route}kind = read\n"
        publication = Publication(1, "test", (PLANS, f"{allowances}budget_ms = 3000\n"))
        await daemon.streams.append(CONFIG_STREAM, publication.to_bytes())

    async def wait_for_route(self, daemon, name):
        """Wait until a route is in force."""
        await until(lambda: name in daemon.active_config.lists.routes, f"route {name}")
