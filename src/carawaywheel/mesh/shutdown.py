"""Times of a graceful stop."""

from typing import NamedTuple

# Time in which clients and nodes learn of the stop: two failed readiness checks at one
# per second, and a margin.
ANNOUNCEMENT_SECONDS = 2.6
# The process exits this long before the end of the grace period in any case, or this
# share of a short one: what is in flight then has had nearly all of it.
STOP_MARGIN_SECONDS = 0.7
MAX_STOP_MARGIN_SHARE = 0.125
# Parts of this margin in which requests that have not begun are refused, and in which
# those that have are cancelled and logged.
REFUSAL_MARGIN_SHARE = 0.4
CANCEL_MARGIN_SHARE = 0.15
# Time to send the responses that came while the process stood still beyond the end.
MIN_FINISH_SECONDS = 0.2
# Longest part of the stop that the announcement may take, so that a short grace period
# leaves time for the requests that were accepted meanwhile.
MAX_ANNOUNCEMENT_SHARE = 0.5


class StopSchedule(NamedTuple):
    """Times of a graceful stop in seconds after its begin.

    Attributes:
        refuse_after: Until then new requests of callers are served, from then on they
            are refused.
        end_after: Requests that have not begun are refused then, and the process exits
            soon after, even if others are still in flight.
        refusal_time: Time in seconds for these refusals to be sent.
        cancel_time: Time in seconds for the other requests to be cancelled and logged.
    """

    refuse_after: float
    end_after: float
    refusal_time: float
    cancel_time: float

    def time_to_finish(self, elapsed: float) -> float:
        """Return how long requests in flight may still take.

        Args:
            elapsed: Seconds since the stop began.
        """
        return max(MIN_FINISH_SECONDS, self.end_after - elapsed)


def schedule_stop(grace: float) -> StopSchedule:
    """Return the times of a stop.

    Args:
        grace: Seconds after which the platform kills the process.
    """
    margin = min(STOP_MARGIN_SECONDS, grace * MAX_STOP_MARGIN_SHARE)
    end_after = grace - margin
    announcement = min(ANNOUNCEMENT_SECONDS, end_after * MAX_ANNOUNCEMENT_SHARE)
    return StopSchedule(
        announcement,
        end_after,
        margin * REFUSAL_MARGIN_SHARE,
        margin * CANCEL_MARGIN_SHARE,
    )
