"""Forwarding of HTTP header fields between callers, daemons and endpoints."""

import re

from dandelionarch.core.messages.request import Header

UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
        "proxy-authenticate",
        "proxy-connection",
        "host",
        "authorization",
        "expect",
    }
)
OWN_PREFIX = "dandelion-"
NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def end_to_end(fields, drop=frozenset(), keep=frozenset()):
    """Return the fields that a proxy forwards, as `Header` tuples.

    Hop-by-hop fields, fields listed in `Connection`, the daemon's own fields and those
    in `drop` are left out, except for those in `keep`. Names in `drop` and `keep` are
    in lower case. The bytes of a value that is not ASCII are carried as Latin-1
    characters.
    """
    fields = list(fields)
    listed = set()
    for name, value in fields:
        if name.lower() == "connection":
            listed.update(token.strip().lower() for token in value.split(","))
    forwarded = []
    for name, value in fields:
        lower = name.lower()
        if lower in keep:
            forwarded.append(Header(name, _to_wire(value)))
            continue
        if lower in UNFORWARDED_HEADERS or lower in listed or lower in drop:
            continue
        if not lower.startswith(OWN_PREFIX):
            forwarded.append(Header(name, _to_wire(value)))
    return tuple(forwarded)


def from_wire(value):
    """Return a value as HTTP libraries expect it, with surrogates for invalid UTF-8."""
    if value.isascii():
        return value
    return value.encode("latin-1").decode("utf-8", "surrogateescape")


def invalid_field(fields):
    """Return the name of the first field that may not be forwarded, or None."""
    for name, value in fields:
        if not NAME_PATTERN.fullmatch(name) or CONTROL_PATTERN.search(value):
            return name
        if not value.isascii() and not _is_utf8(value):
            return name
    return None


def _to_wire(value):
    if value.isascii():
        return value
    return value.encode("utf-8", "surrogateescape").decode("latin-1")


def _is_utf8(value):
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True
