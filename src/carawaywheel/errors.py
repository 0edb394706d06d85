"""Exception hierarchy of the package."""


class CarawaywheelError(Exception):
    """Base class of all errors of this package.

    Attributes:
        message: What went wrong, in one sentence.
        step: The operation that failed, such as ``connect``.
        peer: The peer, or the location in the input, such as an address or a path.
    """

    def __init__(self, message: str, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = ", ".join(part for part in (self.step, self.peer) if part)
        return f"{self.message} ({place})" if place else self.message


class SettingsError(CarawaywheelError):
    """A flag or environment variable has an invalid value."""


class PolicyError(CarawaywheelError):
    """A policy document is invalid; ``peer`` is the path within the document."""


class RecordError(CarawaywheelError):
    """A log record cannot be decoded or has an invalid signature."""


class ProtocolError(CarawaywheelError):
    """A peer, caller or target violated the protocol."""


class PeerError(CarawaywheelError):
    """A connection to a peer or target failed.

    Attributes:
        maybe_sent: Whether any part of the request may have reached the peer.
    """

    def __init__(
        self, message: str, step: str = "", peer: str = "", maybe_sent: bool = False
    ) -> None:
        super().__init__(message, step, peer)
        self.maybe_sent = maybe_sent


class LogError(CarawaywheelError):
    """The platform's log failed or did not respond in time.

    Attributes:
        outcome_unknown: Whether an append may have taken effect nevertheless.
    """

    def __init__(
        self,
        message: str,
        step: str = "",
        peer: str = "",
        outcome_unknown: bool = False,
    ) -> None:
        super().__init__(message, step, peer)
        self.outcome_unknown = outcome_unknown
