"""Format of log lines, and the non-blocking handler."""

import io
import logging
import os

from dandelionarch.logs import BUFFER_BYTES, NonBlockingHandler, event, setup_logs


class TestKeyValueLines:
    """An event is one line, whatever the values of its fields."""

    def test_quoting_and_exceptions(self):
        """Guards against a value that ends the line or merges with the next field."""
        logger, out = logging.getLogger("dandelionarch.part"), io.StringIO()
        root = logging.getLogger("dandelionarch")
        saved_settings = root.handlers[:], root.propagate, root.level
        setup_logs("INFO", stream=out)
        event(logger, "one", logging.WARNING, a=1, b='x "y"', c="l\nm=n", d="", e=0.5)
        event(logger, "hidden", logging.DEBUG)
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            logger.exception("two", extra={"request": "r"})
        root.handlers[:], root.propagate, level = saved_settings
        root.setLevel(level)
        first, second = out.getvalue().splitlines()
        assert first.endswith(
            'level=WARNING part=dandelionarch.part event=one a=1 b="x \\"y\\"" '
            'c="l\\nm=n" d="" e=0.5'
        )
        assert "event=two request=r exc_info=" in second
        assert "bad\\nvalue" in second


class TestNonBlockingHandler:
    """Logging does not block on a stalled reader."""

    def test_lines_are_dropped_and_counted_if_the_reader_stalls(self):
        """Guards against a daemon that blocks when the reader of its logs does."""
        reader, writer = os.pipe()
        handler = NonBlockingHandler(writer)
        record = logging.makeLogRecord({"msg": "x" * 1000})
        lines = 2 * BUFFER_BYTES // 1000
        for _ in range(lines):
            handler.emit(record)
        os.set_blocking(reader, False)
        out = self.read(reader)
        handler.emit(record)
        for _ in range(10):
            handler.flush()
            out += self.read(reader)
        os.close(reader)
        os.close(writer)
        text = out.decode()
        written_count = text.count("x" * 1000 + "\n")
        assert "event=log_lines_dropped count=" in text
        dropped_count = int(text.partition("count=")[2].split()[0])
        assert written_count + dropped_count == lines + 1

    @staticmethod
    def read(fileno):
        """Return all data that can be read without blocking."""
        out = b""
        while True:
            try:
                data = os.read(fileno, 1 << 16)
            except BlockingIOError:
                return out
            out += data
