"""The command line of the node and of operators."""

import json
import logging
import os
import sys

import curio
import typer
from loguru import logger

from . import __version__
from .adminclient import EXIT_FAILED, EXIT_USAGE
from .commands import key_app, policy_app, token_app
from .errors import SettingsError
from .fleetcommands import forget, report, status, timeline
from .incarnations import read_last_incarnation
from .logservice import HttpLogService
from .node import Node, wait_for_stop
from .options import build_settings, with_flags
from .settings import NodeSettings
from .signals import SignalWaiter

HUMAN_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {message}"

app = typer.Typer(
    help="Overload control for service call graphs: one node beside each target host.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(policy_app, name="policy")
app.add_typer(key_app, name="key")
app.add_typer(token_app, name="token")
app.command("report")(report)
app.command("timeline")(timeline)
app.command("status")(status)
app.command("forget")(forget)


@app.command("version")
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def run_node(values: dict[str, str]) -> None:
    """Run a node beside a target host.

    Every flag has an environment variable. At the start, the listening addresses are
    printed as one line of JSON. SIGTERM stops the node gracefully.
    """
    try:
        settings = build_settings(values, os.environ)
    except SettingsError as error:
        for line in error.message.splitlines():
            typer.echo(f"error: {line}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    configure_logging(settings.log_format)
    failed = curio.run(serve, settings)
    if failed:
        raise typer.Exit(EXIT_FAILED)


async def serve(settings: NodeSettings) -> bool:
    """Run a node until it stops; return whether its sockets cannot be opened."""
    log = HttpLogService(settings.log, settings.log_timeout)
    signals = SignalWaiter()
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(wait_for_stop, signals)
        reading = await group.spawn(
            read_last_incarnation, log, settings.node_id, settings.fleet_secret
        )
    if signals.stop_requested:
        logger.info("node {} has stopped before its start", settings.node_id)
        return False
    try:
        node = Node(settings, reading.result, signals)
    except OSError as error:
        logger.error("cannot open the sockets of the node: {}", error)
        return True
    typer.echo(json.dumps({"node": settings.node_id, **node.addresses()}))
    sys.stdout.flush()
    await node.run()
    return False


def configure_logging(log_format: str) -> None:
    """Write log lines to standard error, as readable text or as JSON."""
    # curio logs a warning when a timeout expires together with the awaited operation.
    logging.getLogger("curio").setLevel(logging.ERROR)
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, serialize=True, level="INFO")
    else:
        logger.add(sys.stderr, format=HUMAN_FORMAT, level="INFO")


app.command("node")(with_flags(run_node))


def run() -> None:
    """Run the command line."""
    app()
