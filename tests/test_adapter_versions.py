"""Versions of adapters only rise."""

from lacewingpitch import adapter_versions


class TestAdapterVersions:
    def test_news_of_an_older_version_is_none(self):
        versions = adapter_versions.AdapterVersions()
        assert versions.record('m', 'a', 3)
        assert not versions.record('m', 'a', 2)
        assert not versions.record('m', 'a', 3)
        assert versions.required_version('m', 'a') == 3
        assert versions.required_version('m', 'b') == 0


class TestSlotName:
    def test_names_the_version_only_where_one_is_wanted(self):
        assert adapter_versions.slot_name('m', 'a', 0) == 'm/a'
        assert adapter_versions.slot_name('m', 'a', 2) == 'm/a@2'
