"""Session tokens: malformed ones are refused, no position is lost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.positions import LogPosition
from jackdawpost.core.tokens import decode_token
from jackdawpost.core.tokens import EMPTY_TOKEN
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import has_room
from jackdawpost.core.tokens import MAX_ENTRIES
from jackdawpost.core.tokens import merge_position
from jackdawpost.core.tokens import SessionToken
from jackdawpost.errors import TokenError

NUMBERS = st.integers(0, 2**64 - 1)
NAMES = st.text('ab.-09z', min_size=1, max_size=63)
TOKENS = st.dictionaries(
    NAMES, st.builds(LogPosition, NUMBERS, NUMBERS), max_size=MAX_ENTRIES
).map(lambda entries: SessionToken(tuple(entries.items())))
SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)


@given(TOKENS)
@SETTINGS
def test_decoding_returns_what_was_encoded(token: SessionToken) -> None:
    assert decode_token(encode_token(token)) == token


@given(TOKENS, st.data())
@SETTINGS
def test_changed_or_truncated_token_is_refused(
    token: SessionToken, data: st.DataObject
) -> None:
    text = encode_token(token)
    at = data.draw(st.integers(0, len(text) - 1))
    other = data.draw(st.sampled_from('Aa0_-=~'))
    changed = text[:at] + other + text[at + 1 :]
    for bad in (text[:at], changed, text + 'A'):
        if bad != text:
            with pytest.raises(TokenError):
                decode_token(bad)


@given(st.text(max_size=80))
@SETTINGS
def test_any_text_is_refused_without_another_error(text: str) -> None:
    with pytest.raises(TokenError):
        decode_token(text)


@given(TOKENS, NAMES, st.builds(LogPosition, NUMBERS, NUMBERS))
@SETTINGS
def test_merging_never_drops_a_group_in_force(
    token: SessionToken, group: str, position: LogPosition
) -> None:
    known = {name for name, _ in token.entries}
    if not has_room(token, group, known):
        with pytest.raises(TokenError):
            merge_position(token, group, position, known)
        return
    merged = merge_position(token, group, position, known)
    earlier = token.position(group) or position
    assert merged.position(group) == max(earlier, position)
    assert known <= {name for name, _ in merged.entries}


def test_full_token_drops_the_oldest_removed_group() -> None:
    token = EMPTY_TOKEN
    names = [f'g{i}' for i in range(MAX_ENTRIES)]
    for name in names:
        token = merge_position(token, name, LogPosition(1, 1), names)
    known = [name for name in names if name not in ('g3', 'g5')]
    merged = merge_position(token, 'new', LogPosition(1, 2), known)
    assert merged.position('g3') is None
    assert merged.position('g5') == LogPosition(1, 1)
