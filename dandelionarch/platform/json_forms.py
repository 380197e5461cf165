"""Typed access to the platform's JSON bodies."""

import json


class FormError(ValueError):
    """A body does not have the expected form."""


def parse(data):
    """Return the JSON object in a body."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise FormError(f"no JSON: {exc}") from exc
    return _fields(body)


def field(body, name, kind, default=None):
    """Return a field of a kind; without it the default, or `FormError` if None."""
    value = _fields(body).get(name, default)
    # A JSON boolean is a Python int.
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise FormError(f"{name!r} is not of type {kind.__name__}")
    return value


def number(body, name):
    """Return a number of 0 or more, as an int or a float."""
    value = _fields(body).get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise FormError(f"{name!r} is not a number of 0 or more")
    return value


def _fields(body):
    if not isinstance(body, dict):
        raise FormError("not an object")
    return body
