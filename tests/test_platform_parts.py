"""Parts that the settings of an entry switch on."""

import json

import pytest

from lacewingpitch import errors
from lacewingpitch.platform import entry as entry_module
from lacewingpitch.platform import settings
from lacewingpitch import service_admission
from tests import platform_standin as standin

PORTS = {'callers': 8001, 'ready': 8002, 'control': 8003, 'internal': 7300}
STORE = {'address': '10.0.0.9:8142', 'engine': '10.0.0.2:8145'}


def make_file(folder, **changed):
    fields = standin.fields_of('entry', '10.0.0.2', PORTS, STORE)
    content = json.loads(standin.render(fields))
    # The deploy file names some parts; these tests name their own.
    del content['parts']
    path = folder / 'settings.json'
    path.write_text(json.dumps({**content, **changed}))
    return settings.SettingsFile(path)


class TestEnginePace:
    async def test_is_off_by_default(self, tmp_path):
        entry = entry_module.Entry(make_file(tmp_path))
        assert entry._new_stall_costs() is None

    async def test_is_on_where_settings_name_it(self, tmp_path):
        file = make_file(tmp_path, parts=['engine-pace'])
        entry = entry_module.Entry(file)
        assert entry._new_stall_costs() is not None

    async def test_is_off_where_settings_name_others(self, tmp_path):
        file = make_file(tmp_path, parts=['room-search', 'moving-runs'])
        entry = entry_module.Entry(file)
        assert entry._new_stall_costs() is None

    def test_unknown_part_is_rejected(self, tmp_path):
        with pytest.raises(errors.SettingsError, match='parts'):
            make_file(tmp_path, parts=['engine-speed'])


class TestOwnZone:
    async def test_is_off_by_default(self, tmp_path):
        entry = entry_module.Entry(make_file(tmp_path, parts=['engine-pace']))
        assert entry._new_zone_costs() is None

    async def test_is_on_where_settings_name_it(self, tmp_path):
        entry = entry_module.Entry(make_file(tmp_path, parts=['own-zone']))
        assert entry._new_zone_costs() is not None


class TestRoomSearch:
    @pytest.mark.parametrize(
        ('changed', 'is_on'), [({}, False), ({'parts': ['room-search']}, True)]
    )
    async def test_is_on_only_if_named(self, tmp_path, changed, is_on):
        found = entry_module.Entry(make_file(tmp_path, **changed))
        assert (found._new_room_search() is not None) is is_on
        await found._process.exits.aclose()


class TestServiceAdmission:
    @pytest.mark.parametrize(
        ('changed', 'kind'),
        [
            ({}, service_admission.AdmitAll),
            (
                {'parts': ['service-admission']},
                service_admission.LatencyAdmission,
            ),
        ],
    )
    async def test_is_on_only_if_named(self, tmp_path, changed, kind):
        entry = entry_module.Entry(make_file(tmp_path, **changed))
        assert isinstance(entry._service_admission(), kind)
        await entry._process.exits.aclose()
