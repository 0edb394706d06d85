"""A small mesh under a load surge, with a policy change and a key withdrawal.

Starts the log stand-in, four nodes with their targets, and callers as processes on the
loopback interface, and ends with the overload report and a time line. The exit status
is 1 if a check failed.
"""

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import curio

from standins.caller import request
from standins.mesh import Mesh

TEAM = "silt-sable"
POLICY = Path(__file__).with_name("policy.yaml")
OUTPUT_DIR = Path("out")
HOSTS: tuple[tuple[str, str, str, int, list[str]], ...] = (
    ("host-1", "domain-a", "survey-desk", 10, ["--calls", "/permits"]),
    ("host-2", "domain-b", "survey-desk", 10, ["--calls", "/permits"]),
    ("host-3", "domain-b", "dispatch-yard", 10, []),
    ("host-4", "domain-c", "permit-office", 3, []),
)
SERVICE_TIME_SECONDS = "0.04"
LOAD_SECONDS = 12.0
SURGE_AFTER_SECONDS = 3.0
SURGE_SECONDS = 5.0
SURGE_RATE = 300
POLICY_AFTER_SECONDS = 4.0
WITHDRAW_AFTER_SECONDS = 7.0
WITHDRAWAL_TIMEOUT_SECONDS = 5.0
ROLLOUT_TIMEOUT_SECONDS = 13.0
MIN_SERVED_SHARE = 0.95
SURGE_ACCOUNT_RATE = 60
SURGE_ACCOUNT_BURST = 60


class LoadProcess(NamedTuple):
    """A running load generator.

    Attributes:
        name: Name of the load in the output.
        process: The child process.
    """

    name: str
    process: subprocess.Popen[str]


class Check(NamedTuple):
    """Result of a check.

    Attributes:
        text: Expected property.
        passed: Whether it held.
        observed: Observed values.
    """

    text: str
    passed: bool
    observed: str


class Demo:
    """One run of the demonstration.

    Attributes:
        mesh: The processes.
        keys: Issued key with its id, by client account.
        checks: Results of the checks so far.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.keys: dict[str, dict[str, str]] = {}
        self.checks: list[Check] = []

    def check(self, text: str, passed: bool, observed: str) -> None:
        """Record the result of a check."""
        self.checks.append(Check(text, passed, observed))

    def start(self) -> None:
        """Start the processes, publish the policy and issue the keys."""
        print_step("starting the log, four nodes and their targets")
        self.mesh.start_log()
        for node, domain, service, slots, arguments in HOSTS:
            self.mesh.start_node(node, domain)
            timing = ["--service-time", SERVICE_TIME_SECONDS]
            self.mesh.start_target(node, service, slots, timing + arguments)
        self.mesh.wait_for(
            self.is_converged, "all nodes know all nodes and have a ready target"
        )
        self.publish("first version")
        for account in ("pond-owners", "barge-crews", "skippers"):
            self.keys[account] = self.mesh.run_json_command(
                "host-1", "key", "issue", "--team", TEAM, "--account", account,
                "--reason", "demo",
            )  # fmt: skip
        for account in self.keys:
            self.wait_until_served(account)

    def wait_until_served(self, account: str) -> None:
        """Wait until a client account is served at every node."""
        self.mesh.wait_for(lambda: self.is_served(account), f"{account} is served")

    def is_converged(self) -> bool:
        """Return whether every node sees all nodes and has a ready target."""
        nodes = self.mesh.fleet_status("host-1").values()
        ready = [node for node in nodes if node["target_state"] == "ready"]
        complete = [node for node in nodes if node["members"] == len(HOSTS)]
        return len(ready) == len(complete) == len(HOSTS)

    def is_served(self, account: str) -> bool:
        """Return whether each node serves a request of a client account."""
        key = self.keys[account]["key"]
        served = [
            self.mesh.call(node, "/permits", key).status == 200 for node, *_ in HOSTS
        ]
        return all(served)

    def publish(self, reason: str, text: str | None = None) -> dict[str, Any]:
        """Publish a policy, by default that of the demonstration."""
        result: dict[str, Any] = self.mesh.run_json_command(
            "host-2", "policy", "publish", "-", "--reason", reason,
            text=text or POLICY.read_text(),
        )  # fmt: skip
        return result

    def start_load(
        self, name: str, account: str, path: str, rate: float, seconds: float,
        *arguments: str,
    ) -> LoadProcess:  # fmt: skip
        """Start callers of a client account that use the nodes in turn."""
        nodes = ",".join(
            self.mesh.processes[node].startup_info["callers"] for node, *_ in HOSTS
        )
        command = [sys.executable, "-m", "standins.caller", "--node", nodes]
        command += ["--path", path, "--rate", str(rate), "--seconds", str(seconds)]
        command += ["--key-env", "CALLER_KEY", "--timeout", "5", *arguments]
        environment = os.environ | {"CALLER_KEY": self.keys[account]["key"]}
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, env=environment
        )
        return LoadProcess(name, process)

    def run(self) -> None:
        """Run the load with the surge, policy change and withdrawal, and check it."""
        print_step("steady load of three client accounts")
        started_at = time.monotonic()
        loads = [
            self.start_load(
                "dispatches", "barge-crews", "/dispatches", 8, LOAD_SECONDS,
                "--method", "POST", "--body", "crew", "--dispatch",
            ),
            self.start_load("permits", "skippers", "/permits", 10, LOAD_SECONDS),
            self.start_load("surveys", "pond-owners", "/surveys", 20, LOAD_SECONDS),
        ]  # fmt: skip
        wait_until(started_at + SURGE_AFTER_SECONDS)
        print_step(
            f"surge: pond-owners send {SURGE_RATE} requests/s; "
            f"their rate is {SURGE_ACCOUNT_RATE}"
        )
        surge = self.start_load(
            "surge", "pond-owners", "/surveys", SURGE_RATE, SURGE_SECONDS
        )
        wait_until(started_at + POLICY_AFTER_SECONDS)
        self.change_policy()
        wait_until(started_at + WITHDRAW_AFTER_SECONDS)
        self.withdraw_key()
        results = {load.name: wait_for_summary(load) for load in [*loads, surge]}
        elapsed = time.monotonic() - started_at
        self.check_results(results, elapsed)
        self.check_targets()

    def change_policy(self) -> None:
        """Publish a policy change while the load runs."""
        print_step("an operator gives surveys a longer deadline")
        text = POLICY.read_text().replace("deadline: 2", "deadline: 3")
        started_at = time.monotonic()
        result = self.publish("longer deadlines", text)
        seconds = time.monotonic() - started_at
        self.check(
            f"a policy is in force on all nodes within {ROLLOUT_TIMEOUT_SECONDS:g} s",
            result["result"] == "accepted" and not result["behind"]
            and seconds < ROLLOUT_TIMEOUT_SECONDS,
            f"{result['result']}, {seconds:.1f} s with the command",
        )  # fmt: skip

    def withdraw_key(self) -> None:
        """Withdraw the key of the skippers while they send requests."""
        print_step("an operator withdraws the key of the skippers")
        key_id = self.keys["skippers"]["key_id"]
        started_at = time.monotonic()
        self.mesh.run_json_command(
            "host-3", "key", "withdraw", key_id, "--team", TEAM, "--reason", "lost",
        )  # fmt: skip
        seconds = time.monotonic() - started_at
        served = [
            node
            for node, *_ in HOSTS
            if self.mesh.call(node, "/permits", self.keys["skippers"]["key"]).status
            == 200
        ]
        self.check(
            f"all nodes refuse a withdrawn key in {WITHDRAWAL_TIMEOUT_SECONDS:g} s",
            not served and seconds < WITHDRAWAL_TIMEOUT_SECONDS,
            f"{seconds:.1f} s with the command, still served by {served or 'none'}",
        )

    def check_results(self, results: dict[str, dict[str, Any]], elapsed: float) -> None:
        """Check the responses that the callers received."""
        dispatches = results["dispatches"]
        share = dispatches["whole"] / dispatches["requests"]
        self.check(
            f"at least {MIN_SERVED_SHARE:.0%} of the critical dispatches are served",
            share >= MIN_SERVED_SHARE,
            f"{dispatches['whole']} of {dispatches['requests']}",
        )
        cut = sum(result["by_status"].get("cut", 0) for result in results.values())
        self.check("no response is truncated", cut == 0, f"{cut} truncated")
        served = results["surge"]["whole"] + results["surveys"]["whole"]
        bound = SURGE_ACCOUNT_BURST + SURGE_ACCOUNT_RATE * elapsed
        self.check(
            "the account with the surge stays within its rate and burst",
            served <= bound,
            f"{served} served, bound {bound:.0f}",
        )
        refused = results["surge"]["by_reason"].get("rate_exceeded", 0)
        self.check(
            "requests over the rate are refused", refused > 0, f"{refused} refused"
        )
        withdrawn = results["permits"]["by_reason"].get("key_withdrawn", 0)
        self.check(
            "callers with the withdrawn key get the reason key_withdrawn",
            withdrawn > 0,
            f"{withdrawn}",
        )
        for name, result in results.items():
            print_step(f"  {name}: {result['whole']} of {result['requests']} served, "
                f"refused {result['by_reason'] or 'none'}")  # fmt: skip

    def check_targets(self) -> None:
        """Check the requests that the targets received."""
        leaked = 0
        duplicates = 0
        for node, *_ in HOSTS:
            address = self.mesh.processes[f"target-{node}"].startup_info["address"]
            response = curio.run(request, address, "GET", "/counts")
            counts = json.loads(response.body)
            leaked += len(counts["leaked"])
            if node == "host-3":
                duplicates = sum(runs > 1 for runs in counts["runs"].values())
        self.check(
            "no target receives a caller's key", leaked == 0, f"{leaked} received"
        )
        self.check("no dispatch runs twice", duplicates == 0, f"{duplicates} ran twice")

    def print_reports(self) -> None:
        """Print the report and the time lines of the withdrawn key and of a refusal."""
        time.sleep(2.5)
        OUTPUT_DIR.mkdir(exist_ok=True)
        page_path = str(OUTPUT_DIR / "report.html")
        report = self.mesh.run_command(
            "host-1", "report", "--begin", "-60", "--html", page_path
        )
        print(report.stdout)
        key_id = self.keys["skippers"]["key_id"]
        key_timeline = self.mesh.run_command("host-1", "timeline", "--key", key_id)
        print_step(f"time line of the withdrawn key {key_id}, last 12 events")
        print("\n".join(key_timeline.stdout.splitlines()[-12:]))
        events = self.mesh.run_json_command("host-1", "timeline", "--begin", "-60")
        request_id = example_refusal(events)
        if request_id:
            print_step(f"time line of request {request_id}, which was refused")
            print(
                self.mesh.run_command(
                    "host-1", "timeline", "--request", request_id
                ).stdout
            )
        self.check("the report is printed", report.returncode == 0, page_path)
        self.check(
            "the time line shows a refused request", bool(request_id), request_id
        )


def example_refusal(events: list[dict[str, Any]]) -> str:
    """Return the id of a request that was refused, if possible after it was sent on.

    Returns:
        The id of the last such request; empty if no request was refused.
    """
    refused = [
        event["request_id"]
        for event in events
        if event["kind"] == "request_refused" and event.get("request_id")
    ]
    sent = {event.get("request_id") for event in events if event["kind"] == "sent"}
    refused_after_sending = [request_id for request_id in refused if request_id in sent]
    return str((refused_after_sending or refused or [""])[-1])


def wait_for_summary(load: LoadProcess) -> dict[str, Any]:
    """Wait for a load generator to exit and return its counts."""
    output, _ = load.process.communicate(timeout=30)
    summary: dict[str, Any] = json.loads(output)
    return summary


def wait_until(deadline: float) -> None:
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, deadline - time.monotonic()))


def print_step(text: str) -> None:
    """Print a progress line, marked apart from the output of commands."""
    print(f"== {text}", flush=True)


def main() -> int:
    """Run the demonstration and return the exit status."""
    started_at = time.monotonic()
    with Mesh(("domain-a", "domain-b", "domain-c")) as mesh:
        demo = Demo(mesh)
        demo.start()
        demo.run()
        demo.print_reports()
    print_step("checks")
    for check in demo.checks:
        mark = "held  " if check.passed else "BROKEN"
        print(f"  {mark}  {check.text}: {check.observed}")
    print_step(f"done in {time.monotonic() - started_at:.0f} s")
    return 0 if all(check.passed for check in demo.checks) else 1


if __name__ == "__main__":
    sys.exit(main())
