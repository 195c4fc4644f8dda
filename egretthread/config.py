"""The operators' configuration as frozen data classes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AccessKey:
    """One valid access key of an organisation, as a salted hash.

    Attributes:
        name: Identifies the key when keys are rotated.
        salt: Hexadecimal salt.
        digest: Hexadecimal digest of the salt and the secret.
    """

    name: str
    salt: str
    digest: str


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A tenant whose clients submit jobs.

    Attributes:
        name: Unique name.
        access_keys: One valid key or, during rotation, two.
        starts_per_s: Quota of task starts per second over all entries.
        max_running: Quota, per entry, of tasks queued or running at once.
        weight: Share of the slots under contention, relative to the other
            organisations.
        during_log_outage: `continue` to serve the organisation while a
            majority of the entries agree that the log is unavailable, or
            `stop`.
    """

    name: str
    access_keys: tuple[AccessKey, ...] = ()
    starts_per_s: float = 1000.0
    max_running: int = 10_000
    weight: float = 1.0
    during_log_outage: str = "continue"


@dataclasses.dataclass(frozen=True)
class Service:
    """A program whose tasks run on backend servers.

    Attributes:
        name: Unique name.
        organisations: Names of the organisations that may submit to it.
        region: The region of its backend servers.
        slots: Number of tasks that one backend server runs at once.
        connections: Largest number of HTTP connections to one backend server.
        max_tasks_per_job: Largest number of tasks in one job.
        max_task_s: Longest run time of a task, in seconds.
        max_payload_bytes: Largest payload of a task.
        max_memory_bytes: Largest declared memory need of a task.
        eject_share: Largest share of the backend servers that may be ejected
            because of failures, 0 to 1.
        placement: Name of the placement policy.
        max_queued_tasks: Number of tasks queued at one entry from which on it
            refuses jobs of the organisations that fill its queue.
    """

    name: str
    organisations: tuple[str, ...] = ()
    region: str = ""
    slots: int = 8
    connections: int = 64
    max_tasks_per_job: int = 190
    max_task_s: float = 30.0
    max_payload_bytes: int = 65_536
    max_memory_bytes: int = 2**37
    eject_share: float = 0.3
    placement: str = "late"
    max_queued_tasks: int = 20_000


@dataclasses.dataclass(frozen=True)
class AvailabilityZone:
    """An availability zone of a region.

    Attributes:
        name: Unique name.
        region: The region of the availability zone.
        withdrawn: Whether operators have taken it out of service.
    """

    name: str
    region: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Everything that operators configure; one log record holds all of it.

    Attributes:
        organisations: The tenants.
        services: The services.
        zones: The availability zones.
        draining_servers: Names of the agents whose backend server is drained.
        shards: Number of shards of the witness table in each region.
        retention_s: How long a job key is kept after its submission time.
        clock_error_s: Upper bound on the error of any node's clock.
        max_deadline_s: Longest deadline of a job; well below the retention.
    """

    organisations: tuple[Organisation, ...] = ()
    services: tuple[Service, ...] = ()
    zones: tuple[AvailabilityZone, ...] = ()
    draining_servers: tuple[str, ...] = ()
    shards: int = 16
    retention_s: float = 300.0
    clock_error_s: float = 0.05
    max_deadline_s: float = 120.0

    def organisation(self, name: str) -> Organisation | None:
        """Returns the organisation of that name, or None."""
        return next((o for o in self.organisations if o.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def zone(self, name: str) -> AvailabilityZone | None:
        """Returns the availability zone of that name, or None."""
        return next((z for z in self.zones if z.name == name), None)
