"""Directory of the mesh: the configuration and the records of all hosts."""

import functools
from typing import NamedTuple

import msgspec

from ...errors import RecordError
from ...routing import Candidate, TargetState
from ..configuration import MeshConfiguration
from ..evacuation import Evacuations
from ..target import Phase
from .store import START, Position

# More than the hosts of a large mesh, since each change of one concerns the candidates
# of all.
CACHED_CANDIDATES = 4096

STATE_BY_PHASE = {
    Phase.READY: TargetState.READY,
    Phase.DRAINING: TargetState.DRAINING,
    Phase.GONE: TargetState.LEFT,
}


class HostRecord(NamedTuple):
    """Record that a node publishes about its host.

    Attributes:
        node_id: Name of the node.
        address: Address of the node for its peers; the key of the record.
        domain: Failure domain of the host.
        service: Service of the local target.
        incarnation: Incarnation of the node; higher after each start.
        sequence: Sequence number of the record within the incarnation.
        phase: Phase of the target; ``GONE`` also before its first heartbeat.
        slots: Requests that the target runs concurrently; 0 if the node stops beside a
            target that stays.
    """

    node_id: str
    address: str
    domain: str
    service: str
    incarnation: int
    sequence: int
    phase: int
    slots: int

    @property
    def revision(self) -> tuple[int, int]:
        """Revision of the record; records with a higher one replace it."""
        return self.incarnation, self.sequence

    @property
    def is_leaving(self) -> bool:
        """Whether the target itself is leaving, and not only its node."""
        return self.phase != Phase.READY and self.slots > 0


decoder = msgspec.msgpack.Decoder(HostRecord)
encode_record = msgspec.msgpack.encode


def decode_record(key: str, value: bytes) -> HostRecord:
    """Decode the record of a host.

    Raises:
        RecordError: If the record is malformed or belongs to another host; ``peer``
            holds its key.
    """
    try:
        record = decoder.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(str(error), "decode host", key) from error
    if record.address != key:
        raise RecordError(
            f"expected the record of {key}, found that of {record.address}",
            "decode host",
            key,
        )
    check_record(record)
    return record


def check_record(record: HostRecord) -> None:
    """Check that the values of a record can be used.

    Raises:
        RecordError: If the address or the phase is not valid; ``peer`` holds the
            address.
    """
    host, _, port = record.address.rpartition(":")
    if not host or not port.isdecimal():
        raise RecordError(
            f"address {record.address!r} is not ip:port", "check host", record.address
        )
    if record.phase not in STATE_BY_PHASE:
        raise RecordError(
            f"phase {record.phase} is unknown", "check host", record.address
        )


class Directory:
    """The newest configuration and the newest record of each host.

    Attributes:
        configuration: Configuration in effect; None before the first one.
        hosts: Host records by address.
        evacuations: Failure domains whose targets get no requests.
        hosts_known: Whether the records of all hosts have been read from the store or
            received from a peer that had read them.
        hosts_position: Position in the store up to which all records are known.
        positions: Position in the store of the newest record of each host, by address;
            a record that only its node has told has none.
    """

    def __init__(self) -> None:
        self.hosts_known = False
        self.configuration: MeshConfiguration | None = None
        self.hosts: dict[str, HostRecord] = {}
        self.evacuations = Evacuations()
        self.hosts_position = START
        self.positions: dict[str, Position] = {}

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in effect; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def update_configuration(self, configuration: MeshConfiguration) -> bool:
        """Replace the configuration by a newer one; return whether it was newer."""
        if configuration.version <= self.configuration_version:
            return False
        self.configuration = configuration
        return True

    def merge(self, record: HostRecord) -> bool:
        """Replace the record of a host by a newer one; return whether it was newer."""
        current = self.hosts.get(record.address)
        if current is not None and record.revision <= current.revision:
            return False
        self.hosts[record.address] = record
        return True

    def record_position(self, address: str, position: Position) -> None:
        """Note the position in the store at which a record of a host was read."""
        if position >= self.positions.get(address, START):
            self.positions[address] = position

    def changes_since(self, position: Position) -> list[tuple[Position, HostRecord]]:
        """Return the records that changed in the store at a position or later.

        From the start on, these are all records, also those that are not known to be in
        the store.
        """
        positions = self.positions
        return [
            (positions.get(address, START), record)
            for address, record in self.hosts.items()
            if positions.get(address, START) >= position
        ]

    def is_evacuated(self, record: HostRecord) -> bool:
        """Return whether the target of a host gets no requests."""
        return record.domain in self.evacuations.active

    def candidates(self) -> list[Candidate]:
        """Return the targets outside of evacuated domains as routing candidates."""
        return [
            routing_candidate(record)
            for record in self.hosts.values()
            if not self.is_evacuated(record)
        ]

    def ready_addresses(self, service: str) -> list[str]:
        """Return the addresses of the targets of a service that accept new work."""
        return [
            record.address
            for record in self.hosts.values()
            if record.service == service
            and record.phase == Phase.READY
            and not self.is_evacuated(record)
        ]


@functools.lru_cache(maxsize=CACHED_CANDIDATES)
def routing_candidate(record: HostRecord) -> Candidate:
    """Return the target of a host as a routing candidate."""
    return Candidate(
        record.address,
        record.node_id,
        record.service,
        record.address,
        record.domain,
        max(1, record.slots),
        STATE_BY_PHASE[Phase(record.phase)],
        0.0,
    )
