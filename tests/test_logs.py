"""Log lines."""

import io
import logging

from dandelionarch.logs import event, setup_logs


class TestKeyValueLines:
    """One event is one line, whatever its fields hold."""

    def test_quoting_and_exceptions(self):
        """Guards against a field that ends the line or runs into the next one."""
        logger, out = logging.getLogger("dandelionarch.part"), io.StringIO()
        root = logging.getLogger("dandelionarch")
        kept = root.handlers[:], root.propagate, root.level
        setup_logs("INFO", stream=out)
        event(logger, "one", logging.WARNING, a=1, b='x "y"', c="l\nm=n", d="", e=0.5)
        event(logger, "hidden", logging.DEBUG)
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            logger.exception("two", extra={"request": "r"})
        root.handlers[:], root.propagate, level = kept
        root.setLevel(level)
        first, second = out.getvalue().splitlines()
        assert first.endswith(
            'level=WARNING part=dandelionarch.part event=one a=1 b="x \\"y\\"" '
            'c="l\\nm=n" d="" e=0.5'
        )
        assert "event=two request=r exc_info=" in second
        assert "bad\\nvalue" in second
