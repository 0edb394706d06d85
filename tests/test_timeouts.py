import curio
import pytest

from carawaywheel.timeouts import Timeout


async def sleep_within(seconds, sleep_seconds):
    async with Timeout(seconds, await curio.current_task()):
        await curio.sleep(sleep_seconds)


def test_block_ends_at_its_timeout_and_the_task_goes_on():
    """A request that is not ended holds its slot; a timeout that stays ends others."""

    async def run():
        with pytest.raises(curio.TaskTimeout):
            await sleep_within(0.02, 5.0)
        await sleep_within(0.02, 0.0)
        await curio.sleep(0.05)

    curio.run(run)


def test_outer_timeout_of_curio_ends_the_block():
    """The earlier of two timeouts counts, and only its owner may report it."""

    async def run():
        with pytest.raises(curio.TaskTimeout):
            async with curio.timeout_after(0.02):
                with pytest.raises(curio.TimeoutCancellationError):
                    await sleep_within(5.0, 5.0)
                raise curio.TaskTimeout(await curio.clock())

    curio.run(run)
