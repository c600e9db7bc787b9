"""Strategies for JSON values of any type, size and sign."""

from hypothesis import strategies as st

HUGE = 10**400
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([HUGE, -HUGE, 10**30, 10**18, -1, 1e300, '9' * 5000]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
