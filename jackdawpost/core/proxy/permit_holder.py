"""Slot permits as the proxy holds them."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_CHECK_INTERVAL_MS = 5.0


@dataclass(slots=True)
class PermitAccount:
    """Permits of one upstream.

    Parameters
    ----------
    held : int
        Permits lent to this proxy.
    in_use : int
        Those among `held` that a frame or transaction occupies.
    recalled : int
        Permits to give back as soon as they are unused.
    stated : int
        Demand last stated to the control leader.
    low_water : int
        Fewest idle permits since the last check for idle ones.
    """

    held: int = 0
    in_use: int = 0
    recalled: int = 0
    stated: int = 0
    low_water: int = 0

    @property
    def idle(self) -> int:
        """Permits that a frame may take now."""
        return max(0, self.held - self.in_use - self.recalled)


class PermitHolder:
    """Permits of one proxy by upstream.

    A permit counts as held until the control leader is told of its return,
    so that both sides always agree on the number. Returns wait while there
    is no leader to tell.
    """

    __slots__ = ('accounts',)

    def __init__(self) -> None:
        self.accounts: dict[str, PermitAccount] = {}

    def account(self, upstream: str) -> PermitAccount:
        """Return the account of an upstream."""
        found = self.accounts.get(upstream)
        if found is None:
            found = self.accounts[upstream] = PermitAccount()
        return found

    def add_granted(self, upstream: str, count: int) -> None:
        """Add permits lent by the control leader.

        A grant settles as many open recalls, on both sides: the leader has
        found another permit for whom the recall was meant.
        """
        account = self.account(upstream)
        account.held += count
        account.recalled = max(0, account.recalled - count)
        account.low_water = account.idle

    def try_acquire(self, upstream: str) -> bool:
        """Occupy one idle permit; False if there is none."""
        account = self.account(upstream)
        idle = account.held - account.in_use - account.recalled
        if idle <= 0:
            return False
        account.in_use += 1
        if idle - 1 < account.low_water:
            account.low_water = idle - 1
        return True

    def release(self, upstream: str) -> None:
        """End the use of one permit."""
        account = self.account(upstream)
        if account.in_use <= 0:
            raise ValueError(f'no permit of {upstream!r} is in use')
        account.in_use -= 1

    def recall(self, upstream: str, count: int) -> None:
        """Owe permits to the control leader, in use or not."""
        account = self.account(upstream)
        account.recalled = min(account.held, account.recalled + count)
        account.low_water = min(account.low_water, account.idle)

    def return_recalled(self, upstream: str) -> int:
        """Give back owed permits that are not in use; return how many."""
        account = self.account(upstream)
        count = min(account.recalled, account.held - account.in_use)
        account.held -= count
        account.recalled -= count
        return count

    def return_idle(self, upstream: str) -> int:
        """Give back permits idle since the last call; return how many."""
        account = self.account(upstream)
        count = max(0, min(account.low_water, account.idle))
        account.held -= count
        account.low_water = account.idle
        return count

    def invalidate_all(self) -> None:
        """Use no permit any more: their validity has ended."""
        for account in self.accounts.values():
            account.recalled = account.held
            account.stated = 0
            account.low_water = 0

    def reset_demand(self) -> None:
        """State demand anew, as the control leader changed."""
        for account in self.accounts.values():
            account.stated = 0

    def holdings(self) -> dict[str, int]:
        """Return permits held by upstream, for a report."""
        return {n: a.held for n, a in self.accounts.items() if a.held}
