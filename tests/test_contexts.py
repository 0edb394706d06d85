from carawaywheel.contexts import InFlightRequest, InFlightTable, RequestContext
from carawaywheel.refusals import Importance
from carawaywheel.retries import AttemptBudget


def make_context():
    return RequestContext(
        root_id="r",
        attempt_id="a",
        service="mapdesk",
        route="maps",
        account="hall",
        key_id="k1",
        importance=Importance.NORMAL,
        idempotent=True,
        remaining=1.0,
        attempts=3,
        depth=1,
        team="okonkwo",
    )


def test_id_of_a_finished_request_is_unknown():
    """Guards against a target that makes further sub-calls for a finished request."""
    table = InFlightTable()
    request = InFlightRequest(make_context(), 1.0, AttemptBudget(3))
    request_id = table.add(request)
    assert table.get(request_id) is request
    table.remove(request_id)
    assert table.get(request_id) is None
