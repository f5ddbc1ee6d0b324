#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs for its standard library alone: this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
for file in common/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
