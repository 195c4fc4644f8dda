"""What callers submit and what operators configure, as data."""

import dataclasses

from egretthread.scheduling.room import Room


@dataclasses.dataclass(frozen=True)
class StepSpec:
    """One step of a job: tasks that are alike and may run side by side.

    Attributes:
        count: Number of tasks.
        room: What each task takes of a backend server.
        estimated_s: The caller's rough estimate of a task's run time.
        after: Numbers of earlier steps that must be done first.
        required_label: Label that the backend server must have; may be empty.
        data_rack: Rack near the step's data; may be empty.
        max_per_server: Tasks on one backend server at most; 0 is no limit.
        unsupported: Names of features asked for that are not built.
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
        payload: What its tasks are told, the same text for all.
        steps: The steps, numbered from 0.
        kept: Whether it has to outlive the processes that run it.
        times: How often it recurs; 0 for once, at once.
    """

    job: str
    payload: str
    steps: tuple[StepSpec, ...]
    kept: bool = False
    times: int = 0


@dataclasses.dataclass(frozen=True)
class Route:
    """One queue of jobs, as configured by operators.

    Attributes:
        name: Its name.
        host: Host that requests name.
        path_prefix: Path that requests begin with.
        service: Service whose backend servers run its tasks.
        priority: 0 goes first.
        max_attempts: Failed runs after which a task has failed for good.
        timeout_s: Longest time a request may take.
        stretch: The latency objective, in lengths of the longest chain.
        objective_s: Latency objective beyond `stretch`, in seconds.
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
    """Limits on what callers send.

    Attributes:
        max_header_bytes: Longest header of a request.
        max_body_bytes: Longest body of a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144


@dataclasses.dataclass(frozen=True)
class OperatorState:
    """What operators have in force, up to one offset of their log.

    Attributes:
        offset: Offset behind the last record taken in; orders two states.
        version: Version of the configuration; 0 while there is none.
        routes: The routes.
        limits: Limits on what callers send.
        withdrawn: Zones whose backend servers get no tasks.
    """

    offset: int = 0
    version: int = 0
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    withdrawn: frozenset[str] = frozenset()

    @property
    def is_configured(self) -> bool:
        """Whether there is a configuration."""
        return self.version > 0


def find_route(state: OperatorState, host: str, path: str) -> Route | None:
    """Returns the route of a request: the longest prefix of its host."""
    best = None
    for route in state.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best
