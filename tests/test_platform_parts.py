"""Parts that the settings of an entry switch on."""

import json

import pytest

from lacewingpitch.platform import entry
from lacewingpitch.platform import settings
from tests import platform_standin as standin

PORTS = {'callers': 8080, 'ready': 8081, 'control': 8082, 'internal': 9000}
STORE = {'address': '10.0.0.1:2379', 'engine': '127.0.0.1:8145'}


def settings_file(folder, **changed):
    found = standin.fields_of('entry', '10.0.0.2', PORTS, STORE)
    fields = {**json.loads(standin.render(found)), **changed}
    path = folder / 'settings.json'
    path.write_text(json.dumps(fields))
    return settings.SettingsFile(path)


class TestRoomSearch:
    @pytest.mark.parametrize(
        ('changed', 'is_on'), [({}, False), ({'parts': ['room-news']}, True)]
    )
    async def test_is_on_only_if_named(self, tmp_path, changed, is_on):
        found = entry.Entry(settings_file(tmp_path, **changed))
        assert (found._new_room_search() is not None) is is_on
        await found._process.exits.aclose()
