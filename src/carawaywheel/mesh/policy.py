"""Admission of requests at the entry: route, account, service and overload."""

from ..http import Request
from ..refusals import Ran, Reason, Refusal
from .callgraph import CallGraph, FanoutEstimator
from .configuration import MeshConfiguration
from .journal import Journal
from .messages import CallerMetadata
from .requests import AdmittedRequest, TrafficSplitter
from .settings import HostSettings
from .shedding import AdmissionLevelTable

STEP = "entry"
# Retry-After of an overload refusal: overload ends within about a second of the
# admission level falling, and a caller waits at most a third of its deadline.
OVERLOAD_RETRY_SECONDS = 0.5
# Longer, because targets that reject most of their requests do so for seconds.
FAIL_FAST_RETRY_SECONDS = 2.0
# Time before the caller's deadline at which its final response is made.
RESPONSE_MARGIN_SECONDS = 0.02


class AdmissionPolicy:
    """Decides whether a request from a caller of this node may be sent to a target."""

    def __init__(
        self,
        settings: HostSettings,
        fanout: FanoutEstimator,
        call_graph: CallGraph,
        levels: AdmissionLevelTable,
        journal: Journal,
    ) -> None:
        self.fanout = fanout
        self.call_graph = call_graph
        self.levels = levels
        self.journal = journal
        self.traffic_splitter = TrafficSplitter()
        self.target_ip = settings.target_address.rpartition(":")[0]

    def admit(
        self,
        configuration: MeshConfiguration,
        peer: str,
        request: Request,
        caller: CallerMetadata,
        now: float,
    ) -> AdmittedRequest | Refusal:
        """Decide whether a request may be sent to a target.

        Args:
            configuration: Configuration in effect.
            peer: Address of the caller, with its port.
            request: Its head.
            caller: Metadata that its caller sent.
            now: Local time in seconds.

        Returns:
            The admitted request, or the refusal for its caller.
        """
        route = configuration.find_route(caller.host, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, Ran.NOT_RUN, None, STEP, caller.host)
        account = configuration.accounts_by_key.get(caller.key) if caller.key else None
        if account is None and configuration.accounts and not route.allow_anonymous:
            reason = Reason.KEY_UNKNOWN if caller.key else Reason.KEY_MISSING
            return Refusal(reason, Ran.NOT_RUN, None, STEP, route.name)
        is_local = peer.rpartition(":")[0] == self.target_ip
        from_target = route.allow_anonymous and not caller.key and is_local
        service = self.traffic_splitter.choose(route)
        remaining = min(caller.remaining, route.timeout) - RESPONSE_MARGIN_SECONDS
        admitted = AdmittedRequest(
            caller,
            route,
            service,
            None if route.allow_anonymous else account,
            from_target,
            from_target and self.fanout.record_call(route.name),
            now + remaining,
        )
        if from_target:
            return admitted
        return self.check_overload(admitted, now) or admitted

    def check_overload(self, admitted: AdmittedRequest, now: float) -> Refusal | None:
        """Refuse a request if a service that it leads to sheds its priority."""
        demands = self.call_graph.demands.get(admitted.route.name)
        if demands is None:
            return None
        if self.levels.should_fail_fast(demands, now):
            return self.refuse_failing_fast(admitted, demands, now)
        is_admitted, service, level = self.levels.admits(
            demands, admitted.priority, now
        )
        if is_admitted:
            return None
        self.journal.write(
            "shed",
            request=admitted.caller.attempt_id,
            route=admitted.route.name,
            priority=admitted.priority,
            service=service,
            level=round(level, 2),
        )
        return Refusal(
            Reason.OVERLOAD, Ran.NOT_RUN, OVERLOAD_RETRY_SECONDS, STEP, service
        )

    def refuse_failing_fast(
        self, admitted: AdmittedRequest, demands: dict[str, float], now: float
    ) -> Refusal:
        """Return the refusal of a request whose calls would most likely be rejected."""
        service = min(demands, key=lambda name: self.levels.accept_ratio(name, now))
        self.journal.write(
            "hopeless",
            request=admitted.caller.attempt_id,
            route=admitted.route.name,
            service=service,
            accepted=round(self.levels.accept_ratio(service, now), 2),
            calls=demands[service],
        )
        return Refusal(
            Reason.OVERLOAD, Ran.NOT_RUN, FAIL_FAST_RETRY_SECONDS, STEP, service
        )
