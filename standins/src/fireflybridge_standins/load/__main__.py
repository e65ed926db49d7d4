"""Send load to daemons on loopback and print a report as one line of JSON."""

import argparse
import json
import sys
from dataclasses import asdict

import anyio

from fireflybridge_standins.load import Plan, run_load

LOOPBACK_PREFIX = "127."


def parse_arguments() -> Plan:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Send bounded load to daemons on loopback.")
    parser.add_argument(
        "--daemon", required=True, help="comma-separated addresses ip:port of callers' ports"
    )
    parser.add_argument("--route", required=True)
    parser.add_argument(
        "--size", type=int, default=300, help="tasks of each job; 0 sends single requests"
    )
    parser.add_argument("--count", type=int, default=100, help="maximum number of submissions")
    parser.add_argument("--connections", type=int, default=4)
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="time after which no submission is sent"
    )
    parser.add_argument("--body", default="x" * 100)
    parser.add_argument("--teams", type=int, default=1)
    arguments = parser.parse_args()
    addresses = tuple(arguments.daemon.split(","))
    if not all(address.startswith(LOOPBACK_PREFIX) for address in addresses):
        parser.error("--daemon must be on loopback")
    return Plan(
        addresses=addresses,
        route=arguments.route,
        size=arguments.size,
        count=arguments.count,
        connections=arguments.connections,
        seconds=arguments.seconds,
        body=arguments.body,
        teams=arguments.teams,
    )


def main() -> int:
    """Run the load and print the report."""
    report = anyio.run(run_load, parse_arguments(), backend_options={"use_uvloop": True})
    print(json.dumps(asdict(report)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
