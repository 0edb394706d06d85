"""Tree of errors under one base."""


class CarawaywheelError(Exception):
    """Base of all errors of this package.

    Attributes:
        message: What went wrong, in one sentence.
        step: The step at which the error arose, such as ``connect``.
        peer: The peer or the place of the input, such as an address or a path.
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
    """A flag or environment variable has a value that is not allowed."""


class PolicyError(CarawaywheelError):
    """A policy document is invalid; ``peer`` holds the path in the document."""


class RecordError(CarawaywheelError):
    """A record of the log cannot be decoded or has a wrong signature."""


class ProtocolError(CarawaywheelError):
    """A peer, caller or target broke the protocol."""


class PeerError(CarawaywheelError):
    """A connection to a peer or target failed.

    Attributes:
        maybe_sent: Whether any byte of the request may have reached the peer.
    """

    def __init__(
        self, message: str, step: str = "", peer: str = "", maybe_sent: bool = False
    ) -> None:
        super().__init__(message, step, peer)
        self.maybe_sent = maybe_sent


class LogError(CarawaywheelError):
    """The platform's log failed or did not answer in time.

    Attributes:
        outcome_unknown: Whether an append may have taken effect all the same.
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
