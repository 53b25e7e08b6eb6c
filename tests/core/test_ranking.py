from hypothesis import given, strategies as st

from courselead.core.ranking import STEP_IN_MS, rank, step_in_ms

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=4), unique=True, min_size=1)


@given(st.text(max_size=8), NAMES)
def test_all_agree_on_the_order_and_a_loss_moves_nobody_else(key, names):
    order = rank(key, names)
    assert order == rank(key, reversed(names))
    without = [name for name in order if name != order[0]]
    assert rank(key, without) == without


@given(st.text(max_size=8), NAMES, st.integers(0, 2**40))
def test_the_preferred_acts_at_once_and_the_others_one_step_apart(key, names, seed):
    waits = [step_in_ms(key, name, names, seed) for name in rank(key, names)]
    assert waits[0] == 0
    assert waits == sorted(waits)
    for position, wait_ms in enumerate(waits):
        assert position * STEP_IN_MS <= wait_ms < (position + 1) * STEP_IN_MS
