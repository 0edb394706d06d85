import hmac

import pytest

from carawaywheel.signing import Signer


@pytest.mark.parametrize("secret", [b"s", b"k" * 64, b"long" * 40])
def test_datagram_tag_is_the_usual_hmac(secret):
    """Otherwise nodes of the previous version reject all datagrams."""
    for data in (b"", b"x" * 63, b"y" * 500):
        expected = hmac.digest(secret, data, "sha256")[:16]
        assert Signer(secret).sign_datagram(data) == data + expected
