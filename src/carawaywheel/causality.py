"""Total order of events that is consistent with causality despite clock skew."""

import heapq
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator

EventKey = tuple[str, int]


class CausalOrder:
    """Iterates over event keys in topological order, concurrent events by time.

    Args:
        times: Wall clock in seconds of each event, by node id and sequence number.
        edges: Pairs of cause and effect; pairs with an unknown event are ignored. The
            order of the events of one node is implied.
    """

    def __init__(
        self,
        times: dict[EventKey, float],
        edges: Iterable[tuple[EventKey, EventKey]],
    ) -> None:
        self.times = times
        self.chains = chains_by_node(times)
        self.effects: dict[EventKey, list[EventKey]] = defaultdict(list)
        self.pending_causes: Counter[EventKey] = Counter()
        self.emitted: set[EventKey] = set()
        for chain in self.chains.values():
            for cause, effect in zip(chain, list(chain)[1:], strict=False):
                self.add_edge(cause, effect)
        for cause, effect in edges:
            if cause in times and effect in times and cause != effect:
                self.add_edge(cause, effect)

    def add_edge(self, cause: EventKey, effect: EventKey) -> None:
        """Add a pair of cause and effect."""
        self.effects[cause].append(effect)
        self.pending_causes[effect] += 1

    def __iter__(self) -> Iterator[EventKey]:
        ready = [
            self.sort_key(key) for key in self.times if not self.pending_causes[key]
        ]
        heapq.heapify(ready)
        while len(self.emitted) < len(self.times):
            key = heapq.heappop(ready)[1:] if ready else self.break_cycle()
            if key in self.emitted:
                continue
            self.emitted.add(key)
            yield key
            for effect in self.effects[key]:
                self.pending_causes[effect] -= 1
                if not self.pending_causes[effect]:
                    heapq.heappush(ready, self.sort_key(effect))

    def sort_key(self, key: EventKey) -> tuple[float, str, int]:
        """Return the sort key of an event among those whose causes were all emitted."""
        return (self.times[key], *key)

    def break_cycle(self) -> EventKey:
        """Return the earliest of the next events of all nodes, ignoring its causes."""
        candidates = []
        for chain in self.chains.values():
            while chain and chain[0] in self.emitted:
                chain.popleft()
            if chain:
                candidates.append(self.sort_key(chain[0]))
        return min(candidates)[1:]


def chains_by_node(keys: Iterable[EventKey]) -> dict[str, deque[EventKey]]:
    """Return the event keys of each node in sequence order."""
    chains: dict[str, deque[EventKey]] = defaultdict(deque)
    for key in sorted(keys):
        chains[key[0]].append(key)
    return chains
