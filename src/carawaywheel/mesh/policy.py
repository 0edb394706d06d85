"""Decisions at the entry: route, account, service, and what pressure allows."""

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
# Seconds after which a refused request may come back: overload ends within a second
# or so once the level has fallen, and a caller waits a third of its time at most.
OVERLOAD_RETRY_SECONDS = 0.5
# Targets that reject most of what they get do so for seconds.
FAIL_FAST_RETRY_SECONDS = 2.0
# Seconds before the end of a request's time at which its final answer is made.
ANSWER_MARGIN_SECONDS = 0.02


class AdmissionPolicy:
    """Decides whether a request that enters here may be sent to a target."""

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
        claims: CallerMetadata,
        now: float,
    ) -> AdmittedRequest | Refusal:
        """Decide whether a request may be sent to a target.

        Args:
            configuration: The configuration in force.
            peer: Address that the request comes from.
            request: Its head.
            claims: What its caller says.
            now: Time in seconds.
        """
        route = configuration.find_route(claims.host, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, Ran.NOT_RUN, None, STEP, claims.host)
        account = configuration.accounts_by_key.get(claims.key) if claims.key else None
        if account is None and configuration.accounts and not route.allow_anonymous:
            reason = Reason.KEY_UNKNOWN if claims.key else Reason.KEY_MISSING
            return Refusal(reason, Ran.NOT_RUN, None, STEP, route.name)
        local = peer.rpartition(":")[0] == self.target_ip
        from_target = route.allow_anonymous and not claims.key and local
        service = self.traffic_splitter.choose(route)
        remaining = min(claims.remaining, route.timeout) - ANSWER_MARGIN_SECONDS
        admission = AdmittedRequest(
            claims,
            route,
            service,
            None if route.allow_anonymous else account,
            from_target,
            from_target and self.fanout.record_call(route.name),
            now + remaining,
        )
        if from_target:
            return admission
        return self.check_overload(admission, now) or admission

    def check_overload(self, admission: AdmittedRequest, now: float) -> Refusal | None:
        """Refuse a request that leads to a service which does not take its rank."""
        demands = self.call_graph.demands.get(admission.route.name)
        if demands is None:
            return None
        if self.levels.should_fail_fast(demands, now):
            return self.refuse_failing_fast(admission, demands, now)
        admitted, service, level = self.levels.admits(demands, admission.priority, now)
        if admitted:
            return None
        self.journal.write(
            "shed",
            request=admission.caller.attempt_id,
            route=admission.route.name,
            priority=admission.priority,
            service=service,
            level=round(level, 2),
        )
        return Refusal(
            Reason.OVERLOAD, Ran.NOT_RUN, OVERLOAD_RETRY_SECONDS, STEP, service
        )

    def refuse_failing_fast(
        self, admission: AdmittedRequest, demands: dict[str, float], now: float
    ) -> Refusal:
        """Refuse a request whose calls would be rejected."""
        service = min(demands, key=lambda name: self.levels.accept_ratio(name, now))
        self.journal.write(
            "hopeless",
            request=admission.caller.attempt_id,
            route=admission.route.name,
            service=service,
            accepted=round(self.levels.accept_ratio(service, now), 2),
            calls=demands[service],
        )
        return Refusal(
            Reason.OVERLOAD, Ran.NOT_RUN, FAIL_FAST_RETRY_SECONDS, STEP, service
        )
