"""Exceptions of the package. Each message states a remedy."""


class SapphireliftError(Exception):
    """Base of all errors of this package.

    Attributes:
        remedy: What the user can do about the error, in one sentence.
    """

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.remedy = remedy


class SettingsError(SapphireliftError):
    """A settings file cannot be used."""


class BindError(SapphireliftError):
    """An address of the settings cannot be bound."""

    def __init__(self, message: str) -> None:
        super().__init__(
            f"cannot bind an address: {message}",
            remedy="make sure that `peer`, `public` and `admin` are free "
            "addresses of this instance",
        )


class InputError(SapphireliftError):
    """A command was given an invalid argument or file."""


class KeyChangeError(SapphireliftError):
    """A keyring change would break flows or lock out daemons."""


class DatagramError(SapphireliftError):
    """A datagram is malformed, truncated, oversized or forged.

    Attributes:
        reason: Label of the drop counter, for example ``truncated``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"dropped datagram: {reason}",
            remedy="check the sender's version and keys",
        )
        self.reason = reason


class UnreadableError(SapphireliftError):
    """JSON of another writer is malformed, or nothing that could be used."""

    def __init__(self, message: str) -> None:
        super().__init__(
            f"unreadable: {message}",
            remedy="find out who has written it; it is left out",
        )


class ReportError(SapphireliftError):
    """A report of a backend server is invalid."""

    def __init__(self, message: str) -> None:
        super().__init__(
            f"report refused: {message}",
            remedy="make sure that only backend servers call this address",
        )


class ConfigurationError(SapphireliftError):
    """A configuration in the platform's store is invalid."""

    def __init__(self, message: str) -> None:
        super().__init__(
            f"configuration refused: {message}",
            remedy="write a valid one; the current one stays in force",
        )


class TokenError(DatagramError):
    """A flow token fails verification."""


class RecordError(SapphireliftError):
    """A record is not valid."""


class SchemaVersionError(RecordError):
    """A record has a schema version that this release does not support."""


class LockedFieldError(SapphireliftError):
    """A record sets a field that the central policy locks."""


class MissingRecordError(SapphireliftError):
    """A record that a command needs does not exist."""


class ConflictError(SapphireliftError):
    """A conditional update conflicts with the update of another writer.

    Attributes:
        current_revision: Current revision of the object.
    """

    def __init__(self, key: str, current_revision: int) -> None:
        super().__init__(
            f"{key} is at revision {current_revision}",
            remedy="read it again, merge the change and retry",
        )
        self.current_revision = current_revision


class StoreRestoredError(ConflictError):
    """A conditional write names a revision of before the store's return.

    The write has not been sent, or it has changed another state of the object
    than the one that was read.
    """

    def __init__(self, key: str) -> None:
        SapphireliftError.__init__(
            self,
            f"the store has returned from an older copy since {key} was read",
            remedy="read it again, merge the change and retry",
        )
        self.current_revision = 0


class PlatformUnavailableError(SapphireliftError):
    """The platform sent no valid answer; a write may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(
            message, remedy="check that the platform is reachable and retry"
        )


class WriteUnknownError(PlatformUnavailableError):
    """The answer to a write was lost, so its outcome is unknown."""

    def __init__(self, key: str) -> None:
        super().__init__(
            f"it is unknown whether the write of {key} took effect"
        )


class FetchError(SapphireliftError):
    """Fetching the record set of a neighbour failed."""

    def __init__(self, message: str) -> None:
        super().__init__(message, remedy="another neighbour will be asked")


class FlowError(SapphireliftError):
    """A flow could not be opened or was reset."""
