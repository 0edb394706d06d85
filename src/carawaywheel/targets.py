"""The local target, which announces itself to the node beside it."""

from abc import ABC, abstractmethod
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from .errors import ProtocolError
from .routing import TargetState

ANNOUNCEMENT_MAX_AGE_SECONDS = 3.0
MAX_SLOTS = 100_000


class Announcement(TypedDict):
    """Announcement of a target, in the format of the platform.

    Attributes:
        target_id: Id of the target, new with each start.
        service: Service that the target serves.
        address: IP address and port of the target.
        slots: Requests that the target can run at once.
        connections: Connections that the target accepts.
        cold_start: Seconds until the target is warm.
        state: ``ready``, ``draining`` or ``left``.
        load: Load that the target reports; not used, as it may lag or be wrong.
    """

    target_id: Annotated[str, msgspec.Meta(min_length=1)]
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    cold_start: NotRequired[Annotated[float, msgspec.Meta(ge=0)]]
    state: NotRequired[Literal["ready", "draining", "left"]]
    load: NotRequired[float]


announcement_decoder = msgspec.json.Decoder(Announcement)


class LocalTarget(NamedTuple):
    """The target beside this node.

    Attributes:
        target_id: Id of the target.
        service: Service that it serves.
        address: IP address and port.
        slots: Declared slots.
        connections: Connections that it accepts.
        cold_until: Time until which it is cold, in seconds.
        state: Current state.
        seen_at: Time of its last announcement, in seconds.
    """

    target_id: str
    service: str
    address: str
    slots: int
    connections: int
    cold_until: float
    state: TargetState
    seen_at: float


class TargetSource(ABC):
    """Source of the state of the local target."""

    @abstractmethod
    def current(self, now: float) -> LocalTarget | None:
        """Return the local target, or None if no target has announced itself."""


class AnnouncedTarget(TargetSource):
    """The target that announced itself by a request to the node."""

    def __init__(self) -> None:
        self.target: LocalTarget | None = None

    def apply_announcement(self, data: bytes, peer: str, now: float) -> LocalTarget:
        """Apply an announcement.

        Raises:
            ProtocolError: If it is malformed, or another target is present.
        """
        announcement = decode_announcement(data, peer)
        known = self.target
        if known is not None and known.target_id == announcement["target_id"]:
            cold_until = known.cold_until
        else:
            self.check_no_other_target(announcement, peer, now)
            cold_until = now + announcement.get("cold_start", 0.0)
        self.target = LocalTarget(
            announcement["target_id"],
            announcement["service"],
            announcement["address"],
            announcement["slots"],
            announcement["connections"],
            cold_until,
            announced_state(announcement, cold_until, now),
            now,
        )
        return self.target

    def check_no_other_target(
        self, announcement: Announcement, peer: str, now: float
    ) -> None:
        """Check that no other target is present.

        Raises:
            ProtocolError: If another target announced itself and has not left.
        """
        current = self.current(now)
        if current is None or current.state is TargetState.LEFT:
            return
        raise ProtocolError(
            f"target {announcement['target_id']} is refused, because target "
            f"{current.target_id} is present",
            "announce",
            peer,
        )

    def current(self, now: float) -> LocalTarget | None:
        """Return the local target; its state is LEFT if announcements stopped."""
        target = self.target
        if target is None:
            return None
        if now - target.seen_at > ANNOUNCEMENT_MAX_AGE_SECONDS:
            return target._replace(state=TargetState.LEFT)
        if target.state is TargetState.COLD and now >= target.cold_until:
            return target._replace(state=TargetState.READY)
        return target


def decode_announcement(data: bytes, peer: str) -> Announcement:
    """Decode and validate an announcement.

    Raises:
        ProtocolError: If it is malformed; the message names the field.
    """
    try:
        return announcement_decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "announce", peer) from error


def announced_state(
    announcement: Announcement, cold_until: float, now: float
) -> TargetState:
    """Return the state of the target that sent an announcement."""
    state = announcement.get("state", "ready")
    if state == "draining":
        return TargetState.DRAINING
    if state == "left":
        return TargetState.LEFT
    return TargetState.COLD if now < cold_until else TargetState.READY
