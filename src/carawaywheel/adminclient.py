"""Client of the administration API for the command line."""

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
    """Print an error message and exit."""
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(code)


def read_token(path: str) -> str:
    """Return the operator's token from a file or the environment.

    It is never passed as a flag, because flags are visible in process lists.
    """
    if path:
        try:
            return Path(path).read_text().strip()
        except OSError as error:
            fail(f"--token-file {path}: {error.strerror}", EXIT_USAGE)
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        fail(f"no token given: set {TOKEN_VARIABLE} or use --token-file", EXIT_USAGE)
    return token


class AdminClient:
    """Client of the administration API of one node.

    Attributes:
        address: Admin address of the node, ``ip:port``.
        token: Token of the operator.
        as_json: Whether output is JSON.
        team: Team of the operator, empty if it is not known.
    """

    def __init__(self, address: str, token: str, as_json: bool) -> None:
        self.address = address
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
            fail(f"request to node {self.address} failed: {error}")
        except curio.TaskTimeout:
            fail(
                f"no response from node {self.address} within "
                f"{REQUEST_TIMEOUT_SECONDS:g} s"
            )

    async def send_request(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request and read the response."""
        headers = [
            (b"host", self.address.encode()),
            (b"authorization", f"Bearer {self.token}".encode()),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        pool = ConnectionPool()
        response, content = await curio.timeout_after(
            REQUEST_TIMEOUT_SECONDS,
            pool.request,
            self.address,
            method,
            target,
            headers,
            body,
            MAX_RESPONSE_BYTES,
        )
        fields = {key.decode(): value.decode() for key, value in response.headers}
        return response.status, content, fields

    def request_json(
        self, method: str, target: str, value: Any = None
    ) -> dict[str, Any]:
        """Send one request and return the JSON response; exit if it is an error."""
        status, content, _ = self.request(method, target, value)
        try:
            response: dict[str, Any] = json.loads(content)
        except ValueError:
            fail(f"node {self.address} responded with status {status} and no JSON")
        if status == 200 or "result" in response:
            return response
        self.fail_with_response(status, response)

    def request_bytes(self, target: str) -> tuple[bytes, dict[str, str]]:
        """Send a GET request and return the binary response; exit if it failed."""
        status, content, headers = self.request("GET", target)
        if status == 200:
            return content, headers
        try:
            response = json.loads(content)
        except ValueError:
            response = {}
        self.fail_with_response(status, response)

    def fail_with_response(self, status: int, response: dict[str, Any]) -> NoReturn:
        """Print the error in a response and exit."""
        if self.as_json:
            typer.echo(json.dumps(response))
            raise typer.Exit(EXIT_FAILED)
        fail(response.get("error") or refusal_text(status, response))

    def print_value(self, value: Any, text: str) -> None:
        """Print a value as JSON or as text."""
        typer.echo(json.dumps(value, sort_keys=True) if self.as_json else text)


def refusal_text(status: int, response: dict[str, Any]) -> str:
    """Return the readable text of a refusal."""
    reason = response.get("reason", f"status {status}")
    parts = [str(reason).replace("_", " ")]
    for name in ("detail", "step", "peer", "path"):
        if response.get(name):
            parts.append(f"{name} {response[name]}")
    if status == FORBIDDEN_STATUS:
        parts.append(
            "a team's token requires --team and gives access to that team only"
        )
    return ", ".join(parts)


def write_output(flag: str, path: str, text: str) -> None:
    """Write a file whose path was given by a flag."""
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
