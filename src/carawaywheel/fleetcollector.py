"""Collects status, events and summaries of all nodes of the fleet."""

import json
from typing import Any, NamedTuple

import curio
import msgspec

from .clock import Clock
from .control import ControlClient
from .errors import LogError, RecordError
from .events import Event, decode_events, merge_events
from .logservice import LogService
from .membership import Membership
from .records import decode
from .signing import Signer
from .summaries import Summary

QUERY_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_QUERIES = 32
SUMMARY_STREAM = "summary"
MAX_RECORDS_PER_READ = 1000


class FleetResponses(NamedTuple):
    """Responses of the nodes to one query.

    Attributes:
        contents: Response body by node id.
        missing: Ids of the nodes that did not respond.
    """

    contents: dict[str, bytes]
    missing: list[str]


class FleetCollector:
    """Queries all live nodes and reads the summary stream of the log."""

    def __init__(
        self, membership: Membership, log: LogService, signer: Signer, clock: Clock
    ) -> None:
        self.membership = membership
        self.log = log
        self.signer = signer
        self.clock = clock
        self.control = ControlClient(signer)

    def live_nodes(self) -> list[tuple[str, str]]:
        """Return the id and the peer address of each live node, this one included."""
        members = self.membership.members(self.clock.now())
        return [(member.node_id, member.peer_address) for member in members]

    def other_live_nodes(self) -> list[tuple[str, str]]:
        """Return the id and the peer address of each other live node."""
        own_id = self.membership.own.node_id
        return [node for node in self.live_nodes() if node[0] != own_id]

    async def query_nodes(self, target: str) -> FleetResponses:
        """Send a control request to every live node, this one included."""
        contents: dict[str, bytes] = {}
        missing: list[str] = []
        query_slots = curio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(node_id: str, address: str) -> None:
            async with query_slots:
                content = await self.query_node(address, target)
            if content is None:
                missing.append(node_id)
            else:
                contents[node_id] = content

        async with curio.TaskGroup() as group:
            for node_id, address in self.live_nodes():
                await group.spawn(query, node_id, address)
        return FleetResponses(contents, sorted(missing))

    async def query_node(self, address: str, target: str) -> bytes | None:
        """Send a control request to one node; return None if it does not respond."""
        return await self.control.request(address, "GET", target, QUERY_TIMEOUT_SECONDS)

    async def status(self) -> dict[str, Any]:
        """Return the status of all nodes."""
        responses = await self.query_nodes("/status")
        nodes = [json.loads(content) for content in responses.contents.values()]
        nodes.sort(key=lambda node: str(node["node"]))
        return {"nodes": nodes, "missing": responses.missing}

    async def events(self, query: str) -> tuple[list[Event], list[str]]:
        """Return the merged events of all nodes, and the ids of missing nodes."""
        responses = await self.query_nodes(f"/events{query}")
        buffers = []
        missing = list(responses.missing)
        for node_id, content in responses.contents.items():
            try:
                buffers.append(decode_events(content))
            except msgspec.DecodeError:
                missing.append(node_id)
        return merge_events(buffers), sorted(missing)

    async def summaries(self) -> tuple[list[Summary], str]:
        """Return the retained summaries, and the log's read error or an empty text."""
        summaries: list[Summary] = []
        offset = 0
        try:
            while True:
                batch = await self.log.read(
                    SUMMARY_STREAM, offset, MAX_RECORDS_PER_READ, 0.0
                )
                summaries += self.decode_summaries(batch.records)
                if not batch.records:
                    return summaries, ""
                offset = batch.next_offset
        except LogError as error:
            return summaries, f"cannot read summaries from the log: {error}"

    def decode_summaries(self, records: list[tuple[int, bytes]]) -> list[Summary]:
        """Decode summaries; malformed records are skipped."""
        summaries = []
        for _, data in records:
            try:
                record = decode(data, self.signer.secret)
            except RecordError:
                continue
            if isinstance(record, Summary):
                summaries.append(record)
        return summaries
