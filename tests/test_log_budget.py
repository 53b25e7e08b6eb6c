"""The log is bounded, and a reader that stalls stalls nothing."""

import io
import os
import threading

import pytest
import structlog

from courselead.log_budget import (
    LINES_A_SECOND,
    SAMPLED_JOBS,
    BoundedWriter,
    LineBudget,
)


def passes(budget: LineBudget, **event) -> bool:
    try:
        budget(None, "info", event)
    except structlog.DropEvent:
        return False
    return True


def test_a_kind_has_its_own_budget_and_a_new_one_each_second():
    now = [0.0]
    budget = LineBudget(lambda: now[0])
    kept = sum(passes(budget, event="a") for _ in range(LINES_A_SECOND + 50))
    assert kept == LINES_A_SECOND
    assert budget.dropped == 50
    assert passes(budget, event="b")
    now[0] = 1.0
    assert passes(budget, event="a")


def test_beyond_the_budget_some_jobs_are_told_of_and_the_same_ones():
    budget = LineBudget(lambda: 0.0)
    for _ in range(LINES_A_SECOND):
        passes(budget, event="a")
    jobs = [f"{number:016x}" for number in range(LINES_A_SECOND // 2)]
    kept = {job for job in jobs if passes(budget, event="a", job_id=job)}
    again = {job for job in jobs if passes(budget, event="a", job_id=job)}
    assert kept == again
    assert 0 < len(kept) < 3 * len(jobs) / SAMPLED_JOBS
    assert not any(passes(budget, event="a", job_id=job) for job in jobs)


def test_lines_are_written_in_order():
    stream = io.StringIO()
    writer = BoundedWriter(stream)
    for number in range(100):
        writer.write(f"{number}\n")
    writer.drain(5)
    assert stream.getvalue().split() == [str(number) for number in range(100)]


def test_a_full_pipe_does_not_hold_up_the_writer():
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream:
        writer = BoundedWriter(stream, most_lines=100)
        line = "x" * 1_023 + "\n"
        done = threading.Event()

        def write_all() -> None:
            for _ in range(2_000):
                writer.write(line)
            done.set()

        threading.Thread(target=write_all, daemon=True).start()
        # Two megabytes never fit into a pipe that nobody reads.
        assert done.wait(30)
        assert writer.dropped > 0
        read = b""
        while b"lines_lost" not in read:
            read += os.read(reading, 65_536)
    os.close(reading)


@pytest.mark.parametrize("error", [OSError, ValueError])
def test_a_reader_that_is_gone_is_counted(error):
    class Gone(io.StringIO):
        def write(self, _text):
            raise error

    writer = BoundedWriter(Gone())
    writer.write("a\n")
    writer.drain(5)
    assert writer.dropped == 1
