"""Failed tasks of a daemon are restarted."""

import asyncio

from dandelionarch.daemon import parts


class TestSupervision:
    """An exception in a part's task does not end the task permanently."""

    def test_failed_task_is_restarted(self, monkeypatch):
        """Guards against a daemon that keeps running without one of its parts."""
        monkeypatch.setattr(parts, "RESTART_DELAY_S", 0.0)
        runs = []

        async def fail_twice():
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("fault")

        asyncio.run(parts.supervise(fail_twice))
        assert runs == [0, 1, 2]
