"""What a sidecar says of an attempt that it had started."""

import contextlib

import msgspec
import pytest
import uuid_utils

from lacewingpitch import attempts
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import node as node_module
from lacewingpitch import settings as settings_module
from tests import samples


class LostAdapterRunner:
    """A runner whose engine has lost the adapter of the request."""

    @contextlib.asynccontextmanager
    async def prepare(self, order):
        raise errors.RefusalError(
            errors.ErrorKind.ADAPTER_UNAVAILABLE, 'the load failed'
        )
        yield


@pytest.fixture
async def started():
    settings = msgspec.convert(
        samples.sidecar_settings(), settings_module.SidecarSettings
    )
    node = node_module.Node(settings, clock_module.SystemClock())
    subject = attempts.Attempts(settings, node)
    subject.serve(LostAdapterRunner())
    return subject


class TestResume:
    async def test_refused_load_does_not_deny_the_run(self, started):
        """A request that may run once runs at two engines.

        Its link breaks before the first token, and its engine restarts
        empty; the entry asks for the stream again.  The load for it is
        refused as "not run", so that the entry sends it elsewhere.
        """
        order = samples.order(
            request_id=str(uuid_utils.uuid7()), repeatable=False, stream=True
        )
        with pytest.raises(errors.RefusalError) as told:
            await started.resume(order, delivery=None)
        assert told.value.outcome is errors.Outcome.UNKNOWN
        assert not told.value.retry_elsewhere
