"""Typed access to fields of the platform's JSON bodies."""

import json


class InvalidBodyError(ValueError):
    """A body does not have the expected format."""


def parse_object(data):
    """Return the JSON object in a body, or raise `InvalidBodyError`."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise InvalidBodyError(f"not valid JSON: {exc}") from exc
    return _require_object(body)


def get_field(body, name, expected_type, default=None):
    """Return a field after a check of its type.

    Raises
    ------
    InvalidBodyError
        If the field has another type, or is missing and `default` is None.
    """
    value = _require_object(body).get(name, default)
    # A JSON boolean is a Python int.
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise InvalidBodyError(f"{name!r} is not of type {expected_type.__name__}")
    return value


def get_number(body, name):
    """Return a field that holds a non-negative int or float."""
    value = _require_object(body).get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise InvalidBodyError(f"{name!r} is not a non-negative number")
    return value


def _require_object(body):
    if not isinstance(body, dict):
        raise InvalidBodyError("not a JSON object")
    return body
