"""Session tokens: encoding, rejection of invalid tokens and merging."""

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

UINT64S = st.integers(0, 2**64 - 1)
GROUP_NAMES = st.text('ab.-09z', min_size=1, max_size=63)
TOKENS = st.dictionaries(
    GROUP_NAMES, st.builds(LogPosition, UINT64S, UINT64S), max_size=MAX_ENTRIES
).map(lambda entries: SessionToken(tuple(entries.items())))
SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)


@given(TOKENS)
@SETTINGS
def test_decoding_an_encoded_token_returns_the_same_token(
    token: SessionToken,
) -> None:
    assert decode_token(encode_token(token)) == token


@given(TOKENS, st.data())
@SETTINGS
def test_altered_or_truncated_token_is_rejected(
    token: SessionToken, data: st.DataObject
) -> None:
    text = encode_token(token)
    index = data.draw(st.integers(0, len(text) - 1))
    replacement = data.draw(st.sampled_from('Aa0_-=~'))
    altered = text[:index] + replacement + text[index + 1 :]
    for invalid in (text[:index], altered, text + 'A'):
        if invalid != text:
            with pytest.raises(TokenError):
                decode_token(invalid)


@given(st.text(max_size=80))
@SETTINGS
def test_arbitrary_text_raises_only_token_error(text: str) -> None:
    with pytest.raises(TokenError):
        decode_token(text)


@given(TOKENS, GROUP_NAMES, st.builds(LogPosition, UINT64S, UINT64S))
@SETTINGS
def test_merging_never_drops_an_existing_group(
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


def test_full_token_drops_the_least_recently_written_removed_group() -> None:
    token = EMPTY_TOKEN
    names = [f'g{i}' for i in range(MAX_ENTRIES)]
    for name in names:
        token = merge_position(token, name, LogPosition(1, 1), names)
    known = [name for name in names if name not in ('g3', 'g5')]
    merged = merge_position(token, 'new', LogPosition(1, 2), known)
    assert merged.position('g3') is None
    assert merged.position('g5') == LogPosition(1, 1)
