"""Command line of the soak."""

import tomllib
from pathlib import Path

import curio
import typer

from .soak import Soak, SoakSettings

SEEDS = Path(__file__).with_name("seeds.toml")
EXIT_VIOLATION = 1


def known_seeds(output: Path) -> list[SoakSettings]:
    """Return the seeds that have failed before."""
    seeds = tomllib.loads(SEEDS.read_text())["seeds"]
    return [
        SoakSettings(
            item["seed"],
            item["seconds"],
            item["hosts"],
            output / f"{item['seed']}-{item['hosts']}-{item['seconds']}",
        )
        for item in seeds
    ]


def main(
    seed: int = typer.Option(1, help="Seed of the schedule."),
    seconds: float = typer.Option(60.0, help="Length of the schedule in seconds."),
    hosts: int = typer.Option(8, min=2, max=120, help="Number of hosts."),
    known: bool = typer.Option(True, help="Play the seeds that failed before first."),
    output: Path = typer.Option(Path("out/soak"), help="Directory of the logs."),
) -> None:
    """Play a seeded schedule of faults against real nodes and check the promises."""
    played = known_seeds(output) if known else []
    played.append(SoakSettings(seed, seconds, hosts, output / str(seed)))
    verdicts = [curio.run(Soak(settings).run) for settings in played]
    if not all(verdicts):
        raise typer.Exit(EXIT_VIOLATION)


app = typer.Typer(pretty_exceptions_enable=False)
app.command()(main)
app()
