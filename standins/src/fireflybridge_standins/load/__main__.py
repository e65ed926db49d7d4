"""Sends load to daemons on loopback and prints one JSON line with the counts."""

import argparse
import json
import sys
from dataclasses import asdict

import anyio

from fireflybridge_standins.load import Plan, run_load

LOOPBACK = "127."


def parse_arguments() -> Plan:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Send bounded load to daemons on loopback.")
    parser.add_argument("--daemon", required=True, help="ip:port of callers' ports, by commas")
    parser.add_argument("--route", required=True)
    parser.add_argument("--size", type=int, default=300, help="tasks of a job; 0: single requests")
    parser.add_argument("--count", type=int, default=100, help="most submissions to send")
    parser.add_argument("--connections", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=30.0, help="no submission starts later")
    parser.add_argument("--body", default="x" * 100)
    parser.add_argument("--teams", type=int, default=1)
    given = parser.parse_args()
    addresses = tuple(given.daemon.split(","))
    if not all(address.startswith(LOOPBACK) for address in addresses):
        parser.error("--daemon must be on loopback")
    return Plan(
        addresses=addresses,
        route=given.route,
        size=given.size,
        count=given.count,
        connections=given.connections,
        seconds=given.seconds,
        body=given.body,
        teams=given.teams,
    )


def main() -> int:
    """Run the plan and print its report."""
    report = anyio.run(run_load, parse_arguments(), backend_options={"use_uvloop": True})
    print(json.dumps(asdict(report)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
