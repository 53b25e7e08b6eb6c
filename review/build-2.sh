#!/usr/bin/env bash
# Checks that the stand-ins of cases 4 to 8 run here. They need Python's own library
# only; the entry hosts use target/deps, which the deploy file's build line fills.
set -euo pipefail
cd "$(dirname "$0")"
for case in 4 5 6 7 8; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c \
        'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case/case.py"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=4 python3 -c 'import small_site'
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../target/deps python3 -c \
    'import anyio, httptools, msgspec, returns, structlog, uvicorn'
