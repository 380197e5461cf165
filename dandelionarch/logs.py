"""Structured logs: one line of key=value pairs, or one JSON object, per event."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def quote(value):
    """Return a value as it stands in a key=value line."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


class KeyValueFormatter(JsonFormatter):
    """Writes the fields that the JSON formatter collects as key=value pairs."""

    def jsonify_log_record(self, log_data):
        """Return the line of one event."""
        return " ".join(f"{name}={quote(value)}" for name, value in log_data.items())


def event(logger, name, level=logging.INFO, **fields):
    """Log one event with its fields."""
    if logger.isEnabledFor(level):
        logger.log(level, name, extra=fields)


def setup_logs(level="INFO", style="kv", stream=None):
    """Send the package's log lines to a stream, standard error by default."""
    cls = JsonFormatter if style == "json" else KeyValueFormatter
    formatter = cls(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "message": "event",
            "name": "part",
        },
        datefmt="%Y-%m-%dT%H:%M:%SZ",
    )
    formatter.converter = time.gmtime
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger("dandelionarch")
    root.handlers[:] = [handler]
    root.propagate = False
    root.setLevel(level)
