"""Admission of requests within their organisations' limits, at one entry."""

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
from lacewingpitch import limit_cession
from lacewingpitch import limit_tenure
from lacewingpitch import organisation as organisation_module
from lacewingpitch import usage_account
from lacewingpitch import usage_lease

# Far longer than a round trip.  After it, waiting requests use the fallback
# that needs no lease.
_ASK_TIMEOUT_S = 0.25
# Time for which an owner that didn't answer is not asked again.
_UNRESPONSIVE_S = 1.0
_MAX_ACCOUNTS = 4096
# Callers that retry all at once would find the limit used up again.
_MIN_RETRY_S = 0.1
_MS_PER_S = 1000
log = structlog.get_logger(__name__)

Organisation = organisation_module.Organisation


class OwnerLink(Protocol):
    """Sends messages to the owners of limits."""

    async def request_usage(
        self, ip: str, message: usage_lease.UsageAsk, timeout_s: float
    ) -> usage_lease.UsageReply:
        """Request parts of limits from the owner at `ip`."""
        ...


class Owners(limit_cession.Owners, Protocol):
    """Finds the owners of limits."""

    def mark_unresponsive(self, ip: str) -> None:
        """Record that a process did not answer."""
        ...


@dataclasses.dataclass(slots=True)
class _OwnerState:
    """Outstanding requests to one owner, and whether it answers."""

    due: set[str] = dataclasses.field(default_factory=set)
    task: asyncio.Task[None] | None = None
    unresponsive_until_s: float = 0.0


class UsageLimits:
    """Charges requests to their organisations' limits.

    It protects against an organisation that sends many times its usual
    load, at any number of entries.  Requests above the limit are refused
    before they use a turn, an adapter load or a queue entry.

    A request that is covered by a lease doesn't wait.  Otherwise the owner
    of the limit is asked, with one message at a time for all waiting
    requests.  While the owner is unreachable, each entry admits part of the
    limit by itself.

    Parameters
    ----------
    instance
        Name of this entry.
    owners
        Finds the owner of a limit.
    version
        Returns the version of the configuration in force.
    entry_count
        Returns the known number of entries.
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
        self._cessions = limit_cession.Cessions(owners)
        self._accounts: dict[str, usage_account.Account] = {}
        self._states: dict[str, _OwnerState] = collections.defaultdict(
            _OwnerState
        )
        # Rises across restarts, so that an owner recognises messages of an
        # earlier process.
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
        """Charge a request, and run it while the context is open.

        The charge is refunded if the request provably did not run.

        Raises
        ------
        RefusalError
            The organisation is at its limit; says when to retry.
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
                account.leased.refund(cost)
            raise

    async def close(self) -> None:
        """Cancel outstanding requests to owners."""
        tasks = [s.task for s in self._states.values() if s.task is not None]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _account(
        self, name: str, limit: organisation_module.UsageLimit
    ) -> usage_account.Account:
        found = self._accounts.get(name)
        if found is None:
            self._evict_idle()
            found = usage_account.Account(
                name,
                leased_usage.LeasedUsage(
                    limit, self._entry_count(), self._clock
                ),
            )
            self._accounts[name] = found
        else:
            found.leased.apply_limit(limit)
        return found

    def _evict_idle(self) -> None:
        if len(self._accounts) < _MAX_ACCOUNTS:
            return
        for name, account in list(self._accounts.items()):
            if account.leased.is_idle and not account.waiters:
                del self._accounts[name]

    async def _spend(
        self, account: usage_account.Account, cost: float
    ) -> None:
        leased = account.leased
        # A later request must not use a lease that earlier ones wait for.
        if not account.waiters and leased.spend(cost):
            return
        owner_wait_s = leased.owner_wait_s(cost)
        if owner_wait_s:
            raise _limit_refusal(account, owner_wait_s)
        owner = self._answering_owner(account.name)
        if owner:
            waiter = account.add_waiter(cost)
            self._ask(owner, account)
            await waiter.done
            return
        refusal = self._spend_fallback(account, cost)
        if refusal is not None:
            raise refusal

    def _answering_owner(self, name: str) -> str:
        """Return the owner's address; empty if none can be asked now."""
        owner = self._owners.owner(name)
        until_s = self._states[owner].unresponsive_until_s
        return '' if self._clock.monotonic_s() < until_s else owner

    def _ask(self, owner: str, account: usage_account.Account) -> None:
        state = self._states[owner]
        state.due.add(account.name)
        if state.task is None or state.task.done():
            state.task = asyncio.create_task(
                self._send_due_wants(owner, state)
            )

    def _ask_again(self, account: usage_account.Account) -> None:
        """Ask for the requests that still wait, or use the fallback."""
        if not account.waiters:
            return
        owner = self._answering_owner(account.name)
        if owner:
            self._ask(owner, account)
            return
        self._resolve_waiters(account, [None] * len(account.waiters))

    def _spend_fallback(
        self, account: usage_account.Account, cost: float
    ) -> errors.RefusalError | None:
        """Use units of the fallback; return a refusal if it has none."""
        self.unreached_count += 1
        if account.leased.spend_fallback(cost):
            return None
        return _limit_refusal(account, account.leased.fallback_wait_s())

    async def _send_due_wants(self, owner: str, state: _OwnerState) -> None:
        """Send the due wants to one owner, one message at a time."""
        asked: list[usage_account.Account] = []
        try:
            while state.due:
                asked = self._take_due(state)
                await self._send_and_apply(owner, state, asked)
                for account in asked:
                    self._ask_again(account)
        except BaseException:
            # No other task would resolve them.
            for account in (*asked, *self._take_due(state)):
                self._resolve_waiters(account, [None] * len(account.waiters))
            raise

    def _take_due(self, state: _OwnerState) -> list[usage_account.Account]:
        """Return the accounts that are due, and expect no further message."""
        # Another owner may have resolved the waiting requests of an account
        # since, so that it was evicted.
        due = [
            self._accounts[name] for name in state.due & self._accounts.keys()
        ]
        state.due.clear()
        return due

    async def _send_and_apply(
        self,
        owner: str,
        state: _OwnerState,
        accounts: list[usage_account.Account],
    ) -> None:
        # Requests that arrive during the exchange go with the next message.
        costs_asked = [account.costs() for account in accounts]
        wants = tuple(
            account.want(costs, self._owners.claim(account.name))
            for account, costs in zip(accounts, costs_asked, strict=True)
        )
        asked_at_s = self._clock.boot_s()
        grants: dict[str, usage_lease.UsageGrant] = {}
        try:
            grants = await self._send(owner, wants)
        except errors.LinkError as error:
            self._mark_unresponsive(state)
            self._owners.mark_unresponsive(owner)
            log.warning(
                'usage limit owner unreachable', ip=owner, error=str(error)
            )
        except Exception:
            self._mark_unresponsive(state)
            log.exception('usage limit owner not asked', ip=owner)
        denied: list[tuple[usage_account.Account, limit_tenure.Denial]] = []
        for account, costs in zip(accounts, costs_asked, strict=True):
            grant = grants.get(account.name)
            if grant is None:
                self._resolve_waiters(account, [None] * len(costs))
                continue
            if grant.denial is not None:
                denied.append((account, grant.denial))
                continue
            account.denied_count = 0
            account.leased.apply(grant, costs, asked_at_s)
            self._resolve_waiters(account, grant.admitted)
        await asyncio.gather(
            *(self._follow(owner, account, d) for account, d in denied)
        )

    async def _send(
        self, ip: str, wants: tuple[usage_lease.UsageWant, ...]
    ) -> dict[str, usage_lease.UsageGrant]:
        """Return the grants of an owner, by organisation."""
        self._sequence += 1
        self.ask_count += 1
        message = usage_lease.UsageAsk(
            entry=self._instance,
            sequence=self._sequence,
            version=self._version(),
            wants=wants,
        )
        reply = await self._link.request_usage(ip, message, _ASK_TIMEOUT_S)
        return {grant.organisation: grant for grant in reply.grants}

    async def _follow(
        self,
        owner: str,
        account: usage_account.Account,
        denial: limit_tenure.Denial,
    ) -> None:
        """Do what a denial asks for, so that the owner can be asked."""

        async def cede(
            ip: str, claim: limit_tenure.Claim
        ) -> limit_cession.Ceded:
            want = account.leased.cession(account.name, claim)
            grants = await self._send(ip, (want,))
            grant = grants.get(account.name)
            if grant is None:
                return limit_cession.Ceded(None)
            return limit_cession.Ceded(grant.denial, grant.left)

        if not account.record_denial():
            log.warning('usage limit owner unsettled', limit=account.name)
            self._resolve_waiters(account, [None] * len(account.waiters))
            return
        account.claim = await self._cessions.follow(
            account.name, owner, denial, cede
        )

    def _mark_unresponsive(self, state: _OwnerState) -> None:
        now_s = self._clock.monotonic_s()
        state.unresponsive_until_s = now_s + _UNRESPONSIVE_S

    def _resolve_waiters(
        self, account: usage_account.Account, admitted: Sequence[bool | None]
    ) -> None:
        """Admit or refuse the first waiting requests.

        Parameters
        ----------
        admitted
            The owner's decision on each; ``None`` if it didn't answer.
        """
        for is_admitted in admitted[: len(account.waiters)]:
            waiter = account.waiters.popleft()
            if waiter.done.done():
                if is_admitted:
                    account.leased.refund(waiter.cost)
                continue
            refusal = self._refusal(account, waiter.cost, is_admitted)
            if refusal is None:
                waiter.done.set_result(None)
            else:
                waiter.done.set_exception(refusal)

    def _refusal(
        self,
        account: usage_account.Account,
        cost: float,
        is_admitted: bool | None,
    ) -> errors.RefusalError | None:
        if is_admitted is None:
            return self._spend_fallback(account, cost)
        if is_admitted:
            return None
        return _limit_refusal(account, account.leased.owner_wait_s(cost))


def _limit_refusal(
    account: usage_account.Account, retry_after_s: float
) -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.RATE_LIMITED,
        f'the limit of {account.name} is reached',
        retry_after_s=max(_MIN_RETRY_S, retry_after_s),
    )
