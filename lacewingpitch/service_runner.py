"""Runner of a sidecar for a plain service: forwards calls to it.

A plain service is a backend server that is no model engine: it has no adapters
and accepts any HTTP call.
"""

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
    """Forwards calls to a plain service."""

    def __init__(self, service: plain_service.PlainService) -> None:
        self._service = service

    async def __aenter__(self) -> Self:
        """Attach; a plain service needs no preparation."""
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
        """Return at once; a call needs no adapter."""
        return contextlib.nullcontext()

    def is_prepared(self, order: work.WorkOrder) -> bool:
        """Return ``True``; a call needs no adapter."""
        return True

    def expected_wait_s(self, order: work.WorkOrder) -> float:
        """Return 0; a call needs no adapter."""
        return 0.0

    async def run(
        self, order: work.WorkOrder, body: bytes, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        """Forward the call.

        Raises
        ------
        RefusalError
            There is no whole answer; states whether the call ran.
        """
        call = plain_service.ServiceCall(
            run_id=voiding.attempt_id(order.request_id, order.attempt),
            method=order.method,
            path=order.path,
            content_type=delivery.request_content_type,
            body=body,
        )
        try:
            async with self._service.run(call) as answer:
                return await _forward(delivery, answer)
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
        """Refuse; a plain service cannot resume an answer.

        Raises
        ------
        RefusalError
            Always.
        """
        raise errors.RefusalError(
            errors.ErrorKind.OUTCOME_UNKNOWN, 'the answer is not kept'
        )


async def _forward(
    delivery: runs.Delivery, answer: plain_service.ServiceAnswer
) -> runs.WholeAnswer | None:
    # A small body is buffered, so that a service that breaks off leads to
    # an error with a status.  A large body and a stream are forwarded as they
    # arrive; if they break off, the connection to the caller is closed.
    buffered = bytearray()
    is_stream = answer.content_type.startswith(_EVENT_STREAM)
    max_buffered_bytes = 0 if is_stream else MAX_BUFFERED_BYTES
    async for chunk in answer.chunks:
        buffered += chunk
        if len(buffered) > max_buffered_bytes:
            break
    else:
        return runs.WholeAnswer(
            answer.status, answer.content_type, bytes(buffered)
        )
    await delivery.begin(
        answer.status, answer.content_type, answer.length_bytes
    )
    await delivery.write(bytes(buffered))
    async for chunk in answer.chunks:
        await delivery.write(chunk)
    await delivery.end()
    return None
