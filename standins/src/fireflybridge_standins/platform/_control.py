"""Control endpoints, with which tests set hosts and faults and read counters."""

import re

import msgspec

from fireflybridge_standins.platform._messages import (
    FaultBody,
    HostsBody,
    TruncateBody,
    make_rule,
)
from fireflybridge_standins.platform._service import (
    Platform,
    Request,
    Response,
    make_error_response,
)

TRUNCATE_PATH = re.compile(r"/control/streams/([A-Za-z0-9_.-]{1,100})/truncate")


def handle_control(platform: Platform, request: Request) -> Response:
    """Serve one control request; these are not subject to faults."""
    try:
        return _dispatch(platform, request)
    except msgspec.MsgspecError as error:
        return make_error_response(400, str(error))


def _dispatch(platform: Platform, request: Request) -> Response:
    match request.method, request.path:
        case "PUT", "/control/hosts" if request.view:
            platform.views[request.view] = msgspec.json.decode(request.body, type=HostsBody)
            return Response(200, b"{}")
        case "PUT", "/control/hosts":
            platform.hosts = msgspec.json.decode(request.body, type=HostsBody)
            return Response(200, b"{}")
        case "PUT", "/control/fault":
            fault_body = msgspec.json.decode(request.body, type=FaultBody)
            platform.faults.set_rule(make_rule(fault_body))
            return Response(200, b"{}")
        case "GET", "/control/counters":
            return Response(200, _encode_counters(platform))
    truncate_match = TRUNCATE_PATH.fullmatch(request.path)
    if request.method == "POST" and truncate_match:
        truncate_body = msgspec.json.decode(request.body, type=TruncateBody)
        first_offset = platform.log.truncate(truncate_match[1], truncate_body.first_offset)
        return Response(200, msgspec.json.encode({"first_offset": first_offset}))
    return make_error_response(404, "no such control endpoint")


def _encode_counters(platform: Platform) -> bytes:
    return msgspec.json.encode(
        {
            "streams": platform.log.get_counters(),
            "faults": platform.faults.get_counts(),
            "host_reads": platform.host_reads,
        }
    )
