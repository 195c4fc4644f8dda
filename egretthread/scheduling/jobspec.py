"""Data classes for jobs as submitted and for the operator state."""

import dataclasses

from egretthread.scheduling.room import Room


@dataclasses.dataclass(frozen=True)
class StepSpec:
    """One step of a job: identical tasks that may run concurrently.

    Attributes:
        count: Number of tasks.
        room: Resources that each task needs on its backend server.
        estimated_s: The caller's rough estimate of the run time of a task.
        after: Numbers of preceding steps that must be done first.
        required_label: Label that the backend server must have; empty for none.
        data_rack: Rack of the step's data; empty when it does not matter.
        max_per_server: Maximum number of tasks on one backend server; 0 means
            no limit.
        unsupported: Names of requested features that are not supported.
    """

    count: int
    room: Room
    estimated_s: float
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    unsupported: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class JobSpec:
    """A job as submitted.

    Attributes:
        job: Its id, chosen by the caller.
        payload: Text that is passed to each of its tasks.
        steps: The steps, numbered from 0.
        kept: Whether it is a kept job, which is stored and survives a restart
            of the processes that run it.
        times: How often it recurs; 0 means that it runs once, immediately.
    """

    job: str
    payload: str
    steps: tuple[StepSpec, ...]
    kept: bool = False
    times: int = 0


@dataclasses.dataclass(frozen=True)
class Route:
    """One route of requests to a service, as configured by operators.

    Attributes:
        name: Its name.
        host: Host name in its requests.
        path_prefix: Prefix of the path of its requests.
        service: Service whose backend servers run its tasks.
        priority: Priority of its jobs; 0 is the most urgent.
        max_attempts: Failed runs after which a task has failed for good.
        timeout_s: Maximum duration of a request.
        stretch: Factor on the expected run time of the critical path in the
            latency objective.
        objective_s: Constant that is added to it in the latency objective.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    timeout_s: float
    stretch: float
    objective_s: float


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests of callers.

    Attributes:
        max_header_bytes: Maximum size of the header of a request.
        max_body_bytes: Maximum size of the body of a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@dataclasses.dataclass(frozen=True)
class OperatorState:
    """The operators' configuration and commands as of an offset of their topic.

    Attributes:
        offset: Offset after the last record that is included; it tells which of
            two states is newer.
        version: Version of the configuration; 0 while there is none.
        routes: The routes.
        limits: Limits on the requests of callers.
        withdrawn: Zones to whose backend servers no tasks are dispatched.
        services: Services that the configuration names, sorted; empty if they
            are not known.
    """

    offset: int = 0
    version: int = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    withdrawn: frozenset[str] = frozenset()
    services: tuple[str, ...] = ()

    @property
    def is_configured(self) -> bool:
        """Whether a configuration has been published."""
        return self.version > 0


def find_route(state: OperatorState, host: str, path: str) -> Route | None:
    """Returns the route with the longest matching path prefix of a host."""
    best = None
    for route in state.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best
