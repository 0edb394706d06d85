"""Requests of the command line to the administration API of a node."""

import json
import os
import sys
from pathlib import Path
from typing import Any, NoReturn

import curio
import typer

from .errors import PeerError
from .pool import ConnectionPool

REQUEST_TIMEOUT_SECONDS = 15.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
TOKEN_VARIABLE = "CARAWAYWHEEL_TOKEN"
FORBIDDEN_STATUS = 403
EXIT_FAILED = 1
EXIT_USAGE = 2


def fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """End the command with an error."""
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(code)


def read_token(path: str) -> str:
    """Return the operator's token from a file or the environment.

    It is never a flag, for flags show in process lists.
    """
    if path:
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            fail(f"--token-file {path}: {error.strerror}", EXIT_USAGE)
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        fail(f"no token: set {TOKEN_VARIABLE} or use --token-file", EXIT_USAGE)
    return token


class AdminClient:
    """A connection to the administration API.

    Attributes:
        admin: Admin address of any node, ``ip:port``.
        token: Token of the operator.
        as_json: Whether output is machine-readable.
        team: Team of the operator, empty if it is not known.
    """

    def __init__(self, admin: str, token: str, as_json: bool) -> None:
        self.address = admin
        self.token = token
        self.as_json = as_json
        self.team = ""

    def request(
        self, method: str, target: str, value: Any = None
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request; return the status, the body and the headers."""
        body = b"" if value is None else json.dumps(value).encode()
        try:
            return curio.run(self.send_request, method, target, body)
        except PeerError as error:
            fail(f"node {self.address} does not answer: {error}")
        except curio.TaskTimeout:
            fail(
                f"node {self.address} did not answer within "
                f"{REQUEST_TIMEOUT_SECONDS:g} s"
            )

    async def send_request(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request and read its answer."""
        headers = [
            (b"host", self.address.encode()),
            (b"authorization", f"Bearer {self.token}".encode()),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        pool = ConnectionPool()
        answer, content = await curio.timeout_after(
            REQUEST_TIMEOUT_SECONDS,
            pool.request,
            self.address,
            method,
            target,
            headers,
            body,
            MAX_RESPONSE_BYTES,
        )
        fields = {key.decode(): value.decode() for key, value in answer.headers}
        return answer.status, content, fields

    def request_json(
        self, method: str, target: str, value: Any = None
    ) -> dict[str, Any]:
        """Send one request and return its JSON answer; refusals end the command."""
        status, content, _ = self.request(method, target, value)
        try:
            answer: dict[str, Any] = json.loads(content)
        except ValueError:
            fail(f"node {self.address} answered {status} without JSON")
        if status == 200 or "result" in answer:
            return answer
        self.fail_with_response(status, answer)

    def request_bytes(self, target: str) -> tuple[bytes, dict[str, str]]:
        """Send a request for binary data; refusals end the command."""
        status, content, headers = self.request("GET", target)
        if status == 200:
            return content, headers
        try:
            answer = json.loads(content)
        except ValueError:
            answer = {}
        self.fail_with_response(status, answer)

    def fail_with_response(self, status: int, answer: dict[str, Any]) -> NoReturn:
        """End the command with what the node answered instead of a result."""
        if self.as_json:
            typer.echo(json.dumps(answer))
            raise typer.Exit(EXIT_FAILED)
        fail(answer.get("error") or refusal_text(status, answer))

    def print_value(self, value: Any, text: str) -> None:
        """Print a value as JSON or as text."""
        typer.echo(json.dumps(value, sort_keys=True) if self.as_json else text)


def refusal_text(status: int, answer: dict[str, Any]) -> str:
    """Return a refusal in words."""
    reason = answer.get("reason", f"status {status}")
    parts = [str(reason).replace("_", " ")]
    for name in ("detail", "step", "peer", "path"):
        if answer.get(name):
            parts.append(f"{name} {answer[name]}")
    if status == FORBIDDEN_STATUS:
        parts.append("a team's token needs --team and reaches that team only")
    return ", ".join(parts)


def write_output(flag: str, path: str, text: str) -> None:
    """Write a file that the operator asked for."""
    try:
        Path(path).write_text(text)
    except OSError as error:
        fail(f"{flag} {path}: {error.strerror}")


def read_input(path: str) -> str:
    """Return the text of a file, or of standard input for ``-``."""
    if path == "-":
        return sys.stdin.read()
    try:
        return Path(path).read_text()
    except OSError as error:
        fail(f"{path}: {error.strerror}", EXIT_USAGE)
    except UnicodeDecodeError:
        fail(f"{path}: not UTF-8 text", EXIT_USAGE)
