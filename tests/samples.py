"""Small valid settings and contracts, to be spoilt by tests."""

import copy

DIGEST = 'ab' * 32
OTHER_DIGEST = 'cd' * 32

_PROCESS = {
    'deployment': 'test',
    'secret': 'a secret of sixteen',
    'instance': 'entry-0',
    'availability_zone': 'zone-a',
    'region': 'region-a',
    'ip': '127.0.0.1',
    'work_port': 8080,
    'control_port': 8081,
    'config_service': {'ip': '127.0.0.2', 'port': 1},
    'live_list': {'ip': '::1', 'port': 2},
}


def entry_settings(**fields):
    return copy.deepcopy(_PROCESS) | fields


def sidecar_settings(**fields):
    backend_server = {
        'type': 'engine',
        'address': {'ip': '127.0.0.3', 'port': 3},
        'base_model': 'base',
        'adapter_slots': 4,
        'max_running': 16,
    }
    return (
        entry_settings(instance='sidecar-0', backend_server=backend_server)
        | fields
    )


def contract(customer='haneul', **fields):
    return {
        'customer': customer,
        'revision': 1,
        'key_digests': [DIGEST],
        'adapters': [{'name': 'ficus', 'version': '1', 'base_model': 'base'}],
    } | fields
