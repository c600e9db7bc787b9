"""Adapter versions never decrease."""

from lacewingpitch import adapter_versions


class TestAdapterVersions:
    def test_older_version_is_ignored(self):
        versions = adapter_versions.AdapterVersions()
        assert versions.record('m', 'a', 3)
        assert not versions.record('m', 'a', 2)
        assert not versions.record('m', 'a', 3)
        assert versions.required_version('m', 'a') == 3
        assert versions.required_version('m', 'b') == 0


class TestSlotName:
    def test_contains_the_version_only_if_one_is_required(self):
        assert adapter_versions.slot_name('m', 'a', 0) == 'm/a'
        assert adapter_versions.slot_name('m', 'a', 2) == 'm/a@2'
