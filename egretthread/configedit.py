"""Edits of a configuration; each function returns the edited copy."""

import dataclasses

from egretthread import accesskey, config, util


class UnknownNameError(util.EgretthreadError):
    """An edit names something that the configuration does not contain."""

    kind = "unknown_name"


def withdraw_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Takes an availability zone out of service.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return update_resource(configuration, "zones", name, withdrawn=True)


def restore_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Puts an availability zone back into service.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return update_resource(configuration, "zones", name, withdrawn=False)


def drain_server(
    configuration: config.Configuration, agent: str
) -> config.Configuration:
    """Drains the backend server of the named agent: it gets no new tasks."""
    if agent in configuration.draining_servers:
        return configuration
    draining = (*configuration.draining_servers, agent)
    return dataclasses.replace(configuration, draining_servers=draining)


def undrain_server(
    configuration: config.Configuration, agent: str
) -> config.Configuration:
    """Ends the drain of the named agent's backend server.

    Raises:
        UnknownNameError: The backend server is not being drained.
    """
    if agent not in configuration.draining_servers:
        raise unknown_name("draining_servers", agent)
    draining = tuple(
        name for name in configuration.draining_servers if name != agent
    )
    return dataclasses.replace(configuration, draining_servers=draining)


def put_organisation(
    configuration: config.Configuration, organisation: config.Organisation
) -> config.Configuration:
    """Adds an organisation, or replaces the one of the same name."""
    return put_resource(configuration, "organisations", organisation)


def put_service(
    configuration: config.Configuration, service: config.Service
) -> config.Configuration:
    """Adds a service, or replaces the one of the same name."""
    return put_resource(configuration, "services", service)


def put_zone(
    configuration: config.Configuration, zone: config.AvailabilityZone
) -> config.Configuration:
    """Adds an availability zone, or replaces the one of the same name."""
    return put_resource(configuration, "zones", zone)


def remove_organisation(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes an organisation.

    Raises:
        UnknownNameError: There is no such organisation.
    """
    return remove_resource(configuration, "organisations", name)


def remove_service(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes a service.

    Raises:
        UnknownNameError: There is no such service.
    """
    return remove_resource(configuration, "services", name)


def remove_zone(
    configuration: config.Configuration, name: str
) -> config.Configuration:
    """Removes an availability zone.

    Raises:
        UnknownNameError: There is no such availability zone.
    """
    return remove_resource(configuration, "zones", name)


def rotate_key(
    configuration: config.Configuration,
    organisation: str,
    access_key: config.AccessKey,
) -> config.Configuration:
    """Adds an access key; of the older keys only the newest stays valid.

    Raises:
        UnknownNameError: There is no such organisation.
    """
    found = find_resource(configuration, "organisations", organisation)
    keys = (*found.access_keys, access_key)[-accesskey.MAX_VALID_KEYS :]
    return update_resource(
        configuration, "organisations", organisation, access_keys=keys
    )


def retire_key(
    configuration: config.Configuration, organisation: str, key_name: str
) -> config.Configuration:
    """Removes an access key.

    Raises:
        UnknownNameError: There is no such organisation or key.
    """
    found = find_resource(configuration, "organisations", organisation)
    keys = tuple(key for key in found.access_keys if key.name != key_name)
    if keys == found.access_keys:
        raise unknown_name(
            f"organisations.{organisation}.access_keys", key_name
        )
    return update_resource(
        configuration, "organisations", organisation, access_keys=keys
    )


def find_resource(configuration: config.Configuration, field: str, name: str):
    """Returns the organisation, service or availability zone of a name.

    Raises:
        UnknownNameError: The field holds no resource of that name.
    """
    for resource in getattr(configuration, field):
        if resource.name == name:
            return resource
    raise unknown_name(field, name)


def update_resource(
    configuration: config.Configuration, field: str, name: str, **changes
) -> config.Configuration:
    """Changes fields of the resource of a name.

    Raises:
        UnknownNameError: The field holds no resource of that name.
    """
    resource = find_resource(configuration, field, name)
    return put_resource(
        configuration, field, dataclasses.replace(resource, **changes)
    )


def put_resource(
    configuration: config.Configuration, field: str, resource
) -> config.Configuration:
    """Adds a resource, or replaces the one of the same name in its place."""
    resources = {old.name: old for old in getattr(configuration, field)}
    resources[resource.name] = resource
    return dataclasses.replace(
        configuration, **{field: tuple(resources.values())}
    )


def remove_resource(
    configuration: config.Configuration, field: str, name: str
) -> config.Configuration:
    """Removes the resource of a name.

    Raises:
        UnknownNameError: The field holds no resource of that name.
    """
    removed = find_resource(configuration, field, name)
    resources = tuple(
        resource
        for resource in getattr(configuration, field)
        if resource is not removed
    )
    return dataclasses.replace(configuration, **{field: resources})


def unknown_name(field: str, name: str) -> UnknownNameError:
    """Returns the error for a name that a field does not contain."""
    return UnknownNameError(
        f"{field} does not contain {name!r}",
        "print the configuration and check the name",
    )
