#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's programs. The stand-ins are Python programs
# that import the libraries of target/deps, so they are only compiled here, to find errors.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "build the deploy file first"; exit 2; }
for file in review/standins/*.py review/lib/*.py review/[0-9]*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=target/deps python3 -c 'import anyio, fireflybridge_http, fireflybridge_adapter'
