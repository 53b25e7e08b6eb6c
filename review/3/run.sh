#!/usr/bin/env bash
# Exit 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same with no cut.
exec python3 "$(dirname "$0")/run.py"
