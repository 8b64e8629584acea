"""HTTP/1.1 messages, limits and errors used by the server and the client."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 2 * 1024 * 1024
READ_BYTES = 64 * 1024

Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """Base class of the errors of this module."""


class ConnectionRefused(HttpError):  # noqa: N818 - named after the cause
    """No connection was made, so that no request was sent."""


class ResponseLost(HttpError):  # noqa: N818 - named after the cause
    """A request was sent, possibly only in part, and got no response."""


class BodyTooLarge(HttpError):  # noqa: N818 - named after the cause
    """A body exceeds the size limit."""


class ExchangeDropped(HttpError):  # noqa: N818 - named after the cause
    """Raised to make the server close the connection without a response."""


class Request(NamedTuple):
    """An HTTP request.

    Attributes:
        method: method in upper case.
        target: path and query string, as sent.
        headers: values by name in lower case.
        body: whole body.
        peer: IP address of the client; empty on the client itself.
    """

    method: str
    target: str
    headers: dict[str, str] = {}
    body: bytes = b""
    peer: str = ""

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return parse.urlsplit(self.target).path

    @property
    def segments(self) -> list[str]:
        """Return the percent-decoded segments of the path."""
        parts = self.path.strip("/").split("/")
        return [parse.unquote(part) for part in parts]

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters; the last value of a name is kept."""
        return dict(parse.parse_qsl(parse.urlsplit(self.target).query))


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: status code.
        body: whole body.
        headers: values by name in lower case.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}

    def parse_json(self) -> Any:
        """Parse the body as JSON.

        Raises:
            ValueError: the body is not valid JSON.
        """
        return json.loads(self.body)


def make_json_response(
    status: int, value: object, headers: dict[str, str] | None = None
) -> Response:
    """Return a response whose body is the value encoded as JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(
        status, body, {"content-type": "application/json", **(headers or {})}
    )


def decode_headers(headers: Any) -> dict[str, str]:
    """Return h11's header pairs as text, by name in lower case."""
    return {
        name.decode("ascii").lower(): value.decode("latin-1")
        for name, value in headers
    }


def encode_headers(headers: dict[str, str], body: bytes) -> Headers:
    """Return header pairs for h11, with the content length of the body."""
    pairs = [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    pairs.append((b"content-length", str(len(body)).encode()))
    return pairs
