"""Event loop on a virtual clock, for asynchronous code without a network."""

import asyncio
import selectors


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances the clock instead of waiting.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready files; if there are none, advance the clock."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        if not ready:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers take no time."""

    def __init__(self):
        self._virtual_selector = VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_virtual(coro):
    """Run a coroutine to its end and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)
