"""Fakes of the platform's services."""

from carawaywheel.errors import LogError
from carawaywheel.logservice import LogService, RecordBatch


class FakeLog(LogService):
    """An in-memory log whose calls can fail.

    While `down`, an append has no effect; with `responses_to_lose`, it takes effect
    although it raises an error.
    """

    def __init__(self):
        self.streams = {}
        self.first_offsets = {}
        self.down = False
        self.responses_to_lose = 0
        self.reads = 0
        self.waits = []

    async def append(self, stream, data):
        if self.down:
            raise LogError("down", "append", "fake", outcome_unknown=False)
        records = self.streams.setdefault(stream, [])
        records.append(data)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise LogError("response lost", "append", "fake", outcome_unknown=True)
        return len(records) - 1

    async def read(self, stream, offset, limit, wait):
        self.reads += 1
        self.waits.append(wait)
        if self.down:
            raise LogError("down", "read", "fake")
        first = self.first_offsets.get(stream, 0)
        records = list(enumerate(self.streams.get(stream, [])))
        found = [item for item in records if item[0] >= max(first, offset)][:limit]
        next_offset = found[-1][0] + 1 if found else max(offset, len(records))
        return RecordBatch(first, next_offset, found)
