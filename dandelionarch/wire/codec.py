"""Cap'n Proto encoding of the typed messages.

A message class maps to the union field of the same name in its schema's
`Envelope`; dataclass fields map to the schema's camel-case fields.
"""

import dataclasses
import functools
import importlib
import typing
from enum import IntEnum
from pathlib import Path

import capnp

from dandelionarch.errors import MessageDecodeError

capnp.remove_import_hook()

SCHEMA_DIR = Path(__file__).parent
MESSAGES_PACKAGE = "dandelionarch.core.messages"
TRAVERSAL_LIMIT_WORDS = 1 << 20
NESTING_LIMIT = 8


class Channel(IntEnum):
    """Group of messages, sent as the first byte of a frame.

    A member's name in lower case is the name of the schema file and of the module
    with the message classes.
    """

    REQUEST = 0
    MEMBERS = 1
    STREAMS = 2
    EVIDENCE = 4
    LIMITS = 5
    REGISTRY = 6
    ORDERS = 7
    LOANS = 8


def _camel(name):
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _union_name(cls):
    return cls.__name__[0].lower() + cls.__name__[1:]


@functools.cache
def _field_plan(cls):
    """Return (attribute, schema field, nested class or None, is a list) per field."""
    hints = typing.get_type_hints(cls)
    plan = []
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        is_list = typing.get_origin(hint) is tuple
        item = typing.get_args(hint)[0] if is_list else hint
        nested = item if dataclasses.is_dataclass(item) else None
        plan.append((field.name, _camel(field.name), nested, is_list))
    return tuple(plan)


def _fill_builder(builder, msg):
    """Copy a message into a builder.

    Setting the fields one by one takes a seventh of the time that pycapnp needs for
    a dict.
    """
    for attr, name, nested, is_list in _field_plan(type(msg)):
        value = getattr(msg, attr)
        if nested and is_list:
            items = builder.init(name, len(value))
            for i, item in enumerate(value):
                _fill_builder(items[i], item)
        elif nested:
            _fill_builder(builder.init(name), value)
        else:
            setattr(builder, name, list(value) if is_list else value)


def _from_reader(cls, reader):
    values = []
    for _, name, nested, is_list in _field_plan(cls):
        value = getattr(reader, name)
        if nested and is_list:
            value = tuple(_from_reader(nested, item) for item in value)
        elif nested:
            value = _from_reader(nested, value)
        elif is_list:
            value = tuple(value)
        values.append(value)
    return cls(*values)


class Codec:
    """Encodes and decodes the messages of some channels.

    Parameters
    ----------
    channels : iterable of Channel, optional
        All by default. Schemas and message classes of other channels are not loaded,
        as loading them is a large part of a daemon's start time.
    """

    def __init__(self, channels=tuple(Channel)):
        self._envelopes = {}
        self._by_class = {}
        self._by_name = {}
        for channel in channels:
            self._load(channel)

    def _load(self, channel):
        name = channel.name.lower()
        schema = capnp.load(str(SCHEMA_DIR / f"{name}.capnp"))
        self._envelopes[channel] = schema.Envelope
        for cls in importlib.import_module(f"{MESSAGES_PACKAGE}.{name}").MESSAGES:
            self._by_class[cls] = (channel, _union_name(cls))
            self._by_name[channel, _union_name(cls)] = cls

    def encode(self, msg):
        """Return (channel, bytes) of a message."""
        channel, envelope = self._build_envelope(msg)
        return channel, envelope.to_bytes()

    def encode_packed(self, msg):
        """Return (channel, bytes) of a message in Cap'n Proto's packed form."""
        channel, envelope = self._build_envelope(msg)
        return channel, envelope.to_bytes_packed()

    def _build_envelope(self, msg):
        channel, name = self._by_class[type(msg)]
        envelope = self._envelopes[channel].new_message()
        _fill_builder(envelope.init(name), msg)
        return channel, envelope

    def decode(self, channel, data):
        """Return the message in a payload.

        Raises
        ------
        MessageDecodeError
            If the channel is unknown or the payload is not a valid message.
        """
        try:
            envelope_type = self._envelopes[Channel(channel)]
            with envelope_type.from_bytes(
                data,
                traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
                nesting_limit=NESTING_LIMIT,
            ) as envelope:
                return self._decode_envelope(channel, envelope)
        except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as exc:
            raise MessageDecodeError(f"channel {channel}: {exc}") from exc

    def decode_packed(self, channel, data):
        """Return the message in a payload in packed form.

        Raises
        ------
        MessageDecodeError
            If the channel is unknown or the payload is not a valid message.
        """
        try:
            envelope = self._envelopes[Channel(channel)].from_bytes_packed(
                data,
                traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
                nesting_limit=NESTING_LIMIT,
            )
            return self._decode_envelope(channel, envelope)
        except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as exc:
            raise MessageDecodeError(f"channel {channel}: {exc}") from exc

    def _decode_envelope(self, channel, envelope):
        name = str(envelope.which())
        return _from_reader(self._by_name[channel, name], getattr(envelope, name))
