"""Typed access to fields of the platform's JSON bodies."""

import json
import re

# Longest id, service name or address that is accepted.
MAX_TEXT_CHARS = 255
# The types of the messages between daemons hold larger numbers, but none is sensible.
MAX_INT = 2**53 - 1
PLAIN_TEXT = re.compile(r"[\x21-\x7e]+")


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


def get_int(body, name, low=0, high=MAX_INT):
    """Return a field that holds an int of a range, both ends included."""
    value = get_field(body, name, int)
    if not low <= value <= high:
        raise InvalidBodyError(f"{name!r} is not in {low} to {high}")
    return value


def get_text(body, name):
    """Return a field that holds visible ASCII characters, 1 to `MAX_TEXT_CHARS`."""
    return check_text(get_field(body, name, str), name)


def check_text(value, name):
    """Return a text after the check of `get_text`; `name` is for the error."""
    if len(value) > MAX_TEXT_CHARS or not PLAIN_TEXT.fullmatch(value):
        raise InvalidBodyError(f"{name!r} is empty, too long or has odd characters")
    return value


def get_number(body, name):
    """Return a field that holds an int or float from 0 to `MAX_INT`."""
    value = _require_object(body).get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidBodyError(f"{name!r} is not a number")
    if not 0 <= value <= MAX_INT:
        raise InvalidBodyError(f"{name!r} is not in 0 to {MAX_INT}")
    return value


def _require_object(body):
    if not isinstance(body, dict):
        raise InvalidBodyError("not a JSON object")
    return body
