"""Entry controller: dispatches queued tasks to agents."""

import itertools

from egretthread import (
    credit,
    fairqueue,
    message,
    outcome,
    placement,
    placements,
)
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import answers, claims, pool, rounds, slot_requests
from egretthread.controllers.rounds import Tally
from egretthread.jobstate import Assignment, JobState, Phase

# An assignment is resent if its agent has not reported on it for this time.
RESEND_S = 10.0


def queue_for(board: EntryBoard, service: str) -> fairqueue.FairQueue:
    """Returns the fair queue of a service, creating it if needed."""
    return board.queues.setdefault(service, fairqueue.FairQueue())


def begin_running(board: EntryBoard, state: JobState) -> None:
    """Enqueues and dispatches the tasks of a job that no agent holds."""
    state.phase = Phase.RUNNING
    enqueue(board, state, state.unassigned())
    if state.cancel_reason:
        cancel_unassigned(board, state)
    answers.finish_if_settled(board, state)
    _dispatch_job(board, state)


def enqueue(board: EntryBoard, state: JobState, indices: list[int]) -> None:
    """Enqueues tasks of a job in the flow of its organisation."""
    if not indices:
        return
    name = state.job.organisation
    queue = queue_for(board, state.submission.service)
    queue.push(name, weight(board, name), state.job, indices, board.now_s)


def weight(board: EntryBoard, name: str) -> float:
    """Returns an organisation's weight in the fair queue."""
    organisation = board.quotas.organisations.get(name)
    return organisation.weight if organisation else 1.0


def dequeue(board: EntryBoard, state: JobState) -> None:
    """Removes all tasks of a job from the queue."""
    queue_for(board, state.submission.service).remove(state.job)


def cancel_unassigned(board: EntryBoard, state: JobState) -> None:
    """Dequeues a job and marks its tasks that no agent holds as not run."""
    dequeue(board, state)
    if state.phase is not Phase.RUNNING:
        return
    for index in state.unassigned():
        state.outcomes[index] = outcome.not_run(state.cancel_reason)


def dispatch_service(board: EntryBoard, service: str) -> None:
    """Dispatches as many queued tasks of a service as there are free slots."""
    if len(queue_for(board, service)) and _may_dispatch(board, service):
        _dispatch_to(board, service, pool.views(board, service))
        slot_requests.update(board, service)
    else:
        # Without a lease, this entry could not use slots that agents reserve
        # for it, and no other entry could use them either.
        slot_requests.withdraw(board, service)


def _dispatch_job(board: EntryBoard, state: JobState) -> None:
    """Dispatches queued tasks to the agents registered for a new job.

    The other agents were offered the rest of the queue already, and the new
    job does not change what they may run.
    """
    service = state.submission.service
    if not len(queue_for(board, service)):
        slot_requests.withdraw(board, service)
    elif _may_dispatch(board, service):
        views = pool.views_of(board, service, state.agents)
        _dispatch_to(board, service, views)
        slot_requests.update(board, service)


def dispatch_to_agent(board: EntryBoard, agent: AgentState) -> None:
    """Dispatches queued tasks to one agent that has free slots.

    It runs after each message from an agent, so its cost must not grow with
    the number of agents.
    """
    service = agent.heartbeat.service
    waiting = len(queue_for(board, service))
    capacity = agent.free + credit.rule_for(agent.heartbeat.slots).unasked
    if not waiting or capacity <= 0 or not _may_dispatch(board, service):
        return
    if pool.accepts_work(board, agent):
        view = pool.view(board, agent)
        _dispatch_to(board, service, {agent.node: view})
    if not len(queue_for(board, service)):
        slot_requests.withdraw(board, service)


def _may_dispatch(board: EntryBoard, service: str) -> bool:
    known = board.configuration.service(service) is not None
    return known and board.lease_open


def _dispatch_to(board: EntryBoard, service: str, views: dict) -> None:
    """Places tasks on free slots and, if the queue is deep, in agents' queues.

    The messages are sent last because each one states how many tasks are
    still queued.
    """
    placed = _place_all(board, service, views)
    may_queue = slot_requests.may_queue(board, service)
    if may_queue:
        wider = {n: pool.view_with_queue(board, board.agents[n]) for n in views}
        placed += _place_all(board, service, wider)
    for batch in placed:
        _send_assign(board, *batch, may_queue)


# A job, the node id of an agent and the task indices placed on it.
PlacedBatch = tuple[JobState, str, list[int]]


def _place_all(
    board: EntryBoard, service: str, views: dict
) -> list[PlacedBatch]:
    queue = queue_for(board, service)
    free = sum(placement.usable_slots(view) for view in views.values())
    placed = []
    for state, indices in _pop_by_job(board, queue, free):
        placed += _place(board, queue, state, indices, views)
    return placed


def _pop_by_job(
    board: EntryBoard, queue: fairqueue.FairQueue, count: int
) -> list[tuple[JobState, list[int]]]:
    """Pops up to `count` tasks from the queue and groups them by job."""
    popped = []
    for _ in range(count):
        task = queue.pop()
        if task is None:
            break
        popped.append(task)
    groups = {}
    for job, index in popped:
        groups.setdefault(job, []).append(index)
    return [(board.jobs[job], indices) for job, indices in groups.items()]


def _place(
    board: EntryBoard,
    queue: fairqueue.FairQueue,
    state: JobState,
    indices: list[int],
    views: dict,
) -> list[PlacedBatch]:
    """Chooses agents for tasks of one job and requeues those without a slot."""
    limits = board.configuration.service(state.submission.service)
    policy = placements.find_policy(limits.placement)
    usable = [views[node] for node in state.agents if node in views]
    remaining = iter(indices)
    placed = []
    for node, count in policy(usable, len(indices)):
        chosen = list(itertools.islice(remaining, count))
        if chosen:
            _record_assignments(board, state, board.agents[node], chosen)
            placed.append((state, node, chosen))
            views[node] = pool.with_slots_used(views[node], len(chosen))
    unplaced = list(remaining)
    if unplaced:
        name = state.job.organisation
        flow_weight = weight(board, name)
        queue.requeue(name, flow_weight, state.job, unplaced, state.created_s)
    return placed


def _record_assignments(
    board: EntryBoard, state: JobState, agent: AgentState, indices: list[int]
) -> None:
    for index in indices:
        state.attempts[index] += 1
        state.assignments[index] = Assignment(
            agent.node, state.attempts[index], board.now_s
        )
    board.dispatched_jobs.add(state.job)
    agent.free -= len(indices)
    pool.record_dispatch(board, agent)
    pool.probation(board, agent.heartbeat.service).record_dispatch(
        agent.node, board.now_s
    )
    board.counters["hand_outs"] += len(indices)
    board.samples.append(("queue_seconds", board.now_s - state.created_s))


def _send_assign(
    board: EntryBoard,
    state: JobState,
    node: str,
    indices: list[int],
    may_queue: bool,
) -> None:
    """Sends assignments along with the number of tasks still queued."""
    submission = state.submission
    agent = board.agents.get(node)
    want = 0
    if agent is not None:
        agent.assigned += len(indices)
        want = slot_requests.count_for(board, agent)
        slot_requests.record_request(board, agent, want)
    limits = board.configuration.service(submission.service)
    timeout_s = limits.max_task_s if limits else 0.0
    tasks = tuple(
        message.TaskAssignment(
            index,
            state.assignments[index].attempt,
            submission.tasks[index].payload,
            timeout_s,
        )
        for index in indices
    )
    board.send(
        node,
        message.Assign(
            state.job,
            submission.service,
            state.ballot,
            node,
            tasks,
            want,
            slot_requests.urgent_s(board, submission.service),
            may_queue,
        ),
    )


def resend(board: EntryBoard, node: str) -> None:
    """Resends the assignments of an agent that has connected again.

    The old link may have lost messages in both directions. The agent answers
    with the state of each task and starts none of them twice.
    """
    for state in board.jobs.values():
        if state.phase is Phase.RUNNING:
            _resend_job(board, state, node, board.now_s)


def _resend_job(
    board: EntryBoard, state: JobState, node: str, sent_before_s: float
) -> None:
    indices = [
        index
        for index, assignment in state.assignments.items()
        if assignment.agent == node and assignment.sent_s <= sent_before_s
    ]
    if not indices:
        return
    for index in indices:
        sent = state.assignments[index]
        state.assignments[index] = Assignment(node, sent.attempt, board.now_s)
    board.counters["hand_outs_resent"] += len(indices)
    may_queue = slot_requests.may_queue(board, state.submission.service)
    _send_assign(board, state, node, indices, may_queue)


def on_agent_lost(board: EntryBoard, node: str) -> None:
    """Ends the assignments of a lost agent with an unknown outcome."""
    for state in list(board.jobs.values()):
        if state.phase is Phase.RUNNING:
            _end_assignments(board, state, node)


def _end_assignments(board: EntryBoard, state: JobState, node: str) -> None:
    lost = [i for i, sent in state.assignments.items() if sent.agent == node]
    for index in lost:
        del state.assignments[index]
        state.outcomes[index] = outcome.unknown(
            "the agent that may have started it was lost"
        )
    if lost:
        board.counters["tasks_lost"] += len(lost)
        answers.finish_if_settled(board, state)


def on_tick(board: EntryBoard, state: JobState) -> None:
    """Resends overdue assignments and registers more agents if needed."""
    sent_before_s = board.now_s - RESEND_S
    for node in {sent.agent for sent in state.assignments.values()}:
        agent = board.agents.get(node)
        if agent is None:
            _end_assignments(board, state, node)
        elif agent.is_connected:
            _resend_job(board, state, node, sent_before_s)
    if state.phase is Phase.RUNNING:
        _register_more_agents(board, state)


def _register_more_agents(board: EntryBoard, state: JobState) -> None:
    """Registers more agents for a job that still has queued tasks."""
    if state.extension is not None:
        rounds.refresh(board, state.extension)
        advance_extension(board, state)
        return
    if state.registration.closed or not state.unassigned():
        return
    # Each list contains the previous one, so a witness can tell that the
    # longest list is the newest.
    known = state.proposed_agents or state.agents
    agents = pool.add_agents(board, state.submission.service, known)
    if len(agents) == len(state.agents):
        return
    state.proposed_agents = agents
    registration = message.Registration(
        state.submission.digest, state.ballot, agents
    )
    state.extension = rounds.begin(
        board, state.job, message.Accept, registration
    )


def advance_extension(board: EntryBoard, state: JobState) -> None:
    """Uses the added agents once a majority of the witnesses accepted them."""
    extension = state.extension
    tally = rounds.tally(board, extension)
    if tally is Tally.PENDING:
        return
    state.extension = None
    if tally is Tally.GRANTED:
        state.registration = extension.request.registration
        state.agents = state.registration.agents
        dispatch_service(board, state.submission.service)
    elif tally is Tally.REFUSED:
        claims.step_down(board, state, rounds.highest_promise(extension))
