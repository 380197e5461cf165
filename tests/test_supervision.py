"""Failed tasks of a daemon are restarted."""

import asyncio

from dandelionarch.daemon import runtime


class TestSupervision:
    """An exception in a part's task does not end the task permanently."""

    def test_failed_task_is_restarted(self, monkeypatch):
        """Guards against a daemon that keeps running without one of its parts."""
        monkeypatch.setattr(runtime, "RESTART_DELAY_S", 0.0)
        runs = []

        async def fail_twice():
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("fault")

        asyncio.run(runtime.supervise(fail_twice))
        assert runs == [0, 1, 2]
