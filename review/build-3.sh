#!/usr/bin/env bash
# Build the stand-ins of the third review. They use Python's standard library only, so
# this compiles them; the entry hosts use target/deps, which the deploy file's build makes.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/standin_3 review/9 review/10 review/11 review/12 review/13; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c \
    'import courselead.daemon.scheduling.main, review.standin_3.site'
