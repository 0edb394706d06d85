"""A key is withdrawn while both nodes that read the store for others stand still."""

import asyncio
import hashlib
import signal
from pathlib import Path

from review.deployment.deployment import (
    BOUNDS,
    KEY,
    Deployment,
    configuration,
    route,
    run_case,
)

HOSTS = 20
# A tenth of the hosts.
FROZEN = 2
FREEZE_SECONDS = 5.0
OTHER_KEY = "another-key-of-the-mill"
# Between the end of the start and the disruption, and from that to the withdrawal.
CALM_SECONDS = 4.0
WITHDRAWAL_AFTER_SECONDS = 0.3
# From the end of config_apply_s to the only request that each node gets.
MARGIN_SECONDS = 0.05
LAST_REQUEST_SECONDS = 1.0


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Play the case; return whether CONFIG was kept."""
    record = deployment.record
    routes = [route("read", "idempotent", "desk")]
    first, second = configuration(1, routes), configuration(2, routes)
    first["tenants"][0]["api_keys"] = [KEY, OTHER_KEY]
    second["tenants"][0]["api_keys"] = [OTHER_KEY]
    await deployment.start(first)
    for name in deployment.hosts:
        await deployment.wait_for(
            lambda name=name: is_served(deployment, name), f"{name} serves"
        )
    await asyncio.sleep(CALM_SECONDS)
    frozen = reading_hosts(deployment)
    record.write("reading nodes", hosts=frozen)
    if trouble:
        for name in frozen:
            deployment.signal_node(name, signal.SIGSTOP)
    await asyncio.sleep(WITHDRAWAL_AFTER_SECONDS)
    deployment.store.publish(second)
    confirmed_at = record.now()
    record.write("key withdrawn", version=2)
    calm = [name for name in deployment.hosts if name not in frozen]
    await asyncio.sleep(BOUNDS["config_apply_s"] + MARGIN_SECONDS)
    answers = await asyncio.gather(
        *(deployment.request(name, "/read/withdrawn") for name in calm)
    )
    await asyncio.sleep(FREEZE_SECONDS - (record.now() - confirmed_at))
    for name in frozen:
        deployment.signal_node(name, signal.SIGCONT)
    await asyncio.sleep(LAST_REQUEST_SECONDS)
    ran = {fields["id"] for _, fields in record.of("run")}
    accepted = [attempt for attempt, _ in answers if attempt in ran]
    record.write("withdrawn key", nodes=len(calm), accepted=len(accepted))
    return not accepted


def reading_hosts(deployment: Deployment) -> list[str]:
    """Return the hosts whose nodes read the store for the others.

    That follows from the addresses of the nodes.
    """

    def rank(name: str) -> bytes:
        address = deployment.hosts[name].at("inbound")
        return hashlib.blake2b(address.encode(), digest_size=8).digest()

    return sorted(deployment.hosts, key=rank)[:FROZEN]


async def is_served(deployment: Deployment, name: str) -> bool:
    """Return whether a node serves a request."""
    _, exchange = await deployment.request(name, "/read/first", quiet=True)
    return exchange.status == 200


if __name__ == "__main__":
    run_case(Path(__file__).parent, ["desk"] * HOSTS, play)
