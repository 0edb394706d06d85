"""Saving of a node's record outside of its process."""

import random
from types import SimpleNamespace

import curio
import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.mesh.replication.directory import Directory, HostRecord
from carawaywheel.mesh.replication.publisher import (
    SAVE_SECONDS,
    STORE_PATIENCE_SECONDS,
    RecordPublisher,
)
from carawaywheel.mesh.target import Phase

OWN = HostRecord("h", "10.0.0.1:80", "a", "desk", 100, 0, int(Phase.GONE), 0)


class Setting:
    """A publisher on a paused clock, which each pause of its tasks advances.

    Attributes:
        store_delay: Seconds that the store takes for a write; None if it fails.
        peers: Number of other nodes, which accept records.
        told: Records that they were told.
    """

    def __init__(self, monkeypatch):
        self.clock = ManualClock(10.0)
        self.store_delay = 0.0
        self.peers = 0
        self.told = []
        self.former_is_leaving = False
        monitor = SimpleNamespace(
            merge_hosts=lambda *arguments: None, broadcast_record=self.tell
        )
        journal = SimpleNamespace(write=lambda event, **fields: None)
        self.publisher = RecordPublisher(
            self, "t", OWN, Directory(), monitor, journal, self.clock, random.Random(1)
        )
        sleep = curio.sleep

        async def advance(seconds):
            await sleep(0)
            self.clock.advance(min(seconds, 0.01))

        monkeypatch.setattr(curio, "sleep", advance)

    async def put(self, table, key, value):
        """Take a write as the store does."""
        if self.store_delay is None:
            raise LogError("the store is down")
        ends_at = self.clock.now() + self.store_delay
        while self.clock.now() < ends_at:
            await curio.sleep(0.01)
        return 1

    async def tell(self, record, on_accepted):
        """Tell the other nodes a record."""
        self.told.append(record)
        for _ in range(self.peers):
            on_accepted(record)

    def save(self, *phases):
        """Publish phases one after another; return whether and when each is saved."""

        async def run():
            writer = await curio.spawn(self.publisher.run_writes, daemon=True)
            results = []
            for phase in phases:
                await self.publisher.publish(int(phase), 5)
                started_at = self.clock.now()
                saved = await self.publisher.wait_until_saved()
                results.append((saved, self.clock.now() - started_at))
            await writer.cancel()
            return results

        return curio.run(run)


@pytest.fixture
def setting(monkeypatch):
    return Setting(monkeypatch)


def test_record_that_the_store_takes_is_saved(setting):
    ((saved, seconds),) = setting.save(Phase.DRAINING)
    assert saved and seconds < 0.1 and not setting.told


def test_other_nodes_are_told_of_a_record_that_the_store_takes_late(setting):
    """Guards against a confirmation that comes later than a second."""
    setting.store_delay, setting.peers = 5.0, 2
    ((saved, seconds),) = setting.save(Phase.DRAINING)
    assert saved and STORE_PATIENCE_SECONDS <= seconds < STORE_PATIENCE_SECONDS + 0.1


def test_record_that_nobody_takes_is_not_saved(setting):
    setting.store_delay = None
    ((saved, seconds),) = setting.save(Phase.GONE)
    assert not saved and SAVE_SECONDS <= seconds < 1.0


def test_each_change_is_told_at_once_while_the_store_is_down(setting):
    """Only a record that they were told already is told again after a pause."""
    setting.store_delay, setting.peers = None, 1
    results = setting.save(Phase.DRAINING, Phase.GONE)
    assert [saved for saved, _ in results] == [True, True]
    assert all(seconds < STORE_PATIENCE_SECONDS + 0.1 for _, seconds in results)
    phases = [record.phase for record in setting.told]
    assert phases == sorted(phases) and set(phases) == {1, 2}


def test_nodes_that_become_known_later_are_told_in_time(setting):
    """Guards against a leaving that is not confirmed, since it was told to nobody."""
    setting.store_delay = None
    tell = setting.tell

    async def learn_of_node(record, on_accepted):
        await tell(record, on_accepted)
        setting.peers = 1

    setting.publisher.peer_monitor.broadcast_record = learn_of_node
    ((saved, seconds),) = setting.save(Phase.GONE)
    assert saved and seconds < SAVE_SECONDS


def test_leaving_that_a_former_process_knew_of_is_published_again(setting):
    """Guards against a second restart after which nobody knows of it."""
    publisher = setting.publisher
    publisher.on_former_leaving = lambda: True
    former = OWN._replace(
        incarnation=90, sequence=7, phase=int(Phase.DRAINING), slots=5
    )
    publisher.supersede_former(former)
    assert publisher.record.is_leaving and publisher.published
    assert publisher.record.revision > OWN.revision
    publisher.on_former_leaving = lambda: False
    former = former._replace(incarnation=200)
    publisher.supersede_former(former)
    assert publisher.record.is_leaving and publisher.record.incarnation == 201
