import curio
import pytest

from carawaywheel.changeservice import CONFIGURATION_STREAM, ChangeService
from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.records import KeyWithdrawn
from carawaywheel.signing import Signer

from .fakes import FakeLog

RECORD = KeyWithdrawn("change-1", "0" * 16, "mill", "operator", "lost", 1.0)


def append_with_lost_responses(count):
    log = FakeLog()
    log.responses_to_lose = count
    service = ChangeService(None, None, log, Signer(b"s" * 16), ManualClock())
    return log, curio.run(service.append, RECORD)


def test_append_is_repeated_if_its_response_is_lost():
    log, offset = append_with_lost_responses(1)
    assert offset == 1
    assert len(set(log.streams[CONFIGURATION_STREAM])) == 1


def test_append_that_never_gets_a_response_may_have_taken_effect():
    with pytest.raises(LogError) as error:
        append_with_lost_responses(9)
    assert error.value.outcome_unknown
