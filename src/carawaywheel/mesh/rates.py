"""Datagrams between nodes that keep the rates of client accounts."""

import curio

from ..clock import Clock
from ..datagrams import Address, DatagramHandler, DatagramSocket, format_address
from .news import News
from .quotas import (
    REPORT_SECONDS,
    Grant,
    Quotas,
    Report,
    decode_message,
    encode_message,
)

KIND = b"q"


class RateService(DatagramHandler):
    """Sends reports, answers those of others and takes grants."""

    def __init__(
        self, quotas: Quotas, sock: DatagramSocket, news: News, clock: Clock
    ) -> None:
        self.quotas = quotas
        self.sock = sock
        self.news = news
        self.clock = clock
        self.port = int(sock.address.rpartition(":")[2])
        sock.handlers[KIND] = self

    async def receive(self, data: bytes, sender: Address) -> None:
        """Take a datagram; see the base class."""
        message = decode_message(data)
        now = self.clock.now()
        if isinstance(message, Report):
            grant = self.quotas.receive_report(message, now)
            await self.sock.send(
                KIND, encode_message(grant), format_address(sender)
            )
        elif isinstance(message, Grant):
            self.quotas.receive_grant(message, now)

    async def run(self) -> None:
        """Report at intervals until cancelled."""
        while True:
            await curio.sleep(REPORT_SECONDS)
            now = self.clock.now()
            self.quotas.set_nodes(sorted(self.news.directory.hosts), self.news.live())
            for home, report in self.quotas.reports(now):
                if home == self.quotas.address:
                    self.quotas.receive_grant(
                        self.quotas.receive_report(report, now), now
                    )
                elif home:
                    address = f"{home.rpartition(':')[0]}:{self.port}"
                    await self.sock.send(KIND, encode_message(report), address)
