"""Keys by which the operator evacuates failure domains."""

EVACUATION_PREFIX = "evacuate/"


def decode_evacuated_domain(key: str) -> str | None:
    """Return the domain that a key of the operator's table evacuates.

    The key has any value while the evacuation lasts; none ends it.

    Returns:
        The domain, empty if the key names none; None for a key of another kind.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)
