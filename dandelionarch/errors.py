"""Exceptions of the package; every failure has a type of its own."""


class DandelionError(Exception):
    """Root of all errors that are shown to a user."""

    exit_code = 1


class SettingsError(DandelionError):
    """A settings file has an option that can't be used.

    Parameters
    ----------
    file, section, option : str
        Where the value stands.
    problem : str
        What is wrong with it, with the accepted range.
    """

    exit_code = 2

    def __init__(self, file, section, option, problem):
        self.file = file
        self.section = section
        self.option = option
        self.problem = problem
        super().__init__(f"{file}: [{section}] {option}: {problem}")


class ListError(SettingsError):
    """One of the two published lists has an invalid entry."""


class WireError(DandelionError):
    """A frame or message from another daemon can't be accepted."""


class FrameTooLargeError(WireError):
    """A frame announces more bytes than the limit."""


class FrameTruncatedError(WireError):
    """The connection ended inside a frame."""


class AuthenticationError(WireError):
    """A frame's authentication code does not match the shared key."""


class VersionMismatchError(WireError):
    """The peer speaks another version of the protocol."""


class HandshakeTimeoutError(WireError):
    """The peer did not finish the handshake in time."""


class MessageDecodeError(WireError):
    """A frame's payload is not a valid message."""


class LinkError(DandelionError):
    """A link to another daemon can't carry a message."""


class LinkDownError(LinkError):
    """The link is not connected or was lost."""


class AskTimeoutError(LinkError):
    """A peer did not reply in time."""


class PlatformError(DandelionError):
    """The platform's log service failed."""

    exit_code = 4


class PlatformUnavailableError(PlatformError):
    """The log service did not answer; an append may or may not have taken effect."""


class PlatformUnreachableError(PlatformUnavailableError):
    """No connection to the log service came about, so nothing was sent."""


class PlatformRefusedError(PlatformError):
    """The platform answered that it did nothing."""


class NoCheckpointError(PlatformError):
    """The log starts after the first record and holds no usable checkpoint."""


class RecordTooLargeError(PlatformError):
    """A record is larger than the log service accepts."""


class OffsetTruncatedError(PlatformError):
    """The requested offset is older than the log's retention.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still holds.
    """

    def __init__(self, first_offset):
        self.first_offset = first_offset
        super().__init__(f"offset truncated; first retained offset is {first_offset}")


class BodyTooLargeError(DandelionError):
    """A body exceeds the size limit."""


class ConfigError(DandelionError):
    """A configuration from the operator can't be read."""


class StreamError(DandelionError):
    """A stream of the log or a copy of it can't be used."""


class EntryError(StreamError):
    """A log entry or a payload for one is outside the format's limits."""


class SnapshotError(StreamError):
    """A checkpoint or a peer's state can't be read."""


class PublicationError(StreamError):
    """A record of the configuration stream is not a publication."""


class WorkerUnreachableError(DandelionError):
    """No connection to an endpoint could be opened; no byte was sent to it."""


class WorkerLostError(DandelionError):
    """A connection to an endpoint ended before its answer began."""


class BrokenAnswerError(DandelionError):
    """An endpoint's answer is incomplete, can't be framed or is not for us."""


class CallerBodyError(DandelionError):
    """A caller's body broke off, is too large or malformed.

    Parameters
    ----------
    outcome : Outcome
        What is known of the request.
    cause : Exception
        What was wrong with the body.
    """

    def __init__(self, outcome, cause):
        self.outcome = outcome
        self.cause = cause
        super().__init__(str(cause))


class BadRequestError(DandelionError):
    """A caller's request has a malformed header field."""


class UnknownCustomerError(DandelionError):
    """A caller has not shown the key of a customer."""


class UnknownRouteError(DandelionError):
    """No route matches a request."""


class BodyTimeoutError(DandelionError):
    """A caller did not send its body in time."""


class StartError(DandelionError):
    """A part of a program could not start."""

    exit_code = 3


class StopError(DandelionError):
    """A part of a program could not stop properly."""
