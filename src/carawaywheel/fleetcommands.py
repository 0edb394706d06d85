"""Commands on the whole fleet: status, timeline, report and forget."""

import json
import time
from datetime import datetime
from typing import Annotated, Any
from urllib.parse import urlencode

import msgspec
import typer

from .adminclient import EXIT_USAGE, AdminClient, fail, write_output
from .commands import Admin, AsJson, Reason, TokenFile, open_admin_client
from .events import Event, EventFilter, decode_events
from .reportanalysis import Span, build_report
from .reports import render_html, render_json, render_text
from .summaries import Summary
from .timeline import render_json as render_timeline_json
from .timeline import render_sequence_diagram, select_entries
from .timeline import render_text as render_timeline_text

FOLLOW_INTERVAL_SECONDS = 1.0
DEFAULT_SPAN_SECONDS = 3600.0
MISSING_NODES_HEADER = "x-missing-nodes"

OwnTeam = Annotated[
    str, typer.Option("--team", help="Your team, if your token is a team's.")
]
Begin = Annotated[
    str, typer.Option(help="Start: 2026-01-31T12:00:00, or seconds ago like -600.")
]
End = Annotated[str, typer.Option(help="End, as for --begin; default: now.")]

SummaryResponse = tuple[list[Summary], str]


def parse_time(text: str, default: float, flag: str) -> float:
    """Parse a time option into wall clock time in seconds.

    Args:
        text: ISO 8601 time, or negative seconds relative to now.
        default: Result for an empty text.
        flag: Option that the text was given for, named in the error message.
    """
    if not text:
        return default
    try:
        if text.startswith("-"):
            return time.time() + float(text)
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        fail(
            f"{flag} is {text!r}; allowed: a time like 2026-01-31T12:00:00 or "
            "seconds ago like -600",
            EXIT_USAGE,
        )


def team_query_suffix(team: str) -> str:
    """Return the query string for the operator's team, empty for none."""
    return "?" + urlencode({"team": team}) if team else ""


def status(
    admin: Admin = "",
    token_file: TokenFile = "",
    team: OwnTeam = "",
    as_json: AsJson = False,
) -> None:
    """Show the nodes, their targets, limits, queues and the age of their log data."""
    client = open_admin_client(admin, token_file, as_json)
    fleet_status = client.request_json("GET", "/fleet/status" + team_query_suffix(team))
    client.print_value(fleet_status, format_status(fleet_status))


def format_status(fleet_status: dict[str, Any]) -> str:
    """Format the status of the fleet as a table."""
    lines = [
        f"{'node':<16}{'domain':<12}{'service':<16}{'target':<10}{'limit':>7}"
        f"{'in use':>8}{'queued':>8}{'slots':>7}{'version':>9}{'news age':>10}"
    ]
    for node in fleet_status["nodes"]:
        age = node["news_age"]
        age_text = "none" if age is None else f"{age:.1f} s"
        lines.append(
            f"{node['node']:<16}{node['domain']:<12}{node['service'] or '-':<16}"
            f"{node['target_state']:<10}{node['limit']:>7}{node['in_flight']:>8}"
            f"{node['queued']:>8}{node['share_slots']:>7}{node['position']:>9}"
            f"{age_text:>10}"
        )
    if fleet_status["missing"]:
        lines.append(f"no response from: {', '.join(fleet_status['missing'])}")
    if any(node["log_down"] for node in fleet_status["nodes"]):
        lines.append("some nodes cannot reach the log")
    return "\n".join(lines)


def fetch_events(
    client: AdminClient, query: dict[str, str]
) -> tuple[list[Event], list[str]]:
    """Return the merged events of all nodes, and the ids of missing nodes."""
    parameters = {name: value for name, value in query.items() if value}
    suffix = "?" + urlencode(parameters) if parameters else ""
    content, headers = client.request_bytes("/fleet/events" + suffix)
    missing = [
        name for name in headers.get(MISSING_NODES_HEADER, "").split(",") if name
    ]
    return decode_events(content), missing


def timeline(
    request: Annotated[
        str, typer.Option(help="Request id, as returned to the caller.")
    ] = "",
    account: Annotated[str, typer.Option(help="Client account, team/account.")] = "",
    target: Annotated[
        str, typer.Option(help="Target, given by the id of its node.")
    ] = "",
    key: Annotated[str, typer.Option(help="Id of an API key.")] = "",
    begin: Begin = "",
    end: End = "",
    follow: Annotated[
        bool, typer.Option("--follow", help="Continue with new events.")
    ] = False,
    picture: Annotated[
        str, typer.Option(help="SVG file for a sequence diagram of the request.")
    ] = "",
    admin: Admin = "",
    token_file: TokenFile = "",
    team: OwnTeam = "",
    as_json: AsJson = False,
) -> None:
    """Show the events of all nodes in causal order.

    Example: carawaywheel timeline --account okonkwo/bibb-county --begin -600
    """
    client = open_admin_client(admin, token_file, as_json)
    if picture and not request:
        fail("--picture needs --request: it shows a single request", EXIT_USAGE)
    event_filter = EventFilter(
        request,
        account,
        target,
        key,
        parse_time(begin, 0.0, "--begin"),
        parse_time(end, time.time() + DEFAULT_SPAN_SECONDS, "--end"),
    )
    query = {"request": request, "team": team}
    events, missing = fetch_events(client, query)
    if picture:
        write_output("--picture", picture, render_sequence_diagram(events, request))
    print_timeline(events, event_filter, as_json)
    if missing:
        typer.echo(f"no response from: {', '.join(missing)}", err=True)
    seen_keys = {event.key for event in events}
    while follow:
        time.sleep(FOLLOW_INTERVAL_SECONDS)
        events, _ = fetch_events(client, query)
        print_timeline(
            [event for event in events if event.key not in seen_keys],
            event_filter,
            as_json,
        )
        seen_keys.update(event.key for event in events)


def print_timeline(
    events: list[Event], event_filter: EventFilter, as_json: bool
) -> None:
    """Print the timeline of the matching events as text or as JSON."""
    entries = select_entries(events, event_filter)
    if as_json:
        typer.echo(render_timeline_json(entries))
    else:
        typer.echo(render_timeline_text(entries), nl=False)


def report(
    begin: Begin = "",
    end: End = "",
    html: Annotated[
        str, typer.Option(help="File for the report as an HTML page.")
    ] = "",
    admin: Admin = "",
    token_file: TokenFile = "",
    team: OwnTeam = "",
    as_json: AsJson = False,
) -> None:
    """Show what was shed, in what order, and which callers were refused.

    Example: carawaywheel report --begin -3600 --html overload.html
    """
    client = open_admin_client(admin, token_file, as_json)
    now = time.time()
    span = Span(
        parse_time(begin, now - DEFAULT_SPAN_SECONDS, "--begin"),
        parse_time(end, now, "--end"),
    )
    content, _ = client.request_bytes("/fleet/summaries" + team_query_suffix(team))
    summaries, log_error = msgspec.msgpack.decode(content, type=SummaryResponse)
    events, missing = fetch_events(client, {"team": team})
    overload_report = build_report(summaries, events, span)
    if html:
        write_output("--html", html, render_html(overload_report))
    typer.echo(
        render_json(overload_report) if as_json else render_text(overload_report)
    )
    for line in filter(None, [log_error, missing and f"no response from: {missing}"]):
        typer.echo(str(line), err=True)


def forget(
    node_id: str,
    reason: Reason,
    admin: Admin = "",
    token_file: TokenFile = "",
    as_json: AsJson = False,
) -> None:
    """Declare a node permanently gone, so that others take over its rate slots.

    Needs the root token. Use it only if the host is known to be off: the rates of
    client accounts could be exceeded if its node were still running.
    """
    client = open_admin_client(admin, token_file, as_json)
    body = {"node_id": node_id, "reason": reason}
    response = client.request_json("POST", "/nodes/forget", body)
    text = f"node {node_id} is declared permanently gone"
    client.print_value(
        response, text if response["result"] == "accepted" else json.dumps(response)
    )
