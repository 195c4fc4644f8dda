"""Which backend servers the tasks of confined routes may use.

While a route is confined, its tasks run on a part of the backend servers only,
the isolated ones, and the tasks of other routes on the rest. Servers that have
crashed a short time ago are isolated first: most of them are down, so that the
other routes lose the least.
"""

import dataclasses

import xxhash

from egretthread import logs, nodeid
from egretthread.scheduling import crashbook
from egretthread.scheduling.crashbook import TaskId
from egretthread.scheduling.entryboard import AgentView, EntryBoard, Task
from egretthread.scheduling.placing import Candidate
from egretthread.scheduling.runmessage import CrashSummary, ServerState

# Share of a service's backend servers that are isolated.
ISOLATED_SHARE = 0.25
# The same if the other routes leave at least SPARE_SHARE of them. There are
# only two sizes so that entries, whose demand differs, mostly agree.
LARGE_ISOLATED_SHARE = 0.5
SPARE_SHARE = 0.4
# Utilisation that is planned for the other backend servers.
PLANNED_UTILISATION = 0.6
# Time for which the demand and the utilisation must have been measured.
MIN_MEASURED_S = 5.0
# Time after the first job before the utilisation is sampled.
WARM_UP_S = 1.0
# Interval between two samples of the utilisation, and the least weight of a
# sample in its moving average.
SAMPLE_INTERVAL_S = 0.5
MIN_SAMPLE_WEIGHT = 0.1
# Number of samples as which the utilisation that another entry knows counts.
ADOPTED_SAMPLES = round(1 / MIN_SAMPLE_WEIGHT)
# A backend server that crashed is expected back within this time.
RETURN_S = 10.0


def task_id(task: Task) -> TaskId:
    """Returns the id of a task."""
    return TaskId(task.job.id, task.step, task.index)


@dataclasses.dataclass(frozen=True)
class Treatment:
    """How a task is treated because of crashes of backend servers.

    Attributes:
        may_start: Whether it may be started once more.
        is_suspect: Whether it may have caused a crash.
        is_confined: Whether it may only use isolated backend servers.
        is_exclusive: Whether it must not share a backend server with runs of
            other jobs.
    """

    may_start: bool = True
    is_suspect: bool = False
    is_confined: bool = False
    is_exclusive: bool = False


NORMAL = Treatment()


def treatment(board: EntryBoard, task: Task) -> Treatment:
    """Returns how a task is treated."""
    book = board.crashes
    if not book.crashes:
        return NORMAL
    name = task_id(task)
    is_suspect = book.is_suspect(name)
    is_isolated = book.is_isolated(name)
    is_confined = is_isolated or book.is_confined(
        task.job.route.name, board.now_s
    )
    return Treatment(
        book.may_start(name),
        is_suspect,
        is_confined,
        is_isolated or (is_confined and is_suspect),
    )


def spread(
    board: EntryBoard, candidates: list[Candidate], task: Task
) -> list[Candidate]:
    """Returns the agent to prefer for a suspect task, as a list.

    The tasks that were lost in one crash are spread in their order over all
    backend servers, also if they belong to different entries: two of them on
    one backend server could not be told apart if it crashed as well.
    """
    if not candidates:
        return []
    position = board.crashes.position(task_id(task))
    ranked = sorted(candidates, key=lambda candidate: candidate.node)
    return [ranked[position % len(ranked)]]


def isolated_agents(board: EntryBoard, service: str) -> frozenset[str]:
    """Returns the node ids of the agents whose backend servers are isolated.

    It is empty while no route of the service is confined.
    """
    confined = set(board.crashes.confined_routes(board.now_s))
    if not confined:
        return frozenset()
    demand = {
        route.name: 0.0
        for route in board.operator_state.routes
        if route.service == service and not _is_measured(board)
    }
    demand |= board.demand.rates(board.now_s)
    others = [route for route in demand if route not in confined]
    views = [
        view for view in board.agents.values() if _counts(board, view, service)
    ]
    if not others or len(views) < 2:
        return frozenset()
    views.sort(key=lambda view: _rank(board, view))
    other_share = sum(demand[route] for route in others) / max(
        1e-9, sum(demand.values())
    )
    size = _group_size(board, len(views), other_share)
    return frozenset(view.node for view in views[:size])


def sample(board: EntryBoard) -> None:
    """Samples the utilisation of the backend servers; called on every tick.

    No sample is taken while a route is confined, since fewer servers are used
    then, nor before there is work.
    """
    if board.now_s - board.utilisation_at_s < SAMPLE_INTERVAL_S:
        return
    board.utilisation_at_s = board.now_s
    _log_isolated(board)
    is_warm = board.now_s - board.demand.began_s >= WARM_UP_S
    if not is_warm or board.crashes.confined_routes(board.now_s):
        return
    views = [
        view
        for view in board.agents.values()
        if view.facts and view.state is ServerState.READY
    ]
    total_cpu = sum(view.facts.capacity.cpu for view in views)
    if total_cpu > 0:
        free_cpu = sum(max(0, view.free.cpu) for view in views)
        change = 1 - free_cpu / total_cpu - board.utilisation
        board.utilisation_samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / board.utilisation_samples)
        board.utilisation += weight * change


def summary(board: EntryBoard) -> CrashSummary:
    """Returns what an entry that has just started should know."""
    return dataclasses.replace(
        crashbook.summary(board.crashes, board.now_s),
        utilisation=board.utilisation,
    )


def adopt(board: EntryBoard, known: CrashSummary) -> None:
    """Adopts what another entry knows.

    While a route is confined, an entry can't sample the utilisation itself, and
    all entries should isolate as many backend servers.
    """
    crashbook.adopt(board.crashes, board.now_s, known)
    if known.utilisation > 0 and not board.utilisation_samples:
        board.utilisation = known.utilisation
        board.utilisation_samples = ADOPTED_SAMPLES


def _log_isolated(board: EntryBoard) -> None:
    """Logs the isolated backend servers when they have changed."""
    services = {route.service for route in board.operator_state.routes}
    isolated = frozenset().union(
        *(isolated_agents(board, service) for service in sorted(services))
    )
    if isolated != board.logged_isolated:
        board.logged_isolated = isolated
        names = sorted(nodeid.node_name(node) for node in isolated)
        logs.info(
            "servers_isolated",
            agents=",".join(names),
            routes=",".join(board.crashes.confined_routes(board.now_s)),
            utilisation=board.utilisation,
        )


def _is_measured(board: EntryBoard) -> bool:
    return board.now_s - board.demand.began_s >= MIN_MEASURED_S


def _counts(board: EntryBoard, view: AgentView, service: str) -> bool:
    """Whether an agent's backend server is there, or expected back soon."""
    if not view.is_connected or view.facts is None:
        return False
    if view.facts.service != service:
        return False
    if view.facts.zone in board.operator_state.withdrawn:
        return False
    if view.state is ServerState.READY:
        return True
    name = nodeid.node_name(view.node)
    last_s = board.crashes.last_crash_s.get(name)
    return last_s is not None and board.now_s - last_s < RETURN_S


def _rank(board: EntryBoard, view: AgentView) -> tuple[bool, int]:
    name = nodeid.node_name(view.node)
    is_sound = not board.crashes.crashed_recently(name, board.now_s)
    return is_sound, xxhash.xxh64_intdigest(name.encode())


def _group_size(board: EntryBoard, count: int, other_share: float) -> int:
    """Returns how many backend servers to isolate.

    Args:
        board: The blackboard.
        count: Number of backend servers of the service.
        other_share: Share of the routes that are not confined in the demand.
    """
    needed = board.utilisation * other_share / PLANNED_UTILISATION
    is_known = _is_measured(board) and board.utilisation_samples > 0
    has_spare = is_known and 1 - needed >= SPARE_SHARE
    share = LARGE_ISOLATED_SHARE if has_spare else ISOLATED_SHARE
    return max(1, int(share * count + 0.5))
