"""Directory of the mesh: the configuration and the records of all hosts."""

from typing import NamedTuple

import msgspec

from ..errors import RecordError
from ..routing import Candidate, TargetState
from .configuration import MeshConfiguration
from .target import Phase

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
        slots: Requests that the target runs concurrently.
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
    return record


class Directory:
    """The newest configuration and the newest record of each host.

    Attributes:
        configuration: Configuration in effect; None before the first one.
        hosts: Host records by address.
        hosts_known: Whether the records of all hosts have been read from the store or
            received from a peer that had read them.
    """

    def __init__(self) -> None:
        self.hosts_known = False
        self.configuration: MeshConfiguration | None = None
        self.hosts: dict[str, HostRecord] = {}

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

    def candidates(self) -> list[Candidate]:
        """Return the targets of all hosts as routing candidates."""
        return [
            Candidate(
                record.address,
                record.node_id,
                record.service,
                record.address,
                record.domain,
                max(1, record.slots),
                STATE_BY_PHASE[Phase(record.phase)],
                0.0,
            )
            for record in self.hosts.values()
        ]

    def count_ready_targets(self, service: str) -> int:
        """Return how many targets of a service accept new work."""
        return sum(
            record.service == service and record.phase == Phase.READY
            for record in self.hosts.values()
        )
