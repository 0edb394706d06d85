from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.keys import (
    digest,
    issue_key,
    issue_token,
    matches,
    parse_key_id,
    redact,
)


def test_issued_keys_differ_and_hold_256_bits():
    """Guards against guessable keys and against a key in a log of objects."""
    first, second = issue_key(), issue_key()
    prefix, key_id, secret = first.secret_text.split("_")
    assert (prefix, key_id, len(secret)) == ("cw", first.key_id, 64)
    assert parse_key_id(first.secret_text) == first.key_id
    assert first.secret_text != second.secret_text
    assert secret not in repr(first)


def test_only_the_whole_key_matches_its_digest():
    """Guards against an empty digest or a cut key that lets a caller in."""
    text = issue_key().secret_text
    assert matches(text, digest(text))
    assert not matches(text[:-1], digest(text))
    assert not matches("", "")
    assert not matches("é\udc80", digest(text))
    assert parse_key_id(text + "\n") is None
    assert parse_key_id(text.upper()) is None


@given(st.text(max_size=30), st.text(max_size=30), st.integers(20, 100))
def test_no_secret_survives_redaction(before, after, length):
    """Guards against keys in log lines, also glued to text, cut or encoded."""
    key, token = issue_key(), issue_token()
    for text in (
        key.secret_text[:length],
        key.secret_text.upper(),
        key.secret_text.replace("_", "%5F"),
        token,
    ):
        clean = redact(before + text + after)
        secret = text[22:] if text != token else text[4:]
        assert len(secret) < 8 or secret not in clean
        assert redact(clean) == clean


def test_redaction_keeps_key_ids_and_other_text():
    """Guards against log lines that no longer tell which key was refused."""
    key = issue_key()
    line = f"key {key.secret_text} refused, x-cw-context dropped"
    clean = f"key cw_{key.key_id}_[redacted] refused, x-cw-context dropped"
    assert redact(line) == clean
