"""How a sidecar passes calls through to a plain service."""

import contextlib
from types import TracebackType
from typing import Self

from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import plain_service
from lacewingpitch import runs
from lacewingpitch import voiding
from lacewingpitch import work

MAX_BUFFERED_BYTES = 256 << 10
_EVENT_STREAM = 'text/event-stream'


class ServiceRunner:
    """Passes calls through to a plain service."""

    def __init__(self, service: plain_service.PlainService) -> None:
        self._service = service

    async def __aenter__(self) -> Self:
        """Attach; a plain service needs nothing."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Detach."""

    def prepare(
        self, order: work.WorkOrder
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold nothing."""
        return contextlib.nullcontext()

    def is_prepared(self, order: work.WorkOrder) -> bool:
        """Return that nothing is missing."""
        return True

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return that nothing is waited for."""
        return 0.0

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Pass the call on.

        Raises
        ------
        RefusalError
            There is no whole answer; says whether the call ran.
        """
        call = plain_service.ServiceCall(
            run_id=voiding.attempt_id(order.request_id, order.attempt),
            method=order.method,
            path=order.path,
            content_type=delivery.request_content_type,
            body=body,
        )
        try:
            async with self._service.run(call) as found:
                return await _pass_through(delivery, found)
        except engine_module.NotSentError as error:
            raise errors.RefusalError(
                errors.ErrorKind.NO_BACKEND_SERVER, str(error)
            ) from error
        except errors.PlatformError as error:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, str(error)
            ) from error

    async def resume(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> None:
        """Refuse: a plain service cannot resume.

        Raises
        ------
        RefusalError
            Always.
        """
        raise errors.RefusalError(
            errors.ErrorKind.OUTCOME_UNKNOWN, 'the answer is not kept'
        )


async def _pass_through(
    delivery: runs.Delivery, found: plain_service.ServiceAnswer
) -> runs.WholeAnswer | None:
    # A small body is sent only once it is whole here, so that a service
    # which breaks off gives an error with a status.  A large one is sent
    # as it comes; a break in it tears the connection to the caller down.
    first = bytearray()
    is_stream = found.content_type.startswith(_EVENT_STREAM)
    limit_bytes = 0 if is_stream else MAX_BUFFERED_BYTES
    async for chunk in found.chunks:
        first += chunk
        if len(first) > limit_bytes:
            break
    else:
        return runs.WholeAnswer(found.status, found.content_type, bytes(first))
    await delivery.begin(found.status, found.content_type, found.length_bytes)
    await delivery.write(bytes(first))
    async for chunk in found.chunks:
        await delivery.write(chunk)
    await delivery.end()
    return None
