"""Minimal valid settings, contracts, orders and instances for tests."""

import copy

from lacewingpitch import contract as contract_module
from lacewingpitch import live_list
from lacewingpitch import work

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


def order(**fields):
    """Return an order that an entry sends to a sidecar."""
    defaults = {
        'request_id': 'request-1',
        'attempt': 1,
        'customer': 'haneul',
        'contract_revision': 1,
        'urgency': contract_module.Urgency.STANDARD,
        'weight': 1.0,
        'deadline_s': 30.0,
        'method': 'POST',
        'path': '/',
        'repeatable': True,
    }
    return work.WorkOrder(**(defaults | fields))


def sidecar(name='sidecar-0', **fields):
    """Return a sidecar as the platform lists it."""
    defaults = {
        'role': live_list.Role.SIDECAR,
        'region': 'region-a',
        'availability_zone': 'zone-a',
        'ip': '127.0.0.1',
        'work_port': 1,
        'control_port': 2,
    }
    return live_list.Instance(name=name, **(defaults | fields))


def entry(name='entry-0', **fields):
    """Return an entry as the platform lists it."""
    return sidecar(name, role=live_list.Role.ENTRY, **fields)
