"""HTTP header fields on their way between callers, daemons and endpoints."""

import re

from dandelionarch.core.messages.request import Header

HOP_HEADERS = frozenset(
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
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def end_to_end(fields, drop=frozenset(), keep=frozenset()):
    """Return the fields that pass a proxy, as `Header` tuples.

    Fields for one hop, fields named by `Connection`, and the daemon's own ones are
    left out, and those in `drop`; those in `keep` are not. Names are in lower case.
    A value that is not UTF-8 is carried as Latin-1.
    """
    fields = list(fields)
    named = set()
    for name, value in fields:
        if name.lower() == "connection":
            named.update(token.strip().lower() for token in value.split(","))
    out = []
    for name, value in fields:
        low = name.lower()
        if low in keep:
            out.append(Header(name, _to_wire(value)))
            continue
        if low in HOP_HEADERS or low in named or low in drop:
            continue
        if not low.startswith(OWN_PREFIX):
            out.append(Header(name, _to_wire(value)))
    return tuple(out)


def from_wire(value):
    """Return a value as HTTP libraries expect it, bytes as surrogate escapes."""
    if value.isascii():
        return value
    return value.encode("latin-1").decode("utf-8", "surrogateescape")


def invalid_field(fields):
    """Return the name of the first field that may not be passed on, or None."""
    for name, value in fields:
        if not NAME.fullmatch(name) or CONTROL.search(value):
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
