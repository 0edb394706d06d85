from carawaywheel.headers import forwarded_response_headers


def test_request_id_of_a_target_is_not_forwarded_to_the_caller():
    """Guards against callers that use the id to make sub-calls without a key."""
    answer = [(b"x-request-id", b"0" * 32), (b"content-length", b"0")]
    assert forwarded_response_headers(200, answer) == [(b"content-length", b"0")]
