"""A node is stopped gracefully while requests that it has accepted wait in a queue."""

import asyncio
import signal
from pathlib import Path

from review.deployment.deployment import (
    BOUNDS,
    Deployment,
    configuration,
    route,
    run_case,
)

# Time limit of the clients, and time-out of the route.
LIMIT_SECONDS = 6.0
WORK_SECONDS = 0.8
SLOTS = 4
REQUESTS = 18
# Before the second miss of the readiness check, which is made once per second.
SENT_AFTER_SECONDS = 1.8
CLOSE_EVENT_SECONDS = 0.3


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Play the case; return whether LOST was kept."""
    routes = [route("order", "non_idempotent", "yard", timeout_s=LIMIT_SECONDS)]
    await deployment.start(configuration(1, routes), slots=SLOTS, work=WORK_SECONDS)
    await warm_up(deployment)
    record = deployment.record
    stopped_at = record.now()
    if trouble:
        deployment.signal_node("h1", signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_SECONDS)
    limit_ms = int(LIMIT_SECONDS * 1000)
    sent = [
        deployment.request("h1", f"/order/{number}", "POST", b"order", limit_ms)
        for number in range(REQUESTS)
    ]
    answers = await asyncio.gather(*sent)
    await asyncio.sleep(CLOSE_EVENT_SECONDS)
    lost = [
        attempt
        for attempt, exchange in answers
        if exchange.ended == "closed"
        and exchange.ended_at - exchange.sent_at > BOUNDS["loss_slack_s"]
        and exchange.ended_at - exchange.sent_at < LIMIT_SECONDS
        and not was_at_work_late(deployment, attempt, stopped_at)
    ]
    for attempt in lost:
        record.write("lost", id=attempt)
    return not lost


async def warm_up(deployment: Deployment) -> None:
    """Wait until requests are served, and serve some one after the other."""

    async def is_served() -> bool:
        _, exchange = await deployment.request(
            "h1", "/order/warm", "POST", b"order", quiet=True
        )
        return exchange.status == 200

    await deployment.wait_for(is_served, "requests are served")
    for number in range(3):
        await deployment.request("h1", f"/order/warm{number}", "POST", b"order")


def was_at_work_late(deployment: Deployment, attempt: str, stopped_at: float) -> bool:
    """Return whether a server worked on a request in the last sixth of the grace."""
    last_sixth = stopped_at + BOUNDS["grace_s"] * 5 / 6
    ends = deployment.record.of("run ends")
    return any(fields["id"] == attempt and at >= last_sixth for at, fields in ends)


if __name__ == "__main__":
    run_case(Path(__file__).parent, ["desk", "yard"], play)
