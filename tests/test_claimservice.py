import curio

from carawaywheel.claimservice import AcquiredClaim, ClaimService
from carawaywheel.refusals import Ran, Reason

from .fakes import FakeLog

REQUEST = ("team/account", "dispatch", "crew-7")


def services(log):
    return [ClaimService(node, log, b"secret") for node in ("n1", "n2")]


def test_one_of_two_nodes_gets_the_claim():
    """Guards against a repeated dispatch that runs at a second node."""
    first, second = services(FakeLog())
    assert isinstance(curio.run(first.claim, *REQUEST), AcquiredClaim)
    refusal = curio.run(second.claim, *REQUEST)
    assert (refusal.reason, refusal.ran) == (Reason.DUPLICATE, Ran.UNKNOWN)


def test_without_the_log_nothing_runs_and_that_is_what_is_said():
    """Guards against a dispatch that runs unclaimed during an outage."""
    log = FakeLog()
    log.down = True
    first, _ = services(log)
    refusal = curio.run(first.claim, *REQUEST)
    assert (refusal.reason, refusal.ran) == (Reason.LOG_UNAVAILABLE, Ran.NOT_RUN)


def test_a_claim_whose_answer_was_lost_is_released():
    """Guards against a dispatch that was refused as not run and can never run."""
    log = FakeLog()
    log.lose_answers = 1
    first, second = services(log)

    async def run():
        refused = await first.claim(*REQUEST)
        blocked = await second.claim(*REQUEST)
        task = await curio.spawn(first.run)
        while first.pending_releases:
            await curio.sleep(0.01)
        await task.cancel()
        return refused, blocked, await second.claim(*REQUEST)

    refused, blocked, again = curio.run(run)
    assert refused.ran is Ran.NOT_RUN
    assert blocked.reason is Reason.DUPLICATE
    assert isinstance(again, AcquiredClaim)


def test_a_long_outage_keeps_the_release():
    """Guards against a release that is tried once and given up."""
    log = FakeLog()
    first, second = services(log)
    claimed = curio.run(first.claim, *REQUEST)
    log.down = True
    assert curio.run(first.release, claimed) is False
    log.down = False
    assert curio.run(first.release, claimed) is True
    assert isinstance(curio.run(second.claim, *REQUEST), AcquiredClaim)
