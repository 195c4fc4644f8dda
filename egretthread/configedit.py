"""Edits of a configuration, as functions from one to the next."""

import dataclasses

from egretthread import accesskey, config, util


class UnknownNameError(util.EgretthreadError):
    """An edit names something that the configuration does not hold."""

    kind = "unknown_name"


def withdraw_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Takes an availability zone out of service.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return update_row(configuration, "zones", name, withdrawn=True)


def restore_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Brings an availability zone back into service.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return update_row(configuration, "zones", name, withdrawn=False)


def drain_server(
    configuration: config.Configuration, agent: str
) -> config.Configuration:
    """Gives the backend server beside the named agent no new tasks."""
    if agent in configuration.draining_servers:
        return configuration
    draining = (*configuration.draining_servers, agent)
    return dataclasses.replace(configuration, draining_servers=draining)


def undrain_server(
    configuration: config.Configuration, agent: str
) -> config.Configuration:
    """Lets the backend server beside the named agent take tasks again.

    Raises:
        UnknownNameError: The backend server is not being drained.
    """
    if agent not in configuration.draining_servers:
        raise unknown("draining_servers", agent)
    draining = tuple(
        name for name in configuration.draining_servers if name != agent
    )
    return dataclasses.replace(configuration, draining_servers=draining)


def put_organisation(
    configuration: config.Configuration, organisation: config.Organisation
) -> config.Configuration:
    """Adds an organisation, or replaces the one of the same name."""
    return put_row(configuration, "organisations", organisation)


def put_service(
    configuration: config.Configuration, service: config.Service
) -> config.Configuration:
    """Adds a service, or replaces the one of the same name."""
    return put_row(configuration, "services", service)


def put_zone(
    configuration: config.Configuration, zone: config.AvailabilityZone
) -> config.Configuration:
    """Adds an availability zone, or replaces the one of the same name."""
    return put_row(configuration, "zones", zone)


def remove_organisation(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes an organisation.

    Raises:
        UnknownNameError: There is no such organisation.
    """
    return remove_row(configuration, "organisations", name)


def remove_service(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes a service.

    Raises:
        UnknownNameError: There is no such service.
    """
    return remove_row(configuration, "services", name)


def remove_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes an availability zone.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return remove_row(configuration, "zones", name)


def rotate_key(
    configuration: config.Configuration,
    organisation: str,
    access_key: config.AccessKey,
) -> config.Configuration:
    """Adds an access key; of the older ones only the newest stays live.

    Raises:
        UnknownNameError: There is no such organisation.
    """
    row = find_row(configuration, "organisations", organisation)
    keys = (*row.access_keys, access_key)[-accesskey.MAX_LIVE_KEYS :]
    return update_row(
        configuration, "organisations", organisation, access_keys=keys
    )


def retire_key(
    configuration: config.Configuration, organisation: str, key_name: str
) -> config.Configuration:
    """Removes an access key.

    Raises:
        UnknownNameError: There is no such organisation or key.
    """
    row = find_row(configuration, "organisations", organisation)
    keys = tuple(key for key in row.access_keys if key.name != key_name)
    if keys == row.access_keys:
        raise unknown(f"organisations.{organisation}.access_keys", key_name)
    return update_row(
        configuration, "organisations", organisation, access_keys=keys
    )


def find_row(configuration: config.Configuration, field: str, name: str):
    """Returns the row of a name.

    Raises:
        UnknownNameError: There is none.
    """
    for row in getattr(configuration, field):
        if row.name == name:
            return row
    raise unknown(field, name)


def update_row(
    configuration: config.Configuration, field: str, name: str, **changes
) -> config.Configuration:
    """Changes the row of a name.

    Raises:
        UnknownNameError: There is none.
    """
    row = find_row(configuration, field, name)
    return put_row(configuration, field, dataclasses.replace(row, **changes))


def put_row(
    configuration: config.Configuration, field: str, row
) -> config.Configuration:
    """Adds a row, or replaces the one of the same name in its place."""
    rows = {old.name: old for old in getattr(configuration, field)}
    rows[row.name] = row
    return dataclasses.replace(configuration, **{field: tuple(rows.values())})


def remove_row(
    configuration: config.Configuration, field: str, name: str
) -> config.Configuration:
    """Removes the row of a name.

    Raises:
        UnknownNameError: There is none.
    """
    removed = find_row(configuration, field, name)
    rows = tuple(
        row for row in getattr(configuration, field) if row is not removed
    )
    return dataclasses.replace(configuration, **{field: rows})


def unknown(field: str, name: str) -> UnknownNameError:
    """Returns the error of a name that is not there."""
    return UnknownNameError(
        f"{field} holds no {name!r}", "print the configuration and check"
    )
