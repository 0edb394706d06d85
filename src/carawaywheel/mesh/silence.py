"""Detection of connections on which a target never responds.

Some targets do not answer a request that they cannot queue, nor any later one on its
connection. A request waits on such a connection if it takes much longer than its route
usually does while the target answers later ones.
"""

from collections import deque

MIN_PATIENCE_SECONDS = 1.0
# Deviations above the mean that a slow but regular response may take.
DEVIATIONS = 6.0
# Weights of a new sample, as for the retransmission timer of TCP.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
# Responses to later requests that show that the target does answer.
MIN_OVERTAKING = 3
# Newest responses that are remembered.
REMEMBERED_RESPONSES = 32


class ResponseTime:
    """Usual response time of a route.

    Attributes:
        mean: Moving average in seconds.
        deviation: Moving average of the distance from the mean, in seconds.
    """

    __slots__ = ("mean", "deviation")

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = seconds / 2

    def record(self, seconds: float) -> None:
        """Add a response time."""
        distance = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (distance - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)


class SilenceDetector:
    """Tells how long to wait for a response of one target.

    Attributes:
        times: Usual response times, by route.
        sent: Number of requests sent so far.
        answered: Numbers of the requests that were answered last.
    """

    def __init__(self) -> None:
        self.times: dict[str, ResponseTime] = {}
        self.sent = 0
        self.answered: deque[int] = deque(maxlen=REMEMBERED_RESPONSES)

    def record_request(self) -> int:
        """Note that a request is sent; return its number."""
        self.sent += 1
        return self.sent

    def record_response(self, number: int, route: str, seconds: float) -> None:
        """Note the response to a request.

        Args:
            number: Number of the request.
            route: Its route.
            seconds: Time from the request to the response.
        """
        self.answered.append(number)
        self.record_time(route, seconds)

    def record_time(self, route: str, seconds: float) -> None:
        """Note for how long a request has taken, or waited in vain."""
        time = self.times.get(route)
        if time is None:
            self.times[route] = ResponseTime(seconds)
        else:
            time.record(seconds)

    def patience(self, route: str) -> float:
        """Return after how many seconds a response of a route is unusually late.

        Infinite before the first response of the route.
        """
        time = self.times.get(route)
        if time is None:
            return float("inf")
        return max(MIN_PATIENCE_SECONDS, time.mean + DEVIATIONS * time.deviation)

    def is_overtaken(self, number: int) -> bool:
        """Return whether the target has answered several later requests."""
        return sum(answered > number for answered in self.answered) >= MIN_OVERTAKING
