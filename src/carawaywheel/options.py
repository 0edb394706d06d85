"""Flags and environment variables of the node, derived from its settings."""

import inspect
import math
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from .errors import SettingsError
from .settings import (
    AdmissionSettings,
    LevelSettings,
    LimitSettings,
    MembershipSettings,
    NodeSettings,
    RetrySettings,
    RoutingSettings,
    ShareSettings,
)

ENVIRONMENT_PREFIX = "CARAWAYWHEEL_"
MIN_SECRET_BYTES = 16
GROUPS: dict[str, type] = {
    "limit": LimitSettings,
    "admission": AdmissionSettings,
    "level": LevelSettings,
    "retry": RetrySettings,
    "routing": RoutingSettings,
    "membership": MembershipSettings,
    "share": ShareSettings,
}
ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535
MAX_OCTET = 255

# 0 disables these or means no limit; all other numbers must be positive.
ZERO_ALLOWED = {
    "news_max_age",
    "leave_wait",
    "level_probe_share",
    "retry_attempts",
    "retry_service_share",
    "retry_service_floor",
    "routing_domain_margin",
    "share_drift",
    "share_ahead_floor",
    "share_ahead_time",
    "share_prompt_share",
    "share_ahead_share",
    "membership_indirect_probes",
}
MAX_BY_NAME = {
    "level_probe_share": 1.0,
    "limit_cold_start_share": 1.0,
    "retry_service_share": 1.0,
    "routing_eject_share": 1.0,
    "share_ahead_share": 1.0,
    "share_prompt_share": 1.0,
    "share_drift": 0.05,
    "retry_attempts": 100,
    "share_slots": 4096,
    "membership_updates_per_message": 64,
}
MAX_NUMBER = 1e12
BOOLEANS = {
    "true": True,
    "1": True,
    "yes": True,
    "false": False,
    "0": False,
    "no": False,
}


class Flag(NamedTuple):
    """One flag of the node command.

    Attributes:
        name: Name with underscores.
        group: Group of settings, empty for the node's own.
        field: Field of the settings.
        default: Default value; None if the flag is required.
        help: Help text, with the unit.
    """

    name: str
    group: str
    field: str
    default: Any
    help: str

    @property
    def option(self) -> str:
        """The option of the command line, such as ``--log-format``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


DEFAULTS: dict[str, Any] = {
    "node_id": "",
    "domain": "",
    "domains": "",
    "listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
    "admin_listen": "127.0.0.1:0",
    "peer_advertise": "",
    "seeds": "",
    "log": "",
    "log_timeout": 2.0,
    "log_retention": 86_400.0,
    "log_format": "human",
    "fleet_secret_file": "",
    "root_token_digest": "",
    "statsd": "",
    "max_body": 1_048_576,
    "max_buffered": 67_108_864,
    "max_connections": 4096,
    "news_max_age": 0.0,
    "stop_grace": 30.0,
    "leave_wait": 2.0,
    "event_bytes": 16_777_216,
    "summary_interval": 10.0,
}
SECRET_HELP = (
    "File that contains the fleet secret. CARAWAYWHEEL_FLEET_SECRET may hold the "
    "secret itself; there is no flag for it, as flags are visible in process lists."
)


def field_descriptions(settings: type) -> dict[str, str]:
    """Return the description of each field from the docstring of its class."""
    text = inspect.getdoc(settings) or ""
    lines = text.partition("Attributes:\n")[2]
    descriptions: dict[str, str] = {}
    name = ""
    for line in lines.splitlines():
        match = re.match(r"    (\w+): (.*)", line)
        if match:
            name = match.group(1)
            descriptions[name] = match.group(2)
        elif name and line.startswith("        "):
            descriptions[name] += " " + line.strip()
    return descriptions


def node_flags() -> list[Flag]:
    """Return all flags of the node command."""
    help_by_field = field_descriptions(NodeSettings) | {
        "fleet_secret_file": SECRET_HELP
    }
    flags = [
        Flag(name, "", name, default, help_by_field[name])
        for name, default in DEFAULTS.items()
    ]
    for group, settings in GROUPS.items():
        group_help_by_field = field_descriptions(settings)
        for field, default in settings._field_defaults.items():  # type: ignore[attr-defined]
            name = f"{group}_{field}"
            flags.append(Flag(name, group, field, default, group_help_by_field[field]))
    return flags


FLAGS = node_flags()


def with_flags(command: Callable[[dict[str, str]], None]) -> Callable[..., None]:
    """Return a command with one option for each flag of the node."""

    def run(**values: str) -> None:
        command(values)

    parameters = []
    for flag in FLAGS:
        option = typer.Option(
            flag.option, envvar=flag.variable, help=flag.help, show_envvar=True
        )
        parameters.append(
            inspect.Parameter(
                flag.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=str(flag.default),
                annotation=Annotated[str, option],
            )
        )
    run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    run.__annotations__ = {item.name: item.annotation for item in parameters}
    run.__doc__ = command.__doc__
    return run


def build_settings(
    texts: Mapping[str, str], environment: Mapping[str, str]
) -> NodeSettings:
    """Check all values and build the settings of a node.

    Args:
        texts: Values by flag name, as given on the command line.
        environment: Environment variables, for the fleet secret.

    Raises:
        SettingsError: If any value is invalid; the message has one line for each,
            with the flag, the value and what is allowed.
    """
    errors: list[str] = []
    values: dict[str, Any] = {}
    for flag in FLAGS:
        values[flag.name] = check_flag(flag, texts[flag.name], errors)
    secret = read_secret(values["fleet_secret_file"], environment, errors)
    domains = tuple(sorted(split_list(values["domains"])))
    check_domains(values["domain"], domains, errors)
    if errors:
        raise SettingsError("\n".join(errors), "check settings")
    groups = {
        group: settings(
            **{flag.field: values[flag.name] for flag in FLAGS if flag.group == group}
        )
        for group, settings in GROUPS.items()
    }
    node_values = {
        name: values[name] for name in DEFAULTS if name != "fleet_secret_file"
    }
    node_values["seeds"] = split_list(values["seeds"])
    node_values |= {"domains": domains, "fleet_secret": secret}
    return NodeSettings(**node_values, **groups)


def check_flag(flag: Flag, text: str, errors: list[str]) -> Any:
    """Return the value of a flag, and append an error if it is not allowed."""
    value_type = type(flag.default)
    value: Any = text
    if value_type is bool:
        value = BOOLEANS.get(text.lower())
        allowed = "" if value is not None else "true or false"
    elif value_type in (int, float):
        value = parse_number(text, value_type)
        allowed = check_number(flag.name, value, value_type)
    else:
        allowed = check_text(flag.name, text)
    if allowed:
        errors.append(
            f"{flag.option} ({flag.variable}) is {text!r}; allowed: {allowed}"
        )
    return value


def parse_number(text: str, value_type: type) -> float | None:
    """Return a number, or None if the text is not a finite number of its type."""
    try:
        number: float = value_type(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def check_text(name: str, value: str) -> str:
    """Return what is allowed if a text is malformed, else an empty string."""
    if name in ("listen", "peer_listen", "admin_listen"):
        return check_address(value, False)
    if name == "log" or (name in ("statsd", "peer_advertise") and value):
        return check_address(value, True)
    if name == "seeds":
        return next(
            filter(None, (check_address(a, True) for a in split_list(value))), ""
        )
    if name in ("node_id", "domain") and not NAME_PATTERN.fullmatch(value):
        return "1 to 63 letters, digits, dots, dashes and underscores"
    if name == "log_format" and value not in ("human", "json"):
        return "human or json"
    if name == "root_token_digest" and value and not DIGEST_PATTERN.fullmatch(value):
        return "64 hexadecimal digits, as printed by `token make`"
    return ""


def check_number(name: str, value: float | None, value_type: type) -> str:
    """Return what is allowed if a number is missing or out of range, else ""."""
    highest = MAX_BY_NAME.get(name, MAX_NUMBER)
    allows_zero = name in ZERO_ALLOWED
    if value is not None and 0 <= value <= highest and (value > 0 or allows_zero):
        return ""
    word = "a whole number" if value_type is int else "a number"
    return (
        f"{word} from 0 to {highest:g}"
        if allows_zero
        else f"{word} up to {highest:g}, above 0"
    )


def split_list(text: str) -> tuple[str, ...]:
    """Return the non-empty items of a comma-separated list."""
    return tuple(filter(None, text.split(",")))


def check_address(value: str, needs_port: bool) -> str:
    """Return what is allowed if an address is malformed, else an empty string."""
    lowest = 1 if needs_port else 0
    allowed = (
        f"an IPv4 address and a port from {lowest} to {MAX_PORT}, such as 10.0.0.5:80"
    )
    if not ADDRESS_PATTERN.fullmatch(value):
        return allowed
    host, _, port = value.rpartition(":")
    if any(int(part) > MAX_OCTET for part in host.split(".")):
        return allowed
    return "" if lowest <= int(port) <= MAX_PORT else allowed


def check_domains(domain: str, domains: tuple[str, ...], errors: list[str]) -> None:
    """Append an error for each fault of the list of failure domains."""
    for name in domains:
        if not NAME_PATTERN.fullmatch(name):
            errors.append(f"--domains has {name!r}; allowed: names separated by commas")
    if domain and domain not in domains:
        listed = ",".join(domains)
        errors.append(
            f"--domains (CARAWAYWHEEL_DOMAINS) is {listed!r}; allowed: a list that "
            f"contains {domain!r}, the value of --domain"
        )


def read_secret(path: str, environment: Mapping[str, str], errors: list[str]) -> bytes:
    """Return the fleet secret from its file or the environment."""
    secret = environment.get(ENVIRONMENT_PREFIX + "FLEET_SECRET", "").encode()
    if path:
        try:
            secret = Path(path).read_bytes().strip()
        except OSError as error:
            errors.append(
                f"--fleet-secret-file is {path!r}; cannot read it: {error.strerror}"
            )
            return b""
    if len(secret) < MIN_SECRET_BYTES:
        errors.append(
            f"the fleet secret has {len(secret)} bytes; allowed: at least "
            f"{MIN_SECRET_BYTES}, in --fleet-secret-file or CARAWAYWHEEL_FLEET_SECRET"
        )
    return secret
