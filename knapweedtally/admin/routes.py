"""Find the handler of a request by method and path."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.utils import http

# Gets the request and the parameters of the path, in order.
Handler = Callable[..., Awaitable[http.Response]]


class Route(NamedTuple):
    """Describe one call.

    Attributes:
        method: HTTP method.
        path: path; a part in braces is a parameter.
        handle: runs the call.
        needs_token: whether a call without the token is refused.
    """

    method: str
    path: str
    handle: Handler
    needs_token: bool = True

    def match(self, segments: list[str]) -> list[str] | None:
        """Return the parameters of a path, or None if it is another one."""
        pattern = self.path.strip("/").split("/")
        if len(pattern) != len(segments):
            return None
        parameters = []
        for part, segment in zip(pattern, segments, strict=True):
            if part.startswith("{"):
                parameters.append(segment)
            elif part != segment:
                return None
        return parameters


class Match(NamedTuple):
    """Hold what the routes say of a request.

    Attributes:
        route: route of the method and the path, or None.
        parameters: parameters of the path.
        is_path_known: whether another method has the path.
    """

    route: Route | None
    parameters: list[str]
    is_path_known: bool


def find_route(routes: list[Route], request: http.Request) -> Match:
    """Return the route of a request."""
    is_path_known = False
    segments = request.segments
    for route in routes:
        parameters = route.match(segments)
        if parameters is None:
            continue
        is_path_known = True
        if route.method == request.method:
            return Match(route, parameters, True)
    return Match(None, [], is_path_known)
