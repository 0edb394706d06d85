"""What a node knows: the configuration and the other hosts."""

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
    """What a node tells the others of its host.

    Attributes:
        node_id: Name of the node.
        address: Address for other nodes; the key of the record.
        domain: Failure domain.
        service: Service of the target.
        incarnation: Start of the node; a later one is higher.
        sequence: Number of the record in this incarnation.
        phase: Phase of the target; ``GONE`` also while it is unknown.
        slots: Requests that the target runs at once.
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
        """Place of the record among those of its host."""
        return self.incarnation, self.sequence


decoder = msgspec.msgpack.Decoder(HostRecord)
encode_record = msgspec.msgpack.encode


def decode_record(key: str, value: bytes) -> HostRecord:
    """Decode the record of a host.

    Raises:
        RecordError: If it cannot be read; ``peer`` holds its key.
    """
    try:
        record = decoder.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(str(error), "decode host", key) from error
    if record.address != key:
        raise RecordError("the record names another host", "decode host", key)
    return record


class Directory:
    """The newest configuration and the newest record of each host.

    Attributes:
        configuration: The configuration in force; None before the first one.
        hosts: Records by address.
        hosts_known: Whether the records of others were read or passed on by one.
    """

    def __init__(self) -> None:
        self.hosts_known = False
        self.configuration: MeshConfiguration | None = None
        self.hosts: dict[str, HostRecord] = {}

    @property
    def configuration_version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def update_configuration(self, configuration: MeshConfiguration) -> bool:
        """Take a configuration if it is newer; return whether it is."""
        if configuration.version <= self.configuration_version:
            return False
        self.configuration = configuration
        return True

    def merge(self, record: HostRecord) -> bool:
        """Take a record if it is newer; return whether it is."""
        known = self.hosts.get(record.address)
        if known is not None and record.revision <= known.revision:
            return False
        self.hosts[record.address] = record
        return True

    def candidates(self) -> list[Candidate]:
        """Return the targets for the router."""
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
        """Return how many targets of a service take new work."""
        return sum(
            record.service == service and record.phase == Phase.READY
            for record in self.hosts.values()
        )
