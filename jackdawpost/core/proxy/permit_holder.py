"""Slot permits that a proxy holds.

A permit is the right to use one statement slot of an upstream. The control
leader grants and recalls permits.
"""

from __future__ import annotations

from dataclasses import dataclass

IDLE_CHECK_INTERVAL_MS = 5.0


@dataclass(slots=True)
class PermitAccount:
    """Permits of one upstream.

    Parameters
    ----------
    held : int
        Permits granted to this proxy and not returned.
    in_use : int
        Held permits that a frame or transaction uses.
    recalled : int
        Held permits to return as soon as they are not in use.
    stated : int
        Number of permits last requested from the control leader.
    low_water : int
        Lowest number of idle permits since the last check.
    """

    held: int = 0
    in_use: int = 0
    recalled: int = 0
    stated: int = 0
    low_water: int = 0

    @property
    def idle(self) -> int:
        """Number of permits that can be acquired now."""
        return max(0, self.held - self.in_use - self.recalled)


class PermitHolder:
    """Permits of one proxy by upstream.

    A permit counts as held until the control leader is notified of its
    return, so that both sides always agree on the number. While there is no
    leader, nothing is returned.
    """

    __slots__ = ('accounts',)

    def __init__(self) -> None:
        self.accounts: dict[str, PermitAccount] = {}

    def account(self, upstream: str) -> PermitAccount:
        """Return the account of an upstream; creates it if missing."""
        found = self.accounts.get(upstream)
        if found is None:
            found = self.accounts[upstream] = PermitAccount()
        return found

    def add_granted(self, upstream: str, count: int) -> None:
        """Add permits granted by the control leader.

        A grant cancels as many pending recalls, on both sides: the leader
        found another permit for the proxy that needed the recalled one.
        """
        account = self.account(upstream)
        account.held += count
        account.recalled = max(0, account.recalled - count)
        account.low_water = account.idle

    def try_acquire(self, upstream: str) -> bool:
        """Acquire one idle permit; False if there is none."""
        account = self.account(upstream)
        idle = account.held - account.in_use - account.recalled
        if idle <= 0:
            return False
        account.in_use += 1
        if idle - 1 < account.low_water:
            account.low_water = idle - 1
        return True

    def release(self, upstream: str) -> None:
        """Release one permit that was in use."""
        account = self.account(upstream)
        if account.in_use <= 0:
            raise ValueError(f'no permit of {upstream!r} is in use')
        account.in_use -= 1

    def recall(self, upstream: str, count: int) -> None:
        """Mark permits for return, whether in use or not."""
        account = self.account(upstream)
        account.recalled = min(account.held, account.recalled + count)
        account.low_water = min(account.low_water, account.idle)

    def return_recalled(self, upstream: str) -> int:
        """Remove recalled permits that are not in use.

        Returns
        -------
        int
            Number of permits to return to the control leader.
        """
        account = self.account(upstream)
        count = min(account.recalled, account.held - account.in_use)
        account.held -= count
        account.recalled -= count
        return count

    def return_idle(self, upstream: str) -> int:
        """Remove permits that have been idle since the last call.

        Returns
        -------
        int
            Number of permits to return to the control leader.
        """
        account = self.account(upstream)
        count = max(0, min(account.low_water, account.idle))
        account.held -= count
        account.low_water = account.idle
        return count

    def invalidate_all(self) -> None:
        """Mark all permits for return, as their validity has ended."""
        for account in self.accounts.values():
            account.recalled = account.held
            account.stated = 0
            account.low_water = 0

    def reset_demand(self) -> None:
        """Clear the recorded demands, which are then sent again.

        A new control leader does not know them, and control may have dropped
        one.
        """
        for account in self.accounts.values():
            account.stated = 0

    def holdings(self) -> dict[str, int]:
        """Return the number of held permits by upstream, for a report."""
        return {n: a.held for n, a in self.accounts.items() if a.held}
