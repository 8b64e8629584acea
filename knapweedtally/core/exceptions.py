"""The tree of exceptions."""


class KnapweedtallyError(Exception):
    """Be the base of every exception that this package raises."""


class TokenError(KnapweedtallyError):
    """Report a session token that can't be trusted."""


class ProtocolError(KnapweedtallyError):
    """Report a message that breaks the protocol of its edge."""


class AttemptLostError(KnapweedtallyError):
    """Report a target connection that ended before the whole answer.

    Attributes:
        was_sent: whether a byte of the statement may have left.
        is_too_large: whether the answer exceeded the size limit.
        sqlstate: SQLSTATE that the target gave before the end, or empty.
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
