"""The exception hierarchy."""


class KnapweedtallyError(Exception):
    """Base class of all exceptions that this package raises."""


class TokenError(KnapweedtallyError):
    """Raised for a session token that can't be trusted."""


class ProtocolError(KnapweedtallyError):
    """Raised for a message that violates the protocol of its adapter."""


class AttemptLostError(KnapweedtallyError):
    """Raised when a target connection ends before the answer is complete.

    Attributes:
        was_sent: whether any byte of the statement may have been sent.
        is_too_large: whether the answer exceeded the size limit.
        sqlstate: SQLSTATE that the target sent before the connection ended,
            or empty.
    """

    def __init__(
        self,
        message: str,
        was_sent: bool,
        is_too_large: bool = False,
        sqlstate: str = "",
    ) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.was_sent = was_sent
        self.is_too_large = is_too_large
