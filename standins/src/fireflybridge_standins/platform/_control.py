"""Serve the control endpoints that tests use."""

import re

import msgspec

from fireflybridge_standins.platform._messages import (
    FaultBody,
    HostsBody,
    TruncateBody,
    make_rule,
)
from fireflybridge_standins.platform._service import Answer, Platform, Request, make_problem

TRUNCATE_PATH = re.compile(r"/control/streams/([A-Za-z0-9_.-]{1,100})/truncate")


def handle_control(platform: Platform, request: Request) -> Answer:
    """Serve one control request; faults do not act on it."""
    try:
        return _dispatch(platform, request)
    except msgspec.MsgspecError as error:
        return make_problem(400, str(error))


def _dispatch(platform: Platform, request: Request) -> Answer:
    match request.method, request.path:
        case "PUT", "/control/hosts" if request.viewer:
            platform.views[request.viewer] = msgspec.json.decode(request.body, type=HostsBody)
            return Answer(200, b"{}")
        case "PUT", "/control/hosts":
            platform.hosts = msgspec.json.decode(request.body, type=HostsBody)
            return Answer(200, b"{}")
        case "PUT", "/control/fault":
            body = msgspec.json.decode(request.body, type=FaultBody)
            platform.faults.set_rule(make_rule(body))
            return Answer(200, b"{}")
        case "GET", "/control/counters":
            return Answer(200, _encode_counters(platform))
    truncated = TRUNCATE_PATH.fullmatch(request.path)
    if request.method == "POST" and truncated:
        body_ = msgspec.json.decode(request.body, type=TruncateBody)
        first = platform.log.truncate(truncated[1], body_.first_offset)
        return Answer(200, msgspec.json.encode({"first_offset": first}))
    return make_problem(404, "no such control endpoint")


def _encode_counters(platform: Platform) -> bytes:
    return msgspec.json.encode(
        {
            "streams": platform.log.count(),
            "faults": platform.faults.count(),
            "host_reads": platform.host_reads,
        }
    )
