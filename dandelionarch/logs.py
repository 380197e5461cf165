"""Structured logs: one line of key=value pairs, or one JSON object, per event."""

import logging
import os
import re
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_SPECIAL = re.compile(r'[ "=\n\r\t]')
BUFFER_BYTES = 256 << 10
_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def quote(value):
    """Return a value as it stands in a key=value line."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _SPECIAL.search(text) is None:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class KeyValueFormatter(logging.Formatter):
    """Writes an event and its fields as one line of key=value pairs."""

    def format(self, record):
        """Return the line of one event."""
        head = (
            f"time={self.formatTime(record, self.datefmt)} level={record.levelname} "
            f"part={record.name} event={quote(record.getMessage())}"
        )
        pairs = [
            f"{name}={quote(value)}"
            for name, value in record.__dict__.items()
            if name not in _RESERVED
        ]
        if record.exc_info:
            pairs.append(f"exc_info={quote(self.formatException(record.exc_info))}")
        return " ".join((head, *pairs))


def event(logger, name, level=logging.INFO, **fields):
    """Log one event with its fields.

    The record is made without a search for the calling line, which costs more than
    the rest and is not shown.
    """
    if logger.isEnabledFor(level):
        record = logger.makeRecord(
            logger.name, level, "", 0, name, (), None, extra=fields
        )
        logger.handle(record)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops them rather than wait.

    A reader that has stopped must not stop the daemon. What the descriptor doesn't
    take is kept up to `BUFFER_BYTES`; dropped lines are counted in a line of their
    own once there is room again.

    Parameters
    ----------
    fileno : int
        Becomes non-blocking.
    """

    def __init__(self, fileno):
        super().__init__()
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._pending = bytearray()
        self._dropped = 0

    def emit(self, record):
        """Write a record's line, or keep or drop it."""
        try:
            line = self.format(record).encode(errors="backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self.flush()
        if len(self._pending) + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            notice = f"event=log_lines_dropped count={self._dropped}\n"
            self._pending += notice.encode()
            self._dropped = 0
        self._pending += line
        self.flush()

    def flush(self):
        """Write what is kept as far as the descriptor takes it."""
        while self._pending:
            try:
                written = os.write(self._fileno, self._pending)
            except (BlockingIOError, BrokenPipeError):
                return
            del self._pending[:written]


def setup_logs(level="INFO", style="kv", stream=None, handler=None):
    """Send the package's log lines to a stream, standard error by default.

    A `handler` takes the lines in place of the stream.
    """
    datefmt = "%Y-%m-%dT%H:%M:%SZ"
    if style == "json":
        formatter = JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "message": "event",
                "name": "part",
            },
            datefmt=datefmt,
        )
    else:
        formatter = KeyValueFormatter(datefmt=datefmt)
    formatter.converter = time.gmtime
    if handler is None:
        handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger("dandelionarch")
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(level)
