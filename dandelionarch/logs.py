"""Structured logs: one line of key=value pairs, or one JSON object, per event."""

import logging
import re
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_SPECIAL = re.compile(r'[ "=\n\r\t]')
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


def setup_logs(level="INFO", style="kv", stream=None):
    """Send the package's log lines to a stream, standard error by default."""
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
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger("dandelionarch")
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(level)
