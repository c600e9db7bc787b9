"""Tests of the outcome that a sidecar reports for a started attempt."""

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
    """Runner whose engine no longer holds the adapter of the request."""

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
    started_attempts = attempts.Attempts(settings, node)
    started_attempts.serve(LostAdapterRunner())
    return started_attempts


class TestResume:
    async def test_refused_load_is_not_reported_as_not_run(self, started):
        """Guards against a second run of a request at another engine.

        The request is not repeatable.  Its connection breaks before the
        first token, its engine restarts empty, and the entry resumes the
        stream.  The engine refuses to load the adapter as "not run".  If
        the sidecar reported that outcome, the entry would send the
        request to another sidecar.
        """
        order = samples.order(
            request_id=str(uuid_utils.uuid7()), repeatable=False, stream=True
        )
        with pytest.raises(errors.RefusalError) as caught:
            await started.resume(order, delivery=None)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert not caught.value.retry_elsewhere
