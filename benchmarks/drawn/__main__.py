"""`python -m benchmarks.drawn SEED [CONTRACT...]`: print the day of a seed."""

import sys

from benchmarks.drawn.draw import draw_day

sys.stdout.write(draw_day(int(sys.argv[1]), sys.argv[2:]))
