import random

import curio

from carawaywheel.borrowers import Borrower, LenderRef
from carawaywheel.charging import ChargingService
from carawaywheel.clock import SystemClock
from carawaywheel.datagrams import DatagramSocket
from carawaywheel.lenders import Lender
from carawaywheel.settings import ShareSettings
from carawaywheel.shares import hash_slot
from carawaywheel.signing import Signer

ACCOUNT = "team/account"


def test_grant_from_the_own_lender_wakes_the_caller_at_once():
    """Guards against a caller that waits for its timeout after a local grant.

    The grant arrives while the request for it is still being sent.
    """
    settings = ShareSettings(reply_timeout=30.0)
    clock = SystemClock()
    now = clock.now()
    lender = Lender(settings, "a", ["a"], random.Random(1))
    slot = hash_slot(ACCOUNT, settings)
    lender.acquire_slot(slot, now - 100.0, now - 100.0)
    lender.set_account(ACCOUNT, 1000.0, 1000.0, now - 100.0)
    borrower = Borrower(settings, "n1", 1, "a")
    borrower.set_lenders(slot, [LenderRef("n1", "a", 1)])

    async def charge():
        sock = DatagramSocket("127.0.0.1", 0, Signer(b"secret"))
        service = ChargingService("n1", borrower, lender, sock, clock)
        refusal = await curio.timeout_after(5.0, service.charge, ACCOUNT)
        await sock.close()
        return refusal

    assert curio.run(charge) is None
