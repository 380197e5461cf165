"""Structured logs: one line of key=value pairs, or one JSON object, per event."""

import logging
import os
import re
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]')
BUFFER_BYTES = 256 << 10
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


def quote(value):
    """Return a value as text for a key=value line, quoted if necessary."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class KeyValueFormatter(logging.Formatter):
    """Formats an event and its fields as one line of key=value pairs."""

    def format(self, record):
        """Return the line of one event."""
        prefix = (
            f"time={self.formatTime(record, self.datefmt)} level={record.levelname} "
            f"part={record.name} event={quote(record.getMessage())}"
        )
        pairs = [
            f"{name}={quote(value)}"
            for name, value in record.__dict__.items()
            if name not in _STANDARD_ATTRIBUTES
        ]
        if record.exc_info:
            pairs.append(f"exc_info={quote(self.formatException(record.exc_info))}")
        return " ".join((prefix, *pairs))


def event(logger, name, level=logging.INFO, **fields):
    """Log one event with its fields.

    The record is made without looking up the caller's source line, which is not logged
    and would take longer than all other steps.
    """
    if logger.isEnabledFor(level):
        record = logger.makeRecord(
            logger.name, level, "", 0, name, (), None, extra=fields
        )
        logger.handle(record)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    A stalled reader of the logs must not block the daemon. Lines that the descriptor
    doesn't accept are buffered, at most `BUFFER_BYTES`; any further ones are dropped,
    and their number is logged once the buffer has room again.

    Parameters
    ----------
    fileno : int
        File descriptor, which is set to non-blocking mode.
    """

    def __init__(self, fileno):
        super().__init__()
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._buffer = bytearray()
        self._dropped = 0

    def emit(self, record):
        """Write a record's line, or buffer or drop it."""
        try:
            line = self.format(record).encode(errors="backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self.flush()
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            notice = f"event=log_lines_dropped count={self._dropped}\n"
            self._buffer += notice.encode()
            self._dropped = 0
        self._buffer += line
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._fileno, self._buffer)
            except (BlockingIOError, BrokenPipeError):
                return
            del self._buffer[:written]


def setup_logs(level="INFO", style="kv", stream=None, handler=None):
    """Configure the package's logger.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    style : str
        Format of the lines: "kv" for key=value pairs, "json" for JSON objects.
    stream : file, optional
        Receives the lines; standard error by default.
    handler : logging.Handler, optional
        Receives the lines in place of `stream`.
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
