"""HTTP/1.1 messages, limits and errors shared by the server and the client."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 2 * 1024 * 1024
READ_BYTES = 64 * 1024

Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """Report a failed exchange; base of this module's errors."""


class ConnectionRefused(HttpError):  # noqa: N818 - named after the cause
    """Report that no connection was made, so that nothing was sent."""


class AnswerLost(HttpError):  # noqa: N818 - named after the cause
    """Report a request that was sent, maybe in part, without an answer."""


class BodyTooLarge(HttpError):  # noqa: N818 - named after the cause
    """Report a body over the limit."""


class ExchangeDropped(HttpError):  # noqa: N818 - named after the cause
    """Make the server close the connection without an answer."""


class Request(NamedTuple):
    """Carry one request.

    Attributes:
        method: method in upper case.
        target: path with the query, as sent.
        headers: values by name in lower case.
        body: whole body.
        peer: IP address of the other side; empty on the client.
    """

    method: str
    target: str
    headers: dict[str, str] = {}
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return parse.urlsplit(self.target).path

    @property
    def segments(self) -> list[str]:
        """Return the decoded parts of the path."""
        parts = self.path.strip("/").split("/")
        return [parse.unquote(part) for part in parts]

    @property
    def query(self) -> dict[str, str]:
        """Return the query's values by name; the last one of a name wins."""
        return dict(parse.parse_qsl(parse.urlsplit(self.target).query))


class Response(NamedTuple):
    """Carry one response.

    Attributes:
        status: status code.
        body: whole body.
        headers: values by name in lower case.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}

    def parse_json(self) -> Any:
        """Return the body as JSON.

        Raises:
            ValueError: the body is no JSON.
        """
        return json.loads(self.body)


def make_json_response(
    status: int, value: object, headers: dict[str, str] | None = None
) -> Response:
    """Return a response whose body is the value in JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(
        status, body, {"content-type": "application/json", **(headers or {})}
    )


def decode_headers(headers: Any) -> dict[str, str]:
    """Return h11's pairs of bytes as text by name in lower case."""
    return {
        name.decode("ascii").lower(): value.decode("latin-1")
        for name, value in headers
    }


def encode_headers(headers: dict[str, str], body: bytes) -> Headers:
    """Return pairs of bytes, with the length of the body."""
    pairs = [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    pairs.append((b"content-length", str(len(body)).encode()))
    return pairs
