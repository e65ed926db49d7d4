"""Entry point of the daemon."""

import json
import os
import sys
from collections.abc import Mapping
from functools import partial

import anyio
from result import Err, Ok

from fireflybridge_daemon._checks import check_settings
from fireflybridge_daemon._daemon import run_daemon
from fireflybridge_daemon._settings import read_raw_settings
from fireflybridge_telemetry import Event, configure_logs, log_event

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Check the settings and run the daemon; return 2 when a setting is wrong."""
    match check_settings(read_raw_settings(sys.argv[1:], os.environ)):
        case Err(faults):
            configure_logs("json", "info")
            for fault in faults:
                log_event(Event.CHECK_FAILED, check=fault.check, fault=str(fault))
                print(fault, file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        case Ok(settings):
            configure_logs(settings.log_form, settings.log_level, daemon=settings.name)
            run = partial(run_daemon, settings, announce)
            return anyio.run(run, backend_options={"use_uvloop": True})


def announce(addresses: Mapping[str, str]) -> None:
    """Print the bound addresses as one JSON line, for the program that started the daemon."""
    ready = {"ready": True, "address": addresses["callers"], **addresses}
    print(json.dumps(ready), flush=True)
