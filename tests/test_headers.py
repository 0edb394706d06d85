from carawaywheel.headers import forwarded_answer_headers


def test_the_id_of_an_attempt_does_not_reach_the_caller():
    """Guards against callers that use the id to make calls without a key."""
    answer = [(b"x-request-id", b"0" * 32), (b"content-length", b"0")]
    assert forwarded_answer_headers(200, answer) == [(b"content-length", b"0")]
