"""Tasks of a daemon that fail are begun again."""

import asyncio

from dandelionarch.daemon import parts


class TestSupervision:
    """A fault in one part does not end the part."""

    def test_failed_task_runs_again(self, monkeypatch):
        """Guards against a daemon that goes on without one of its parts."""
        monkeypatch.setattr(parts, "RESTART_DELAY_S", 0.0)
        runs = []

        async def part():
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("fault")

        asyncio.run(parts.supervise(part))
        assert runs == [0, 1, 2]
