"""The platform call that promotes a target to primary of its group."""

import json

from knapweedtally.utils import http


def make_request(
    group: str, target: str, holder: str, fence: int
) -> http.Request:
    """Return the request that promotes a target to primary.

    Args:
        group: name of the group.
        target: id of the target.
        holder: name of the host that holds the promotion lease.
        fence: fencing token of the lease; increases with each claim.
    """
    body = {"backend": group, "id": target}
    headers = {
        "content-type": "application/json",
        "x-duty-holder": holder,
        "x-fence-token": str(fence),
    }
    return http.Request("POST", "/promote", headers, json.dumps(body).encode())
