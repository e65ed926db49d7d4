"""Print a comparison of the dispatch policy with simpler policies."""

import argparse
import sys

from fireflybridge_standins.policy_probe._report import print_report


def main() -> int:
    """Parse the command line, run the simulations and print the report."""
    parser = argparse.ArgumentParser(prog="policy_probe", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1 up")
    parser.add_argument("--length-s", type=float, default=120.0, help="virtual seconds of arrivals")
    parser.add_argument("--loads", type=float, nargs="+", default=[0.7, 1.0, 1.5, 2.0])
    parser.add_argument("--only", nargs="+", default=None, help="names of policies")
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    print_report(list(seeds), arguments.loads, arguments.length_s, arguments.only)
    return 0


if __name__ == "__main__":
    sys.exit(main())
