"""A small mesh under a surge, with a policy change and a withdrawn key.

Starts the log stand-in, four nodes with their targets and callers as processes on
loopback, and ends with the overload report and a time line. The exit status is 1 if
anything that must hold did not.
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
OUT = Path("out")
HOSTS: tuple[tuple[str, str, str, int, list[str]], ...] = (
    ("host-1", "domain-a", "survey-desk", 10, ["--calls", "/permits"]),
    ("host-2", "domain-b", "survey-desk", 10, ["--calls", "/permits"]),
    ("host-3", "domain-b", "dispatch-yard", 10, []),
    ("host-4", "domain-c", "permit-office", 3, []),
)
SERVICE_SECONDS = "0.04"
LOAD_SECONDS = 12.0
SURGE_AFTER_SECONDS = 3.0
SURGE_SECONDS = 5.0
SURGE_RATE = 300
POLICY_AFTER_SECONDS = 4.0
WITHDRAW_AFTER_SECONDS = 7.0
WITHDRAWAL_LIMIT_SECONDS = 5.0
SPREAD_LIMIT_SECONDS = 13.0
SERVED_SHARE = 0.95
SURGE_ACCOUNT_RATE = 60
SURGE_ACCOUNT_BURST = 60


class Load(NamedTuple):
    """A running load generator.

    Attributes:
        name: What it stands for.
        process: The process.
    """

    name: str
    process: subprocess.Popen[str]


class Check(NamedTuple):
    """Something that must hold.

    Attributes:
        text: What must hold.
        held: Whether it did.
        figure: What was seen.
    """

    text: str
    held: bool
    figure: str


class Demo:
    """One run of the demonstration.

    Attributes:
        mesh: The processes.
        keys: Key text and id by client account.
        checks: What was checked so far.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.keys: dict[str, dict[str, str]] = {}
        self.checks: list[Check] = []

    def check(self, text: str, held: bool, figure: str) -> None:
        """Note whether something held."""
        self.checks.append(Check(text, held, figure))

    def start(self) -> None:
        """Start the processes, publish the policy and issue the keys."""
        say("starting the log, four nodes and their targets")
        self.mesh.start_log()
        for node, domain, service, slots, arguments in HOSTS:
            self.mesh.start_node(node, domain)
            timing = ["--service-time", SERVICE_SECONDS]
            self.mesh.start_target(node, service, slots, timing + arguments)
        self.mesh.wait_for(self.all_targets_known, "all nodes know all targets")
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

    def all_targets_known(self) -> bool:
        """Return whether every node sees every other one and a ready target."""
        nodes = self.mesh.fleet_status("host-1").values()
        ready = [node for node in nodes if node["target_state"] == "ready"]
        known = [node for node in nodes if node["members"] == len(HOSTS)]
        return len(ready) == len(known) == len(HOSTS)

    def is_served(self, account: str) -> bool:
        """Return whether a request of a client account is served at each node."""
        key = self.keys[account]["key"]
        answers = [
            self.mesh.call(node, "/permits", key).status == 200 for node, *_ in HOSTS
        ]
        return all(answers)

    def publish(self, reason: str, text: str | None = None) -> dict[str, Any]:
        """Publish the policy."""
        found: dict[str, Any] = self.mesh.run_json_command(
            "host-2", "policy", "publish", "-", "--reason", reason,
            text=text or POLICY.read_text(),
        )  # fmt: skip
        return found

    def start_load(
        self, name: str, account: str, path: str, rate: float, seconds: float,
        *arguments: str,
    ) -> Load:  # fmt: skip
        """Start callers of a client account that ask all nodes in turn."""
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
        return Load(name, process)

    def run(self) -> None:
        """Run the load with its events and check what must hold."""
        say("steady load of three client accounts")
        started = time.monotonic()
        loads = [
            self.start_load(
                "dispatches", "barge-crews", "/dispatches", 8, LOAD_SECONDS,
                "--method", "POST", "--body", "crew", "--dispatch",
            ),
            self.start_load("permits", "skippers", "/permits", 10, LOAD_SECONDS),
            self.start_load("surveys", "pond-owners", "/surveys", 20, LOAD_SECONDS),
        ]  # fmt: skip
        wait_until(started + SURGE_AFTER_SECONDS)
        say(
            f"surge: pond-owners send {SURGE_RATE} requests/s; "
            f"their rate is {SURGE_ACCOUNT_RATE}"
        )
        surge = self.start_load(
            "surge", "pond-owners", "/surveys", SURGE_RATE, SURGE_SECONDS
        )
        wait_until(started + POLICY_AFTER_SECONDS)
        self.change_policy()
        wait_until(started + WITHDRAW_AFTER_SECONDS)
        self.withdraw_key()
        results = {load.name: finish(load) for load in [*loads, surge]}
        elapsed = time.monotonic() - started
        self.check_results(results, elapsed)
        self.check_targets()

    def change_policy(self) -> None:
        """Publish a change while the load runs."""
        say("an operator gives surveys a longer deadline")
        text = POLICY.read_text().replace("deadline: 2", "deadline: 3")
        began = time.monotonic()
        answer = self.publish("longer deadlines", text)
        seconds = time.monotonic() - began
        self.check(
            f"a policy is in force on all nodes within {SPREAD_LIMIT_SECONDS:g} s",
            answer["result"] == "accepted" and not answer["behind"]
            and seconds < SPREAD_LIMIT_SECONDS,
            f"{answer['result']}, {seconds:.1f} s with the command",
        )  # fmt: skip

    def withdraw_key(self) -> None:
        """Withdraw the key of the skippers while they call."""
        say("an operator withdraws the key of the skippers")
        key_id = self.keys["skippers"]["key_id"]
        began = time.monotonic()
        self.mesh.run_json_command(
            "host-3", "key", "withdraw", key_id, "--team", TEAM, "--reason", "lost",
        )  # fmt: skip
        seconds = time.monotonic() - began
        served = [
            node
            for node, *_ in HOSTS
            if self.mesh.call(node, "/permits", self.keys["skippers"]["key"]).status
            == 200
        ]
        self.check(
            f"a withdrawn key stops within {WITHDRAWAL_LIMIT_SECONDS:g} s everywhere",
            not served and seconds < WITHDRAWAL_LIMIT_SECONDS,
            f"{seconds:.1f} s with the command, still served by {served or 'none'}",
        )

    def check_results(self, results: dict[str, dict[str, Any]], elapsed: float) -> None:
        """Check what the callers saw."""
        dispatches = results["dispatches"]
        share = dispatches["whole"] / dispatches["requests"]
        self.check(
            f"at least {SERVED_SHARE:.0%} of the critical dispatches are served",
            share >= SERVED_SHARE,
            f"{dispatches['whole']} of {dispatches['requests']}",
        )
        cut = sum(result["by_status"].get("cut", 0) for result in results.values())
        self.check("no answer is cut", cut == 0, f"{cut} cut")
        served = results["surge"]["whole"] + results["surveys"]["whole"]
        bound = SURGE_ACCOUNT_BURST + SURGE_ACCOUNT_RATE * elapsed
        self.check(
            "the account with the surge gets no more than its rate and burst",
            served <= bound,
            f"{served} served, bound {bound:.0f}",
        )
        refused = results["surge"]["by_reason"].get("rate_exceeded", 0)
        self.check("the surge is turned away", refused > 0, f"{refused} over the rate")
        stopped = results["permits"]["by_reason"].get("key_withdrawn", 0)
        self.check(
            "callers with the withdrawn key are told so", stopped > 0, f"{stopped}"
        )
        for name, result in results.items():
            say(f"  {name}: {result['whole']} whole of {result['requests']}, "
                f"refused {result['by_reason'] or 'none'}")  # fmt: skip

    def check_targets(self) -> None:
        """Check what the targets saw."""
        leaked = 0
        twice = 0
        for node, *_ in HOSTS:
            address = self.mesh.processes[f"target-{node}"].startup_info["address"]
            answer = curio.run(request, address, "GET", "/counts")
            counts = json.loads(answer.body)
            leaked += len(counts["leaked"])
            if node == "host-3":
                twice = sum(times > 1 for times in counts["runs"].values())
        self.check("no target sees a key", leaked == 0, f"{leaked} seen")
        self.check("no dispatch runs twice", twice == 0, f"{twice} ran twice")

    def show(self) -> None:
        """Print the report and the time line of what went wrong for callers."""
        time.sleep(2.5)
        OUT.mkdir(exist_ok=True)
        page = str(OUT / "report.html")
        report = self.mesh.run_command(
            "host-1", "report", "--begin", "-60", "--html", page
        )
        print(report.stdout)
        key_id = self.keys["skippers"]["key_id"]
        line = self.mesh.run_command("host-1", "timeline", "--key", key_id)
        say(f"time line of the withdrawn key {key_id}, last 12 events")
        print("\n".join(line.stdout.splitlines()[-12:]))
        refused = self.mesh.run_json_command("host-1", "timeline", "--begin", "-60")
        chosen = example(refused)
        if chosen:
            say(f"time line of request {chosen}, which was refused")
            print(
                self.mesh.run_command("host-1", "timeline", "--request", chosen).stdout
            )
        self.check("the report is printed", report.returncode == 0, page)
        self.check("the time line shows a refused request", bool(chosen), chosen)


def example(events: list[dict[str, Any]]) -> str:
    """Return the id of a refused request that came far, or of any refused one."""
    refused = [
        event["request_id"]
        for event in events
        if event["kind"] == "request_refused" and event.get("request_id")
    ]
    sent = {event.get("request_id") for event in events if event["kind"] == "sent"}
    far = [request_id for request_id in refused if request_id in sent]
    return str((far or refused or [""])[-1])


def finish(load: Load) -> dict[str, Any]:
    """Wait for a load generator and return its counts."""
    output, _ = load.process.communicate(timeout=30)
    found: dict[str, Any] = json.loads(output)
    return found


def wait_until(moment: float) -> None:
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def say(text: str) -> None:
    """Print a line of the demonstration's own."""
    print(f"== {text}", flush=True)


def main() -> int:
    """Run the demonstration and return the exit status."""
    began = time.monotonic()
    with Mesh(("domain-a", "domain-b", "domain-c")) as mesh:
        demo = Demo(mesh)
        demo.start()
        demo.run()
        demo.show()
    say("what must hold")
    for check in demo.checks:
        mark = "held  " if check.held else "BROKEN"
        print(f"  {mark}  {check.text}: {check.figure}")
    say(f"done in {time.monotonic() - began:.0f} s")
    return 0 if all(check.held for check in demo.checks) else 1


if __name__ == "__main__":
    sys.exit(main())
