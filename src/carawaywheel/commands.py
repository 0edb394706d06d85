"""Commands for operators: policies, keys and team tokens."""

import json
import time
from datetime import datetime
from pathlib import Path
from typing import Annotated, Any, NoReturn
from urllib.parse import urlencode

import typer

from .adminclient import (
    EXIT_FAILED,
    EXIT_USAGE,
    AdminClient,
    fail,
    read_input,
    read_token,
)
from .contexts import random_id
from .errors import PolicyError
from .keys import issue_key, issue_token, sha256_hex
from .options import DIGEST_PATTERN
from .policies import check_policy_document, json_schema, parse_policy
from .records import policy_path

ROLLOUT_TIMEOUT_SECONDS = 13.0
ROLLOUT_POLL_SECONDS = 0.5

Admin = Annotated[
    str,
    typer.Option(
        "--admin",
        envvar="CARAWAYWHEEL_ADMIN",
        help="Admin address of any node, such as 10.0.0.5:7003.",
        show_envvar=True,
    ),
]
TokenFile = Annotated[
    str,
    typer.Option(
        "--token-file",
        envvar="CARAWAYWHEEL_TOKEN_FILE",
        help="File with your token; CARAWAYWHEEL_TOKEN may hold the token instead.",
        show_envvar=True,
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Reason = Annotated[
    str, typer.Option("--reason", help="Reason of the change, kept in the history.")
]
Team = Annotated[str, typer.Option("--team", help="Your team.")]

policy_app = typer.Typer(help="Check, publish and show policies.", no_args_is_help=True)
key_app = typer.Typer(help="Issue, withdraw and list keys.", no_args_is_help=True)
token_app = typer.Typer(help="Generate and set team tokens.", no_args_is_help=True)


def open_admin_client(admin: str, token_file: str, as_json: bool) -> AdminClient:
    """Return a client of the node that an operator named."""
    if not admin:
        fail("no node given: use --admin or set CARAWAYWHEEL_ADMIN", EXIT_USAGE)
    host, _, port = admin.rpartition(":")
    if not host or "/" in host or not port.isascii() or not port.isdigit():
        fail(
            f"--admin is {admin!r}; expected an address and a port, such as "
            "10.0.0.5:7003",
            EXIT_USAGE,
        )
    return AdminClient(admin, read_token(token_file), as_json)


@policy_app.command("check")
def check_policy(file: str, as_json: AsJson = False) -> None:
    """Check a policy file without a node; `-` reads standard input.

    Example: carawaywheel policy check examples/silt-sable.yaml
    """
    try:
        document = parse_policy(read_input(file), file)
        check_policy_document(document, policy_path(document["team"]))
    except PolicyError as error:
        fail_invalid(file, error, as_json)
    counts = {
        "team": document["team"],
        "services": len(document["services"]),
        "routes": len(document["routes"]),
        "accounts": len(document["accounts"]),
    }
    text = f"{file}: valid policy of team {document['team']}, "
    text += ", ".join(f"{counts[name]} {name}" for name in list(counts)[1:])
    typer.echo(json.dumps({"result": "valid", **counts}) if as_json else text)


def fail_invalid(file: str, error: PolicyError, as_json: bool) -> NoReturn:
    """Print the error in a policy file and exit."""
    if not as_json:
        fail(f"{file}: {error.message} at {error.peer}")
    error_fields = {"result": "invalid", "error": error.message, "path": error.peer}
    typer.echo(json.dumps(error_fields))
    raise typer.Exit(EXIT_FAILED)


@policy_app.command("schema")
def show_schema() -> None:
    """Print the JSON Schema of policy files."""
    typer.echo(json.dumps(json_schema(), indent=2))


@policy_app.command("publish")
def publish_policy(
    file: str,
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    base_version: Annotated[
        int | None,
        typer.Option(help="Version that the change is based on; default: current."),
    ] = None,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the difference only.")
    ] = False,
    wait: Annotated[
        bool, typer.Option(help="Wait until all nodes have the change.")
    ] = True,
    as_json: AsJson = False,
) -> None:
    """Publish a policy file for its team; `-` reads standard input.

    The change is accepted only if nobody else changed the policy since its base
    version. Exit status: 0 accepted, 1 refused or in conflict, 2 usage error.
    """
    client = open_admin_client(admin, token_file, as_json)
    text = read_input(file)
    try:
        team = parse_policy(text, file)["team"]
    except PolicyError as error:
        fail_invalid(file, error, as_json)
    client.team = team
    body: dict[str, Any] = {"team": team, "text": text, "reason": reason}
    body |= {"source": file, "dry_run": dry_run, "change_id": random_id()}
    if base_version is not None:
        body["base_version"] = base_version
    report_change(client, client.request_json("POST", "/policies", body), wait)


@policy_app.command("rollback")
def rollback_policy(
    version: int,
    team: Team,
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    wait: Annotated[
        bool, typer.Option(help="Wait until all nodes have the change.")
    ] = True,
    as_json: AsJson = False,
) -> None:
    """Publish an earlier version of a policy again, as a new version."""
    client = open_admin_client(admin, token_file, as_json)
    client.team = team
    body = {
        "team": team,
        "version": version,
        "reason": reason,
        "change_id": random_id(),
    }
    report_change(client, client.request_json("POST", "/policies/rollback", body), wait)


@policy_app.command("show")
def show_policy(
    team: Team,
    admin: Admin = "",
    token_file: TokenFile = "",
    as_json: AsJson = False,
) -> None:
    """Show the policy of a team with its versions, newest first."""
    client = open_admin_client(admin, token_file, as_json)
    response = client.request_json("GET", "/policies?" + urlencode({"team": team}))
    lines = [f"policy {response['path']}"]
    for entry in response["versions"]:
        at = format_time(entry["time"])
        lines.append(
            f"version {entry['version']}  {at}  {entry['author']}: {entry['reason']}"
        )
    lines.append(json.dumps(response["versions"][0]["document"], indent=2))
    client.print_value(response, "\n".join(lines))


def report_change(client: AdminClient, response: dict[str, Any], wait: bool) -> None:
    """Print the outcome of a change; exit with 1 unless it was accepted."""
    result = response["result"]
    if result == "accepted" and wait:
        response["behind"] = wait_for_rollout(client, response["offset"])
    client.print_value(response, change_text(response))
    if result not in ("accepted", "dry_run"):
        raise typer.Exit(EXIT_FAILED)


def change_text(response: dict[str, Any]) -> str:
    """Return the readable text of the outcome of a change."""
    result = response["result"]
    lines = [f"  {line}" for line in response.get("difference", [])]
    if result == "accepted":
        lines.append(f"accepted as version {response['version']} of {response['path']}")
        lines += rollout_lines(response)
    elif result == "conflict":
        lines.append(
            f"conflict: version {response['version']} of {response['path']} by "
            f"{response['author']} is in force; nothing was changed"
        )
    elif result == "dry_run":
        lines.append(
            f"dry run: nothing was changed; base version {response['base_version']}"
        )
        if response["refused"]:
            lines.append(f"the change would be refused: {response['refused']}")
    elif result == "invalid":
        lines.append(f"invalid: {response['error']} at {response['path']}")
    else:
        ran = (
            "may have taken effect" if response["ran"] == "unknown" else "had no effect"
        )
        reason = response["reason"].replace("_", " ")
        lines.append(f"refused: {reason} at {response['step']}; {ran}")
    return "\n".join(lines)


def rollout_lines(response: dict[str, Any]) -> list[str]:
    """Return readable lines that say which nodes have a change."""
    lines = []
    if response.get("reached") or response.get("missed"):
        lines.append(f"sent directly to {len(response['reached'])} nodes")
    if response.get("missed"):
        lines.append(f"not reached directly: {', '.join(response['missed'])}")
    nodes_behind = response.get("behind")
    if nodes_behind:
        lines.append(f"not confirmed by: {', '.join(nodes_behind)}")
    elif nodes_behind is not None:
        lines.append("in force on all live nodes")
    return lines


def wait_for_rollout(client: AdminClient, offset: int) -> list[str]:
    """Wait until all nodes have read a record, at most for a fixed time.

    Returns:
        The nodes that have not.
    """
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_SECONDS
    while True:
        response = client.request_json(
            "GET", "/fleet/status" + team_query_string(client)
        )
        nodes_behind = [
            node["node"] for node in response["nodes"] if node["position"] <= offset
        ]
        nodes_behind += response["missing"]
        if not nodes_behind or time.monotonic() >= deadline:
            return nodes_behind
        if not client.as_json:
            typer.echo(f"waiting for {len(nodes_behind)} nodes", err=True)
        time.sleep(ROLLOUT_POLL_SECONDS)


def team_query_string(client: AdminClient) -> str:
    """Return the query string with the operator's team, if it is known."""
    return "?" + urlencode({"team": client.team}) if client.team else ""


@key_app.command("issue")
def issue(
    team: Team,
    account: Annotated[str, typer.Option(help="Client account of the key.")],
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    out: Annotated[
        str, typer.Option(help="File for the key, created with mode 600.")
    ] = "",
    wait: Annotated[
        bool, typer.Option(help="Wait until all nodes have the key.")
    ] = True,
    as_json: AsJson = False,
) -> None:
    """Issue a key for a client account.

    The key is generated here and shown once; only its digest leaves this machine.
    """
    client = open_admin_client(admin, token_file, as_json)
    client.team = team
    issued_key = issue_key()
    if out:
        # Written before the key is issued: a key whose text is lost is of no use.
        write_private_file(out, issued_key.secret_text)
        typer.echo(f"the key is in {out}; it is valid once accepted", err=True)
    body = {"team": team, "account": account, "reason": reason}
    body |= {"key_id": issued_key.key_id, "digest": sha256_hex(issued_key.secret_text)}
    response = client.request_json("POST", "/keys", body | {"change_id": random_id()})
    response["key_id"] = issued_key.key_id
    if response["result"] == "accepted" and not out:
        response["key"] = issued_key.secret_text
        if not as_json:
            typer.echo(issued_key.secret_text)
    report_change(client, response, wait)


def write_private_file(path: str, text: str) -> None:
    """Write a secret to a new file that only its owner can read."""
    try:
        target = Path(path)
        target.touch(mode=0o600, exist_ok=False)
        target.write_text(text + "\n")
    except OSError as error:
        fail(f"--out {path}: {error.strerror}")


@key_app.command("withdraw")
def withdraw(
    key_id: str,
    team: Team,
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    wait: Annotated[
        bool, typer.Option(help="Wait until all nodes have the withdrawal.")
    ] = True,
    as_json: AsJson = False,
) -> None:
    """Withdraw a key permanently, by its id (the middle part of the key).

    The withdrawal is sent to all nodes directly and through the log, so this also works
    while the log is down; the command then says that it is not recorded yet.
    """
    if "_" in key_id:
        fail("expected the id of the key, not the key itself", EXIT_USAGE)
    client = open_admin_client(admin, token_file, as_json)
    client.team = team
    body = {"team": team, "key_id": key_id, "reason": reason, "change_id": random_id()}
    response = client.request_json("POST", "/keys/withdraw", body)
    if response["result"] == "refused" and not as_json:
        typer.echo(
            f"the key is withdrawn at {len(response['reached']) + 1} nodes, but the "
            "log did not confirm the record; run the command again when the log is "
            "available",
            err=True,
        )
    report_change(client, response, wait)


@key_app.command("list")
def list_keys(
    team: Team, admin: Admin = "", token_file: TokenFile = "", as_json: AsJson = False
) -> None:
    """List the keys of a team; the texts of keys are not stored."""
    client = open_admin_client(admin, token_file, as_json)
    response = client.request_json("GET", "/keys?" + urlencode({"team": team}))
    lines = [f"{'key id':<18}{'account':<24}{'state':<11}{'since':<21}by"]
    for entry in response["keys"]:
        state = "withdrawn" if entry["withdrawn"] else "valid"
        lines.append(
            f"{entry['key_id']:<18}{entry['account']:<24}{state:<11}"
            f"{format_time(entry['time']):<21}{entry['author']}: {entry['reason']}"
        )
    client.print_value(response, "\n".join(lines))


@token_app.command("make")
def make_token(as_json: AsJson = False) -> None:
    """Generate a token and its digest, for a team or for --root-token-digest."""
    text = issue_token()
    value = {"token": text, "digest": sha256_hex(text)}
    text_output = f"token  {text}\ndigest {value['digest']}"
    typer.echo(json.dumps(value) if as_json else text_output)


@token_app.command("set")
def set_token(
    team: Team,
    digest_text: Annotated[
        str, typer.Option("--digest", help="Digest printed by `token make`.")
    ],
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    as_json: AsJson = False,
) -> None:
    """Set the token of a team; requires the root token."""
    if not DIGEST_PATTERN.fullmatch(digest_text):
        fail(
            "--digest must have 64 hexadecimal digits, as printed by `token make`",
            EXIT_USAGE,
        )
    client = open_admin_client(admin, token_file, as_json)
    body = {"team": team, "digest": digest_text, "reason": reason}
    response = client.request_json("POST", "/tokens", body | {"change_id": random_id()})
    report_change(client, response, True)


def format_time(seconds: float) -> str:
    """Return a wall clock time as a local date and time."""
    return datetime.fromtimestamp(seconds).strftime("%Y-%m-%d %H:%M:%S")
