"""`python -m benchmarks.drawn SEED [CONTRACT...]`: generate and print a day."""

import sys

from benchmarks.drawn.draw import draw_day

sys.stdout.write(draw_day(int(sys.argv[1]), sys.argv[2:]))
