"""Routing of requests to handlers by method and path."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.utils import http

# Called with the request and then the path parameters in order.
Handler = Callable[..., Awaitable[http.Response]]


class Route(NamedTuple):
    """A method and path of the API with its handler.

    Attributes:
        method: HTTP method.
        path: path; a segment in braces is a parameter.
        handler: handles matching requests.
        needs_token: whether requests without a valid token are refused.
    """

    method: str
    path: str
    handler: Handler
    needs_token: bool = True

    def match(self, segments: list[str]) -> list[str] | None:
        """Return the parameters of a path, or None if it doesn't match."""
        pattern = self.path.strip("/").split("/")
        if len(pattern) != len(segments):
            return None
        parameters = []
        for expected, segment in zip(pattern, segments, strict=True):
            if expected.startswith("{"):
                parameters.append(segment)
            elif expected != segment:
                return None
        return parameters


class RouteMatch(NamedTuple):
    """Result of looking up the route of a request.

    Attributes:
        route: route that matches the method and the path, or None.
        parameters: values of the path parameters in order.
        is_path_known: whether the path exists for any method.
    """

    route: Route | None
    parameters: list[str]
    is_path_known: bool


def find_route(routes: list[Route], request: http.Request) -> RouteMatch:
    """Return the route that matches a request, with its path parameters."""
    is_path_known = False
    segments = request.segments
    for route in routes:
        parameters = route.match(segments)
        if parameters is None:
            continue
        is_path_known = True
        if route.method == request.method:
            return RouteMatch(route, parameters, True)
    return RouteMatch(None, [], is_path_known)
