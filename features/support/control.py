"""Client of the control endpoints of stand-ins and of the proxy."""

from typing import Any

import httpx

CONTROL_TIMEOUT_S = 30.0


def send_control(address: str, method: str, path: str, body: object = None) -> Any:
    """Send one control request with a JSON body and return the decoded response body."""
    response = httpx.request(
        method, f"http://{address}{path}", json=body, timeout=CONTROL_TIMEOUT_S, trust_env=False
    )
    assert response.status_code == 200, f"{method} {path}: {response.status_code} {response.text}"
    return response.json()
