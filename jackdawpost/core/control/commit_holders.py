"""Databases that may hold an acknowledged commit of a group with copies.

A promotion counts the answers that it needs over these databases. Leaving out
one that holds a commit would let a database be promoted without it.
"""

from __future__ import annotations

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.state import Member


def find_commit_holders(
    state: ControlState, group: str, upstreams: dict[str, Member]
) -> set[MemberKey]:
    """Return the identities of the databases that may hold a commit.

    Newcomers are included: the primary counts a replica that has received a
    commit, and does not wait for the approvals that make it a member.

    Parameters
    ----------
    upstreams : dict of str to Member
        Joined upstreams of the group by name.
    """
    newcomers = [item.member for item in state.machine.newcomers.values()]
    return {
        (member.name, member.member_id)
        for member in (*upstreams.values(), *newcomers)
        if member.group == group
    }
