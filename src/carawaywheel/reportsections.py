"""Contents of the overload report, as sections with tables for its two audiences."""

from typing import NamedTuple

from .markup import format_datetime, format_time
from .refusals import Reason
from .reportanalysis import AccountRow, RefusalEpisode, Report
from .summaries import CountingPoint, OutcomeCount
from .summarizer import OVERLOAD_REASONS

NO_ACCOUNT = "(no account)"
EMPTY_CELL = "–"
MAX_EPISODES = 300
MAX_LISTED_REFUSALS = 3

# Texts for callers, as client relations can pass them on.
REASON_TEXTS = {
    Reason.NO_ROUTE: "requested an address that does not exist",
    Reason.BAD_REQUEST: "sent a malformed request",
    Reason.KEY_MISSING: "sent no key",
    Reason.KEY_UNKNOWN: "sent a key that is not known",
    Reason.KEY_WITHDRAWN: "sent a key that has been withdrawn",
    Reason.FORBIDDEN: "sent a key that is not valid for this service",
    Reason.RATE_EXCEEDED: "sent more than the agreed rate",
    Reason.OVERLOAD: "the service was overloaded",
    Reason.QUEUE_FULL: "the service was overloaded and its queue was full",
    Reason.DEADLINE: "no response was possible before the caller's deadline",
    Reason.CANCELLED: "the caller cancelled the request",
    Reason.NO_TARGET: "no host of the service was available",
    Reason.TARGET_SHED: "the service itself rejected the request under load",
    Reason.TARGET_FAILED: "the service failed",
    Reason.PEER_FAILED: "the connection inside the mesh failed",
    Reason.RETRIES_SPENT: "several attempts failed",
    Reason.DUPLICATE: "the request had been sent before",
    Reason.LOG_UNAVAILABLE: "the platform's log was unavailable",
    Reason.STALE_NODE: "the host that received the request had just been suspended",
    Reason.SHUTTING_DOWN: "the host that received the request was shutting down",
}


class Column(NamedTuple):
    """Column of a table; numeric columns are right-aligned."""

    name: str
    numeric: bool = False


class Table(NamedTuple):
    """Table of a section.

    Attributes:
        title: Title, shown as the caption.
        columns: Columns.
        rows: Cells of each row, as text.
        empty: Text that is shown if there are no rows.
    """

    title: str
    columns: list[Column]
    rows: list[list[str]]
    empty: str


class Section(NamedTuple):
    """Section of the report.

    Attributes:
        name: Id of the section, used as link target.
        title: Heading.
        paragraphs: Introductory paragraphs.
        items: Items of a bullet list.
        tables: Tables.
    """

    name: str
    title: str
    paragraphs: list[str]
    items: list[str]
    tables: list[Table]


def make_sections(report: Report) -> list[Section]:
    """Return the sections of a report."""
    return [
        overview_section(report),
        on_call_section(report),
        client_relations_section(report),
        data_gaps_section(report),
    ]


def overview_section(report: Report) -> Section:
    """Return the section for all audiences."""
    served = sum(row.served for row in report.accounts)
    in_rate = sum(row.refused_in_rate for row in report.accounts)
    over_rate = sum(row.refused_over_rate for row in report.accounts)
    fault_of_request = sum(row.refused_itself for row in report.accounts)
    may_have_run = sum(row.may_have_run for row in report.accounts)
    broken = [bound.name for bound in report.bounds if bound.held is False]
    items = [
        f"Callers' requests served: {served:,}",
        f"Refused although the client account was within its rate: {in_rate:,}",
        f"Refused while the client account was over its rate: {over_rate:,}",
        f"Refused for the request itself, such as its key: {fault_of_request:,}",
        f"Refused requests that may have run all the same: {may_have_run:,}",
        f"Most refusals: {largest_refusals(report)}",
        f"Nodes that sent summaries: {len(report.nodes):,}",
        f"Bounds broken: {'; '.join(broken) if broken else 'none'}",
        f"Things this report cannot know: {len(report.unknown)}, see the last section",
    ]
    span = (
        f"{format_datetime(report.span.begin)} to "
        f"{format_datetime(report.span.end)} UTC"
    )
    return Section("overview", "Overload report", [span], items, [])


def largest_refusals(report: Report) -> str:
    """Return the largest groups of refusals at the entry as text."""
    entry_rows = [
        row for row in report.refusals if row.key.place is CountingPoint.ENTRY
    ]
    largest = sorted(entry_rows, key=lambda row: -row.requests)[:MAX_LISTED_REFUSALS]
    texts = []
    for row in largest:
        reason = row.key.reason.value.replace("_", " ") if row.key.reason else ""
        group = f"{row.key.service} {row.key.importance.name.lower()} ({reason})"
        times = f"{format_time(row.first)} to {format_time(row.last)}"
        texts.append(f"{group} {row.requests:,} from {times}")
    return "; ".join(texts) or "none"


def on_call_section(report: Report) -> Section:
    """Return the section for on-call staff."""
    paragraph = (
        "Refusals at the entry count each caller's request once. Refusals at targets "
        "count each attempt, sub-calls included, so one request may be counted several "
        "times. Request ids can be looked up in the timeline."
    )
    tables = [
        bounds_table(report),
        *refusals_tables(report),
        services_table(report),
        steps_table(report),
    ]
    return Section("on-call", "For on-call staff", [paragraph], [], tables)


def bounds_table(report: Report) -> Table:
    """Return the table of the bound checks."""
    result_texts = {True: "held", False: "BROKEN", None: "nothing to check"}
    rows = [
        [bound.name, result_texts[bound.held], bound.figures] for bound in report.bounds
    ]
    columns = [Column("Bound"), Column("Result"), Column("Figures")]
    return Table("Which bounds held", columns, rows, "No bounds.")


def refusals_tables(report: Report) -> list[Table]:
    """Return the tables of refusals for overload and for other reasons."""
    columns = [
        Column("First"),
        Column("Last"),
        Column("At"),
        Column("Service"),
        Column("Importance"),
        Column("Reason"),
        Column("About"),
        Column("In rate"),
        Column("May have run"),
        Column("Requests", numeric=True),
        Column("Examples"),
    ]
    shed: list[list[str]] = []
    other: list[list[str]] = []
    for row in report.refusals:
        is_overload = row.key.reason in OVERLOAD_REASONS
        (shed if is_overload else other).append(refusal_cells(row))
    title = "What was shed for overload, in the order of the first refusal"
    other_title = (
        "What was refused for other reasons, in the order of the first refusal"
    )
    return [
        Table(title, columns, shed, "Nothing was shed."),
        Table(other_title, columns, other, "Nothing was refused."),
    ]


def refusal_cells(row: OutcomeCount) -> list[str]:
    """Return the cells of one row of the tables of refusals."""
    key = row.key
    return [
        format_time(row.first),
        format_time(row.last),
        "entry" if key.place is CountingPoint.ENTRY else "target",
        key.service or EMPTY_CELL,
        key.importance.name.lower(),
        key.reason.value.replace("_", " ") if key.reason else EMPTY_CELL,
        key.cause or EMPTY_CELL,
        yes_no(key.in_rate),
        yes_no(key.may_have_run),
        f"{row.requests:,}",
        " ".join(row.examples) or EMPTY_CELL,
    ]


def services_table(report: Report) -> Table:
    """Return the table of outcomes by service and importance."""
    columns = [
        Column("Service"),
        Column("Importance"),
        Column("Ran", numeric=True),
        Column("Refused at targets", numeric=True),
        Column("Part refused there", numeric=True),
        Column("Refused at the entry", numeric=True),
    ]
    rows = []
    for row in report.services:
        attempts = row.ran + row.refused
        refused_share = f"{row.refused / attempts:.1%}" if attempts else EMPTY_CELL
        counts = [f"{row.ran:,}", f"{row.refused:,}", refused_share]
        refused_at_entry = f"{row.refused_at_entry:,}"
        rows.append(
            [row.service, row.importance.name.lower(), *counts, refused_at_entry]
        )
    return Table("What ran meanwhile", columns, rows, "No requests were counted.")


def steps_table(report: Report) -> Table:
    """Return the table of state changes, first and last refusals."""
    rows = [
        [format_time(step.time), step.node_id or EMPTY_CELL, step.text]
        for step in report.steps
    ]
    columns = [Column("Time"), Column("Node"), Column("What happened")]
    title = "In what order: changes of state, first and last refusals"
    return Table(title, columns, rows, "No changes of state are known.")


def client_relations_section(report: Report) -> Section:
    """Return the section for client relations."""
    paragraph = (
        "A request within the rate should have been served: the client account kept "
        "to its agreement. A request over the rate was refused because the client "
        "account had sent more than agreed. A request refused for itself had, for "
        "example, an unknown key, or was cancelled by the caller. Where a request may "
        "have run, the caller should check its effect before sending it again."
    )
    tables = [accounts_table(report), episodes_table(report)]
    title = "For client relations"
    return Section("client-relations", title, [paragraph], [], tables)


def accounts_table(report: Report) -> Table:
    """Return the table of outcomes by client account."""
    columns = [
        Column("Client account"),
        Column("Served", numeric=True),
        Column("Refused within the rate", numeric=True),
        Column("Part served within the rate", numeric=True),
        Column("Refused over the rate", numeric=True),
        Column("Refused for the request itself", numeric=True),
        Column("May have run", numeric=True),
    ]
    rows = [account_cells(row) for row in report.accounts]
    title = "Client accounts, the worst served first"
    return Table(title, columns, rows, "No callers' requests were counted.")


def account_cells(row: AccountRow) -> list[str]:
    """Return the cells of one client account."""
    return [
        row.account or NO_ACCOUNT,
        f"{row.served:,}",
        f"{row.refused_in_rate:,}",
        EMPTY_CELL if row.share is None else f"{row.share:.1%}",
        f"{row.refused_over_rate:,}",
        f"{row.refused_itself:,}",
        f"{row.may_have_run:,}",
    ]


def episodes_table(report: Report) -> Table:
    """Return the table of refusal episodes, limited to the largest."""
    columns = [
        Column("Client account"),
        Column("From"),
        Column("To"),
        Column("Service"),
        Column("Importance"),
        Column("Why"),
        Column("Within rate"),
        Column("May have run"),
        Column("Requests", numeric=True),
        Column("Request ids"),
    ]
    largest = sorted(report.episodes, key=lambda episode: -episode.requests)
    shown = sorted(largest[:MAX_EPISODES], key=lambda e: (e.key.account, e.first))
    rows = [episode_cells(episode) for episode in shown]
    title = "Which callers were turned away, when and why"
    if len(shown) < len(largest):
        title += f" (the {len(shown):,} largest of {len(largest):,} entries)"
    return Table(title, columns, rows, "No caller was turned away.")


def episode_cells(episode: RefusalEpisode) -> list[str]:
    """Return the cells of one refusal episode."""
    key = episode.key
    return [
        key.account or NO_ACCOUNT,
        format_datetime(episode.first),
        format_time(episode.last),
        key.service or EMPTY_CELL,
        key.importance.name.lower(),
        REASON_TEXTS[key.reason] if key.reason else EMPTY_CELL,
        yes_no(key.in_rate),
        yes_no(key.may_have_run),
        f"{episode.requests:,}",
        " ".join(episode.examples) or EMPTY_CELL,
    ]


def data_gaps_section(report: Report) -> Section:
    """Return the section about missing data."""
    title = "What this report cannot know"
    return Section("unknown", title, [], report.unknown, [])


def yes_no(value: bool) -> str:
    """Return ``yes`` or ``no``."""
    return "yes" if value else "no"
