"""Exceptions of the package."""


class DandelionError(Exception):
    """Base of all exceptions whose message is shown to a user."""

    exit_code = 1


class SettingsError(DandelionError):
    """A settings file has an option that can't be used.

    Parameters
    ----------
    file, section, option : str
        Location of the value.
    problem : str
        Description of the error, including the accepted range.
    """

    exit_code = 2

    def __init__(self, file, section, option, problem):
        self.file = file
        self.section = section
        self.option = option
        self.problem = problem
        super().__init__(f"{file}: [{section}] {option}: {problem}")


class ListError(SettingsError):
    """A list to be published, plans or allowances, has an invalid entry."""


class WireError(DandelionError):
    """A frame or message from another daemon is rejected."""


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


class DeltaError(WireError):
    """A peer's difference between two records can't be applied."""


class LinkError(DandelionError):
    """A link to another daemon can't carry a message."""


class LinkDownError(LinkError):
    """The link is not connected or was lost."""


class ReplyTimeoutError(LinkError):
    """A peer did not reply in time."""


class PlatformError(DandelionError):
    """A call to the platform's log service or store failed."""

    exit_code = 4


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; an append may or may not have taken effect."""


class PlatformUnreachableError(PlatformUnavailableError):
    """No connection to the platform could be opened, so nothing was sent."""


class PlatformRefusedError(PlatformError):
    """The platform answered that it rejected a call, which had no effect."""


class NoCheckpointError(PlatformError):
    """The log's first records are deleted and it holds no usable checkpoint."""


class RecordTooLargeError(PlatformError):
    """A record exceeds the log service's size limit."""


class OffsetTruncatedError(PlatformError):
    """The log does not have the requested offset; mostly it is no longer retained.

    Parameters
    ----------
    first_offset : int
        The oldest offset that the log still holds.
    era : int
        Era of the store, 0 if it tells none.
    """

    def __init__(self, first_offset, era=0):
        self.first_offset = first_offset
        self.era = era
        super().__init__(f"offset truncated; first retained offset is {first_offset}")


class BodyTooLargeError(DandelionError):
    """A body exceeds its size limit."""


class BodyTakenError(DandelionError):
    """Another attempt of the request reads the caller's body."""


class ConfigError(DandelionError):
    """The operator's configuration can't be decoded."""


class StreamError(DandelionError):
    """Data of a log stream or of a copy of one can't be used."""


class EntryError(StreamError):
    """A log entry or a payload for one violates the entry format."""


class SnapshotError(StreamError):
    """A checkpoint or a state received from a peer can't be decoded."""


class PublicationError(StreamError):
    """A record of the configuration stream is not a publication."""


class WorkerUnreachableError(DandelionError):
    """No connection to an endpoint could be opened; no byte was sent to it."""


class WorkerConnectionLostError(DandelionError):
    """The connection to an endpoint closed before its answer began."""


class BrokenAnswerError(DandelionError):
    """An endpoint's answer is incomplete, malformed or belongs to another request."""


class CallerBodyError(DandelionError):
    """A caller's body is incomplete, too large or malformed.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request, as far as it is known.
    cause : Exception
        Error that was found in the body.
    """

    def __init__(self, outcome, cause):
        self.outcome = outcome
        self.cause = cause
        super().__init__(str(cause))


class BadRequestError(DandelionError):
    """A caller's request has a malformed header field."""


class UnknownCustomerError(DandelionError):
    """A caller did not present the key of a customer."""


class UnknownRouteError(DandelionError):
    """No route matches a request."""


class BodyTimeoutError(DandelionError):
    """A caller did not send its body in time."""


class StartError(DandelionError):
    """A component of a program could not start."""

    exit_code = 3


class StopError(DandelionError):
    """A component of a program could not stop cleanly."""
