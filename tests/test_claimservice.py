import curio

from carawaywheel.claimservice import AcquiredClaim, ClaimService
from carawaywheel.refusals import Ran, Reason

from .fakes import FakeLog

REQUEST = ("team/account", "dispatch", "crew-7")


def services(log):
    return [ClaimService(node, log, b"secret") for node in ("n1", "n2")]


def test_only_one_of_two_nodes_acquires_the_claim():
    """Guards against a retried request that runs at a second node."""
    first, second = services(FakeLog())
    assert isinstance(curio.run(first.claim, *REQUEST), AcquiredClaim)
    refusal = curio.run(second.claim, *REQUEST)
    assert (refusal.reason, refusal.ran) == (Reason.DUPLICATE, Ran.UNKNOWN)


def test_unavailable_log_refuses_the_request_as_not_run():
    """Guards against running a request without a claim during an outage of the log."""
    log = FakeLog()
    log.down = True
    first, _ = services(log)
    refusal = curio.run(first.claim, *REQUEST)
    assert (refusal.reason, refusal.ran) == (Reason.LOG_UNAVAILABLE, Ran.NOT_RUN)


def test_claim_is_released_after_the_append_response_was_lost():
    """Guards against a request refused as not run whose retries are all refused."""
    log = FakeLog()
    log.responses_to_lose = 1
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


def test_release_succeeds_after_an_outage_of_the_log():
    """Guards against a release that is dropped when the log is unavailable."""
    log = FakeLog()
    first, second = services(log)
    claimed = curio.run(first.claim, *REQUEST)
    log.down = True
    assert curio.run(first.release, claimed) is False
    log.down = False
    assert curio.run(first.release, claimed) is True
    assert isinstance(curio.run(second.claim, *REQUEST), AcquiredClaim)
