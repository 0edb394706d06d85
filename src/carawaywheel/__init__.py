"""Overload control for service call graphs."""

from .clock import Clock, ManualClock, SystemClock
from .errors import (
    CarawaywheelError,
    LogError,
    PeerError,
    PolicyError,
    ProtocolError,
    RecordError,
    SettingsError,
)
from .refusals import Importance, Outcome, Ran, Reason, Refusal

__all__ = [
    "CarawaywheelError",
    "Clock",
    "Importance",
    "LogError",
    "ManualClock",
    "Outcome",
    "PeerError",
    "PolicyError",
    "ProtocolError",
    "Ran",
    "Reason",
    "RecordError",
    "Refusal",
    "SettingsError",
    "SystemClock",
]

__version__ = "0.1.0"
