"""Configuration documents that this node cannot read.

A document that cannot be read never comes into force. A node keeps serving by the
configuration in force; one that has none serves nothing, and its operator must learn
why.
"""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from .metrics import Gauge

STORE_ORIGIN = "store"
# Documents of which the digest is kept, so that each is logged once. Peers and the
# store offer the same few again and again.
MAX_KNOWN_DOCUMENTS = 64


class UnreadableDocument(NamedTuple):
    """A document that cannot be read.

    Attributes:
        version: Version that it states; None if that cannot be read.
        error: Why it cannot be read, with the position in the document.
    """

    version: int | None
    error: str


class UnreadableDocuments:
    """Tracks whether the newest document that this node has seen is unreadable.

    Attributes:
        newest: The newest document, if it is unreadable; None if it is in force.
        digests: Digests of unreadable documents, the last one seen last.
        is_alone: Whether no configuration was known when ``newest`` was seen.
    """

    def __init__(self) -> None:
        self.newest: UnreadableDocument | None = None
        self.digests: OrderedDict[bytes, None] = OrderedDict()
        self.is_alone = False

    def record_unreadable(
        self, source: bytes, document: UnreadableDocument, version_in_force: int
    ) -> bool:
        """Note an unreadable document; return whether it is seen for the first time.

        Args:
            source: The document.
            document: What is known of it.
            version_in_force: Version of the configuration in force; 0 for none.
        """
        version = document.version
        known_version = (self.newest.version if self.newest else None) or 0
        if version is None or version > max(version_in_force, known_version - 1):
            self.newest = document
            self.is_alone = not version_in_force
        digest = hashlib.blake2b(source, digest_size=16).digest()
        is_first = digest not in self.digests
        self.digests[digest] = None
        self.digests.move_to_end(digest)
        if len(self.digests) > MAX_KNOWN_DOCUMENTS:
            self.digests.popitem(last=False)
        return is_first

    def record_readable(self, version: int, origin: str) -> None:
        """Note a document that can be read.

        The store holds only the newest document, but a peer may pass on an older one.
        Without the version of the unreadable document, the first one that a peer passes
        on to a node without any counts as older.

        Args:
            version: Version of the document.
            origin: Who told it.
        """
        if self.newest is None:
            return
        is_newer = self.newest.version is not None and version >= self.newest.version
        if self.newest.version is None:
            is_newer = not self.is_alone
            self.is_alone = False
        if origin == STORE_ORIGIN or is_newer:
            self.newest = None

    def gauges(self) -> list[Gauge]:
        """Return the gauge that tells whether the newest document is unreadable."""
        version = ""
        if self.newest is not None and self.newest.version is not None:
            version = str(self.newest.version)
        return [
            Gauge(
                "carawaywheel_configuration_unreadable",
                "Whether the newest configuration document seen cannot be read.",
                {"version": version},
                float(self.newest is not None),
            )
        ]
