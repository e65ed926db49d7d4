"""Settings of the daemon, from flags and FIREFLYBRIDGE_* variables."""

import argparse
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from typing import Any

ENVIRONMENT_PREFIX = "FIREFLYBRIDGE_"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the daemon; addresses are ``ip:port``, times are in the unit of their name."""

    name: str
    failure_domain: str
    platform_url: str
    callers_address: str = "127.0.0.1:8080"
    operators_address: str = "127.0.0.1:8081"
    peer_address: str = "127.0.0.1:8082"
    peer_key_file: str = ""
    insecure_peers: bool = False
    claim_timeout_ms: int = 2000
    retention_s: int = 600
    log_retention_s: int = 0
    prefix_lifetime_s: int = 600
    max_kept_mb: int = 512
    drain_delay_s: float = 1.0
    drain_timeout_s: float = 30.0
    host_list_interval_s: float = 1.0
    log_form: str = "json"
    log_level: str = "info"
    trace_url: str = ""
    trace_ratio: float = 0.01


HELP = {
    "name": "name of this daemon, unique among the daemons of the platform",
    "failure_domain": "failure domain that this daemon's host is in",
    "platform_url": "base URL of the platform's log and host list",
    "callers_address": "address for callers",
    "operators_address": "address for metrics, health and status",
    "peer_address": "address for other daemons",
    "peer_key_file": "file with the key shared by all daemons, 16 bytes or more",
    "insecure_peers": "accept peers without a key; loopback addresses only",
    "claim_timeout_ms": "how long a chosen key waits for the log",
    "retention_s": "how long answers and claims are kept for resubmissions",
    "log_retention_s": "how long the platform's log keeps records; 0 if unknown",
    "prefix_lifetime_s": "how long keys under an issued prefix are accepted",
    "max_kept_mb": "memory for payloads and answers, objects included; above it submissions are refused",
    "drain_delay_s": "how long after SIGTERM new requests are still accepted",
    "drain_timeout_s": "how long after that accepted requests may take",
    "host_list_interval_s": "interval between reads of the platform's host list",
    "log_form": "json or terminal",
    "log_level": "debug, info, warning or error",
    "trace_url": "OTLP over HTTP endpoint for spans; empty exports none",
    "trace_ratio": "share of new traces that are sampled, 0 to 1",
}


def name_variable(field: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()


def name_flag(field: str) -> str:
    """Return the flag of a setting."""
    return "--" + field.replace("_", "-")


def read_raw_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> dict[str, str | bool]:
    """Return the unconverted settings; flags override variables. Exit 2 on an unknown flag."""
    parser = argparse.ArgumentParser(
        prog="fireflybridged",
        description="Dispatch tasks from callers to upstreams.",
        epilog="Each flag may be given as a variable, for example FIREFLYBRIDGE_NAME.",
    )
    for field in fields(Settings):
        options: dict[str, Any] = {"help": HELP[field.name], "dest": field.name}
        if field.type is bool or field.type == "bool":
            options["action"] = "store_true"
        options["default"] = argparse.SUPPRESS
        parser.add_argument(name_flag(field.name), **options)
    variables = {field.name: name_variable(field.name) for field in fields(Settings)}
    from_variables: dict[str, str | bool] = {
        name: environment[variable]
        for name, variable in variables.items()
        if variable in environment
    }
    return {**from_variables, **vars(parser.parse_args(arguments))}
