"""An endpoint deregisters at a node that has just started again.

The node is killed and started. Before the first check-in reaches the new process, the
endpoint deregisters there and gets its confirmation. A check-in that it had sent before
all that arrives late.
"""

import asyncio
import sys
import time
from pathlib import Path

from review.common.installation import (
    BROKEN,
    DRAIN_SECONDS,
    HELD,
    NOT_RUN,
    ORDER,
    STABLE_WINDOW_SECONDS,
    Installation,
    NotRun,
    new_id,
    run_case,
)

SERVICES = ["yard", "yard", "desk"]
LEAVING_HOST, CLIENT_HOST = 1, 3
RESTART_SECONDS = 1.0
LATE_SECONDS = 1.5
STAYS_SECONDS = 8.0
WORK_SECONDS = 0.3
PAUSE_SECONDS = 0.04


async def send_order(installation: Installation) -> tuple[str, float, int]:
    """Send an order; return its id, the time of its sending and the status."""
    attempt, sent_at = new_id(), time.time()
    path = f"{ORDER}crew?work={WORK_SECONDS}"
    answer = await installation.send(CLIENT_HOST, "POST", path, attempt, b"crew 7")
    return attempt, sent_at, answer.status


async def confirmed_at(installation: Installation) -> float:
    """Wait until the endpoint's leaving is confirmed; return the time."""
    ends_at = time.time() + 15.0
    while time.time() < ends_at:
        for event in installation.endpoint_events(LEAVING_HOST):
            if event["event"] == "leaving confirmed":
                return float(event["at"])
        await asyncio.sleep(0.05)
    raise NotRun("the leaving of the endpoint was not confirmed")


async def play(installation: Installation, troubled: bool) -> int:
    """Play the case."""
    await installation.command_endpoint(LEAVING_HOST, {"hold_up": True})
    if troubled:
        installation.kill_node(LEAVING_HOST)
    command = {"leave": True, "stays_s": STAYS_SECONDS, "late_s": LATE_SECONDS}
    await installation.command_endpoint(LEAVING_HOST, command)
    if troubled:
        await asyncio.sleep(RESTART_SECONDS)
        installation.start_node(LEAVING_HOST)
    confirmation = await confirmed_at(installation)
    installation.note("leaving confirmed by node 1", confirmation)
    # From here on all machines are in touch again.
    settled_at = confirmation + max(DRAIN_SECONDS, STABLE_WINDOW_SECONDS) + 0.5
    await asyncio.sleep(settled_at - time.time())
    tasks = []
    while time.time() < confirmation + STAYS_SECONDS + 1.0:
        tasks.append(asyncio.ensure_future(send_order(installation)))
        await asyncio.sleep(PAUSE_SECONDS)
    orders = {
        attempt: (at, status) for attempt, at, status in await asyncio.gather(*tasks)
    }
    for attempt, (at, status) in orders.items():
        installation.note(f"order {attempt} sent, answered {status}", at)
    for host in (1, 2):
        installation.note_endpoint(host, ("answered",))
    return judge(installation, confirmation, orders)


def judge(
    installation: Installation,
    confirmation: float,
    orders: dict[str, tuple[float, int]],
) -> int:
    """Count the orders that reached the endpoint too late, and those lost there."""
    events = installation.endpoint_events(LEAVING_HOST)
    late = [
        event["id"]
        for event in events
        if event["event"] == "run"
        and event["id"] in orders
        and event["at"] > confirmation + DRAIN_SECONDS
    ]
    answered = {event["id"] for event in events if event["event"] == "answered"}
    lost = [attempt for attempt in late if attempt not in answered]
    statuses = sorted({orders[attempt][1] for attempt in lost})
    installation.note(
        f"DRAIN: {len(late)} of {len(orders)} orders reached the endpoint more than "
        f"{DRAIN_SECONDS} s after its leaving was confirmed; {len(lost)} of them were "
        f"lost as it exited, answered {statuses}"
    )
    if late:
        return BROKEN
    served = sum(status == 200 for _, status in orders.values())
    return HELD if served > len(orders) / 2 else NOT_RUN


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, SERVICES, play))
