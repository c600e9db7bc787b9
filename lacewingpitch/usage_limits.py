"""Keeps what organisations use within their limits, at one entry."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable, Sequence
import contextlib
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import leased_usage
from lacewingpitch import organisation as organisation_module
from lacewingpitch import usage_lease

# Far beyond a round trip.  Requests that wait then use what the entry may
# admit without a lease.
_ASK_TIMEOUT_S = 0.25
# An owner that did not answer is not asked again for so long.
_SILENT_S = 1.0
_MAX_HOLDINGS = 4096
# Requests of an organisation that one message asks for.
_MAX_COSTS = 64
# Callers that come back together would find the limit used up again.
_LEAST_RETRY_S = 0.1
_MS_PER_S = 1000
log = structlog.get_logger(__name__)

Organisation = organisation_module.Organisation


class OwnerLink(Protocol):
    """Messages to the owners of limits."""

    async def ask_usage(
        self, ip: str, message: usage_lease.UsageAsk, timeout_s: float
    ) -> usage_lease.UsageReply:
        """Ask for parts of limits."""
        ...


class Owners(Protocol):
    """Who owns which limit."""

    def owner(self, organisation: str) -> str:
        """Return the address of the owner; empty if there is none."""
        ...

    def note_silent(self, ip: str) -> None:
        """Take note that a process does not answer."""
        ...


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a lease."""

    cost: float
    done: asyncio.Future[None]


@dataclasses.dataclass(slots=True)
class _Account:
    """What an entry knows of one organisation's limit."""

    name: str
    holding: leased_usage.LeasedUsage
    waiters: collections.deque[_Waiter] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class _OwnerState:
    """What is under way to one owner."""

    due: set[str] = dataclasses.field(default_factory=set)
    task: asyncio.Task[None] | None = None
    silent_until_s: float = 0.0


class UsageLimits:
    """Charges requests to their organisations' limits.

    Load it answers: an organisation that sends many times its usual, at
    any number of entries.  What is above its limit is refused before a
    turn, a load or a queue is spent on it.

    A request that is covered by a lease waits for nobody.  Otherwise the
    limit's owner is asked, one message at a time for all that waits.  While
    the owner is silent each entry uses part of the limit on its own.

    Parameters
    ----------
    instance
        Name of this entry.
    owners
        Finds the owner of a limit.
    version
        Returns the version of the configuration in force.
    entry_count
        Returns how many entries there are, as far as is known.
    """

    def __init__(
        self,
        instance: str,
        link: OwnerLink,
        owners: Owners,
        clock: clock_module.Clock,
        version: Callable[[], int],
        entry_count: Callable[[], int],
    ) -> None:
        self._instance = instance
        self._link = link
        self._owners = owners
        self._clock = clock
        self._version = version
        self._entry_count = entry_count
        self._accounts: dict[str, _Account] = {}
        self._states: dict[str, _OwnerState] = collections.defaultdict(
            _OwnerState
        )
        # Rises over restarts as well, so that an owner tells a message of
        # now from one of before.
        self._sequence = int(clock.wall_s() * _MS_PER_S)
        self.ask_count = 0
        self.unreached_count = 0

    @contextlib.asynccontextmanager
    async def charged(
        self,
        caller: Organisation | None,
        prompt_tokens: int,
        max_tokens: int,
    ) -> AsyncIterator[None]:
        """Charge a request while the context runs it.

        What provably did not run is given back.

        Raises
        ------
        RefusalError
            The organisation is at its limit; says when to come back.
        """
        if caller is None or caller.limit is None:
            yield
            return
        cost = caller.limit.cost(prompt_tokens, max_tokens)
        account = self._account(caller.name, caller.limit)
        await self._spend(account, cost)
        try:
            yield
        except errors.RefusalError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                account.holding.give_back(cost)
            raise

    async def close(self) -> None:
        """End what is under way."""
        tasks = [s.task for s in self._states.values() if s.task is not None]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _account(
        self, name: str, limit: organisation_module.UsageLimit
    ) -> _Account:
        found = self._accounts.get(name)
        if found is None:
            self._make_room()
            found = _Account(
                name,
                leased_usage.LeasedUsage(
                    limit, self._entry_count(), self._clock
                ),
            )
            self._accounts[name] = found
        else:
            found.holding.change(limit)
        return found

    def _make_room(self) -> None:
        if len(self._accounts) < _MAX_HOLDINGS:
            return
        for name, account in list(self._accounts.items()):
            if account.holding.is_idle and not account.waiters:
                del self._accounts[name]

    async def _spend(self, account: _Account, cost: float) -> None:
        holding = account.holding
        # A later request must not take the lease that earlier ones wait for.
        if not account.waiters and holding.spend(cost):
            return
        owner_wait_s = holding.owner_wait_s(cost)
        if owner_wait_s:
            raise _at_limit(account, owner_wait_s)
        owner = self._owners.owner(account.name)
        state = self._states[owner]
        is_silent = self._clock.monotonic_s() < state.silent_until_s
        if owner and not is_silent:
            waiter = _Waiter(cost, asyncio.get_running_loop().create_future())
            account.waiters.append(waiter)
            state.due.add(account.name)
            if state.task is None or state.task.done():
                state.task = asyncio.create_task(self._talk(owner, state))
            await waiter.done
            return
        refusal = self._spend_unreached(account, cost)
        if refusal is not None:
            raise refusal

    def _spend_unreached(
        self, account: _Account, cost: float
    ) -> errors.RefusalError | None:
        """Use units without a lease; return a refusal if there are none."""
        self.unreached_count += 1
        if account.holding.spend_unreached(cost):
            return None
        return _at_limit(account, account.holding.unreached_wait_s())

    async def _talk(self, owner: str, state: _OwnerState) -> None:
        """Ask one owner, a message at a time, for all that is due."""
        while state.due:
            accounts = [self._accounts[name] for name in state.due]
            state.due.clear()
            await self._exchange(owner, state, accounts)
            for account in accounts:
                if account.waiters:
                    state.due.add(account.name)

    async def _exchange(
        self, owner: str, state: _OwnerState, accounts: list[_Account]
    ) -> None:
        # Those that come while the owner is asked go with the next message.
        asked = [
            [waiter.cost for waiter in account.waiters][:_MAX_COSTS]
            for account in accounts
        ]
        wants = tuple(
            account.holding.want(account.name, costs)
            for account, costs in zip(accounts, asked, strict=True)
        )
        self._sequence += 1
        self.ask_count += 1
        message = usage_lease.UsageAsk(
            entry=self._instance,
            sequence=self._sequence,
            version=self._version(),
            wants=wants,
        )
        asked_at_s = self._clock.boot_s()
        grants: dict[str, usage_lease.UsageGrant] = {}
        try:
            reply = await self._link.ask_usage(owner, message, _ASK_TIMEOUT_S)
            grants = {grant.organisation: grant for grant in reply.grants}
        except errors.LinkError as error:
            state.silent_until_s = self._clock.monotonic_s() + _SILENT_S
            self._owners.note_silent(owner)
            log.warning('owner of limits silent', ip=owner, error=str(error))
        except BaseException:
            for account in accounts:
                _cancel(account)
            raise
        for account, costs in zip(accounts, asked, strict=True):
            grant = grants.get(account.name)
            if grant is None:
                self._settle(account, [None] * len(costs))
                continue
            account.holding.apply(grant, costs, asked_at_s)
            self._settle(account, grant.admitted)

    def _settle(
        self, account: _Account, admitted: Sequence[bool | None]
    ) -> None:
        """Tell the first waiters whether they may go on.

        Parameters
        ----------
        admitted
            What the owner says of each; ``None`` where it was silent.
        """
        for is_admitted in admitted[: len(account.waiters)]:
            waiter = account.waiters.popleft()
            if waiter.done.done():
                if is_admitted:
                    account.holding.give_back(waiter.cost)
                continue
            refusal = self._verdict(account, waiter.cost, is_admitted)
            if refusal is None:
                waiter.done.set_result(None)
            else:
                waiter.done.set_exception(refusal)

    def _verdict(
        self, account: _Account, cost: float, is_admitted: bool | None
    ) -> errors.RefusalError | None:
        if is_admitted is None:
            return self._spend_unreached(account, cost)
        if is_admitted:
            return None
        return _at_limit(account, account.holding.owner_wait_s(cost))


def _at_limit(account: _Account, retry_after_s: float) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.RATE_LIMITED,
        f'the limit of {account.name} is reached',
        retry_after_s=max(_LEAST_RETRY_S, retry_after_s),
    )


def _cancel(account: _Account) -> None:
    while account.waiters:
        account.waiters.popleft().done.cancel()
